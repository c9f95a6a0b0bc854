#include "oracle.hpp"

#include <algorithm>

namespace plantainpoint::fuzz {

std::string expectedToken(const std::string &prompt, std::int32_t position)
{
    return std::to_string(stableHash(prompt, static_cast<std::uint64_t>(position)) % 1000) + " ";
}

call_record *oracle::findCall(const request_label &label)
{
    const auto it = m_labelledCalls.find(label);
    return it == m_labelledCalls.end() ? nullptr : findCall(it->second);
}

call_record *oracle::findCall(caller_id id)
{
    const auto it = m_calls.find(id);
    return it == m_calls.end() ? nullptr : &it->second;
}

void oracle::addViolation(std::string_view guarantee, const std::string &description)
{
    m_violations.push_back(std::string(guarantee) + ": " + description);
}

void oracle::onCall(const call_record &call)
{
    m_calls[call.id] = call;
}

void oracle::onCallerDisconnected(caller_id id, time_point now, bool vmKilled)
{
    if (auto *const call = findCall(id); call != nullptr && !call->disconnectedAt) {
        call->disconnectedAt = now;
        call->vmKilled = vmKilled;
    }
}

void oracle::onAdmitted(const request_admitted &event, time_point now)
{
    auto *const call = findCall(event.caller);
    if (call == nullptr) {
        return;
    }
    call->label = event.label;
    call->admittedAt = now;
    m_labelledCalls[event.label] = event.caller;
    checkAccount(*call, event);
    if (!event.account.empty()) {
        checkWithdrawnKey(*call, time_point{}, now);
        checkRate(event.account, now);
    }
}

void oracle::onDispatch(
    const attempt_label &attempt, const endpoint_name &endpoint, const std::vector<header> &headers, const std::string &body, time_point now)
{
    checkNoKeyForwarded(headers, body);
    checkDrain(endpoint, now);
    auto *const call = findCall(attempt.request);
    if (call == nullptr) {
        addViolation("P3", "attempt " + toString(attempt) + " was dispatched for a request that was never admitted");
        return;
    }
    ++call->dispatches;
    checkNotRunOutcome(*call);
}

void oracle::onRelabelled(const request_relabelled &event)
{
    m_labelledCalls[event.label] = event.caller;
}

void oracle::onBookingRun(const attempt_label &attempt)
{
    auto *const call = findCall(attempt.request);
    if (call == nullptr) {
        return;
    }
    ++call->bookingRuns;
    if (call->kind == call_kind::KeyedBooking) {
        ++m_keyedRuns[call->account->value + "|" + call->idempotencyKey];
    }
    checkRunsOnce(*call);
}

void oracle::onToken(const answer_token &token, bool vmCutOff, time_point now)
{
    auto *const call = findCall(token.caller);
    if (call == nullptr) {
        return;
    }
    if (call->terminalAnswers > 0) {
        addViolation("P2", "token after the terminal answer of caller " + std::to_string(token.caller));
    }
    if (token.position != static_cast<std::int32_t>(call->tokens.size()) || token.text != expectedToken(call->prompt, token.position)) {
        addViolation("P7", "caller " + std::to_string(token.caller) + " got a wrong token at position " + std::to_string(token.position));
    }
    call->tokens.push_back(token.text);
    // A running request goes on while its VM is cut off from the log, but new requests are refused (docs/design.md, section 6).
    if (!vmCutOff) {
        checkWithdrawnKey(*call, m_faultsEndedAt, now);
    }
}

void oracle::onAnswerDone(const answer_done &answer, time_point)
{
    if (auto *const call = findCall(answer.caller); call != nullptr) {
        ++call->terminalAnswers;
        checkOneTerminalAnswer(*call);
        checkCompleteAnswer(*call, answer);
    }
}

void oracle::onPlainAnswer(const answer_plain &answer, time_point)
{
    if (auto *const call = findCall(answer.caller); call != nullptr) {
        ++call->terminalAnswers;
        checkOneTerminalAnswer(*call);
        const auto expected = call->kind == call_kind::KeyedBooking ? call->idempotencyKey : std::to_string(call->id);
        if (answer.status < 300 && answer.body != expected) {
            addViolation("P7", "caller " + std::to_string(call->id) + " got the answer '" + answer.body + "' of another request");
        }
    }
}

void oracle::onAnswerFailure(const answer_failure &answer, time_point)
{
    if (auto *const call = findCall(answer.caller); call != nullptr) {
        ++call->terminalAnswers;
        call->failed = answer.reason;
        call->result = answer.result;
        checkOneTerminalAnswer(*call);
        checkNotRunOutcome(*call);
    }
}

void oracle::onMemoryHeld(const endpoint_name &endpoint, const attempt_label &attempt, time_point now)
{
    m_heldMemory[{endpoint, attempt}] = now;
}

void oracle::onMemoryFreed(const endpoint_name &endpoint, const attempt_label &attempt)
{
    m_heldMemory.erase({endpoint, attempt});
}

void oracle::onKeyWithdrawn(int key, time_point now)
{
    m_withdrawnAt.emplace(key, now);
}

void oracle::onKeyRestored(int key)
{
    m_withdrawnAt.erase(key);
}

void oracle::onLogOutage(time_point from, time_point until, duration readDelay)
{
    const auto postponeIfUnread = [&](time_point &publishedAt) {
        if (publishedAt + readDelay >= from && publishedAt < until) {
            publishedAt = until;
        }
    };
    for (auto &[key, withdrawnAt] : m_withdrawnAt) {
        postponeIfUnread(withdrawnAt);
    }
    for (auto &[endpoint, leavingAt] : m_leavingSince) {
        postponeIfUnread(leavingAt);
    }
}

void oracle::refill(bucket &accountBucket, time_point now)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - accountBucket.updatedAt).count();
    // The sum is rounded up, so that the oracle never allows less than the exact bound.
    accountBucket.level = std::min(accountBucket.limit.burst, accountBucket.level + accountBucket.limit.rate * elapsed / 1'000'000 + 1);
    accountBucket.updatedAt = now;
}

void oracle::onLimitPublished(const account_name &account, rate_limit limit, time_point now)
{
    const auto [entry, isNew] = m_buckets.try_emplace(account);
    auto &accountBucket = entry->second;
    if (isNew) {
        accountBucket = {limit, limit.burst, now, {}};
        return;
    }
    refill(accountBucket, now);
    accountBucket.pending.emplace_back(now + configurationBound, limit);
    // Until the change is in force everywhere, a VM may apply either limit.
    const rate_limit larger{std::max(accountBucket.limit.rate, limit.rate), std::max(accountBucket.limit.burst, limit.burst)};
    accountBucket.level += larger.burst - accountBucket.limit.burst;
    accountBucket.limit = larger;
}

void oracle::onLeaving(const endpoint_name &endpoint, time_point now)
{
    m_leavingSince.emplace(endpoint, now);
}

void oracle::onReturned(const endpoint_name &endpoint)
{
    m_leavingSince.erase(endpoint);
}

void oracle::onPublication(const service_name &service, std::uint64_t version, time_point now)
{
    m_published[service].emplace(version, now);
}

void oracle::onApplied(const incarnation_id &vm, const service_name &service, std::uint64_t version, bool connected, time_point now)
{
    checkConfiguration(vm, service, version, connected, now);
}

void oracle::onStopped(const vm_name &vm, time_point)
{
    checkShutdown(vm);
}

void oracle::checkEngineMemory(time_point now)
{
    for (const auto &[key, heldAt] : m_heldMemory) {
        const auto *const call = findCall(key.second.request);
        if (call == nullptr || (!call->disconnectedAt && call->terminalAnswers == 0)) {
            continue;
        }
        const auto since = std::max({heldAt, m_faultsEndedAt, call->disconnectedAt.value_or(heldAt)});
        if (now - since > orphanBound) {
            addViolation("P1", toString(key.second) + " still holds engine memory of endpoint " + key.first.value);
        }
    }
}

void oracle::checkOneTerminalAnswer(const call_record &call)
{
    if (call.terminalAnswers > 1) {
        addViolation("P2", "caller " + std::to_string(call.id) + " got " + std::to_string(call.terminalAnswers) + " terminal answers instead of one");
    }
}

void oracle::checkAccount(const call_record &call, const request_admitted &event)
{
    if (call.kind == call_kind::OpenLookup) {
        return;
    }
    if (!call.account || *call.account != event.account) {
        addViolation("P3", toString(event.label) + " was admitted for '" + event.account.value + "' instead of its own client account");
    }
}

void oracle::checkNoKeyForwarded(const std::vector<header> &headers, const std::string &body)
{
    for (const auto &key : m_secretTexts) {
        const bool inHeader = std::any_of(headers.begin(), headers.end(), [&](const header &field) { return field.value.find(key) != std::string::npos; });
        if (inHeader || body.find(key) != std::string::npos) {
            addViolation("P4", "a request to an endpoint contains a client key or its digest");
        }
    }
}

void oracle::checkWithdrawnKey(const call_record &call, time_point since, time_point now)
{
    const auto it = m_withdrawnAt.find(call.key);
    if (it == m_withdrawnAt.end() || call.kind == call_kind::OpenLookup) {
        return;
    }
    if (now - std::max(it->second, since) > withdrawalBound) {
        addViolation("P5", "caller " + std::to_string(call.id) + " was served with a withdrawn key");
    }
}

void oracle::checkRate(const account_name &account, time_point now)
{
    auto &accountBucket = m_buckets[account];
    refill(accountBucket, now);
    while (!accountBucket.pending.empty() && accountBucket.pending.front().first <= now) {
        accountBucket.limit = accountBucket.pending.front().second;
        accountBucket.pending.erase(accountBucket.pending.begin());
        for (const auto &[bindsAt, limit] : accountBucket.pending) {
            accountBucket.limit = {std::max(accountBucket.limit.rate, limit.rate), std::max(accountBucket.limit.burst, limit.burst)};
        }
        accountBucket.level = std::min(accountBucket.level, accountBucket.limit.burst);
    }
    accountBucket.level -= microTokensPerRequest;
    // The clock of each VM may run fast by half of the stated error.
    const auto tolerance = accountBucket.limit.rate / 500;
    if (accountBucket.level < -tolerance) {
        addViolation("P6", account.value + " got more admissions than its rate and burst allow");
        accountBucket.level = 0;
    }
}

void oracle::checkCompleteAnswer(const call_record &call, const answer_done &answer)
{
    if (static_cast<std::int32_t>(call.tokens.size()) != call.requestedTokens || answer.outputTokens != call.requestedTokens) {
        addViolation("P7",
                     "caller " + std::to_string(call.id) + " got " + std::to_string(call.tokens.size()) + " of " + std::to_string(call.requestedTokens)
                         + " tokens in an answer that was reported as complete");
    }
}

void oracle::checkNotRunOutcome(const call_record &call)
{
    if (call.result == outcome::NotRun && call.dispatches > 0) {
        addViolation("P8", "caller " + std::to_string(call.id) + " got the outcome 'not run' for a request that was dispatched");
    }
}

void oracle::checkRunsOnce(const call_record &call)
{
    const bool keyedTwice = call.kind == call_kind::KeyedBooking && m_keyedRuns[call.account->value + "|" + call.idempotencyKey] > 1;
    const bool unkeyedTwice = call.kind == call_kind::Booking && call.bookingRuns > 1;
    if (keyedTwice || unkeyedTwice) {
        addViolation("P9", "the booking of caller " + std::to_string(call.id) + " ran more than once");
    }
}

void oracle::checkDrain(const endpoint_name &endpoint, time_point now)
{
    const auto it = m_leavingSince.find(endpoint);
    if (it != m_leavingSince.end() && now - it->second > drainBound) {
        addViolation("P10", endpoint.value + " is leaving and got new work after the drain bound");
    }
}

void oracle::checkShutdown(const vm_name &vm)
{
    for (const auto &[id, call] : m_calls) {
        if (call.vm == vm && call.admittedAt && !call.disconnectedAt && call.terminalAnswers == 0) {
            addViolation("P11", "a graceful shutdown of " + vm.value + " ended without a terminal answer for caller " + std::to_string(id));
        }
    }
}

void oracle::checkConfiguration(const incarnation_id &vm, const service_name &service, std::uint64_t version, bool connected, time_point now)
{
    auto &last = m_applied[{vm, service}];
    if (version < last) {
        addViolation("P12", toString(vm) + " went back from version " + std::to_string(last) + " to " + std::to_string(version) + " of " + service.value);
    }
    last = std::max(last, version);
    if (!connected) {
        return;
    }
    for (const auto &[published, publishedAt] : m_published[service]) {
        const auto since = std::max(publishedAt, m_faultsEndedAt);
        if (published > version && now - since > configurationBound) {
            addViolation("P12", toString(vm) + " has not applied version " + std::to_string(published) + " of " + service.value);
        }
    }
}

} // namespace plantainpoint::fuzz
