#include "relay_placement.hpp"

#include <algorithm>
#include <limits>

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

// In units of a full endpoint. Crossing data centres costs time and traffic.
constexpr double remotePenalty = 0.2;
constexpr double failurePenalty = 4; // In units of a full endpoint, at a failure ratio of 1.
// In units of a full endpoint, for one without a free slot. It outweighs the slow periods of machines, in which work takes 2.5 times as long.
constexpr double waitPenalty = 2;
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
    return eligible(entry, context) && entry.serves(context.version);
}

std::optional<work_time_reading> workTimeOf(const endpoint_entry &entry, const placement_context &context)
{
    return newestReading(entry.loadEstimate.workTime(), context.fleet.workTimeAt(entry.info.name, context.now), context.now);
}

// Returns the expected time of work at the endpoint, as a multiple of the usual one.
double workTimeFactor(const endpoint_entry &entry, const placement_context &context)
{
    const auto workTime = workTimeOf(entry, context);
    return workTime ? workTime->factor(context.now) : 1;
}

// Returns whether the endpoint has said anything of its load, to this VM or to another one.
bool reportsLoad(const endpoint_entry &entry, const placement_context &context)
{
    return entry.loadEstimate.hasReported() || context.fleet.workTimeAt(entry.info.name, context.now);
}

struct plain_load {
    std::int32_t counted = 0; // Requests.
    double expected = 0; // Requests.
    bool isReported = false; // The endpoint has said something of its load.
};

plain_load plainLoadOf(endpoint_entry &entry, const placement_context &context)
{
    const auto own = static_cast<std::int32_t>(entry.open.size());
    const auto others = context.fleet.loadAt(entry.info.name).running;
    const auto counted = own + others;
    if (!reportsLoad(entry, context)) {
        return {counted, static_cast<double>(counted), false};
    }
    const auto near = own + std::min(context.fleet.placedAt(entry.info.name), others);
    const endpoint_load_estimate::counts counts{
        .near = near, .far = counted - near, .farAge = context.fleet.totalsAge(context.now), .holdTime = entry.endpointStatistics.meanTime()};
    return {counted, entry.loadEstimate.requests(counts, context.now), true};
}

double plainCost(const endpoint_entry &entry, const plain_load &load, const placement_context &context)
{
    const auto slots = static_cast<double>(std::max(entry.info.slots, 1));
    double cost = (load.expected + 1) / slots * workTimeFactor(entry, context);
    // A request waits there for another one to end, while a slow endpoint with free slots begins at once.
    cost += load.isReported ? waitPenalty * std::clamp(load.expected + 1 - slots, 0.0, 1.0) : 0;
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

// Returns the mean time in seconds for which a request holds its place at the engines.
double usualHoldSeconds(const std::vector<endpoint_entry *> &engines, const placement_context &context)
{
    double held = 0;
    double placed = 0;
    for (auto *entry : engines) {
        entry->holdTime.observe(static_cast<std::int32_t>(entry->open.size()) + context.fleet.placedAt(entry->info.name), context.now);
        held += entry->holdTime.heldSeconds();
        placed += entry->holdTime.placed();
    }
    return placed > 0 ? held / placed : 0;
}

// Returns the expected time of work at an engine, as a multiple of the usual one: machines differ in speed, and each from moment to moment.
double engineFactor(const endpoint_entry &entry, double usualSeconds, const placement_context &context)
{
    return entry.holdTime.slowness(usualSeconds) * workTimeFactor(entry, context);
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
    const auto usualSeconds = usualHoldSeconds(prefills, context);
    for (auto *entry : prefills) {
        if (!eligible(*entry, context)) {
            continue;
        }
        const auto load = loadOf(*entry, context);
        if (load.running >= entry->info.slots) {
            continue;
        }
        const auto reading = readingMs(load.prefillTokens + tokens.prompt, context.speeds.prefillTokensPerMs);
        best.keepIfFaster(entry, reading * engineFactor(*entry, usualSeconds, context) + modelPenalty(*entry, context));
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
    const auto usualSeconds = usualHoldSeconds(decodes, context);
    for (auto *entry : decodes) {
        const auto load = loadOf(*entry, context);
        const bool fits = load.kvTokens == 0 || load.kvTokens + expectedMemory(tokens, context.speeds) <= memory;
        if (!mayServe(*entry, context) || load.running >= entry->info.slots || !fits) {
            continue;
        }
        // Requests that run are in proportion to speed then.
        const auto factor = engineFactor(*entry, usualSeconds, context);
        const double baseDelayMs = modelPenalty(*entry, context) + runningDelayMs * ((load.running + 1) * factor - 1);
        // A prompt that is being read there delays the tokens of an imported request by one chunk at a time.
        const auto chunk = std::min(load.prefillTokens, prefillChunk);
        best.importing.keepIfFaster(entry, baseDelayMs + readingMs(chunk, context.speeds.decodePrefillTokensPerMs) * factor);
        // Two prompts in a row would stall the endpoint's streams for longer than the allowed pause.
        if (load.prefillTokens == 0 && (load.running == 0 || stallStaysWithinGap(tokens, context))) {
            const auto reading = readingMs(tokens.prompt, context.speeds.decodePrefillTokensPerMs) * factor;
            best.direct.keepIfFaster(entry, baseDelayMs + stallDelayMs * load.running + reading);
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

load_knowledge knowledgeOf(const endpoint_entry &entry, const placement_context &context)
{
    const auto &own = entry.loadEstimate.workTime();
    const auto newest = workTimeOf(entry, context);
    if (newest && !(own && own->at == newest->at)) {
        return load_knowledge::Heard;
    }
    const bool knows = newest || entry.loadEstimate.knowsRequests(entry.endpointStatistics.meanTime(), context.now);
    return knows ? load_knowledge::Report : load_knowledge::Counts;
}

endpoint_entry *choosePlain(const std::vector<endpoint_entry *> &candidates, const placement_context &context)
{
    endpoint_entry *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (auto *entry : candidates) {
        if (!mayServe(*entry, context)) {
            continue;
        }
        const auto load = plainLoadOf(*entry, context);
        if (std::max<double>(load.counted, load.expected) >= entry->info.slots * plainQueueFactor) {
            continue;
        }
        const double cost = plainCost(*entry, load, context);
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
        return model_placement{nullptr, direct.entry, directTime, knowledgeOf(*direct.entry, context)};
    }
    return model_placement{prefill.entry, importing.entry, separateTime, knowledgeOf(*importing.entry, context)};
}

} // namespace plantainpoint
