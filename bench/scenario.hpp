// Scenarios of a benchmark run, which are read from a YAML file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "plantainpoint/clock.hpp"

namespace plantainpoint::bench {

struct deployment_sizes {
    std::int32_t vms = 7;
    std::int32_t prefillWorkers = 3;
    std::int32_t decodeWorkers = 8;
    double networkMs = 0.5; // One way between any two machines.
    double fairness = 0.2;
};

struct engine_model {
    std::int64_t prefillTokensPerSecond = 30'000;
    std::int32_t chunkTokens = 2'048; // A prefill yields to a more urgent one after each chunk.
    std::int64_t cacheTokens = 400'000;
    double maxQueueSeconds = 2; // A prefill engine with a longer queue refuses requests with queue_full.
    double evictionMs = 700; // A finished prefill that is not imported is dropped after this time.
    std::int64_t linkBytesPerSecond = 10'000'000'000;
    std::int64_t kvBytesPerToken = 100'000;
    std::int32_t slots = 20;
    std::int32_t kvBlocks = 80;
    double intervalBaseMs = 10; // Token interval = intervalBaseMs + batch size * intervalPerRequestMs.
    double intervalPerRequestMs = 1.15;
    double reportIntervalMs = 500;
    double reportLagMs = 200;
    double eventLagMs = 300;
    double eventLoss = 0.05;
};

struct workload_model {
    std::vector<double> accountShares{0.4, 0.25, 0.15, 0.12, 0.08};
    double batchShare = 0.3;
    double promptMedian = 1'500;
    double promptSigma = 1.1; // Standard deviation of the logarithm of the prompt length in tokens.
    std::int32_t promptMin = 20;
    std::int32_t interactivePromptMax = 14'000;
    std::int32_t batchPromptMax = 32'000;
    double outputMedian = 180;
    double outputSigma = 0.8;
    std::int32_t outputMax = 2'000;
    double prefixShare = 0.5; // Fraction of the requests that begin with a prefix shared within their account.
    std::int32_t prefixesPerAccount = 20;
    std::int32_t prefixKvBlocks = 3; // Length of the longest shared prefix in KV blocks.
    double burstFactor = 1.6; // Rate of an account in a burst divided by its mean rate.
    double burstSeconds = 2;
    double burstShare = 0.25; // Fraction of the time spent in bursts.
    double cancelShare = 0.02;
    double interactiveTimeoutSeconds = 30;
    double batchTimeoutSeconds = 20;
    double accountBurstSeconds = 10; // Burst size of an account's limit, in seconds of its rate.
};

enum class fault_kind : std::uint8_t {
    WorkerLost,
    WorkerSlow, // The factor multiplies the time per token.
    TransfersStall,
    EarlyEviction, // The factor multiplies the time to eviction.
    EngineRefuses,
    ReportsFrozen,
    VmLost,
    LogDown, // No epochs are created, so the loss of a VM is detected later.
    AccountFlood, // The factor multiplies the rate of the account.
};

struct fault {
    fault_kind kind = fault_kind::WorkerLost;
    double atSeconds = 0;
    double forSeconds = 1e9;
    std::string worker; // The name of the worker, prefill-N or decode-N.
    std::int32_t index = 0; // Index of the VM or account.
    double factor = 1;
};

struct scenario {
    std::string name;
    deployment_sizes sizes;
    engine_model engine;
    workload_model workload;
    std::vector<fault> faults;
    std::vector<double> loads{0.9};
    std::vector<std::uint64_t> seeds{1};
    std::vector<std::string> routers{"placer"};
    double warmupSeconds = 25; // Longer than the time to the deadline of batch requests, so that their queue is in a steady state.
    double windowSeconds = 60;
    double drainSeconds = 30; // Arrivals continue while the requests of the window finish.
    std::vector<std::string> checks; // Groups of targets that this scenario is checked against.
};

// Reads the scenarios of a file. The InvalidSettings error names file, line and key.
absl::StatusOr<std::vector<scenario>> readScenarios(const std::string &path);

// Reads the scenarios from YAML text. The origin is the file name shown in errors.
absl::StatusOr<std::vector<scenario>> parseScenarios(const std::string &text, const std::string &origin);

inline duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

inline duration fromMillis(double millis)
{
    return fromSeconds(millis / 1000);
}

inline double inSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace plantainpoint::bench
