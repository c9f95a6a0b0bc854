// Ends of attempts and requests: replies are forwarded, retried or turned into failures.
#include "relay_requests.hpp"

#include <algorithm>

#include "request_traits.hpp"

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

constexpr duration fullBackoff = milliseconds{40}; // An endpoint that refused work frees a slot in about this time.
constexpr std::int32_t extraDispatches = 2; // Extra dispatches after refusals that ran nothing.
constexpr duration failoverCheckInterval = milliseconds{100}; // Pause between two looks for another endpoint for an overdue attempt.
constexpr int firstServerError = 500;
// Attempts of a request of which nothing was sent. They find out which ways are open, so that more of them would not help.
constexpr std::int32_t maxUnsent = 8;
constexpr std::int32_t maxUnsentSuspicious = 2; // Of a request that may have crashed endpoints.

std::string tokensText(const relay_entry &entry)
{
    const auto &tokens = entry.request.tokens;
    return tokens ? std::to_string(tokens->prompt) + '+' + std::to_string(tokens->output) : std::string("-");
}

// Returns what tells whether two lost requests have something in common.
std::string contentText(const relay_entry &entry)
{
    std::string parts;
    for (const auto &part : entry.request.parts) {
        parts += (parts.empty() ? "" : ",") + part.value;
    }
    const auto account = entry.account != nullptr ? entry.account->name : account_name{};
    return " content=" + contentDigest(*entry.request.payload, account) + " parts=" + (parts.empty() ? "-" : parts);
}

// Returns how the stream of the attempt ended, or nothing if no stream has begun.
std::string streamText(const std::optional<relay_attempt> &attempt)
{
    if (!attempt || !attempt->framing) {
        return {};
    }
    return " framing=" + std::string(nameOf(*attempt->framing)) + " events=" + std::to_string(attempt->events)
           + " unfinished_bytes=" + std::to_string(attempt->splitter.rest().size());
}

// Returns whether a stream is incomplete although its connection ended regularly. The end of the connection shows neither that an event is whole nor,
// without a length, that the endpoint has begun to write events. A caller that has events may have all of them.
bool breaksOff(const relay_entry &entry, const relay_attempt &attempt)
{
    const bool hasNothing = attempt.events == 0 && !(entry.route->resumable && entry.lastEventId);
    return attempt.splitter.isInsideEvent() || (attempt.framing == answer_framing::Close && hasNothing);
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

void relay_requests::on(relay_reply reply)
{
    auto *const entry = findByAttempt(reply.attempt);
    if (entry == nullptr) {
        return;
    }
    const auto &answered = isOverdue(*entry, reply.attempt) ? *entry->overdueAttempt : *entry->attempt;
    recordHeard(answered);
    recordStatement(answered, reply.statement);
    recordReportedLoad(answered, reply.load, true);
    if (isOverdue(*entry, reply.attempt)) {
        // A stream that has begun has no other answer than its events.
        if (reply.notRun || reply.wrongEndpoint || !reply.genuine || entry->headSent) {
            onOverdueAttemptFailed(*entry, reply_outcome::Broken, &reply);
            return;
        }
        keepAttempt(*entry, reply.attempt);
    }
    if (reply.notRun || reply.wrongEndpoint) {
        ++m_components.metrics.notRun;
        onNotRun(*entry, reply);
        return;
    }
    if (entry->attempt->kind == dispatch_kind::Prefill) {
        // The answer carries no prefill result, whatever its status.
        recordAttemptOutcome(*entry, false);
        closeAttempt(*entry);
        onPrefillFailed(*entry);
        return;
    }
    if (!reply.genuine) {
        onLost(*entry, reply_outcome::Broken);
        return;
    }
    if (reply.framing == answer_framing::Close && isSuccess(reply.status)) {
        entry->heldReply = std::move(reply);
        onUnmarkedEnd(*entry);
        return;
    }
    acceptReply(*entry, std::move(reply));
}

// Ends the request with the answer. A failure that the endpoint itself answers is the result of the request, as another endpoint would give the same one.
void relay_requests::acceptReply(relay_entry &entry, relay_reply reply)
{
    recordAttemptOutcome(entry, isSuccess(reply.status) || reply.status < firstServerError);
    if (isSuccess(reply.status)) {
        recordAnswer(entry);
    }
    closeAttempt(entry);
    if (entry.headSent) {
        if (!returnToOverdueAttempt(entry)) {
            abortStream(entry, "the endpoint refused to resume the stream");
        }
        return;
    }
    forwardReply(entry, std::move(reply));
}

void relay_requests::recordHoldTime(const relay_entry &entry)
{
    auto *const endpoint = m_components.endpoints.find(entry.lastEndpoint);
    if (endpoint != nullptr && entry.placedAt) {
        endpoint->endpointStatistics.addHoldTime(m_components.clock.now() - *entry.placedAt);
    }
}

void relay_requests::forwardReply(relay_entry &entry, relay_reply reply)
{
    recordHoldTime(entry);
    const int status = reply.status;
    entry.isUnmarked = reply.framing == answer_framing::Close;
    m_components.metrics.plainAnswer.add(m_components.clock.now() - entry.arrivedAt);
    m_components.commands.push_back(answer_plain{entry.request.caller, {}, status, std::move(reply.headers), std::move(reply.body)});
    finish(entry, "answered", status);
}

void relay_requests::on(const relay_attempt_ended &message)
{
    auto *const entry = findByAttempt(message.attempt);
    if (entry == nullptr) {
        return;
    }
    const bool overdue = isOverdue(*entry, message.attempt);
    const bool complete = message.end == reply_outcome::Complete && !breaksOff(*entry, overdue ? *entry->overdueAttempt : *entry->attempt);
    if (overdue && !complete) {
        onOverdueAttemptFailed(*entry, message.end == reply_outcome::Complete ? reply_outcome::Broken : message.end, nullptr);
        return;
    }
    if (complete) {
        keepAttempt(*entry, message.attempt);
        forwardHead(*entry);
        if (entry->attempt->framing == answer_framing::Close) {
            onUnmarkedEnd(*entry);
        } else if (entry->isAskingForRest()) {
            onEndProved(*entry);
        } else {
            recordMarkedEnd(*entry);
            completeStream(*entry);
        }
        return;
    }
    if (message.end == reply_outcome::Complete) {
        onLost(*entry, reply_outcome::Broken);
        return;
    }
    if (isUnsent(message.end)) {
        onUnsent(*entry, message.end);
    } else if (entry->attempt->kind == dispatch_kind::Prefill) {
        recordAttemptOutcome(*entry, false);
        recordLostAnswer(*entry, *entry->attempt, message.end);
        closeAttempt(*entry);
        onPrefillFailed(*entry);
    } else {
        onLost(*entry, message.end);
    }
}

// Handles the refusal of an endpoint that has not run the request and never will.
void relay_requests::onNotRun(relay_entry &entry, const relay_reply &reply)
{
    const auto name = entry.attempt->endpoint;
    const bool prefill = entry.attempt->kind == dispatch_kind::Prefill;
    recordNotRun(entry, *entry.attempt, &reply);
    auto source = std::move(entry.attempt->source);
    closeAttempt(entry);
    if (prefill) {
        onPrefillFailed(entry);
        return;
    }
    --entry.runs;
    recoverSource(entry, std::move(source));
    entry.triedEndpoints.insert(name);
    dispatchAgain(entry, true);
}

// Handles an attempt of which nothing was sent. It counts neither as a dispatch nor as a retry.
void relay_requests::onUnsent(relay_entry &entry, reply_outcome end)
{
    recordUnsent(*entry.attempt, end);
    logNotRun(entry, *entry.attempt, nullptr);
    const bool prefill = entry.attempt->kind == dispatch_kind::Prefill;
    auto source = std::move(entry.attempt->source);
    closeAttempt(entry);
    ++entry.unsent;
    if (prefill) {
        // No endpoint has read the prompt, so that the next prefill is the first one.
        entry.prefillTried = entry.unsent >= maxUnsent;
        onPrefillFailed(entry);
        return;
    }
    --entry.runs;
    --entry.dispatches;
    recoverSource(entry, std::move(source));
    dispatchAgain(entry, false);
}

// Places a request again of which the last attempt ran nothing.
void relay_requests::dispatchAgain(relay_entry &entry, bool spendsRetry)
{
    if (entry.isAskingForRest()) {
        if (!spendsRetry) {
            refundRetry(entry); // Nothing was sent.
        }
        onAskFailed(entry);
        return;
    }
    const bool mayAgain = spendsRetry ? mayDispatchAgain(entry) && spendRetry(entry) : mayTryAgain(entry);
    if (mayAgain) {
        entry.machine.apply(relay_event::requeued{});
        if (place(entry)) {
            scheduleWakeup(entry);
            return;
        }
        // Every other endpoint is full as well. Those that refused may have room by the time the request is placed.
        entry.triedEndpoints.clear();
        if (!returnToOverdueAttempt(entry)) {
            enqueueOrRefuse(entry);
        } else if (spendsRetry) {
            refundRetry(entry);
        }
        return;
    }
    if (returnToOverdueAttempt(entry)) {
        return;
    }
    if (entry.headSent) {
        abortStream(entry, "no endpoint resumes the stream");
    } else {
        failRequest(entry, failure::Overloaded, outcome::NotRun, "no tried endpoint ran the request");
    }
}

// Avoids the endpoint for a moment, or until the directory shows it alive if another endpoint may have its address.
void relay_requests::recordNotRun(const relay_entry &entry, const relay_attempt &attempt, const relay_reply *reply)
{
    auto *const endpoint = m_components.endpoints.find(attempt.endpoint);
    if (endpoint != nullptr && reply != nullptr && reply->wrongEndpoint) {
        endpoint->onMisdirected(attempt.announcements, m_components.clock.now());
    } else if (endpoint != nullptr && reply != nullptr) {
        endpoint->fullUntil = m_components.clock.now() + fullBackoff;
    }
    logNotRun(entry, attempt, reply);
}

void relay_requests::logNotRun(const relay_entry &entry, const relay_attempt &attempt, const relay_reply *reply) const
{
    const auto *const endpoint = m_components.endpoints.find(attempt.endpoint);
    std::string text = "request=" + entry.request.payload->id + " not run kind=" + std::string(nameOf(attempt.kind)) + " endpoint=" + attempt.endpoint.value;
    text += " status=" + std::to_string(reply != nullptr ? reply->status : 0);
    if (reply != nullptr && reply->load) {
        text += " reported=" + std::to_string(reply->load->running) + '+' + std::to_string(reply->load->waiting);
    }
    if (endpoint != nullptr) {
        const auto own = endpoint->ownLoad();
        const auto others = m_components.fleet.loadAt(attempt.endpoint);
        text += " own=" + std::to_string(own.running) + '/' + std::to_string(own.kvTokens) + " others=" + std::to_string(others.running) + '/'
                + std::to_string(others.kvTokens);
    }
    text += attempt.proxy.empty() ? "" : " proxy=" + attempt.proxy;
    text += " after_ms=" + millisText(m_components.clock.now() - attempt.sentAt);
    m_components.logMessage(severity::Info, log_component::Place, std::move(text));
}

void relay_requests::logLost(const relay_entry &entry, const relay_attempt &attempt, reply_outcome replyOutcome) const
{
    m_components.logMessage(severity::Info,
                            log_component::Place,
                            "request=" + entry.request.payload->id + " attempt lost endpoint=" + attempt.endpoint.value
                                + " end=" + std::string(nameOf(replyOutcome)) + " runs=" + std::to_string(entry.runs)
                                + " first_event=" + (entry.firstEventAt ? "yes" : "no") + " after_ms=" + millisText(m_components.clock.now() - attempt.sentAt)
                                + streamText(attempt) + contentText(entry));
}

// Handles the end of an overdue attempt without an answer. The attempt at another endpoint goes on.
void relay_requests::onOverdueAttemptFailed(relay_entry &entry, reply_outcome replyOutcome, const relay_reply *reply)
{
    const bool notRun = isUnsent(replyOutcome) || (reply != nullptr && (reply->notRun || reply->wrongEndpoint));
    if (notRun) {
        if (reply == nullptr) {
            recordUnsent(*entry.overdueAttempt, replyOutcome);
        }
        recordNotRun(entry, *entry.overdueAttempt, reply);
        --entry.runs;
        recoverSource(entry, std::move(entry.overdueAttempt->source));
    } else {
        logLost(entry, *entry.overdueAttempt, replyOutcome);
        recordLostAnswer(entry, *entry.overdueAttempt, replyOutcome);
    }
    close(entry.overdueAttempt);
    forwardHead(entry);
    scheduleWakeup(entry);
}

// Handles an attempt that was sent and whose outcome is unknown.
void relay_requests::onLost(relay_entry &entry, reply_outcome replyOutcome)
{
    recordAttemptOutcome(entry, false);
    logLost(entry, *entry.attempt, replyOutcome);
    recordLostAnswer(entry, *entry.attempt, replyOutcome);
    if (entry.attempt->framing == answer_framing::Close && !entry.isAskingForRest()) {
        m_endHistories[{entry.service, entry.attempt->version}].onBroken(m_components.clock.now());
    }
    entry.triedEndpoints.insert(entry.attempt->endpoint);
    closeAttempt(entry);
    if (entry.isAskingForRest()) {
        onAskFailed(entry);
        return;
    }
    const bool mayRepeat = entry.canRepeat() && entry.runs < entry.route->attempts && !isSuspicious(entry) && spendRetry(entry);
    if (mayRepeat && retryElsewhere(entry)) {
        return;
    }
    if (returnToOverdueAttempt(entry)) {
        if (mayRepeat) {
            refundRetry(entry);
        }
        return;
    }
    if (mayRepeat) {
        enqueueOrRefuse(entry);
        return;
    }
    if (entry.headSent) {
        abortStream(entry, "the endpoint did not complete the stream");
    } else {
        const bool timedOut = replyOutcome == reply_outcome::TimedOut;
        failRequest(entry, timedOut ? failure::DeadlineExceeded : failure::EndpointFailed, outcome::Unknown, "the endpoint did not answer");
    }
}

// Returns false when no other endpoint has room. The entry is then unchanged except for its stage.
bool relay_requests::retryElsewhere(relay_entry &entry)
{
    entry.machine.apply(relay_event::requeued{});
    if (!place(entry)) {
        return false;
    }
    if (entry.headSent) {
        ++m_components.metrics.resumes;
    }
    scheduleWakeup(entry);
    return true;
}

void relay_requests::abortStream(relay_entry &entry, std::string_view reason)
{
    if (entry.isAskingForRest() && entry.unmarkedEnd->doubt == end_doubt::None) {
        completeStream(entry);
        return;
    }
    m_components.commands.push_back(abort_answer{entry.request.caller});
    finish(entry, "broken detail=\"" + std::string(reason) + '"', 200);
}

void relay_requests::tick(time_point now)
{
    while (!m_wakeups.empty() && m_wakeups.begin()->first <= now) {
        const auto caller = m_wakeups.begin()->second;
        m_wakeups.erase(m_wakeups.begin());
        m_wakeupOf.erase(caller);
        auto &entry = *m_entries.at(caller);
        if (now >= entry.deadline) {
            if (entry.headSent) {
                abortStream(entry, "the deadline passed before the end of the stream");
            } else if (entry.runs > 0) {
                recordAttemptOutcome(entry, false);
                failRequest(entry, failure::DeadlineExceeded, outcome::Unknown, "no answer before the deadline");
            } else {
                failRequest(entry, failure::Overloaded, outcome::NotRun, "no place in time");
            }
        } else if (entry.isStream() && entry.firstEventAt && entry.attempt && now >= stalledAt(entry)) {
            recordAttemptOutcome(entry, false);
            abortStream(entry, "the endpoint sent no further event");
        } else if (entry.heldUntil && now >= *entry.heldUntil) {
            onHoldDue(entry);
        } else if (entry.lookup && entry.lookup->answersUntil && now >= *entry.lookup->answersUntil) {
            onAnswersDue(entry);
        } else if (entry.waitsForProof() && now >= *entry.unmarkedEnd->dueAt) {
            onUnmarkedEndDue(entry);
        } else if (entry.limitRetryAt && now >= *entry.limitRetryAt) {
            onLimitDue(entry);
        } else if (entry.ask && now >= askDueAt(*entry.ask)) {
            onAskOverdue(entry);
        } else if (entry.machine.stage() == relay_stage::Waiting && !entry.waitsForProof()) {
            failRequest(entry, failure::Overloaded, outcome::NotRun, "no place in time");
        } else if (const auto endsAt = overdueAttemptEndsAt(entry); endsAt && now >= *endsAt) {
            abort(entry.overdueAttempt);
            forwardHead(entry);
            scheduleWakeup(entry);
        } else if (entry.attempt && entry.attempt->failoverAt && now >= *entry.attempt->failoverAt) {
            failOver(entry);
        } else {
            scheduleWakeup(entry);
        }
    }
}

// Returns whether the request may be tried again after attempts of which nothing was sent.
bool relay_requests::mayTryAgain(const relay_entry &entry) const
{
    return entry.unsent < (isSuspicious(entry) ? maxUnsentSuspicious : maxUnsent);
}

bool relay_requests::mayDispatchAgain(const relay_entry &entry)
{
    return entry.dispatches < entry.route->attempts + extraDispatches;
}

// Returns whether an overdue attempt may be replaced now. A request is at two endpoints at most.
bool relay_requests::mayFailOver(const relay_entry &entry)
{
    if (entry.attempt->kind == dispatch_kind::Prefill) {
        // A prompt that nobody else can read is left where it is while the request may wait for a place.
        return canPlaceElsewhere(entry) || m_components.clock.now() >= waitEndsAt(entry);
    }
    const bool mayRepeat =
        !entry.overdueAttempt && !entry.isAskingForRest() && entry.runs < entry.route->attempts && mayDispatchAgain(entry) && !isSuspicious(entry);
    return mayRepeat && budgetOf(entry.service).left() > 0 && canPlaceElsewhere(entry) && spendRetry(entry);
}

// Tries another endpoint with room for an overdue attempt. The overdue attempt is left when the other one is answered, as a silent endpoint may go on and
// the other one may refuse. Reading a prompt begins again elsewhere.
void relay_requests::failOver(relay_entry &entry)
{
    const auto name = entry.attempt->endpoint;
    const bool prefill = entry.attempt->kind == dispatch_kind::Prefill;
    if (!mayFailOver(entry)) {
        entry.attempt->failoverAt = m_components.clock.now() + failoverCheckInterval;
        scheduleWakeup(entry);
        return;
    }
    entry.attempt->failoverAt.reset();
    recordAttemptOutcome(entry, false);
    const auto silence = m_components.clock.now() - (entry.attempt->events > 0 ? entry.lastPartAt : entry.attempt->sentAt);
    m_components.logMessage(severity::Info,
                            log_component::Place,
                            "request=" + entry.request.payload->id + " attempt overdue endpoint=" + name.value + " silent_ms=" + millisText(silence)
                                + contentText(entry));
    entry.triedEndpoints.insert(name);
    if (prefill) {
        abort(entry.attempt);
        onPrefillFailed(entry);
        return;
    }
    entry.overdueAttempt = std::exchange(entry.attempt, std::nullopt);
    if (!retryElsewhere(entry)) {
        refundRetry(entry);
        returnToOverdueAttempt(entry);
    }
}

bool relay_requests::canPlaceElsewhere(const relay_entry &entry)
{
    auto request = placementRequestOf(entry);
    request.excluded.insert(entry.attempt->endpoint);
    request.mayPrefill = false;
    return m_components.placement.choose(request, m_components.clock.now()).has_value();
}

// Ends a request whose caller has its final answer or has disconnected.
void relay_requests::finish(relay_entry &entry, std::string_view result, int status)
{
    logResult(entry, result, status);
    abort(entry.attempt);
    abort(entry.overdueAttempt);
    releaseReservation(entry);
    releaseSource(entry);
    removeFromQueue(entry);
    m_unprovedEnds.erase(entry.request.caller);
    endLimitWait(entry);
    withdrawAsk(entry);
    if (entry.lookup) {
        m_originAsks.erase(entry.lookup->ask);
    }
    entry.machine.apply(relay_event::ended{});
    const auto caller = entry.request.caller;
    const auto wakeup = m_wakeupOf.find(caller);
    if (wakeup != m_wakeupOf.end()) {
        m_wakeups.erase({wakeup->second, caller});
        m_wakeupOf.erase(wakeup);
    }
    m_entries.erase(caller);
}

void relay_requests::logResult(const relay_entry &entry, std::string_view result, int status) const
{
    const auto kind = result.substr(0, result.find(' '));
    const auto found = m_components.metrics.results.find(kind);
    if (found == m_components.metrics.results.end()) {
        m_components.metrics.results.emplace(kind, 1);
    } else {
        ++found->second;
    }
    std::string text = "request=" + entry.request.payload->id + " result=" + std::string(result) + " status=" + std::to_string(status)
                       + " stage=" + std::string(nameOf(entry.machine.stage())) + " route=" + entry.route->name + " service=" + entry.service.value;
    text += " account=" + (entry.account != nullptr ? entry.account->name.value : std::string("-"));
    text += " endpoint=" + (entry.lastEndpoint.empty() ? std::string("-") : entry.lastEndpoint.value);
    text += " dispatches=" + std::to_string(entry.dispatches) + (entry.prefillTried ? "+prefill" : "") + " tokens=" + tokensText(entry)
            + " total_ms=" + millisText(m_components.clock.now() - entry.arrivedAt);
    if (entry.firstEventAt) {
        text += " first_ms=" + millisText(*entry.firstEventAt - entry.arrivedAt) + " gap_ms=" + millisText(entry.longestGap);
    }
    text += streamText(entry.attempt);
    if (entry.headSent && entry.lastEventId) {
        text += " last_event=" + std::to_string(*entry.lastEventId);
    }
    text += entry.isUnmarked ? " framing=close" : "";
    if (entry.version) {
        text += " version=" + entry.version->value;
    }
    if (entry.versionSource && entry.version) {
        text += " version_from=" + std::string(nameOf(*entry.versionSource));
    }
    if (!entry.request.resumes.empty()) {
        text += " resumes=" + entry.request.resumes;
    }
    if (entry.placedAt) {
        text += " placed_ms=" + millisText(*entry.placedAt - entry.arrivedAt);
        text += entry.knowledge.empty() ? "" : " load=" + std::string(entry.knowledge);
    }
    text += " config=" + std::to_string(entry.table->version()) + " directory=" + std::to_string(m_components.endpoints.position());
    m_components.logMessage(severity::Info, log_component::Http, std::move(text));
}

} // namespace plantainpoint
