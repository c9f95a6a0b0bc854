// Reactions of the dispatcher to changes of the log and of the fleet.
#include <algorithm>

#include "dispatcher.hpp"

namespace plantainpoint {

namespace {

// VMs learn of a change of the scheduler within about this time of each other. An older sync may list attempts that have ended.
constexpr duration pendingSyncLifetime = std::chrono::seconds(1);

} // namespace

void dispatcher::apply(const log_follower_events &events)
{
    if (events.proof) {
        m_components.fresh.onOwnProof(*events.proof);
    }
    if (events.readFailed) {
        m_components.fresh.onReadFailed();
    }
    bool hasServiceChange = events.snapshotInstalled;
    bool hasEpochChange = events.snapshotInstalled;
    bool hasOrderChange = events.snapshotInstalled;
    for (const auto &change : events.changes) {
        hasServiceChange = hasServiceChange || !change.services.empty();
        hasEpochChange = hasEpochChange || change.epoch;
        hasOrderChange = hasOrderChange || !change.orders.empty();
    }
    if (hasEpochChange) {
        onEpochChanged();
    }
    if (hasServiceChange) {
        onConfigurationChanged();
    }
    if (hasOrderChange) {
        m_orders.refresh();
    }
    for (const auto &settledAppend : events.settled) {
        m_booking.onSettled(settledAppend);
    }
}

void dispatcher::apply(membership_events &&events)
{
    if (events.proposal) {
        m_components.follow.append(std::move(*events.proposal), m_components.out);
    }
    if (events.liveChanged) {
        onLiveVmsChanged();
    }
}

void dispatcher::onConfigurationChanged()
{
    m_components.directory.onConfiguration(m_components.log.config());
    m_components.shares.onConfiguration(m_components.log.config(), m_components.out);
    endUnauthorizedRequests();
    onLiveVmsChanged();
    for (const auto &[pool, entry] : m_components.directory.pools()) {
        if (entry.owner && entry.owner->id == m_components.self()) {
            setPool(entry);
        }
    }
}

void dispatcher::setPool(const pool_entry &entry)
{
    std::vector<endpoint> ready;
    std::copy_if(entry.endpoints.begin(), entry.endpoints.end(), std::back_inserter(ready), [](const endpoint &worker) {
        return worker.condition == endpoint_condition::Ready;
    });
    m_components.pools.setPool(entry.settings, ready);
    m_components.schedulerDirty = true;
}

void dispatcher::onEpochChanged()
{
    const auto &epoch = m_components.log.epoch();
    apply(m_components.members.onEpoch(epoch));
    m_components.fresh.onEpoch(epoch);
    m_components.shares.onEpoch(epoch, m_components.out);
    // A leaving VM is dropped as well. It finishes its requests under its present incarnation.
    if (m_components.members.selfDropped() && m_components.machine.stage() != vm_stage::Leaving) {
        adoptNewIncarnation();
    }
    onLiveVmsChanged();
}

void dispatcher::adoptNewIncarnation()
{
    ++m_components.settings.self.number;
    const auto &self = m_components.self();
    m_components.members.setSelf(self);
    m_components.follow.setSelf(self);
    m_components.fresh.setSelf(self);
    m_components.shares.setSelf(self);
    m_components.machine.apply(vm_event::dropped{});
    m_components.logMessage(severity::Warning, log_component::Member, "this VM was dropped from the epoch; continuing as " + toString(self));
    m_model.onNewIncarnation();
}

void dispatcher::onLiveVmsChanged()
{
    const auto live = m_components.members.liveVms();
    std::vector<epoch_member> sameDataCentreVms;
    std::vector<incarnation_id> liveIds;
    for (const auto &member : live) {
        liveIds.push_back(member.id);
        m_knownVms.insert(member.id);
        if (member.dataCentre == m_components.settings.dataCentre) {
            sameDataCentreVms.push_back(member);
        }
    }
    m_components.follow.setDataCentreMembers(std::move(sameDataCentreVms));
    for (const auto &pool : m_components.directory.onMembersChanged(m_components.members)) {
        const auto &entry = *m_components.directory.find(pool);
        if (entry.owner && entry.owner->id == m_components.self()) {
            setPool(entry);
            m_components.pools.takeOver(pool, liveIds);
            applyPendingSyncs(pool);
        } else {
            m_components.pools.removePool(pool);
        }
        m_model.onSchedulerChanged(pool);
    }
    m_endpointMonitor.refresh();
    m_orders.refresh();
    removeDeadVms();
}

void dispatcher::applyPendingSyncs(const pool_id &pool)
{
    const auto now = m_components.clock.now();
    std::erase_if(m_pendingSyncs, [&](const auto &item) {
        const auto &[arrivedAt, message] = item.second;
        const bool isRecent = now - arrivedAt < pendingSyncLifetime;
        if (isRecent && item.first.first == pool) {
            m_components.pools.onSync(item.first.second, message);
        }
        return !isRecent || item.first.first == pool;
    });
}

void dispatcher::removeDeadVms()
{
    std::erase_if(m_knownVms, [&](const incarnation_id &id) {
        if (id == m_components.self() || !m_components.isDead(id)) {
            return false;
        }
        m_components.pools.onVmRemoved(id);
        m_components.schedulerDirty = true;
        return true;
    });
}

void dispatcher::endUnauthorizedRequests()
{
    for (const auto sequence : m_components.requests.sequences()) {
        auto *const entry = m_components.requests.find(sequence);
        if (entry != nullptr && !mayContinue(*entry)) {
            onKeyWithdrawn(*entry);
        }
    }
}

bool dispatcher::mayContinue(const request &entry) const
{
    if (entry.access == route_access::Open || !entry.call.key) {
        return true;
    }
    const auto &config = m_components.log.config();
    const auto key = config.findKey(*entry.call.key);
    if (!key || key->account != entry.account) {
        return false;
    }
    // Requests of a removed service may finish.
    const auto service = config.services().find(entry.service);
    return service == config.services().end() || config.mayCall(entry.account, service->second);
}

void dispatcher::onKeyWithdrawn(request &entry)
{
    if (entry.kind == route_kind::Booking && entry.machine.stage() != request_stage::AwaitingShare) {
        m_booking.onKeyWithdrawn(entry);
        return;
    }
    giveUp(entry);
    m_finalizer.refuse(entry, failure::KeyWithdrawn, "the key has been withdrawn");
}

} // namespace plantainpoint
