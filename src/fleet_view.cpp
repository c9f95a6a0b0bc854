#include "fleet_view.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace plantainpoint {

namespace {

constexpr auto settleTime = std::chrono::seconds{1}; // A hub hears all VMs of its data centre within this time.
// Pause between two summaries to VMs that are silent. They may have restarted without the directory.
constexpr auto noticeInterval = std::chrono::milliseconds{450};
// Every third summary to the followers has the loads and the candidates, which they need only when they lose the hub.
constexpr int loadsInterval = 3;
// After a longer standstill of a hub, its next summary may come so late that other VMs have taken another hub in its place.
constexpr auto maxStandstill = std::chrono::milliseconds{400};
constexpr std::size_t maxSentHeartbeats = 128; // Heartbeats that a hub may still acknowledge.
constexpr std::size_t maxSentTotals = 64; // Totals that a hub of another data centre may still acknowledge.
// A hub that has not acknowledged a heartbeat for this time does not hear this VM. Hubs send a summary every 150 ms.
constexpr auto acknowledgementTimeout = std::chrono::milliseconds{500};
// The admissions of a data centre without totals for this time are unknown. The totals of its other hub are used before.
constexpr auto totalsTimeout = std::chrono::milliseconds{450};
constexpr auto sourceTimeout = std::chrono::milliseconds{200}; // Time without totals after which those of the other hub are used.

// Returns whether two lists have the same work. Work times are sent with messages that are due, and make none due.
bool hasSameWork(std::vector<endpoint_load> first, std::vector<endpoint_load> second)
{
    for (auto *const loads : {&first, &second}) {
        std::erase_if(*loads, [](const auto &load) { return load.running == 0; });
        for (auto &load : *loads) {
            load.workTimePercent.reset();
        }
    }
    return first == second;
}

std::string grantSource(const place_key &key)
{
    return key.vm.value + '#' + std::to_string(key.number);
}

} // namespace

fleet_view::fleet_view(fleet_member self, std::uint64_t incarnation)
    : m_incarnation(incarnation)
    , m_members(std::move(self))
{
}

void fleet_view::onMembers(const members_read &members, time_point now)
{
    m_knowsFleet = true;
    for (const auto &member : members.members) {
        m_members.add(member, now);
    }
}

fleet_view::message_arrival fleet_view::on(const fleet_heartbeat &heartbeatMessage, time_point now)
{
    const auto arrival = m_members.onMessage(heartbeatMessage.member(), heartbeatMessage.from.number, now);
    if (arrival.peer == nullptr || heartbeatMessage.sequence <= arrival.peer->heartbeatSequence) {
        return {};
    }
    m_knowsFleet = true;
    auto &peer = *arrival.peer;
    // A restart of a VM that was heard is not a silence, as everything that its new incarnation has admitted is new.
    const bool heardBefore = peer.heartbeatAt.has_value();
    const bool resumed = !heardBefore || (!arrival.restarted && now - *peer.heartbeatAt >= vmSilenceTimeout);
    peer.heartbeatSequence = heartbeatMessage.sequence;
    peer.heartbeatAt = now;
    peer.leaving = heartbeatMessage.leaving;
    m_direct.set(heartbeatMessage.from.vm.value, heartbeatMessage.loads, heartbeatMessage.waiting);
    m_directWorkTimes.on(heartbeatMessage.loads, now);
    auto &source = m_directSources[heartbeatMessage.from.vm];
    removeGrants(heartbeatMessage.from.vm, source, arrival.restarted ? std::numeric_limits<std::uint64_t>::max() : heartbeatMessage.sequence);
    source.changingRole = heartbeatMessage.changingRole;
    source.follows = heartbeatMessage.follows;
    auto admitted = source.usage.onReport(heartbeatMessage.from, heartbeatMessage.usage, resumed);
    addUsage(m_dataCentreUsage, admitted);
    // Units that were reserved for the VM have been debited before.
    for (; !source.reservations.empty() && source.reservations.front().heartbeat < heartbeatMessage.sequence; source.reservations.pop_front()) {
        if (!arrival.restarted && !resumed) {
            addUsage(admitted, {source.reservations.front().usage}, -1);
        }
    }
    if (!countsDirect()) {
        admitted.clear(); // The totals of the followed hub contain them.
    }
    return {true, arrival.added || arrival.restarted || !heardBefore, std::move(admitted)};
}

const fleet_view::sent_heartbeat *fleet_view::findSent(const fleet_summary &summary) const
{
    if (summary.receiverIncarnation != m_incarnation) {
        return nullptr;
    }
    const auto it = std::find_if(m_sentHeartbeats.begin(), m_sentHeartbeats.end(), [&](const auto &each) { return each.sequence == summary.acknowledged; });
    return it == m_sentHeartbeats.end() ? nullptr : &*it;
}

fleet_view::message_arrival fleet_view::on(const fleet_summary &summary, time_point now)
{
    const auto arrival = m_members.onMessage(summary.member(), summary.from.number, now);
    if (arrival.peer == nullptr || summary.sequence <= arrival.peer->summarySequence) {
        return {};
    }
    m_knowsFleet = true;
    auto &peer = *arrival.peer;
    peer.summarySequence = summary.sequence;
    peer.summaryAt = now;
    peer.leaving = summary.leaving;
    peer.settled = summary.settled;
    for (const auto &candidate : summary.candidates) {
        m_members.add(candidate, now);
    }
    message_arrival result{true, arrival.added || arrival.restarted, {}};
    if (summary.scope == summary_scope::DataCentre && summary.dataCentre != m_members.self().dataCentre) {
        m_peerHubs[summary.from.vm] = now;
        if (m_isHub) {
            const bool isSource = replaceSource(summary, now);
            result.admitted = applyUsage(summary, isSource, now);
            if (isSource) {
                applyTotals(summary, nullptr, now);
                m_remoteSources.at(summary.dataCentre).hearsThisVm =
                    summary.receiverIncarnation == m_incarnation && !isUnheard(m_sentTotals, summary.acknowledged, now);
            }
        }
        return result;
    }
    const auto *const own = findSent(summary);
    if (m_isHub || own == nullptr || summary.dataCentre != m_members.self().dataCentre || !summary.hasUsage()) {
        return result;
    }
    if (summary.scope == summary_scope::Fleet && summary.from.vm == m_follows && replaceSource(summary, now)) {
        applyTotals(summary, own, now);
        m_heardByHub = !isUnheard(m_sentHeartbeats, summary.acknowledged, now);
        if (m_heardByHub) {
            result.ownIncluded = own->content->usage;
        }
    }
    return result;
}

// Returns whether a message that was sent long ago has not been acknowledged.
template<class Sent>
bool fleet_view::isUnheard(const std::deque<Sent> &sent, std::uint64_t acknowledged, time_point now)
{
    const auto first = std::find_if(sent.begin(), sent.end(), [&](const auto &each) { return each.sequence > acknowledged; });
    return first != sent.end() && now - first->sentAt > acknowledgementTimeout;
}

// Returns whether the totals of a data centre are taken from the sender. Two hubs of a data centre report the same work, so that only one
// counts at a time.
bool fleet_view::replaceSource(const fleet_summary &summary, time_point now)
{
    auto &source = m_remoteSources[summary.dataCentre];
    if (source.hub == summary.from.vm) {
        source.settled = summary.settled;
        return true;
    }
    const auto *const current = m_members.find(source.hub);
    const bool isLive = current != nullptr && now - source.receivedAt < sourceTimeout;
    const bool isFollowed = summary.from.vm == m_follows;
    const bool better = summary.settled != source.settled ? summary.settled : current != nullptr && precedes(summary.member(), current->info);
    if (isLive && !better && !isFollowed) {
        return false;
    }
    // The time of the last report stays, so that a silence of all hubs is noticed.
    source.hub = summary.from.vm;
    source.settled = summary.settled;
    return true;
}

void fleet_view::applyTotals(const fleet_summary &summary, const sent_heartbeat *own, time_point now)
{
    auto &source = m_remoteSources.at(summary.dataCentre);
    source.receivedAt = now;
    source.heardVms = summary.heardVms;
    source.memberVms = summary.memberVms;
    source.changingRole = summary.changingRole;
    if (!summary.hasLoads) {
        return;
    }
    auto loads = summary.loads;
    auto waiting = summary.waiting;
    if (own != nullptr) {
        addLoads(loads, own->content->loads, -1);
        addWaiting(waiting, own->content->waiting, -1);
    }
    m_remote.set(summary.dataCentre.value, loads, waiting);
    m_remoteWorkTimes.on(summary.loads, now);
}

// Returns the admissions to be debited. Those of a hub whose totals are not used are kept until its totals are used in place of the other
// hub's, so that a change of the hub loses none.
std::vector<account_usage> fleet_view::applyUsage(const fleet_summary &summary, bool isSource, time_point now)
{
    auto &reporter = m_usageSources[summary.from.vm];
    reporter.dataCentre = summary.dataCentre;
    const bool first = !std::exchange(reporter.reported, true);
    addUsage(reporter.unapplied, reporter.tracker.onReport(summary.from, summary.usage, first));
    if (!isSource) {
        return {};
    }
    const auto &source = m_remoteSources.at(summary.dataCentre);
    const bool resumed = source.receivedAt != time_point{} && now - source.receivedAt >= vmSilenceTimeout;
    auto admitted = std::exchange(reporter.unapplied, {});
    for (auto &[vm, other] : m_usageSources) {
        if (other.dataCentre == summary.dataCentre) {
            other.unapplied.clear();
        }
    }
    // During a silence the rate was reduced by the part of the VMs that were not heard.
    return resumed ? std::vector<account_usage>{} : admitted;
}

void fleet_view::setRole(const hub_selection &selection, time_point now)
{
    const auto &ownDataCentre = m_members.self().dataCentre;
    if (selection.selfIsHub != m_isHub) {
        m_isHub = selection.selfIsHub;
        m_hubSince = m_isHub ? std::optional(now) : std::nullopt;
        // A hub sums up what it hears directly, and any other VM takes the totals of one hub.
        std::erase_if(m_remoteSources, [&](const auto &each) { return (each.first == ownDataCentre) == m_isHub; });
        if (m_isHub) {
            m_remote.remove(ownDataCentre.value);
        } else {
            m_remote.removeAllBut(ownDataCentre.value);
        }
    }
    const auto isSettled = [&](const vm_name &hub) { return m_members.find(hub)->settled; };
    const auto firstSettled = std::find_if(selection.hubs.begin(), selection.hubs.end(), isSettled);
    const auto source = m_remoteSources.find(ownDataCentre);
    const bool keepsSource =
        source != m_remoteSources.end() && std::find(selection.hubs.begin(), selection.hubs.end(), source->second.hub) != selection.hubs.end();
    vm_name first = selection.hubs.empty() ? vm_name{} : selection.hubs.front();
    if (firstSettled != selection.hubs.end()) {
        first = *firstSettled;
    } else if (keepsSource) {
        first = source->second.hub; // Every change loses the admissions of one interval.
    }
    m_hubs = selection.hubs;
    m_follows = m_isHub ? vm_name{} : first;
    // The second hub asks the first one for places, so that only one VM of a data centre places.
    const bool precedesSelf = !first.empty() && precedes(m_members.find(first)->info, m_members.self());
    m_placingHub = !m_isHub || precedesSelf ? first : vm_name{};
}

void fleet_view::expireSources(time_point now)
{
    for (auto it = m_directSources.begin(); it != m_directSources.end();) {
        const auto *const peer = m_members.find(it->first);
        if (peer != nullptr && peer->heartbeatAt && now - *peer->heartbeatAt < vmSilenceTimeout) {
            ++it;
            continue;
        }
        m_direct.remove(it->first.value);
        removeGrants(it->first, it->second, std::numeric_limits<std::uint64_t>::max());
        // The tracker of a known VM is kept, so that a VM that returns is not debited twice.
        it = peer == nullptr ? m_directSources.erase(it) : std::next(it);
    }
    for (auto &[dataCentre, source] : m_remoteSources) {
        if (now - source.receivedAt >= vmSilenceTimeout) {
            m_remote.remove(dataCentre.value);
            source.changingRole.clear();
        }
    }
    m_directWorkTimes.expire(now);
    m_remoteWorkTimes.expire(now);
    std::erase_if(m_peerHubs, [&](const auto &hubAndTime) { return now - hubAndTime.second >= vmSilenceTimeout; });
}

void fleet_view::exchange(const own_report &report, time_point now, std::vector<relay_command> &out)
{
    m_members.setLeaving(m_leaving);
    m_members.tick(now);
    expireSources(now);
    const auto selection = m_members.select(m_members.self().dataCentre, now);
    const bool wasHub = m_isHub;
    setRole(selection, now);
    const bool stoodStill = m_exchangedAt && now - *m_exchangedAt >= maxStandstill;
    const bool lacksVms = heard(now) < members(now); // A VM that is not heard may send its records to another hub.
    if (!wasHub || stoodStill || lacksVms) {
        m_reachedSince = now;
    }
    m_exchangedAt = now;
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + fleetMessageInterval;
        sendHeartbeats(report, selection, now, out);
        sendSummaries(report, now, out);
    }
    if (m_isHub && now >= m_nextTotals) {
        m_nextTotals = now + (m_placingHub.empty() ? placingHubInterval : fleetMessageInterval);
        sendTotals(report, now, out);
    }
}

void fleet_view::sendHeartbeats(const own_report &report, const hub_selection &selection, time_point now, std::vector<relay_command> &out)
{
    auto receivers = selection.hubs;
    receivers.insert(receivers.end(), selection.probes.begin(), selection.probes.end());
    if (!m_sentHeartbeats.empty()) {
        const auto &last = *m_sentHeartbeats.back().content;
        const bool unchanged = hasSameWork(last.loads, report.loads) && last.waiting == report.waiting && last.changingRole == report.changingRole
                               && last.usage == report.usage && last.leaving == m_leaving && report.evidence.crashes.empty() && report.evidence.answered.empty()
                               && report.limits.empty() && report.leavingEndpoints.empty() && isSameKnowledge(last.evacuations, report.evacuations)
                               && report.coldEndpoints.empty() && last.follows == m_follows && receivers == m_lastReceivers;
        if (unchanged && now - m_lastHeartbeatAt < idleHeartbeatInterval) {
            return;
        }
    }
    const auto heartbeatMessage = makeHeartbeat(report, now);
    for (const auto &vm : receivers) {
        m_members.onProbe(vm, now);
        out.push_back(send_heartbeat{m_members.find(vm)->info.address, heartbeatMessage});
    }
    m_lastHeartbeatAt = now;
    m_lastReceivers = std::move(receivers);
}

void fleet_view::reportChange(const own_report &report, time_point now, std::vector<relay_command> &out)
{
    if (const auto *const hub = placingHub(now)) {
        out.push_back(send_heartbeat{hub->info.address, makeHeartbeat(report, now)});
    }
}

std::shared_ptr<const fleet_heartbeat> fleet_view::makeHeartbeat(const own_report &report, time_point now)
{
    const auto &self = m_members.self();
    auto heartbeatMessage = std::make_shared<const fleet_heartbeat>(fleet_heartbeat{.from = {self.vm, m_incarnation},
                                                                                    .sequence = ++m_heartbeatSequence,
                                                                                    .address = self.address,
                                                                                    .dataCentre = self.dataCentre,
                                                                                    .capacity = self.capacity,
                                                                                    .keepsRecords = self.keepsRecords,
                                                                                    .leaving = m_leaving,
                                                                                    .follows = m_follows,
                                                                                    .knowledge = report.knowledge,
                                                                                    .loads = report.loads,
                                                                                    .waiting = report.waiting,
                                                                                    .changingRole = report.changingRole,
                                                                                    .usage = report.usage,
                                                                                    .outcomes = report.outcomes,
                                                                                    .evidence = report.evidence,
                                                                                    .limits = report.limits,
                                                                                    .leavingEndpoints = report.leavingEndpoints,
                                                                                    .coldEndpoints = report.coldEndpoints,
                                                                                    .evacuations = report.evacuations});
    m_sentHeartbeats.push_back({m_heartbeatSequence, now, heartbeatMessage});
    if (m_sentHeartbeats.size() > maxSentHeartbeats) {
        m_sentHeartbeats.pop_front();
    }
    return heartbeatMessage;
}

void fleet_view::onGrant(const place_key &key, const std::vector<endpoint_load> &loads)
{
    const auto it = m_directSources.find(key.vm);
    if (it != m_directSources.end()) {
        it->second.grants.push_back(key);
        m_direct.set(grantSource(key), loads, {});
    }
}

void fleet_view::onReservation(const place_key &key, const account_name &account, double units)
{
    m_directSources[key.vm].reservations.push_back({key.heartbeat, {.account = account, .admitted = units}});
}

// Removes the work that a heartbeat contains.
void fleet_view::removeGrants(const vm_name &vm, direct_source &source, std::uint64_t heartbeat)
{
    while (!source.grants.empty() && source.grants.front().heartbeat < heartbeat) {
        source.grants.front().vm = vm;
        m_direct.remove(grantSource(source.grants.front()));
        source.grants.pop_front();
    }
}

const fleet_peer *fleet_view::placingHub(time_point now) const
{
    const auto *const hub = m_members.find(m_placingHub);
    return hub != nullptr && hub->isLiveHub(now) ? hub : nullptr;
}

std::vector<const fleet_peer *> fleet_view::placingHubs(time_point now) const
{
    std::vector<const fleet_peer *> result;
    if (const auto *const first = placingHub(now)) {
        result.push_back(first);
        for (const auto &vm : m_hubs) {
            const auto *const hub = m_members.find(vm);
            if (!m_isHub && hub != first && hub->isLiveHub(now)) {
                result.push_back(hub);
            }
        }
    }
    return result;
}

// Returns the number of VMs of this data centre whose heartbeats arrive here.
std::size_t fleet_view::countDirect(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_members.peers().begin(), m_members.peers().end(), [&](const auto &vmAndPeer) {
        const auto &peer = vmAndPeer.second;
        return peer.heartbeatAt && !peer.leaving && now - *peer.heartbeatAt < vmSilenceTimeout && peer.info.dataCentre == m_members.self().dataCentre;
    }));
}

// Returns the number of other VMs of a data centre that may be running, as far as this VM knows them.
std::size_t fleet_view::countKnown(const data_centre_name &dataCentre, time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_members.peers().begin(), m_members.peers().end(), [&](const auto &vmAndPeer) {
        return vmAndPeer.second.info.dataCentre == dataCentre && vmAndPeer.second.mayRun(now);
    }));
}

std::shared_ptr<fleet_summary> fleet_view::makeSummary(const own_report &report, summary_scope scope, bool withLoads, time_point now) const
{
    const auto &self = m_members.self();
    auto summary = std::make_shared<fleet_summary>(fleet_summary{.from = {self.vm, m_incarnation},
                                                                 .sequence = m_summarySequence,
                                                                 .address = self.address,
                                                                 .dataCentre = self.dataCentre,
                                                                 .capacity = self.capacity,
                                                                 .keepsRecords = self.keepsRecords,
                                                                 .scope = scope,
                                                                 .leaving = m_leaving,
                                                                 .settled = m_hubSince && now - *m_hubSince >= settleTime,
                                                                 .knowledge = report.knowledge,
                                                                 .changesFrom = report.changesFrom,
                                                                 .changes = report.changes,
                                                                 .candidates = withLoads ? m_members.candidates(now) : std::vector<fleet_member>{},
                                                                 .hasLoads = withLoads,
                                                                 .evidence = report.evidence,
                                                                 .limits = report.limits,
                                                                 .leavingEndpoints = report.leavingEndpoints,
                                                                 .coldEndpoints = report.coldEndpoints,
                                                                 .evacuations = report.evacuations,
                                                                 .defaults = report.defaults});
    if (!summary->hasUsage()) {
        return summary;
    }
    summary->usage = report.usage;
    summary->changingRole = report.changingRole;
    if (scope == summary_scope::Brief) {
        return summary;
    }
    if (withLoads) {
        summary->loads = report.loads;
        summary->waiting = report.waiting;
        m_direct.addTo(summary->loads, summary->waiting);
        m_directWorkTimes.addTo(summary->loads, now);
    }
    for (const auto &[vm, source] : m_directSources) {
        summary->changingRole.insert(summary->changingRole.end(), source.changingRole.begin(), source.changingRole.end());
    }
    if (scope == summary_scope::DataCentre) {
        addUsage(summary->usage, m_dataCentreUsage);
        summary->heardVms = static_cast<std::int32_t>(1 + countDirect(now));
        summary->memberVms = static_cast<std::int32_t>(1 + countKnown(m_members.self().dataCentre, now));
        return summary;
    }
    if (withLoads) {
        m_remote.addTo(summary->loads, summary->waiting);
        m_remoteWorkTimes.addTo(summary->loads, now);
    }
    for (const auto &[dataCentre, source] : m_remoteSources) {
        summary->changingRole.insert(summary->changingRole.end(), source.changingRole.begin(), source.changingRole.end());
    }
    const auto share = limitShare(now);
    summary->heardVms = static_cast<std::int32_t>(share.heardVms);
    summary->memberVms = static_cast<std::int32_t>(share.memberVms);
    return summary;
}

void fleet_view::send(const std::shared_ptr<const fleet_summary> &summary, const fleet_peer &receiver, std::vector<relay_command> &out) const
{
    // VMs of this data centre send heartbeats, and the hubs of the others send totals.
    const bool isNear = receiver.info.dataCentre == m_members.self().dataCentre;
    out.push_back(send_summary{receiver.info.address, summary, receiver.incarnation, isNear ? receiver.heartbeatSequence : receiver.summarySequence});
}

void fleet_view::sendSummaries(const own_report &report, time_point now, std::vector<relay_command> &out)
{
    ++m_summarySequence;
    std::shared_ptr<const fleet_summary> brief;
    std::shared_ptr<const fleet_summary> fleet;
    const bool withLoads = m_summariesSent++ % loadsInterval == 0;
    const bool notify = m_isHub && now >= m_nextNotice;
    for (const auto &[vm, peer] : m_members.peers()) {
        const bool subscribed = peer.heartbeatAt && now - *peer.heartbeatAt < vmSilenceTimeout;
        const bool silent = notify && !peer.isHeard(now) && peer.info.dataCentre == m_members.self().dataCentre;
        if (!subscribed && !silent) {
            continue;
        }
        const auto source = m_directSources.find(vm);
        const bool follows = subscribed && source != m_directSources.end() && source->second.follows == m_members.self().vm;
        auto &summary = follows ? fleet : brief;
        if (!summary) {
            summary = makeSummary(report, follows ? summary_scope::Fleet : summary_scope::Brief, withLoads, now);
        }
        send(summary, peer, out);
    }
    if (notify) {
        m_nextNotice = now + noticeInterval;
    }
}

// Sends the totals of this data centre to the hubs of the others.
void fleet_view::sendTotals(const own_report &report, time_point now, std::vector<relay_command> &out)
{
    ++m_summarySequence;
    std::vector<vm_name> placing; // The hubs that place.
    std::vector<vm_name> hubs;
    for (const auto &dataCentre : m_members.dataCentres()) {
        if (dataCentre != m_members.self().dataCentre) {
            const auto selection = m_members.select(dataCentre, now);
            if (!selection.hubs.empty()) {
                placing.push_back(selection.hubs.front());
            }
            hubs.insert(hubs.end(), selection.hubs.begin(), selection.hubs.end());
            hubs.insert(hubs.end(), selection.probes.begin(), selection.probes.end());
        }
    }
    // A hub that asked for totals without being one of the first gets them as well.
    for (const auto &[vm, time] : m_peerHubs) {
        if (std::find(hubs.begin(), hubs.end(), vm) == hubs.end()) {
            hubs.push_back(vm);
        }
    }
    m_sentTotals.push_back({m_summarySequence, now});
    if (m_sentTotals.size() > maxSentTotals) {
        m_sentTotals.pop_front();
    }
    const auto totals = hubs.empty() ? nullptr : makeSummary(report, summary_scope::DataCentre, true, now);
    const bool toAll = m_totalsSent++ % (fleetMessageInterval / placingHubInterval) == 0 || !m_placingHub.empty();
    for (const auto &vm : hubs) {
        if (!toAll && std::find(placing.begin(), placing.end(), vm) == placing.end()) {
            continue;
        }
        m_members.onProbe(vm, now);
        if (const auto *const peer = m_members.find(vm)) {
            send(totals, *peer, out);
        }
    }
}

std::vector<fleet_member> fleet_view::otherMembers() const
{
    std::vector<fleet_member> out;
    for (const auto &[vm, peer] : m_members.peers()) {
        if (!peer.leaving) {
            out.push_back(peer.info);
        }
    }
    return out;
}

std::vector<fleet_member> fleet_view::runningMembers(time_point now) const
{
    const auto seed = stableHash(m_members.self().vm.value);
    std::vector<std::pair<std::pair<bool, std::uint64_t>, fleet_member>> ordered;
    for (const auto &[vm, peer] : m_members.peers()) {
        if (peer.mayRun(now) && peer.info.keepsRecords) {
            ordered.push_back({{!peer.isHeard(now), stableHash(vm.value, seed)}, peer.info});
        }
    }
    std::sort(ordered.begin(), ordered.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<fleet_member> out;
    std::transform(ordered.begin(), ordered.end(), std::back_inserter(out), [](const auto &each) { return each.second; });
    return out;
}

std::vector<fleet_member> fleet_view::liveHubs(time_point now) const
{
    std::vector<fleet_member> out;
    for (const auto &[vm, peer] : m_members.peers()) {
        if (peer.isLiveHub(now) && peer.info.keepsRecords) {
            out.push_back(peer.info);
        }
    }
    std::stable_partition(out.begin(), out.end(), [&](const auto &hub) { return hub.dataCentre == m_members.self().dataCentre; });
    return out;
}

bool fleet_view::hasOlderBuilds() const
{
    return std::any_of(m_members.peers().begin(), m_members.peers().end(), [](const auto &vmAndPeer) { return !vmAndPeer.second.info.keepsRecords; });
}

std::vector<data_centre_name> fleet_view::sharedDataCentres(time_point now) const
{
    std::vector<data_centre_name> out;
    for (const auto &dataCentre : m_members.dataCentres()) {
        const std::size_t self = dataCentre == m_members.self().dataCentre ? 1 : 0;
        if (self + countKnown(dataCentre, now) > 1) {
            out.push_back(dataCentre);
        }
    }
    return out;
}

std::size_t fleet_view::heard(time_point now) const
{
    const auto &ownDataCentre = m_members.self().dataCentre;
    std::size_t count = countsDirect() ? 1 + countDirect(now) : 1;
    for (const auto &[dataCentre, source] : m_remoteSources) {
        if (now - source.receivedAt < totalsTimeout && (source.hearsThisVm || dataCentre == ownDataCentre)) {
            count = dataCentre == ownDataCentre ? static_cast<std::size_t>(std::max(source.heardVms, 1)) : count + static_cast<std::size_t>(source.heardVms);
        }
    }
    return count;
}

// A VM that follows a hub takes over the number of the hub. The others count the VMs that they know, and those of other data centres that the
// hubs there have reported.
std::size_t fleet_view::members(time_point now) const
{
    const auto &ownDataCentre = m_members.self().dataCentre;
    const auto own = m_remoteSources.find(ownDataCentre);
    if (own != m_remoteSources.end() && now - own->second.receivedAt < vmExpiryTimeout) {
        return static_cast<std::size_t>(std::max(own->second.memberVms, 1));
    }
    std::size_t count = 1;
    for (const auto &dataCentre : m_members.dataCentres()) {
        const auto source = m_remoteSources.find(dataCentre);
        const bool reported = source != m_remoteSources.end() && now - source->second.receivedAt < vmExpiryTimeout;
        count += reported ? static_cast<std::size_t>(std::max(source->second.memberVms, 0)) : countKnown(dataCentre, now);
    }
    return count;
}

limit_share fleet_view::limitShare(time_point now) const
{
    if (!m_knowsFleet) {
        return {.heardVms = 0, .memberVms = 1};
    }
    // A hub that does not hear this VM cannot tell the others what this VM admits.
    const bool isAlone = !countsDirect() && !m_heardByHub;
    return {.heardVms = isAlone ? 1 : heard(now), .memberVms = members(now)};
}

limit_share fleet_view::placingShare(time_point now) const
{
    if (!m_knowsFleet || placingHub(now) != nullptr) {
        return {.heardVms = 0, .memberVms = 1};
    }
    if (!m_isHub) {
        return {.heardVms = 1, .memberVms = members(now)};
    }
    const auto placedFor = std::count_if(m_members.peers().begin(), m_members.peers().end(), [&](const auto &vmAndPeer) {
        const auto &[vm, peer] = vmAndPeer;
        const auto source = m_directSources.find(vm);
        const bool followsOther = source != m_directSources.end() && !source->second.follows.empty() && source->second.follows != m_members.self().vm;
        return peer.heartbeatAt && !peer.leaving && now - *peer.heartbeatAt < vmSilenceTimeout && peer.info.dataCentre == m_members.self().dataCentre
               && !followsOther;
    });
    return {.heardVms = 1 + static_cast<std::size_t>(placedFor), .memberVms = members(now)};
}

bool fleet_view::hasHub(time_point now) const
{
    return m_isHub || placingHub(now) != nullptr;
}

endpoint_load fleet_view::loadAt(const endpoint_name &endpoint) const
{
    auto load = m_remote.loadAt(endpoint);
    if (countsDirect()) {
        const auto direct = m_direct.loadAt(endpoint);
        load.running += direct.running;
        load.prefillTokens += direct.prefillTokens;
        load.kvTokens += direct.kvTokens;
    }
    // Sums of reports of different age can be negative for a moment.
    return {endpoint, std::max(load.running, 0), std::max<std::int64_t>(load.prefillTokens, 0), std::max<std::int64_t>(load.kvTokens, 0), {}};
}

duration fleet_view::totalsAge(time_point now) const
{
    duration oldest{};
    for (const auto &[dataCentre, source] : m_remoteSources) {
        if (now - source.receivedAt < vmSilenceTimeout) {
            oldest = std::max(oldest, now - source.receivedAt);
        }
    }
    return oldest;
}

std::optional<work_time_reading> fleet_view::workTimeAt(const endpoint_name &endpoint, time_point now) const
{
    return newestReading(m_directWorkTimes.at(endpoint), m_remoteWorkTimes.at(endpoint), now);
}

// The requests of this data centre wait at its hub.
std::int32_t fleet_view::waitingElsewhere(const service_name &service) const
{
    return std::max(m_remote.waitingAt(service), 0);
}

} // namespace plantainpoint
