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

std::int32_t lognormal(generator &random, double median, double sigma, std::int32_t minimum, std::int32_t maximum)
{
    const double value = std::lognormal_distribution<>(std::log(median), sigma)(random);
    return static_cast<std::int32_t>(std::clamp(value, static_cast<double>(minimum), static_cast<double>(maximum)));
}

std::vector<std::uint64_t> prefixHashes(std::uint64_t shared, std::int32_t sharedKvBlocks, std::uint64_t ownSeed, std::int32_t kvBlocks)
{
    std::vector<std::uint64_t> out;
    for (std::int32_t i = 0; i < kvBlocks; ++i) {
        const auto source = i < sharedKvBlocks ? shared : ownSeed;
        out.push_back(stableHash(std::to_string(source) + "/" + std::to_string(i), 7));
    }
    return out;
}

request drawRequest(const scenario &setting, generator &random, std::int32_t account)
{
    const auto &model = setting.workload;
    request out;
    out.account = account;
    out.kind = uniform(random) < model.batchShare ? urgency::Batch : urgency::Interactive;
    const auto maxPromptTokens = out.kind == urgency::Batch ? model.batchPromptMax : model.interactivePromptMax;
    out.promptTokens = lognormal(random, model.promptMedian, model.promptSigma, model.promptMin, maxPromptTokens);
    out.outputTokens = lognormal(random, model.outputMedian, model.outputSigma, 2, model.outputMax);
    out.maxOutputTokens = std::min(model.outputMax, static_cast<std::int32_t>(out.outputTokens * (1 + 2 * uniform(random))));
    std::int32_t sharedKvBlocks = 0;
    std::uint64_t shared = 0;
    if (uniform(random) < model.prefixShare) {
        // Squaring the uniform value favours a few prefixes.
        const double position = uniform(random);
        const auto index = static_cast<std::uint64_t>(position * position * model.prefixesPerAccount);
        sharedKvBlocks = 1 + static_cast<std::int32_t>(index) % model.prefixKvBlocks;
        shared = static_cast<std::uint64_t>(account) * 1'000'000 + index;
        out.promptTokens = std::min(maxPromptTokens, out.promptTokens + sharedKvBlocks * tokensPerKvBlock);
        sharedKvBlocks = std::min(sharedKvBlocks, out.promptTokens / tokensPerKvBlock);
    }
    out.sharedTokens = sharedKvBlocks * tokensPerKvBlock;
    out.prefix = prefixHashes(shared, sharedKvBlocks, random(), out.promptTokens / tokensPerKvBlock);
    if (uniform(random) < model.cancelShare) {
        out.cancelAfter = exponential(random, 3);
    }
    return out;
}

// The mean demand of one request in tokens.
struct mean_demand {
    double output = 0;
    double prefill = 0;
};

mean_demand meanDemand(const scenario &setting)
{
    constexpr int samples = 20'000;
    generator random(4242);
    mean_demand out;
    for (int i = 0; i < samples; ++i) {
        const auto drawn = drawRequest(setting, random, 0);
        out.output += drawn.outputTokens / static_cast<double>(samples);
        out.prefill += (drawn.promptTokens - drawn.sharedTokens) / static_cast<double>(samples);
    }
    return out;
}

double floodFactor(const scenario &setting, std::int32_t account, double time)
{
    double factor = 1;
    for (const auto &entry : setting.faults) {
        const bool active = time >= entry.atSeconds && time < entry.atSeconds + entry.forSeconds;
        if (entry.kind == fault_kind::AccountFlood && entry.index == account && active) {
            factor *= entry.factor;
        }
    }
    return factor;
}

// Draws the arrivals of one account in alternating bursts and calm periods. A flood adds arrivals and leaves the other accounts unchanged.
void drawAccount(const scenario &setting, std::int32_t account, double rate, double endTime, std::uint64_t seed, std::vector<request> &out)
{
    const auto &model = setting.workload;
    const double calmFactor = (1 - model.burstShare * model.burstFactor) / (1 - model.burstShare);
    const double calmSeconds = model.burstSeconds * (1 - model.burstShare) / model.burstShare;
    generator phases(seed * 1000 + static_cast<std::uint64_t>(account));
    generator random(seed * 1000 + 500 + static_cast<std::uint64_t>(account));
    bool burst = uniform(phases) < model.burstShare;
    double phaseEnd = exponential(phases, burst ? model.burstSeconds : calmSeconds);
    double time = 0;
    while (true) {
        const double currentRate = rate * (burst ? model.burstFactor : calmFactor) * floodFactor(setting, account, time);
        const double nextArrival = time + exponential(random, 1 / currentRate);
        if (nextArrival > phaseEnd) {
            time = phaseEnd;
            burst = !burst;
            phaseEnd += exponential(phases, burst ? model.burstSeconds : calmSeconds);
            if (time > endTime) {
                return;
            }
            continue;
        }
        time = nextArrival;
        if (time > endTime) {
            return;
        }
        auto drawn = drawRequest(setting, random, account);
        drawn.arrival = time;
        drawn.vm = static_cast<std::int32_t>(random() % static_cast<std::uint64_t>(setting.sizes.vms));
        out.push_back(std::move(drawn));
    }
}

// Marks the requests within the rate limit of their account with a token bucket per account, as the rate limits of the design do.
void markWithinRate(const scenario &setting, double capacityRate, std::vector<request> &requests)
{
    struct bucket {
        double rate = 0;
        double fill = 0;
        double updatedAt = 0;
    };
    std::vector<bucket> buckets;
    for (const double share : setting.workload.accountShares) {
        const double rate = share * capacityRate;
        buckets.push_back({rate, rate * setting.workload.accountBurstSeconds, 0});
    }
    for (auto &entry : requests) {
        auto &bucketOfAccount = buckets[static_cast<std::size_t>(entry.account)];
        bucketOfAccount.fill = std::min(bucketOfAccount.rate * setting.workload.accountBurstSeconds,
                                        bucketOfAccount.fill + bucketOfAccount.rate * (entry.arrival - bucketOfAccount.updatedAt));
        bucketOfAccount.updatedAt = entry.arrival;
        entry.withinRate = bucketOfAccount.fill >= 1;
        bucketOfAccount.fill -= entry.withinRate ? 1 : 0;
    }
}

} // namespace

double capacity::bottleneckTokensOf(const request &r) const
{
    return decodeIsBottleneck ? r.outputTokens : r.promptTokens - r.sharedTokens;
}

capacity capacityOf(const scenario &setting, std::int32_t lostPrefill, std::int32_t lostDecode)
{
    const auto demand = meanDemand(setting);
    const auto &engine = setting.engine;
    const double interval = (engine.intervalBaseMs + engine.intervalPerRequestMs * engine.slots) / 1000;
    capacity out;
    out.outputTokens = (setting.sizes.decodeWorkers - lostDecode) * engine.slots / interval;
    out.prefillTokens = (setting.sizes.prefillWorkers - lostPrefill) * static_cast<double>(engine.prefillTokensPerSecond);
    const double byDecode = out.outputTokens / demand.output;
    const double byPrefill = out.prefillTokens / demand.prefill;
    out.decodeIsBottleneck = byDecode <= byPrefill;
    out.requests = std::min(byDecode, byPrefill);
    out.bottleneckTokens = out.decodeIsBottleneck ? out.outputTokens : out.prefillTokens;
    return out;
}

std::vector<request> drawRequests(const scenario &setting, double load, std::uint64_t seed)
{
    const auto totalCapacity = capacityOf(setting);
    const double endTime = setting.warmupSeconds + setting.windowSeconds + setting.drainSeconds;
    std::vector<request> out;
    for (std::size_t account = 0; account < setting.workload.accountShares.size(); ++account) {
        const double rate = setting.workload.accountShares[account] * load * totalCapacity.requests;
        drawAccount(setting, static_cast<std::int32_t>(account), rate, endTime, seed, out);
    }
    std::sort(out.begin(), out.end(), [](const request &a, const request &b) { return a.arrival < b.arrival; });
    for (auto &entry : out) {
        entry.bottleneckTokens = totalCapacity.bottleneckTokensOf(entry);
    }
    markWithinRate(setting, totalCapacity.requests, out);
    return out;
}

} // namespace plantainpoint::bench
