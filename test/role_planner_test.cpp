// Tests role orders to endpoints: one VM orders at a time, orders follow the order log, and no order is sent late.
#include <boost/test/unit_test.hpp>

#include "relay_fixture.hpp"
#include "role_planner.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

struct planner_fixture {
    planner_fixture()
        : routes(std::make_shared<const relay_config>(sampleRelayConfig()))
        , fleet({{"vm-1"}, "127.0.0.1:7000", {"dc-a"}, 0}, 1)
        , planner({"vm-1"}, {.prefillShare = 0.3, .lease = std::chrono::seconds{3}})
    {
        announce(3, 3);
    }

    void announce(int prefillCount, int decodeCount)
    {
        directory_read read{.whole = true, .position = 1};
        for (int i = 0; i < prefillCount; ++i) {
            const auto each = endpointNamed("pre-" + std::to_string(i), "llm", endpoint_role::Prefill);
            read.changed.push_back({each.name, each});
        }
        for (int i = 0; i < decodeCount; ++i) {
            const auto each = endpointNamed("dec-" + std::to_string(i), "llm", endpoint_role::Decode);
            read.changed.push_back({each.name, each});
        }
        endpoints.onRead(read, now);
    }

    // Advances the time and ticks the planner every 100 ms.
    void runFor(duration time)
    {
        for (const auto endTime = now + time; now < endTime; now += milliseconds{100}) {
            planner.tick(routes, endpoints, fleet, now, commands);
        }
    }
    template<class Command>
    const Command *lastCommand() const
    {
        for (auto it = commands.rbegin(); it != commands.rend(); ++it) {
            if (const auto *const command = std::get_if<Command>(&*it)) {
                return command;
            }
        }
        return nullptr;
    }
    template<class Command>
    std::size_t countCommands() const
    {
        return static_cast<std::size_t>(
            std::count_if(commands.begin(), commands.end(), [](const auto &each) { return std::holds_alternative<Command>(each); }));
    }
    void receiveHeartbeat(const std::string &vm)
    {
        fleet.on(fleet_heartbeat{.from = {{vm}, 1}, .sequence = ++sequence, .address = "127.0.0.1:7001", .dataCentre = {"dc-a"}, .capacity = 1}, now);
    }

    time_point now{std::chrono::hours{1}};
    route_table routes;
    endpoint_directory endpoints;
    fleet_view fleet;
    role_planner planner;
    std::vector<relay_command> commands;
    std::uint64_t sequence = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(role_planner_orders, planner_fixture)

// Guards against prefill endpoints that stay idle while decode slots are short, and against an order that is not in the order log.
BOOST_AUTO_TEST_CASE(surplusPrefillBecomesDecode)
{
    runFor(std::chrono::seconds{3});
    BOOST_REQUIRE(lastCommand<read_order_log>() != nullptr);
    planner.on(order_log_read{5, std::nullopt}, now, commands);
    BOOST_REQUIRE(lastCommand<append_order>() != nullptr);
    BOOST_TEST(lastCommand<append_order>()->end == 5);
    planner.on(order_appended{5}, endpoints, now, commands);
    BOOST_REQUIRE(lastCommand<send_role_order>() != nullptr);
    BOOST_TEST((lastCommand<send_role_order>()->role == endpoint_role::Decode));
    BOOST_TEST(lastCommand<send_role_order>()->fencing == 5);
    const auto ordered = lastCommand<send_role_order>()->endpoint;
    BOOST_TEST(!endpoints.find(ordered)->acceptsWork(now)); // The endpoint gets no work until its role has changed.
    planner.on(role_order_answered{ordered, 202, false}, endpoints, now, commands);
    runFor(std::chrono::seconds{4});
    BOOST_TEST(countCommands<send_role_order>() == 1); // Only one order is open at a time.
}

// Guards against two VMs that give orders at the same time.
BOOST_AUTO_TEST_CASE(onlyTheVmThatComesFirstOrders)
{
    receiveHeartbeat("vm-0");
    for (int i = 0; i < 40; ++i) {
        receiveHeartbeat("vm-0");
        runFor(milliseconds{100});
    }
    BOOST_TEST(commands.empty());
    runFor(std::chrono::seconds{4}); // No heartbeat of vm-0 arrives any more.
    BOOST_TEST(countCommands<read_order_log>() > 0);
}

// Guards against an order within the lease of the VM that gave the previous order.
BOOST_AUTO_TEST_CASE(leaseOfAnotherVmIsAwaited)
{
    runFor(std::chrono::seconds{3});
    planner.on(order_log_read{6, vm_name{"vm-0"}}, now, commands);
    BOOST_TEST(countCommands<append_order>() == 0);
    const auto readsBefore = countCommands<read_order_log>();
    runFor(std::chrono::seconds{3});
    BOOST_TEST(countCommands<read_order_log>() == readsBefore);
    runFor(std::chrono::seconds{2});
    BOOST_REQUIRE(countCommands<read_order_log>() > readsBefore);
    planner.on(order_log_read{6, vm_name{"vm-0"}}, now, commands);
    BOOST_TEST(countCommands<append_order>() == 1);
}

// Guards against an order within the lease of a VM whose order was lost with a part of the log.
BOOST_AUTO_TEST_CASE(leaseOfALostOrderIsAwaited)
{
    runFor(std::chrono::seconds{3});
    planner.on(order_log_read{6, std::nullopt, milliseconds{500}}, now, commands);
    BOOST_TEST(countCommands<append_order>() == 0);
    const auto readsBefore = countCommands<read_order_log>();
    runFor(std::chrono::seconds{3});
    BOOST_TEST(countCommands<read_order_log>() == readsBefore);
    runFor(std::chrono::seconds{1});
    BOOST_REQUIRE(countCommands<read_order_log>() > readsBefore);
    planner.on(order_log_read{6, std::nullopt, std::chrono::seconds{5}}, now, commands);
    BOOST_TEST(countCommands<append_order>() == 1);
}

// Guards against an order that is sent late because its VM was suspended between the append and the answer.
BOOST_AUTO_TEST_CASE(orderIsNotSentAfterALateAppend)
{
    runFor(std::chrono::seconds{3});
    planner.on(order_log_read{5, std::nullopt}, now, commands);
    now += std::chrono::seconds{1};
    planner.on(order_appended{5}, endpoints, now, commands);
    BOOST_TEST(countCommands<send_role_order>() == 0);
}

// Guards against an order that is sent although another VM appended to the order log first.
BOOST_AUTO_TEST_CASE(refusedAppendSendsNoOrder)
{
    runFor(std::chrono::seconds{3});
    planner.on(order_log_read{5, std::nullopt}, now, commands);
    planner.on(order_appended{std::nullopt}, endpoints, now, commands);
    BOOST_TEST(countCommands<send_role_order>() == 0);
}

// Guards against orders while endpoints are still announcing themselves.
BOOST_AUTO_TEST_CASE(noOrderIsGivenWhileTheDirectoryChanges)
{
    for (int i = 4; i < 30; ++i) {
        announce(3, i);
        runFor(milliseconds{1000});
    }
    BOOST_TEST(countCommands<read_order_log>() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
