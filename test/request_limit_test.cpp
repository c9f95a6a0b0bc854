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

BOOST_AUTO_TEST_SUITE_END()
