// Stateful fuzz test of membership, freshness and share_table against an exact token bucket.
#include <cstring>
#include <iostream>

#include <rapidcheck/state.h>

#include "share_refusals.hpp"
#include "share_world.hpp"

using namespace plantainpoint;
using namespace plantainpoint::fuzz;

namespace {

constexpr std::size_t vmCount = 5;
constexpr std::size_t accountCount = 2;
constexpr int commandsPerRun = 80;

// Mutants, each without one of the rules that the bound of an account depends on.
struct credit_before_debit : production_rules {
    static constexpr bool debitsBeforeSending = false;
};
struct full_bucket_on_transfer : production_rules {
    static constexpr bool keepsFillInTransfer = false;
};
struct reclaim_without_waiting : production_rules {
    static constexpr bool waitsBeforeReclaiming = false;
};
struct lease_not_checked : production_rules {
    static constexpr bool checksLease = false;
};
struct duplicates_applied : production_rules {
    static constexpr bool appliesOnce = false;
};
struct old_epochs_accepted : production_rules {
    static constexpr bool refusesOldEpochs = false;
};
struct reports_not_awaited : production_rules {
    static constexpr bool waitsForReports = false;
};
struct late_handovers_counted : production_rules {
    static constexpr bool dropsLateHandovers = false;
};
struct heartbeats_not_dated : production_rules {
    static constexpr bool datesHeartbeats = false;
};

// Empty model. No command depends on earlier ones, so that every sequence is valid and shrinks well.
struct fuzz_model {
};

template<class Rules>
using fuzz_command = rc::state::Command<fuzz_model, share_world<Rules>>;

template<class Rules>
struct world_command : fuzz_command<Rules> {
    void run(const fuzz_model & /*model*/, share_world<Rules> &world) const override
    {
        execute(world);
        world.advance(waitAfter);
        if (!world.violation().empty()) {
            RC_FAIL(world.violation());
        }
    }
    void show(std::ostream &os) const override
    {
        describe(os);
        os << ", then " << waitAfter / millisecond << " ms";
    }
    virtual void execute(share_world<Rules> &world) const = 0;
    virtual void describe(std::ostream &os) const = 0;

    duration waitAfter = *rc::gen::element(1, 10, 50, 200, 1000, 3000) * millisecond;
    std::size_t vm = *rc::gen::inRange<std::size_t>(0, vmCount);
};

template<class Rules>
struct set_traffic : world_command<Rules> {
    std::size_t account = *rc::gen::inRange<std::size_t>(0, accountCount);
    traffic kind = *rc::gen::element(traffic::None, traffic::Light, traffic::Greedy, traffic::Greedy);
    void execute(share_world<Rules> &world) const override { world.setTraffic(this->vm, account, kind); }
    void describe(std::ostream &os) const override { os << "traffic vm-" << this->vm << " account-" << account << " " << static_cast<int>(kind); }
};

template<class Rules>
struct pause_vm : world_command<Rules> {
    int pauseMillis = *rc::gen::element(20, 300, 2900, 3200, 8000, 15000);
    void execute(share_world<Rules> &world) const override { world.pause(this->vm, pauseMillis * millisecond); }
    void describe(std::ostream &os) const override { os << "pause vm-" << this->vm << " " << pauseMillis << " ms"; }
};

template<class Rules>
struct kill_vm : world_command<Rules> {
    bool unlist = *rc::gen::arbitrary<bool>();
    void execute(share_world<Rules> &world) const override
    {
        world.kill(this->vm);
        if (unlist) {
            world.unlist(this->vm);
        }
    }
    void describe(std::ostream &os) const override { os << "kill vm-" << this->vm << (unlist ? " and unlist" : ""); }
};

template<class Rules>
struct start_vm : world_command<Rules> {
    void execute(share_world<Rules> &world) const override { world.start(this->vm); }
    void describe(std::ostream &os) const override { os << "start vm-" << this->vm; }
};

template<class Rules>
struct leave_vm : world_command<Rules> {
    void execute(share_world<Rules> &world) const override { world.leave(this->vm); }
    void describe(std::ostream &os) const override { os << "leave vm-" << this->vm; }
};

template<class Rules>
struct cut_network : world_command<Rules> {
    unsigned sideMask = *rc::gen::inRange<unsigned>(0, 1U << vmCount);
    unsigned logCutMask = *rc::gen::element(0U, 0U, 1U) * *rc::gen::inRange<unsigned>(0, 1U << vmCount);
    void execute(share_world<Rules> &world) const override
    {
        world.partition(sideMask);
        world.cutFromLog(logCutMask);
    }
    void describe(std::ostream &os) const override { os << "partition " << sideMask << ", cut from log " << logCutMask; }
};

template<class Rules>
struct log_outage : world_command<Rules> {
    bool down = *rc::gen::arbitrary<bool>();
    int appendDelayMillis = *rc::gen::element(0, 0, 400, 5000);
    void execute(share_world<Rules> &world) const override
    {
        world.setLogDown(down);
        world.setAppendDelay(appendDelayMillis * millisecond);
    }
    void describe(std::ostream &os) const override { os << "log " << (down ? "down" : "up") << ", appends " << appendDelayMillis << " ms late"; }
};

template<class Rules>
struct network_quality : world_command<Rules> {
    network_faults faults{*rc::gen::element(0, 0, 5, 30), *rc::gen::element(0, 10, 50), *rc::gen::element(1, 5, 400, 6000) * millisecond};
    void execute(share_world<Rules> &world) const override { world.setNetwork(faults); }
    void describe(std::ostream &os) const override
    {
        os << "network drop " << faults.dropPercent << "%, duplicate " << faults.duplicatePercent << "%, delay up to " << faults.delay / millisecond << " ms";
    }
};

template<class Rules>
struct publish_limit : world_command<Rules> {
    std::size_t account = *rc::gen::inRange<std::size_t>(0, accountCount);
    rate_limit limit{*rc::gen::element(3, 7, 50, 333) * microTokensPerRequest, *rc::gen::element(2, 9, 41) * microTokensPerRequest + 7};
    void execute(share_world<Rules> &world) const override { world.publish(account, limit); }
    void describe(std::ostream &os) const override { os << "limit account-" << account << " " << limit.rate << "/" << limit.burst; }
};

template<class Rules>
struct heal_all : world_command<Rules> {
    void execute(share_world<Rules> &world) const override
    {
        world.heal();
        for (std::size_t i = 0; i < vmCount; ++i) {
            world.setTraffic(i, 0, traffic::Greedy);
        }
        world.advance(std::chrono::seconds(2));
    }
    void describe(std::ostream &os) const override { os << "heal"; }
};

struct run_totals {
    std::uint64_t steps = 0;
    std::uint64_t admitted = 0;
};

template<class Rules>
void runHistory(run_totals &totals)
{
    using namespace rc::state::gen;
    // Half of the runs keep their limits, so that the bound is the same throughout.
    const bool changesLimits = *rc::gen::arbitrary<bool>();
    const world_settings settings{vmCount,
                                  {{20 * microTokensPerRequest, 30 * microTokensPerRequest}, {200 * microTokensPerRequest + 3, 40 * microTokensPerRequest + 1}},
                                  *rc::gen::arbitrary<std::uint64_t>()};
    share_world<Rules> world(settings);
    world.advance(std::chrono::seconds(5));
    const auto fixedLimitCommands = execOneOfWithArgs<set_traffic<Rules>,
                                                      set_traffic<Rules>,
                                                      set_traffic<Rules>,
                                                      pause_vm<Rules>,
                                                      kill_vm<Rules>,
                                                      start_vm<Rules>,
                                                      start_vm<Rules>,
                                                      leave_vm<Rules>,
                                                      cut_network<Rules>,
                                                      log_outage<Rules>,
                                                      network_quality<Rules>,
                                                      heal_all<Rules>>();
    const auto changingLimitCommands = execOneOfWithArgs<set_traffic<Rules>,
                                                         set_traffic<Rules>,
                                                         pause_vm<Rules>,
                                                         start_vm<Rules>,
                                                         cut_network<Rules>,
                                                         publish_limit<Rules>,
                                                         publish_limit<Rules>,
                                                         network_quality<Rules>,
                                                         kill_vm<Rules>,
                                                         heal_all<Rules>>();
    const auto nextCommand = [&](const fuzz_model &model) -> rc::Gen<std::shared_ptr<const fuzz_command<Rules>>> {
        return changesLimits ? changingLimitCommands(model) : fixedLimitCommands(model);
    };
    const auto commands = *rc::gen::resize(commandsPerRun, rc::state::gen::commands(fuzz_model{}, nextCommand));
    totals.steps += commands.size();
    rc::state::runAll(commands, fuzz_model{}, world);
    world.heal();
    world.advance(std::chrono::seconds(45));
    world.checkLimitsFullyHeld();
    totals.admitted += world.admitted();
    if (!world.violation().empty()) {
        RC_FAIL(world.violation());
    }
}

// Returns true if the run found no violation.
template<class Rules>
bool checkSeed(std::uint64_t seed, bool reportsFailure, run_totals &totals)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = 1;
    params.disableShrinking = !reportsFailure;
    const auto result = rc::detail::checkTestable([&] { runHistory<Rules>(totals); }, rc::detail::TestMetadata{"share", "rate shares"}, params);
    if (result.template is<rc::detail::SuccessResult>()) {
        return true;
    }
    if (reportsFailure) {
        rc::detail::printResultMessage(result, std::cout);
        std::cout << "\n";
    }
    return false;
}

// Returns true if a run detects the mutant. A mutant that survives all runs shows a gap in the checks.
template<class Rules>
bool catchMutant(const char *name, std::uint64_t runs, std::uint64_t seed)
{
    run_totals totals;
    for (std::uint64_t run = 0; run < runs; ++run) {
        if (!checkSeed<Rules>(seed + run, false, totals)) {
            std::cout << name << ": caught after " << run + 1 << " runs\n" << std::flush;
            return true;
        }
    }
    std::cout << name << ": NOT caught in " << runs << " runs\n" << std::flush;
    return false;
}

bool catchMutants(std::uint64_t runs, std::uint64_t seed)
{
    bool allCaught = catchMutant<credit_before_debit>("credit before debit", runs, seed);
    allCaught = catchMutant<full_bucket_on_transfer>("full bucket on transfer", runs, seed) && allCaught;
    allCaught = catchMutant<reclaim_without_waiting>("reclaim without waiting", runs, seed) && allCaught;
    allCaught = catchMutant<lease_not_checked>("permit not checked", runs, seed) && allCaught;
    allCaught = catchMutant<duplicates_applied>("duplicates applied", runs, seed) && allCaught;
    allCaught = catchMutant<old_epochs_accepted>("old epochs accepted", runs, seed) && allCaught;
    allCaught = catchMutant<reports_not_awaited>("reports not awaited", runs, seed) && allCaught;
    allCaught = catchMutant<late_handovers_counted>("late handovers counted", runs, seed) && allCaught;
    allCaught = catchMutant<heartbeats_not_dated>("heartbeats not dated", runs, seed) && allCaught;
    return allCaught;
}

int checkProductionRules(std::uint64_t runs, std::uint64_t seed)
{
    run_totals totals;
    std::uint64_t violations = 0;
    for (std::uint64_t run = 0; run < runs; ++run) {
        if (!checkSeed<production_rules>(seed + run, true, totals)) {
            ++violations;
            std::cout << "replay: share-fuzz --runs 1 --seed " << seed + run << "\n" << std::flush;
        }
    }
    std::cout << "runs " << runs << ", steps " << totals.steps << ", admitted " << totals.admitted << ", violations " << violations << "\n";
    return violations == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    std::uint64_t runs = 200;
    std::uint64_t seed = 1;
    bool mutants = false;
    bool refusals = false;
    for (int i = 1; i < argc; ++i) {
        const bool hasValue = i + 1 < argc;
        if (std::strcmp(argv[i], "--runs") == 0 && hasValue) {
            runs = std::stoull(argv[++i]);
        } else if (std::strcmp(argv[i], "--seed") == 0 && hasValue) {
            seed = std::stoull(argv[++i]);
        } else if (std::strcmp(argv[i], "--mutants") == 0) {
            mutants = true;
        } else if (std::strcmp(argv[i], "--refusals") == 0) {
            refusals = true;
        } else {
            std::cerr << "usage: share-fuzz [--runs N] [--seed S] [--mutants | --refusals]\n";
            return 2;
        }
    }
    if (refusals) {
        return measureRefusals(std::cout, seed) ? 0 : 1;
    }
    if (mutants) {
        return catchMutants(runs, seed) ? 0 : 1;
    }
    return checkProductionRules(runs, seed);
}
