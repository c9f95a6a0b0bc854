// Checks the placement bench: the targets of the policy, reproducible runs, and errors in scenario files.
#include <boost/test/unit_test.hpp>

#include "metrics.hpp"

using namespace plantainpoint::bench;

namespace {

// Scenarios for the targets in section 10 of the design, at a small size and with fixed seeds.
constexpr auto scenarios = R"(
defaults: {seeds: [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16], loads: [0.9], engine: {pieces: 96}, window_s: 100, drain_s: 75}
scenarios:
  - {name: press, sizes: {vms: 7, prefill_workers: 3, decode_workers: 8, fairness: 0.2}, loads: [0.9, 1.0, 1.3],
     routers: [placer, prefill_first, sampling], checks: [loads, baselines]}
  - {name: flood, sizes: {vms: 7, prefill_workers: 3, decode_workers: 8, fairness: 0.2}, faults: [{kind: account_flood, index: 3, factor: 5}], checks: [flood]}
  - {name: decode-lost, sizes: {vms: 7, prefill_workers: 3, decode_workers: 8}, faults: [{kind: worker_lost, worker: decode-2, at_s: 40}], checks: [recovery]}
  - {name: placer-lost, sizes: {vms: 7, prefill_workers: 3, decode_workers: 8}, faults: [{kind: vm_lost, index: 0, at_s: 40}], checks: [recovery]}
)";

} // namespace

BOOST_AUTO_TEST_SUITE(placement_bench)

// Guards against a change of the placement policy that misses a target.
BOOST_AUTO_TEST_CASE(policyMeetsItsTargets)
{
    const auto parsedScenarios = parseScenarios(scenarios, "test");
    BOOST_REQUIRE(parsedScenarios.ok());
    const auto cells = runAll(*parsedScenarios, 8, [](std::size_t, std::size_t) {});
    const auto targets = checkTargets(*parsedScenarios, cells);
    BOOST_TEST(targets.size() >= 12);
    for (const auto &targetResult : targets) {
        BOOST_TEST(targetResult.met,
                   targetResult.scenarioName << ": " << targetResult.target << ": wanted " << targetResult.wanted << ", measured " << targetResult.measured);
    }
}

// Guards against two runs of one seed that differ, which would make the figures of different runs incomparable.
BOOST_AUTO_TEST_CASE(runsOfOneSeedAreReproducible)
{
    const auto parsedScenarios = parseScenarios(scenarios, "test");
    const auto &scenario = parsedScenarios->front();
    const auto first = figuresOf(scenario, *simulate(scenario, "placer", 1.3, 5), 1.3);
    const auto second = figuresOf(scenario, *simulate(scenario, "placer", 1.3, 5), 1.3);
    BOOST_TEST(first.goodput == second.goodput);
    BOOST_TEST(first.refused == second.refused);
}

// Guards against a mistyped key in a scenario file that silently leaves a default in place.
BOOST_AUTO_TEST_CASE(unknownKeyErrorNamesFileAndLine)
{
    const auto parsedScenarios = parseScenarios("scenarios:\n  - name: x\n    lods: [1]\n", "file.yaml");
    BOOST_REQUIRE(!parsedScenarios.ok());
    BOOST_TEST(std::string(parsedScenarios.status().message()).find("file.yaml:3: unknown key \"lods\"") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
