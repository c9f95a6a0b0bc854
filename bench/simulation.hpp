// One run of requests, VMs, workers and a router in virtual time.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "engines.hpp"
#include "router.hpp"

namespace plantainpoint::bench {

enum class request_outcome : std::uint8_t {
    Open,
    Finished,
    Refused,
    Cancelled, // By its caller.
    GivenUp, // No first token arrived before the caller's deadline, or all attempts failed.
    VmDied,
};

// The outcome of a request.
struct request_result {
    request_outcome outcome = request_outcome::Open;
    double firstToken = -1; // Seconds after arrival. Negative if there was none.
    double interval = 0; // Mean seconds between tokens.
    double endedAt = 0;
    std::int32_t attempts = 0;
    std::int32_t wastedPrefill = 0; // Tokens computed for results that were not used.
    std::int32_t usedPrefill = 0;
};

struct run_result {
    std::vector<request> requests;
    std::vector<request_result> results;
    std::vector<double> decisionSeconds; // Sorted.
    std::vector<double> messageSeconds; // Sorted.
};

// Runs a router with the requests drawn for the load and seed. Returns nothing if the router is unknown.
std::optional<run_result> simulate(const scenario &setting, const std::string &routerName, double load, std::uint64_t seed);

} // namespace plantainpoint::bench
