// Health of an endpoint. Failures exclude the endpoint for some time, and single requests probe it afterwards.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "plantainpoint/clock.hpp"

namespace plantainpoint {

// A single failure may be caused by the request. The second one in a row is attributed to the endpoint.
inline constexpr std::int32_t failuresUntilExcluded = 2;
inline constexpr std::int32_t missedReportsUntilExcluded = 3;
inline constexpr duration initialExclusion = std::chrono::milliseconds(250);
inline constexpr duration maxExclusion = std::chrono::seconds(5);

class endpoint_health
{
public:
    void setConfigured(bool value) { m_configured = value; }
    void setRemoved() { m_removed = true; }

    // Counts a failure. A failure during an exclusion belongs to work sent before the exclusion and does not extend it.
    void onFailure(time_point now)
    {
        ++m_failures;
        if (now < m_excludedUntil || (m_failures < failuresUntilExcluded && !m_probing)) {
            return;
        }
        m_excludedUntil = now + m_backoff;
        m_backoff = std::min(m_backoff * 2, maxExclusion);
        m_probing = true;
    }

    void onSuccess(time_point now)
    {
        if (now < m_excludedUntil) {
            return;
        }
        m_failures = 0;
        m_probing = false;
        m_backoff = initialExclusion;
    }

    void onReport(bool reachable)
    {
        m_missedReports = reachable ? 0 : m_missedReports + 1;
        m_removed = m_removed && !reachable;
    }

    // Returns whether the endpoint may get work. openAttempts is the number of attempts that occupy the endpoint now.
    bool usable(time_point now, std::int32_t openAttempts) const { return present() && now >= m_excludedUntil && (!m_probing || openAttempts == 0); }
    bool present() const { return m_configured && !m_removed && m_missedReports < missedReportsUntilExcluded; }
    time_point excludedUntil() const { return m_excludedUntil; }
    std::int32_t failures() const { return m_failures; }

private:
    bool m_configured = true;
    bool m_removed = false;
    bool m_probing = false;
    std::int32_t m_failures = 0;
    std::int32_t m_missedReports = 0;
    duration m_backoff = initialExclusion;
    time_point m_excludedUntil{};
};

} // namespace plantainpoint
