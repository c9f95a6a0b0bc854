// Requests of a run, which are drawn in advance so that every router gets the same ones.
#pragma once

#include <cstdint>
#include <vector>

#include "plantainpoint/config.hpp"
#include "scenario.hpp"

namespace plantainpoint::bench {

struct request {
    double arrival = 0; // Seconds.
    std::int32_t account = 0;
    std::int32_t vm = 0;
    urgency kind = urgency::Interactive;
    std::int32_t promptTokens = 0;
    std::int32_t outputTokens = 0; // Unknown to the router.
    std::int32_t maxOutputTokens = 0;
    std::int32_t sharedTokens = 0; // Length of the prefix that is shared with other requests.
    std::vector<std::uint64_t> prefix;
    double cancelAfter = -1; // Seconds after arrival. Negative if the caller never cancels.
    bool withinRate = false; // Whether the request is within the rate limit of its account.
    double bottleneckTokens = 0; // Use of the bottleneck resource in tokens.
};

// The maximum throughput of the workers per second.
struct capacity {
    double outputTokens = 0;
    double prefillTokens = 0;
    double requests = 0; // Number of mean requests of the workload.
    bool decodeIsBottleneck = true; // Otherwise prefill is the bottleneck.
    double bottleneckTokens = 0; // Tokens of the bottleneck resource.

    double bottleneckTokensOf(const request &r) const;
};

// Returns the capacity without the given numbers of lost workers.
capacity capacityOf(const scenario &setting, std::int32_t lostPrefill = 0, std::int32_t lostDecode = 0);

// Draws the requests that arrive until the end of the run. The load is a fraction of the capacity.
std::vector<request> drawRequests(const scenario &setting, double load, std::uint64_t seed);

} // namespace plantainpoint::bench
