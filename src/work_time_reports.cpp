#include "work_time_reports.hpp"

namespace plantainpoint {

void work_time_reports::on(const std::vector<endpoint_load> &loads, time_point now)
{
    for (const auto &load : loads) {
        if (load.workTimePercent) {
            m_readings[load.endpoint] = {static_cast<double>(*load.workTimePercent), now};
        }
    }
}

std::optional<work_time_reading> work_time_reports::at(const endpoint_name &endpoint) const
{
    const auto found = m_readings.find(endpoint);
    return found == m_readings.end() ? std::nullopt : std::optional(found->second);
}

void work_time_reports::addTo(std::vector<endpoint_load> &loads, time_point now) const
{
    if (m_readings.empty()) {
        return;
    }
    std::unordered_map<endpoint_name, std::size_t> positions;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        positions.emplace(loads[i].endpoint, i);
    }
    for (const auto &[endpoint, reading] : m_readings) {
        const auto percent = reading.shared(now);
        if (!percent) {
            continue;
        }
        const auto [it, added] = positions.try_emplace(endpoint, loads.size());
        if (added) {
            loads.push_back({.endpoint = endpoint});
        }
        auto &load = loads[it->second];
        load.workTimePercent = load.workTimePercent.value_or(*percent);
    }
}

void work_time_reports::expire(time_point now)
{
    std::erase_if(m_readings, [&](const auto &item) { return !item.second.isCurrent(now); });
}

} // namespace plantainpoint
