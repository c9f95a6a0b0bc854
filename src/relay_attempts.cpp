// Dispatches to endpoints and their effect on the open work and statistics of the endpoints.
#include "relay_requests.hpp"

#include <algorithm>
#include <utility>

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

constexpr double failoverFraction = 0.6; // Fraction of the objective. It leaves time for a second attempt within the objective.
constexpr std::int64_t failoverFactor = 4; // Multiple of the mean time of the endpoint.
constexpr duration shortestFailoverTime = milliseconds{60};
constexpr duration streamFailoverTime = milliseconds{1200}; // Time beyond the expected first event.
constexpr std::int64_t gapFactor = 3; // Multiple of the objective for the pause between events.
constexpr duration minFailoverGap = milliseconds{700};
// A stream may not be worked on by its former endpoint 400 ms after another one has gone on with it.
constexpr duration handoverTime = milliseconds{300};
constexpr duration silenceCheckInterval = milliseconds{210}; // Answers are overdue after 200 ms at the earliest.
// An endpoint that has written an answer for this time is not ended by its request.
constexpr duration soundAnswerTime = milliseconds{500};

// Returns the media type in lower case, without its parameters.
std::string mediaTypeOf(const std::vector<header> &headers)
{
    constexpr std::string_view name = "content-type";
    const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
    const auto isNamed = [&](const header &field) {
        return std::equal(field.name.begin(), field.name.end(), name.begin(), name.end(), [&](char a, char b) { return lower(a) == b; });
    };
    const auto found = std::find_if(headers.begin(), headers.end(), isNamed);
    std::string type = found == headers.end() ? std::string{} : found->value.substr(0, found->value.find_first_of("; \t"));
    std::transform(type.begin(), type.end(), type.begin(), lower);
    return type;
}

} // namespace

std::optional<time_point> relay_requests::failoverTime(const relay_entry &entry, dispatch_kind kind, duration expected) const
{
    const auto now = m_components.clock.now();
    if (kind == dispatch_kind::Prefill) {
        return now + expected * failoverFactor + entry.route->objective / 4;
    }
    if (!entry.canRepeat() || entry.runs >= entry.route->attempts) {
        return std::nullopt;
    }
    if (entry.isStream()) {
        return now + expected + streamFailoverTime;
    }
    const auto objectiveTime = std::chrono::duration_cast<duration>(entry.route->objective * failoverFraction);
    return now + std::max({objectiveTime, expected * failoverFactor, shortestFailoverTime});
}

void relay_requests::send(relay_entry &entry, endpoint_entry &endpoint, dispatch_kind kind, std::int64_t prefillTokens)
{
    const auto now = m_components.clock.now();
    const auto &tokens = entry.request.tokens;
    const auto number = ++m_lastAttempt;
    const bool mayBeDead = endpoint.isSilent(now) || m_components.ways.isSuspected();
    if (!m_silenceCheckAt) {
        m_silenceCheckAt = now + silenceCheckInterval;
    }
    const auto expected = kind == dispatch_kind::Plain ? endpoint.endpointStatistics.meanTime()
                                                       : readingTime(prefillTokens,
                                                                     kind == dispatch_kind::Prefill ? m_components.speeds.prefillTokensPerMs
                                                                                                    : m_components.speeds.decodePrefillTokensPerMs);
    ++m_workVersion;
    endpoint.lastSentAt = now;
    endpoint.open.emplace(number, open_work{now, prefillTokens, tokens ? expectedMemory(*tokens, m_components.speeds) : 0, false});
    if (kind == dispatch_kind::Prefill) {
        ++m_components.metrics.prefills;
        entry.machine.apply(relay_event::prefill_sent{});
    } else {
        ++entry.runs;
        ++entry.dispatches;
        ++m_components.metrics.dispatches;
        entry.machine.apply(relay_event::sent{});
    }
    const auto proxy =
        m_components.ways.isLost(endpoint) ? m_components.ways.chooseProxy(stableHash(entry.request.payload->id), now, filterOf(entry)) : std::nullopt;
    entry.attempt = relay_attempt{number,
                                  endpoint.info.name,
                                  endpoint.announcements,
                                  endpoint.info.startedAt,
                                  endpoint.currentVersion(),
                                  proxy.value_or(std::string{}),
                                  kind,
                                  now,
                                  failoverTime(entry, kind, expected)};
    if (kind == dispatch_kind::Decode) {
        entry.attempt->source = std::exchange(entry.source, std::nullopt);
    }
    entry.placedAt = entry.placedAt.value_or(now);
    const bool repeated = !entry.usedAddresses.insert(endpoint.info.address).second;
    entry.lastEndpoint = endpoint.info.name;
    m_attempts.emplace(number, entry.request.caller);
    m_components.metrics.proxiedDispatches += proxy ? 1 : 0;
    const auto *const account = entry.account;
    m_components.commands.push_back(relay_dispatch{.attempt = number,
                                                   .kind = kind,
                                                   .endpoint = endpoint.info.name,
                                                   .endpointStartedAt = endpoint.info.startedAt,
                                                   .address = endpoint.info.address,
                                                   .proxy = entry.attempt->proxy,
                                                   .payload = entry.request.payload,
                                                   .account = account != nullptr ? account->name : account_name{},
                                                   .priority = account != nullptr && account->priority ? *account->priority : entry.route->priority,
                                                   .timeLeft = entry.deadline - now,
                                                   .streamed = entry.isStream() && kind == dispatch_kind::Decode,
                                                   .source = entry.attempt->source,
                                                   .resumeAfter = entry.lastEventId,
                                                   .newConnection = repeated || mayBeDead});
}

// Sends the request to the decode endpoint once the prompt has been read elsewhere. The attempt replaces the reservation of the slot.
void relay_requests::sendDecode(relay_entry &entry, endpoint_entry &endpoint)
{
    releaseReservation(entry);
    send(entry, endpoint, dispatch_kind::Decode, 0);
}

relay_entry *relay_requests::findByAttempt(attempt_number number)
{
    const auto found = m_attempts.find(number);
    return found == m_attempts.end() ? nullptr : m_entries.at(found->second).get();
}

bool relay_requests::maySend(attempt_number number)
{
    const auto *const entry = findByAttempt(number);
    if (entry == nullptr) {
        return false;
    }
    const auto &attempt = isOverdue(*entry, number) ? *entry->overdueAttempt : *entry->attempt;
    const auto *const endpoint = m_components.endpoints.find(attempt.endpoint);
    const auto now = m_components.clock.now();
    return endpoint != nullptr && endpoint->info.startedAt == attempt.endpointStartedAt && endpoint->usable(now) && !m_components.endpoints.isHeld(now);
}

void relay_requests::close(std::optional<relay_attempt> &attempt)
{
    if (!attempt) {
        return;
    }
    ++m_workVersion;
    m_attempts.erase(attempt->number);
    if (auto *const endpoint = m_components.endpoints.find(attempt->endpoint)) {
        endpoint->open.erase(attempt->number);
    }
    attempt.reset();
}

// Closes an attempt that has not ended, with its connection.
void relay_requests::abort(std::optional<relay_attempt> &attempt)
{
    if (attempt) {
        m_components.commands.push_back(relay_abort{attempt->number});
        close(attempt);
    }
}

// Keeps the attempt that is answered, and aborts the other one if there are two.
void relay_requests::keepAttempt(relay_entry &entry, attempt_number number)
{
    if (isOverdue(entry, number)) {
        abort(entry.attempt);
        returnToOverdueAttempt(entry);
    } else {
        abort(entry.overdueAttempt);
    }
}

// Goes on with the overdue attempt when no other one is left. Returns false if there is none.
bool relay_requests::returnToOverdueAttempt(relay_entry &entry)
{
    if (!entry.overdueAttempt) {
        return false;
    }
    releaseReservation(entry);
    releaseSource(entry);
    entry.attempt = std::exchange(entry.overdueAttempt, std::nullopt);
    if (entry.machine.stage() == relay_stage::Waiting || entry.machine.stage() == relay_stage::Prefilling) {
        entry.machine.apply(relay_event::sent{});
    }
    if (entry.attempt->framing && entry.machine.stage() == relay_stage::Forwarded) {
        entry.machine.apply(relay_event::streaming{});
    }
    entry.lastEndpoint = entry.attempt->endpoint;
    if (entry.runs < entry.route->attempts) {
        entry.attempt->failoverAt = m_components.clock.now() + minFailoverGap;
    }
    forwardHead(entry);
    m_components.logMessage(
        severity::Info, log_component::Place, "request=" + entry.request.payload->id + " stays with overdue attempt endpoint=" + entry.attempt->endpoint.value);
    scheduleWakeup(entry);
    return true;
}

// Returns the time at which a stream leaves its silent endpoint although the other one, which has begun to answer, has sent no event yet.
std::optional<time_point> relay_requests::overdueAttemptEndsAt(const relay_entry &entry)
{
    const bool hasBegun = entry.overdueAttempt && entry.attempt && entry.attempt->headAt;
    return hasBegun ? std::optional(*entry.attempt->headAt + handoverTime) : std::nullopt;
}

// Passes the head of the answer on. A resumed stream keeps the head of its first endpoint.
void relay_requests::forwardHead(relay_entry &entry)
{
    auto head = std::exchange(entry.attempt->heldHead, std::nullopt);
    if (head && !std::exchange(entry.headSent, true)) {
        entry.mediaType = mediaTypeOf(head->headers);
        m_components.commands.push_back(answer_stream_head{entry.request.caller, head->status, std::move(head->headers)});
    }
}

void relay_requests::releaseReservation(relay_entry &entry)
{
    if (!entry.reservation) {
        return;
    }
    if (auto *const endpoint = m_components.endpoints.find(entry.reservationEndpoint)) {
        endpoint->open.erase(*entry.reservation);
    }
    entry.reservation.reset();
}

void relay_requests::releaseSource(relay_entry &entry)
{
    if (entry.source) {
        releasePrefill(*std::exchange(entry.source, std::nullopt));
    }
}

// A release is a request as well. Without it, the result expires by itself.
void relay_requests::releasePrefill(prefill_source source)
{
    if (!m_components.endpoints.isClosedAddress(source.address, m_components.clock.now())) {
        m_components.commands.push_back(release_prefill{std::move(source)});
    }
}

// Keeps the prefill result of an attempt for another one: a decode endpoint that ran nothing has not fetched it.
void relay_requests::recoverSource(relay_entry &entry, std::optional<prefill_source> source)
{
    const auto *const service = entry.table->service(entry.service);
    const auto lifetime = service != nullptr && service->engine ? service->engine->handleLifetime : std::chrono::milliseconds{0};
    // The fetch has to begin before the result expires.
    constexpr std::int64_t usablePercent = 70;
    const bool usable = m_components.clock.now() - entry.prefilledAt < lifetime * usablePercent / 100;
    if (!source || !usable) {
        return;
    }
    if (!entry.headSent && !entry.attempt) {
        entry.source = std::move(source);
    } else {
        releasePrefill(std::move(*source));
    }
}

// Records what an endpoint reports of its load, and avoids a full one for a moment. The report is newer than the heartbeats of the other VMs. An endpoint
// does not count a request that it has answered in whole.
void relay_requests::recordReportedLoad(const relay_attempt &attempt, const std::optional<reported_load> &load, bool isWhole)
{
    constexpr duration fullBackoff = milliseconds{25};
    auto *const entry = m_components.endpoints.find(attempt.endpoint);
    if (entry == nullptr || !load || entry->info.startedAt != attempt.endpointStartedAt) {
        return;
    }
    const auto now = m_components.clock.now();
    const auto own = static_cast<std::int32_t>(entry->open.size()) - (isWhole && entry->open.contains(attempt.number) ? 1 : 0);
    entry->loadEstimate.onReport(*load, own + m_components.fleet.loadAt(attempt.endpoint).running, now);
    if (load->waiting >= entry->info.slots) {
        entry->fullUntil = now + fullBackoff;
    }
}

// Counts reports of load that cannot be read, with a line now and then.
void relay_requests::recordUnreadableLoad(const endpoint_name &endpoint, time_point now)
{
    constexpr duration logInterval = std::chrono::seconds{10};
    const auto count = ++m_components.metrics.unreadableLoadReports;
    if (now >= m_nextUnreadableLoadLine) {
        m_nextUnreadableLoadLine = now + logInterval;
        m_components.logMessage(severity::Warning,
                                log_component::Monitor,
                                "endpoint=" + endpoint.value
                                    + " reports its load with figures that cannot be read unreadable_load_reports=" + std::to_string(count));
    }
}

// Records what the endpoint says of itself in the head of an answer.
void relay_requests::recordStatement(const relay_attempt &attempt, const std::optional<endpoint_statement> &statement)
{
    if (!statement) {
        return;
    }
    const auto now = m_components.clock.now();
    auto &endpoints = m_components.endpoints;
    const auto log = [&](const std::string &text) {
        m_components.logMessage(severity::Info, log_component::Monitor, "endpoint=" + attempt.endpoint.value + text);
    };
    if (endpoints.onStatement(attempt.endpoint, *statement, attempt.sentAt, now)) {
        const auto limit = endpoints.find(attempt.endpoint)->limit.perSecond();
        log(limit ? " limit_per_s=" + std::to_string(*limit) : " names no limit any more");
    }
    if (statement->loadUnreadable) {
        recordUnreadableLoad(attempt.endpoint, now);
    }
    if (statement->leaving && endpoints.onLeaving({attempt.endpoint, attempt.endpointStartedAt}, now)) {
        log(" says that it leaves started_at=" + std::to_string(attempt.endpointStartedAt));
    }
    if (endpoints.onColdStatement(attempt.endpoint, attempt.endpointStartedAt, *statement, attempt.sentAt, now)) {
        ++(statement->coldKnown ? m_components.metrics.coldStatements : m_components.metrics.coldUnreadable);
        log((statement->coldKnown ? " says that it is cold for_ms=" : " may be cold as its statement cannot be read for_ms=")
            + millisText(endpoints.find(attempt.endpoint)->warmup.coldUntil() - now));
    }
    if (statement->pause && endpoints.onPause(attempt.endpoint, attempt.endpointStartedAt, *statement->pause, now)) {
        ++m_components.metrics.pauses;
        log(" wants no requests for_ms=" + millisText(*statement->pause));
    }
}

void relay_requests::recordAttemptOutcome(const relay_entry &entry, bool succeeded)
{
    if (!entry.attempt) {
        return;
    }
    auto *const endpoint = m_components.endpoints.find(entry.attempt->endpoint);
    if (endpoint == nullptr) {
        return;
    }
    const auto now = m_components.clock.now();
    if (succeeded) {
        ++endpoint->unreported.successes;
        endpoint->endpointStatistics.onSuccess(now - entry.attempt->sentAt, now);
    } else {
        ++endpoint->unreported.failures;
        endpoint->endpointStatistics.onFailure(now);
    }
}

request_traits relay_requests::traitsOf(const relay_entry &entry)
{
    auto traits = entry.partTraits;
    const auto account = entry.account != nullptr ? entry.account->name : account_name{};
    traits.push_back(contentTrait(contentDigest(*entry.request.payload, account)));
    return sortedTraits(std::move(traits));
}

// Has the endpoint checked that broke off the answer: if it has ended, the requests that it was beginning to answer may have caused that.
void relay_requests::recordLostAnswer(const relay_entry &entry, const relay_attempt &attempt, reply_outcome replyOutcome)
{
    auto *const endpoint = m_components.endpoints.find(attempt.endpoint);
    if (endpoint == nullptr || replyOutcome != reply_outcome::Broken) {
        return;
    }
    const auto now = m_components.clock.now();
    if (attempt.proxy.empty() && m_components.ways.onBroken(*endpoint, now)) {
        m_components.commands.push_back(probe_endpoint{endpoint->info.name, endpoint->info.startedAt, endpoint->info.address, {}});
    }
    const bool isSuspect = !attempt.firstEventAt || now - *attempt.firstEventAt < soundAnswerTime;
    auto run = endpoint->info;
    run.startedAt = attempt.endpointStartedAt;
    const bool checks = m_components.quarantine.onLost(run, isSuspect ? traitsOf(entry) : request_traits{}, now);
    if (endpoint->info.startedAt > run.startedAt) {
        onAnnounced(endpoint->info); // The directory has shown the next run before the connection ended.
    } else if (checks) {
        m_components.commands.push_back(check_endpoint{run.name, run.address});
    }
}

void relay_requests::recordAnswer(const relay_entry &entry)
{
    auto &quarantine = m_components.quarantine;
    quarantine.onAnswered(quarantine.knowsCrashes() ? traitsOf(entry) : entry.partTraits, m_components.clock.now());
}

// Returns whether the request may have crashed an endpoint, so that no other one should get it from here.
bool relay_requests::isSuspicious(const relay_entry &entry) const
{
    return m_components.quarantine.knowsCrashes() && m_components.quarantine.isSuspicious(traitsOf(entry));
}

void relay_requests::probeWays(time_point now)
{
    if (m_silenceCheckAt && now >= *m_silenceCheckAt) {
        m_silenceCheckAt = m_attempts.empty() ? std::nullopt : std::optional(now + silenceCheckInterval);
        for (auto &probe : m_components.ways.onSilence(now)) {
            m_components.commands.push_back(std::move(probe));
        }
    }
    for (auto &probe : m_components.ways.probes(now)) {
        m_components.commands.push_back(std::move(probe));
    }
}

void relay_requests::recordCheck(const endpoint_checked &checked)
{
    const auto now = m_components.clock.now();
    if (!m_components.quarantine.onChecked(checked, now)) {
        m_components.logMessage(
            severity::Info, log_component::Monitor, "endpoint=" + checked.endpoint.value + " refused no connection after it had broken off an answer");
        return;
    }
    recordCrash(checked.endpoint);
    if (auto *const endpoint = m_components.endpoints.find(checked.endpoint)) {
        endpoint->onUnreachable(now);
        endpoint->runEndedAt = now;
    }
}

void relay_requests::onAnnounced(const relay_endpoint &endpoint)
{
    for (const auto &ended : m_components.quarantine.onAnnounced(endpoint, m_components.clock.now())) {
        recordCrash(ended);
    }
}

void relay_requests::recordCrash(const endpoint_name &endpoint)
{
    ++m_components.metrics.endpointCrashes;
    m_components.logMessage(severity::Warning, log_component::Monitor, "endpoint=" + endpoint.value + " has ended while it was answering");
}

bool relay_requests::spendRetry(const relay_entry &entry)
{
    if (!budgetOf(entry.service).spend()) {
        ++m_components.metrics.retriesDenied;
        return false;
    }
    ++m_components.metrics.retries;
    return true;
}

// Takes a retry back that was paid for and not sent.
void relay_requests::refundRetry(const relay_entry &entry)
{
    budgetOf(entry.service).refund();
    --m_components.metrics.retries;
}

void relay_requests::on(prefill_reply reply)
{
    auto *const entry = findByAttempt(reply.attempt);
    if (entry == nullptr) {
        return;
    }
    recordHeard(*entry->attempt);
    recordStatement(*entry->attempt, reply.statement);
    recordReportedLoad(*entry->attempt, reply.load, true);
    recordAttemptOutcome(*entry, true);
    const auto *const prefill = m_components.endpoints.find(entry->attempt->endpoint);
    const auto address = prefill != nullptr ? prefill->info.address : std::string{};
    closeAttempt(*entry);
    entry->source = prefill_source{address, std::move(reply.handle)};
    entry->prefilledAt = m_components.clock.now();
    auto *const decode = m_components.endpoints.find(entry->reservationEndpoint);
    const bool hasVersion = decode != nullptr && decode->serves(entry->version);
    const auto now = m_components.clock.now();
    // An endpoint that has become cold meanwhile takes no request without a permit.
    const bool isPermitted = decode != nullptr && (entry->reservationWasCold || !decode->warmup.isCold(now));
    if (hasVersion && isPermitted && decode->acceptsWork(now) && !m_components.endpoints.isHeld(now)) {
        sendDecode(*entry, *decode);
        scheduleWakeup(*entry);
        return;
    }
    onPrefillFailed(*entry);
}

// Places the request again. Without a prefill result the decode endpoint reads the prompt itself.
void relay_requests::onPrefillFailed(relay_entry &entry)
{
    releaseReservation(entry);
    entry.machine.apply(relay_event::requeued{});
    if (place(entry)) {
        scheduleWakeup(entry);
    } else if (!returnToOverdueAttempt(entry)) {
        enqueueOrRefuse(entry);
    }
}

// Ends an attempt whose endpoint sends something else than the stream.
void relay_requests::breakOff(relay_entry &entry, attempt_number number)
{
    m_components.commands.push_back(relay_abort{number});
    if (isOverdue(entry, number)) {
        onOverdueAttemptFailed(entry, reply_outcome::Broken, nullptr);
    } else {
        onLost(entry, reply_outcome::Broken);
    }
}

void relay_requests::on(stream_head head)
{
    auto *const entry = findByAttempt(head.attempt);
    if (entry == nullptr) {
        return;
    }
    auto &attempt = isOverdue(*entry, head.attempt) ? *entry->overdueAttempt : *entry->attempt;
    recordHeard(attempt);
    recordStatement(attempt, head.statement);
    recordReportedLoad(attempt, head.load, false);
    constexpr int statusNoContent = 204;
    if (entry->headSent && head.status != statusNoContent && mediaTypeOf(head.headers) != entry->mediaType) {
        breakOff(*entry, head.attempt);
        return;
    }
    attempt.framing = head.framing;
    attempt.headAt = m_components.clock.now();
    attempt.heldHead = std::move(head);
    if (entry->machine.stage() == relay_stage::Forwarded) {
        entry->machine.apply(relay_event::streaming{});
    }
    // While two endpoints have the request, the first event decides which of them answers it.
    if (!entry->overdueAttempt) {
        forwardHead(*entry);
    } else {
        scheduleWakeup(*entry);
    }
}

void relay_requests::on(const stream_part &part)
{
    auto *const entry = findByAttempt(part.attempt);
    if (entry == nullptr) {
        return;
    }
    const auto now = m_components.clock.now();
    const bool overdue = isOverdue(*entry, part.attempt);
    auto &attempt = overdue ? *entry->overdueAttempt : *entry->attempt;
    recordHeard(attempt);
    attempt.lastBytesAt = now;
    auto *const endpoint = m_components.endpoints.find(attempt.endpoint);
    if (endpoint != nullptr) {
        auto &work = endpoint->open[part.attempt];
        if (!work.answered) {
            work.answered = true;
            ++m_workVersion;
            ++endpoint->unreported.successes;
            endpoint->endpointStatistics.onSuccess(now - attempt.sentAt, now);
            m_components.metrics.firstEvent.add(now - entry->arrivedAt);
        }
    }
    const auto [events, isNew, bytes] = readEvents(*entry, attempt, part.bytes);
    if (attempt.splitter.isOverlong()) {
        breakOff(*entry, part.attempt);
        return;
    }
    // Only whole events are progress, so that an endpoint that sends a byte now and then counts as stalled.
    if (events > 0) {
        keepAttempt(*entry, part.attempt);
        if (!bindVersion(*entry)) {
            entry->lastEventId = entry->request.resumeAfter; // The caller does not get the events.
            breakOff(*entry, part.attempt);
            return;
        }
        forwardHead(*entry);
        if (isNew) {
            onEndRefuted(*entry, now);
        }
        onStreamProgress(*entry, now);
    }
    if (entry->heldUntil) {
        entry->heldBytes += bytes;
    } else if (!bytes.empty()) {
        m_components.commands.push_back(answer_stream_bytes{entry->request.caller, bytes});
    }
}

void relay_requests::onStreamProgress(relay_entry &entry, time_point now)
{
    if (entry.firstEventAt) {
        entry.longestGap = std::max(entry.longestGap, now - entry.lastPartAt);
    }
    if (!entry.firstEventAt && entry.request.tokens && entry.placedAt) {
        m_components.placement.recordStartDelay(now - *entry.placedAt - readingTime(entry.request.tokens->prompt, m_components.speeds.prefillTokensPerMs));
    }
    entry.firstEventAt = entry.firstEventAt.value_or(now);
    entry.attempt->firstEventAt = entry.attempt->firstEventAt.value_or(now);
    if (now - *entry.attempt->firstEventAt >= soundAnswerTime && !std::exchange(entry.answerRecorded, true)) {
        recordAnswer(entry);
    }
    entry.lastPartAt = now;
    if (entry.canRepeat() && entry.runs < entry.route->attempts) {
        entry.attempt->failoverAt = now + std::max<duration>(entry.route->gapObjective * gapFactor, minFailoverGap);
    }
    scheduleWakeup(entry);
}

// Returns the number of events that the bytes complete, and the bytes for the caller. A stream that may resume at another endpoint is passed
// on in whole events only, and without those that the caller has.
relay_requests::stream_bytes relay_requests::readEvents(relay_entry &entry, relay_attempt &attempt, std::string_view bytes)
{
    stream_bytes result;
    const bool tellsEnds = attempt.framing == answer_framing::Close || entry.route->resumable;
    auto *const history = tellsEnds ? &m_endHistories[{entry.service, attempt.version}] : nullptr;
    attempt.splitter.feed(bytes, [&](std::string_view event, std::optional<std::uint64_t> id) {
        ++result.events;
        attempt.lastId = id ? id : attempt.lastId;
        if (event_splitter::hasField(event)) {
            if (history != nullptr && attempt.events > 0) {
                history->onContinued(attempt.lastEvent);
            }
            attempt.lastEvent = history != nullptr ? digestOfEvent(event) : 0;
            ++attempt.events;
        }
        if (!entry.route->resumable || (id && entry.lastEventId && *id <= *entry.lastEventId)) {
            return;
        }
        entry.lastEventId = id ? id : entry.lastEventId;
        result.isNew = result.isNew || event_splitter::hasField(event);
        result.forCaller += event;
    });
    if (!entry.route->resumable) {
        result.forCaller = bytes;
    }
    return result;
}

void relay_requests::on(const caller_disconnected &message)
{
    const auto found = m_entries.find(message.caller);
    if (found == m_entries.end()) {
        return;
    }
    auto &entry = *found->second;
    finish(entry, "caller_gone", 0);
}

} // namespace plantainpoint
