// Stateful fuzz test of whole fleets of decision cores against the oracle. RapidCheck chooses and shrinks the steps.
#include <iostream>

#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <tclap/CmdLine.h>

#include "mutants.hpp"
#include "oracle.hpp"
#include "world.hpp"

namespace {

using namespace plantainpoint;
using namespace plantainpoint::fuzz;

// The commands need no model, because every step is valid at any time.
struct no_model {
};

using step = rc::state::Command<no_model, world>;

// inRange covers its whole range only at this size. At smaller sizes the last alternatives are never chosen.
constexpr int fullRangeSize = 100;

int pickBetween(int least, int below)
{
    return *rc::gen::resize(fullRangeSize, rc::gen::inRange(least, below));
}

int pick(int below)
{
    return pickBetween(0, below);
}

duration pickDuration(int leastMillis, int mostMillis)
{
    return milliseconds(pickBetween(leastMillis, mostMillis));
}

constexpr int keyCount = 3;
constexpr int endpointCount = 7;
constexpr int idempotencyKeyCount = 12;

// Sends a burst of requests of one kind to one VM or to consecutive VMs.
struct send_calls : step {
    call_kind kind = static_cast<call_kind>(pick(5));
    int key = pick(keyCount);
    int vm = pick(5);
    int count = 1 + pick(12);
    int vmStride = pick(2);
    int tokens = pick(4) == 0 ? 1500 : 1 + pick(60); // A long answer lasts longer than the bound of P1.
    int idempotency = pick(idempotencyKeyCount);
    duration gap = pickDuration(0, 120);

    void run(const no_model &, world &fleet) const override
    {
        for (int i = 0; i < count; ++i) {
            fleet.call(kind, key, (vm + vmStride * i) % fleet.vmCount(), (idempotency + i / 2) % idempotencyKeyCount, tokens);
            fleet.run(gap);
        }
        RC_ASSERT(fleet.observer().violations().empty());
    }
    void show(std::ostream &os) const override
    {
        os << "send_calls(kind=" << static_cast<int>(kind) << " key=" << key << " vm=" << vm << " count=" << count << " spread=" << vmStride
           << " tokens=" << tokens << " idempotency=" << idempotency << " gap_ms=" << gap / milliseconds(1) << ")";
    }
};

struct callers_leave : step {
    int offsetFromNewest = pick(30);
    int count = 1 + pick(6);

    void run(const no_model &, world &fleet) const override
    {
        const auto total = fleet.callCount();
        for (int i = 0; i < count; ++i) {
            const auto offset = static_cast<std::size_t>(offsetFromNewest + i);
            if (offset < total) {
                fleet.disconnectCaller(total - 1 - offset);
            }
        }
        RC_ASSERT(fleet.observer().violations().empty());
    }
    void show(std::ostream &os) const override { os << "callers_leave(back=" << offsetFromNewest << " count=" << count << ")"; }
};

struct vm_fault : step {
    int kind = pick(4);
    int vm = pick(5);
    duration time = pickDuration(100, 8'000);

    void run(const no_model &, world &fleet) const override
    {
        switch (kind) {
        case 0:
            fleet.killVm(vm);
            break;
        case 1:
            fleet.pauseVm(vm, time);
            break;
        case 2:
            fleet.shutDownVm(vm);
            break;
        default:
            fleet.startVm(vm);
        }
        RC_ASSERT(fleet.observer().violations().empty());
    }
    void show(std::ostream &os) const override
    {
        static constexpr std::string_view names[]{"kill", "pause", "shut_down", "start"};
        os << "vm_fault(" << names[kind] << " vm=" << vm << " ms=" << time / milliseconds(1) << ")";
    }
};

struct log_fault : step {
    int kind = pick(5);
    duration time = pickDuration(100, 15'000);
    int count = 1 + pick(5);

    void run(const no_model &, world &fleet) const override
    {
        switch (kind) {
        case 0:
            fleet.logDown(time);
            break;
        case 1:
            fleet.setLogDelay(time / 50);
            break;
        case 2:
            fleet.loseAppendAnswers(count);
            break;
        case 3:
            fleet.delayAppend(time / 4);
            break;
        default:
            fleet.setLogDelay(duration{});
        }
    }
    void show(std::ostream &os) const override
    {
        static constexpr std::string_view names[]{"down", "slow", "lose_answers", "delay_append", "fast"};
        os << "log_fault(" << names[kind] << " ms=" << time / milliseconds(1) << " count=" << count << ")";
    }
};

struct network_fault : step {
    int kind = pick(3);
    int percent = pick(30);
    duration delay = pickDuration(0, 300);
    int dataCentre = pick(3);
    bool logInside = pick(2) == 1;
    duration time = pickDuration(500, 12'000);

    void run(const no_model &, world &fleet) const override
    {
        switch (kind) {
        case 0:
            fleet.setNetwork({percent / 100.0, percent / 100.0, delay});
            break;
        case 1:
            fleet.partition(dataCentre, logInside, time);
            break;
        default:
            fleet.setNetwork({});
        }
    }
    void show(std::ostream &os) const override
    {
        static constexpr std::string_view names[]{"lossy", "partition", "reliable"};
        os << "network_fault(" << names[kind] << " percent=" << percent << " delay_ms=" << delay / milliseconds(1) << " dc=" << dataCentre
           << " log_inside=" << logInside << " ms=" << time / milliseconds(1) << ")";
    }
};

struct endpoint_fault : step {
    int kind = pick(4);
    int endpoint = pick(endpointCount);
    int count = 1 + pick(4);
    duration time = pickDuration(100, 3'000);

    void run(const no_model &, world &fleet) const override
    {
        switch (kind) {
        case 0:
            fleet.killEndpoint(endpoint);
            break;
        case 1:
            fleet.restoreEndpoint(endpoint);
            break;
        case 2:
            fleet.stallTransfers(time);
            break;
        default:
            fleet.loseServiceAnswers(count);
        }
        RC_ASSERT(fleet.observer().violations().empty());
    }
    void show(std::ostream &os) const override
    {
        static constexpr std::string_view names[]{"kill", "restore", "stall", "lose_answers"};
        os << "endpoint_fault(" << names[kind] << " endpoint=" << endpoint << " count=" << count << " ms=" << time / milliseconds(1) << ")";
    }
};

struct operator_change : step {
    int kind = pick(6);
    int key = pick(keyCount);
    int account = pick(2);
    int rate = 1 + pick(8);
    int burst = 1 + pick(12);
    int endpoint = pick(endpointCount);

    void run(const no_model &, world &fleet) const override
    {
        switch (kind) {
        case 0:
            fleet.withdrawKey(key);
            break;
        case 1:
            fleet.restoreKey(key);
            break;
        case 2:
            fleet.setLimit(account, rate, burst);
            break;
        case 3:
            fleet.drainEndpoint(endpoint);
            break;
        case 4:
            fleet.returnEndpoint(endpoint);
            break;
        default:
            fleet.race();
        }
    }
    void show(std::ostream &os) const override
    {
        static constexpr std::string_view names[]{"withdraw_key", "restore_key", "set_limit", "drain", "return", "race"};
        os << "operator_change(" << names[kind] << " key=" << key << " account=" << account << " rate=" << rate << " burst=" << burst
           << " endpoint=" << endpoint << ")";
    }
};

struct pass_time : step {
    duration time = pickDuration(10, 9'000);

    void run(const no_model &, world &fleet) const override
    {
        fleet.run(time);
        RC_ASSERT(fleet.observer().violations().empty());
    }
    void show(std::ostream &os) const override { os << "pass_time(ms=" << time / milliseconds(1) << ")"; }
};

constexpr int stepsPerRun = 80;

const auto anyStep = rc::state::gen::execOneOfWithArgs<send_calls,
                                                       send_calls,
                                                       send_calls,
                                                       callers_leave,
                                                       vm_fault,
                                                       log_fault,
                                                       network_fault,
                                                       endpoint_fault,
                                                       operator_change,
                                                       pass_time,
                                                       pass_time>();

struct campaign {
    int runs = 0;
    int failures = 0;
    std::uint64_t steps = 0;
    std::uint64_t calls = 0;
    std::uint64_t admitted = 0;
    std::uint64_t answered = 0;
    std::vector<std::string> violations;

    void count(const world &fleet)
    {
        steps += fleet.steps();
        for (const auto &[id, call] : fleet.observer().calls()) {
            ++calls;
            admitted += call.admittedAt ? 1 : 0;
            answered += call.terminalAnswers > 0 && !call.failed ? 1 : 0;
        }
    }
};

// Runs one history that is generated from the seed. Returns false if the oracle reported a violation.
bool runHistory(const core_factory &factory, std::uint64_t seed, bool shrink, campaign &result, std::ostream &details)
{
    std::vector<std::string> lastViolations;
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = 1;
    parameters.disableShrinking = !shrink;
    rc::detail::TestMetadata metadata;
    metadata.id = "fleet";
    const auto outcome = rc::detail::checkTestable(
        [&] {
            world fleet({5, 3, seed, true}, factory);
            const bool ready = fleet.start();
            RC_ASSERT(ready);
            const auto recordResult = [&] {
                lastViolations = fleet.observer().violations();
                result.count(fleet);
            };
            try {
                // A single test of RapidCheck has size 0, which generates no steps.
                const auto steps = *rc::gen::resize(stepsPerRun, rc::state::gen::commands(no_model{}, anyStep));
                rc::state::runAll(steps, no_model{}, fleet);
                fleet.settle();
            } catch (...) {
                recordResult();
                throw;
            }
            recordResult();
            RC_ASSERT(fleet.observer().violations().empty());
        },
        metadata,
        parameters);
    ++result.runs;
    if (outcome.template is<rc::detail::SuccessResult>()) {
        return true;
    }
    ++result.failures;
    result.violations.insert(result.violations.end(), lastViolations.begin(), lastViolations.end());
    rc::detail::printResultMessage(outcome, details);
    details << '\n';
    return false;
}

int runProductionCore(int runs, std::uint64_t seed, bool shrink)
{
    campaign result;
    for (int i = 0; i < runs; ++i) {
        if (!runHistory(factoryOf<no_mutation>(), seed + static_cast<std::uint64_t>(i), shrink, result, std::cout)) {
            for (const auto &violation : result.violations) {
                std::cout << "violation: " << violation << '\n';
            }
            result.violations.clear();
            std::cout << "replay: fleet-fuzz --runs 1 --seed " << seed + static_cast<std::uint64_t>(i) << std::endl;
        }
    }
    std::cout << "fleet fuzz: " << result.runs << " runs, " << result.steps << " steps, " << result.calls << " calls, " << result.admitted << " admitted, "
              << result.answered << " answered, " << result.failures << " violations\n";
    return result.failures == 0 ? 0 : 1;
}

// Runs every mutant until the check of the guarantee that it breaks reports a violation. Returns 1 if a mutant is not caught.
int runMutants(int runs, std::uint64_t seed)
{
    int missedMutants = 0;
    for (const auto &mutant : allMutants()) {
        campaign result;
        std::ostringstream unusedDetails;
        bool caught = false;
        while (!caught && result.runs < runs) {
            runHistory(mutant.factory, seed + static_cast<std::uint64_t>(result.runs), false, result, unusedDetails);
            const auto prefix = std::string(mutant.guarantee) + ":";
            caught = std::any_of(result.violations.begin(), result.violations.end(), [&](const std::string &text) { return text.starts_with(prefix); });
        }
        std::cout << mutant.guarantee << ' ' << mutant.name << (caught ? ": caught after " : ": NOT caught in ") << result.runs << " runs" << std::endl;
        missedMutants += caught ? 0 : 1;
    }
    return missedMutants == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("stateful fuzz test of a fleet of decision cores", ' ', "0.1.0");
    TCLAP::ValueArg<int> runs("", "runs", "number of histories to generate", false, 100, "N", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the first history; each further history adds one", false, 1, "S", line);
    TCLAP::SwitchArg mutants("", "mutants", "run the mutants; each must be caught", line);
    TCLAP::SwitchArg noShrink("", "no-shrink", "print failures without shrinking them", line);
    line.parse(argc, argv);
    return mutants.getValue() ? runMutants(runs.getValue(), seed.getValue()) : runProductionCore(runs.getValue(), seed.getValue(), !noShrink.getValue());
}
