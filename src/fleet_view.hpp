// The state of the other VMs of the fleet, as known from their heartbeats.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

// The interval limits the age of what a VM knows of the work and admissions of the others.
inline constexpr auto fleetHeartbeatInterval = std::chrono::milliseconds{150};
// The interval while nothing changes. Three idle heartbeats fit into vmSilenceTimeout.
inline constexpr auto idleFleetHeartbeatInterval = std::chrono::milliseconds{450};
// A VM without a heartbeat for this time no longer counts as heard.
inline constexpr auto vmSilenceTimeout = std::chrono::milliseconds{1500};
// A VM that is silent for this time has ended or restarts elsewhere, so its share of the limits is free.
inline constexpr auto vmExpiryTimeout = std::chrono::seconds{6};
// Heartbeats to a silent VM stop after this time. Until then, a VM that restarts without the directory still learns of the fleet.
inline constexpr auto vmRemovalTimeout = std::chrono::seconds{90};

class fleet_view
{
public:
    fleet_view(incarnation_id self, std::string address);

    void onMembers(const members_read &members, time_point now);

    struct heartbeat_arrival {
        bool fresh = false; // The heartbeat is neither a duplicate nor older than one that was received before.
        bool resumed = false; // The heartbeat is the first one after a silence.
        bool fromNewVm = false; // The sender is new or has restarted.
    };
    heartbeat_arrival onFleetHeartbeat(const fleet_heartbeat &heartbeatMessage, time_point now);

    // Removes the VMs that have been silent for vmRemovalTimeout.
    void tick(time_point now);

    // Returns the number of VMs heard recently that do not leave, including this one.
    std::size_t heard(time_point now) const;
    // Returns the number of VMs that may be running, including this one.
    std::size_t members(time_point now) const;

    // Returns the lowest name of the VMs that are heard and do not leave, including this one.
    vm_name lowest(time_point now) const;

    // Returns the load that the other VMs put on an endpoint.
    endpoint_load loadAt(const endpoint_name &endpoint, time_point now) const;

    // Returns the addresses that heartbeats are sent to.
    std::vector<std::string> addresses() const;

    // Returns the address of any VM whose configuration or directory is newer. The VMs are not ordered by distance.
    std::optional<std::string> addressOfNewerPeer(std::uint64_t configVersion, std::uint64_t directoryPosition, time_point now) const;

private:
    struct peer {
        std::string address;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::optional<time_point> heardAt;
        time_point knownSince{};
        bool leaving = false;
        std::uint64_t configVersion = 0;
        std::uint64_t directoryPosition = 0;
        std::map<endpoint_name, endpoint_load> loads;
    };

    static bool isHeard(const peer &entry, time_point now);

    incarnation_id m_self;
    std::string m_address;
    std::map<vm_name, peer> m_peers;
};

} // namespace plantainpoint
