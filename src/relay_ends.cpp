// Ends of answers that nothing but the end of their connection marks. The system ends the connections of a process that has ended in the same way, so that
// such an answer may be a part of one. A stream that may resume is complete when it has been proved to be: another endpoint has nothing to add, or it ends
// like those of which this is known. Without a proof it is broken off, and its caller takes it up.
#include "relay_requests.hpp"

#include <algorithm>
#include <utility>

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

// A process that ends may close its listener this long after its connections. The caller of a stream has all events while its end is checked, others wait
// for their answers.
constexpr duration streamWatchTime = milliseconds{150};
constexpr duration answerWatchTime = milliseconds{40};
constexpr std::int64_t objectiveParts = 4; // A check of an answer takes one part of so many of the objective at most.
// Time for another endpoint to send an event behind the last one. The caller of a stream waits for two seconds at least.
constexpr duration confirmationTime = milliseconds{1000};
constexpr duration doubtedAskTime = milliseconds{2000}; // For the answer to a stream that is broken off without it.
constexpr duration askWaitTime = milliseconds{1500}; // Longest wait of such a stream for a retry and a place.
constexpr duration lateBytesTime = milliseconds{500}; // A VM that was suspended has read what arrived meanwhile within this time.
constexpr duration askRetryInterval = milliseconds{50}; // Pause between two tries to find a retry and a place.
// After one of its streams has proved incomplete, an endpoint's streams without a mark of their end that no other one can prove count as broken off.
constexpr duration distrustTime = std::chrono::seconds{30};

// Returns whether the stream is as good as broken.
bool isLoss(end_doubt doubt)
{
    return doubt == end_doubt::EndpointEnded || doubt == end_doubt::EndpointRestarted || doubt == end_doubt::OtherEvent;
}

// Returns whether a whole stream may well end so.
bool isWeak(end_doubt doubt)
{
    return doubt == end_doubt::NothingProved || doubt == end_doubt::NoEvent || doubt == end_doubt::OtherSilence || doubt == end_doubt::SameMoment;
}

// Returns whether other streams of the endpoint may have ended early at the same moment.
bool isSignOfLoss(end_doubt doubt)
{
    switch (doubt) {
    case end_doubt::EndpointEnded:
    case end_doubt::EndpointRestarted:
    case end_doubt::EndpointUnreached:
    case end_doubt::OtherEvent:
    case end_doubt::OtherSilence:
        return true;
    case end_doubt::None:
    case end_doubt::EndpointUnlisted:
    case end_doubt::EndpointLeaving:
    case end_doubt::EndpointRefuted:
    case end_doubt::NoEvent:
    case end_doubt::NothingProved:
    case end_doubt::SameMoment:
        break;
    }
    return false;
}

} // namespace

stream_end_history &relay_requests::endHistoryOf(const relay_entry &entry)
{
    return m_endHistories[{entry.service, entry.unmarkedEnd->endpointVersion}];
}

// Returns whether another endpoint can tell what follows the last event.
bool relay_requests::canProveEnd(const relay_entry &entry)
{
    return entry.isStream() && entry.route->resumable && entry.route->attempts > 1 && entry.lastEventId;
}

// Returns whether the attempt has repeated events that the caller has, and has ended before the last one of them.
bool relay_requests::isBehindCaller(const relay_entry &entry)
{
    return entry.attempt->lastId && entry.lastEventId && *entry.attempt->lastId < *entry.lastEventId;
}

// Decides on an answer that has ended with its connection, when it is known whether its endpoint has ended.
void relay_requests::onUnmarkedEnd(relay_entry &entry)
{
    auto &attempt = *entry.attempt;
    const auto now = m_components.clock.now();
    attempt.failoverAt.reset();
    ++m_components.metrics.unmarkedAnswers;
    if (!entry.isAskingForRest()) {
        entry.unmarkedEnd = unmarked_end{.endpoint = attempt.endpoint,
                                         .endpointStartedAt = attempt.endpointStartedAt,
                                         .endpointVersion = attempt.version,
                                         .at = now,
                                         .events = isBehindCaller(entry) ? 0 : attempt.events};
        if (entry.isStream() && entry.unmarkedEnd->events > 0) {
            const auto intervals = static_cast<std::int64_t>(std::max<std::uint64_t>(attempt.events - 1, 1));
            entry.unmarkedEnd->shape = {.finalEvent = attempt.lastEvent,
                                        .silence = now - attempt.lastBytesAt,
                                        .eventInterval = (entry.lastPartAt - *attempt.firstEventAt) / intervals,
                                        .isSilenceKnown = !arrivedLate(attempt.lastBytesAt)};
            recordSignOfLoss(entry, endHistoryOf(entry).compare(entry.unmarkedEnd->shape, now));
        }
    } else {
        entry.unmarkedEnd->askedEndAt = now;
    }
    auto *const endpoint = m_components.endpoints.find(attempt.endpoint);
    if (endpoint != nullptr) {
        endpoint->open.erase(attempt.number); // The endpoint has no more to do.
        ++m_workVersion;
    }
    const bool isJudged = !entry.isAskingForRest() && entry.isStream() && entry.unmarkedEnd->events > 0 && endHistoryOf(entry).hasFinalEvent();
    const bool knowsEnd = isJudged && (canProveEnd(entry) || endHistoryOf(entry).compare(entry.unmarkedEnd->shape, now) == end_doubt::None);
    // An endpoint that leaves may have closed its listener before its last answers.
    if (knowsEnd || stateOf(attempt.endpoint, attempt.endpointStartedAt) != end_doubt::None) {
        decideEnd(entry);
        return;
    }
    const auto watchTime = entry.isStream() ? streamWatchTime : std::min<duration>(answerWatchTime, entry.route->objective / objectiveParts);
    const auto &info = endpoint->info;
    m_components.commands.push_back(check_answer_end{attempt.number, info.name, info.startedAt, info.address, attempt.proxy, watchTime});
    scheduleWakeup(entry);
}

// Learns with which event whole streams end from one whose end is marked.
void relay_requests::recordMarkedEnd(const relay_entry &entry)
{
    const auto &attempt = *entry.attempt;
    if (canProveEnd(entry) && attempt.events > 0 && !isBehindCaller(entry)) {
        m_endHistories[{entry.service, attempt.version}].onMarked(attempt.lastEvent);
    }
}

// Returns whether bytes may have arrived while this VM was suspended, and with them the end of their connection.
bool relay_requests::arrivedLate(time_point at) const
{
    const auto resumedAt = m_components.resumedAt;
    return at >= resumedAt && at - resumedAt < lateBytesTime;
}

// Records an end that other streams of the endpoint may have shared. What the end itself tells is recorded before the endpoint is checked, as the checks of
// streams that ended at the same moment are answered in any order.
void relay_requests::recordSignOfLoss(relay_entry &entry, end_doubt doubt)
{
    auto &end = *entry.unmarkedEnd;
    if (canProveEnd(entry) && isSignOfLoss(doubt) && !std::exchange(end.isRecorded, true)) {
        endHistoryOf(entry).doubt(entry.request.caller, end.endpoint, end.at);
    }
}

void relay_requests::on(const answer_end_checked &checked)
{
    auto *const entry = findByAttempt(checked.attempt);
    if (entry == nullptr || !entry->unmarkedEnd) {
        return;
    }
    auto &end = *entry->unmarkedEnd;
    (end.isAsked ? end.askedCheck : end.check) = checked.result;
    end.checkTime = checked.elapsed;
    decideEnd(*entry);
}

// Returns what this VM knows of the run of an endpoint after the end of its answer.
end_doubt relay_requests::stateOf(const endpoint_name &name, std::int64_t startedAt)
{
    const auto *const endpoint = m_components.endpoints.find(name);
    if (endpoint == nullptr) {
        return end_doubt::EndpointUnlisted;
    }
    if (endpoint->info.startedAt > startedAt) {
        return end_doubt::EndpointRestarted;
    }
    return endpoint->isLeaving(m_components.clock.now()) ? end_doubt::EndpointLeaving : end_doubt::None;
}

// Returns why the end of a connection may not be that of the answer.
end_doubt relay_requests::doubtOf(const relay_entry &entry)
{
    const auto &end = *entry.unmarkedEnd;
    const auto now = m_components.clock.now();
    auto &history = endHistoryOf(entry);
    const bool hasEvent = entry.isStream() && end.events > 0;
    const auto shape = hasEvent ? history.compare(end.shape, now) : end_doubt::NoEvent;
    // Streams of another route may end with another event, and one that may not resume cannot show it.
    if (hasEvent && history.hasFinalEvent() && (canProveEnd(entry) || shape == end_doubt::None)) {
        return shape;
    }
    if (end.check == end_check::Refused) {
        return end_doubt::EndpointEnded;
    }
    if (const auto state = stateOf(end.endpoint, end.endpointStartedAt); state != end_doubt::None) {
        return state;
    }
    if (end.check != end_check::Accepted) {
        return end_doubt::EndpointUnreached;
    }
    if (canProveEnd(entry)) {
        const bool isShared = shape == end_doubt::None && history.hasDoubt(entry.request.caller, end.endpoint, end.at);
        return isShared ? end_doubt::SameMoment : shape;
    }
    const auto *const endpoint = m_components.endpoints.find(end.endpoint);
    const bool isDistrusted = entry.isStream() && endpoint->endRefutedAt && now - *endpoint->endRefutedAt < distrustTime;
    return isDistrusted ? end_doubt::EndpointRefuted : end_doubt::None;
}

void relay_requests::decideEnd(relay_entry &entry)
{
    if (entry.isAskingForRest()) {
        decideAskedEnd(entry);
        return;
    }
    auto &end = *entry.unmarkedEnd;
    const bool isFirst = !end.doubt;
    end.doubt = doubtOf(entry);
    if (!canProveEnd(entry)) {
        // An endpoint that leaves may have closed its listener before its last answers.
        const bool isComplete = end.doubt == end_doubt::None || end.doubt == end_doubt::EndpointLeaving || end.doubt == end_doubt::EndpointUnlisted;
        if (!isComplete) {
            ++m_components.metrics.unmarkedEndsRefuted;
            entry.heldReply.reset();
            logUnmarkedEnd(entry, "lost");
            onLost(entry, reply_outcome::Broken);
        } else if (auto reply = std::exchange(entry.heldReply, std::nullopt)) {
            logUnmarkedEnd(entry, "complete");
            acceptReply(entry, std::move(*reply));
        } else {
            completeStream(entry);
        }
        return;
    }
    const bool isLost = isLoss(*end.doubt);
    recordSignOfLoss(entry, *end.doubt);
    if (isFirst && isLost) {
        ++m_components.metrics.unmarkedEndsRefuted;
        endHistoryOf(entry).onBroken(m_components.clock.now());
        recordAttemptOutcome(entry, false);
        logLost(entry, *entry.attempt, reply_outcome::Broken);
        recordLostAnswer(entry, *entry.attempt, reply_outcome::Broken);
    }
    proveOrComplete(entry);
}

// Completes a stream whose end is not in doubt, and has any other one proved. The end of a stream without a known final event is proved too, if that is cheap.
void relay_requests::proveOrComplete(relay_entry &entry)
{
    auto &end = *entry.unmarkedEnd;
    const auto now = m_components.clock.now();
    const auto asked = askForRest(entry);
    if (asked == ask_result::Sent) {
        return;
    }
    auto &history = endHistoryOf(entry);
    const bool isLate = asked == ask_result::Postponed && now - end.at >= askWaitTime;
    if (end.doubt == end_doubt::None) {
        history.onAssumed(end.shape);
        completeStream(entry);
    } else if (isLate && !end.wasAsked && isWeak(*end.doubt) && history.isCalm(now) && !history.hasDoubt(entry.request.caller, end.endpoint, end.at)) {
        // Breaking off whole streams of a service that is well would cost its callers more than it protects them from. An endpoint that ends several streams
        // in doubt at once has rather dropped them.
        completeStream(entry);
    } else if (asked == ask_result::Impossible || isLate) {
        ++m_components.metrics.unmarkedEndsUnproved;
        logUnmarkedEnd(entry, asked == ask_result::Impossible ? "broken because=may_not_be_asked_again" : "broken because=no_retry_or_place_in_time");
        abortStream(entry, "the end of the stream is not confirmed");
    } else {
        end.dueAt = now + askRetryInterval;
        m_unprovedEnds.insert(entry.request.caller);
        scheduleWakeup(entry);
    }
}

// Asks another endpoint for what follows the last event.
relay_requests::ask_result relay_requests::askForRest(relay_entry &entry)
{
    auto &end = *entry.unmarkedEnd;
    auto &history = endHistoryOf(entry);
    const auto now = m_components.clock.now();
    const bool isDoubted = end.doubt != end_doubt::None;
    if (entry.runs >= entry.route->attempts || !mayDispatchAgain(entry) || !mayTryAgain(entry) || isSuspicious(entry)) {
        return ask_result::Impossible;
    }
    if (!isDoubted && (history.hasFinalEvent() || !budgetOf(entry.service).hasReserve())) {
        return ask_result::Postponed;
    }
    const bool isAwaited = end.doubt == end_doubt::NothingProved && history.isBeingProved(now);
    if (isAwaited || budgetOf(entry.service).left() == 0) {
        return ask_result::Postponed;
    }
    auto request = placementRequestOf(entry);
    request.excluded.insert(end.endpoint);
    request.mayPrefill = false;
    if (!m_components.placement.choose(request, now) || !spendRetry(entry)) {
        return ask_result::Postponed;
    }
    m_unprovedEnds.erase(entry.request.caller);
    entry.triedEndpoints.insert(end.endpoint);
    closeAttempt(entry);
    if (!retryElsewhere(entry)) {
        refundRetry(entry);
        return ask_result::Postponed;
    }
    if (end.doubt == end_doubt::NothingProved) {
        history.onProving(now);
    }
    end.isAsked = true;
    end.wasAsked = true;
    end.askedCheck.reset();
    end.dueAt = now + (isDoubted ? doubtedAskTime : confirmationTime);
    logUnmarkedEnd(entry, "ask");
    scheduleWakeup(entry);
    return ask_result::Sent;
}

// Decides on the answer of another endpoint that had no further event and was not marked as complete either. Two endpoints that end a stream after the same
// event prove it whole, unless the second one has ended, or has dropped other streams at the same moment.
void relay_requests::decideAskedEnd(relay_entry &entry)
{
    const auto &attempt = *entry.attempt;
    const auto &end = *entry.unmarkedEnd;
    const bool runsOn = end.askedCheck == end_check::Accepted && stateOf(attempt.endpoint, attempt.endpointStartedAt) == end_doubt::None;
    if (runsOn && !isBehindCaller(entry) && !endHistoryOf(entry).hasDoubt(entry.request.caller, attempt.endpoint, end.askedEndAt)) {
        onEndProved(entry);
    } else {
        onLost(entry, reply_outcome::Broken);
    }
}

// Completes a stream to which another endpoint has nothing to add.
void relay_requests::onEndProved(relay_entry &entry)
{
    const auto end = *entry.unmarkedEnd;
    auto &history = endHistoryOf(entry);
    recordAttemptOutcome(entry, true);
    history.acquit(entry.request.caller);
    if (end.events > 0) {
        history.onProved(end.shape, m_components.clock.now());
    }
    ++m_components.metrics.unmarkedEndsProved;
    completeStream(entry);
    decideUnprovedEnds();
}

// Decides again on the streams that wait for a proof, as more is known of how whole streams end.
void relay_requests::decideUnprovedEnds()
{
    for (const auto caller : std::exchange(m_unprovedEnds, {})) {
        if (const auto found = m_entries.find(caller); found != m_entries.end()) {
            decideEnd(*found->second);
        }
    }
}

// Handles the loss of the attempt that asks for the rest of a stream. It has told nothing. The caller of a stream without a doubt does not wait for another
// one.
void relay_requests::onAskFailed(relay_entry &entry)
{
    auto &end = *entry.unmarkedEnd;
    end.isAsked = false;
    end.dueAt.reset();
    logUnmarkedEnd(entry, "not_answered");
    if (end.doubt == end_doubt::None) {
        endHistoryOf(entry).onAssumed(end.shape);
        completeStream(entry);
    } else {
        proveOrComplete(entry);
    }
}

void relay_requests::onUnmarkedEndDue(relay_entry &entry)
{
    if (entry.isAskingForRest()) {
        abort(entry.attempt);
        releaseReservation(entry);
        releaseSource(entry);
        removeFromQueue(entry);
        withdrawAsk(entry);
        entry.machine.apply(relay_event::requeued{});
        onAskFailed(entry);
    } else {
        decideEnd(entry);
    }
}

// Records that another endpoint has sent more of a stream that seemed to be complete.
void relay_requests::onEndRefuted(relay_entry &entry, time_point now)
{
    if (!entry.isAskingForRest()) {
        return;
    }
    const auto &end = *entry.unmarkedEnd;
    m_components.metrics.unmarkedEndsRefuted += isLoss(*end.doubt) ? 0 : 1; // A loss has been counted.
    logUnmarkedEnd(entry, "goes_on");
    endHistoryOf(entry).onBroken(now);
    if (end.events > 0) {
        endHistoryOf(entry).onContinued(end.shape.finalEvent);
    }
    if (auto *const endpoint = m_components.endpoints.find(end.endpoint); endpoint != nullptr && endpoint->info.startedAt == end.endpointStartedAt) {
        endpoint->endRefutedAt = now;
    }
    entry.unmarkedEnd.reset();
}

// Ends a stream whose caller has all of its events.
void relay_requests::completeStream(relay_entry &entry)
{
    if (entry.unmarkedEnd) {
        logUnmarkedEnd(entry, "complete");
    }
    releaseHeld(entry);
    const auto rest = std::string(entry.route->resumable && entry.attempt ? entry.attempt->splitter.rest() : std::string_view{});
    if (!rest.empty()) {
        m_components.commands.push_back(answer_stream_bytes{entry.request.caller, rest});
    }
    m_components.commands.push_back(answer_stream_end{entry.request.caller});
    recordAnswer(entry);
    recordHoldTime(entry);
    finish(entry, "streamed", 200);
}

// The line is written under load too, as nothing else tells why such an answer was passed on.
void relay_requests::logUnmarkedEnd(const relay_entry &entry, std::string_view decision)
{
    const auto &end = *entry.unmarkedEnd;
    std::string text = "request=" + entry.request.payload->id + " unmarked end endpoint=" + end.endpoint.value
                       + " started_at=" + std::to_string(end.endpointStartedAt) + " doubt=" + std::string(end.doubt ? nameOf(*end.doubt) : "-")
                       + " state=" + std::string(nameOf(stateOf(end.endpoint, end.endpointStartedAt)));
    text += " check=" + std::string(end.check ? nameOf(*end.check) : "-") + " check_ms=" + millisText(end.checkTime);
    if (entry.isStream()) {
        text += " silence_us=" + std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(end.shape.silence).count())
                + " events=" + std::to_string(end.events) + " last_event=" + (entry.lastEventId ? std::to_string(*entry.lastEventId) : "-");
    }
    text += " runs=" + std::to_string(entry.runs) + '/' + std::to_string(entry.route->attempts)
            + " retries_left=" + std::to_string(budgetOf(entry.service).left()) + " age_ms=" + millisText(m_components.clock.now() - end.at);
    if (end.isAsked && entry.attempt) {
        text += " other=" + entry.attempt->endpoint.value + " other_events=" + std::to_string(entry.attempt->events)
                + " other_framing=" + std::string(entry.attempt->framing ? nameOf(*entry.attempt->framing) : "-")
                + " other_check=" + std::string(end.askedCheck ? nameOf(*end.askedCheck) : "-");
    }
    text += " decided=" + std::string(decision);
    m_components.commands.push_back(log_line{severity::Info, log_component::Place, std::nullopt, std::move(text), true});
}

} // namespace plantainpoint
