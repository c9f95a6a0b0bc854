// reactions of the dispatcher to changes of the log and of the fleet
#include <algorithm>

#include "dispatcher.hpp"

namespace plantainpoint {

namespace {

// VMs learn of a change of the scheduler within about this time of each other; an older sync may list attempts that have ended
constexpr duration earlySyncLifetime = std::chrono::seconds(1);

} // namespace

void dispatcher::apply(const log_follower_events &events)
{
    if (events.proof) {
        m_components.fresh.onOwnProof(*events.proof);
    }
    if (events.readFailed) {
        m_components.fresh.onReadFailed();
    }
    bool services = events.snapshotInstalled;
    bool epoch = events.snapshotInstalled;
    bool orders = events.snapshotInstalled;
    for (const auto &change : events.changes) {
        services = services || !change.services.empty();
        epoch = epoch || change.epoch;
        orders = orders || !change.orders.empty();
    }
    if (epoch) {
        epochChanged();
    }
    if (services) {
        configurationChanged();
    }
    if (orders) {
        m_orders.refresh();
    }
    for (const auto &settled : events.settled) {
        m_booking.onSettled(settled);
    }
}

void dispatcher::apply(membership_events &&events)
{
    if (events.proposal) {
        m_components.follow.append(std::move(*events.proposal), m_components.out);
    }
    if (events.liveChanged) {
        liveChanged();
    }
}

void dispatcher::configurationChanged()
{
    m_components.directory.onConfiguration(m_components.log.config());
    m_components.shares.onConfiguration(m_components.log.config(), m_components.out);
    withdrawKeys();
    liveChanged();
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

void dispatcher::epochChanged()
{
    const auto &epoch = m_components.log.epoch();
    apply(m_components.members.onEpoch(epoch));
    m_components.fresh.onEpoch(epoch);
    m_components.shares.onEpoch(epoch, m_components.out);
    // a leaving VM is dropped too, and finishes its requests under its present incarnation
    if (m_components.members.selfDropped() && m_components.machine.stage() != vm_stage::Leaving) {
        takeNewIncarnation();
    }
    liveChanged();
}

void dispatcher::takeNewIncarnation()
{
    ++m_components.settings.self.number;
    const auto &self = m_components.self();
    m_components.members.setSelf(self);
    m_components.follow.setSelf(self);
    m_components.fresh.setSelf(self);
    m_components.shares.setSelf(self);
    m_components.machine.apply(vm_event::dropped{});
    m_components.logMessage(severity::Warning, log_component::Member, "dropped from the epoch; continuing as " + toString(self));
    m_model.onNewIncarnation();
}

void dispatcher::liveChanged()
{
    const auto live = m_components.members.liveVms();
    std::vector<epoch_member> neighbours;
    std::vector<incarnation_id> ids;
    for (const auto &member : live) {
        ids.push_back(member.id);
        m_known.insert(member.id);
        if (member.dataCentre == m_components.settings.dataCentre) {
            neighbours.push_back(member);
        }
    }
    m_components.follow.setDataCentreMembers(std::move(neighbours));
    for (const auto &pool : m_components.directory.onMembersChanged(m_components.members)) {
        const auto &entry = *m_components.directory.find(pool);
        if (entry.owner && entry.owner->id == m_components.self()) {
            setPool(entry);
            m_components.pools.takeOver(pool, ids);
            applyEarlySyncs(pool);
        } else {
            m_components.pools.removePool(pool);
        }
        m_model.onSchedulerChanged(pool);
    }
    m_watch.refresh();
    m_orders.refresh();
    forgetDeadVms();
}

void dispatcher::applyEarlySyncs(const pool_id &pool)
{
    const auto now = m_components.clock.now();
    std::erase_if(m_earlySyncs, [&](const auto &item) {
        const auto &[arrivedAt, message] = item.second;
        const bool isYoung = now - arrivedAt < earlySyncLifetime;
        if (isYoung && item.first.first == pool) {
            m_components.pools.onSync(item.first.second, message);
        }
        return !isYoung || item.first.first == pool;
    });
}

void dispatcher::forgetDeadVms()
{
    std::erase_if(m_known, [&](const incarnation_id &id) {
        if (id == m_components.self() || !m_components.isDead(id)) {
            return false;
        }
        m_components.pools.onVmRemoved(id);
        m_components.schedulerDirty = true;
        return true;
    });
}

void dispatcher::withdrawKeys()
{
    for (const auto sequence : m_components.requests.sequences()) {
        auto *const entry = m_components.requests.find(sequence);
        if (entry != nullptr && !stillMayRun(*entry)) {
            withdraw(*entry);
        }
    }
}

bool dispatcher::stillMayRun(const request &entry) const
{
    if (entry.access == route_access::Open || !entry.call.key) {
        return true;
    }
    const auto &config = m_components.log.config();
    const auto key = config.findKey(*entry.call.key);
    if (!key || key->account != entry.account) {
        return false;
    }
    // the requests of a removed service are left to finish
    const auto service = config.services().find(entry.service);
    return service == config.services().end() || config.mayCall(entry.account, service->second);
}

void dispatcher::withdraw(request &entry)
{
    if (entry.kind == route_kind::Booking && entry.machine.stage() != request_stage::AwaitingShare) {
        m_booking.onKeyWithdrawn(entry);
        return;
    }
    giveUp(entry);
    m_finalizer.refuse(entry, failure::KeyWithdrawn, "the key has been withdrawn");
}

} // namespace plantainpoint
