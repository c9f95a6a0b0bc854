// which VMs are live, and the epochs that make it binding
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
// silence after which a VM is suspected
inline constexpr duration suspectTimeout = std::chrono::seconds(3);
// the same when the platform's list no longer names the VM as live
inline constexpr duration unlistedSuspectTimeout = std::chrono::milliseconds(1500);
// silence of an incarnation towards every live peer after which its labels are cancelled
inline constexpr duration orphanTimeout = std::chrono::seconds(6);
// silence after which a VM that the platform's list no longer names counts as having confirmed an epoch
inline constexpr duration unlistedConfirmTimeout = std::chrono::seconds(10);

// what this VM says of itself in its heartbeats
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
    std::uint64_t sequence = 0; // of the newest heartbeat
};

struct membership_events {
    bool liveChanged = false; // liveVms() differs
    std::optional<epoch_record> proposal; // to be appended
};

class membership
{
public:
    membership(epoch_member self, const clock_source &clock);

    membership_events onHeartbeat(const incarnation_id &from, const heartbeat &message);
    membership_events onVmList(const vm_list &message);
    membership_events onEpoch(const current_epoch &epoch);
    membership_events tick(const self_report &report, outbox &out);

    // this VM takes a new incarnation after it was dropped from the epoch
    void setSelf(const incarnation_id &self);

    // members of the current epoch that are heard, self included, sorted by name
    std::vector<epoch_member> liveVms() const;
    // the live VM that owns a key by rendezvous hashing; empty while no VM is live
    std::optional<epoch_member> ownerOf(std::string_view key) const;
    const std::map<vm_name, peer_view> &peers() const { return m_peers; }
    // where to send to a VM; empty when unknown
    std::string addressOf(const vm_name &vm) const;
    // the incarnation is out of the epoch, or unheard for orphanTimeout by every live peer
    bool isDead(const incarnation_id &id) const;
    bool selfDropped() const;
    bool isMember() const;
    // whether an epoch without this VM can be made
    bool hasSuccessor() const { return !wantedMembers(true).empty(); }
    time_point nextTick() const;

    std::uint64_t epochNumber() const { return m_epoch.number; }
    // when a majority of the previous epoch's members was known to be in this epoch or a later one; empty: not yet, or there is no previous epoch
    std::optional<time_point> majorityConfirmedAt() const { return m_majorityAt; }
    // members of the previous epoch that are not in the current one
    std::vector<incarnation_id> droppedMembers() const;
    // no incarnation that the current epoch dropped can admit a request any more
    bool dropsSettled() const;
    // whether the next epoch may be proposed
    bool mayBeFollowed() const;

private:
    bool isLive(const peer_view &peer) const;
    bool isListed(const vm_name &vm) const;
    bool isSuperseded(const incarnation_id &id) const;
    bool hasConfirmed(const incarnation_id &id) const;
    bool isLeaving(const vm_name &vm) const;
    time_point lastHeardOf(const incarnation_id &id) const;
    time_point silenceStart(const incarnation_id &id) const;
    void noteDropped(const std::vector<epoch_member> &before, const std::vector<epoch_member> &after);
    void updateMajority();
    bool updateLive();
    std::vector<epoch_member> wantedMembers(bool selfLeaving) const;
    bool heardEveryListed() const;
    duration proposalDelay(const std::vector<epoch_member> &wanted) const;
    bool hearsMajority() const;
    std::optional<epoch_record> propose(const self_report &report);
    heartbeat makeHeartbeat(const self_report &report) const;
    void sendHeartbeats(const self_report &report, outbox &out);
    void forgetOldPeers();

    epoch_member m_self;
    const clock_source &m_clock;
    current_epoch m_epoch;
    time_point m_startedAt;
    time_point m_epochAppliedAt;
    std::map<vm_name, peer_view> m_peers;
    std::map<vm_name, vm_entry> m_listed;
    bool m_hasList = false;
    bool m_wasMember = false;
    // newest incarnation of each VM that an epoch dropped
    std::map<vm_name, std::uint64_t> m_dropped;
    std::set<incarnation_id> m_confirmed;
    std::optional<time_point> m_majorityAt;
    // newest time at which any peer heard the incarnation
    std::map<incarnation_id, time_point> m_relayedHeard;
    std::vector<incarnation_id> m_live;
    time_point m_nextHeartbeat;
    time_point m_lastTick;
    std::optional<time_point> m_differsSince;
    std::optional<time_point> m_proposedAt;
};

// rendezvous hashing: the member with the highest stableHash(key, member name); empty without members
std::optional<epoch_member> rendezvousOwner(std::string_view key, const std::vector<epoch_member> &members);

// wait after the majority's confirmation: an admission lease's longest life on a slow clock as seen by a fast one, and a margin
duration dropSettleTime();

} // namespace plantainpoint
