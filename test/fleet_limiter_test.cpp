// limits over several VMs: what they admit together stays within rate and burst but for what a heartbeat has not told yet
#include <boost/test/unit_test.hpp>

#include "fleet_limiter.hpp"

using namespace plantainpoint;
using std::chrono::milliseconds;

namespace {

relay_account account(double rate, double burst)
{
    return {.name = {"acme"}, .rate = rate, .burst = burst};
}

fleet_heartbeat heartbeatOf(const fleet_limiter &limiter, const std::string &vm, std::uint64_t run, std::uint64_t sequence)
{
    return {.from = {{vm}, run}, .sequence = sequence, .usage = limiter.usage()};
}

struct limiter_fixture {
    limiter_fixture()
    {
        for (auto *each : {&a, &b}) {
            each->setAccounts({account(100, 100)}, now);
        }
    }

    int admitAll(fleet_limiter &limiter, double units)
    {
        int count = 0;
        while (!limiter.admit({"acme"}, units, now)) {
            ++count;
        }
        return count;
    }
    void exchange()
    {
        b.onFleetHeartbeat(heartbeatOf(a, "vm-a", 1, ++sequence), false, now);
        a.onFleetHeartbeat(heartbeatOf(b, "vm-b", 1, ++sequence), false, now);
    }

    time_point now{std::chrono::hours{1}};
    fleet_limiter a;
    fleet_limiter b;
    std::uint64_t sequence = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(fleet_limiter_bounds, limiter_fixture)

// guards against an account that has its whole limit at each VM
BOOST_AUTO_TEST_CASE(admissionsOfOtherVmsCount)
{
    BOOST_TEST(admitAll(a, 10) == 10);
    exchange();
    BOOST_TEST(admitAll(b, 10) == 0);
    now += milliseconds{500};
    BOOST_TEST(admitAll(b, 10) == 5);
    exchange();
    BOOST_TEST(admitAll(a, 10) == 0);
}

// guards against an excess that is never paid back
BOOST_AUTO_TEST_CASE(excessIsPaidBack)
{
    BOOST_TEST(admitAll(a, 10) == 10);
    BOOST_TEST(admitAll(b, 10) == 10); // the heartbeat has not arrived
    exchange();
    now += milliseconds{1000};
    BOOST_TEST(admitAll(a, 10) == 0);
    now += milliseconds{500};
    BOOST_TEST(admitAll(a, 10) == 5);
}

// guards against a rate that VMs which cannot hear each other have twice
BOOST_AUTO_TEST_CASE(partedVmsShareTheRate)
{
    admitAll(a, 10);
    exchange();
    a.setVisibility(1, 2);
    b.setVisibility(1, 2);
    now += milliseconds{1000};
    BOOST_TEST(admitAll(a, 10) + admitAll(b, 10) == 10);
}

// guards against a restarted VM whose earlier admissions are taken off a second time
BOOST_AUTO_TEST_CASE(restartCountsFromZero)
{
    admitAll(a, 10);
    exchange();
    fleet_limiter restarted;
    restarted.setAccounts({account(100, 100)}, now);
    now += milliseconds{1000};
    restarted.admit({"acme"}, 10, now);
    b.onFleetHeartbeat(heartbeatOf(restarted, "vm-a", 2, 1), false, now);
    BOOST_TEST(admitAll(b, 10) == 9);
}

// guards against a VM that takes off at once what another one admitted before it was heard
BOOST_AUTO_TEST_CASE(resumedHeartbeatsOnlyCountFromNowOn)
{
    admitAll(a, 10);
    b.onFleetHeartbeat(heartbeatOf(a, "vm-a", 1, 1), true, now);
    BOOST_TEST(admitAll(b, 10) == 10);
}

// guards against a refund that creates units, and a refusal without a time to return
BOOST_AUTO_TEST_CASE(refundsAndRetryTimes)
{
    a.refund({"acme"}, 50);
    BOOST_TEST(admitAll(a, 10) == 10);
    const auto wait = a.admit({"acme"}, 50, now);
    BOOST_REQUIRE(wait.has_value());
    BOOST_TEST((*wait >= milliseconds{499} && *wait <= milliseconds{501}));
    a.refund({"acme"}, 50);
    BOOST_TEST(!a.admit({"acme"}, 50, now).has_value());
}

// guards against a lowered limit that a full bucket outlives
BOOST_AUTO_TEST_CASE(loweredLimitBindsAtOnce)
{
    a.setAccounts({account(10, 20)}, now);
    BOOST_TEST(admitAll(a, 10) == 2);
}

// guards against a tolerance that is larger than the operator's
BOOST_AUTO_TEST_CASE(toleranceAddsToTheBurstOnly)
{
    fleet_limiter tolerant(50);
    tolerant.setAccounts({account(100, 100)}, now);
    BOOST_TEST(admitAll(tolerant, 10) == 15);
    now += milliseconds{1000};
    BOOST_TEST(admitAll(tolerant, 10) == 10);
}

// guards against a request larger than the burst that never passes
BOOST_AUTO_TEST_CASE(largeRequestsPassAFullBucket)
{
    BOOST_TEST(!a.admit({"acme"}, 250, now).has_value());
    now += milliseconds{1400};
    BOOST_TEST(a.admit({"acme"}, 10, now).has_value());
    now += milliseconds{200};
    BOOST_TEST(!a.admit({"acme"}, 10, now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
