// keeps the pools of a model service in proportion: orders endpoints to change between prefill and decode
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "endpoint_directory.hpp"
#include "fleet_view.hpp"
#include "plantainpoint/relay.hpp"
#include "route_table.hpp"

namespace plantainpoint {

// one VM orders at a time: the lowest name that is heard. each order first takes its place in the order log, whose offset is its fencing
// number; a VM that finds the last record there to be another's waits until that VM's lease has run out.
class role_planner
{
public:
    struct settings {
        double prefillShare = 0; // of the endpoints of a service; 0: roles are left as they are
        duration lease = std::chrono::seconds{3}; // two VMs that order within it would contradict each other
    };

    role_planner(vm_name self, settings given);

    // starts the next step when one is due
    void tick(const route_table &routes, endpoint_directory &endpoints, const fleet_view &fleet, time_point now, std::vector<relay_command> &out);
    // endpoints that this VM has ordered and that have not changed yet; only their giver tells the others
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

    std::optional<plan> wanted(const route_table &routes, endpoint_directory &endpoints, time_point now) const;
    std::optional<plan> wantedOf(const service_name &service, endpoint_directory &endpoints, time_point now) const;
    bool leads(const fleet_view &fleet, time_point now);
    bool settled(const endpoint_directory &endpoints, time_point now);
    void pause(time_point now, duration time);

    vm_name m_self;
    settings m_settings;
    step m_step = step::Idle;
    std::optional<plan> m_plan;
    std::optional<endpoint_name> m_ordered;
    std::optional<time_point> m_leadsSince;
    std::size_t m_count = 0; // endpoints known
    time_point m_countSince{};
    time_point m_stepAt{};
    time_point m_nextAt{};
    std::uint64_t m_foreignEnd = 0; // end of the log behind another VM's record
    std::optional<time_point> m_foreignSince; // when this VM first saw it
};

} // namespace plantainpoint
