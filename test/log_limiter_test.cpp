// Tests the limit on the volume of the log under load.
#include <boost/test/unit_test.hpp>

#include "log_limiter.hpp"

using namespace plantainpoint;

BOOST_AUTO_TEST_SUITE(log_limiter_volume)

// Guards against a log volume that grows with the load, and against lines that are suppressed without being counted.
BOOST_AUTO_TEST_CASE(linesAreLimitedAndSuppressedLinesAreCounted)
{
    log_limiter limiter(10);
    time_point now{std::chrono::hours{1}};
    int passed = 0;
    for (int i = 0; i < 100; ++i) {
        passed += limiter.pass(severity::Info, log_component::Http, now) ? 1 : 0;
    }
    BOOST_TEST(passed == 10);
    BOOST_TEST(limiter.report(log_component::Http).value_or("") == "lines left out=90");
    BOOST_TEST(!limiter.report(log_component::Http).has_value());
    BOOST_TEST(limiter.pass(severity::Info, log_component::Log, now));
    BOOST_TEST(limiter.pass(severity::Warning, log_component::Http, now));
    now += std::chrono::seconds{1};
    BOOST_TEST(limiter.pass(severity::Info, log_component::Http, now));
}

BOOST_AUTO_TEST_SUITE_END()
