#include "relay_placement.hpp"

#include <algorithm>
#include <limits>

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

// In units of a full endpoint. Crossing data centres costs time and traffic.
constexpr double remotePenalty = 0.2;
constexpr double failurePenalty = 4; // In units of a full endpoint, at a failure ratio of 1.
constexpr double overduePenalty = 3; // In units of a full endpoint, for one whose answers are overdue.
constexpr double overdueFactor = 4; // Answers count as overdue after this multiple of the mean time.
constexpr duration minOverdueTime = milliseconds{200}; // Scheduling delays of a busy machine are shorter.
// Plain endpoints get work up to this multiple of their slots. They refuse at five times their slots.
constexpr std::int32_t plainQueueFactor = 2;
constexpr double failureDelayMs = 600; // Delay of the expected first event, at a failure ratio of 1.
constexpr double overdueDelayMs = 1200;
constexpr double remoteDelayMs = 4; // Prefers endpoints of the same data centre among equally loaded ones.
constexpr double slowEndpointFactor = 1.3; // Reading time of a slow endpoint, as a multiple of the usual one.
constexpr duration usualEventGap = milliseconds{70};
// Delay that each running stream suffers while a decode endpoint reads a prompt, counted as delay of the new request.
constexpr double stallDelayMs = 25;
constexpr double runningDelayMs = 3; // Delay caused by one more running request in the batch.
constexpr std::int64_t prefillChunk = 2048; // Tokens that an engine reads between two tokens of other requests.
constexpr duration modelOverdueTime = milliseconds{1500}; // A first event that is not there by then is overdue.

// Both spreads are smaller than the penalty of another data centre.
constexpr double plainSpread = 0.15; // In units of a full endpoint.
constexpr double modelSpreadMs = 3.5;

// Returns a number from 0 to 1 that differs for each request and endpoint.
double spreadOf(const endpoint_entry &entry, const placement_context &context)
{
    constexpr std::uint64_t steps = 1024;
    return static_cast<double>(stableHash(entry.info.name.value, context.spreadSeed) % steps) / steps;
}

bool isOverdue(const endpoint_entry &entry, duration minimum, time_point now)
{
    const auto expected = std::chrono::duration_cast<duration>(entry.endpointStatistics.meanTime() * overdueFactor);
    return entry.longestUnansweredWait(now) > std::max(expected, minimum);
}

bool eligible(const endpoint_entry &entry, const placement_context &context)
{
    return !context.excluded.contains(entry.info.name) && entry.takesPlacement(context.isOwn, context.now);
}

bool mayServe(const endpoint_entry &entry, const placement_context &context)
{
    return eligible(entry, context) && (!context.version || entry.info.version == *context.version);
}

double plainCost(const endpoint_entry &entry, std::int32_t running, const placement_context &context)
{
    double cost = static_cast<double>(running + 1) / std::max(entry.info.slots, 1);
    cost += entry.info.dataCentre == context.dataCentre ? 0 : remotePenalty;
    cost += failurePenalty * entry.endpointStatistics.failureRatio(context.now);
    cost += isOverdue(entry, minOverdueTime, context.now) ? overduePenalty : 0;
    cost += plainSpread * spreadOf(entry, context);
    return cost;
}

// Returns the delay in milliseconds that stands for the endpoint's recent failures and distance.
double modelPenalty(const endpoint_entry &entry, const placement_context &context)
{
    double delay = entry.info.dataCentre == context.dataCentre ? 0 : remoteDelayMs;
    delay += failureDelayMs * entry.endpointStatistics.failureRatio(context.now);
    delay += isOverdue(entry, modelOverdueTime, context.now) ? overdueDelayMs : 0;
    delay += modelSpreadMs * spreadOf(entry, context);
    return delay;
}

struct engine_load {
    std::int32_t running = 0;
    std::int64_t prefillTokens = 0;
    std::int64_t kvTokens = 0;
};

engine_load loadOf(const endpoint_entry &entry, const placement_context &context)
{
    const auto own = entry.ownLoad();
    const auto others = context.fleet.loadAt(entry.info.name);
    return {own.running + others.running, own.prefillTokens + others.prefillTokens, own.kvTokens + others.kvTokens};
}

double readingMs(std::int64_t tokens, double tokensPerMs)
{
    return static_cast<double>(tokens) / tokensPerMs;
}

duration fromMs(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

struct scored_endpoint {
    endpoint_entry *entry = nullptr;
    double delayMs = std::numeric_limits<double>::infinity();

    void keepIfFaster(endpoint_entry *candidate, double delay)
    {
        if (delay < delayMs) {
            entry = candidate;
            delayMs = delay;
        }
    }
};

scored_endpoint bestPrefill(const std::vector<endpoint_entry *> &prefills, const token_count &tokens, const placement_context &context)
{
    scored_endpoint best;
    for (auto *entry : prefills) {
        if (!eligible(*entry, context)) {
            continue;
        }
        const auto load = loadOf(*entry, context);
        if (load.running >= entry->info.slots) {
            continue;
        }
        best.keepIfFaster(entry, readingMs(load.prefillTokens + tokens.prompt, context.speeds.prefillTokensPerMs) + modelPenalty(*entry, context));
    }
    return best;
}

// Returns whether the endpoint's streams, which stall while it reads the prompt, stay within their longest allowed pause.
bool stallStaysWithinGap(const token_count &tokens, const placement_context &context)
{
    const auto stall = readingMs(tokens.prompt, context.speeds.decodePrefillTokensPerMs) * slowEndpointFactor;
    return context.maxEventGap == duration{} || fromMs(stall) + usualEventGap < context.maxEventGap;
}

struct decode_candidates {
    scored_endpoint direct; // Best endpoint that reads the prompt itself.
    scored_endpoint importing; // Best endpoint that fetches a prefill result.
};

decode_candidates
bestDecodes(const std::vector<endpoint_entry *> &decodes, const engine_profile &profile, const token_count &tokens, const placement_context &context)
{
    const auto memory = static_cast<std::int64_t>(context.speeds.memoryFill * static_cast<double>(profile.kvTokens));
    decode_candidates best;
    for (auto *entry : decodes) {
        const auto load = loadOf(*entry, context);
        const bool fits = load.kvTokens == 0 || load.kvTokens + expectedMemory(tokens, context.speeds) <= memory;
        if (!mayServe(*entry, context) || load.running >= entry->info.slots || !fits) {
            continue;
        }
        const double baseDelayMs = modelPenalty(*entry, context) + runningDelayMs * load.running;
        // A prompt that is being read there delays the tokens of an imported request by one chunk at a time.
        const auto chunk = std::min(load.prefillTokens, prefillChunk);
        best.importing.keepIfFaster(entry, baseDelayMs + readingMs(chunk, context.speeds.decodePrefillTokensPerMs));
        // Two prompts in a row would stall the endpoint's streams for longer than the allowed pause.
        if (load.prefillTokens == 0 && (load.running == 0 || stallStaysWithinGap(tokens, context))) {
            best.direct.keepIfFaster(entry, baseDelayMs + stallDelayMs * load.running + readingMs(tokens.prompt, context.speeds.decodePrefillTokensPerMs));
        }
    }
    return best;
}

} // namespace

std::int64_t expectedMemory(const token_count &tokens, const engine_speeds &speeds)
{
    const auto output = std::clamp<std::int64_t>(tokens.likelyOutput.value_or(tokens.output), 0, tokens.output);
    return tokens.prompt + static_cast<std::int64_t>(speeds.heldOutputFraction * static_cast<double>(output));
}

std::vector<endpoint_entry *> withoutEvacuated(std::vector<endpoint_entry *> endpoints)
{
    std::erase_if(endpoints, [](const auto *endpoint) { return endpoint->isEvacuated(); });
    return endpoints;
}

duration readingTime(std::int64_t tokens, double tokensPerMs)
{
    return fromMs(readingMs(tokens, tokensPerMs));
}

endpoint_entry *choosePlain(const std::vector<endpoint_entry *> &candidates, const placement_context &context)
{
    endpoint_entry *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (auto *entry : candidates) {
        const auto running = static_cast<std::int32_t>(entry->open.size()) + context.fleet.loadAt(entry->info.name).running;
        if (!mayServe(*entry, context) || running >= entry->info.slots * plainQueueFactor) {
            continue;
        }
        const double cost = plainCost(*entry, running, context);
        if (cost < bestCost) {
            best = entry;
            bestCost = cost;
        }
    }
    return best;
}

endpoint_entry *
chooseDecode(const std::vector<endpoint_entry *> &decodes, const engine_profile &profile, const token_count &tokens, const placement_context &context)
{
    return bestDecodes(decodes, profile, tokens, context).importing.entry;
}

std::optional<model_placement> chooseModel(const std::vector<endpoint_entry *> &prefills,
                                           const std::vector<endpoint_entry *> &decodes,
                                           const engine_profile &profile,
                                           const token_count &tokens,
                                           const placement_context &context)
{
    const auto [direct, importing] = bestDecodes(decodes, profile, tokens, context);
    const auto prefill = bestPrefill(prefills, tokens, context);
    const bool canPrefillSeparately = prefill.entry != nullptr && importing.entry != nullptr;
    if (direct.entry == nullptr && !canPrefillSeparately) {
        return std::nullopt;
    }
    const auto separateTime = canPrefillSeparately ? fromMs(prefill.delayMs + importing.delayMs) + context.speeds.prefillTransferTime : duration::max();
    const auto directTime = direct.entry != nullptr ? fromMs(direct.delayMs) : duration::max();
    if (directTime <= context.speeds.directPrefillLimit || directTime < separateTime) {
        return model_placement{nullptr, direct.entry, directTime};
    }
    return model_placement{prefill.entry, importing.entry, separateTime};
}

} // namespace plantainpoint
