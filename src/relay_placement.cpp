#include "relay_placement.hpp"

#include <algorithm>
#include <limits>

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

// In units of a full endpoint. Crossing data centres costs time and traffic.
constexpr double remotePenalty = 0.2;
constexpr double failurePenalty = 4; // In units of a full endpoint, at a failure rate of 1.
constexpr double silencePenalty = 3; // In units of a full endpoint, for one whose answers are overdue.
constexpr double silenceFactor = 4; // Answers count as overdue after this multiple of the mean time.
constexpr duration shortestSilence = milliseconds{200}; // Scheduling delays of a busy machine are shorter.
// Plain endpoints get work up to this multiple of their slots. They refuse at five times their slots.
constexpr std::int32_t plainQueueFactor = 2;
constexpr double failureDelayMs = 600; // Delay of the expected first event, at a failure rate of 1.
constexpr double silenceDelayMs = 1200;
constexpr double remoteDelayMs = 4; // Prefers endpoints of the same data centre among equally loaded ones.
constexpr double slowestEndpoint = 1.3; // Reading time of a slow endpoint, as a multiple of the usual one.
constexpr duration eventTime = milliseconds{70}; // Usual pause between two events.
// Delay that each running stream suffers while a decode endpoint reads a prompt, counted as delay of the new request.
constexpr double stallDelayMs = 25;
constexpr double runningDelayMs = 3; // Delay by one more running request in the batch.
constexpr std::int64_t prefillChunk = 2048; // Tokens that an engine reads between two tokens of other requests.
constexpr duration modelSilence = milliseconds{1500}; // A first event that is not there by then is overdue.

bool isOverdue(const endpoint_entry &entry, duration floor, time_point now)
{
    const auto expected = std::chrono::duration_cast<duration>(entry.endpointStatistics.meanTime() * silenceFactor);
    return entry.longestSilence(now) > std::max(expected, floor);
}

bool eligible(const endpoint_entry &entry, const placement_context &context)
{
    return !context.excluded.contains(entry.info.name) && entry.acceptsWork(context.now);
}

double plainCost(const endpoint_entry &entry, std::int32_t running, const placement_context &context)
{
    double cost = static_cast<double>(running + 1) / std::max(entry.info.slots, 1);
    cost += entry.info.dataCentre == context.dataCentre ? 0 : remotePenalty;
    cost += failurePenalty * entry.endpointStatistics.failurePart(context.now);
    cost += isOverdue(entry, shortestSilence, context.now) ? silencePenalty : 0;
    return cost;
}

// Returns the delay in milliseconds that stands for the endpoint's recent failures and distance.
double modelPenalty(const endpoint_entry &entry, const placement_context &context)
{
    double delay = entry.info.dataCentre == context.dataCentre ? 0 : remoteDelayMs;
    delay += failureDelayMs * entry.endpointStatistics.failurePart(context.now);
    delay += isOverdue(entry, modelSilence, context.now) ? silenceDelayMs : 0;
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
    const auto others = context.fleet.loadAt(entry.info.name, context.now);
    return {own.running + others.running, own.prefillTokens + others.prefillTokens, own.kvTokens + others.kvTokens};
}

double readingMs(std::int64_t tokens, double tokensPerMs)
{
    return static_cast<double>(tokens) / tokensPerMs;
}

duration ofMs(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

struct scored {
    endpoint_entry *entry = nullptr;
    double delayMs = std::numeric_limits<double>::infinity();

    void offer(endpoint_entry *candidate, double delay)
    {
        if (delay < delayMs) {
            entry = candidate;
            delayMs = delay;
        }
    }
};

scored bestPrefill(const std::vector<endpoint_entry *> &prefills, const token_count &tokens, const placement_context &context)
{
    scored best;
    for (auto *entry : prefills) {
        if (!eligible(*entry, context)) {
            continue;
        }
        const auto load = loadOf(*entry, context);
        if (load.running >= entry->info.slots) {
            continue;
        }
        best.offer(entry, readingMs(load.prefillTokens + tokens.prompt, context.speeds.prefillTokensPerMs) + modelPenalty(*entry, context));
    }
    return best;
}

// Returns whether the endpoint's streams, which stall while it reads the prompt, stay within their longest allowed pause.
bool stallsBriefly(const token_count &tokens, const placement_context &context)
{
    const auto stall = readingMs(tokens.prompt, context.speeds.decodePrefillTokensPerMs) * slowestEndpoint;
    return context.longestPause == duration{} || ofMs(stall) + eventTime < context.longestPause;
}

struct decode_choices {
    scored direct; // Best endpoint that reads the prompt itself.
    scored importing; // Best endpoint that fetches a prefill result.
};

decode_choices
bestDecodes(const std::vector<endpoint_entry *> &decodes, const engine_profile &profile, const token_count &tokens, const placement_context &context)
{
    const auto memory = static_cast<std::int64_t>(context.speeds.memoryFill * static_cast<double>(profile.kvTokens));
    decode_choices best;
    for (auto *entry : decodes) {
        const auto load = loadOf(*entry, context);
        const bool fits = load.kvTokens == 0 || load.kvTokens + expectedMemory(tokens, context.speeds) <= memory;
        if (!eligible(*entry, context) || load.running >= entry->info.slots || !fits) {
            continue;
        }
        const double common = modelPenalty(*entry, context) + runningDelayMs * load.running;
        // A prompt that is being read there delays the tokens of an imported request by one chunk at a time.
        const auto chunk = std::min(load.prefillTokens, prefillChunk);
        best.importing.offer(entry, common + readingMs(chunk, context.speeds.decodePrefillTokensPerMs));
        // Two prompts in a row would stall the endpoint's streams for longer than the allowed pause.
        if (load.prefillTokens == 0 && (load.running == 0 || stallsBriefly(tokens, context))) {
            best.direct.offer(entry, common + stallDelayMs * load.running + readingMs(tokens.prompt, context.speeds.decodePrefillTokensPerMs));
        }
    }
    return best;
}

} // namespace

std::int64_t expectedMemory(const token_count &tokens, const engine_speeds &speeds)
{
    const auto output = std::clamp<std::int64_t>(tokens.likelyOutput.value_or(tokens.output), 0, tokens.output);
    return tokens.prompt + static_cast<std::int64_t>(speeds.outputHeld * static_cast<double>(output));
}

duration readingTime(std::int64_t tokens, double tokensPerMs)
{
    return ofMs(readingMs(tokens, tokensPerMs));
}

endpoint_entry *choosePlain(const std::vector<endpoint_entry *> &candidates, const placement_context &context)
{
    endpoint_entry *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (auto *entry : candidates) {
        const auto running = static_cast<std::int32_t>(entry->open.size()) + context.fleet.loadAt(entry->info.name, context.now).running;
        if (!eligible(*entry, context) || running >= entry->info.slots * plainQueueFactor) {
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
    const bool apartPossible = prefill.entry != nullptr && importing.entry != nullptr;
    if (direct.entry == nullptr && !apartPossible) {
        return std::nullopt;
    }
    const auto apart = apartPossible ? ofMs(prefill.delayMs + importing.delayMs) + context.speeds.handover : duration::max();
    const auto alone = direct.entry != nullptr ? ofMs(direct.delayMs) : duration::max();
    if (alone <= context.speeds.directPrefillLimit || alone < apart) {
        return model_placement{nullptr, direct.entry, alone};
    }
    return model_placement{prefill.entry, importing.entry, apart};
}

} // namespace plantainpoint
