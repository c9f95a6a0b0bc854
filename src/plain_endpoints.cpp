#include "plain_endpoints.hpp"

#include <algorithm>
#include <tuple>

namespace plantainpoint {

namespace {

constexpr std::int32_t failuresBeforeExclusion = 3;
constexpr duration exclusionTime = std::chrono::seconds(2);

} // namespace

plain_endpoints::plain_endpoints(data_centre_name localDataCentre, std::uint64_t seed, const clock_source &clock)
    : m_localDataCentre(std::move(localDataCentre))
    , m_clock(clock)
    , m_random(seed)
{
}

bool plain_endpoints::usable(const endpoint &candidate) const
{
    if (candidate.role != endpoint_role::Plain || candidate.condition != endpoint_condition::Ready) {
        return false;
    }
    const auto it = m_health.find(candidate.name);
    if (it == m_health.end() || it->second.consecutiveFailures < failuresBeforeExclusion) {
        return true;
    }
    // After the exclusion, the endpoint is probed with one request at a time.
    return m_clock.now() >= it->second.excludedUntil && it->second.open == 0;
}

const endpoint *plain_endpoints::choose(const service_config &service, const std::vector<endpoint_name> &exclude)
{
    const endpoint *best = nullptr;
    std::tuple<std::int32_t, std::int32_t, bool, std::uint64_t> bestRank;
    for (const auto &candidate : service.endpoints) {
        if (!usable(candidate) || std::find(exclude.begin(), exclude.end(), candidate.name) != exclude.end()) {
            continue;
        }
        const auto it = m_health.find(candidate.name);
        const auto endpointHealth = it == m_health.end() ? health{} : it->second;
        const std::tuple rank{endpointHealth.consecutiveFailures, endpointHealth.open, candidate.dataCentre != m_localDataCentre, m_random()};
        if (best == nullptr || rank < bestRank) {
            best = &candidate;
            bestRank = rank;
        }
    }
    return best;
}

void plain_endpoints::opened(const endpoint_name &name)
{
    ++m_health[name].open;
}

void plain_endpoints::succeeded(const endpoint_name &name)
{
    closed(name);
    m_health[name].consecutiveFailures = 0;
}

void plain_endpoints::failed(const endpoint_name &name)
{
    closed(name);
    auto &endpointHealth = m_health[name];
    if (++endpointHealth.consecutiveFailures >= failuresBeforeExclusion) {
        endpointHealth.excludedUntil = m_clock.now() + exclusionTime;
    }
}

void plain_endpoints::closed(const endpoint_name &name)
{
    auto &endpointHealth = m_health[name];
    endpointHealth.open = std::max(endpointHealth.open - 1, 0);
}

bool plain_endpoints::excluded(const endpoint_name &name) const
{
    const auto it = m_health.find(name);
    return it != m_health.end() && it->second.consecutiveFailures >= failuresBeforeExclusion && m_clock.now() < it->second.excludedUntil;
}

} // namespace plantainpoint
