// Tests when an endpoint counts as cold, and that the VMs together send no more than a cold endpoint tolerates.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <vector>

#include "endpoint_warmup.hpp"
#include "plantainpoint/ids.hpp"

using namespace plantainpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr cold_terms terms{seconds{3}, 34};
constexpr auto start = time_point{} + std::chrono::hours{1};

endpoint_warmup warmupOf(std::optional<duration> listedLeft, bool justAnnounced = false)
{
    endpoint_warmup warmup;
    warmup.setTerms(terms, start);
    warmup.setShare(1, 0, start);
    warmup.onRun(listedLeft, justAnnounced, start);
    return warmup;
}

// Requests that a cold endpoint may get from all VMs in any second.
double allowed(double perSecond)
{
    return 1.5 * perSecond + 5;
}

// Returns the most requests in a second if VMs that share the pace equally use every permit that they have while they have callers.
template<class HasCallers>
std::size_t mostInASecond(std::size_t vms, double perSecond, duration time, HasCallers hasCallers)
{
    std::vector<time_point> sent;
    for (std::size_t i = 0; i < vms; ++i) {
        endpoint_warmup warmup;
        warmup.setTerms(cold_terms{std::chrono::hours{1}, perSecond}, start);
        warmup.setShare(1.0 / static_cast<double>(vms), stableHash("vm-" + std::to_string(i)), start);
        warmup.onRun(std::nullopt, true, start);
        for (auto now = start; now < start + time; now += milliseconds{5}) {
            while (hasCallers(i, now - start) && warmup.allows(now)) {
                warmup.take(now);
                sent.push_back(now);
            }
        }
    }
    std::sort(sent.begin(), sent.end());
    std::size_t most = 0;
    for (auto first = sent.begin(), last = sent.begin(); last != sent.end(); ++last) {
        while (*last - *first >= seconds{1}) {
            ++first;
        }
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_warmups)

BOOST_AUTO_TEST_CASE(aServiceWithoutTermsHasNoColdEndpoints)
{
    endpoint_warmup warmup;
    warmup.onRun(std::nullopt, true, start);
    warmup.onMayBeCold(start, start);
    BOOST_TEST(!warmup.onStated(seconds{3}, start, start));
    BOOST_TEST(!warmup.onUnreadable(start));
    BOOST_TEST(!warmup.isCold(start));
    BOOST_TEST(warmup.allows(start));
    BOOST_TEST(!warmup.report(start).has_value());
}

BOOST_AUTO_TEST_CASE(unknownCountsAsCold)
{
    auto unstated = warmupOf(std::nullopt);
    BOOST_TEST(unstated.isCold(start + milliseconds{2999}));
    BOOST_TEST(!unstated.isCold(start + seconds{3}));

    BOOST_TEST(!warmupOf(duration{}).isCold(start));
    BOOST_TEST(warmupOf(duration{}, true).isCold(start + milliseconds{2999}));

    auto unreadable = warmupOf(duration{});
    BOOST_TEST(unreadable.onUnreadable(start + seconds{10}));
    BOOST_TEST(unreadable.isCold(start + seconds{12}));
    // A worker that always states nonsense is not cold for ever.
    BOOST_TEST(!unreadable.onUnreadable(start + seconds{12}));
    BOOST_TEST(!unreadable.isCold(start + seconds{13}));

    auto evacuated = warmupOf(duration{});
    evacuated.onMayBeCold(start + seconds{60}, start + seconds{60});
    BOOST_TEST(evacuated.isCold(start + seconds{62}));
    BOOST_TEST(!evacuated.isCold(start + seconds{63}));
}

BOOST_AUTO_TEST_CASE(theStatedTimeCountsFromWhenItWasLearned)
{
    const auto listed = warmupOf(milliseconds{1500});
    BOOST_TEST(listed.isCold(start + milliseconds{1499}));
    BOOST_TEST(!listed.isCold(start + milliseconds{1500}));

    auto again = warmupOf(duration{});
    const auto now = start + seconds{60};
    BOOST_TEST(again.onStated(seconds{3}, now - milliseconds{20}, now));
    BOOST_TEST(again.isCold(now + milliseconds{2999}));
    // Later answers count the same time down.
    BOOST_TEST(!again.onStated(milliseconds{2010}, now + milliseconds{980}, now + seconds{1}));
    BOOST_TEST(!again.isCold(now + milliseconds{3010}));
}

// Answers overtake each other. One to an earlier request may have been written before the endpoint became cold.
BOOST_AUTO_TEST_CASE(onlyANewerStatementEndsTheColdTime)
{
    auto warmup = warmupOf(duration{});
    const auto now = start + seconds{60};
    warmup.onStated(seconds{3}, now - milliseconds{20}, now);
    warmup.onStated(duration{}, now - milliseconds{1}, now + milliseconds{10});
    BOOST_TEST(warmup.isCold(now + seconds{1}));
    warmup.onStated(duration{}, now + milliseconds{5}, now + milliseconds{20});
    BOOST_TEST(!warmup.isCold(now + milliseconds{20}));

    auto announced = warmupOf(std::nullopt, true);
    announced.onStated(duration{}, start - milliseconds{5}, start + milliseconds{5});
    BOOST_TEST(announced.isCold(start + milliseconds{5}));
    announced.onStated(duration{}, start + milliseconds{5}, start + milliseconds{9});
    BOOST_TEST(!announced.isCold(start + milliseconds{9}));
}

// The entry that the directory shows may be older than an answer.
BOOST_AUTO_TEST_CASE(aListedTimeDoesNotShortenAStatedOne)
{
    auto warmup = warmupOf(seconds{1});
    warmup.onStated(seconds{3}, start, start + milliseconds{10});
    warmup.onListed(duration{}, start + milliseconds{20});
    BOOST_TEST(warmup.isCold(start + seconds{3}));
}

BOOST_AUTO_TEST_CASE(otherVmsAreToldOfWhatIsNew)
{
    auto warmup = warmupOf(duration{});
    const auto now = start + seconds{60};
    BOOST_TEST(!warmup.report(now).has_value());
    warmup.onStated(seconds{3}, now, now);
    BOOST_REQUIRE(warmup.report(now + milliseconds{100}).has_value());
    BOOST_TEST((*warmup.report(now + milliseconds{100}) == milliseconds{2900}));
    warmup.onStated(milliseconds{2700}, now, now + milliseconds{300});
    BOOST_TEST(!warmup.report(now + milliseconds{701}).has_value());

    auto other = warmupOf(duration{});
    other.onReported(milliseconds{2900}, now);
    BOOST_TEST(other.isCold(now + milliseconds{2899}));
    BOOST_TEST(other.report(now).has_value());
    // The report comes back in the messages of others.
    other.onReported(milliseconds{2900}, now + milliseconds{50});
    BOOST_TEST(!other.report(now + milliseconds{701}).has_value());
}

// A queue that has formed while the endpoint was cold must not be sent at once when its next cold time begins.
BOOST_AUTO_TEST_CASE(eachColdTimeBeginsWithoutPermits)
{
    auto warmup = warmupOf(duration{});
    for (const auto now : {start + seconds{60}, start + seconds{120}}) {
        warmup.onStated(seconds{3}, now, now);
        BOOST_TEST(!warmup.allows(now));
        BOOST_TEST(warmup.allows(now + milliseconds{40}));
        warmup.take(now + milliseconds{40});
        BOOST_TEST(!warmup.allows(now + milliseconds{41}));
    }
}

BOOST_AUTO_TEST_CASE(aVmWithoutAShareSendsNothingToAColdEndpoint)
{
    auto warmup = warmupOf(seconds{30});
    warmup.setShare(0, 1, start);
    BOOST_TEST(!warmup.allows(start + seconds{20}));
    BOOST_TEST(warmup.allows(start + seconds{30}));
}

// Guards against VMs that save permits for the same second: hubs of up to five data centres, and fleets without any hub.
BOOST_AUTO_TEST_CASE(theSumOfAllVmsStaysWithinTheBound)
{
    for (const double perSecond : {5.0, 34.0, 120.0}) {
        for (const std::size_t vms : {1, 2, 3, 5, 7, 20, 34, 60, 71, 295}) {
            const auto always = mostInASecond(vms, perSecond, seconds{30}, [](std::size_t, duration) { return true; });
            BOOST_TEST(static_cast<double>(always) <= allowed(perSecond), vms << " VMs, busy, " << perSecond << " a second: " << always);
            // All callers come back in the same moment, again and again.
            const auto waves =
                mostInASecond(vms, perSecond, seconds{60}, [](std::size_t, duration time) { return time % milliseconds{3700} > milliseconds{2500}; });
            BOOST_TEST(static_cast<double>(waves) <= allowed(perSecond), vms << " VMs, waves, " << perSecond << " a second: " << waves);
        }
    }
}

// A pace that is far below what the endpoint tolerates would delay callers without need.
BOOST_AUTO_TEST_CASE(theHubsUseThePaceUp)
{
    for (const std::size_t hubs : {1, 3, 5}) {
        const auto most = mostInASecond(hubs, 34, seconds{30}, [](std::size_t, duration) { return true; });
        BOOST_TEST(most >= 32U, hubs << " hubs: " << most);
    }
}

BOOST_AUTO_TEST_SUITE_END()
