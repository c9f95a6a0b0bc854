// orders to endpoints: one giver at a time, in the order of the log, and none that is late
#include <boost/test/unit_test.hpp>

#include "relay_fixture.hpp"
#include "role_planner.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

struct planner_fixture {
    planner_fixture()
        : routes(std::make_shared<const relay_config>(sampleRelayConfig()))
        , fleet({{"vm-1"}, 1}, "127.0.0.1:7000")
        , planner({"vm-1"}, {.prefillShare = 0.3, .lease = std::chrono::seconds{3}})
    {
        announce(3, 3);
    }

    void announce(int prefills, int decodes)
    {
        directory_read read{.whole = true, .position = 1};
        for (int i = 0; i < prefills; ++i) {
            const auto each = endpointNamed("pre-" + std::to_string(i), "llm", endpoint_role::Prefill);
            read.changed.push_back({each.name, each});
        }
        for (int i = 0; i < decodes; ++i) {
            const auto each = endpointNamed("dec-" + std::to_string(i), "llm", endpoint_role::Decode);
            read.changed.push_back({each.name, each});
        }
        endpoints.onRead(read, now);
    }

    // lets time pass with the ticks of a VM
    void run(duration time)
    {
        for (const auto until = now + time; now < until; now += milliseconds{100}) {
            planner.tick(routes, endpoints, fleet, now, out);
        }
    }
    template<class Command>
    const Command *last() const
    {
        for (auto at = out.rbegin(); at != out.rend(); ++at) {
            if (const auto *const found = std::get_if<Command>(&*at)) {
                return found;
            }
        }
        return nullptr;
    }
    template<class Command>
    std::size_t count() const
    {
        return static_cast<std::size_t>(std::count_if(out.begin(), out.end(), [](const auto &each) { return std::holds_alternative<Command>(each); }));
    }
    void hear(const std::string &vm) { fleet.onFleetHeartbeat({.from = {{vm}, 1}, .sequence = ++sequence, .address = "127.0.0.1:7001"}, now); }

    time_point now{std::chrono::hours{1}};
    route_table routes;
    endpoint_directory endpoints;
    fleet_view fleet;
    role_planner planner;
    std::vector<relay_command> out;
    std::uint64_t sequence = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(role_planner_orders, planner_fixture)

// guards against prefill endpoints that idle while decode slots are short, and against an order without a place in the log
BOOST_AUTO_TEST_CASE(surplusPrefillBecomesDecode)
{
    run(std::chrono::seconds{3});
    BOOST_REQUIRE(last<read_order_log>() != nullptr);
    planner.on(order_log_read{5, std::nullopt}, now, out);
    BOOST_REQUIRE(last<append_order>() != nullptr);
    BOOST_TEST(last<append_order>()->end == 5);
    planner.on(order_appended{5}, endpoints, now, out);
    BOOST_REQUIRE(last<send_role_order>() != nullptr);
    BOOST_TEST((last<send_role_order>()->role == endpoint_role::Decode));
    BOOST_TEST(last<send_role_order>()->fencing == 5);
    const auto ordered = last<send_role_order>()->endpoint;
    BOOST_TEST(!endpoints.find(ordered)->acceptsWork(now)); // no work until it has changed
    planner.on(role_order_answered{ordered, 202, false}, endpoints, now, out);
    run(std::chrono::seconds{4});
    BOOST_TEST(count<send_role_order>() == 1); // one at a time
}

// guards against two VMs that give orders
BOOST_AUTO_TEST_CASE(onlyTheLowestNameOrders)
{
    hear("vm-0");
    for (int i = 0; i < 40; ++i) {
        hear("vm-0");
        run(milliseconds{100});
    }
    BOOST_TEST(out.empty());
    run(std::chrono::seconds{4}); // vm-0 is silent
    BOOST_TEST(count<read_order_log>() > 0);
}

// guards against an order within the lease of the VM that ordered before
BOOST_AUTO_TEST_CASE(anotherVmsOrderIsWaitedFor)
{
    run(std::chrono::seconds{3});
    planner.on(order_log_read{6, vm_name{"vm-0"}}, now, out);
    BOOST_TEST(count<append_order>() == 0);
    const auto before = count<read_order_log>();
    run(std::chrono::seconds{3});
    BOOST_TEST(count<read_order_log>() == before);
    run(std::chrono::seconds{2});
    BOOST_REQUIRE(count<read_order_log>() > before);
    planner.on(order_log_read{6, vm_name{"vm-0"}}, now, out);
    BOOST_TEST(count<append_order>() == 1);
}

// guards against an order that is sent after its VM was suspended
BOOST_AUTO_TEST_CASE(lateAppendsAreNotSent)
{
    run(std::chrono::seconds{3});
    planner.on(order_log_read{5, std::nullopt}, now, out);
    now += std::chrono::seconds{1};
    planner.on(order_appended{5}, endpoints, now, out);
    BOOST_TEST(count<send_role_order>() == 0);
}

// guards against an order after another VM was first in the log
BOOST_AUTO_TEST_CASE(lostRaceSendsNothing)
{
    run(std::chrono::seconds{3});
    planner.on(order_log_read{5, std::nullopt}, now, out);
    planner.on(order_appended{std::nullopt}, endpoints, now, out);
    BOOST_TEST(count<send_role_order>() == 0);
}

// guards against orders while endpoints are still announcing themselves
BOOST_AUTO_TEST_CASE(unsettledDirectoryIsLeftAlone)
{
    for (int i = 4; i < 30; ++i) {
        announce(3, i);
        run(milliseconds{1000});
    }
    BOOST_TEST(count<read_order_log>() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
