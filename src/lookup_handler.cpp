#include "lookup_handler.hpp"

#include <algorithm>
#include <vector>

namespace plantainpoint {

namespace {

constexpr std::uint32_t maxLookupAttempts = 3;
// The hedge delay that is used until there are enough samples for a percentile.
constexpr duration defaultHedgeDelay = std::chrono::milliseconds(200);
constexpr std::size_t minSamples = 20;
// The percentile is recomputed after this number of answers.
constexpr std::size_t samplesPerUpdate = 16;
constexpr duration retryAfterFailure = std::chrono::seconds(1);

// Returns true for the statuses with which a service or its gateway reports that it is temporarily unable to answer.
bool isTransient(int status)
{
    return status == 502 || status == 503 || status == 504;
}

} // namespace

void recent_latency::add(duration value)
{
    m_samples[m_count++ % sampleCount] = value;
}

duration recent_latency::p95() const
{
    if (m_count < minSamples) {
        return defaultHedgeDelay;
    }
    if (m_computedAt == 0 || m_count >= m_computedAt + samplesPerUpdate) {
        auto samples = m_samples;
        const auto end = samples.begin() + static_cast<std::ptrdiff_t>(std::min(m_count, sampleCount));
        const auto percentile = samples.begin() + (end - samples.begin()) * 95 / 100;
        std::nth_element(samples.begin(), percentile, end);
        m_p95 = *percentile;
        m_computedAt = m_count;
    }
    return m_p95;
}

lookup_handler::lookup_handler(core_components &components, request_finalizer &finalizer, plain_dispatch &dispatch)
    : m_components(components)
    , m_finalizer(finalizer)
    , m_dispatch(dispatch)
{
}

void lookup_handler::start(request &entry)
{
    entry.machine.apply(request_event::forwarded{});
    if (!m_dispatch.send(entry)) {
        m_finalizer.refuse(entry, failure::NoEndpoint, "no endpoint of the service is usable", retryAfterFailure);
        return;
    }
    scheduleHedge(entry);
}

void lookup_handler::scheduleHedge(const request &entry)
{
    const auto hedgeAt = m_components.clock.now() + m_latencies[entry.service].p95();
    m_components.timers.schedule(timer{hedgeAt, timer_kind::Hedge, entry.label.sequence, entry.attempts.back().number});
}

void lookup_handler::onHedge(request &entry, std::uint32_t attempt)
{
    const bool isOnlyOpenAttempt = entry.attempts.size() == 1 && entry.attempts.front().number == attempt;
    if (isOnlyOpenAttempt && sendAgain(entry)) {
        m_components.metrics.hedged();
    }
}

bool lookup_handler::sendAgain(request &entry)
{
    const bool allowed = entry.nextAttempt < maxLookupAttempts && m_components.clock.now() < entry.deadline && m_components.retries.left() > 0;
    return allowed && m_dispatch.send(entry) && m_components.retries.spend();
}

void lookup_handler::onResponse(request &entry, plain_response &&message)
{
    const auto attempt = m_dispatch.takeAttempt(entry, message.attempt.attempt);
    if (!attempt) {
        return;
    }
    if (isTransient(message.status)) {
        m_dispatch.endpoints().failed(attempt->endpoint);
        if (!entry.attempts.empty()) {
            return;
        }
        if (sendAgain(entry)) {
            m_components.metrics.retried();
            return;
        }
    } else {
        m_dispatch.endpoints().succeeded(attempt->endpoint);
        m_latencies[entry.service].add(m_components.clock.now() - attempt->startedAt);
    }
    m_dispatch.closeAttempts(entry);
    m_finalizer.respond(entry, message.status, std::move(message.headers), std::move(message.body));
}

void lookup_handler::onFailed(request &entry, const attempt_failed &message)
{
    const auto attempt = m_dispatch.takeAttempt(entry, message.attempt.attempt);
    if (!attempt) {
        return;
    }
    m_dispatch.endpoints().failed(attempt->endpoint);
    m_components.decisions.record(entry.label, attempt->endpoint.value + " failed the attempt: " + message.code);
    // The other attempt of a hedged lookup may still be answered.
    if (entry.attempts.empty()) {
        retryOrFail(entry, message.code);
    }
}

void lookup_handler::retryOrFail(request &entry, std::string detail)
{
    if (sendAgain(entry)) {
        m_components.metrics.retried();
        scheduleHedge(entry);
        return;
    }
    m_finalizer.refuse(entry, failure::EndpointFailed, std::move(detail), retryAfterFailure);
}

void lookup_handler::onDeadline(request &entry)
{
    m_dispatch.closeAttempts(entry);
    m_finalizer.refuse(entry, failure::DeadlineExceeded, "the service did not answer before the request deadline");
}

} // namespace plantainpoint
