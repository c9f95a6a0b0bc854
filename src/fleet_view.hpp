// The state of the other VMs of the fleet. A VM sends heartbeats to the hubs of its data centre and uses the totals of one of them. A hub
// sums up the heartbeats of its data centre and the summaries of the hubs of the others.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "fleet_limiter.hpp"
#include "fleet_members.hpp"
#include "fleet_totals.hpp"
#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"
#include "work_time_reports.hpp"

namespace plantainpoint {

// The interval limits the age of what a VM knows of the work and admissions of the others.
inline constexpr auto fleetMessageInterval = std::chrono::milliseconds{150};
// Interval of the totals that a hub which places sends to those of other data centres.
inline constexpr auto placingHubInterval = std::chrono::milliseconds{50};
// Interval of heartbeats while nothing changes. Three of them fit into vmSilenceTimeout.
inline constexpr auto idleHeartbeatInterval = std::chrono::milliseconds{450};

// What this VM tells the others of itself.
struct own_report {
    directory_knowledge knowledge;
    std::uint64_t changesFrom = 0;
    std::shared_ptr<const std::string> changes;
    std::vector<endpoint_load> loads;
    std::vector<waiting_count> waiting;
    std::vector<endpoint_name> changingRole;
    std::vector<account_usage> usage;
    std::vector<endpoint_outcomes> outcomes;
    crash_report evidence;
    std::vector<limit_report> limits;
    std::vector<leaving_endpoint> leavingEndpoints;
    std::vector<evacuation> evacuations;
    std::vector<cold_endpoint> coldEndpoints;
    std::optional<default_versions> defaults;
};

// Work placed for another VM.
struct place_key {
    vm_name vm;
    std::uint64_t number = 0;
    std::uint64_t heartbeat = 0; // The VM's last heartbeat that cannot contain the work.
};

class fleet_view
{
public:
    fleet_view(fleet_member self, std::uint64_t incarnation);

    void onMembers(const members_read &members, time_point now);
    void setLeaving()
    {
        m_leaving = true;
        m_nextHeartbeat = {};
    }

    struct message_arrival {
        bool fresh = false; // The message is neither a duplicate nor older than one that was received before.
        bool fromNewVm = false; // The sender is new or has restarted.
        std::vector<account_usage> admitted; // Units that other VMs have admitted, to be debited.
        // Admissions of this VM that the levels of the message include. It is set if the sender is the followed hub and hears this VM.
        std::optional<std::vector<account_usage>> ownIncluded;
    };
    message_arrival on(const fleet_heartbeat &heartbeatMessage, time_point now);
    message_arrival on(const fleet_summary &summary, time_point now);

    // Sends the messages that are due.
    void exchange(const own_report &report, time_point now, std::vector<relay_command> &out);
    // Tells the followed hub of changed work at once.
    void reportChange(const own_report &report, time_point now, std::vector<relay_command> &out);

    // Counts work that this VM as a hub has placed for another VM, until a later heartbeat of that VM contains it.
    void onGrant(const place_key &key, const std::vector<endpoint_load> &loads);
    // Counts units that this VM as a hub has debited for another VM, until a later heartbeat of that VM contains them.
    void onReservation(const place_key &key, const account_name &account, double units);
    // Returns the hub that places the requests of this data centre, or null if this VM places its own.
    const fleet_peer *placingHub(time_point now) const;
    // Returns the hubs that this VM may ask for a place: the one that places, and the one that takes over when it does not answer.
    std::vector<const fleet_peer *> placingHubs(time_point now) const;
    std::uint64_t lastHeartbeat() const { return m_heartbeatSequence; }

    // Returns the number of VMs whose admissions reach this VM, including this one.
    std::size_t heard(time_point now) const;
    // Returns the number of VMs that may be running, including this one.
    std::size_t members(time_point now) const;
    // Returns the part of the limits that this VM grants.
    limit_share limitShare(time_point now) const;
    // Returns the part of the endpoints' limits that this VM uses: that of the VMs whose requests it places. It is 0 at a VM that asks a hub for places.
    limit_share placingShare(time_point now) const;
    // Returns whether this VM comes before all VMs that it hears. It reads the directory and orders role changes for the fleet.
    bool leads(time_point now) const { return m_members.leads(now); }
    const fleet_member &self() const { return m_members.self(); }
    // Returns the other VMs that are known and have not said that they leave.
    std::vector<fleet_member> otherMembers() const;
    // Returns the other VMs that may be running and keep records, those that are heard first, and otherwise in an order that differs from VM to VM.
    std::vector<fleet_member> runningMembers(time_point now) const;
    // Returns the other hubs that this VM hears and that keep records, those of its own data centre first. Only hubs hear those of other data centres.
    std::vector<fleet_member> liveHubs(time_point now) const;
    // Returns whether other VMs run a build that does not know the asks for records of streams, or have lately.
    bool hasOlderBuilds() const;
    bool isHub() const { return m_isHub; }
    // Returns the time for which this VM has been a hub and has heard all others, so that it has got all that they send to hubs.
    duration reachedFor(time_point now) const { return m_isHub ? now - m_reachedSince : duration{}; }
    // Returns the data centres in which several VMs may be running.
    std::vector<data_centre_name> sharedDataCentres(time_point now) const;
    // Returns whether a hub of this data centre, this VM included, is known.
    bool hasHub(time_point now) const;
    // Returns the hub whose totals are used, or an empty name.
    const vm_name &followed() const { return m_follows; }

    // Return the load that the other VMs put on an endpoint, and the requests that wait for a service and are not queued here.
    endpoint_load loadAt(const endpoint_name &endpoint) const;
    std::int32_t waitingElsewhere(const service_name &service) const;
    // Returns the requests that this VM as a hub has placed at an endpoint for other VMs.
    std::int32_t placedAt(const endpoint_name &endpoint) const { return m_isHub ? std::max(m_direct.loadAt(endpoint).running, 0) : 0; }
    // Returns the age of the oldest totals that count in loadAt() beside the work that is placed here.
    duration totalsAge(time_point now) const;
    // Returns the work time of an endpoint that another VM has heard last, or nothing if that is too long ago.
    std::optional<work_time_reading> workTimeAt(const endpoint_name &endpoint, time_point now) const;

private:
    // Totals of another data centre, or of the whole fleet at a VM that follows a hub.
    struct remote_source {
        vm_name hub;
        bool settled = false;
        bool hearsThisVm = false; // The hub acknowledges the totals of this VM.
        time_point receivedAt{};
        std::int32_t heardVms = 0;
        std::int32_t memberVms = 0;
        std::vector<endpoint_name> changingRole;
    };
    // Admissions that a hub reports.
    struct usage_source {
        data_centre_name dataCentre;
        usage_tracker tracker;
        std::vector<account_usage> unapplied; // Since the last report of the hub whose totals are used.
        bool reported = false;
    };
    struct sent_heartbeat {
        std::uint64_t sequence = 0;
        time_point sentAt{};
        std::shared_ptr<const fleet_heartbeat> content;
    };
    struct sent_totals {
        std::uint64_t sequence = 0;
        time_point sentAt{};
    };
    // Units debited for another VM.
    struct reservation {
        std::uint64_t heartbeat = 0; // The VM's last heartbeat that cannot contain the units.
        account_usage usage;
    };
    struct direct_source {
        std::deque<place_key> grants;
        std::deque<reservation> reservations;
        usage_tracker usage;
        std::vector<endpoint_name> changingRole;
        vm_name follows;
    };

    // Returns whether heartbeats that arrive here are counted. The totals of a followed hub contain them already.
    bool countsDirect() const { return m_isHub || m_follows.empty(); }
    bool replaceSource(const fleet_summary &summary, time_point now);
    void applyTotals(const fleet_summary &summary, const sent_heartbeat *own, time_point now);
    std::vector<account_usage> applyUsage(const fleet_summary &summary, bool isSource, time_point now);
    const sent_heartbeat *findSent(const fleet_summary &summary) const;
    template<class Sent>
    static bool isUnheard(const std::deque<Sent> &sent, std::uint64_t acknowledged, time_point now);
    std::size_t countKnown(const data_centre_name &dataCentre, time_point now) const;
    void setRole(const hub_selection &selection, time_point now);
    void expireSources(time_point now);
    void removeGrants(const vm_name &vm, direct_source &source, std::uint64_t heartbeat);
    std::shared_ptr<const fleet_heartbeat> makeHeartbeat(const own_report &report, time_point now);
    void sendHeartbeats(const own_report &report, const hub_selection &selection, time_point now, std::vector<relay_command> &out);
    void sendSummaries(const own_report &report, time_point now, std::vector<relay_command> &out);
    void sendTotals(const own_report &report, time_point now, std::vector<relay_command> &out);
    void send(const std::shared_ptr<const fleet_summary> &summary, const fleet_peer &receiver, std::vector<relay_command> &out) const;
    std::shared_ptr<fleet_summary> makeSummary(const own_report &report, summary_scope scope, bool withLoads, time_point now) const;
    std::size_t countDirect(time_point now) const;

    std::uint64_t m_incarnation;
    fleet_members m_members;
    fleet_totals m_direct; // From heartbeats of this data centre.
    fleet_totals m_remote; // From summaries.
    work_time_reports m_directWorkTimes; // From heartbeats of this data centre.
    work_time_reports m_remoteWorkTimes; // From summaries.
    std::map<vm_name, direct_source> m_directSources;
    std::map<data_centre_name, remote_source> m_remoteSources;
    std::map<vm_name, usage_source> m_usageSources; // By hub.
    std::map<vm_name, time_point> m_peerHubs; // Hubs of other data centres that sent totals, with the time of the last ones.
    std::deque<sent_heartbeat> m_sentHeartbeats;
    std::deque<sent_totals> m_sentTotals;
    time_point m_lastHeartbeatAt{};
    std::vector<vm_name> m_lastReceivers;
    std::uint64_t m_heartbeatSequence = 0;
    std::uint64_t m_summarySequence = 0;
    std::vector<account_usage> m_dataCentreUsage; // Admissions reported by heartbeats since the start.
    vm_name m_follows;
    std::vector<vm_name> m_hubs; // Other hubs of this data centre.
    vm_name m_placingHub;
    time_point m_nextHeartbeat{};
    time_point m_nextTotals{};
    int m_totalsSent = 0;
    int m_summariesSent = 0;
    bool m_isHub = false;
    bool m_leaving = false;
    bool m_knowsFleet = false; // Another VM was heard, or the directory has listed the VMs.
    bool m_heardByHub = false; // The followed hub acknowledges the heartbeats of this VM.
    std::optional<time_point> m_hubSince;
    time_point m_reachedSince{}; // As a hub.
    std::optional<time_point> m_exchangedAt;
    time_point m_nextNotice{};
};

} // namespace plantainpoint
