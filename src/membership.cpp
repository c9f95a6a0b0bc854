#include "membership.hpp"

#include <algorithm>

#include "freshness.hpp"

namespace plantainpoint {

namespace {

// Each VM waits this much longer than the one before it in the order of proposers, so that one proposal usually suffices.
constexpr duration proposalRankDelay = std::chrono::seconds(1);
// Without this wait, two sides of a partition that both reach the log would drop each other in turn.
constexpr duration minorityProposalDelay = std::chrono::seconds(10);
// A VM that has just started listens for this long before it proposes an epoch.
constexpr duration startupListening = std::chrono::seconds(3);
// Interval at which a proposal that has not taken effect is repeated.
constexpr duration proposalRetry = std::chrono::seconds(2);
constexpr duration peerRetention = std::chrono::seconds(60);
constexpr duration dropSettleMargin = std::chrono::milliseconds(200);
// A longer gap between two ticks means that this VM was paused.
constexpr duration pauseThreshold = 2 * heartbeatInterval;

bool sameMembers(const std::vector<epoch_member> &a, const std::vector<epoch_member> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto &x, const auto &y) { return x.id == y.id; });
}

const epoch_member *findVm(const std::vector<epoch_member> &members, const vm_name &vm)
{
    const auto it = std::find_if(members.begin(), members.end(), [&](const auto &member) { return member.id.vm == vm; });
    return it == members.end() ? nullptr : &*it;
}

bool containsId(const std::vector<epoch_member> &members, const incarnation_id &id)
{
    const auto *member = findVm(members, id.vm);
    return member != nullptr && member->id == id;
}

} // namespace

duration dropSettleTime()
{
    const double seconds = std::chrono::duration<double>(admissionLeaseTime).count() * (1 + 2 * clockRateError);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds)) + dropSettleMargin;
}

std::optional<epoch_member> rendezvousOwner(std::string_view key, const std::vector<epoch_member> &members)
{
    const epoch_member *best = nullptr;
    std::uint64_t bestHash = 0;
    for (const auto &member : members) {
        const std::uint64_t hash = stableHash(key, stableHash(member.id.vm.value));
        if (best == nullptr || hash > bestHash || (hash == bestHash && member.id.vm < best->id.vm)) {
            best = &member;
            bestHash = hash;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{*best};
}

membership::membership(epoch_member self, const clock_source &clock)
    : m_self(std::move(self))
    , m_clock(clock)
    , m_startedAt(clock.now())
    , m_epochAppliedAt(clock.now())
    , m_nextHeartbeat(clock.now())
    , m_lastTick(clock.now())
{
}

void membership::setSelf(const incarnation_id &self)
{
    m_self.id = self;
    m_wasMember = false;
    m_startedAt = m_clock.now();
    m_nextHeartbeat = m_clock.now();
}

bool membership::isListed(const vm_name &vm) const
{
    return !m_hasList || m_listed.contains(vm);
}

bool membership::isLeaving(const vm_name &vm) const
{
    const auto listed = m_listed.find(vm);
    if (listed != m_listed.end() && listed->second.condition == vm_condition::Leaving) {
        return true;
    }
    const auto peer = m_peers.find(vm);
    return peer != m_peers.end() && peer->second.leaving;
}

bool membership::isSuperseded(const incarnation_id &id) const
{
    const auto peer = m_peers.find(id.vm);
    if (peer != m_peers.end() && peer->second.id.number > id.number) {
        return true;
    }
    if (id.vm == m_self.id.vm && m_self.id.number > id.number) {
        return true;
    }
    const auto *member = findVm(m_epoch.members, id.vm);
    return member != nullptr && member->id.number > id.number;
}

// Counts direct heartbeats only. The time at which this VM started to listen counts as a heartbeat, so that no VM is suspected before it had time to be heard.
time_point membership::silenceStart(const incarnation_id &id) const
{
    const auto listeningSince = std::max(m_startedAt, containsId(m_epoch.previous, id) ? m_startedAt : m_epochAppliedAt);
    const auto peer = m_peers.find(id.vm);
    if (peer != m_peers.end() && peer->second.id == id) {
        return std::max(peer->second.lastHeard, m_startedAt);
    }
    return listeningSince;
}

bool membership::isLive(const peer_view &peer) const
{
    const auto silence = m_clock.now() - std::max(peer.lastHeard, m_startedAt);
    return silence < (isListed(peer.id.vm) ? suspectTimeout : unlistedSuspectTimeout);
}

membership_events membership::onHeartbeat(const incarnation_id &from, const heartbeat &message)
{
    if (from.vm == m_self.id.vm || (!message.region.empty() && message.region != m_self.region)) {
        return {};
    }
    auto &peer = m_peers[from.vm];
    if (from.number < peer.id.number || (from == peer.id && message.sequence <= peer.sequence)) {
        return {};
    }
    peer = peer_view{from,
                     message.dataCentre,
                     message.region,
                     message.peerAddress,
                     m_clock.now(),
                     std::max(message.epoch, from == peer.id ? peer.epoch : 0),
                     message.applied,
                     message.leaving,
                     message.sequence};
    for (const auto &digest : message.heard) {
        auto &heard = m_relayedHeard[digest.id];
        heard = std::max(heard, m_clock.now() - digest.age);
    }
    if (message.epoch >= m_epoch.number) {
        m_confirmed.insert(from);
    }
    updateMajority();
    return membership_events{updateLive(), std::nullopt};
}

membership_events membership::onVmList(const vm_list &message)
{
    m_listed.clear();
    for (const auto &vm : message.vms) {
        m_listed.emplace(vm.vm, vm);
    }
    m_hasList = true;
    updateMajority();
    return membership_events{updateLive(), std::nullopt};
}

membership_events membership::onEpoch(const current_epoch &epoch)
{
    if (epoch.number <= m_epoch.number) {
        return {};
    }
    recordDropped(m_epoch.members, epoch.members);
    recordDropped(epoch.previous, epoch.members);
    m_epoch = epoch;
    m_epochAppliedAt = m_clock.now();
    // Sends a heartbeat at once, as the other VMs wait for the confirmation that this VM has applied the epoch.
    m_nextHeartbeat = m_clock.now();
    m_wasMember = m_wasMember || isMember() || containsId(epoch.previous, m_self.id);
    m_confirmed.clear();
    for (const auto &[vm, peer] : m_peers) {
        if (peer.epoch >= epoch.number) {
            m_confirmed.insert(peer.id);
        }
    }
    m_majorityConfirmedAt.reset();
    m_membersDifferSince.reset();
    m_proposedAt.reset();
    updateMajority();
    return membership_events{updateLive(), std::nullopt};
}

void membership::recordDropped(const std::vector<epoch_member> &before, const std::vector<epoch_member> &after)
{
    for (const auto &member : before) {
        if (!containsId(after, member.id)) {
            auto &dropped = m_dropped[member.id.vm];
            dropped = std::max(dropped, member.id.number);
        }
    }
}

std::vector<incarnation_id> membership::droppedMembers() const
{
    std::vector<incarnation_id> dropped;
    for (const auto &member : m_epoch.previous) {
        if (!containsId(m_epoch.members, member.id)) {
            dropped.push_back(member.id);
        }
    }
    return dropped;
}

// A later incarnation proves that the earlier one has ended. A VM that the platform no longer lists counts as removed after a long silence.
bool membership::hasConfirmed(const incarnation_id &id) const
{
    if (id == m_self.id || m_confirmed.contains(id) || isSuperseded(id)) {
        return true;
    }
    return m_hasList && !m_listed.contains(id.vm) && m_clock.now() - silenceStart(id) >= unlistedConfirmTimeout;
}

void membership::updateMajority()
{
    if (m_majorityConfirmedAt || m_epoch.previous.empty()) {
        return;
    }
    const auto confirmed = std::count_if(m_epoch.previous.begin(), m_epoch.previous.end(), [this](const auto &member) { return hasConfirmed(member.id); });
    if (static_cast<std::size_t>(confirmed) * 2 > m_epoch.previous.size()) {
        m_majorityConfirmedAt = m_clock.now();
    }
}

bool membership::dropsSettled() const
{
    const auto dropped = droppedMembers();
    // A dropped incarnation that has applied the epoch holds no bucket share any more, and one that a later incarnation follows has ended.
    const bool applied = std::all_of(dropped.begin(), dropped.end(), [this](const auto &id) { return m_confirmed.contains(id) || isSuperseded(id); });
    if (applied) {
        return true;
    }
    return m_majorityConfirmedAt && m_clock.now() - *m_majorityConfirmedAt > dropSettleTime();
}

// Allows the drops of only one epoch at a time, as the next owner has to know every incarnation whose admission lease may still be valid. The majority is
// needed without drops too: a VM that missed this epoch and is dropped by a later one may rely on the previous epoch's members in a log outage.
bool membership::mayProposeNextEpoch() const
{
    return (m_epoch.previous.empty() || m_majorityConfirmedAt) && dropsSettled();
}

std::vector<epoch_member> membership::liveVms() const
{
    std::vector<epoch_member> live;
    for (const auto &member : m_epoch.members) {
        const auto silence = m_clock.now() - silenceStart(member.id);
        const bool heard = silence < (isListed(member.id.vm) ? suspectTimeout : unlistedSuspectTimeout);
        if (member.id == m_self.id || (heard && !isSuperseded(member.id))) {
            live.push_back(member);
        }
    }
    return live;
}

bool membership::updateLive()
{
    std::vector<incarnation_id> live;
    for (const auto &member : liveVms()) {
        live.push_back(member.id);
    }
    if (live == m_live) {
        return false;
    }
    m_live = std::move(live);
    return true;
}

std::optional<epoch_member> membership::ownerOf(std::string_view key) const
{
    return rendezvousOwner(key, liveVms());
}

std::string membership::addressOf(const vm_name &vm) const
{
    if (const auto peer = m_peers.find(vm); peer != m_peers.end()) {
        return peer->second.peerAddress;
    }
    if (const auto *member = findVm(m_epoch.members, vm)) {
        return member->peerAddress;
    }
    const auto listed = m_listed.find(vm);
    return listed == m_listed.end() ? std::string{} : listed->second.peerAddress;
}

time_point membership::lastHeardOf(const incarnation_id &id) const
{
    auto heard = silenceStart(id);
    if (const auto relayed = m_relayedHeard.find(id); relayed != m_relayedHeard.end()) {
        heard = std::max(heard, relayed->second);
    }
    return heard;
}

bool membership::isDead(const incarnation_id &id) const
{
    if (id == m_self.id) {
        return false;
    }
    const auto dropped = m_dropped.find(id.vm);
    if (isSuperseded(id) || (dropped != m_dropped.end() && id.number <= dropped->second)) {
        return true;
    }
    return m_clock.now() - lastHeardOf(id) >= orphanTimeout;
}

bool membership::isMember() const
{
    return containsId(m_epoch.members, m_self.id);
}

bool membership::selfDropped() const
{
    return m_wasMember && !isMember();
}

// Returns the members for the next epoch: current members and joining VMs that are heard and are not leaving.
std::vector<epoch_member> membership::desiredMembers(bool selfLeaving) const
{
    std::vector<epoch_member> desired;
    for (const auto &member : liveVms()) {
        if (member.id != m_self.id && !isLeaving(member.id.vm)) {
            desired.push_back(member);
        }
    }
    for (const auto &[vm, peer] : m_peers) {
        const auto dropped = m_dropped.find(vm);
        const bool excluded = dropped != m_dropped.end() && peer.id.number <= dropped->second;
        if (!excluded && !containsId(desired, peer.id) && isLive(peer) && !isLeaving(vm)) {
            desired.push_back(epoch_member{peer.id, peer.dataCentre, peer.region, peer.peerAddress});
        }
    }
    if (!selfLeaving && !selfDropped()) {
        desired.push_back(m_self);
    }
    std::sort(desired.begin(), desired.end(), [](const auto &a, const auto &b) { return a.id < b.id; });
    return desired;
}

bool membership::heardAllListedVms() const
{
    return m_hasList
           && std::all_of(m_listed.begin(), m_listed.end(), [this](const auto &entry) { return entry.first == m_self.id.vm || m_peers.contains(entry.first); });
}

// Members that are certainly gone, because the platform no longer lists them or a later incarnation follows, do not count.
bool membership::hearsMajority() const
{
    const auto live = liveVms();
    std::size_t heardCount = 0;
    std::size_t total = 0;
    for (const auto &member : m_epoch.members) {
        const bool heard = containsId(live, member.id);
        heardCount += heard ? 1 : 0;
        total += heard || (isListed(member.id.vm) && !isSuperseded(member.id)) ? 1 : 0;
    }
    return heardCount * 2 > total || total == 0;
}

// Members propose before joining VMs, and both in the order of their names.
duration membership::proposalDelay(const std::vector<epoch_member> &desired) const
{
    const bool selfIsMember = isMember();
    const auto earlierProposers = std::count_if(desired.begin(), desired.end(), [&](const auto &candidate) {
        const bool otherIsMember = containsId(m_epoch.members, candidate.id);
        return otherIsMember != selfIsMember ? otherIsMember : candidate.id.vm < m_self.id.vm;
    });
    const auto baseDelay = hearsMajority() ? duration{} : minorityProposalDelay;
    return baseDelay + earlierProposers * proposalRankDelay;
}

std::optional<epoch_record> membership::propose(const self_report &report)
{
    const auto now = m_clock.now();
    const bool listening = !isMember() && now - m_startedAt < startupListening && !heardAllListedVms();
    auto desired = desiredMembers(report.leaving);
    if (listening || desired.empty() || sameMembers(desired, m_epoch.members)) {
        m_membersDifferSince.reset();
        return std::nullopt;
    }
    if (!m_membersDifferSince) {
        m_membersDifferSince = now;
    }
    const bool blocked = !mayProposeNextEpoch() || !report.logReadable;
    const bool repeated = m_proposedAt && now - *m_proposedAt < proposalRetry;
    if (blocked || repeated || now - *m_membersDifferSince < proposalDelay(desired)) {
        return std::nullopt;
    }
    m_proposedAt = now;
    return epoch_record{m_epoch.number, std::move(desired)};
}

heartbeat membership::makeHeartbeat(const self_report &report) const
{
    const auto now = m_clock.now();
    heartbeat message;
    message.sequence = static_cast<std::uint64_t>(now.time_since_epoch().count());
    message.dataCentre = m_self.dataCentre;
    message.region = m_self.region;
    message.peerAddress = m_self.peerAddress;
    message.applied = report.applied;
    message.epoch = m_epoch.number;
    message.proofAge = report.proofAge;
    message.proofOffset = report.proofOffset;
    message.logReadable = report.logReadable;
    message.leaving = report.leaving;
    for (const auto &[vm, peer] : m_peers) {
        message.heard.push_back(peer_digest{peer.id, peer.dataCentre, peer.sequence, now - peer.lastHeard, peer.epoch, peer.leaving});
    }
    return message;
}

void membership::sendHeartbeats(const self_report &report, outbox &out)
{
    std::set<vm_name> targets;
    for (const auto &[vm, entry] : m_listed) {
        targets.insert(vm);
    }
    for (const auto &member : m_epoch.members) {
        targets.insert(member.id.vm);
    }
    for (const auto &[vm, peer] : m_peers) {
        targets.insert(vm);
    }
    targets.erase(m_self.id.vm);
    const auto message = makeHeartbeat(report);
    for (const auto &vm : targets) {
        out.push(send_peer{vm, addressOf(vm), peer_message{m_self.id, 0, message}});
    }
}

void membership::removeExpiredPeers()
{
    const auto now = m_clock.now();
    std::erase_if(m_peers, [&](const auto &entry) {
        const bool known = m_listed.contains(entry.first) || findVm(m_epoch.members, entry.first) || findVm(m_epoch.previous, entry.first);
        return !known && now - entry.second.lastHeard > peerRetention;
    });
    std::erase_if(m_relayedHeard, [&](const auto &entry) { return now - entry.second > peerRetention; });
}

membership_events membership::tick(const self_report &report, outbox &out)
{
    const auto now = m_clock.now();
    if (now - m_lastTick > pauseThreshold) {
        // The silence of the other VMs during a pause of this VM does not show that they have failed.
        m_startedAt = now;
        m_membersDifferSince.reset();
    }
    m_lastTick = now;
    if (now >= m_nextHeartbeat) {
        sendHeartbeats(report, out);
        m_nextHeartbeat = now + heartbeatInterval;
        removeExpiredPeers();
    }
    updateMajority();
    return membership_events{updateLive(), propose(report)};
}

time_point membership::nextTick() const
{
    return m_nextHeartbeat;
}

} // namespace plantainpoint
