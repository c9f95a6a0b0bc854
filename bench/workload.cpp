#include "workload.hpp"

#include <algorithm>
#include <cmath>
#include <random>
#include <string>

#include "plantainpoint/ids.hpp"

namespace plantainpoint::bench {

namespace {

using generator = std::mt19937_64;

double uniform(generator &random)
{
    return std::uniform_real_distribution<>(0, 1)(random);
}

double exponential(generator &random, double mean)
{
    return std::exponential_distribution<>(1 / mean)(random);
}

std::int32_t lognormal(generator &random, double median, double sigma, std::int32_t smallest, std::int32_t largest)
{
    const double value = std::lognormal_distribution<>(std::log(median), sigma)(random);
    return static_cast<std::int32_t>(std::clamp(value, static_cast<double>(smallest), static_cast<double>(largest)));
}

std::vector<std::uint64_t> prefixHashes(std::uint64_t shared, std::int32_t sharedKvBlocks, std::uint64_t own, std::int32_t kvBlocks)
{
    std::vector<std::uint64_t> out;
    for (std::int32_t i = 0; i < kvBlocks; ++i) {
        const auto source = i < sharedKvBlocks ? shared : own;
        out.push_back(stableHash(std::to_string(source) + "/" + std::to_string(i), 7));
    }
    return out;
}

request drawRequest(const scenario &from, generator &random, std::int32_t account)
{
    const auto &model = from.workload;
    request out;
    out.account = account;
    out.kind = uniform(random) < model.batchShare ? urgency::Batch : urgency::Interactive;
    const auto longest = out.kind == urgency::Batch ? model.batchPromptMax : model.interactivePromptMax;
    out.promptTokens = lognormal(random, model.promptMedian, model.promptSigma, model.promptMin, longest);
    out.outputTokens = lognormal(random, model.outputMedian, model.outputSigma, 2, model.outputMax);
    out.maxOutputTokens = std::min(model.outputMax, static_cast<std::int32_t>(out.outputTokens * (1 + 2 * uniform(random))));
    std::int32_t sharedKvBlocks = 0;
    std::uint64_t shared = 0;
    if (uniform(random) < model.prefixShare) {
        // the square favours a few prefixes
        const double pick = uniform(random);
        const auto index = static_cast<std::uint64_t>(pick * pick * model.prefixesPerAccount);
        sharedKvBlocks = 1 + static_cast<std::int32_t>(index) % model.prefixKvBlocks;
        shared = static_cast<std::uint64_t>(account) * 1'000'000 + index;
        out.promptTokens = std::min(longest, out.promptTokens + sharedKvBlocks * tokensPerKvBlock);
        sharedKvBlocks = std::min(sharedKvBlocks, out.promptTokens / tokensPerKvBlock);
    }
    out.sharedTokens = sharedKvBlocks * tokensPerKvBlock;
    out.prefix = prefixHashes(shared, sharedKvBlocks, random(), out.promptTokens / tokensPerKvBlock);
    if (uniform(random) < model.cancelShare) {
        out.cancelAfter = exponential(random, 3);
    }
    return out;
}

// mean use of the resources by one request
struct mean_demand {
    double output = 0;
    double prefill = 0;
};

mean_demand meanDemand(const scenario &from)
{
    constexpr int samples = 20'000;
    generator random(4242);
    mean_demand out;
    for (int i = 0; i < samples; ++i) {
        const auto drawn = drawRequest(from, random, 0);
        out.output += drawn.outputTokens / static_cast<double>(samples);
        out.prefill += (drawn.promptTokens - drawn.sharedTokens) / static_cast<double>(samples);
    }
    return out;
}

double floodFactor(const scenario &from, std::int32_t account, double at)
{
    double factor = 1;
    for (const auto &entry : from.faults) {
        const bool active = at >= entry.atSeconds && at < entry.atSeconds + entry.forSeconds;
        if (entry.kind == fault_kind::AccountFlood && entry.index == account && active) {
            factor *= entry.factor;
        }
    }
    return factor;
}

// arrivals of one account: bursts and calm periods in turn; a flood adds arrivals and leaves the others unchanged
void drawAccount(const scenario &from, std::int32_t account, double rate, double until, std::uint64_t seed, std::vector<request> &out)
{
    const auto &model = from.workload;
    const double calmFactor = (1 - model.burstShare * model.burstFactor) / (1 - model.burstShare);
    const double calmSeconds = model.burstSeconds * (1 - model.burstShare) / model.burstShare;
    generator phases(seed * 1000 + static_cast<std::uint64_t>(account));
    generator random(seed * 1000 + 500 + static_cast<std::uint64_t>(account));
    bool burst = uniform(phases) < model.burstShare;
    double phaseEnd = exponential(phases, burst ? model.burstSeconds : calmSeconds);
    double at = 0;
    while (true) {
        const double current = rate * (burst ? model.burstFactor : calmFactor) * floodFactor(from, account, at);
        const double next = at + exponential(random, 1 / current);
        if (next > phaseEnd) {
            at = phaseEnd;
            burst = !burst;
            phaseEnd += exponential(phases, burst ? model.burstSeconds : calmSeconds);
            if (at > until) {
                return;
            }
            continue;
        }
        at = next;
        if (at > until) {
            return;
        }
        auto drawn = drawRequest(from, random, account);
        drawn.arrival = at;
        drawn.vm = static_cast<std::int32_t>(random() % static_cast<std::uint64_t>(from.sizes.vms));
        out.push_back(std::move(drawn));
    }
}

// token bucket per account, as the limits of the design do it
void markWithinRate(const scenario &from, double capacityRate, std::vector<request> &requests)
{
    struct bucket {
        double rate = 0;
        double fill = 0;
        double at = 0;
    };
    std::vector<bucket> buckets;
    for (const double share : from.workload.accountShares) {
        const double rate = share * capacityRate;
        buckets.push_back({rate, rate * from.workload.accountBurstSeconds, 0});
    }
    for (auto &entry : requests) {
        auto &own = buckets[static_cast<std::size_t>(entry.account)];
        own.fill = std::min(own.rate * from.workload.accountBurstSeconds, own.fill + own.rate * (entry.arrival - own.at));
        own.at = entry.arrival;
        entry.withinRate = own.fill >= 1;
        own.fill -= entry.withinRate ? 1 : 0;
    }
}

} // namespace

double capacity::workOf(const request &r) const
{
    return decodeLimits ? r.outputTokens : r.promptTokens - r.sharedTokens;
}

capacity capacityOf(const scenario &from, std::int32_t lostPrefill, std::int32_t lostDecode)
{
    const auto demand = meanDemand(from);
    const auto &engine = from.engine;
    const double interval = (engine.intervalBaseMs + engine.intervalPerRequestMs * engine.slots) / 1000;
    capacity out;
    out.outputTokens = (from.sizes.decodeWorkers - lostDecode) * engine.slots / interval;
    out.prefillTokens = (from.sizes.prefillWorkers - lostPrefill) * static_cast<double>(engine.prefillTokensPerSecond);
    const double byDecode = out.outputTokens / demand.output;
    const double byPrefill = out.prefillTokens / demand.prefill;
    out.decodeLimits = byDecode <= byPrefill;
    out.requests = std::min(byDecode, byPrefill);
    out.work = out.decodeLimits ? out.outputTokens : out.prefillTokens;
    return out;
}

std::vector<request> drawRequests(const scenario &from, double load, std::uint64_t seed)
{
    const auto limit = capacityOf(from);
    const double until = from.warmupSeconds + from.windowSeconds + from.drainSeconds;
    std::vector<request> out;
    for (std::size_t account = 0; account < from.workload.accountShares.size(); ++account) {
        const double rate = from.workload.accountShares[account] * load * limit.requests;
        drawAccount(from, static_cast<std::int32_t>(account), rate, until, seed, out);
    }
    std::sort(out.begin(), out.end(), [](const request &a, const request &b) { return a.arrival < b.arrival; });
    for (auto &entry : out) {
        entry.work = limit.workOf(entry);
    }
    markWithinRate(from, limit.requests, out);
    return out;
}

} // namespace plantainpoint::bench
