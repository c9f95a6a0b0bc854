#include "leaving_runs.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

constexpr duration repeatTime = std::chrono::milliseconds{700}; // A lost message delays the others only.
constexpr duration memoryTime = std::chrono::minutes{10}; // An endpoint that leaves ends within seconds to minutes.
constexpr std::size_t maxRuns = 4096; // More than a fleet replaces within the memory time.

} // namespace

bool leaving_runs::add(const leaving_endpoint &endpoint, time_point now)
{
    const auto found = m_runs.find(endpoint.name);
    if (found == m_runs.end()) {
        if (m_runs.size() >= maxRuns) {
            m_runs.erase(std::min_element(m_runs.begin(), m_runs.end(), [](const auto &a, const auto &b) { return a.second.toldAt < b.second.toldAt; }));
        }
        m_runs.emplace(endpoint.name, run{endpoint.startedAt, now, now});
        return true;
    }
    auto &known = found->second;
    if (endpoint.startedAt < known.startedAt) {
        return false;
    }
    known.toldAt = now;
    if (endpoint.startedAt == known.startedAt) {
        return false;
    }
    known.startedAt = endpoint.startedAt;
    known.addedAt = now;
    return true;
}

bool leaving_runs::contains(const endpoint_name &name, std::int64_t startedAt) const
{
    const auto found = m_runs.find(name);
    return found != m_runs.end() && found->second.startedAt == startedAt;
}

bool leaving_runs::isRecent(const endpoint_name &name, time_point now) const
{
    const auto found = m_runs.find(name);
    return found != m_runs.end() && now - found->second.addedAt < repeatTime;
}

std::vector<leaving_endpoint> leaving_runs::all() const
{
    std::vector<leaving_endpoint> out;
    for (const auto &[name, each] : m_runs) {
        out.push_back({name, each.startedAt});
    }
    return out;
}

void leaving_runs::tick(time_point now)
{
    std::erase_if(m_runs, [&](const auto &item) { return now - item.second.toldAt >= memoryTime; });
}

} // namespace plantainpoint
