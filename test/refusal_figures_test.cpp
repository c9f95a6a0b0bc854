// Every refusal for want of a place has to state the figures that decided it.
#include <boost/test/unit_test.hpp>

#include "relay_fixture.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

BOOST_FIXTURE_TEST_SUITE(refusal_figures, relay_fixture)

// Guards against refusals that an operator cannot tell from a fault: whether places were free, and why the request could not wait.
BOOST_AUTO_TEST_CASE(refusalsStateFreePlacesAndWaits)
{
    configureDesks();
    sendRequest("/lookup/first");
    BOOST_REQUIRE(dispatches.size() == 1U);
    advance(milliseconds{200});
    reply(dispatches[0], 200);
    for (int i = 0; i < 8; ++i) {
        sendRequest("/lookup/a");
    }
    BOOST_TEST(dispatches.size() == 9U);
    sendRequest("/lookup/late", "k-acme", milliseconds{20});
    BOOST_REQUIRE(failures.size() == 1U);
    BOOST_TEST((failures[0].reason == failure::Overloaded));
    for (const auto *figure : {"expected_ms=40", "longest_ms=12", "places=4", "taken=8", "waiting=0"}) {
        BOOST_TEST(failures[0].detail.find(figure) != std::string::npos, failures[0].detail + " lacks " + figure);
    }
}

BOOST_AUTO_TEST_SUITE_END()
