#include "request_pace.hpp"

#include <algorithm>
#include <cmath>

namespace plantainpoint {

double request_pace::levelAt(time_point now) const
{
    const auto elapsed = std::chrono::duration<double>(std::max(now - m_setAt, duration{})).count();
    if (*m_rate <= 0) {
        return 0;
    }
    if (*m_rate >= m_terms.slowRate) {
        return std::min(1 + *m_rate * m_terms.savedSeconds, m_level + *m_rate * elapsed);
    }
    const double interval = 1 / *m_rate;
    const double position = std::fmod(std::min(m_level, 1.0) * interval + elapsed, interval + m_terms.permitLifetime);
    return std::min(1.0, position / interval);
}

void request_pace::setRate(std::optional<double> perSecond, std::uint64_t seed, time_point now)
{
    if (perSecond && *perSecond < m_terms.sparseRate) {
        perSecond = *perSecond * m_terms.sparseFactor;
    }
    if (perSecond == m_rate) {
        return;
    }
    const bool begins = !m_rate || *m_rate <= 0;
    double level = begins ? 0 : levelAt(now);
    if (begins && perSecond && *perSecond < m_terms.slowRate) {
        constexpr std::uint64_t steps = 1024;
        level = static_cast<double>(seed % steps) / steps;
    }
    m_rate = perSecond;
    m_level = level;
    m_setAt = now;
}

void request_pace::take(time_point now)
{
    if (m_rate) {
        m_level = levelAt(now) - 1;
        m_setAt = now;
    }
}

} // namespace plantainpoint
