#include "endpoint_load_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

// Slow periods of a machine last about 600 ms, and a reading falls somewhere within one: after a few hundred milliseconds it says nothing.
constexpr duration workTimeDecay = milliseconds{250}; // Time constant of the return to the usual work time.
constexpr duration longestWorkTimeAge = milliseconds{500};
// A figure is passed on for two intervals of the totals that hubs exchange, so that one lost message does not lose it.
constexpr duration longestSharedAge = milliseconds{100};
// A wrong figure moves the cost of an endpoint by these factors at most.
constexpr double lowestFactor = 0.5;
constexpr double highestFactor = 8;
constexpr double usualPercent = 100;
// Requests that the report of an endpoint adds to those that are counted, or takes from them, at most. A wrong report costs no more than a full queue.
constexpr double mostUncounted = 64;
constexpr duration shortestHoldTime = milliseconds{5}; // Reports of shorter work would lose their weight within the time of a message.
// Time constant of the mean of other VMs' work. It spans several of their messages and follows demand that moves within seconds.
constexpr duration farMeanTime = milliseconds{500};

double decayed(duration age, duration timeConstant)
{
    return std::exp(-std::chrono::duration<double>(std::max(age, duration{})).count() / std::chrono::duration<double>(timeConstant).count());
}

} // namespace

double work_time_reading::factor(time_point now) const
{
    if (!isCurrent(now)) {
        return 1;
    }
    const auto stated = std::clamp(percent / usualPercent, lowestFactor, highestFactor);
    return 1 + (stated - 1) * decayed(now - at, workTimeDecay);
}

bool work_time_reading::isCurrent(time_point now) const
{
    return now - at < longestWorkTimeAge;
}

std::optional<std::int32_t> work_time_reading::shared(time_point now) const
{
    if (now - at > longestSharedAge) {
        return std::nullopt;
    }
    return static_cast<std::int32_t>(std::lround(factor(now) * usualPercent));
}

std::optional<work_time_reading> newestReading(const std::optional<work_time_reading> &first, const std::optional<work_time_reading> &second, time_point now)
{
    const auto &newest = !second || (first && first->at >= second->at) ? first : second;
    return newest && newest->isCurrent(now) ? newest : std::nullopt;
}

void endpoint_load_estimate::onReport(const reported_load &load, std::int32_t counted, time_point now)
{
    m_uncounted = std::clamp(static_cast<double>(load.running) + load.waiting - counted, -mostUncounted, mostUncounted);
    m_reportedAt = now;
    if (load.workTimePercent) {
        m_workTime = work_time_reading{static_cast<double>(*load.workTimePercent), now};
    }
}

void endpoint_load_estimate::onRestarted()
{
    *this = {};
}

// The requests of a report end within about the time of one request, and others take their place, which the counts show by then.
double endpoint_load_estimate::weight(duration holdTime, time_point now) const
{
    return m_reportedAt ? decayed(now - *m_reportedAt, std::max(holdTime, shortestHoldTime)) : 0;
}

void endpoint_load_estimate::updateFarMean(std::int32_t far, time_point now)
{
    const auto kept = m_farMeanAt ? decayed(now - *m_farMeanAt, farMeanTime) : 0;
    m_farMean = m_farMean * kept + far * (1 - kept);
    m_farMeanAt = now;
}

double endpoint_load_estimate::requests(const counts &counted, time_point now)
{
    updateFarMean(counted.far, now);
    const auto farWeight = decayed(counted.farAge, std::max(counted.holdTime, shortestHoldTime));
    const auto far = m_farMean + (counted.far - m_farMean) * farWeight;
    return counted.near + std::max(far + m_uncounted * weight(counted.holdTime, now), 0.0);
}

bool endpoint_load_estimate::knowsRequests(duration holdTime, time_point now) const
{
    constexpr double lowestWeight = 0.1;
    return weight(holdTime, now) > lowestWeight;
}

} // namespace plantainpoint
