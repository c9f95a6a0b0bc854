// Plays fleets whose endpoints name the requests per second that they take from all VMs together, and counts what they get.
#include <algorithm>
#include <cmath>
#include <map>

#include <boost/test/unit_test.hpp>

#include "simulated_fleet.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

using std::chrono::seconds;

constexpr duration window = seconds{4};
constexpr duration settleTime = seconds{3}; // From the first answer that names the limit until the rule binds.

// What an endpoint may get in a window.
double allowedIn4s(double perSecond)
{
    return 1.5 * perSecond * 4 + 5;
}

struct limited_play {
    limited_play(int vmsPerDataCentre, int dataCentres, unsigned seed = 1)
        : fleet({.vmsPerDataCentre = vmsPerDataCentre, .dataCentres = dataCentres, .seed = seed})
    {
        fleet.onDispatch = [this](std::size_t index, const relay_dispatch &dispatch) { onDispatch(index, dispatch); };
        fleet.onFailure = [this](const answer_failure &failed) { failures.push_back(failed); };
        fleet.onAnswer = [this](caller_id /*caller*/) { ++answered; };
    }

    // Starts the VMs, which know three endpoints in different data centres.
    void start(const std::string &service = "desk", int endpoints = 3, int slots = 40)
    {
        auto config = sampleRelayConfig();
        config.accounts.front().rate = 1e7;
        config.accounts.front().burst = 1e7;
        fleet.publish(config);
        for (int i = 1; i <= endpoints; ++i) {
            auto endpoint = endpointNamed("desk-" + std::to_string(i), service);
            endpoint.dataCentre = {"dc-" + std::to_string(i % 3)};
            endpoint.address = "10.9.0." + std::to_string(i) + ":8000";
            endpoint.slots = slots;
            fleet.announce(endpoint);
        }
        fleet.startAll();
        fleet.runFor(seconds{6});
    }

    void onDispatch(std::size_t index, const relay_dispatch &dispatch)
    {
        arrivals[dispatch.endpoint].push_back(fleet.now());
        fleet.schedule(milliseconds{5 + fleet.randomBelow(40)}, [this, index, dispatch] {
            relay_reply reply{.attempt = dispatch.attempt, .status = 200, .body = "b", .genuine = true, .statement = endpoint_statement{}};
            if (const auto it = limits.find(dispatch.endpoint); it != limits.end()) {
                reply.statement->requestLimit = it->second;
            }
            fleet.deliver(index, std::move(reply));
        });
    }

    void name(const std::string &endpoint, double perSecond) { limits[{endpoint}] = perSecond; }

    // Sends requests to random VMs.
    void load(duration time, int perSecond)
    {
        const auto end = fleet.now() + time;
        while (fleet.now() < end) {
            fleet.runFor(std::chrono::microseconds{1'000'000 / perSecond});
            fleet.submit(randomRunning(), "/lookup/1");
            ++sent;
        }
    }

    std::size_t randomRunning()
    {
        for (;;) {
            const auto index = static_cast<std::size_t>(fleet.randomBelow(static_cast<int>(fleet.vms.size())));
            if (fleet.vms[index].core && !fleet.vms[index].frozen) {
                return index;
            }
        }
    }

    // Returns the most requests that the endpoint got in a window that begins at the time or later.
    std::size_t most(const std::string &endpoint, time_point from) const
    {
        std::size_t best = 0;
        const auto it = arrivals.find({endpoint});
        if (it == arrivals.end()) {
            return 0;
        }
        const auto &times = it->second;
        auto first = std::lower_bound(times.begin(), times.end(), from);
        for (auto last = first; last != times.end(); ++last) {
            while (*last - *first >= window) {
                ++first;
            }
            best = std::max(best, static_cast<std::size_t>(last - first) + 1);
        }
        return best;
    }
    std::size_t arrivalsSince(const std::string &endpoint, time_point from) const
    {
        const auto it = arrivals.find({endpoint});
        return it == arrivals.end() ? 0 : static_cast<std::size_t>(it->second.end() - std::lower_bound(it->second.begin(), it->second.end(), from));
    }
    void checkLimit(const std::string &endpoint, double perSecond, time_point from) const
    {
        const auto got = most(endpoint, from);
        BOOST_TEST(static_cast<double>(got) <= allowedIn4s(perSecond),
                   endpoint << " named " << perSecond << " a second and got " << got << " requests in 4 s; allowed " << allowedIn4s(perSecond));
    }

    simulated_fleet fleet;
    std::map<endpoint_name, double> limits;
    std::map<endpoint_name, std::vector<time_point>> arrivals;
    std::vector<answer_failure> failures;
    std::size_t sent = 0;
    std::size_t answered = 0;
};

// Lets one endpoint of three name its limit, and checks that it gets no more while the others serve the rest.
void playOneLimited(int vmsPerDataCentre, int dataCentres, double perSecond)
{
    limited_play play(vmsPerDataCentre, dataCentres);
    play.start();
    play.load(seconds{2}, 90);
    play.name("desk-1", perSecond);
    const auto namedAt = play.fleet.now();
    play.load(seconds{16}, 90);
    play.checkLimit("desk-1", perSecond, namedAt + settleTime);
    BOOST_TEST(play.failures.empty());
}

} // namespace

BOOST_AUTO_TEST_SUITE(exceeded_endpoint_limits)

BOOST_AUTO_TEST_CASE(oneLimitedEndpointAt7Vms)
{
    playOneLimited(7, 1, 6.2);
}

BOOST_AUTO_TEST_CASE(oneLimitedEndpointAt60Vms)
{
    playOneLimited(20, 3, 6.2);
}

BOOST_AUTO_TEST_CASE(oneLimitedEndpointAt295Vms)
{
    playOneLimited(59, 5, 6.2);
}

BOOST_AUTO_TEST_CASE(limitsBelowOneRequestASecond)
{
    playOneLimited(20, 3, 0.5);
    playOneLimited(59, 5, 0.2);
    playOneLimited(7, 1, 0);
}

BOOST_AUTO_TEST_CASE(allEndpointsOfAServiceLimited)
{
    limited_play play(20, 3);
    play.start();
    play.load(seconds{2}, 90);
    for (const auto *name : {"desk-1", "desk-2", "desk-3"}) {
        play.name(name, 6.2);
    }
    const auto namedAt = play.fleet.now();
    play.load(seconds{16}, 90);
    for (const auto *name : {"desk-1", "desk-2", "desk-3"}) {
        play.checkLimit(name, 6.2, namedAt + settleTime);
        // The endpoints are still used up to their limits.
        BOOST_TEST(play.arrivalsSince(name, namedAt + settleTime) >= 0.7 * 6.2 * 13);
    }
    // The rest is refused with a time after which a place may be free.
    BOOST_TEST(play.failures.size() > 500U);
    for (const auto &failed : play.failures) {
        BOOST_TEST(static_cast<int>(failed.result) == static_cast<int>(outcome::NotRun));
        BOOST_TEST(failed.retryAfter.has_value());
    }
}

BOOST_AUTO_TEST_CASE(allVmsKilled)
{
    for (const int perDataCentre : {3, 20}) {
        limited_play play(perDataCentre, 3);
        play.start();
        for (const auto *name : {"desk-1", "desk-2", "desk-3"}) {
            play.name(name, 4);
        }
        const auto namedAt = play.fleet.now();
        play.load(seconds{8}, 90);
        for (int kill = 0; kill < 3; ++kill) {
            for (std::size_t i = 0; i < play.fleet.vms.size(); ++i) {
                play.fleet.kill(i);
                play.fleet.schedule(milliseconds{300 + play.fleet.randomBelow(500)}, [&play, i] { play.fleet.start(i); });
            }
            play.fleet.runFor(milliseconds{900});
            play.load(seconds{5}, 90);
        }

        for (const auto *name : {"desk-1", "desk-2", "desk-3"}) {
            play.checkLimit(name, 4, namedAt + settleTime);
        }
    }
}

BOOST_AUTO_TEST_CASE(hubsKilledOneAfterAnother)
{
    limited_play play(20, 3);
    play.start();
    play.name("desk-1", 6.2);
    play.name("desk-2", 6.2);
    const auto namedAt = play.fleet.now();
    play.load(seconds{5}, 90);
    for (int kill = 0; kill < 6; ++kill) {
        for (std::size_t i = 0; i < play.fleet.vms.size(); ++i) {
            if (play.fleet.isHub(i)) {
                play.fleet.kill(i);
                break;
            }
        }
        play.load(seconds{2}, 90);
    }
    play.checkLimit("desk-1", 6.2, namedAt + settleTime);
    play.checkLimit("desk-2", 6.2, namedAt + settleTime);
}

BOOST_AUTO_TEST_CASE(hubsFrozenAndThawed)
{
    limited_play play(20, 3);
    play.start();
    play.name("desk-1", 6.2);
    const auto namedAt = play.fleet.now();
    play.load(seconds{5}, 90);
    for (int round = 0; round < 3; ++round) {
        std::vector<std::size_t> frozen;
        for (std::size_t i = 0; i < play.fleet.vms.size(); ++i) {
            if (play.fleet.isHub(i)) {
                play.fleet.vms[i].frozen = true;
                frozen.push_back(i);
            }
        }
        play.load(seconds{3}, 90);
        for (const auto i : frozen) {
            play.fleet.vms[i].frozen = false;
        }
        play.load(seconds{3}, 90);
    }
    play.checkLimit("desk-1", 6.2, namedAt + settleTime);
}

BOOST_AUTO_TEST_CASE(threePartsOfAPartition)
{
    limited_play play(20, 3);
    play.start();
    play.name("desk-1", 6.2);
    play.name("desk-2", 2);
    const auto namedAt = play.fleet.now();
    play.load(seconds{4}, 90);
    for (std::size_t a = 0; a < play.fleet.vms.size(); ++a) {
        for (std::size_t b = 0; b < play.fleet.vms.size(); ++b) {
            if (a % 3 != b % 3) {
                play.fleet.cutLinks.insert({a, b});
            }
        }
    }
    play.load(seconds{16}, 90);
    play.fleet.cutLinks.clear();
    play.load(seconds{6}, 90);
    play.checkLimit("desk-1", 6.2, namedAt + settleTime);
    play.checkLimit("desk-2", 2, namedAt + settleTime);
}

// No VM hears another one, so that each has only its own share.
BOOST_AUTO_TEST_CASE(everyVmAlone)
{
    limited_play play(20, 3);
    play.start();
    play.name("desk-1", 6.2);
    const auto namedAt = play.fleet.now();
    play.load(seconds{4}, 90);
    for (std::size_t a = 0; a < play.fleet.vms.size(); ++a) {
        for (std::size_t b = 0; b < play.fleet.vms.size(); ++b) {
            play.fleet.cutLinks.insert({a, b});
        }
    }
    play.load(seconds{20}, 90);
    play.checkLimit("desk-1", 6.2, namedAt + settleTime);
}

BOOST_AUTO_TEST_CASE(aLimitThatEndsLeavesTheEndpointItsFullPart)
{
    limited_play play(20, 3);
    play.start();
    play.name("desk-1", 3);
    play.load(seconds{6}, 90);
    play.limits.clear();
    play.load(seconds{3}, 90);
    const auto from = play.fleet.now();
    play.load(seconds{4}, 90);
    // A third of 360 requests is the endpoint's part.
    BOOST_TEST(play.arrivalsSince("desk-1", from) > 90U);
}

BOOST_AUTO_TEST_CASE(aLimitThatIsLoweredBinds)
{
    limited_play play(20, 3);
    play.start();
    play.name("desk-1", 12);
    play.load(seconds{6}, 90);
    play.name("desk-1", 3);
    const auto loweredAt = play.fleet.now();
    play.load(seconds{12}, 90);
    play.checkLimit("desk-1", 3, loweredAt + settleTime);
}

BOOST_AUTO_TEST_SUITE_END()
