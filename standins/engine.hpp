// Stand-in for a model engine: prefill or decode, prefix cache, KV cache export and import, and orders to load a model.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "http_service.hpp"

namespace plantainpoint::standin {

using clock_type = std::chrono::steady_clock;

struct engine_settings {
    std::string role = "decode";
    std::string model = "default";
    std::string version = "1";
    std::string address; // The address from which other engines import KV caches of this engine.
    int slots = 20;
    int kvBlocks = 160; // KV cache memory, in KV blocks of 2,000 tokens.
    std::int64_t prefillTokensPerSecond = 20'000;
    std::int64_t kvBytesPerToken = 1'000;
    std::int64_t linkBytesPerSecond = 1'000'000'000;
    std::chrono::microseconds tokenInterval{10'000}; // Time between tokens while one request runs.
    std::chrono::microseconds intervalPerRequest{500}; // Added to the interval for each further running request.
    int tokensPerWrite = 1;
    milliseconds evictAfter{800};
    milliseconds reportLag{200};
    milliseconds eventLag{300};
    int eventLossInterval = 20; // One cache event in this many is lost. 0 loses none.
    std::int64_t cacheTokens = 200'000;
    bool checksFencing = false;
    std::string weightStore; // Address of the weight store. If it is empty, an order takes effect at once.
};

// Prompt prefixes whose KV cache the engine keeps. The least recently used prefix is evicted first.
class prefix_cache
{
public:
    prefix_cache(std::int64_t capacityTokens, milliseconds eventLag, int lossInterval);

    // Returns the number of tokens in the longest stored prefix of the prompt, and stores all prefixes of the prompt.
    std::int64_t matchAndStore(std::string_view prompt);
    // Returns the events that are visible by now, starting at a sequence number.
    nlohmann::json events(std::uint64_t firstSequence) const;
    std::uint64_t sequence() const { return m_sequence; }

private:
    struct event {
        clock_type::time_point visibleAt;
        nlohmann::json body;
        std::uint64_t sequence;
    };

    void store(std::uint64_t prefix);
    void recordEvent(std::uint64_t prefix, bool stored);

    std::int64_t m_capacityKvBlocks;
    milliseconds m_eventLag;
    int m_lossInterval;
    std::list<std::uint64_t> m_recencyList; // Prefixes, most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_index;
    std::deque<event> m_events;
    std::uint64_t m_sequence = 0;
};

class engine
{
public:
    engine(asio::io_context &context, engine_settings settings);

    void addRoutes(http_service &service);
    // Starts the coroutines that run prefills and publish load reports.
    void start();

private:
    struct prefill_job {
        std::string label;
        std::string prompt;
        std::int64_t tokens = 0;
        bool cancelled = false;
        bool done = false;
        std::int64_t cachedTokens = 0;
        std::shared_ptr<asio::steady_timer> finished;
    };

    struct held_result {
        std::string label;
        std::int64_t tokens = 0;
        clock_type::time_point evictAt;
    };

    struct decode_stream {
        bool cancelled = false;
        int kvBlocks = 0;
    };

    struct engine_faults {
        clock_type::time_point stallUntil{}; // KV cache exports wait until this time.
        int startsToRefuse = 0; // Number of prefill and decode requests to refuse.
        double slowFactor = 1.0;
        bool reportsFrozen = false;
    };

    asio::awaitable<void> prefill(exchange &call);
    asio::awaitable<void> decode(exchange &call);
    asio::awaitable<void> exportKv(exchange &call);
    asio::awaitable<void> cancel(exchange &call);
    asio::awaitable<void> load(exchange &call);
    asio::awaitable<void> cacheEvents(exchange &call);
    asio::awaitable<void> order(exchange &call);
    asio::awaitable<void> state(exchange &call);
    asio::awaitable<void> fault(exchange &call);
    asio::awaitable<void> counters(exchange &call);

    asio::awaitable<void> runPrefills();
    asio::awaitable<void> publishReports();
    asio::awaitable<void> loadWeights(std::string model, std::string adapter, std::string version, std::string role);
    // Imports the KV cache of a decode request. Returns the error code, or an empty string on success.
    asio::awaitable<std::string> importKv(const nlohmann::json &request);
    asio::awaitable<void> streamTokens(exchange &call, const nlohmann::json &request, std::shared_ptr<decode_stream> decodeStream);

    bool wasCancelled(const std::string &label);
    void removeExpired();
    int kvBlocksUsed() const;
    nlohmann::json makeLoadReport() const;
    void countAuthorizationHeader(const exchange &call);
    std::chrono::microseconds currentTokenInterval() const;

    asio::io_context &m_context;
    engine_settings m_settings;
    prefix_cache m_cache;
    std::deque<std::shared_ptr<prefill_job>> m_interactiveQueue;
    std::deque<std::shared_ptr<prefill_job>> m_batchQueue;
    std::shared_ptr<prefill_job> m_currentPrefill;
    asio::steady_timer m_prefillArrival; // Cancelled when a prefill request arrives, to wake the prefill coroutine.
    std::map<std::string, held_result> m_heldResults; // Prefill results that wait for an export, by KV cache id.
    std::map<std::string, std::shared_ptr<decode_stream>> m_decodeStreams; // Running decodes, by request label.
    std::map<std::string, clock_type::time_point> m_cancelledLabels; // Cancelled request labels and the times at which they are forgotten.
    clock_type::time_point m_linkFreeAt{}; // Time at which the last scheduled KV cache export ends.
    nlohmann::json m_loadReport;
    clock_type::time_point m_loadReportTime{};
    engine_faults m_faults;
    std::uint64_t m_fencingToken = 0;
    bool m_loading = false;
    std::string m_adapter;
    std::uint64_t m_nextKvId = 1;
    std::uint64_t m_prefills = 0;
    std::uint64_t m_decodes = 0;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_evicted = 0;
    std::uint64_t m_authorizationHeaders = 0;
    std::uint64_t m_ordersAccepted = 0;
};

// Returns the token at a position of the completion. It depends only on the prompt and the position,
// so that another engine can resume a completion.
std::string completionToken(std::string_view prompt, std::int64_t position);

// Returns the length of the completion in tokens: N, clamped to 1..limit, if the prompt contains "#tokens=N", otherwise the limit.
std::int64_t completionLength(std::string_view prompt, std::int64_t limit);

} // namespace plantainpoint::standin
