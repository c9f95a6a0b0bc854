// the other VMs as this one hears them
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

inline constexpr auto fleetHeartbeatInterval = std::chrono::milliseconds{150}; // age of what a VM knows of the others' work and admissions
inline constexpr auto idleFleetHeartbeatInterval = std::chrono::milliseconds{450}; // when nothing has changed; three fit into vmSilenceTimeout
inline constexpr auto vmSilenceTimeout = std::chrono::milliseconds{1500}; // a VM that is not heard for so long does not count as heard
inline constexpr auto vmExpiryTimeout = std::chrono::seconds{6}; // a silent VM has ended or restarts elsewhere; its part of the limits is free
inline constexpr auto vmRemovalTimeout =
    std::chrono::seconds{90}; // heartbeats to a silent VM stop; one that restarts without the directory still hears of the fleet

class fleet_view
{
public:
    fleet_view(incarnation_id self, std::string address);

    void onMembers(const members_read &members, time_point now);

    struct arrival {
        bool fresh = false; // not a repeat and not overtaken by a later heartbeat
        bool resumed = false; // the first one after a silence
        bool fromNewVm = false;
    };
    arrival onFleetHeartbeat(const fleet_heartbeat &heartbeatMessage, time_point now);

    // drops VMs that have been silent for too long
    void tick(time_point now);

    // VMs heard lately, this one included, and VMs that may be at work
    std::size_t heard(time_point now) const;
    std::size_t members(time_point now) const;

    // the lowest name among the VMs that are heard and do not leave, this one included
    vm_name lowest(time_point now) const;

    // work of the other VMs at an endpoint
    endpoint_load loadAt(const endpoint_name &endpoint, time_point now) const;

    // addresses that heartbeats go to
    std::vector<std::string> addresses() const;

    // a VM whose configuration or directory is newer; nearest first is not needed, any will do
    std::optional<std::string> aheadOf(std::uint64_t configVersion, std::uint64_t directoryPosition, time_point now) const;

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
