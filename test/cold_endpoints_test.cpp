// Plays fleets with cold endpoints and counts what these get from all VMs together.
#include <algorithm>
#include <map>

#include <boost/test/unit_test.hpp>

#include "simulated_fleet.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

using std::chrono::seconds;

constexpr double coldRate = 34;
constexpr double allowedInASecond = 1.5 * coldRate + 5;
constexpr duration learnTime = seconds{1}; // The VMs know the entry of an endpoint within this time while the directory answers.

struct cold_play {
    explicit cold_play(int vmsPerDataCentre, int dataCentres, unsigned seed = 1)
        : fleet({.vmsPerDataCentre = vmsPerDataCentre, .dataCentres = dataCentres, .seed = seed})
    {
        fleet.onDispatch = [this](std::size_t index, const relay_dispatch &dispatch) { onDispatch(index, dispatch); };
        fleet.onFailure = [this](const answer_failure &failed) { failures.push_back(failed); };
    }

    // Starts the VMs, which know three warm endpoints in different data centres.
    void start()
    {
        auto config = sampleRelayConfig();
        config.accounts.front().rate = 1e7;
        config.accounts.front().burst = 1e7;
        config.services.front().coldTime = seconds{3};
        config.services.front().coldRate = coldRate;
        fleet.publish(config);
        for (int i = 1; i <= 3; ++i) {
            announce(i, 1, milliseconds{0});
        }
        fleet.startAll();
        fleet.runFor(seconds{6});
    }

    void announce(int number, std::int64_t startedAt, std::optional<milliseconds> coldLeft)
    {
        auto endpoint = endpointNamed("desk-" + std::to_string(number), "desk");
        endpoint.dataCentre = {"dc-" + std::to_string(number % 3)};
        endpoint.address = "10.9.0." + std::to_string(number) + ":8000";
        endpoint.slots = 8; // The VMs spread their requests over the data centres.
        endpoint.startedAt = startedAt;
        endpoint.coldLeft = coldLeft;
        fleet.announce(endpoint);
    }

    void onDispatch(std::size_t index, const relay_dispatch &dispatch)
    {
        arrivals[dispatch.endpoint].push_back(fleet.now());
        fleet.schedule(milliseconds{5 + fleet.randomBelow(40)}, [this, index, dispatch] {
            relay_reply reply{.attempt = dispatch.attempt, .status = 200, .body = "b", .genuine = true, .statement = endpoint_statement{}};
            if (const auto it = coldUntil.find(dispatch.endpoint); it != coldUntil.end()) {
                reply.statement->coldLeft = std::max<duration>(it->second - fleet.now(), duration{});
            }
            fleet.deliver(index, std::move(reply));
        });
    }

    // Sends requests to random VMs.
    void load(duration time, int perSecond)
    {
        const auto end = fleet.now() + time;
        while (fleet.now() < end) {
            fleet.runFor(std::chrono::microseconds{1'000'000 / perSecond});
            fleet.submit(randomRunning(), "/lookup/1");
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

    // Returns the most requests that the endpoint got in a second that lies between the times.
    std::size_t most(const std::string &endpoint, time_point from, time_point to) const
    {
        const auto it = arrivals.find({endpoint});
        if (it == arrivals.end()) {
            return 0;
        }
        std::size_t best = 0;
        const auto &times = it->second;
        auto first = std::lower_bound(times.begin(), times.end(), from);
        for (auto last = first; last != times.end() && *last < to; ++last) {
            while (*last - *first >= seconds{1}) {
                ++first;
            }
            best = std::max(best, static_cast<std::size_t>(last - first) + 1);
        }
        return best;
    }
    void check(const std::string &endpoint, time_point from, time_point to) const
    {
        const auto got = most(endpoint, from, to);
        BOOST_TEST(static_cast<double>(got) <= allowedInASecond,
                   endpoint << " got " << got << " requests in a second while cold; allowed " << allowedInASecond);
    }
    std::size_t count(const std::string &endpoint, time_point from, time_point to) const
    {
        const auto it = arrivals.find({endpoint});
        const auto within = [&](time_point time) { return time >= from && time < to; };
        return it == arrivals.end() ? 0 : static_cast<std::size_t>(std::count_if(it->second.begin(), it->second.end(), within));
    }

    // Lets all three endpoints start again, with the time for which they stay cold.
    time_point restartAll(std::optional<milliseconds> coldLeft)
    {
        ++run;
        for (int i = 1; i <= 3; ++i) {
            announce(i, run, coldLeft);
        }
        return fleet.now() + learnTime;
    }
    void checkAll(time_point from, time_point to) const
    {
        for (const auto *name : {"desk-1", "desk-2", "desk-3"}) {
            check(name, from, to);
        }
    }

    simulated_fleet fleet;
    std::map<endpoint_name, time_point> coldUntil; // Stated in the answers of the endpoints.
    std::map<endpoint_name, std::vector<time_point>> arrivals;
    std::vector<answer_failure> failures;
    std::int64_t run = 1;
};

// Lets one endpoint start again, and checks that it gets the pace and no more, and its full part afterwards.
void playOneCold(int vmsPerDataCentre, int dataCentres)
{
    cold_play play(vmsPerDataCentre, dataCentres);
    play.start();
    const auto startedAt = play.fleet.now();
    play.load(seconds{2}, 300);
    const auto usual = play.count("desk-1", startedAt, startedAt + seconds{2});
    play.announce(1, 2, milliseconds{8000});
    const auto announcedAt = play.fleet.now();
    play.load(seconds{12}, 300);
    play.check("desk-1", announcedAt + learnTime, announcedAt + seconds{8});
    BOOST_TEST(play.count("desk-1", announcedAt + seconds{2}, announcedAt + seconds{8}) >= 6 * coldRate * 0.5);
    BOOST_TEST(static_cast<double>(play.count("desk-1", announcedAt + seconds{10}, announcedAt + seconds{12})) >= 0.7 * static_cast<double>(usual));
    BOOST_TEST(play.failures.empty());
}

// Lets all endpoints start again, so that the callers have no other one.
void playAllCold(int vmsPerDataCentre, int dataCentres)
{
    cold_play play(vmsPerDataCentre, dataCentres);
    play.start();
    play.load(seconds{1}, 300);
    const auto from = play.restartAll(milliseconds{8000});
    play.load(seconds{7}, 300);
    play.checkAll(from, from + seconds{6});
    for (const auto *name : {"desk-1", "desk-2", "desk-3"}) {
        BOOST_TEST(play.count(name, from, from + seconds{6}) >= 6 * coldRate * 0.5);
    }
    BOOST_TEST(!play.failures.empty());
    for (const auto &failed : play.failures) {
        BOOST_TEST(static_cast<int>(failed.result) == static_cast<int>(outcome::NotRun));
        BOOST_TEST(failed.retryAfter.has_value());
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(cold_endpoints)

BOOST_AUTO_TEST_CASE(oneColdEndpointAt7Vms)
{
    playOneCold(7, 1);
}

BOOST_AUTO_TEST_CASE(oneColdEndpointAt60Vms)
{
    playOneCold(20, 3);
}

BOOST_AUTO_TEST_CASE(oneColdEndpointAt295Vms)
{
    playOneCold(59, 5);
}

BOOST_AUTO_TEST_CASE(allEndpointsColdAt7Vms)
{
    playAllCold(7, 1);
}

BOOST_AUTO_TEST_CASE(allEndpointsColdAt60Vms)
{
    playAllCold(20, 3);
}

BOOST_AUTO_TEST_CASE(allEndpointsColdAt295Vms)
{
    playAllCold(59, 5);
}

// An entry that does not say how cold its worker is.
BOOST_AUTO_TEST_CASE(aRunThatStatesNothingIsCold)
{
    cold_play play(20, 3);
    play.start();
    const auto from = play.restartAll(std::nullopt);
    play.load(seconds{3}, 300);
    play.checkAll(from, from + seconds{2});
}

// An endpoint that becomes cold without starting again says so in its answers only, and each answer reaches one VM.
BOOST_AUTO_TEST_CASE(anEndpointThatStatesItInAnAnswerIsColdForAllVms)
{
    for (const int perDataCentre : {7, 20, 59}) {
        cold_play play(perDataCentre, perDataCentre == 7 ? 1 : perDataCentre == 20 ? 3 : 5);
        play.start();
        play.load(seconds{1}, 300);
        play.coldUntil[{"desk-1"}] = play.fleet.now() + seconds{5};
        const auto from = play.fleet.now() + learnTime;
        play.load(seconds{5}, 300);
        play.check("desk-1", from, from + seconds{4});
        BOOST_TEST(play.count("desk-1", from, from + seconds{4}) > 0U);
    }
}

// Each VM has only its own share.
BOOST_AUTO_TEST_CASE(noVmHearsAnother)
{
    for (const int perDataCentre : {7, 20, 59}) {
        cold_play play(perDataCentre, perDataCentre == 7 ? 1 : perDataCentre == 20 ? 3 : 5);
        play.start();
        for (std::size_t a = 0; a < play.fleet.vms.size(); ++a) {
            for (std::size_t b = 0; b < play.fleet.vms.size(); ++b) {
                play.fleet.cutLinks.insert({a, b});
            }
        }
        play.load(seconds{4}, 300);
        const auto announcedAt = play.fleet.now();
        play.restartAll(milliseconds{12'000});
        play.load(seconds{11}, 300);
        // A VM alone reads the directory within its bound.
        play.checkAll(announcedAt + seconds{3}, announcedAt + seconds{11});
    }
}

BOOST_AUTO_TEST_CASE(aPartitionBeginsAndEnds)
{
    for (const int perDataCentre : {7, 20, 59}) {
        cold_play play(perDataCentre, perDataCentre == 7 ? 1 : perDataCentre == 20 ? 3 : 5);
        play.start();
        const auto from = play.restartAll(milliseconds{20'000});
        play.load(seconds{3}, 300);
        for (std::size_t a = 0; a < play.fleet.vms.size(); ++a) {
            for (std::size_t b = 0; b < play.fleet.vms.size(); ++b) {
                if (a % 3 != b % 3) {
                    play.fleet.cutLinks.insert({a, b});
                }
            }
        }
        play.load(seconds{6}, 300);
        play.fleet.cutLinks.clear();
        play.load(seconds{4}, 300);
        play.checkAll(from, from + seconds{12});
    }
}

BOOST_AUTO_TEST_CASE(allVmsKilled)
{
    for (const int perDataCentre : {7, 20, 59}) {
        cold_play play(perDataCentre, perDataCentre == 7 ? 1 : perDataCentre == 20 ? 3 : 5);
        play.start();
        const auto from = play.restartAll(milliseconds{20'000});
        play.load(seconds{3}, 300);
        for (std::size_t i = 0; i < play.fleet.vms.size(); ++i) {
            play.fleet.kill(i);
            play.fleet.schedule(milliseconds{300 + play.fleet.randomBelow(500)}, [&play, i] { play.fleet.start(i); });
        }
        play.fleet.runFor(milliseconds{900});
        play.load(seconds{5}, 300);
        play.checkAll(from, from + seconds{8});
    }
}

BOOST_AUTO_TEST_CASE(hubsFrozenAndResumed)
{
    for (const int perDataCentre : {7, 20, 59}) {
        cold_play play(perDataCentre, perDataCentre == 7 ? 1 : perDataCentre == 20 ? 3 : 5);
        play.start();
        const auto from = play.restartAll(milliseconds{30'000});
        play.load(seconds{3}, 300);
        for (int round = 0; round < 2; ++round) {
            std::vector<std::size_t> frozen;
            for (std::size_t i = 0; i < play.fleet.vms.size(); ++i) {
                if (play.fleet.isHub(i)) {
                    play.fleet.vms[i].frozen = true;
                    frozen.push_back(i);
                }
            }
            play.load(seconds{3}, 300);
            for (const auto i : frozen) {
                play.fleet.vms[i].frozen = false;
            }
            play.load(seconds{3}, 300);
        }
        play.checkAll(from, from + seconds{14});
    }
}

BOOST_AUTO_TEST_CASE(hubsKilledOneAfterAnother)
{
    for (const int perDataCentre : {7, 20, 59}) {
        cold_play play(perDataCentre, perDataCentre == 7 ? 1 : perDataCentre == 20 ? 3 : 5);
        play.start();
        const auto from = play.restartAll(milliseconds{30'000});
        play.load(seconds{3}, 300);
        for (int kill = 0; kill < 4; ++kill) {
            for (std::size_t i = 0; i < play.fleet.vms.size(); ++i) {
                if (play.fleet.isHub(i)) {
                    play.fleet.kill(i);
                    break;
                }
            }
            play.load(seconds{2}, 300);
        }
        play.checkAll(from, from + seconds{10});
    }
}

// Guards against messages that grow in deployments without cold endpoints: the time that counts down in entries changes nothing there.
BOOST_AUTO_TEST_CASE(servicesWithoutAColdRateAreServedAsBefore)
{
    cold_play play(7, 1);
    play.start();
    play.fleet.publish([] {
        auto config = sampleRelayConfig(2);
        config.accounts.front().rate = 1e7;
        config.accounts.front().burst = 1e7;
        return config;
    }());
    play.fleet.runFor(seconds{2});
    play.announce(1, 2, milliseconds{8000});
    play.coldUntil[{"desk-2"}] = play.fleet.now() + seconds{8};
    const auto from = play.fleet.now() + learnTime;
    play.load(seconds{5}, 300);
    for (const auto *name : {"desk-1", "desk-2"}) {
        BOOST_TEST(play.count(name, from, from + seconds{4}) >= 300U);
    }
    for (const auto &vm : play.fleet.vms) {
        BOOST_TEST(vm.core->status().at("cold_endpoints") == 0);
    }
}

// An entry that the directory shows again, as a whole read does, is not a new run.
BOOST_FIXTURE_TEST_CASE(anEntryThatIsReadAgainStartsNoColdTime, relay_fixture)
{
    auto config = sampleRelayConfig();
    config.services.front().coldTime = seconds{3};
    config.services.front().coldRate = 0.001;
    configure(config);
    auto endpoint = endpointNamed("desk-1", "desk");
    auto unstated = endpointNamed("desk-2", "desk");
    endpoint.coldLeft = milliseconds{2000};
    announce({endpoint, unstated});
    BOOST_TEST(core.status().at("cold_endpoints") == 2);
    advance(seconds{1});
    announce({endpoint, unstated});
    announce({endpoint, unstated}, false);
    advance(milliseconds{1001});
    BOOST_TEST(core.status().at("cold_endpoints") == 1);
    advance(seconds{1});
    BOOST_TEST(core.status().at("cold_endpoints") == 0);
    endpoint.coldLeft = milliseconds{1000};
    announce({endpoint, unstated}, false);
    BOOST_TEST(core.status().at("cold_endpoints") == 1);
}

// A request that finds cold endpoints only is told when a place is expected.
BOOST_FIXTURE_TEST_CASE(aRequestThatCannotBeServedInTimeIsRefusedAtOnce, relay_fixture)
{
    auto config = sampleRelayConfig();
    config.services.front().coldTime = seconds{60};
    config.services.front().coldRate = 0.5;
    configure(config);
    announce({endpointNamed("desk-1", "desk")});
    advance(milliseconds{100});
    sendRequest("/lookup/1");
    BOOST_REQUIRE(failures.size() == 1U);
    BOOST_TEST((failures[0].reason == failure::Overloaded));
    BOOST_REQUIRE(failures[0].retryAfter.has_value());
    BOOST_TEST((*failures[0].retryAfter >= seconds{2}));
}

// The decode endpoint may become cold while the prompt is read elsewhere. Its slot was reserved without a permit.
BOOST_FIXTURE_TEST_CASE(aDecodeEndpointThatBecomesColdTakesNoPrefillWithoutAPermit, relay_fixture)
{
    auto config = sampleRelayConfig();
    config.services[1].coldTime = seconds{3};
    config.services[1].coldRate = 0.001;
    configure(config);
    std::vector<relay_endpoint> engines{endpointNamed("pre-1", "llm", endpoint_role::Prefill),
                                        endpointNamed("dec-1", "llm", endpoint_role::Decode),
                                        endpointNamed("dec-2", "llm", endpoint_role::Decode)};
    for (auto &each : engines) {
        each.coldLeft = milliseconds{0};
    }
    announce(engines);
    advance(milliseconds{100});
    sendModelRequest("/draft/1");
    BOOST_REQUIRE(dispatches.size() == 1U);
    BOOST_REQUIRE((dispatches[0].kind == dispatch_kind::Prefill));
    for (std::size_t i = 1; i < engines.size(); ++i) {
        engines[i].coldLeft = milliseconds{3000};
    }
    announce({engines[1], engines[2]}, false);
    core.handle(prefill_reply{.attempt = dispatches[0].attempt, .handle = "h"});
    collect();
    BOOST_TEST(dispatches.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
