// Tests how evenly requests are spread over endpoints whose load is known with a delay, and what reports of load are worth.
#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "endpoint_load_estimate.hpp"
#include "relay_fixture.hpp"
#include "simulated_pool.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

// The choice before reports were used: the least counted requests, with a spread among endpoints that are about equal.
endpoint_entry *chooseByCounts(const std::vector<endpoint_entry *> &candidates, const placement_context &context, std::mt19937 & /*random*/)
{
    constexpr double remotePenalty = 0.2;
    constexpr double spread = 0.15;
    constexpr std::uint64_t steps = 1024;
    endpoint_entry *best = nullptr;
    double bestCost = 0;
    for (auto *entry : candidates) {
        const auto running = static_cast<std::int32_t>(entry->open.size()) + context.fleet.loadAt(entry->info.name).running;
        if (running >= entry->info.slots * 2) {
            continue;
        }
        const double cost = static_cast<double>(running + 1) / entry->info.slots + (entry->info.dataCentre == context.dataCentre ? 0 : remotePenalty)
                            + spread * static_cast<double>(stableHash(entry->info.name.value, context.spreadSeed) % steps) / steps;
        if (best == nullptr || cost < bestCost) {
            best = entry;
            bestCost = cost;
        }
    }
    return best;
}

endpoint_entry *chooseByEstimate(const std::vector<endpoint_entry *> &candidates, const placement_context &context, std::mt19937 & /*random*/)
{
    return choosePlain(candidates, context);
}

constexpr auto noReport = std::nullopt;

struct choice_fixture {
    explicit choice_fixture(std::int32_t slots = 6)
    {
        directory_read read{.whole = true, .position = 1};
        for (int i = 0; i < 3; ++i) {
            auto endpoint = endpointNamed("desk-" + std::to_string(i), "desk");
            endpoint.dataCentre.value = i < 2 ? "dc-a" : "dc-b";
            endpoint.slots = slots;
            read.changed.push_back({endpoint.name, endpoint});
        }
        endpoints.onRead(read, now);
        std::vector<relay_command> messages;
        fleet.exchange({}, now, messages);
    }

    endpoint_entry &desk(int number) { return *endpoints.find({"desk-" + std::to_string(number)}); }
    void open(int number, int requests)
    {
        for (int i = 0; i < requests; ++i) {
            desk(number).open.emplace(++lastAttempt, open_work{now, 0, 0, false});
        }
    }
    void hear(int number, std::optional<std::int32_t> workTimePercent, std::int32_t running = 0)
    {
        fleet.on(fleet_heartbeat{.from = {{"vm-2"}, 1},
                                 .sequence = ++sequence,
                                 .address = "127.0.0.1:7002",
                                 .dataCentre = {"dc-a"},
                                 .loads = {{.endpoint = desk(number).info.name, .running = running, .workTimePercent = workTimePercent}}},
                 now);
    }
    placement_context context(std::uint64_t seed) { return {fleet, dataCentre, speeds, now, excluded, {}, version, true, seed}; }
    std::vector<endpoint_entry *> candidates() { return endpoints.candidates({"desk"}, endpoint_role::Plain, now); }
    // Returns how many of a hundred requests, each of which ends at once, go to the endpoint.
    int share(int number)
    {
        int count = 0;
        for (std::uint64_t seed = 0; seed < 100; ++seed) {
            count += choosePlain(candidates(), context(seed * 7919 + 1)) == &desk(number) ? 1 : 0;
        }
        return count;
    }

    time_point now{std::chrono::hours{1}};
    data_centre_name dataCentre{"dc-a"};
    engine_speeds speeds;
    std::set<endpoint_name> excluded;
    std::optional<software_version> version;
    endpoint_directory endpoints;
    fleet_view fleet{{{"vm-1"}, "127.0.0.1:7001", {"dc-a"}, 1}, 1};
    std::uint64_t sequence = 0;
    attempt_number lastAttempt = 0;
};

struct engine_pool {
    explicit engine_pool(std::vector<double> speeds)
        : settings{.vms = 71,
                   .knowledgeAge = milliseconds{50},
                   .utilisation = 0.5,
                   .speeds = std::move(speeds),
                   .slots = 12,
                   .meanWorkMs = 1500,
                   .role = endpoint_role::Decode,
                   .slowPeriods = false,
                   .reportsWorkTime = false,
                   .time = std::chrono::seconds{120}}
    {
    }

    endpoint_entry *choose(const std::vector<endpoint_entry *> &engines, const placement_context &context) const
    {
        const auto placement = chooseModel({}, engines, {.slots = settings.slots, .kvTokens = 1'000'000}, {5200, 70, {}}, context);
        return placement ? placement->decode : nullptr;
    }
    // Chooses as if nothing of the engines' speed was known.
    endpoint_entry *chooseWithoutSpeed(const std::vector<endpoint_entry *> &engines, const placement_context &context) const
    {
        std::vector<hold_time_estimate> learnt;
        for (auto *engine : engines) {
            learnt.push_back(std::exchange(engine->holdTime, {}));
        }
        auto *const chosen = choose(engines, context);
        for (std::size_t i = 0; i < engines.size(); ++i) {
            engines[i]->holdTime = learnt[i];
        }
        return chosen;
    }

    pool_settings settings;
};

} // namespace

BOOST_AUTO_TEST_SUITE(even_load)

// Guards against a change of placement where endpoints say nothing of their load.
BOOST_AUTO_TEST_CASE(endpointsWithoutReportsAreChosenByCounts)
{
    std::mt19937 random(1);
    const auto below = [&](int count) { return std::uniform_int_distribution<int>(0, count - 1)(random); };
    for (int round = 0; round < 300; ++round) {
        choice_fixture fixture(1 + below(12));
        fixture.now += milliseconds{below(1000)};
        for (int number = 0; number < 3; ++number) {
            fixture.open(number, below(8));
            fixture.hear(number, noReport, below(8));
        }
        fixture.now += milliseconds{below(150)}; // Answers are not overdue before 200 ms.
        const auto context = fixture.context(random());
        BOOST_TEST(choosePlain(fixture.candidates(), context) == chooseByCounts(fixture.candidates(), context, random));
    }
}

// Guards against a slow machine that gets as much as the others, as each VM only counts requests.
BOOST_AUTO_TEST_CASE(aSlowMachineGetsLessUntilTheReadingIsOld)
{
    choice_fixture fixture;
    fixture.open(0, 2);
    fixture.open(1, 2);
    fixture.open(2, 2);
    BOOST_TEST(fixture.share(0) > 25);
    fixture.desk(0).loadEstimate.onReport({.running = 2, .waiting = 0, .slots = 6, .workTimePercent = 250}, 2, fixture.now);
    BOOST_TEST(fixture.share(0) == 0);
    BOOST_TEST((knowledgeOf(fixture.desk(0), fixture.context(1)) == load_knowledge::Report));
    // A slow endpoint is not avoided at any price.
    fixture.open(1, 9);
    fixture.open(2, 9);
    BOOST_TEST(fixture.share(0) == 100);
    choice_fixture later;
    later.open(0, 2);
    later.open(1, 2);
    later.open(2, 2);
    later.desk(0).loadEstimate.onReport({.running = 2, .waiting = 0, .slots = 6, .workTimePercent = 250}, 2, later.now);
    later.now += milliseconds{600};
    for (const int number : {0, 1, 2}) {
        for (auto &[attempt, work] : later.desk(number).open) {
            work.since = later.now; // Answers are not overdue.
        }
    }
    BOOST_TEST(later.share(0) > 25);
    BOOST_TEST((knowledgeOf(later.desk(0), later.context(1)) == load_knowledge::Counts));
}

// Guards against a hub that does not use what its VMs have heard.
BOOST_AUTO_TEST_CASE(aHubUsesWorkTimesThatItsVmsHaveHeard)
{
    choice_fixture fixture;
    fixture.open(0, 2);
    fixture.open(1, 2);
    fixture.open(2, 2);
    fixture.hear(0, 250);
    BOOST_TEST(fixture.share(0) == 0);
    BOOST_TEST((knowledgeOf(fixture.desk(0), fixture.context(1)) == load_knowledge::Heard));
    // The newest reading counts.
    fixture.now += milliseconds{5};
    fixture.desk(0).loadEstimate.onReport({.running = 2, .waiting = 0, .slots = 6, .workTimePercent = 100}, 2, fixture.now);
    BOOST_TEST(fixture.share(0) > 25);
}

// Guards against a wrong figure that excludes an endpoint, or that sends everything there.
BOOST_AUTO_TEST_CASE(wrongFiguresCostLittle)
{
    for (const std::int32_t percent : {1, 1'000'000}) {
        choice_fixture fixture;
        fixture.desk(0).loadEstimate.onReport({.running = 0, .waiting = 0, .slots = 6, .workTimePercent = percent}, 0, fixture.now);
        fixture.open(0, percent == 1 ? 11 : 0);
        fixture.open(1, percent == 1 ? 2 : 11);
        fixture.open(2, 11);
        BOOST_TEST(fixture.share(0) == (percent == 1 ? 0 : 100), percent);
    }
    // Requests of this VM are certain, whatever the endpoint says.
    choice_fixture fixture;
    fixture.desk(0).endpointStatistics.onSuccess(milliseconds{30}, fixture.now);
    fixture.desk(0).loadEstimate.onReport({.running = 0, .waiting = 0, .slots = 6, .workTimePercent = 100}, 5, fixture.now);
    fixture.open(0, 5);
    fixture.open(1, 2);
    fixture.open(2, 5);
    BOOST_TEST(fixture.share(0) == 0);
}

// Guards against requests that the VMs do not count, and against an old report that goes on counting.
BOOST_AUTO_TEST_CASE(aReportAddsWhatTheCountsLackAndAges)
{
    endpoint_load_estimate estimate;
    const time_point now{std::chrono::hours{1}};
    const endpoint_load_estimate::counts counted{.near = 1, .far = 1, .farAge = {}, .holdTime = milliseconds{30}};
    BOOST_TEST(estimate.requests(counted, now) == 2);
    estimate.onReport({.running = 6, .waiting = 4, .slots = 6, .workTimePercent = {}}, 2, now);
    BOOST_TEST(estimate.requests(counted, now) == 10);
    BOOST_TEST(estimate.requests(counted, now + milliseconds{30}) < 6);
    BOOST_TEST(estimate.requests(counted, now + milliseconds{200}) < 2.1);
    // What this VM has sent since comes on top.
    BOOST_TEST(estimate.requests({.near = 3, .far = 1, .farAge = {}, .holdTime = milliseconds{30}}, now) == 12);
}

// Guards against VMs that all avoid, or all choose, an endpoint because of its load a while ago.
BOOST_AUTO_TEST_CASE(oldCountsOfOthersReturnToTheirMean)
{
    endpoint_load_estimate estimate;
    time_point now{std::chrono::hours{1}};
    const auto requests = [&](std::int32_t far, duration age) {
        return estimate.requests({.near = 0, .far = far, .farAge = age, .holdTime = milliseconds{30}}, now);
    };
    for (int i = 0; i < 100; ++i, now += milliseconds{20}) {
        requests(4, milliseconds{50});
    }
    BOOST_TEST(requests(12, {}) == 12);
    BOOST_TEST(requests(12, milliseconds{50}) < 6);
    BOOST_TEST(requests(0, milliseconds{50}) > 3);
    BOOST_TEST(std::abs(requests(12, milliseconds{1000}) - 4) < 0.5);
}

// Guards against figures that make no sense being passed over in silence.
BOOST_FIXTURE_TEST_CASE(unreadableReportsAreCounted, relay_fixture)
{
    configureDesks();
    for (int i = 0; i < 3; ++i) {
        sendRequest("/lookup/1");
        core.handle(relay_reply{
            .attempt = dispatches.back().attempt, .status = 200, .body = "b", .genuine = true, .statement = endpoint_statement{.loadUnreadable = true}});
        collect();
    }
    BOOST_TEST(answers.size() == 3U);
    BOOST_TEST(core.metrics().at("unreadable_load_reports") == 3);
    BOOST_TEST(core.metrics().at("choices").at("counts") == 3);
}

// Guards against a VM that keeps what an endpoint has said of its machine from its hub, and against heartbeats for it alone.
BOOST_FIXTURE_TEST_CASE(heartbeatsCarryTheWorkTime, relay_fixture)
{
    configureDesks();
    sendRequest("/lookup/1");
    core.handle(relay_reply{.attempt = dispatches.back().attempt,
                            .status = 200,
                            .body = "b",
                            .genuine = true,
                            .load = reported_load{.running = 1, .waiting = 0, .slots = 2, .workTimePercent = 250}});
    collect();
    core.handle(fleet_heartbeat{.from = {{"vm-2"}, 5}, .sequence = 1, .address = "127.0.0.1:7002", .dataCentre = {"dc-a"}});
    heartbeatMessages.clear();
    for (int i = 0; i < 10 && heartbeatMessages.empty(); ++i) {
        advance(milliseconds{10});
    }
    BOOST_REQUIRE(!heartbeatMessages.empty());
    const auto &loads = heartbeatMessages.back().heartbeatMessage->loads;
    BOOST_REQUIRE(loads.size() == 1U);
    BOOST_TEST(loads[0].running == 0);
    BOOST_TEST(loads[0].workTimePercent.value_or(0) > 200);
}

// Compares the ways that docs/design/even-load.md lists. No way but the estimate may come closer to the aim.
BOOST_AUTO_TEST_CASE(otherWaysAreNotMoreEven)
{
    const auto best = [](const std::vector<endpoint_entry *> &candidates, const auto &costOf) {
        return *std::min_element(candidates.begin(), candidates.end(), [&](auto *a, auto *b) { return costOf(*a) < costOf(*b); });
    };
    const auto counted = [](const endpoint_entry &entry, const placement_context &context) {
        return static_cast<int>(entry.open.size()) + context.fleet.loadAt(entry.info.name).running;
    };
    const pool_choice random = [](const auto &candidates, const auto & /*context*/, std::mt19937 &numbers) {
        return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(numbers)];
    };
    const pool_choice twoChoices = [&](const auto &candidates, const auto &context, std::mt19937 &numbers) {
        std::vector<endpoint_entry *> sample;
        std::sample(candidates.begin(), candidates.end(), std::back_inserter(sample), 2, numbers);
        return best(sample, [&](const auto &entry) { return counted(entry, context); });
    };
    const pool_choice randomTies = [&](const auto &candidates, const auto &context, std::mt19937 &numbers) {
        auto shuffled = candidates;
        std::shuffle(shuffled.begin(), shuffled.end(), numbers);
        return best(shuffled, [&](const auto &entry) { return counted(entry, context); });
    };
    for (const int age : {50, 1000}) {
        const auto shareOf = [&](const pool_choice &choice, std::string_view name) {
            double share = 0;
            for (const unsigned seed : {1U, 2U}) {
                share += simulated_pool({.vms = 71, .knowledgeAge = milliseconds{age}, .seed = seed}, choice).run().unevenShare / 2;
            }
            BOOST_TEST_MESSAGE("totals " << age << " ms old, " << name << ": " << share);
            return share;
        };
        const auto estimate = shareOf(chooseByEstimate, "estimate");
        BOOST_TEST(estimate < shareOf(random, "random"));
        BOOST_TEST(estimate < shareOf(twoChoices, "two choices"));
        BOOST_TEST(estimate < shareOf(randomTies, "random ties"));
        BOOST_TEST(estimate < shareOf(chooseByCounts, "counts with spread"));
    }
}

// Guards against engines that get equal numbers whatever their speed, so that slow ones are busy for longest.
BOOST_AUTO_TEST_CASE(enginesAreBusyInProportionToTheirSpeed)
{
    const engine_pool pool({0.55, 0.8, 1, 1.3});
    const pool_choice bySpeed = [&](const auto &engines, const auto &context, auto & /*random*/) { return pool.choose(engines, context); };
    const pool_choice byCounts = [&](const auto &engines, const auto &context, auto & /*random*/) { return pool.chooseWithoutSpeed(engines, context); };
    const auto before = simulated_pool(pool.settings, byCounts).run();
    const auto after = simulated_pool(pool.settings, bySpeed).run();
    BOOST_TEST_MESSAGE("busiest engine over the mean, in proportion to speed: before " << before.busiestOverMean << " after " << after.busiestOverMean);
    BOOST_TEST(after.busiestOverMean - 1 < (before.busiestOverMean - 1) / 2);
}

// Guards against chance being taken for speed where engines are equally fast. A twentieth of the choices may differ, between engines that are about equal.
BOOST_AUTO_TEST_CASE(equallyFastEnginesAreChosenAsBefore)
{
    const engine_pool pool({1, 1, 1, 1});
    int choices = 0;
    int different = 0;
    const pool_choice choice = [&](const auto &engines, const auto &context, auto & /*random*/) {
        auto *const without = pool.chooseWithoutSpeed(engines, context);
        auto *const chosen = pool.choose(engines, context);
        ++choices;
        different += chosen != without ? 1 : 0;
        return chosen;
    };
    simulated_pool(pool.settings, choice).run();
    BOOST_TEST_MESSAGE("equally fast engines: " << different << " of " << choices << " choices differ");
    BOOST_TEST(different * 20 <= choices);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(even_load_aim)

// Guards against endpoints that are overloaded in turn while others are idle. The aim is a tenth of the share of time before reports were used.
BOOST_AUTO_TEST_CASE(endpointsAreSeldomOverTheirSlotsWhileOthersAreFree)
{
    constexpr double aim = 0.1;
    constexpr unsigned seeds = 2;
    for (const int vms : {7, 71, 91, 295}) {
        for (const int age : {0, 50, 200, 1000}) {
            double before = 0;
            double after = 0;
            double lateBefore = 0;
            double lateAfter = 0;
            for (unsigned seed = 1; seed <= seeds; ++seed) {
                const pool_settings settings{.vms = vms, .knowledgeAge = milliseconds{age}, .seed = seed};
                const auto byCounts = simulated_pool(settings, chooseByCounts).run();
                const auto byEstimate = simulated_pool(settings, chooseByEstimate).run();
                before += byCounts.unevenShare / seeds;
                after += byEstimate.unevenShare / seeds;
                lateBefore += byCounts.lateShare / seeds;
                lateAfter += byEstimate.lateShare / seeds;
            }
            BOOST_TEST_MESSAGE(vms << " VMs, totals " << age << " ms old: over slots " << before << " -> " << after << ", late " << lateBefore << " -> "
                                   << lateAfter);
            BOOST_TEST(after <= before * aim, vms << " VMs, totals " << age << " ms old: " << before << " -> " << after);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
