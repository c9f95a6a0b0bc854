#include "lookup_handler.hpp"

#include <algorithm>
#include <vector>

namespace plantainpoint {

namespace {

constexpr std::uint32_t maxLookupAttempts = 3;
// until there are samples enough for a percentile
constexpr duration hedgeWithoutSamples = std::chrono::milliseconds(200);
constexpr std::size_t fewestSamples = 20;
// the percentile is computed anew after this number of answers
constexpr std::size_t samplesPerEstimate = 16;
constexpr duration retryAfterFailure = std::chrono::seconds(1);

// statuses by which a service or its front says that it cannot answer now
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
    if (m_count < fewestSamples) {
        return hedgeWithoutSamples;
    }
    if (m_computedAt == 0 || m_count >= m_computedAt + samplesPerEstimate) {
        auto samples = m_samples;
        const auto end = samples.begin() + static_cast<std::ptrdiff_t>(std::min(m_count, sampleCount));
        const auto at = samples.begin() + (end - samples.begin()) * 95 / 100;
        std::nth_element(samples.begin(), at, end);
        m_p95 = *at;
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
        m_finalizer.refuse(entry, failure::NoEndpoint, "the service has no usable endpoint", retryAfterFailure);
        return;
    }
    scheduleHedge(entry);
}

void lookup_handler::scheduleHedge(const request &entry)
{
    const auto at = m_components.clock.now() + m_latencies[entry.service].p95();
    m_components.timers.schedule(timer{at, timer_kind::Hedge, entry.label.sequence, entry.attempts.back().number});
}

void lookup_handler::onHedge(request &entry, std::uint32_t attempt)
{
    const bool waits = entry.attempts.size() == 1 && entry.attempts.front().number == attempt;
    if (waits && sendAgain(entry)) {
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
    const auto attempt = m_dispatch.take(entry, message.attempt.attempt);
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
    m_dispatch.closeAll(entry);
    m_finalizer.plain(entry, message.status, std::move(message.headers), std::move(message.body));
}

void lookup_handler::onFailed(request &entry, const attempt_failed &message)
{
    const auto attempt = m_dispatch.take(entry, message.attempt.attempt);
    if (!attempt) {
        return;
    }
    m_dispatch.endpoints().failed(attempt->endpoint);
    m_components.decisions.record(entry.label, attempt->endpoint.value + " failed the attempt: " + message.code);
    // the other attempt of a hedged lookup may still answer
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
    m_dispatch.closeAll(entry);
    m_finalizer.refuse(entry, failure::DeadlineExceeded, "the service did not answer in time");
}

} // namespace plantainpoint
