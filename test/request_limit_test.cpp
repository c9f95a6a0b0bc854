// Tests which of the answers of an endpoint decides about the limit that it names.
#include <boost/test/unit_test.hpp>

#include "request_limit.hpp"

using namespace plantainpoint;
using std::chrono::milliseconds;

namespace {

const endpoint_statement noLimit{};

endpoint_statement limitOf(double perSecond)
{
    return {.requestLimit = perSecond};
}

time_point at(int ms)
{
    return time_point{} + std::chrono::hours{1} + milliseconds{ms};
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_limit_words)

BOOST_AUTO_TEST_CASE(theLimitHoldsWhileTheEndpointNamesIt)
{
    request_limit limit;
    BOOST_TEST(!limit.onAnswer(noLimit, at(0), at(10)));
    BOOST_TEST(limit.onAnswer(limitOf(6.2), at(20), at(30)));
    BOOST_TEST(limit.perSecond().value_or(0) == 6.2);
    BOOST_TEST(!limit.onAnswer(limitOf(6.2), at(40), at(50)));
    BOOST_TEST(limit.onAnswer(noLimit, at(60), at(70)));
    BOOST_TEST(!limit.perSecond().has_value());
}

// Guards against an answer that was written before the endpoint named its limit, and that arrives later, ending the limit.
BOOST_AUTO_TEST_CASE(anAnswerThatMayBeOlderEndsNoLimit)
{
    request_limit limit;
    limit.onAnswer(limitOf(6.2), at(20), at(30));
    limit.onAnswer(noLimit, at(25), at(90));
    BOOST_TEST(limit.perSecond().value_or(0) == 6.2);
    limit.onAnswer(noLimit, at(31), at(95));
    BOOST_TEST(!limit.perSecond().has_value());
}

// Guards against a limit that the endpoint has lowered being raised by an answer that was overtaken, and against one that it has raised staying low
// because answers overlap all the time.
BOOST_AUTO_TEST_CASE(ofLimitsInUnknownOrderTheLowerOneHolds)
{
    request_limit limit;
    limit.onAnswer(limitOf(6), at(0), at(50));
    limit.onAnswer(limitOf(3), at(10), at(60));
    limit.onAnswer(limitOf(6), at(20), at(70));
    BOOST_TEST(limit.perSecond().value_or(0) == 3);
    for (int ms = 40; ms < 100; ms += 10) {
        limit.onAnswer(limitOf(6), at(ms), at(ms + 60));
    }
    BOOST_TEST(limit.perSecond().value_or(0) == 6);
}

// Guards against a limit that another VM heard before the endpoint ended it coming back, and against an end that another VM saw before the endpoint named
// its limit.
BOOST_AUTO_TEST_CASE(reportsOfOtherVmsHoldByTheirAge)
{
    request_limit limit;
    limit_report report{.endpoint = {"desk-1"}, .perSecond = 6.2, .namedAge = milliseconds{10}};
    BOOST_TEST(limit.onReport(report, at(1000)));
    BOOST_TEST(limit.perSecond().value_or(0) == 6.2);
    // The end that this report tells of is older.
    limit_report older{.endpoint = {"desk-1"}, .perSecond = 6.2, .namedAge = milliseconds{900}, .unnamedAge = milliseconds{300}};
    limit.onReport(older, at(1100));
    BOOST_TEST(limit.perSecond().value_or(0) == 6.2);
    BOOST_TEST(limit.onAnswer(noLimit, at(1200), at(1250)));
    limit.onReport({.endpoint = {"desk-1"}, .perSecond = 6.2, .namedAge = milliseconds{700}}, at(1300));
    BOOST_TEST(!limit.perSecond().has_value());
    // The endpoint names one again.
    limit.onReport({.endpoint = {"desk-1"}, .perSecond = 2, .namedAge = milliseconds{5}}, at(1400));
    BOOST_TEST(limit.perSecond().value_or(0) == 2);
}

BOOST_AUTO_TEST_CASE(changesAreToldAndLimitsAreRefreshed)
{
    request_limit limit;
    BOOST_TEST(!limit.report(true, at(0)).has_value());
    limit.onAnswer(limitOf(6.2), at(0), at(10));
    BOOST_TEST(limit.report(false, at(100)).has_value());
    BOOST_TEST(!limit.report(false, at(2000)).has_value());
    BOOST_REQUIRE(limit.report(true, at(2000)).has_value());
    BOOST_TEST((limit.report(true, at(2000))->namedAge == milliseconds{1990}));
    limit.onAnswer(noLimit, at(2000), at(2010));
    BOOST_REQUIRE(limit.report(false, at(2100)).has_value());
    BOOST_TEST((limit.report(false, at(2100))->unnamedAge == milliseconds{100}));
    BOOST_TEST(!limit.report(true, at(9000)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
