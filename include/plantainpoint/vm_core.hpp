// The decision core of an entry VM.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/commands.hpp"
#include "plantainpoint/messages.hpp"

namespace plantainpoint {

struct vm_settings {
    incarnation_id self;
    data_centre_name dataCentre;
    region_name region;
    std::string peerAddress; // Address in the form IP:PORT.
    std::uint64_t seed = 1; // Seed of every random choice.
    std::int32_t maxOpenRequests = 4096;
};

// Wall clock for the audit trail and for the age of booking claims. It is passed in, so that the core does not read the system's wall clock.
class wall_clock_source
{
public:
    virtual ~wall_clock_source() = default;
    virtual wall_millis now() const = 0;
};

// Takes the decisions of one VM. The class is not thread-safe and performs no I/O.
class vm_core
{
public:
    vm_core(vm_settings settings, const clock_source &clock, const wall_clock_source &wallClock);
    ~vm_core();
    vm_core(const vm_core &) = delete;
    vm_core &operator=(const vm_core &) = delete;

    // Handles a message and runs the modules that it concerns.
    void handle(input message);

    // Runs every module that is due.
    void tick();

    // Returns the commands since the last call, in order.
    std::vector<command> take();

    // Returns when tick() has to run next, which is at most one heartbeat interval ahead.
    time_point nextTick() const;

    // Returns the incarnation in use, which changes when the VM is dropped from the epoch.
    const incarnation_id &self() const;

    // Returns whether callers may be accepted: the configuration is known and this VM is a member of the epoch.
    bool ready() const;

    // Returns the status for operators: "vm", "members", "configuration", "endpoints", "pools", "placers", "orders", "accounts", "requests" and "drains".
    nlohmann::json status() const;

    // Returns the audit trail, oldest event first.
    nlohmann::json audit() const;

    // Returns the decisions taken for a request, oldest first, or an empty array if the request is no longer recorded.
    nlohmann::json explain(const request_label &label) const;

    // Returns counters and distributions for the metrics page.
    nlohmann::json metrics() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace plantainpoint
