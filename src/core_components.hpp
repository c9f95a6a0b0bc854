// tables and modules that the paths of a request share
#pragma once

#include <string>

#include "cancel_table.hpp"
#include "core_metrics.hpp"
#include "decision_log.hpp"
#include "freshness.hpp"
#include "log_follower.hpp"
#include "log_state.hpp"
#include "membership.hpp"
#include "plantainpoint/vm_core.hpp"
#include "pool_directory.hpp"
#include "request_table.hpp"
#include "retry_budget.hpp"
#include "scheduler.hpp"
#include "share_table.hpp"
#include "timer_queue.hpp"
#include "vm_machine.hpp"

namespace plantainpoint {

struct core_components {
    core_components(vm_settings given, const clock_source &time, const wall_clock_source &wallTime);

    const incarnation_id &self() const { return settings.self; }
    // looks the address up at each send; without one the message is dropped, and its sender's repeat covers that
    void sendPeer(const vm_name &to, peer_body body);
    // to the VM that places for the pool, which may be this one
    void sendToScheduler(const pool_id &pool, const peer_body &body);
    // a VM that leaves gracefully finishes its requests after the epoch has dropped it, as long as it is heard
    bool isDead(const incarnation_id &id) const;
    void logMessage(severity level, log_component from, std::string text, const request_label *label = nullptr);
    void audit(audit_kind kind, std::string subject, std::string detail);

    vm_settings settings;
    const clock_source &clock;
    const wall_clock_source &wallClock;
    outbox out;
    log_state log;
    log_follower follow;
    membership members;
    freshness fresh;
    share_table shares;
    scheduler pools;
    bool schedulerDirty = false; // the scheduler has to run before the end of this tick
    pool_directory directory;
    request_table requests;
    timer_queue timers;
    decision_log decisions;
    core_metrics metrics;
    cancel_table cancels;
    retry_budget retries;
    vm_machine machine;
};

} // namespace plantainpoint
