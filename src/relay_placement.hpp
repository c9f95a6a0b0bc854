// which endpoint takes a request; decides only, from the directory and the fleet's open work
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "endpoint_directory.hpp"
#include "fleet_view.hpp"

namespace plantainpoint {

// speeds of the model engines, from the settings
struct engine_speeds {
    double prefillTokensPerMs = 55; // of a prefill endpoint
    double decodePrefillTokensPerMs = 27; // of a decode endpoint that reads a prompt itself
    duration handover = std::chrono::milliseconds{6}; // from the end of a prefill to the first event at the decode endpoint
    double memoryFill = 0.95; // of the engine memory; outputs that exceed their estimate use the rest
    double outputHeld = 0.6; // of the expected output, averaged over the run
    duration directPrefillLimit = std::chrono::milliseconds{350}; // a decode endpoint reads the prompt itself while its first event is expected sooner
};

struct placement_context {
    const fleet_view &fleet;
    const data_centre_name &dataCentre;
    const engine_speeds &speeds;
    time_point now{};
    const std::set<endpoint_name> &excluded; // endpoints that have had the request
    duration longestPause{}; // between two events that streams of the service may have; zero: any
};

// the least loaded endpoint of a plain service; null when all are full
endpoint_entry *choosePlain(const std::vector<endpoint_entry *> &candidates, const placement_context &context);

struct model_placement {
    endpoint_entry *prefill = nullptr; // null: the decode endpoint reads the prompt
    endpoint_entry *decode = nullptr;
    duration expected{}; // until the first event
};

// empty when no decode endpoint has a free slot and memory
std::optional<model_placement> chooseModel(const std::vector<endpoint_entry *> &prefills,
                                           const std::vector<endpoint_entry *> &decodes,
                                           const engine_profile &profile,
                                           const token_count &tokens,
                                           const placement_context &context);

// the endpoint that fetches a prefill result; null when none has a free slot and memory
endpoint_entry *
chooseDecode(const std::vector<endpoint_entry *> &decodes, const engine_profile &profile, const token_count &tokens, const placement_context &context);

// engine memory that a request takes on average while it runs: its prompt and a part of its output
std::int64_t expectedMemory(const token_count &tokens, const engine_speeds &speeds);

// time in which an endpoint reads tokens at a speed
duration readingTime(std::int64_t tokens, double tokensPerMs);

} // namespace plantainpoint
