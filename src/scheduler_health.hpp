// whether an endpoint may get work: failures exclude it for a while, and one request at a time probes it afterwards
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "plantainpoint/clock.hpp"

namespace plantainpoint {

// one failure may be the request's own; the second in a row is taken as the endpoint's
inline constexpr std::int32_t failuresUntilExcluded = 2;
inline constexpr std::int32_t missedReportsUntilExcluded = 3;
inline constexpr duration firstExclusion = std::chrono::milliseconds(250);
inline constexpr duration longestExclusion = std::chrono::seconds(5);

class endpoint_health
{
public:
    void setConfigured(bool value) { m_configured = value; }
    void setGone() { m_gone = true; }

    // a new failure during an exclusion belongs to work sent before it and does not extend it
    void onFailure(time_point now)
    {
        ++m_failures;
        if (now < m_excludedUntil || (m_failures < failuresUntilExcluded && !m_probing)) {
            return;
        }
        m_excludedUntil = now + m_backoff;
        m_backoff = std::min(m_backoff * 2, longestExclusion);
        m_probing = true;
    }

    void onSuccess(time_point now)
    {
        if (now < m_excludedUntil) {
            return;
        }
        m_failures = 0;
        m_probing = false;
        m_backoff = firstExclusion;
    }

    void onReport(bool reachable)
    {
        m_missedReports = reachable ? 0 : m_missedReports + 1;
        m_gone = m_gone && !reachable;
    }

    // open: attempts that occupy the endpoint now
    bool usable(time_point now, std::int32_t open) const { return present() && now >= m_excludedUntil && (!m_probing || open == 0); }
    bool present() const { return m_configured && !m_gone && m_missedReports < missedReportsUntilExcluded; }
    time_point excludedUntil() const { return m_excludedUntil; }
    std::int32_t failures() const { return m_failures; }

private:
    bool m_configured = true;
    bool m_gone = false;
    bool m_probing = false;
    std::int32_t m_failures = 0;
    std::int32_t m_missedReports = 0;
    duration m_backoff = firstExclusion;
    time_point m_excludedUntil{};
};

} // namespace plantainpoint
