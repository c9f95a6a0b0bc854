#include "hold_time_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace plantainpoint {

namespace {

// Time constant. An engine that runs at half its speed is known after some twenty requests, and the speed of a machine changes seldom.
constexpr double memorySeconds = 60;
constexpr double longestStepSeconds = 2; // A VM without placements for longer does not know what was open meanwhile.
// Standard deviation of the time of a request over its mean: lengths of prompts and outputs differ.
constexpr double timeDeviation = 0.6;
constexpr double sureDeviations = 2; // A difference within this many deviations of the mean is taken for chance.
constexpr double lowestSlowness = 0.5;
constexpr double highestSlowness = 3;

} // namespace

void hold_time_estimate::decay(time_point now)
{
    const double elapsed = std::chrono::duration<double>(std::max(now - m_observedAt, duration{})).count();
    if (elapsed > 0) {
        const double kept = std::exp(-elapsed / memorySeconds);
        m_heldSeconds = m_heldSeconds * kept + m_counted * std::min(elapsed, longestStepSeconds);
        m_placed *= kept;
        m_observedAt = now;
    }
}

void hold_time_estimate::observe(std::int32_t counted, time_point now)
{
    decay(now);
    m_counted = std::max(counted, 0);
}

void hold_time_estimate::onPlaced(time_point now)
{
    decay(now);
    m_placed += 1;
    ++m_counted;
}

// Shrinks the difference towards nothing, the more the fewer requests show it, so that equally fast endpoints are treated alike.
double hold_time_estimate::slowness(double usualSeconds) const
{
    if (m_placed < 1 || usualSeconds <= 0) {
        return 1;
    }
    const double difference = m_heldSeconds / m_placed / usualSeconds - 1;
    const double chance = sureDeviations * timeDeviation / std::sqrt(m_placed);
    if (std::abs(difference) <= chance) {
        return 1;
    }
    const double share = chance / difference;
    return std::clamp(1 + difference * (1 - share * share), lowestSlowness, highestSlowness);
}

} // namespace plantainpoint
