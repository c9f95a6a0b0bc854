// Selection of the endpoint that takes a request, from the directory and the open work of the fleet.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "endpoint_directory.hpp"
#include "fleet_view.hpp"

namespace plantainpoint {

// Speeds of the model engines, from the settings.
struct engine_speeds {
    double prefillTokensPerMs = 55; // Reading speed of a prefill endpoint.
    double decodePrefillTokensPerMs = 27; // Reading speed of a decode endpoint that reads the prompt itself.
    // Time from the end of a prefill to the first event at the decode endpoint.
    duration prefillTransferTime = std::chrono::milliseconds{6};
    // Usable fraction of the engine memory. Outputs that exceed their estimate use the rest.
    double memoryFill = 0.95;
    // Fraction of the expected output that a request holds, averaged over its run.
    double heldOutputFraction = 0.6;
    // A decode endpoint reads the prompt itself while its first event is expected within this time.
    duration directPrefillLimit = std::chrono::milliseconds{350};
};

struct placement_context {
    const fleet_view &fleet;
    const data_centre_name &dataCentre;
    const engine_speeds &speeds;
    time_point now{};
    const std::set<endpoint_name> &excluded; // Endpoints that have already had the request.
    // Longest pause between two events that streams of the service may have. Zero sets no bound.
    duration maxEventGap{};
    const std::optional<software_version> &version; // Version that the serving endpoint has to have. Any endpoint may read the prompt.
    bool isOwn = true; // The request is one of this VM, and not of another one that asks for a place.
    // Differs for each request. Endpoints that are about equally good are taken in an order that it decides, as the VMs that place at the same
    // moment do not know of each other's choice.
    std::uint64_t spreadSeed = 0;
};

// What the estimate of an endpoint's load rested on when it was chosen.
enum class load_knowledge : std::uint8_t {
    Counts, // Requests that the VMs count.
    Report, // A report of the endpoint to this VM as well.
    Heard, // A work time that another VM has passed on as well.
};

constexpr std::string_view nameOf(load_knowledge value)
{
    constexpr std::array names{std::string_view{"counts"}, std::string_view{"report"}, std::string_view{"heard"}};
    return names.at(static_cast<std::size_t>(value));
}

load_knowledge knowledgeOf(const endpoint_entry &entry, const placement_context &context);

// Returns the least loaded endpoint of a plain service, or null when all are full.
endpoint_entry *choosePlain(const std::vector<endpoint_entry *> &candidates, const placement_context &context);

// Returns the endpoints whose data centres are not evacuated. They are chosen before the others.
std::vector<endpoint_entry *> withoutEvacuated(std::vector<endpoint_entry *> endpoints);

struct model_placement {
    endpoint_entry *prefill = nullptr; // When it is null, the decode endpoint reads the prompt.
    endpoint_entry *decode = nullptr;
    duration expected{}; // Expected time to the first event.
    load_knowledge knowledge = load_knowledge::Counts; // Of the serving endpoint.

    // Counts the requests against the limits that the endpoints name and against the pace of cold ones, and among those that this VM has placed.
    void takePermits(time_point now) const
    {
        for (auto *endpoint : {prefill, decode}) {
            if (endpoint != nullptr) {
                endpoint->takePermit(now);
                endpoint->holdTime.onPlaced(now);
            }
        }
    }
};

// Returns nothing when no decode endpoint has a free slot and enough memory.
std::optional<model_placement> chooseModel(const std::vector<endpoint_entry *> &prefills,
                                           const std::vector<endpoint_entry *> &decodes,
                                           const engine_profile &profile,
                                           const token_count &tokens,
                                           const placement_context &context);

// Returns the endpoint that fetches a prefill result, or null when none has a free slot and enough memory.
endpoint_entry *
chooseDecode(const std::vector<endpoint_entry *> &decodes, const engine_profile &profile, const token_count &tokens, const placement_context &context);

// Returns the mean engine memory of a request while it runs: its prompt and a fraction of its output.
std::int64_t expectedMemory(const token_count &tokens, const engine_speeds &speeds);

// Returns the time in which an endpoint reads the tokens at the speed.
duration readingTime(std::int64_t tokens, double tokensPerMs);

} // namespace plantainpoint
