#include "fleet_members.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

// Time for a VM to answer as a hub. It covers two intervals of summaries and a slow link.
constexpr auto probeTime = std::chrono::milliseconds{500};
constexpr auto probePause = std::chrono::seconds{2}; // Pause before a VM that did not answer is asked again.
constexpr std::size_t maxProbes = 3; // VMs that are asked at once while a hub is heard.
constexpr std::size_t maxProbesWithoutHub = 8;
constexpr std::size_t maxCandidates = 4;

} // namespace

bool precedes(const fleet_member &first, const fleet_member &second)
{
    if (first.capacity != second.capacity) {
        return first.capacity > second.capacity;
    }
    const auto firstHash = stableHash(first.vm.value);
    const auto secondHash = stableHash(second.vm.value);
    return firstHash != secondHash ? firstHash < secondHash : first.vm < second.vm;
}

fleet_members::fleet_members(fleet_member self)
    : m_self(std::move(self))
{
    m_ranked[m_self.dataCentre].push_back(m_self);
}

fleet_peer *fleet_members::find(const vm_name &vm)
{
    const auto it = m_peers.find(vm);
    return it == m_peers.end() ? nullptr : &it->second;
}

const fleet_peer *fleet_members::find(const vm_name &vm) const
{
    const auto it = m_peers.find(vm);
    return it == m_peers.end() ? nullptr : &it->second;
}

// Replaces what is known of a VM and keeps the order of precedence.
void fleet_members::update(fleet_peer &peer, const fleet_member &info)
{
    if (peer.info == info) {
        return;
    }
    std::erase_if(m_ranked[peer.info.dataCentre], [&](const auto &each) { return each.vm == info.vm; });
    peer.info = info;
    auto &ranked = m_ranked[info.dataCentre];
    ranked.insert(std::upper_bound(ranked.begin(), ranked.end(), info, precedes), info);
}

fleet_members::arrival fleet_members::onMessage(const fleet_member &sender, std::uint64_t incarnation, time_point now)
{
    if (sender.vm == m_self.vm) {
        return {};
    }
    const auto [it, added] = m_peers.try_emplace(sender.vm);
    auto &peer = it->second;
    arrival result{.peer = &peer, .added = added, .restarted = !added && peer.incarnation != 0 && peer.incarnation != incarnation};
    result.wasHeard = peer.isHeard(now);
    if (added) {
        peer.knownSince = now;
    }
    if (peer.incarnation != incarnation) {
        peer.incarnation = incarnation;
        peer.heartbeatSequence = 0;
        peer.summarySequence = 0;
        peer.leaving = false;
    }
    update(peer, sender);
    return result;
}

void fleet_members::add(const fleet_member &member, time_point now)
{
    if (member.vm == m_self.vm || member.address == m_self.address) {
        return;
    }
    const auto [it, added] = m_peers.try_emplace(member.vm);
    if (added) {
        it->second.knownSince = now;
    }
    // A VM that is heard tells its address itself.
    if (added || !it->second.isHeard(now)) {
        update(it->second, member);
    }
}

void fleet_members::onProbe(const vm_name &vm, time_point now)
{
    if (auto *const peer = find(vm); peer != nullptr && !peer->probedSince) {
        peer->probedSince = now;
    }
}

void fleet_members::tick(time_point now)
{
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        auto &peer = it->second;
        if (peer.summaryAt && peer.probedSince && *peer.summaryAt >= *peer.probedSince) {
            peer.probedSince.reset();
            peer.skippedUntil = {};
            peer.tried = true;
        } else if (peer.probedSince && now - *peer.probedSince > probeTime) {
            peer.probedSince.reset();
            peer.skippedUntil = now + probePause;
            peer.tried = true;
        }
        if (now - peer.heardAt().value_or(peer.knownSince) > vmRemovalTimeout) {
            std::erase_if(m_ranked[peer.info.dataCentre], [&](const auto &each) { return each.vm == it->first; });
            it = m_peers.erase(it);
        } else {
            ++it;
        }
    }
}

hub_selection fleet_members::select(const data_centre_name &dataCentre, time_point now) const
{
    hub_selection result;
    const auto ranked = m_ranked.find(dataCentre);
    if (ranked == m_ranked.end()) {
        return result;
    }
    const auto isLive = [&](const fleet_member &member) { return member.vm != m_self.vm && m_peers.at(member.vm).isLiveHub(now); };
    const auto probeLimit = std::any_of(ranked->second.begin(), ranked->second.end(), isLive) ? maxProbes : maxProbesWithoutHub;
    bool untriedBefore = false; // A VM that comes before this one may still take the role.
    for (const auto &member : ranked->second) {
        if (result.hubs.size() + (result.selfIsHub ? 1 : 0) >= hubsPerDataCentre) {
            break;
        }
        if (member.vm == m_self.vm) {
            result.selfIsHub = !m_leaving && !untriedBefore;
            continue;
        }
        const auto &peer = m_peers.at(member.vm);
        if (peer.isLiveHub(now)) {
            result.hubs.push_back(member.vm);
        } else if (!(peer.leaving && peer.isHeard(now)) && peer.skippedUntil <= now) {
            untriedBefore = untriedBefore || !peer.tried;
            if (result.probes.size() < probeLimit) {
                result.probes.push_back(member.vm);
            }
        }
    }
    return result;
}

std::vector<data_centre_name> fleet_members::dataCentres() const
{
    std::vector<data_centre_name> result;
    for (const auto &[name, ranked] : m_ranked) {
        if (!ranked.empty()) {
            result.push_back(name);
        }
    }
    return result;
}

bool fleet_members::leads(time_point now) const
{
    return !m_leaving && std::none_of(m_peers.begin(), m_peers.end(), [&](const auto &vmAndPeer) {
        const auto &peer = vmAndPeer.second;
        return peer.isHeard(now) && !peer.leaving && precedes(peer.info, m_self);
    });
}

std::vector<fleet_member> fleet_members::candidates(time_point now) const
{
    std::vector<fleet_member> result;
    for (const auto &member : m_ranked.at(m_self.dataCentre)) {
        const auto peer = m_peers.find(member.vm);
        const bool usable = peer == m_peers.end() || (peer->second.isHeard(now) && !peer->second.leaving);
        if (usable && result.size() < maxCandidates) {
            result.push_back(member);
        }
    }
    // The VMs that follow a hub hear no VM of another data centre.
    std::vector<fleet_member> farHubs;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.info.dataCentre != m_self.dataCentre && peer.isLiveHub(now)) {
            farHubs.push_back(peer.info);
        }
    }
    // One of them a second, so that the messages do not grow with the number of data centres.
    if (!farHubs.empty()) {
        result.push_back(farHubs[static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count()) % farHubs.size()]);
    }
    return result;
}

} // namespace plantainpoint
