// Load pattern: the callers of an account send within its rate, but in bursts that its bucket cannot take at once.
#include <algorithm>
#include <deque>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "relay_fixture.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

constexpr double rate = 40; // Units per second. A request takes one unit.
constexpr double burst = 10;

struct limited_callers : relay_fixture {
    limited_callers()
    {
        auto config = sampleRelayConfig();
        config.accounts[0].rate = rate;
        config.accounts[0].burst = burst;
        for (auto &route : config.routes) {
            route.objective = milliseconds{400};
        }
        configure(config);
        auto desk = endpointNamed("desk-1", "desk");
        desk.slots = 100;
        announce({desk});
        core.take();
        advance(std::chrono::seconds{2}); // The bucket fills.
    }

    // Answers what was dispatched, and records the times of dispatches.
    void serve()
    {
        for (; m_served < dispatches.size(); ++m_served) {
            sentAt.push_back(clock.now());
            const auto dispatch = dispatches[m_served];
            reply(dispatch, 200);
        }
    }
    void runFor(duration time)
    {
        const auto end = clock.now() + time;
        while (clock.now() < end) {
            advance(milliseconds{1});
            serve();
        }
    }
    void sendBurst(int count)
    {
        for (int i = 0; i < count; ++i) {
            sendRequest("/lookup/a");
            serve();
        }
    }

    std::vector<time_point> sentAt;

private:
    std::size_t m_served = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(limit_waits, limited_callers)

// Guards against refusals of requests that the limit allows within a part of their objective.
BOOST_AUTO_TEST_CASE(shortExcessIsServedInTime)
{
    const auto begin = clock.now();
    sendBurst(16);
    BOOST_TEST(failures.empty());
    BOOST_TEST(sentAt.size() == burst);
    runFor(milliseconds{400});
    BOOST_TEST(failures.empty());
    BOOST_TEST(answers.size() == 16U);
    BOOST_TEST((sentAt.back() - begin <= milliseconds{200}));
}

// The endpoints get no more than the limit allows in any span of time, whatever waits.
BOOST_AUTO_TEST_CASE(dispatchesStayWithinTheLimit)
{
    for (int i = 0; i < 50; ++i) {
        sendBurst(6);
        runFor(milliseconds{100});
    }
    for (std::size_t first = 0; first < sentAt.size(); ++first) {
        for (std::size_t last = first; last < sentAt.size(); ++last) {
            const auto allowed = rate * std::chrono::duration<double>(sentAt[last] - sentAt[first]).count() + burst;
            BOOST_TEST_REQUIRE(static_cast<double>(last - first + 1) <= allowed + 1e-6);
        }
    }
    // The limit is used up although a third of the requests cannot be served.
    BOOST_TEST(static_cast<double>(sentAt.size()) >= rate * 5);
}

// A request that the limit makes late is refused at once, and no request waits for longer than half of its objective.
BOOST_AUTO_TEST_CASE(lateRequestsAreRefusedEarly)
{
    sendBurst(200);
    runFor(milliseconds{200});
    BOOST_TEST(answers.size() + failures.size() == 200U);
    BOOST_TEST(static_cast<double>(answers.size()) >= burst + rate * 0.2 - 1);
    for (const auto &failed : failures) {
        BOOST_TEST((failed.reason == failure::RateExceeded));
        BOOST_TEST((failed.result == outcome::NotRun));
        BOOST_TEST_REQUIRE(failed.retryAfter.has_value());
    }
}

// Guards against requests that wait for units which those before them will take: they are refused when they arrive, not after the wait.
BOOST_AUTO_TEST_CASE(requestsBehindOthersAreRefusedOnArrival)
{
    sendBurst(60);
    // Ten are served, and the limit refills eight within half of the objective.
    BOOST_TEST(answers.size() == burst);
    BOOST_TEST(failures.size() >= 40U);
    const auto refusedAtOnce = failures.size();
    runFor(milliseconds{400});
    BOOST_TEST(failures.size() <= refusedAtOnce + 2);
    BOOST_TEST(core.openRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(distantUnitsAreNotWaitedFor)
{
    auto config = sampleRelayConfig(2);
    config.accounts[0].rate = 1;
    config.accounts[0].burst = 1;
    configure(config);
    sendBurst(2);
    BOOST_TEST(answers.size() == 1U);
    BOOST_REQUIRE(failures.size() == 1U);
    BOOST_TEST((*failures[0].retryAfter >= milliseconds{900}));
}

// A caller that leaves while its request waits takes nothing from the limit.
BOOST_AUTO_TEST_CASE(callersThatLeaveTakeNoUnits)
{
    sendBurst(12);
    core.handle(caller_disconnected{lastCaller});
    core.handle(caller_disconnected{lastCaller - 1});
    collect();
    runFor(milliseconds{250});
    BOOST_TEST(answers.size() == burst);
    sendBurst(10);
    BOOST_TEST(answers.size() == 2 * burst);
    BOOST_TEST(core.openRequests() == 0U);
}

// Requests that wait are refused as not run when the VM stops.
BOOST_AUTO_TEST_CASE(waitingRequestsEndWithTheVm)
{
    sendBurst(14);
    core.handle(shutdown_requested{});
    collect();
    runFor(std::chrono::seconds{8});
    BOOST_TEST(answers.size() + failures.size() == 14U);
    BOOST_TEST(core.openRequests() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
