#include "fleet_view.hpp"

#include <algorithm>
#include <utility>

namespace plantainpoint {

fleet_view::fleet_view(incarnation_id self, std::string address)
    : m_self(std::move(self))
    , m_address(std::move(address))
{
}

bool fleet_view::isHeard(const peer &entry, time_point now)
{
    return entry.heardAt && now - *entry.heardAt < vmSilenceTimeout;
}

void fleet_view::onMembers(const members_read &members, time_point now)
{
    for (const auto &each : members.members) {
        if (each.vm == m_self.vm || each.address == m_address) {
            continue;
        }
        const auto [found, added] = m_peers.try_emplace(each.vm);
        if (added) {
            found->second.knownSince = now;
            found->second.address = each.address;
        } else if (!isHeard(found->second, now)) {
            found->second.address = each.address;
        }
    }
}

fleet_view::arrival fleet_view::onFleetHeartbeat(const fleet_heartbeat &heartbeatMessage, time_point now)
{
    if (heartbeatMessage.from.vm == m_self.vm) {
        return {};
    }
    const auto [found, added] = m_peers.try_emplace(heartbeatMessage.from.vm);
    auto &entry = found->second;
    if (added) {
        entry.knownSince = now;
    }
    const bool restarted = entry.incarnation != heartbeatMessage.from.number;
    if (!restarted && heartbeatMessage.sequence <= entry.sequence) {
        return {};
    }
    const bool knewIt = entry.heardAt.has_value();
    // a restart of a VM that was heard is no silence: all that the new run has admitted is new
    const bool resumed = !knewIt || (!restarted && !isHeard(entry, now));
    entry.address = heartbeatMessage.address;
    entry.incarnation = heartbeatMessage.from.number;
    entry.sequence = heartbeatMessage.sequence;
    entry.heardAt = now;
    entry.leaving = heartbeatMessage.leaving;
    entry.configVersion = heartbeatMessage.configVersion;
    entry.directoryPosition = heartbeatMessage.directoryPosition;
    entry.loads.clear();
    for (const auto &load : heartbeatMessage.loads) {
        entry.loads.emplace(load.endpoint, load);
    }
    return {true, resumed, added || restarted};
}

void fleet_view::tick(time_point now)
{
    std::erase_if(m_peers, [&](const auto &each) { return now - each.second.heardAt.value_or(each.second.knownSince) > vmRemovalTimeout; });
}

std::size_t fleet_view::heard(time_point now) const
{
    return 1 + static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &each) {
               return isHeard(each.second, now) && !each.second.leaving;
           }));
}

// a VM that said it leaves and then fell silent has ended
std::size_t fleet_view::members(time_point now) const
{
    const auto mayWork = [&](const auto &each) {
        const auto &entry = each.second;
        return entry.heardAt && !entry.leaving && now - *entry.heardAt < vmExpiryTimeout;
    };
    return 1 + static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), mayWork));
}

vm_name fleet_view::lowest(time_point now) const
{
    // peers are ordered by name
    const auto found = std::find_if(m_peers.begin(), m_peers.end(), [&](const auto &each) { return isHeard(each.second, now) && !each.second.leaving; });
    return found == m_peers.end() ? m_self.vm : std::min(found->first, m_self.vm);
}

endpoint_load fleet_view::loadAt(const endpoint_name &endpoint, time_point now) const
{
    endpoint_load sum{.endpoint = endpoint};
    for (const auto &[vm, entry] : m_peers) {
        if (!isHeard(entry, now)) {
            continue;
        }
        const auto found = entry.loads.find(endpoint);
        if (found == entry.loads.end()) {
            continue;
        }
        sum.running += found->second.running;
        sum.prefillTokens += found->second.prefillTokens;
        sum.kvTokens += found->second.kvTokens;
    }
    return sum;
}

std::vector<std::string> fleet_view::addresses() const
{
    std::vector<std::string> out;
    out.reserve(m_peers.size());
    std::transform(m_peers.begin(), m_peers.end(), std::back_inserter(out), [](const auto &each) { return each.second.address; });
    return out;
}

std::optional<std::string> fleet_view::aheadOf(std::uint64_t configVersion, std::uint64_t directoryPosition, time_point now) const
{
    const auto ahead = [&](const auto &each) {
        const auto &entry = each.second;
        return isHeard(entry, now) && (entry.configVersion > configVersion || entry.directoryPosition > directoryPosition);
    };
    const auto found = std::find_if(m_peers.begin(), m_peers.end(), ahead);
    return found == m_peers.end() ? std::nullopt : std::optional(found->second.address);
}

} // namespace plantainpoint
