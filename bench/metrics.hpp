// Figures of a run and their spread over the seeds.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "simulation.hpp"

namespace plantainpoint::bench {

inline constexpr double firstTokenTargetSeconds = 0.93;
inline constexpr double tokenIntervalTargetSeconds = 0.036;

struct run_figures {
    double goodput = 0; // Tokens of the bottleneck resource per second for requests that met both targets.
    double bound = 0; // The smaller of offered work and capacity, in tokens per second.
    double goodRequests = 0; // Requests per second that met both targets.
    double goodputRatio = 0; // Goodput divided by the bound.
    double wastedPrefill = 0; // Fraction of the computed prefill tokens.
    double worstAccount = 0; // Smallest fraction of its fair demand that an account received.
    double wrongfulRefusals = 0; // Fraction of the requests within the rate limits of their accounts.
    double refused = 0; // Fraction of all requests.
    double firstTokenP95 = 0; // Seconds, for interactive requests.
    double intervalP95 = 0; // Seconds.
    double decisionP50 = 0; // CPU seconds.
    double decisionP99 = 0; // CPU seconds.
    double messageP99 = 0; // CPU seconds of messages that led to no decision.
    double recovery = 1; // Goodput divided by the bound of the remaining workers, from 5 s to 25 s after the first fault.
    std::vector<double> accountGoodput; // Tokens of the bottleneck resource per second.
};

run_figures figuresOf(const scenario &setting, const run_result &run, double load);

struct spread {
    double mean = 0;
    double minimum = 0;
    double maximum = 0;
};

// One row of the table: a scenario, router and load over all seeds.
struct cell {
    std::string scenarioName;
    std::string router;
    double load = 0;
    std::vector<run_figures> runs; // In the order of the seeds.
    std::vector<double> othersKept; // Per seed, the smallest fraction of its goodput that an account other than the flooding one kept. Empty without a flood.

    spread of(double run_figures::*figure) const;
};

spread spreadOf(const std::vector<double> &values);

// Runs every router, load and seed of the scenarios on the given number of threads.
std::vector<cell> runAll(const std::vector<scenario> &scenarios, unsigned threads, const std::function<void(std::size_t done, std::size_t total)> &progress);

struct target_result {
    std::string scenarioName;
    std::string target;
    double wanted = 0;
    double measured = 0;
    bool met = false;
};

// Checks the targets of the design that the scenarios name in their checks.
std::vector<target_result> checkTargets(const std::vector<scenario> &scenarios, const std::vector<cell> &cells);

} // namespace plantainpoint::bench
