#include "admission_handler.hpp"

#include <algorithm>

#include "record_fields.hpp"

namespace plantainpoint {

namespace {

constexpr duration retryAfterRefusal = std::chrono::seconds(1);
// The longest wait for capacity from the owner of the account. It is long enough for two exchanges between VMs and a recall.
constexpr duration maxShareWait = std::chrono::milliseconds(800);

std::string_view withoutQuery(std::string_view path)
{
    return path.substr(0, path.find('?'));
}

// Returns whether the Idempotency-Key can be recorded. The key is empty if the caller sent none.
bool isValidIdempotencyKey(std::string_view key)
{
    const auto isPrintable = [](char c) { return c > ' ' && c <= '~'; };
    return key.size() <= maxIdempotencyKeyBytes && std::all_of(key.begin(), key.end(), isPrintable);
}

bool isRetryable(failure reason)
{
    return reason == failure::StaleConfiguration || reason == failure::Overloaded || reason == failure::ShuttingDown || reason == failure::NoEndpoint;
}

} // namespace

admission_handler::admission_handler(
    core_components &components, request_finalizer &finalizer, model_handler &model, lookup_handler &lookup, booking_handler &booking)
    : m_components(components)
    , m_finalizer(finalizer)
    , m_model(model)
    , m_lookup(lookup)
    , m_booking(booking)
{
}

void admission_handler::onRequest(caller_request &&call)
{
    m_components.metrics.received();
    auto &entry = m_components.requests.add(m_components.self(), std::move(call), m_components.clock.now());
    const auto refusal = checkAll(entry);
    if (refusal != failure::None) {
        m_finalizer.refuse(entry, refusal, {}, isRetryable(refusal) ? std::optional<duration>(retryAfterRefusal) : std::nullopt);
        return;
    }
    entry.machine.apply(request_event::parsed{});
    m_components.timers.schedule(timer{entry.deadline, timer_kind::RequestDeadline, entry.label.sequence});
    if (entry.access == route_access::Open) {
        start(entry);
        return;
    }
    admitOrWait(entry);
}

failure admission_handler::checkAll(request &entry) const
{
    const auto stage = m_components.machine.stage();
    if (stage == vm_stage::Leaving || stage == vm_stage::Stopped) {
        return failure::ShuttingDown;
    }
    if (entry.call.method.empty() || entry.call.path.empty() || !isValidIdempotencyKey(entry.call.idempotencyKey)) {
        return failure::MalformedRequest;
    }
    if (!m_components.follow.caughtUp()) {
        // With an incomplete configuration, a valid key would be rejected as unknown.
        return failure::StaleConfiguration;
    }
    const auto match = m_components.log.config().findRoute(entry.call.method, withoutQuery(entry.call.path));
    auto refusal = authenticate(entry, match);
    if (refusal == failure::None) {
        refusal = checkLease(entry);
    }
    if (refusal == failure::None) {
        refusal = checkRoute(entry, match);
    }
    if (refusal == failure::None && entry.kind == route_kind::Model) {
        refusal = checkModel(entry);
    }
    if (refusal == failure::None && std::cmp_greater(m_components.requests.size(), m_components.settings.maxOpenRequests)) {
        refusal = failure::Overloaded;
    }
    return refusal;
}

failure admission_handler::authenticate(request &entry, const route_match &match) const
{
    entry.access = match.entry != nullptr ? match.entry->access : route_access::Keyed;
    const auto key = entry.call.key ? m_components.log.config().findKey(*entry.call.key) : std::nullopt;
    if (key) {
        entry.account = key->account;
        return failure::None;
    }
    if (entry.access == route_access::Open) {
        return failure::None;
    }
    return entry.call.key ? failure::UnknownKey : failure::MissingKey;
}

failure admission_handler::checkLease(const request &entry) const
{
    if (entry.access == route_access::Open) {
        return failure::None;
    }
    return m_components.members.isMember() && m_components.fresh.holdsLease() ? failure::None : failure::StaleConfiguration;
}

failure admission_handler::checkRoute(request &entry, const route_match &match) const
{
    if (match.entry == nullptr) {
        return match.methodMismatch ? failure::MethodNotAllowed : failure::UnknownRoute;
    }
    entry.kind = match.entry->kind;
    entry.deadline = entry.arrivedAt + match.entry->deadline;
    const auto *service = match.service;
    if (entry.kind == route_kind::Model) {
        if (!entry.call.completion) {
            return failure::MalformedRequest;
        }
        // Several services may offer models under the same path, so the service is chosen by the model.
        service = m_components.log.config().findModel(entry.call.completion->model).first;
        if (service == nullptr) {
            return failure::UnknownModel;
        }
    }
    entry.service = service->name;
    const bool allowed = entry.access == route_access::Open || m_components.log.config().mayCall(entry.account, *service);
    return allowed ? failure::None : failure::AccountNotAllowed;
}

failure admission_handler::checkModel(request &entry) const
{
    const auto &call = *entry.call.completion;
    const auto [service, offered] = m_components.log.config().findModel(call.model);
    if (call.promptTokens > offered->maxPromptTokens) {
        return failure::PromptTooLong;
    }
    const auto pool = m_components.directory.poolFor(call.model, m_components.settings.region);
    if (!pool) {
        return failure::NoEndpoint;
    }
    model_progress model;
    model.pool = *pool;
    model.promptTokens = call.promptTokens;
    model.maxTokens = call.maxTokens > 0 ? std::min(call.maxTokens, offered->maxOutputTokens) : offered->maxOutputTokens;
    model.kind = offered->kind;
    model.firstTokenTarget = service->firstTokenTarget;
    model.tokenIntervalTarget = service->tokenIntervalTarget;
    model.prefix = stablePrefixHashes(call.prompt, prefixBytesPerKvBlock);
    entry.model = std::move(model);
    return failure::None;
}

void admission_handler::admitOrWait(request &entry)
{
    const auto answer = m_components.shares.admit(entry.account, m_components.out);
    if (answer.verdict == admission::Admitted) {
        stopWaiting(entry);
        start(entry);
        return;
    }
    if (answer.verdict == admission::Refused) {
        stopWaiting(entry);
        m_finalizer.refuse(entry, failure::RateExceeded, {}, answer.retryAfter);
        return;
    }
    if (entry.machine.apply(request_event::share_requested{})) {
        const auto waitUntil = std::min(entry.deadline, entry.arrivedAt + maxShareWait);
        m_components.timers.schedule(timer{waitUntil, timer_kind::ShareWait, entry.label.sequence});
        m_waiting[entry.account].push_back(entry.label.sequence);
    }
}

void admission_handler::onSharesChanged()
{
    for (const auto &account : m_components.shares.takeChanged()) {
        const auto it = m_waiting.find(account);
        if (it == m_waiting.end()) {
            continue;
        }
        const auto sequences = it->second;
        for (const auto sequence : sequences) {
            auto *const entry = m_components.requests.find(sequence);
            if (entry == nullptr) {
                continue;
            }
            // The admission lease is checked at the same instant as the admission.
            const auto refusal = checkLease(*entry);
            if (refusal != failure::None) {
                stopWaiting(*entry);
                m_finalizer.refuse(*entry, refusal, {}, retryAfterRefusal);
                continue;
            }
            admitOrWait(*entry);
            const auto *const remaining = m_components.requests.find(sequence);
            if (remaining != nullptr && remaining->machine.stage() == request_stage::AwaitingShare) {
                // The oldest request is still waiting for capacity.
                break;
            }
        }
    }
}

void admission_handler::onShareWaitTimeout(request &entry)
{
    if (entry.machine.stage() == request_stage::AwaitingShare) {
        stopWaiting(entry);
        m_finalizer.refuse(entry, failure::RateExceeded, "the owner of the account did not answer in time", retryAfterRefusal);
    }
}

void admission_handler::stopWaiting(const request &entry)
{
    const auto it = m_waiting.find(entry.account);
    if (it == m_waiting.end()) {
        return;
    }
    std::erase(it->second, entry.label.sequence);
    if (it->second.empty()) {
        m_waiting.erase(it);
    }
}

std::size_t admission_handler::waiting() const
{
    std::size_t count = 0;
    for (const auto &[account, sequences] : m_waiting) {
        count += sequences.size();
    }
    return count;
}

void admission_handler::start(request &entry)
{
    m_components.metrics.admitted(entry);
    m_components.out.push(request_admitted{entry.call.caller, entry.label, entry.access == route_access::Keyed ? entry.account : account_name{}});
    m_components.retries.earn();
    m_components.decisions.record(entry.label, "admitted for " + (entry.account.empty() ? std::string("any caller") : entry.account.value));
    switch (entry.kind) {
    case route_kind::Model:
        m_model.start(entry);
        break;
    case route_kind::Lookup:
        m_lookup.start(entry);
        break;
    case route_kind::Booking:
        m_booking.start(entry);
        break;
    }
}

} // namespace plantainpoint
