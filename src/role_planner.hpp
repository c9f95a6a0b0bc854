// Keeps the pools of a model service in proportion by ordering endpoints to change between prefill and decode.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "endpoint_directory.hpp"
#include "fleet_view.hpp"
#include "plantainpoint/relay.hpp"
#include "route_table.hpp"

namespace plantainpoint {

// Plans role changes. Only one VM sends orders at a time: the one that comes first among those that are heard. Each order is first
// appended to the order log, and its offset is the fencing number. A VM that finds another VM's record at the end of the log waits until
// that VM's lease has expired.
class role_planner
{
public:
    struct settings {
        double prefillShare = 0; // Fraction of a service's endpoints. With 0, roles are not changed.
        duration lease = std::chrono::seconds{3}; // Orders of two VMs within this time could contradict each other.
    };

    role_planner(vm_name self, settings plannerSettings);

    // Starts the next step when one is due.
    void tick(const route_table &routes, endpoint_directory &endpoints, const fleet_view &fleet, time_point now, std::vector<relay_command> &out);
    // Returns the endpoints that this VM has ordered and that have not changed yet. Only the VM that sent an order reports it to the others.
    std::vector<endpoint_name> ordered(const endpoint_directory &endpoints, time_point now) const;

    void on(const order_log_read &read, time_point now, std::vector<relay_command> &out);
    void on(const order_appended &appended, endpoint_directory &endpoints, time_point now, std::vector<relay_command> &out);
    void on(const role_order_answered &answer, endpoint_directory &endpoints, time_point now, std::vector<relay_command> &out);

private:
    enum class step : std::uint8_t {
        Idle,
        Reading,
        Appending,
        Ordering,
    };

    struct plan {
        endpoint_name endpoint;
        std::string address;
        endpoint_role role = endpoint_role::Decode;
    };

    std::optional<plan> planNextChange(const route_table &routes, endpoint_directory &endpoints, time_point now) const;
    std::optional<plan> planChangeOf(const service_name &service, endpoint_directory &endpoints, time_point now) const;
    bool isLeader(const fleet_view &fleet, time_point now);
    bool isSettled(const endpoint_directory &endpoints, time_point now);
    void pause(time_point now, duration time);

    vm_name m_self;
    settings m_settings;
    step m_step = step::Idle;
    std::optional<plan> m_plan;
    std::optional<endpoint_name> m_orderedEndpoint;
    std::optional<time_point> m_leaderSince;
    std::size_t m_endpointCount = 0; // Number of known endpoints.
    time_point m_endpointCountSince{};
    time_point m_stepStartedAt{};
    time_point m_pausedUntil{};
    std::uint64_t m_otherHolderEnd = 0; // End of the log after another VM's record.
    std::optional<time_point> m_otherHolderSince; // Time at which this VM first saw that record.
};

} // namespace plantainpoint
