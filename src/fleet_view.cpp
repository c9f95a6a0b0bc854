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
    for (const auto &member : members.members) {
        if (member.vm == m_self.vm || member.address == m_address) {
            continue;
        }
        const auto [it, added] = m_peers.try_emplace(member.vm);
        if (added) {
            it->second.knownSince = now;
            it->second.address = member.address;
        } else if (!isHeard(it->second, now)) {
            it->second.address = member.address;
        }
    }
}

fleet_view::heartbeat_arrival fleet_view::onFleetHeartbeat(const fleet_heartbeat &heartbeatMessage, time_point now)
{
    if (heartbeatMessage.from.vm == m_self.vm) {
        return {};
    }
    const auto [it, added] = m_peers.try_emplace(heartbeatMessage.from.vm);
    auto &entry = it->second;
    if (added) {
        entry.knownSince = now;
    }
    const bool restarted = entry.incarnation != heartbeatMessage.from.number;
    if (!restarted && heartbeatMessage.sequence <= entry.sequence) {
        return {};
    }
    const bool heardBefore = entry.heardAt.has_value();
    // A restart of a VM that was heard is not a silence, as everything that its new incarnation has admitted is new.
    const bool resumed = !heardBefore || (!restarted && !isHeard(entry, now));
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
    std::erase_if(m_peers, [&](const auto &vmAndPeer) { return now - vmAndPeer.second.heardAt.value_or(vmAndPeer.second.knownSince) > vmRemovalTimeout; });
}

std::size_t fleet_view::heard(time_point now) const
{
    return 1 + static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &vmAndPeer) {
               return isHeard(vmAndPeer.second, now) && !vmAndPeer.second.leaving;
           }));
}

// A silent VM that announced that it leaves has ended and does not count.
std::size_t fleet_view::members(time_point now) const
{
    const auto mayBeRunning = [&](const auto &vmAndPeer) {
        const auto &entry = vmAndPeer.second;
        return entry.heardAt && !entry.leaving && now - *entry.heardAt < vmExpiryTimeout;
    };
    return 1 + static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), mayBeRunning));
}

vm_name fleet_view::lowest(time_point now) const
{
    // The peers are sorted by name.
    const auto it =
        std::find_if(m_peers.begin(), m_peers.end(), [&](const auto &vmAndPeer) { return isHeard(vmAndPeer.second, now) && !vmAndPeer.second.leaving; });
    return it == m_peers.end() ? m_self.vm : std::min(it->first, m_self.vm);
}

endpoint_load fleet_view::loadAt(const endpoint_name &endpoint, time_point now) const
{
    endpoint_load sum{.endpoint = endpoint};
    for (const auto &[vm, entry] : m_peers) {
        if (!isHeard(entry, now)) {
            continue;
        }
        const auto it = entry.loads.find(endpoint);
        if (it == entry.loads.end()) {
            continue;
        }
        sum.running += it->second.running;
        sum.prefillTokens += it->second.prefillTokens;
        sum.kvTokens += it->second.kvTokens;
    }
    return sum;
}

std::vector<std::string> fleet_view::addresses() const
{
    std::vector<std::string> result;
    result.reserve(m_peers.size());
    std::transform(m_peers.begin(), m_peers.end(), std::back_inserter(result), [](const auto &vmAndPeer) { return vmAndPeer.second.address; });
    return result;
}

std::optional<std::string> fleet_view::addressOfNewerPeer(std::uint64_t configVersion, std::uint64_t directoryPosition, time_point now) const
{
    const auto isAhead = [&](const auto &vmAndPeer) {
        const auto &entry = vmAndPeer.second;
        return isHeard(entry, now) && (entry.configVersion > configVersion || entry.directoryPosition > directoryPosition);
    };
    const auto it = std::find_if(m_peers.begin(), m_peers.end(), isAhead);
    return it == m_peers.end() ? std::nullopt : std::optional(it->second.address);
}

} // namespace plantainpoint
