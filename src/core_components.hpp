// Tables and modules that the request handlers share.
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
    core_components(vm_settings initialSettings, const clock_source &clockSource, const wall_clock_source &wallClockSource);

    const incarnation_id &self() const { return settings.self; }
    // Sends a message to a VM, whose address is looked up at each send. A message to a VM without a known address is dropped;
    // its sender repeats it.
    void sendPeer(const vm_name &to, peer_body body);
    // Sends a message to the VM that schedules the pool, which may be this one.
    void sendToScheduler(const pool_id &pool, const peer_body &body);
    // Returns whether the VM is dead. A VM that leaves gracefully finishes its requests after it was dropped from the epoch, and is not dead
    // while its heartbeats arrive.
    bool isDead(const incarnation_id &id) const;
    void logMessage(severity level, log_component component, std::string text, const request_label *label = nullptr);
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
    bool schedulerDirty = false; // The scheduler has to run before the end of this tick.
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
