// Tests for how long an endpoint is left alone after it has refused a request as not meant for it.
#include <boost/test/unit_test.hpp>

#include "relay_fixture.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

constexpr auto longTime = std::chrono::seconds{30};
constexpr auto stepTime = std::chrono::milliseconds{100};

struct misdirected_fixture : relay_fixture {
    void refuse(const relay_dispatch &dispatch)
    {
        core.handle(relay_reply{.attempt = dispatch.attempt, .status = 421, .wrongEndpoint = true});
        collect();
    }
    // Sends a booking and returns whether it was refused by the endpoint. Bookings at the others are answered.
    bool refusedBy(const std::string &name)
    {
        const auto before = dispatches.size();
        sendRequest("/book/1");
        bool refused = false;
        for (auto i = before; i < dispatches.size(); ++i) {
            if (dispatches[i].endpoint.value == name) {
                refuse(dispatches[i]);
                refused = true;
            } else {
                reply(dispatches[i], 200);
            }
        }
        return refused;
    }
    void refuseFirstBookingOf(const std::string &name)
    {
        for (int requests = 0; requests < 10; ++requests) {
            if (refusedBy(name)) {
                return;
            }
            advance(milliseconds{10});
        }
        BOOST_FAIL("no booking was sent to " << name);
    }
    // Returns the number of bookings that reach the endpoint while one is sent in each step of the time.
    int bookingsReaching(const std::string &name, duration time, bool directoryAnswers = true)
    {
        int reached = 0;
        for (duration elapsed{}; elapsed < time; elapsed += stepTime) {
            core.handle(directory_read_finished{directoryAnswers});
            advance(stepTime);
            reached += refusedBy(name) ? 1 : 0;
        }
        return reached;
    }
    // Starts a stream that a prefill endpoint reads first, and returns the dispatch.
    relay_dispatch startPrefill()
    {
        configureEngines();
        sendModelRequest("/draft/1", 15'000);
        BOOST_REQUIRE(!dispatches.empty());
        BOOST_REQUIRE(dispatches.back().kind == dispatch_kind::Prefill);
        return dispatches.back();
    }
    // Returns whether the only decode endpoint that is left gets a stream.
    bool servesAsDecode(const std::string &name)
    {
        withdraw("dec-1");
        withdraw("dec-2");
        const auto before = dispatches.size();
        sendModelRequest("/draft/2");
        return dispatches.size() > before && dispatches.back().endpoint.value == name && dispatches.back().kind == dispatch_kind::Decode;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(misdirected, misdirected_fixture)

// Guards against an endpoint that refused a request because its role had changed and that gets no work until it restarts.
BOOST_AUTO_TEST_CASE(endpointIsUsedInItsNewRole)
{
    refuse(startPrefill());
    announce({endpointNamed("pre-1", "llm", endpoint_role::Decode)}, false);
    BOOST_TEST(servesAsDecode("pre-1"));
}

// Guards against a refusal of the role before that excludes the endpoint although its new role is known by then.
BOOST_AUTO_TEST_CASE(lateRefusalDoesNotExcludeTheNewRole)
{
    const auto dispatch = startPrefill();
    announce({endpointNamed("pre-1", "llm", endpoint_role::Decode)}, false);
    refuse(dispatch);
    BOOST_TEST(servesAsDecode("pre-1"));
}

// Guards against a refusal at the address before a restart that excludes the endpoint at its new address.
BOOST_AUTO_TEST_CASE(lateRefusalDoesNotExcludeTheNewRun)
{
    configure(sampleRelayConfig());
    announce({endpointNamed("desk-1", "desk")});
    sendRequest("/book/1");
    BOOST_REQUIRE_EQUAL(dispatches.size(), 1);
    auto restarted = endpointNamed("desk-1", "desk");
    restarted.startedAt = 2;
    restarted.address = "127.0.0.1:9999";
    announce({restarted}, false);
    refuse(dispatches.back());
    advance(stepTime);
    sendRequest("/book/2");
    BOOST_TEST(dispatches.back().address == "127.0.0.1:9999");
}

// Guards against an endpoint that changed its role forth and back between two reads of its entry, which then shows no change, and that gets no work
// until it restarts.
BOOST_AUTO_TEST_CASE(endpointThatStaysListedIsUsedAgain)
{
    configureDesks();
    refuseFirstBookingOf("desk-1");
    BOOST_TEST(bookingsReaching("desk-1", longTime) > 0);
}

// Guards against requests to an address that another endpoint has taken over: its entry may stay for some check-in intervals after its end, longer while
// the directory is down, and is not written again.
BOOST_AUTO_TEST_CASE(addressOfAnotherEndpointGetsNoWork)
{
    configureDesks();
    refuseFirstBookingOf("desk-1");
    BOOST_TEST(bookingsReaching("desk-1", std::chrono::seconds{4}) == 0);
    // A read of all entries repeats the entry. It shows no sign of life.
    announce({endpointNamed("desk-1", "desk"), endpointNamed("desk-2", "desk")});
    BOOST_TEST(bookingsReaching("desk-1", longTime, false) == 0);
    BOOST_TEST(bookingsReaching("desk-1", std::chrono::seconds{4}) == 0);
    withdraw("desk-1");
    BOOST_TEST(bookingsReaching("desk-1", longTime) == 0);
}

// Guards against requests that reach a wrong endpoint again and again because an entry is kept although its endpoint has ended.
BOOST_AUTO_TEST_CASE(repeatedRefusalsExcludeForLonger)
{
    configureDesks();
    refuseFirstBookingOf("desk-1");
    const auto reached = bookingsReaching("desk-1", std::chrono::minutes{2});
    BOOST_TEST(reached > 0);
    BOOST_TEST(reached <= 5);
}

BOOST_AUTO_TEST_SUITE_END()
