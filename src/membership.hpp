// Tracks which VMs are live and proposes the epochs that make the set of members binding.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "log_state.hpp"
#include "plantainpoint/clock.hpp"
#include "plantainpoint/commands.hpp"

namespace plantainpoint {

inline constexpr duration heartbeatInterval = std::chrono::milliseconds(500);
// Inactivity after which a VM is suspected.
inline constexpr duration suspectTimeout = std::chrono::seconds(3);
// Inactivity after which a VM is suspected if the platform's list no longer names it as live.
inline constexpr duration unlistedSuspectTimeout = std::chrono::milliseconds(1500);
// Labels of an incarnation are cancelled after no live peer has heard it for this long.
inline constexpr duration orphanTimeout = std::chrono::seconds(6);
// Inactivity after which a VM that the platform's list no longer names counts as having confirmed an epoch.
inline constexpr duration unlistedConfirmTimeout = std::chrono::seconds(10);

// State of this VM that its heartbeats report.
struct self_report {
    log_offset applied = 0;
    std::optional<duration> proofAge;
    log_offset proofOffset = 0;
    bool logReadable = false;
    bool leaving = false;
};

struct peer_view {
    incarnation_id id;
    data_centre_name dataCentre;
    region_name region;
    std::string peerAddress;
    time_point lastHeard{};
    std::uint64_t epoch = 0;
    log_offset applied = 0;
    bool leaving = false;
    std::uint64_t sequence = 0; // Sequence number of the newest heartbeat.
};

struct membership_events {
    bool liveChanged = false; // The result of liveVms() has changed.
    std::optional<epoch_record> proposal; // Epoch record that the caller appends to the log.
};

class membership
{
public:
    membership(epoch_member self, const clock_source &clock);

    membership_events onHeartbeat(const incarnation_id &from, const heartbeat &message);
    membership_events onVmList(const vm_list &message);
    membership_events onEpoch(const current_epoch &epoch);
    membership_events tick(const self_report &report, outbox &out);

    // Sets the new incarnation of this VM after an epoch dropped the old one.
    void setSelf(const incarnation_id &self);

    // Returns the members of the current epoch that are heard, this VM included, sorted by name.
    std::vector<epoch_member> liveVms() const;
    // Returns the live VM that owns a key by rendezvous hashing, or nothing while no VM is live.
    std::optional<epoch_member> ownerOf(std::string_view key) const;
    const std::map<vm_name, peer_view> &peers() const { return m_peers; }
    // Returns the peer address of a VM, or an empty string if it is unknown.
    std::string addressOf(const vm_name &vm) const;
    // Returns whether an epoch dropped the incarnation, a newer one replaced it, or no live peer has heard it for orphanTimeout.
    bool isDead(const incarnation_id &id) const;
    bool selfDropped() const;
    bool isMember() const;
    // Returns whether the next epoch would have members without this VM.
    bool hasSuccessor() const { return !desiredMembers(true).empty(); }
    time_point nextTick() const;

    std::uint64_t epochNumber() const { return m_epoch.number; }
    // Returns when a majority of the previous epoch's members was first known to be in this epoch or a later one. Returns nothing while that is not known
    // or if there is no previous epoch.
    std::optional<time_point> majorityConfirmedAt() const { return m_majorityConfirmedAt; }
    // Returns the members of the previous epoch that are not in the current one.
    std::vector<incarnation_id> droppedMembers() const;
    // Returns whether no incarnation that the current epoch dropped can admit a request any more.
    bool dropsSettled() const;
    // Returns whether the next epoch may be proposed.
    bool mayProposeNextEpoch() const;

private:
    bool isLive(const peer_view &peer) const;
    bool isListed(const vm_name &vm) const;
    bool isSuperseded(const incarnation_id &id) const;
    bool hasConfirmed(const incarnation_id &id) const;
    bool isLeaving(const vm_name &vm) const;
    time_point lastHeardOf(const incarnation_id &id) const;
    time_point silenceStart(const incarnation_id &id) const;
    void recordDropped(const std::vector<epoch_member> &before, const std::vector<epoch_member> &after);
    void updateMajority();
    bool updateLive();
    std::vector<epoch_member> desiredMembers(bool selfLeaving) const;
    bool heardAllListedVms() const;
    duration proposalDelay(const std::vector<epoch_member> &desired) const;
    bool hearsMajority() const;
    std::optional<epoch_record> propose(const self_report &report);
    heartbeat makeHeartbeat(const self_report &report) const;
    void sendHeartbeats(const self_report &report, outbox &out);
    void removeExpiredPeers();

    epoch_member m_self;
    const clock_source &m_clock;
    current_epoch m_epoch;
    time_point m_startedAt;
    time_point m_epochAppliedAt;
    std::map<vm_name, peer_view> m_peers;
    std::map<vm_name, vm_entry> m_listed;
    bool m_hasList = false;
    bool m_wasMember = false;
    // Newest incarnation of each VM that an epoch dropped.
    std::map<vm_name, std::uint64_t> m_dropped;
    std::set<incarnation_id> m_confirmed;
    std::optional<time_point> m_majorityConfirmedAt;
    // Newest time at which a peer heard the incarnation, as the peer reported it.
    std::map<incarnation_id, time_point> m_relayedHeard;
    std::vector<incarnation_id> m_live;
    time_point m_nextHeartbeat;
    time_point m_lastTick;
    std::optional<time_point> m_membersDifferSince;
    std::optional<time_point> m_proposedAt;
};

// Returns the member with the highest stableHash of the key seeded with the member's name (rendezvous hashing), or nothing without members.
std::optional<epoch_member> rendezvousOwner(std::string_view key, const std::vector<epoch_member> &members);

// Returns the wait after a majority has confirmed an epoch until its drops are settled. It covers the longest validity of an admission lease on a slow clock,
// as a fast clock measures it, and a margin.
duration dropSettleTime();

} // namespace plantainpoint
