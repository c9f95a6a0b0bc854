// Work times of endpoints that other VMs have heard, from the loads in their messages.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "endpoint_load_estimate.hpp"
#include "plantainpoint/ids.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

class work_time_reports
{
public:
    // Records the figures of a message that has just arrived.
    void on(const std::vector<endpoint_load> &loads, time_point now);
    std::optional<work_time_reading> at(const endpoint_name &endpoint) const;
    // Adds the figures that are recent enough to a list of loads. Figures that the list has stay.
    void addTo(std::vector<endpoint_load> &loads, time_point now) const;
    // Removes the figures that say nothing any more.
    void expire(time_point now);

private:
    std::unordered_map<endpoint_name, work_time_reading> m_readings;
};

} // namespace plantainpoint
