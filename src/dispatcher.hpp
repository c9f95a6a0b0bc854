// Passes each input to the modules that it concerns, and runs the modules that are due.
#pragma once

#include <map>
#include <set>
#include <utility>

#include "admission_handler.hpp"
#include "booking_handler.hpp"
#include "core_components.hpp"
#include "endpoint_monitor.hpp"
#include "lookup_handler.hpp"
#include "model_handler.hpp"
#include "order_sender.hpp"
#include "plain_dispatch.hpp"
#include "request_finalizer.hpp"

namespace plantainpoint {

class dispatcher
{
public:
    explicit dispatcher(core_components &components);

    void handle(input &&message);
    void tick();
    time_point nextTick() const;
    bool ready() const;

    const endpoint_monitor &endpointMonitor() const { return m_endpointMonitor; }
    const order_sender &orders() const { return m_orders; }

private:
    void on(caller_request &&message);
    void on(const caller_disconnected &message);
    void on(prefill_done &&message);
    void on(decoded_token &&message);
    void on(decode_done &&message);
    void on(plain_response &&message);
    void on(const attempt_failed &message);
    void on(const load_report &message);
    void on(const cache_events &message);
    void on(const order_answer &message);
    void on(const endpoint_state_answer &message);
    void on(const log_read &message);
    void on(const log_read_failed &message);
    void on(const append_answer &message);
    void on(const vm_list &message);
    void on(const peer_received &message);
    void on(const shutdown_requested &message);

    void onPeer(const incarnation_id &from, const heartbeat &message);
    void onPeer(const incarnation_id &from, const log_relay &message);
    void onPeer(const incarnation_id &from, const place_request &message);
    void onPeer(const incarnation_id &from, const placement &message);
    void onPeer(const incarnation_id &from, const placement_refusal &message);
    void onPeer(const incarnation_id &from, const placement_progress &message);
    void onPeer(const incarnation_id &from, const placement_done &message);
    void onPeer(const incarnation_id &from, const ledger_sync &message);
    // Passes a message of the log on: log_fetch, snapshot_fetch or snapshot_reply.
    template<class Message>
    requires requires(log_follower &follower, const incarnation_id &id, const Message &message, outbox &out) { follower.onPeer(id, message, out); }
    void onPeer(const incarnation_id &from, const Message &message);
    // Passes a message about limit shares on.
    template<class Message>
    requires requires(share_table &shares, const incarnation_id &id, const Message &message, outbox &out) { shares.onPeer(id, message, out); }
    void onPeer(const incarnation_id &from, const Message &message);

    void apply(const log_follower_events &events);
    void apply(membership_events &&events);
    void onConfigurationChanged();
    void onEpochChanged();
    void onLiveVmsChanged();
    void adoptNewIncarnation();
    void setPool(const pool_entry &entry);
    void applyPendingSyncs(const pool_id &pool);
    void removeDeadVms();
    void endUnauthorizedRequests();
    bool mayContinue(const request &entry) const;
    void onKeyWithdrawn(request &entry);
    void giveUp(request &entry);

    void runTimers();
    void onTimer(const timer &entry);
    void onDeadline(request &entry);
    void runModules();
    void runScheduler();
    void advanceShutdown();
    void updateReadiness();
    self_report selfReport() const;

    core_components &m_components;
    request_finalizer m_finalizer;
    plain_dispatch m_plain;
    model_handler m_model;
    lookup_handler m_lookup;
    booking_handler m_booking;
    admission_handler m_admission;
    endpoint_monitor m_endpointMonitor;
    order_sender m_orders;
    std::set<incarnation_id> m_knownVms; // Live VMs, and silent ones that are not known to be dead.
    // Ledger syncs for pools that this VM does not yet know to own, with their arrival times.
    std::map<std::pair<pool_id, incarnation_id>, std::pair<time_point, ledger_sync>> m_pendingSyncs;
    time_point m_nextVmListRead{};
    time_point m_nextClaimExpiry{};
    time_point m_shutdownRequestedAt{};
    bool m_sharesReturned = false;
};

} // namespace plantainpoint
