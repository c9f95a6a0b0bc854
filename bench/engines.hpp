// Simulated prefill and decode workers in virtual time.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "events.hpp"
#include "plantainpoint/messages.hpp"
#include "scenario.hpp"

namespace plantainpoint::bench {

// Prefix cache of limited size that evicts the least recently used KV block first. Every change becomes a delayed cache event, and some events are lost.
class prefix_cache
{
public:
    prefix_cache(std::int64_t capacityTokens, double eventLoss, std::uint64_t seed);

    // Returns the length of the longest cached prefix in tokens and marks its KV blocks as used.
    std::int32_t lookUp(const std::vector<std::uint64_t> &prefix);
    void store(const std::vector<std::uint64_t> &prefix);
    std::vector<cache_event> takeEvents();

private:
    void markUsed(std::uint64_t blockHash);
    void addEvent(std::uint64_t blockHash, std::int32_t tokens, bool stored);

    std::int64_t m_capacityKvBlocks;
    double m_eventLoss;
    std::mt19937_64 m_random;
    std::list<std::uint64_t> m_usageOrder;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
    std::unordered_map<std::uint64_t, std::int32_t> m_prefixLengths;
    std::vector<cache_event> m_events;
    std::uint64_t m_sequence = 0;
};

struct prefill_job {
    attempt_label label;
    urgency kind = urgency::Interactive;
    std::int32_t tokens = 0;
    std::vector<std::uint64_t> prefix;
    std::function<void(std::int32_t computed)> onDone;
    std::function<void(std::string code, std::int32_t computed)> onFailed;
};

// Prefill worker that computes one chunk at a time, interactive requests first. It keeps results until they are imported or evicted.
class prefill_engine
{
public:
    prefill_engine(event_loop &loop, const engine_model &model, std::uint64_t seed);

    void post(prefill_job job);
    void cancel(const attempt_label &label);
    // Removes a result for its import. Returns false if the result was evicted.
    bool takeResult(const attempt_label &label);
    void fail();
    void setSlowness(double factor) { m_slowness = factor; }
    void setEvictionDelay(duration delay) { m_evictionDelay = delay; }
    void setRefusing(bool value) { m_refusing = value; }
    bool alive() const { return m_alive; }
    load_report report() const;
    prefix_cache &cache() { return m_cache; }
    time_point &linkFreeAt() { return m_linkFreeAt; }
    std::int64_t computedTokens() const { return m_computedTokens; }

private:
    struct running_job {
        prefill_job job;
        std::int32_t remainingTokens = 0; // Tokens that are still to be computed.
        std::int32_t computed = 0;
        bool started = false;
        bool cancelled = false;
    };

    double queuedSeconds() const;
    void startChunk();
    void finishChunk(const std::shared_ptr<running_job> &job, std::int32_t tokens);

    event_loop &m_loop;
    const engine_model &m_model;
    prefix_cache m_cache;
    std::deque<std::shared_ptr<running_job>> m_interactive;
    std::deque<std::shared_ptr<running_job>> m_batch;
    std::map<attempt_label, time_point> m_heldResults;
    duration m_evictionDelay;
    double m_slowness = 1;
    bool m_busy = false;
    bool m_alive = true;
    bool m_refusing = false;
    time_point m_linkFreeAt{};
    std::int64_t m_computedTokens = 0;
};

struct decode_job {
    attempt_label label;
    std::int32_t kvBlocks = 0;
    std::int32_t promptTokens = 0;
    std::int32_t tokens = 0; // Number of tokens to generate.
    prefill_engine *source = nullptr;
    std::function<void()> onFirstToken;
    std::function<void()> onDone;
    std::function<void(std::string code, std::int32_t generated)> onFailed;
};

// Decode worker with continuous batching. The token interval grows with the batch size.
class decode_engine
{
public:
    decode_engine(event_loop &loop, const engine_model &model);

    void post(decode_job job);
    void cancel(const attempt_label &label);
    void fail();
    void setSlowness(double factor);
    void setStalling(bool value) { m_stalling = value; }
    void setRefusing(bool value) { m_refusing = value; }
    bool alive() const { return m_alive; }
    load_report report() const;

private:
    struct running_job {
        decode_job job;
        double lastTokenClock = 0; // Time of the last token on the token clock.
        double firstTokenClock = 0; // Time of the first token on the token clock.
        bool importing = true;
        bool firstTokenSent = false;
    };

    double intervalSeconds() const;
    void advanceTokenClock();
    void scheduleNextToken();
    void deliverTokens();
    void onImported(const attempt_label &label);

    event_loop &m_loop;
    const engine_model &m_model;
    std::map<attempt_label, running_job> m_jobs;
    std::multimap<double, attempt_label> m_tokenEvents; // First and last tokens of the requests, ordered by the token clock.
    double m_tokenClock = 0; // Number of tokens that a request running since the start would have generated.
    time_point m_clockUpdatedAt{};
    std::int32_t m_batch = 0;
    std::int32_t m_kvBlocksUsed = 0;
    std::uint64_t m_scheduleVersion = 0;
    double m_slowness = 1;
    bool m_alive = true;
    bool m_stalling = false;
    bool m_refusing = false;
    time_point m_linkFreeAt{};
};

} // namespace plantainpoint::bench
