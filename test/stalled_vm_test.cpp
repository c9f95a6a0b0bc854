// Tests that times which pass while a VM stands still do not end connections whose callers have sent a request or have read their answer meanwhile.
#include <boost/test/unit_test.hpp>

#include <memory>
#include <thread>

#include "http_server.hpp"
#include "shell_support.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;
using namespace std::chrono_literals;

namespace {

constexpr auto idleTime = 400ms;
constexpr auto stallTime = 900ms;
// More connections than the reactor fetches events in one pass.
constexpr std::size_t callerCount = 300;

struct stalled_vm_fixture {
    stalled_vm_fixture()
    {
        server_limits limits;
        limits.idleTime = idleTime;
        limits.connectionsPerAccount = 1000;
        server = std::make_unique<http_server>(
            io, http_server_settings{limits, {}, request_handling::Opaque}, [this](input message) { onMessage(std::move(message)); }, quietLogger(), metrics);
        BOOST_REQUIRE(server->listen("127.0.0.1:0").ok());
    }

    // Answers every request at once.
    void onMessage(input message)
    {
        if (const auto *const request = std::get_if<caller_request>(&message)) {
            ++requests;
            lastCaller = request->caller;
            if (answers) {
                boost::asio::post(io, [this, caller = request->caller] { server->run(answer_plain{caller, {}, 200, {}, "whole"}); });
            }
        }
    }

    void connect()
    {
        for (std::size_t i = 0; i < callerCount; ++i) {
            callers.push_back(std::make_unique<raw_connection>(io, server->port()));
            callers.back()->send("GET /first HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        BOOST_REQUIRE(runUntil(io, [&] { return requests == callerCount; }));
        BOOST_REQUIRE(runUntil(io, [&] { return answered("whole") == callerCount; }));
    }

    std::size_t answered(std::string_view text)
    {
        std::size_t count = 0;
        for (auto &caller : callers) {
            count += caller->has(text) ? 1 : 0;
        }
        return count;
    }

    // Stands for a VM that gets no processor time: nothing runs in its event loop. Its timers expire before what arrives afterwards.
    static void stall() { std::this_thread::sleep_for(stallTime); }

    // Has the first bytes of each body arrive before the stall and the rest during it.
    void checkArrivingBodies(const std::string &rest)
    {
        const std::string start = "half";
        connect();
        for (auto &caller : callers) {
            caller->send("POST /second HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(start.size() + rest.size()) + "\r\n\r\n" + start);
        }
        io.restart();
        io.run_for(50ms);
        stall();
        for (auto &caller : callers) {
            caller->send(rest);
        }
        BOOST_TEST(runUntil(io, [&] { return requests == 2 * callerCount; }));
        BOOST_TEST(answered("HTTP/1.1 400 ") == 0U);
    }

    boost::asio::io_context io;
    shell_metrics metrics;
    std::unique_ptr<http_server> server;
    std::vector<std::unique_ptr<raw_connection>> callers;
    std::size_t requests = 0;
    caller_id lastCaller = 0;
    bool answers = true;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stalled_vm, stalled_vm_fixture)

// Guards against whole requests that are reset unread because the idle time of their connections passed while the VM stood still.
BOOST_AUTO_TEST_CASE(requestsThatWaitedUnreadAreAnswered)
{
    connect();
    stall();
    for (auto &caller : callers) {
        caller->send("GET /second HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    BOOST_TEST(runUntil(io, [&] { return requests == 2 * callerCount; }));
    BOOST_TEST(requests == 2 * callerCount);
    BOOST_TEST(metrics.connectionsCut == 0U);
}

// Guards against requests that are refused as incomplete although their rest arrived while the VM stood still.
BOOST_AUTO_TEST_CASE(requestsWhoseRestWaitedUnreadAreAnswered)
{
    checkArrivingBodies("rest");
}

// Guards against the same for bodies that take more than one read: a read that has completed waits behind the sweep.
BOOST_AUTO_TEST_CASE(longBodiesThatWaitedUnreadAreAnswered)
{
    checkArrivingBodies(std::string(20'000, 'x'));
}

// Guards against answers that are cut as unread although their callers have read while the VM stood still.
BOOST_AUTO_TEST_CASE(answersThatWereReadMeanwhileAreCompleted)
{
    const std::size_t size = 24 * 1024 * 1024; // Bytes. More than the buffers of a loopback connection hold.
    connect();
    answers = false;
    raw_connection reader(io, server->port());
    reader.send("GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_REQUIRE(runUntil(io, [&] { return requests == callerCount + 1; }));
    server->run(answer_plain{lastCaller, {}, 200, {}, std::string(size, 'x')});
    io.restart();
    io.run_for(50ms);
    stall();
    for (auto &caller : callers) {
        caller->send("GET /second HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    BOOST_REQUIRE(reader.received().size() < size);
    BOOST_TEST(runUntil(io, [&] { return reader.received().size() > size; }));
    BOOST_TEST(metrics.slowCallers == 0U);
}

// Guards against connections that are closed sooner than their callers count on because a configuration lowers the idle time.
BOOST_AUTO_TEST_CASE(loweredIdleTimeLeavesRestingConnectionsTheirTime)
{
    connect();
    server->setBounds({.headerSize = 16384, .bodySize = 1 << 20, .idleTime = 100ms});
    io.restart();
    io.run_for(idleTime * 7 / 10);
    for (auto &caller : callers) {
        BOOST_TEST_REQUIRE(!caller->ended());
        caller->send("GET /second HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    BOOST_TEST(runUntil(io, [&] { return requests == 2 * callerCount; }));
    // From their next rest on, the lower idle time holds.
    BOOST_TEST(runUntil(
        io, [&] { return metrics.connections == 0U; }, idleTime * 3 / 4));
}

// Guards against connections that stay open although their callers have been silent for the idle time.
BOOST_AUTO_TEST_CASE(idleConnectionsAreClosedAfterAStall)
{
    connect();
    stall();
    BOOST_TEST(runUntil(io, [&] { return metrics.connections == 0U; }));
    BOOST_TEST(metrics.connectionsCut == 0U);
    BOOST_TEST(metrics.closedConnections[static_cast<std::size_t>(close_reason::Idle)] == callerCount);
}

BOOST_AUTO_TEST_SUITE_END()
