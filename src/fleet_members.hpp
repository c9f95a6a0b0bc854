// The VMs of the fleet and the hubs among them. A hub collects the heartbeats of its data centre and sends totals. Every VM derives the hubs
// from the order of precedence and from the VMs that it hears, so that no VM has to be told of a role.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

inline constexpr std::size_t hubsPerDataCentre = 2; // One takes over at once when the other is lost.
// A hub without a summary for this time is replaced. Hubs send a summary every 150 ms.
inline constexpr auto hubSilenceTimeout = std::chrono::milliseconds{600};
// A VM without a message for this time no longer counts as heard.
inline constexpr auto vmSilenceTimeout = std::chrono::milliseconds{1500};
// A VM that is silent for this time counts as ended, so that its share of the limits is free. A VM that is cut off may run on for as long.
inline constexpr auto vmExpiryTimeout = std::chrono::seconds{30};
// A silent VM is forgotten after this time.
inline constexpr auto vmRemovalTimeout = std::chrono::seconds{90};

// Returns whether the first VM takes a role before the second one. VMs with more capacity come first, others are ordered by a hash.
bool precedes(const fleet_member &first, const fleet_member &second);

struct fleet_peer {
    fleet_member info;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeatSequence = 0;
    std::uint64_t summarySequence = 0;
    time_point knownSince{};
    std::optional<time_point> heartbeatAt;
    std::optional<time_point> summaryAt;
    std::optional<time_point> probedSince; // Time of the first message since the VM was last heard as a hub.
    time_point skippedUntil{}; // The VM did not answer as a hub.
    bool tried = false; // The VM has answered, or failed to answer, as a hub.
    bool leaving = false;
    bool settled = false; // As a hub.

    std::optional<time_point> heardAt() const { return std::max(heartbeatAt, summaryAt); }
    bool isHeard(time_point now) const { return heardAt() && now - *heardAt() < vmSilenceTimeout; }
    // Returns whether the VM may be running. One that announced that it leaves has ended when it falls silent.
    bool mayRun(time_point now) const { return !leaving && now - heardAt().value_or(knownSince) < vmExpiryTimeout; }
    bool isLiveHub(time_point now) const { return !leaving && summaryAt && now - *summaryAt < hubSilenceTimeout; }
};

// Hubs of one data centre, as seen by this VM.
struct hub_selection {
    std::vector<vm_name> hubs; // Other VMs that act as hubs.
    std::vector<vm_name> probes; // VMs that come before one of the hubs and may be alive.
    bool selfIsHub = false;
};

class fleet_members
{
public:
    explicit fleet_members(fleet_member self);

    struct arrival {
        fleet_peer *peer = nullptr; // Null for a message that is a duplicate, late, or this VM's own.
        bool added = false;
        bool restarted = false;
        bool wasHeard = false;
    };
    arrival onMessage(const fleet_member &sender, std::uint64_t incarnation, time_point now);
    // Adds VMs that another source lists.
    void add(const fleet_member &member, time_point now);
    // Marks a VM as asked to act as a hub.
    void onProbe(const vm_name &vm, time_point now);
    void setLeaving(bool leaving) { m_leaving = leaving; }

    void tick(time_point now);

    hub_selection select(const data_centre_name &dataCentre, time_point now) const;
    std::vector<data_centre_name> dataCentres() const;
    // Returns whether this VM comes before all VMs that are heard and do not leave.
    bool leads(time_point now) const;
    // Returns the first VMs of this data centre that are heard, and a hub of another one, for VMs that do not know them.
    std::vector<fleet_member> candidates(time_point now) const;

    const std::map<vm_name, fleet_peer> &peers() const { return m_peers; }
    fleet_peer *find(const vm_name &vm);
    const fleet_peer *find(const vm_name &vm) const;
    const fleet_member &self() const { return m_self; }

private:
    void update(fleet_peer &peer, const fleet_member &info);

    fleet_member m_self;
    bool m_leaving = false;
    std::map<vm_name, fleet_peer> m_peers;
    // Names in order of precedence, including this VM.
    std::map<data_centre_name, std::vector<fleet_member>> m_ranked;
};

} // namespace plantainpoint
