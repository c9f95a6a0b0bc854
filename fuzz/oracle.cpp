#include "oracle.hpp"

#include <algorithm>

namespace plantainpoint::fuzz {

std::string expectedToken(const std::string &prompt, std::int32_t position)
{
    return std::to_string(stableHash(prompt, static_cast<std::uint64_t>(position)) % 1000) + " ";
}

call_record *oracle::callOf(const request_label &label)
{
    const auto found = m_labels.find(label);
    return found == m_labels.end() ? nullptr : callOf(found->second);
}

call_record *oracle::callOf(caller_id id)
{
    const auto found = m_calls.find(id);
    return found == m_calls.end() ? nullptr : &found->second;
}

void oracle::violate(std::string_view guarantee, const std::string &what)
{
    m_violations.push_back(std::string(guarantee) + ": " + what);
}

void oracle::onCall(const call_record &call)
{
    m_calls[call.id] = call;
}

void oracle::onCallerDisconnected(caller_id id, time_point at, bool vmDied)
{
    if (auto *const call = callOf(id); call != nullptr && !call->goneAt) {
        call->goneAt = at;
        call->vmDied = vmDied;
    }
}

void oracle::onAdmitted(const request_admitted &event, time_point at)
{
    auto *const call = callOf(event.caller);
    if (call == nullptr) {
        return;
    }
    call->label = event.label;
    call->admittedAt = at;
    m_labels[event.label] = event.caller;
    checkAccount(*call, event);
    if (!event.account.empty()) {
        checkWithdrawn(*call, time_point{}, at);
        checkRate(event.account, at);
    }
}

void oracle::onDispatch(const attempt_label &attempt, const endpoint_name &endpoint, const std::vector<header> &headers, const std::string &body, time_point at)
{
    checkNoKeyLeaves(headers, body);
    checkLeaving(endpoint, at);
    auto *const call = callOf(attempt.request);
    if (call == nullptr) {
        violate("P3", "dispatch of " + toString(attempt) + ", which was never admitted");
        return;
    }
    ++call->dispatches;
    checkNotRun(*call);
}

void oracle::onRelabelled(const request_relabelled &event)
{
    m_labels[event.label] = event.caller;
}

void oracle::onRun(const attempt_label &attempt)
{
    auto *const call = callOf(attempt.request);
    if (call == nullptr) {
        return;
    }
    ++call->runs;
    if (call->kind == call_kind::KeyedBooking) {
        ++m_keyedRuns[call->account->value + "|" + call->idempotencyKey];
    }
    checkRunsOnce(*call);
}

void oracle::onToken(const answer_token &token, bool cutOff, time_point at)
{
    auto *const call = callOf(token.caller);
    if (call == nullptr) {
        return;
    }
    if (call->terminalAnswers > 0) {
        violate("P2", "token after the terminal answer of caller " + std::to_string(token.caller));
    }
    if (token.position != static_cast<std::int32_t>(call->tokens.size()) || token.text != expectedToken(call->prompt, token.position)) {
        violate("P7", "caller " + std::to_string(token.caller) + " got a wrong token at position " + std::to_string(token.position));
    }
    call->tokens.push_back(token.text);
    // a running request goes on while its VM is cut off from the log: design.md, section 6. new requests do not.
    if (!cutOff) {
        checkWithdrawn(*call, m_healedAt, at);
    }
}

void oracle::onDone(const answer_done &answer, time_point)
{
    if (auto *const call = callOf(answer.caller); call != nullptr) {
        ++call->terminalAnswers;
        checkOneAnswer(*call);
        checkWholeAnswer(*call, answer);
    }
}

void oracle::onPlain(const answer_plain &answer, time_point)
{
    if (auto *const call = callOf(answer.caller); call != nullptr) {
        ++call->terminalAnswers;
        checkOneAnswer(*call);
        const auto expected = call->kind == call_kind::KeyedBooking ? call->idempotencyKey : std::to_string(call->id);
        if (answer.status < 300 && answer.body != expected) {
            violate("P7", "caller " + std::to_string(call->id) + " got the answer '" + answer.body + "' of another request");
        }
    }
}

void oracle::onFailure(const answer_failure &answer, time_point)
{
    if (auto *const call = callOf(answer.caller); call != nullptr) {
        ++call->terminalAnswers;
        call->failed = answer.reason;
        call->result = answer.result;
        checkOneAnswer(*call);
        checkNotRun(*call);
    }
}

void oracle::onMemoryHeld(const endpoint_name &endpoint, const attempt_label &attempt, time_point at)
{
    m_memory[{endpoint, attempt}] = at;
}

void oracle::onMemoryFreed(const endpoint_name &endpoint, const attempt_label &attempt)
{
    m_memory.erase({endpoint, attempt});
}

void oracle::onKeyWithdrawn(int key, time_point at)
{
    m_withdrawn.emplace(key, at);
}

void oracle::onKeyRestored(int key)
{
    m_withdrawn.erase(key);
}

void oracle::onLogDown(time_point from, time_point until, duration readDelay)
{
    const auto dateUnread = [&](time_point &publishedAt) {
        if (publishedAt + readDelay >= from && publishedAt < until) {
            publishedAt = until;
        }
    };
    for (auto &[key, withdrawnAt] : m_withdrawn) {
        dateUnread(withdrawnAt);
    }
    for (auto &[endpoint, leavingAt] : m_leaving) {
        dateUnread(leavingAt);
    }
}

void oracle::refill(bucket &account, time_point at)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(at - account.at).count();
    // rounded up, so that the oracle never counts less than the exact bound
    account.fill = std::min(account.limit.burst, account.fill + account.limit.rate * elapsed / 1'000'000 + 1);
    account.at = at;
}

void oracle::onLimit(const account_name &account, rate_limit limit, time_point at)
{
    const auto [entry, isNew] = m_buckets.try_emplace(account);
    auto &bucket = entry->second;
    if (isNew) {
        bucket = {limit, limit.burst, at, {}};
        return;
    }
    refill(bucket, at);
    bucket.pending.emplace_back(at + configurationBound, limit);
    // until the change is in force everywhere, either limit may be applied
    const rate_limit larger{std::max(bucket.limit.rate, limit.rate), std::max(bucket.limit.burst, limit.burst)};
    bucket.fill += larger.burst - bucket.limit.burst;
    bucket.limit = larger;
}

void oracle::onLeaving(const endpoint_name &endpoint, time_point at)
{
    m_leaving.emplace(endpoint, at);
}

void oracle::onReturned(const endpoint_name &endpoint)
{
    m_leaving.erase(endpoint);
}

void oracle::onPublication(const service_name &service, std::uint64_t version, time_point at)
{
    m_published[service].emplace(version, at);
}

void oracle::onApplied(const incarnation_id &vm, const service_name &service, std::uint64_t version, bool connected, time_point at)
{
    checkConfiguration(vm, service, version, connected, at);
}

void oracle::onStopped(const vm_name &vm, time_point)
{
    checkShutdown(vm);
}

void oracle::checkEngineMemory(time_point now)
{
    for (const auto &[key, heldAt] : m_memory) {
        const auto *const call = callOf(key.second.request);
        if (call == nullptr || (!call->goneAt && call->terminalAnswers == 0)) {
            continue;
        }
        const auto since = std::max({heldAt, m_healedAt, call->goneAt.value_or(heldAt)});
        if (now - since > orphanBound) {
            violate("P1", toString(key.second) + " still holds memory of " + key.first.value);
        }
    }
}

void oracle::checkOneAnswer(const call_record &call)
{
    if (call.terminalAnswers > 1) {
        violate("P2", "caller " + std::to_string(call.id) + " got " + std::to_string(call.terminalAnswers) + " terminal answers");
    }
}

void oracle::checkAccount(const call_record &call, const request_admitted &event)
{
    if (call.kind == call_kind::OpenLookup) {
        return;
    }
    if (!call.account || *call.account != event.account) {
        violate("P3", toString(event.label) + " was admitted for '" + event.account.value + "' instead of its own client account");
    }
}

void oracle::checkNoKeyLeaves(const std::vector<header> &headers, const std::string &body)
{
    for (const auto &key : m_keys) {
        const bool inHeader = std::any_of(headers.begin(), headers.end(), [&](const header &h) { return h.value.find(key) != std::string::npos; });
        if (inHeader || body.find(key) != std::string::npos) {
            violate("P4", "a key went to an endpoint");
        }
    }
}

void oracle::checkWithdrawn(const call_record &call, time_point since, time_point at)
{
    const auto found = m_withdrawn.find(call.key);
    if (found == m_withdrawn.end() || call.kind == call_kind::OpenLookup) {
        return;
    }
    if (at - std::max(found->second, since) > withdrawalBound) {
        violate("P5", "caller " + std::to_string(call.id) + " was served with a withdrawn key");
    }
}

void oracle::checkRate(const account_name &account, time_point at)
{
    auto &bucket = m_buckets[account];
    refill(bucket, at);
    while (!bucket.pending.empty() && bucket.pending.front().first <= at) {
        bucket.limit = bucket.pending.front().second;
        bucket.pending.erase(bucket.pending.begin());
        for (const auto &[when, limit] : bucket.pending) {
            bucket.limit = {std::max(bucket.limit.rate, limit.rate), std::max(bucket.limit.burst, limit.burst)};
        }
        bucket.fill = std::min(bucket.fill, bucket.limit.burst);
    }
    bucket.fill -= microTokensPerRequest;
    // clocks of the VMs may run fast by half of the stated error each
    const auto tolerance = bucket.limit.rate / 500;
    if (bucket.fill < -tolerance) {
        violate("P6", account.value + " got more than its rate and burst");
        bucket.fill = 0;
    }
}

void oracle::checkWholeAnswer(const call_record &call, const answer_done &answer)
{
    if (static_cast<std::int32_t>(call.tokens.size()) != call.wantedTokens || answer.outputTokens != call.wantedTokens) {
        violate("P7",
                "caller " + std::to_string(call.id) + " got " + std::to_string(call.tokens.size()) + " of " + std::to_string(call.wantedTokens)
                    + " tokens as a whole answer");
    }
}

void oracle::checkNotRun(const call_record &call)
{
    if (call.result == outcome::NotRun && call.dispatches > 0) {
        violate("P8", "caller " + std::to_string(call.id) + " was told 'not run', and the request was dispatched");
    }
}

void oracle::checkRunsOnce(const call_record &call)
{
    const bool keyedTwice = call.kind == call_kind::KeyedBooking && m_keyedRuns[call.account->value + "|" + call.idempotencyKey] > 1;
    const bool unkeyedTwice = call.kind == call_kind::Booking && call.runs > 1;
    if (keyedTwice || unkeyedTwice) {
        violate("P9", "the booking of caller " + std::to_string(call.id) + " ran more than once");
    }
}

void oracle::checkLeaving(const endpoint_name &endpoint, time_point at)
{
    const auto found = m_leaving.find(endpoint);
    if (found != m_leaving.end() && at - found->second > drainBound) {
        violate("P10", endpoint.value + " is leaving and got new work");
    }
}

void oracle::checkShutdown(const vm_name &vm)
{
    for (const auto &[id, call] : m_calls) {
        if (call.vm == vm && call.admittedAt && !call.goneAt && call.terminalAnswers == 0) {
            violate("P11", "a graceful shutdown of " + vm.value + " cut caller " + std::to_string(id));
        }
    }
}

void oracle::checkConfiguration(const incarnation_id &vm, const service_name &service, std::uint64_t version, bool connected, time_point at)
{
    auto &last = m_applied[{vm, service}];
    if (version < last) {
        violate("P12", toString(vm) + " went back from version " + std::to_string(last) + " to " + std::to_string(version) + " of " + service.value);
    }
    last = std::max(last, version);
    if (!connected) {
        return;
    }
    for (const auto &[published, publishedAt] : m_published[service]) {
        const auto since = std::max(publishedAt, m_healedAt);
        if (published > version && at - since > configurationBound) {
            violate("P12", toString(vm) + " has not applied version " + std::to_string(published) + " of " + service.value);
        }
    }
}

} // namespace plantainpoint::fuzz
