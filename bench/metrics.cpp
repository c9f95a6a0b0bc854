#include "metrics.hpp"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <mutex>
#include <numeric>
#include <thread>

namespace plantainpoint::bench {

namespace {

bool meetsTargets(const request &request, const request_result &result)
{
    const bool intervalTargetMet = result.interval <= tokenIntervalTargetSeconds;
    const bool firstTokenTargetMet = request.kind == urgency::Batch || result.firstToken <= firstTokenTargetSeconds;
    return result.outcome == request_outcome::Finished && intervalTargetMet && firstTokenTargetMet;
}

// Returns false if the caller disconnected or its VM was lost, as nothing could be delivered then.
bool countsAsOffered(const request_result &result)
{
    return result.outcome != request_outcome::Cancelled && result.outcome != request_outcome::VmDied;
}

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

struct lost_workers {
    std::int32_t prefill = 0;
    std::int32_t decode = 0;
};

lost_workers workersLostBefore(const scenario &setting, double endTime)
{
    lost_workers out;
    for (const auto &entry : setting.faults) {
        if (entry.kind == fault_kind::WorkerLost && entry.atSeconds <= endTime) {
            ++(entry.worker.starts_with("prefill-") ? out.prefill : out.decode);
        }
    }
    return out;
}

struct window_sums {
    double offered = 0;
    double good = 0;
    double goodRequests = 0;
};

window_sums sumWindow(const run_result &run, double begin, double end)
{
    window_sums out;
    for (std::size_t i = 0; i < run.requests.size(); ++i) {
        const auto &request = run.requests[i];
        if (request.arrival < begin || request.arrival >= end || !countsAsOffered(run.results[i])) {
            continue;
        }
        out.offered += request.bottleneckTokens;
        if (meetsTargets(request, run.results[i])) {
            out.good += request.bottleneckTokens;
            out.goodRequests += 1;
        }
    }
    return out;
}

double recoveryOf(const scenario &setting, const run_result &run)
{
    const auto firstFault =
        std::find_if(setting.faults.begin(), setting.faults.end(), [&](const fault &entry) { return entry.atSeconds > setting.warmupSeconds; });
    if (firstFault == setting.faults.end()) {
        return 1;
    }
    constexpr double recoverySeconds = 5;
    constexpr double observedSeconds = 20;
    const double begin = firstFault->atSeconds + recoverySeconds;
    const auto sums = sumWindow(run, begin, begin + observedSeconds);
    const auto lost = workersLostBefore(setting, firstFault->atSeconds);
    return sums.good / std::min(sums.offered, capacityOf(setting, lost.prefill, lost.decode).bottleneckTokens * observedSeconds);
}

// Adds the goodput of each account and the smallest fraction of its fair demand that an account received. The fair demand is the offered work, limited to
// the share of the account in the capacity.
void addAccounts(const scenario &setting, const run_result &run, double capacityTokens, run_figures &out)
{
    const auto &shares = setting.workload.accountShares;
    std::vector<double> offered(shares.size());
    std::vector<double> good(shares.size());
    const double begin = setting.warmupSeconds;
    for (std::size_t i = 0; i < run.requests.size(); ++i) {
        const auto &request = run.requests[i];
        if (request.arrival < begin || request.arrival >= begin + setting.windowSeconds || !countsAsOffered(run.results[i])) {
            continue;
        }
        offered[static_cast<std::size_t>(request.account)] += request.bottleneckTokens;
        good[static_cast<std::size_t>(request.account)] += meetsTargets(request, run.results[i]) ? request.bottleneckTokens : 0;
    }
    out.worstAccount = 1;
    for (std::size_t account = 0; account < shares.size(); ++account) {
        const double fairDemand = std::min(offered[account], shares[account] * capacityTokens * setting.windowSeconds);
        out.worstAccount = fairDemand > 0 ? std::min(out.worstAccount, good[account] / fairDemand) : out.worstAccount;
        out.accountGoodput.push_back(good[account] / setting.windowSeconds);
    }
}

} // namespace

run_figures figuresOf(const scenario &setting, const run_result &run, double)
{
    const double begin = setting.warmupSeconds;
    const double end = begin + setting.windowSeconds;
    const auto lost = workersLostBefore(setting, begin);
    const auto remainingCapacity = capacityOf(setting, lost.prefill, lost.decode);
    const auto sums = sumWindow(run, begin, end);
    run_figures out;
    out.goodput = sums.good / setting.windowSeconds;
    out.goodRequests = sums.goodRequests / setting.windowSeconds;
    out.bound = std::min(sums.offered / setting.windowSeconds, remainingCapacity.bottleneckTokens);
    out.goodputRatio = out.bound > 0 ? out.goodput / out.bound : 0;
    double wasted = 0;
    double used = 0;
    double requestsWithinRate = 0;
    double wrongful = 0;
    double refused = 0;
    double total = 0;
    std::vector<double> firstTokens;
    std::vector<double> intervals;
    for (std::size_t i = 0; i < run.requests.size(); ++i) {
        const auto &request = run.requests[i];
        const auto &result = run.results[i];
        if (request.arrival < begin || request.arrival >= end) {
            continue;
        }
        wasted += result.wastedPrefill;
        used += result.usedPrefill;
        total += 1;
        requestsWithinRate += request.withinRate ? 1 : 0;
        const bool notServed = result.outcome == request_outcome::Refused || result.outcome == request_outcome::GivenUp;
        refused += notServed ? 1 : 0;
        wrongful += notServed && request.withinRate ? 1 : 0;
        if (result.firstToken >= 0 && request.kind == urgency::Interactive) {
            firstTokens.push_back(result.firstToken);
        }
        if (result.outcome == request_outcome::Finished) {
            intervals.push_back(result.interval);
        }
    }
    out.wastedPrefill = wasted + used > 0 ? wasted / (wasted + used) : 0;
    out.wrongfulRefusals = requestsWithinRate > 0 ? wrongful / requestsWithinRate : 0;
    out.refused = total > 0 ? refused / total : 0;
    out.firstTokenP95 = percentile(firstTokens, 0.95);
    out.intervalP95 = percentile(intervals, 0.95);
    out.decisionP50 = percentile(run.decisionSeconds, 0.5);
    out.decisionP99 = percentile(run.decisionSeconds, 0.99);
    out.messageP99 = percentile(run.messageSeconds, 0.99);
    out.recovery = recoveryOf(setting, run);
    addAccounts(setting, run, remainingCapacity.bottleneckTokens, out);
    return out;
}

spread spreadOf(const std::vector<double> &values)
{
    if (values.empty()) {
        return {};
    }
    const auto [minimum, maximum] = std::minmax_element(values.begin(), values.end());
    return {std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size()), *minimum, *maximum};
}

spread cell::of(double run_figures::*figure) const
{
    std::vector<double> values;
    for (const auto &entry : runs) {
        values.push_back(entry.*figure);
    }
    return spreadOf(values);
}

namespace {

std::optional<std::int32_t> floodingAccount(const scenario &setting)
{
    for (const auto &entry : setting.faults) {
        if (entry.kind == fault_kind::AccountFlood) {
            return entry.index;
        }
    }
    return std::nullopt;
}

double othersKeptIn(const scenario &setting, const run_figures &flooded, const std::string &router, double load, std::uint64_t seed)
{
    auto calmSetting = setting;
    std::erase_if(calmSetting.faults, [](const fault &entry) { return entry.kind == fault_kind::AccountFlood; });
    const auto calmFigures = figuresOf(calmSetting, *simulate(calmSetting, router, load, seed), load);
    double minimum = 1;
    for (std::size_t account = 0; account < calmFigures.accountGoodput.size(); ++account) {
        if (static_cast<std::int32_t>(account) != *floodingAccount(setting) && calmFigures.accountGoodput[account] > 0) {
            minimum = std::min(minimum, flooded.accountGoodput[account] / calmFigures.accountGoodput[account]);
        }
    }
    return minimum;
}

} // namespace

std::vector<cell> runAll(const std::vector<scenario> &scenarios, unsigned threads, const std::function<void(std::size_t, std::size_t)> &progress)
{
    struct job {
        const scenario *setting;
        std::size_t cell;
        std::size_t seed;
    };
    std::vector<cell> cells;
    std::vector<job> jobs;
    for (const auto &setting : scenarios) {
        for (const auto &router : setting.routers) {
            for (const double load : setting.loads) {
                cell entry{setting.name, router, load, std::vector<run_figures>(setting.seeds.size()), {}};
                if (floodingAccount(setting)) {
                    entry.othersKept.resize(setting.seeds.size());
                }
                for (std::size_t seed = 0; seed < setting.seeds.size(); ++seed) {
                    jobs.push_back({&setting, cells.size(), seed});
                }
                cells.push_back(std::move(entry));
            }
        }
    }
    std::atomic<std::size_t> next{0};
    std::size_t done = 0;
    std::mutex mutex;
    const auto runJobs = [&] {
        for (auto jobIndex = next++; jobIndex < jobs.size(); jobIndex = next++) {
            const auto &entry = jobs[jobIndex];
            auto &result = cells[entry.cell];
            const auto seed = entry.setting->seeds[entry.seed];
            if (const auto run = simulate(*entry.setting, result.router, result.load, seed)) {
                result.runs[entry.seed] = figuresOf(*entry.setting, *run, result.load);
                if (floodingAccount(*entry.setting)) {
                    result.othersKept[entry.seed] = othersKeptIn(*entry.setting, result.runs[entry.seed], result.router, result.load, seed);
                }
            }
            const std::scoped_lock lock(mutex);
            progress(++done, jobs.size());
        }
    };
    std::vector<std::jthread> pool;
    for (unsigned i = 0; i < threads; ++i) {
        pool.emplace_back(runJobs);
    }
    pool.clear();
    return cells;
}

} // namespace plantainpoint::bench
