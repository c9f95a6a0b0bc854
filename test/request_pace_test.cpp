// Tests the pace of requests to an endpoint that limits them, alone and summed over VMs that do not hear each other.
#include <boost/test/unit_test.hpp>

#include <vector>

#include "plantainpoint/ids.hpp"
#include "request_pace.hpp"

using namespace plantainpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Counts the permits that are used in the time if every one is used as soon as it is granted.
int usedAtOnce(request_pace &pace, time_point &now, duration time)
{
    int used = 0;
    for (const auto end = now + time; now < end; now += milliseconds{1}) {
        while (pace.rate() && pace.allows(now)) {
            pace.take(now);
            ++used;
        }
    }
    return used;
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_paces)

BOOST_AUTO_TEST_CASE(theRateIsUsedUpAndNotExceeded)
{
    for (const double rate : {0.2, 0.5, 0.99, 1.0, 6.2, 100.0}) {
        request_pace pace;
        auto now = time_point{} + std::chrono::hours{1};
        pace.setRate(rate, 0, now);
        const auto used = usedAtOnce(pace, now, seconds{100});
        BOOST_TEST(used <= rate * 100 + 1, rate);
        BOOST_TEST(used >= rate * 100 * 0.95 - 1, rate);
    }
}

BOOST_AUTO_TEST_CASE(aPaceBeginsEmptyAndSavesLittle)
{
    request_pace pace;
    auto now = time_point{} + std::chrono::hours{1};
    BOOST_TEST(pace.allows(now));
    pace.setRate(10, 0, now);
    BOOST_TEST(!pace.allows(now));
    now += seconds{60};
    BOOST_TEST(usedAtOnce(pace, now, milliseconds{1}) <= 6);
    pace.setRate(std::nullopt, 0, now);
    BOOST_TEST(pace.allows(now));
    pace.setRate(0.0, 0, now);
    BOOST_TEST(!pace.allows(now + seconds{60}));
}

// Guards against hundreds of VMs that each save a permit and use them all in one moment.
BOOST_AUTO_TEST_CASE(manySmallPartsAreNotUsedAtOnce)
{
    constexpr std::size_t vms = 295;
    for (const double limit : {0.1, 0.5, 2.0, 6.2, 60.0}) {
        std::vector<request_pace> paces(vms);
        auto now = time_point{} + std::chrono::hours{1};
        for (std::size_t i = 0; i < vms; ++i) {
            paces[i].setRate(limit / vms, stableHash("vm-" + std::to_string(i)), now);
        }
        int most = 0;
        for (int i = 0; i < 50; ++i) {
            now += milliseconds{3100};
            auto start = now;
            int used = 0;
            // Nobody sends for a while, and then everybody does for 4 s.
            for (auto &pace : paces) {
                auto time = start;
                auto copy = pace;
                used += usedAtOnce(copy, time, seconds{4});
            }
            most = std::max(most, used);
        }
        BOOST_TEST(most <= 1.5 * limit * 4 + 5, limit << " a second: " << most << " in 4 s");
    }
}

BOOST_AUTO_TEST_CASE(aChangeOfTheRateKeepsTheLevel)
{
    request_pace pace;
    auto now = time_point{} + std::chrono::hours{1};
    pace.setRate(2, 0, now);
    now += milliseconds{450};
    for (int i = 0; i < 10; ++i) {
        pace.setRate(i % 2 == 0 ? 2.1 : 2.0, 0, now);
        now += milliseconds{10};
    }
    BOOST_TEST(pace.allows(now));
    pace.take(now);
    BOOST_TEST(!pace.allows(now));
}

BOOST_AUTO_TEST_SUITE_END()
