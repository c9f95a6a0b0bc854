// one run: requests, VMs, workers and a router in virtual time
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "engines.hpp"
#include "router.hpp"

namespace plantainpoint::bench {

enum class request_end : std::uint8_t {
    Open,
    Finished,
    Refused,
    Cancelled, // by its caller
    GivenUp, // no first token within the caller's time to the deadline, or all attempts failed
    VmDied,
};

// what became of a request
struct request_result {
    request_end end = request_end::Open;
    double firstToken = -1; // seconds after arrival
    double interval = 0; // mean seconds between tokens
    double endedAt = 0;
    std::int32_t attempts = 0;
    std::int32_t wastedPrefill = 0; // tokens computed for results that nobody used
    std::int32_t usedPrefill = 0;
};

struct run_result {
    std::vector<request> requests;
    std::vector<request_result> results;
    std::vector<double> decisionSeconds; // sorted
    std::vector<double> messageSeconds; // sorted
};

// runs a router against the requests of a load and seed; errors when the router is unknown
std::optional<run_result> simulate(const scenario &setting, const std::string &routerName, double load, std::uint64_t seed);

} // namespace plantainpoint::bench
