#include "booking_handler.hpp"

#include <algorithm>

#include <absl/strings/match.h>

#include "record_fields.hpp"

namespace plantainpoint {

namespace {

constexpr duration retryAfterLogOutage = std::chrono::seconds(5);
constexpr duration retryAfterFailure = std::chrono::seconds(1);

std::string requestDigestOf(const request &entry)
{
    return toHex(digestOf(entry.call.method + '\n' + entry.call.path + '\n' + entry.call.body));
}

std::string contentTypeOf(const std::vector<header> &headers)
{
    const auto it = std::find_if(headers.begin(), headers.end(), [](const header &line) { return absl::EqualsIgnoreCase(line.name, "Content-Type"); });
    return it == headers.end() ? std::string{} : it->value;
}

} // namespace

booking_handler::booking_handler(core_components &components, request_finalizer &finalizer, plain_dispatch &dispatch)
    : m_components(components)
    , m_finalizer(finalizer)
    , m_dispatch(dispatch)
{
}

void booking_handler::start(request &entry)
{
    if (entry.call.idempotencyKey.empty()) {
        dispatch(entry);
        return;
    }
    claim(entry);
}

void booking_handler::claim(request &entry)
{
    entry.claim = claim_key{entry.account, entry.service, entry.call.idempotencyKey};
    entry.machine.apply(request_event::claim_requested{});
    if (const auto *const known = m_components.log.findClaim(*entry.claim)) {
        answerFromClaim(entry, *known);
        return;
    }
    if (hasPendingClaim(*entry.claim)) {
        m_finalizer.fail(entry, failure::OutcomeUnknown, outcome::Unknown, "a booking with this idempotency key is in progress", retryAfterFailure);
        return;
    }
    if (!m_components.follow.logReadable()) {
        m_finalizer.refuse(entry, failure::LogUnavailable, "the log cannot be read", retryAfterLogOutage);
        return;
    }
    booking_claim record{*entry.claim, m_components.self(), requestDigestOf(entry), m_components.wallClock.now()};
    const auto id = m_components.follow.append(std::move(record), m_components.out);
    m_claims.emplace(id, pending_claim{*entry.claim, entry.label.sequence});
    m_components.decisions.record(entry.label, "claiming the idempotency key with record " + toString(id));
}

bool booking_handler::hasPendingClaim(const claim_key &key) const
{
    return std::any_of(m_claims.begin(), m_claims.end(), [&](const auto &item) { return item.second.key == key; });
}

void booking_handler::onSettled(const settled_append &settled)
{
    const auto it = m_claims.find(settled.id);
    if (it == m_claims.end()) {
        return;
    }
    const auto pending = std::move(it->second);
    m_claims.erase(it);
    auto *const entry = pending.request == 0 ? nullptr : m_components.requests.find(pending.request);
    const auto *const state = settled.appendResult == append_result::Committed ? m_components.log.findClaim(pending.key) : nullptr;
    const bool won = state != nullptr && state->claim.claimant == settled.id.writer && !state->result;
    if (entry == nullptr) {
        if (won) {
            // Without a recorded outcome, every later request with the key would be answered as unknown.
            recordOutcome(pending.key, outcome::NotRun, nullptr);
        }
        return;
    }
    if (state == nullptr) {
        m_finalizer.refuse(*entry, failure::LogUnavailable, "the claim of the idempotency key was not committed to the log", retryAfterLogOutage);
        return;
    }
    if (!won) {
        answerFromClaim(*entry, *state);
        return;
    }
    if (settled.id.writer != m_components.self() || m_components.clock.now() >= entry->deadline) {
        recordOutcome(pending.key, outcome::NotRun, nullptr);
        m_finalizer.refuse(
            *entry, failure::DeadlineExceeded, "the claim was committed after the request deadline or under an earlier incarnation", retryAfterFailure);
        return;
    }
    dispatch(*entry);
}

void booking_handler::answerFromClaim(request &entry, const claim_state &state)
{
    if (state.claim.requestDigest != requestDigestOf(entry)) {
        m_finalizer.refuse(entry, failure::BookingKeyReused, "the idempotency key was used for a different request");
        return;
    }
    if (!state.result || state.result->result == outcome::Unknown) {
        m_finalizer.fail(entry, failure::OutcomeUnknown, outcome::Unknown, "no outcome is recorded for this idempotency key", retryAfterFailure);
        return;
    }
    const auto &recorded = *state.result;
    if (recorded.result == outcome::NotRun) {
        m_finalizer.fail(entry, failure::EndpointFailed, outcome::NotRun, "the booking with this idempotency key was not run; a new booking needs another key");
        return;
    }
    std::vector<header> headers;
    if (!recorded.contentType.empty()) {
        headers.push_back(header{"Content-Type", recorded.contentType});
    }
    m_finalizer.respond(entry, recorded.status, std::move(headers), recorded.body);
}

void booking_handler::dispatch(request &entry)
{
    entry.machine.apply(request_event::forwarded{});
    if (!m_dispatch.send(entry)) {
        failBooking(entry, outcome::NotRun, failure::NoEndpoint, "no endpoint of the service is usable");
    }
}

void booking_handler::onResponse(request &entry, plain_response &&message)
{
    const auto attempt = m_dispatch.takeAttempt(entry, message.attempt.attempt);
    if (!attempt) {
        return;
    }
    m_dispatch.endpoints().succeeded(attempt->endpoint);
    if (entry.claim) {
        recordOutcome(*entry.claim, outcome::Ran, &message);
    }
    m_finalizer.respond(entry, message.status, std::move(message.headers), std::move(message.body));
}

void booking_handler::onFailed(request &entry, const attempt_failed &message)
{
    const auto attempt = m_dispatch.takeAttempt(entry, message.attempt.attempt);
    if (!attempt) {
        return;
    }
    m_dispatch.endpoints().failed(attempt->endpoint);
    m_components.decisions.record(entry.label, attempt->endpoint.value + " failed the attempt: " + message.code);
    if (message.mayHaveRun) {
        failBooking(entry, outcome::Unknown, failure::OutcomeUnknown, message.code);
        return;
    }
    // No byte was sent, so another endpoint may be tried. A claimed key is dispatched only once, whatever the outcome.
    const bool mayRetry = !entry.claim && entry.callerWaits && m_components.clock.now() < entry.deadline && m_components.retries.left() > 0;
    if (mayRetry && m_dispatch.send(entry)) {
        m_components.retries.spend();
        m_components.metrics.retried();
        return;
    }
    failBooking(entry, entry.outcomeIfAbandoned(), failure::EndpointFailed, message.code);
}

void booking_handler::failBooking(request &entry, outcome result, failure reason, std::string detail)
{
    if (entry.claim) {
        recordOutcome(*entry.claim, result, nullptr);
    }
    const auto retryAfter = result == outcome::NotRun ? std::optional<duration>(retryAfterFailure) : std::nullopt;
    m_finalizer.fail(entry, reason, result, std::move(detail), retryAfter);
}

void booking_handler::onDeadline(request &entry)
{
    if (!entry.attempts.empty()) {
        // The answer may still arrive, and is recorded then.
        m_finalizer.detach(entry, failure::OutcomeUnknown, "the service did not answer before the request deadline");
        return;
    }
    abandonClaim(entry);
    m_finalizer.refuse(entry, failure::LogUnavailable, "the claim was not settled before the request deadline", retryAfterLogOutage);
}

void booking_handler::onCallerDisconnected(request &entry)
{
    if (entry.attempts.empty()) {
        abandonClaim(entry);
        m_finalizer.forget(entry, "the caller disconnected; the booking was not run");
        return;
    }
    m_components.decisions.record(entry.label, "the caller disconnected; the dispatched booking is left to finish");
    m_components.requests.detachCaller(entry);
}

void booking_handler::onKeyWithdrawn(request &entry)
{
    if (entry.attempts.empty()) {
        abandonClaim(entry);
        m_finalizer.refuse(entry, failure::KeyWithdrawn, "the key has been withdrawn");
    }
}

void booking_handler::abandonClaim(const request &entry)
{
    for (auto &[id, pending] : m_claims) {
        if (pending.request == entry.label.sequence) {
            pending.request = 0;
        }
    }
}

void booking_handler::recordOutcome(const claim_key &key, outcome result, const plain_response *answer)
{
    booking_outcome record{key, result};
    if (answer != nullptr && answer->body.size() > maxOutcomeBodyBytes) {
        // The body is too large to record, and a truncated body would be mistaken for the full answer to a repeated request.
        record.result = outcome::Unknown;
    } else if (answer != nullptr) {
        record.status = answer->status;
        record.contentType = contentTypeOf(answer->headers);
        record.body = answer->body;
    }
    m_components.follow.append(std::move(record), m_components.out);
}

} // namespace plantainpoint
