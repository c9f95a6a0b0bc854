// Timers, periodic work and the graceful shutdown of the dispatcher.
#include <algorithm>

#include "dispatcher.hpp"

namespace plantainpoint {

namespace {

// The time that nextTick() returns is never further ahead than this.
constexpr duration maxTickInterval = std::chrono::milliseconds(500);
constexpr duration vmListInterval = std::chrono::seconds(1);
constexpr duration claimExpiryInterval = std::chrono::minutes(1);
constexpr int maxSchedulerRuns = 100;
// Within this time the other VMs receive two heartbeats that report this VM as leaving, and place their requests elsewhere.
constexpr duration minShutdownTime = std::chrono::seconds(1);
// An epoch without this VM takes effect within a second, and its bucket shares then reach the other VMs at once.
// Shares that are not handed over within this time are lost.
constexpr duration maxHandoverTime = std::chrono::seconds(3);
// Appends and cancels that an outage blocks do not delay the shutdown beyond this time.
constexpr duration maxOutageWait = std::chrono::seconds(10);

// Returns the addresses of all VMs that send heartbeats, whether they are members of the epoch or not.
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
    while (const auto due = m_components.timers.popDue(m_components.clock.now())) {
        onTimer(*due);
    }
}

void dispatcher::onTimer(const timer &due)
{
    auto *const entry = m_components.requests.find(due.request);
    if (entry == nullptr) {
        return;
    }
    switch (due.kind) {
    case timer_kind::RequestDeadline:
        if (m_components.clock.now() >= entry->deadline) {
            onDeadline(*entry);
        }
        break;
    case timer_kind::ShareWait:
        m_admission.onShareWaitTimeout(*entry);
        break;
    case timer_kind::PlacementRetry:
        m_model.onPlacementRetry(*entry, due.attempt);
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
        m_admission.onShareWaitTimeout(entry);
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
    const auto now = m_components.clock.now();
    if (m_components.follow.nextTick() <= now) {
        apply(m_components.follow.tick(m_components.out));
    }
    if (m_components.members.nextTick() <= now) {
        m_components.follow.setPeers(peerAddresses(m_components.members));
        apply(m_components.members.tick(selfReport(), m_components.out));
        removeDeadVms();
    }
    if (m_components.shares.nextTick() <= now) {
        m_components.shares.tick(m_components.out);
    }
    m_admission.onSharesChanged();
    m_endpointMonitor.tick();
    m_orders.tick();
    m_components.cancels.tick();
    if (now >= m_nextVmListRead) {
        m_nextVmListRead = now + vmListInterval;
        m_components.out.push(read_vm_list{});
    }
    if (now >= m_nextClaimExpiry) {
        m_nextClaimExpiry = now + claimExpiryInterval;
        m_components.log.expireClaims(m_components.wallClock.now());
    }
    updateReadiness();
}

self_report dispatcher::selfReport() const
{
    const auto stage = m_components.machine.stage();
    const bool leaving = stage == vm_stage::Leaving || stage == vm_stage::Stopped;
    return self_report{m_components.log.applied(), m_components.fresh.proofAge(), m_components.fresh.proofOffset(), m_components.follow.logReadable(), leaving};
}

void dispatcher::runScheduler()
{
    for (int runs = 0; m_components.schedulerDirty && runs < maxSchedulerRuns; ++runs) {
        m_components.schedulerDirty = false;
        for (const auto &decision : m_components.pools.run()) {
            // A decision for an earlier incarnation of this VM is handled here as well, which releases its reservation.
            const bool isLocal = decision.to.vm == m_components.self().vm;
            std::visit(
                [&](const auto &body) {
                    if (isLocal) {
                        m_components.decisions.record(body.label, decision.reason);
                        onPeer(decision.to, body);
                    } else {
                        m_components.sendPeer(decision.to.vm, body);
                    }
                },
                decision.body);
        }
    }
}

void dispatcher::updateReadiness()
{
    if (m_components.machine.stage() == vm_stage::Starting && m_components.follow.caughtUp() && m_components.members.isMember()
        && !m_components.log.config().services().empty()) {
        m_components.machine.apply(vm_event::admitted{});
        m_components.logMessage(severity::Info, log_component::Core, "serving as " + toString(m_components.self()));
    }
}

void dispatcher::advanceShutdown()
{
    if (m_components.machine.stage() != vm_stage::Leaving) {
        return;
    }
    // The shares are kept while requests wait for capacity, because those were accepted before the shutdown.
    if (!m_sharesReturned && m_admission.waiting() == 0) {
        m_sharesReturned = true;
        m_components.shares.returnAllShares(m_components.out);
    }
    const auto elapsed = m_components.clock.now() - m_shutdownRequestedAt;
    const bool nothingPending = m_components.follow.pendingAppends() == 0 && m_components.cancels.size() == 0;
    const bool hasLeftEpoch = !m_components.members.isMember() && m_components.shares.handedOver();
    const bool handoverFinished = hasLeftEpoch || !m_components.members.hasSuccessor() || elapsed >= maxHandoverTime;
    const bool waitedLongEnough = nothingPending && handoverFinished ? elapsed >= minShutdownTime : elapsed >= maxOutageWait;
    if (m_sharesReturned && m_components.requests.size() == 0 && waitedLongEnough && m_components.machine.apply(vm_event::idle{})) {
        m_components.logMessage(severity::Info, log_component::Core, "stopped");
        m_components.out.push(stopped{});
    }
}

time_point dispatcher::nextTick() const
{
    auto next = m_components.clock.now() + maxTickInterval;
    next = std::min({next, m_components.follow.nextTick(), m_components.members.nextTick(), m_components.shares.nextTick(), m_endpointMonitor.nextTick()});
    next = std::min(next, m_components.pools.nextRun());
    next = std::min(next, m_components.timers.next().value_or(next));
    next = std::min(next, m_components.cancels.nextTick().value_or(next));
    return std::min(next, m_orders.nextTick().value_or(next));
}

bool dispatcher::ready() const
{
    return m_components.machine.stage() == vm_stage::Serving;
}

} // namespace plantainpoint
