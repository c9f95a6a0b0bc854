// State of the simulated VMs and endpoints, and the constants of the simulation.
#pragma once

#include <algorithm>
#include <ctime>

#include <nlohmann/json.hpp>

#include "world.hpp"

namespace plantainpoint::fuzz {

inline constexpr duration tokenInterval = milliseconds(10);
inline constexpr duration kvEvictionDelay = milliseconds(800);
inline constexpr duration loadReportDelay = milliseconds(200);
inline constexpr duration vmListDelay = seconds(2);
inline constexpr duration cancelRetention = seconds(60);
inline constexpr int decodeSlots = 6;
inline constexpr duration maxLogReadTime = milliseconds(10); // Longest read of the log without an added delay.
// One message out of this number is encoded to measure its size.
inline constexpr std::uint64_t sizeSampleInterval = 16;

// Returns the IP:PORT of a VM (group 0) or an endpoint (group 1).
inline std::string addressOf(int group, int number)
{
    return "10." + std::to_string(group) + "." + std::to_string(number / 256) + "." + std::to_string(number % 256) + ":1";
}

inline std::chrono::nanoseconds processorTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

struct world::simulated_vm {
    int number = 0;
    vm_name name;
    data_centre_name dataCentre;
    int dataCentreNumber = 0;
    std::unique_ptr<skewed_clock> clock;
    std::unique_ptr<tested_core> core;
    std::uint64_t startNumber = 0; // Counts the starts of the VM. Messages for an earlier start are dropped.
    std::uint64_t firstIncarnation = 0;
    bool alive = false;
    bool stopping = false;
    time_point pausedUntil{};
    std::vector<input> backlog;
    time_point tickAt = time_point::max();
    std::set<attempt_label> closedAttempts;
    bool listed = false; // The platform's VM list contains the VM. The list lags behind by vmListDelay.

    std::string address() const { return addressOf(0, number); }
};

struct world::simulated_endpoint {
    struct running_attempt {
        std::uint64_t startNumber = 0;
        int vmNumber = 0;
        bool held = false; // A KV result waits here for its import by a decode endpoint.
        std::string kvId;
        std::string prompt;
        std::int32_t tokens = 0;
    };

    endpoint description;
    bool alive = true;
    time_point prefillsDoneAt{}; // Time at which the queued prefills are done.
    std::map<attempt_label, running_attempt> running;
    std::map<attempt_label, time_point> cancelled;
    load_report report;
    std::uint64_t nextKv = 1;
    log_offset fencing = 0;
    order_record order;
};

} // namespace plantainpoint::fuzz
