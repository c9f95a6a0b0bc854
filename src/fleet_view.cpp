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
constexpr std::size_t maxSentHeartbeats = 128; // Heartbeats that a hub may still acknowledge.

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
    auto &peer = *arrival.peer;
    // A restart of a VM that was heard is not a silence, as everything that its new incarnation has admitted is new.
    const bool heardBefore = peer.heartbeatAt.has_value();
    const bool resumed = !heardBefore || (!arrival.restarted && now - *peer.heartbeatAt >= vmSilenceTimeout);
    peer.heartbeatSequence = heartbeatMessage.sequence;
    peer.heartbeatAt = now;
    peer.leaving = heartbeatMessage.leaving;
    m_direct.set(heartbeatMessage.from.vm.value, heartbeatMessage.loads, heartbeatMessage.waiting);
    auto &source = m_directSources[heartbeatMessage.from.vm];
    removeGrants(heartbeatMessage.from.vm, source, arrival.restarted ? std::numeric_limits<std::uint64_t>::max() : heartbeatMessage.sequence);
    source.changingRole = heartbeatMessage.changingRole;
    source.follows = heartbeatMessage.follows;
    auto admitted = source.usage.onReport(heartbeatMessage.from, heartbeatMessage.usage, resumed);
    addUsage(m_dataCentreUsage, admitted);
    addUsage(m_fleetUsage, admitted);
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
            result.admitted = applyUsage(summary, nullptr, isSource, now);
            addUsage(m_fleetUsage, result.admitted);
            if (isSource) {
                applyTotals(summary, nullptr, now);
            }
        }
        return result;
    }
    const auto *const own = findSent(summary);
    if (m_isHub || own == nullptr || summary.dataCentre != m_members.self().dataCentre || !summary.hasUsage()) {
        return result;
    }
    const bool isSource = summary.scope == summary_scope::Fleet && summary.from.vm == m_follows && replaceSource(summary, now);
    result.admitted = applyUsage(summary, own, isSource, now);
    if (isSource) {
        applyTotals(summary, own, now);
    }
    return result;
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
    const bool isLive = current != nullptr && current->isLiveHub(now) && now - source.receivedAt < hubSilenceTimeout;
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
}

// Returns the admissions to be debited. Those of a hub whose totals are not used are kept until its totals are used in place of the other
// hub's, so that a change of the hub loses none.
std::vector<account_usage> fleet_view::applyUsage(const fleet_summary &summary, const sent_heartbeat *own, bool isSource, time_point now)
{
    auto usage = summary.usage;
    if (own != nullptr) {
        addUsage(usage, own->content->usage, -1);
    }
    auto &reporter = m_usageSources[summary.from.vm];
    reporter.dataCentre = summary.dataCentre;
    const bool first = !std::exchange(reporter.reported, true);
    addUsage(reporter.unapplied, reporter.tracker.onReport(summary.from, usage, first));
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
    std::erase_if(m_peerHubs, [&](const auto &hubAndTime) { return now - hubAndTime.second >= vmSilenceTimeout; });
}

void fleet_view::exchange(const own_report &report, time_point now, std::vector<relay_command> &out)
{
    m_members.setLeaving(m_leaving);
    m_members.tick(now);
    expireSources(now);
    const auto selection = m_members.select(m_members.self().dataCentre, now);
    setRole(selection, now);
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
        const bool unchanged = last.loads == report.loads && last.waiting == report.waiting && last.changingRole == report.changingRole
                               && last.usage == report.usage && last.leaving == m_leaving && last.follows == m_follows && receivers == m_lastReceivers;
        if (unchanged && now - m_lastHeartbeatAt < idleHeartbeatInterval) {
            return;
        }
    }
    const auto heartbeatMessage = makeHeartbeat(report);
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
        out.push_back(send_heartbeat{hub->info.address, makeHeartbeat(report)});
    }
}

std::shared_ptr<const fleet_heartbeat> fleet_view::makeHeartbeat(const own_report &report)
{
    const auto &self = m_members.self();
    auto heartbeatMessage = std::make_shared<const fleet_heartbeat>(fleet_heartbeat{.from = {self.vm, m_incarnation},
                                                                                    .sequence = ++m_heartbeatSequence,
                                                                                    .address = self.address,
                                                                                    .dataCentre = self.dataCentre,
                                                                                    .capacity = self.capacity,
                                                                                    .leaving = m_leaving,
                                                                                    .follows = m_follows,
                                                                                    .knowledge = report.knowledge,
                                                                                    .loads = report.loads,
                                                                                    .waiting = report.waiting,
                                                                                    .changingRole = report.changingRole,
                                                                                    .usage = report.usage,
                                                                                    .outcomes = report.outcomes});
    m_sentHeartbeats.push_back({m_heartbeatSequence, heartbeatMessage});
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

std::size_t fleet_view::countDirect(duration silence, time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_members.peers().begin(), m_members.peers().end(), [&](const auto &vmAndPeer) {
        const auto &peer = vmAndPeer.second;
        return peer.heartbeatAt && !peer.leaving && now - *peer.heartbeatAt < silence && peer.info.dataCentre == m_members.self().dataCentre;
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
                                                                 .scope = scope,
                                                                 .leaving = m_leaving,
                                                                 .settled = m_hubSince && now - *m_hubSince >= settleTime,
                                                                 .knowledge = report.knowledge,
                                                                 .changesFrom = report.changesFrom,
                                                                 .changes = report.changes,
                                                                 .candidates = withLoads ? m_members.candidates(now) : std::vector<fleet_member>{},
                                                                 .hasLoads = withLoads});
    if (!summary->hasUsage()) {
        return summary;
    }
    summary->usage = report.usage;
    summary->changingRole = report.changingRole;
    if (scope == summary_scope::Brief) {
        addUsage(summary->usage, m_fleetUsage);
        return summary;
    }
    if (withLoads) {
        summary->loads = report.loads;
        summary->waiting = report.waiting;
        m_direct.addTo(summary->loads, summary->waiting);
    }
    for (const auto &[vm, source] : m_directSources) {
        summary->changingRole.insert(summary->changingRole.end(), source.changingRole.begin(), source.changingRole.end());
    }
    if (scope == summary_scope::DataCentre) {
        addUsage(summary->usage, m_dataCentreUsage);
        summary->heardVms = static_cast<std::int32_t>(1 + countDirect(vmSilenceTimeout, now));
        summary->memberVms = static_cast<std::int32_t>(1 + countDirect(vmExpiryTimeout, now));
        return summary;
    }
    if (withLoads) {
        m_remote.addTo(summary->loads, summary->waiting);
    }
    addUsage(summary->usage, m_fleetUsage);
    for (const auto &[dataCentre, source] : m_remoteSources) {
        summary->changingRole.insert(summary->changingRole.end(), source.changingRole.begin(), source.changingRole.end());
    }
    summary->heardVms = static_cast<std::int32_t>(heard(now));
    summary->memberVms = static_cast<std::int32_t>(members(now));
    return summary;
}

void fleet_view::send(const std::shared_ptr<const fleet_summary> &summary, const fleet_peer &receiver, std::vector<relay_command> &out) const
{
    out.push_back(send_summary{receiver.info.address, summary, receiver.incarnation, receiver.heartbeatSequence});
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

std::size_t fleet_view::heard(time_point now) const
{
    const auto &ownDataCentre = m_members.self().dataCentre;
    std::size_t count = countsDirect() ? 1 + countDirect(vmSilenceTimeout, now) : 1;
    for (const auto &[dataCentre, source] : m_remoteSources) {
        if (now - source.receivedAt < vmSilenceTimeout) {
            count = dataCentre == ownDataCentre ? static_cast<std::size_t>(std::max(source.heardVms, 1)) : count + static_cast<std::size_t>(source.heardVms);
        }
    }
    return count;
}

// A silent VM that announced that it leaves has ended and does not count.
std::size_t fleet_view::members(time_point now) const
{
    const auto &ownDataCentre = m_members.self().dataCentre;
    std::size_t count = countsDirect() ? 1 + countDirect(vmExpiryTimeout, now) : 1;
    for (const auto &[dataCentre, source] : m_remoteSources) {
        if (now - source.receivedAt < vmExpiryTimeout) {
            count = dataCentre == ownDataCentre ? static_cast<std::size_t>(std::max(source.memberVms, 1)) : count + static_cast<std::size_t>(source.memberVms);
        }
    }
    return count;
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
    return {endpoint, std::max(load.running, 0), std::max<std::int64_t>(load.prefillTokens, 0), std::max<std::int64_t>(load.kvTokens, 0)};
}

// The requests of this data centre wait at its hub.
std::int32_t fleet_view::waitingElsewhere(const service_name &service) const
{
    return std::max(m_remote.waitingAt(service), 0);
}

} // namespace plantainpoint
