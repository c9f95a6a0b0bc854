// timers, periodic work and the graceful shutdown of the dispatcher
#include <algorithm>

#include "dispatcher.hpp"

namespace plantainpoint {

namespace {

// nextTick() never lies further ahead
constexpr duration longestTick = std::chrono::milliseconds(500);
constexpr duration vmListInterval = std::chrono::seconds(1);
constexpr duration claimExpiryInterval = std::chrono::minutes(1);
constexpr int maxPlacerRuns = 100;
// other VMs learn from two heartbeats that this one leaves, and place their requests elsewhere
constexpr duration shortestLeaving = std::chrono::seconds(1);
// an epoch without this VM takes effect within a second, and its slices then reach the other VMs at once; later they are lost
constexpr duration longestHandover = std::chrono::seconds(3);
// appends and cancels that an outage holds up do not hold up the shutdown
constexpr duration longestWaitForOutage = std::chrono::seconds(10);

// every VM that is heard, members of the epoch or not
std::map<vm_name, std::string> peerAddresses(const membership &members)
{
    std::map<vm_name, std::string> addresses;
    for (const auto &[vm, view] : members.peers()) {
        if (!view.peerAddress.empty()) {
            addresses.emplace(vm, view.peerAddress);
        }
    }
    return addresses;
}

} // namespace

void dispatcher::runTimers()
{
    while (const auto due = m_parts.timers.popDue(m_parts.clock.now())) {
        onTimer(*due);
    }
}

void dispatcher::onTimer(const timer &due)
{
    auto *const entry = m_parts.requests.find(due.request);
    if (entry == nullptr) {
        return;
    }
    switch (due.kind) {
    case timer_kind::RequestDeadline:
        if (m_parts.clock.now() >= entry->deadline) {
            onDeadline(*entry);
        }
        break;
    case timer_kind::ShareWait:
        m_admission.onShareWait(*entry);
        break;
    case timer_kind::PlaceRepeat:
        m_model.onPlaceRepeat(*entry, due.attempt);
        break;
    case timer_kind::Hedge:
        if (entry->kind == route_kind::Lookup) {
            m_lookup.onHedge(*entry, due.attempt);
        }
        break;
    }
}

void dispatcher::onDeadline(request &entry)
{
    if (entry.machine.stage() == request_stage::AwaitingShare) {
        m_admission.onShareWait(entry);
    } else if (entry.model) {
        m_model.onDeadline(entry);
    } else if (entry.kind == route_kind::Lookup) {
        m_lookup.onDeadline(entry);
    } else {
        m_booking.onDeadline(entry);
    }
}

void dispatcher::runModules()
{
    const auto now = m_parts.clock.now();
    if (m_parts.follow.nextTick() <= now) {
        apply(m_parts.follow.tick(m_parts.out));
    }
    if (m_parts.members.nextTick() <= now) {
        m_parts.follow.setPeers(peerAddresses(m_parts.members));
        apply(m_parts.members.tick(report(), m_parts.out));
        forgetDeadVms();
    }
    if (m_parts.shares.nextTick() <= now) {
        m_parts.shares.tick(m_parts.out);
    }
    m_admission.onShares();
    m_watch.tick();
    m_orders.tick();
    m_parts.cancels.tick();
    if (now >= m_nextVmList) {
        m_nextVmList = now + vmListInterval;
        m_parts.out.push(read_vm_list{});
    }
    if (now >= m_nextClaimExpiry) {
        m_nextClaimExpiry = now + claimExpiryInterval;
        m_parts.log.expireClaims(m_parts.wallClock.now());
    }
    updateCondition();
}

self_report dispatcher::report() const
{
    const auto stage = m_parts.machine.stage();
    const bool leaving = stage == vm_stage::Leaving || stage == vm_stage::Stopped;
    return self_report{m_parts.log.applied(), m_parts.fresh.proofAge(), m_parts.fresh.proofOffset(), m_parts.follow.logReadable(), leaving};
}

void dispatcher::runPlacer()
{
    for (int runs = 0; m_parts.placerTouched && runs < maxPlacerRuns; ++runs) {
        m_parts.placerTouched = false;
        for (const auto &answer : m_parts.pools.run()) {
            // an answer to an earlier incarnation of this VM releases its place
            const bool isLocal = answer.to.vm == m_parts.self().vm;
            std::visit(
                [&](const auto &body) {
                    if (isLocal) {
                        m_parts.decisions.record(body.label, answer.reason);
                        onPeer(answer.to, body);
                    } else {
                        m_parts.sendPeer(answer.to.vm, body);
                    }
                },
                answer.body);
        }
    }
}

void dispatcher::updateCondition()
{
    if (m_parts.machine.stage() == vm_stage::Starting && m_parts.follow.caughtUp() && m_parts.members.isMember() && !m_parts.log.config().services().empty()) {
        m_parts.machine.apply(vm_event::admitted{});
        m_parts.say(severity::Info, part::Core, "serving as " + toString(m_parts.self()));
    }
}

void dispatcher::runShutdown()
{
    if (m_parts.machine.stage() != vm_stage::Leaving) {
        return;
    }
    // requests that wait for capacity were accepted before the shutdown
    if (!m_surrendered && m_admission.waiting() == 0) {
        m_surrendered = true;
        m_parts.shares.surrender(m_parts.out);
    }
    const auto since = m_parts.clock.now() - m_leavingSince;
    const bool settled = m_parts.follow.pendingAppends() == 0 && m_parts.cancels.size() == 0;
    const bool hasLeft = !m_parts.members.isMember() && m_parts.shares.handedOver();
    const bool handedOver = hasLeft || !m_parts.members.hasSuccessor() || since >= longestHandover;
    const bool waited = settled && handedOver ? since >= shortestLeaving : since >= longestWaitForOutage;
    if (m_surrendered && m_parts.requests.size() == 0 && waited && m_parts.machine.apply(vm_event::idle{})) {
        m_parts.say(severity::Info, part::Core, "stopped");
        m_parts.out.push(stopped{});
    }
}

time_point dispatcher::nextTick() const
{
    auto next = m_parts.clock.now() + longestTick;
    next = std::min({next, m_parts.follow.nextTick(), m_parts.members.nextTick(), m_parts.shares.nextTick(), m_watch.nextTick()});
    next = std::min(next, m_parts.pools.nextRun());
    next = std::min(next, m_parts.timers.next().value_or(next));
    next = std::min(next, m_parts.cancels.nextTick().value_or(next));
    return std::min(next, m_orders.nextTick().value_or(next));
}

bool dispatcher::ready() const
{
    return m_parts.machine.stage() == vm_stage::Serving;
}

} // namespace plantainpoint
