// Handles lookups, which are idempotent and therefore retried and hedged within the retry budget.
#pragma once

#include <array>
#include <map>

#include "core_components.hpp"
#include "plain_dispatch.hpp"
#include "request_finalizer.hpp"

namespace plantainpoint {

// Computes the 95th percentile of the most recent response times of a service.
class recent_latency
{
public:
    void add(duration value);
    duration p95() const;

private:
    static constexpr std::size_t sampleCount = 128;

    std::array<duration, sampleCount> m_samples{};
    std::size_t m_count = 0;
    mutable duration m_p95{};
    mutable std::size_t m_computedAt = 0;
};

class lookup_handler
{
public:
    lookup_handler(core_components &components, request_finalizer &finalizer, plain_dispatch &dispatch);

    void start(request &entry);
    void giveUp(request &entry) { m_dispatch.closeAttempts(entry); }
    void onResponse(request &entry, plain_response &&message);
    void onFailed(request &entry, const attempt_failed &message);
    void onHedge(request &entry, std::uint32_t attempt);
    void onDeadline(request &entry);

private:
    // Starts another attempt on an endpoint that was not tried yet, if the retry budget allows it.
    bool sendAgain(request &entry);
    void retryOrFail(request &entry, std::string detail);
    void scheduleHedge(const request &entry);

    core_components &m_components;
    request_finalizer &m_finalizer;
    plain_dispatch &m_dispatch;
    std::map<service_name, recent_latency> m_latencies;
};

} // namespace plantainpoint
