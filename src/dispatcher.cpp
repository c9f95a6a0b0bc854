#include "dispatcher.hpp"

#include <algorithm>

namespace plantainpoint {

dispatcher::dispatcher(core_components &components)
    : m_components(components)
    , m_finalizer(components)
    , m_plain(components)
    , m_model(components, m_finalizer)
    , m_lookup(components, m_finalizer, m_plain)
    , m_booking(components, m_finalizer, m_plain)
    , m_admission(components, m_finalizer, m_model, m_lookup, m_booking)
    , m_endpointMonitor(components)
    , m_orders(components)
{
}

void dispatcher::handle(input &&message)
{
    const bool isToken = std::holds_alternative<decoded_token>(message);
    std::visit([this](auto &&body) { on(std::forward<decltype(body)>(body)); }, std::move(message));
    if (!isToken) {
        runModules();
    }
    runScheduler();
}

void dispatcher::tick()
{
    runTimers();
    runModules();
    m_components.schedulerDirty = m_components.schedulerDirty || m_components.pools.nextRun() <= m_components.clock.now();
    runScheduler();
    advanceShutdown();
}

void dispatcher::on(caller_request &&message)
{
    m_admission.onRequest(std::move(message));
}

void dispatcher::on(const caller_disconnected &message)
{
    auto *const entry = m_components.requests.findCaller(message.caller);
    if (entry == nullptr) {
        return;
    }
    if (entry->kind == route_kind::Booking && entry->machine.stage() != request_stage::AwaitingShare) {
        m_booking.onCallerDisconnected(*entry);
        return;
    }
    giveUp(*entry);
    m_finalizer.forget(*entry, "the caller disconnected");
}

void dispatcher::giveUp(request &entry)
{
    if (entry.machine.stage() == request_stage::AwaitingShare) {
        m_admission.stopWaiting(entry);
    } else if (entry.model) {
        m_model.giveUp(entry);
    } else if (entry.kind == route_kind::Lookup) {
        m_lookup.giveUp(entry);
    }
}

void dispatcher::on(prefill_done &&message)
{
    m_model.onPrefillDone(std::move(message));
}

void dispatcher::on(decoded_token &&message)
{
    m_model.onToken(std::move(message));
}

void dispatcher::on(decode_done &&message)
{
    m_model.onDecodeDone(std::move(message));
}

void dispatcher::on(plain_response &&message)
{
    auto *const entry = m_components.requests.find(message.attempt.request);
    if (entry == nullptr) {
        m_components.metrics.droppedMessage();
    } else if (entry->kind == route_kind::Lookup) {
        m_lookup.onResponse(*entry, std::move(message));
    } else if (entry->kind == route_kind::Booking) {
        m_booking.onResponse(*entry, std::move(message));
    }
}

void dispatcher::on(const attempt_failed &message)
{
    auto *const entry = m_components.requests.find(message.attempt.request);
    if (entry == nullptr) {
        m_components.metrics.droppedMessage();
    } else if (entry->model) {
        m_model.onFailed(*entry, message);
    } else if (entry->kind == route_kind::Lookup) {
        m_lookup.onFailed(*entry, message);
    } else {
        m_booking.onFailed(*entry, message);
    }
}

void dispatcher::on(const load_report &message)
{
    m_components.cancels.onLoad(message);
    m_endpointMonitor.onLoad(message);
}

void dispatcher::on(const cache_events &message)
{
    m_endpointMonitor.onCacheEvents(message);
}

void dispatcher::on(const order_answer &message)
{
    m_orders.onAnswer(message);
}

void dispatcher::on(const endpoint_state_answer &message)
{
    m_orders.onState(message);
}

void dispatcher::on(const log_read &message)
{
    apply(m_components.follow.onRead(message, m_components.out));
}

void dispatcher::on(const log_read_failed &message)
{
    apply(m_components.follow.onReadFailed(message, m_components.out));
}

void dispatcher::on(const append_answer &message)
{
    apply(m_components.follow.onAppendAnswer(message, m_components.out));
}

void dispatcher::on(const vm_list &message)
{
    apply(m_components.members.onVmList(message));
}

void dispatcher::on(const peer_received &message)
{
    std::visit([&](const auto &body) { onPeer(message.message.from, body); }, message.message.body);
}

void dispatcher::on(const shutdown_requested & /*message*/)
{
    if (m_components.machine.apply(vm_event::shutdown_started{})) {
        m_shutdownRequestedAt = m_components.clock.now();
        m_components.audit(audit_kind::VmLeaving, m_components.self().vm.value, {});
        m_components.logMessage(
            severity::Info, log_component::Core, "shutdown requested; " + std::to_string(m_components.requests.size()) + " requests are open");
    }
}

void dispatcher::onPeer(const incarnation_id &from, const heartbeat &message)
{
    apply(m_components.members.onHeartbeat(from, message));
    m_components.fresh.onHeartbeat(from, message, m_components.log.applied());
    m_components.shares.onEpochConfirmed(from, message.epoch, m_components.out);
}

void dispatcher::onPeer(const incarnation_id &from, const log_relay &message)
{
    apply(m_components.follow.onPeer(from, message, m_components.out));
    m_components.fresh.onRelayedProof(log_head_proof{m_components.clock.now() - message.proofAge, message.head}, m_components.log.applied());
}

template<class Message>
requires requires(log_follower &follower, const incarnation_id &id, const Message &message, outbox &out)
{
    follower.onPeer(id, message, out);
}
void dispatcher::onPeer(const incarnation_id &from, const Message &message)
{
    apply(m_components.follow.onPeer(from, message, m_components.out));
}

template<class Message>
requires requires(share_table &shares, const incarnation_id &id, const Message &message, outbox &out)
{
    shares.onPeer(id, message, out);
}
void dispatcher::onPeer(const incarnation_id &from, const Message &message)
{
    m_components.shares.onPeer(from, message, m_components.out);
}

void dispatcher::onPeer(const incarnation_id &from, const place_request &message)
{
    // A request that this VM does not own is dropped: the sender repeats it until both VMs agree on the scheduler.
    if (m_components.pools.owns(message.pool)) {
        m_components.pools.enqueue(from, message);
        m_components.schedulerDirty = true;
    }
}

void dispatcher::onPeer(const incarnation_id & /*from*/, const placement &message)
{
    m_model.onPlacement(message);
}

void dispatcher::onPeer(const incarnation_id & /*from*/, const placement_refusal &message)
{
    m_model.onRefusal(message);
}

void dispatcher::onPeer(const incarnation_id & /*from*/, const placement_progress &message)
{
    m_components.pools.onProgress(message);
    m_components.schedulerDirty = true;
}

void dispatcher::onPeer(const incarnation_id & /*from*/, const placement_done &message)
{
    m_components.pools.onDone(message);
    m_components.schedulerDirty = true;
}

void dispatcher::onPeer(const incarnation_id &from, const ledger_sync &message)
{
    if (!m_components.pools.owns(message.pool)) {
        // The sender learned of the change of the scheduler before this VM did.
        m_pendingSyncs[{message.pool, from}] = {m_components.clock.now(), message};
        return;
    }
    m_components.pools.onSync(from, message);
    m_components.schedulerDirty = true;
}

} // namespace plantainpoint
