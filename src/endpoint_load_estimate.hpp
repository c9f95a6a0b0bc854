// Estimates the load of an endpoint at this moment from its last report, which is stale, and from the requests that are counted there.
#pragma once

#include <cstdint>
#include <optional>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

// Work time of an endpoint's machine, as it was stated at a moment.
struct work_time_reading {
    double percent = 100; // Of the usual time.
    time_point at{};

    // Returns the expected work time now, as a multiple of the usual one. It returns to 1 as the reading ages.
    double factor(time_point now) const;
    // Returns whether the reading still says something.
    bool isCurrent(time_point now) const;
    // Returns the figure for other VMs, or nothing if it is too old to be passed on.
    std::optional<std::int32_t> shared(time_point now) const;
};

// Returns the newer one of two readings, or nothing if neither says something now.
std::optional<work_time_reading> newestReading(const std::optional<work_time_reading> &first, const std::optional<work_time_reading> &second, time_point now);

class endpoint_load_estimate
{
public:
    // Records a report that has just arrived, and the requests that are counted at the endpoint at this moment.
    void onReport(const reported_load &load, std::int32_t counted, time_point now);
    // Forgets what an earlier run of the endpoint has reported.
    void onRestarted();

    // Requests that are counted at the endpoint.
    struct counts {
        std::int32_t near = 0; // Of this VM, and of those that it places for. They are known at once.
        std::int32_t far = 0; // Of others.
        duration farAge{}; // Age of the latter.
        duration holdTime{}; // Mean time of a request there.
    };
    // Returns the requests that are expected at the endpoint now. Counts of others return to their mean as they age.
    double requests(const counts &counted, time_point now);
    // Returns whether a report weighs in the number of requests.
    bool knowsRequests(duration holdTime, time_point now) const;
    // Returns whether this run of the endpoint has reported its load.
    bool hasReported() const { return m_reportedAt.has_value(); }
    const std::optional<work_time_reading> &workTime() const { return m_workTime; }

private:
    double weight(duration holdTime, time_point now) const;
    void updateFarMean(std::int32_t far, time_point now);

    double m_farMean = 0; // Mean of the requests of others.
    std::optional<time_point> m_farMeanAt;
    double m_uncounted = 0; // Requests in the last report beyond those that were counted at its arrival. It may be negative.
    std::optional<time_point> m_reportedAt;
    std::optional<work_time_reading> m_workTime;
};

} // namespace plantainpoint
