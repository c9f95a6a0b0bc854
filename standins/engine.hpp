// stand-in of a model engine: prefill or decode, prefix cache, KV export and import, orders
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
    std::string address; // of this engine, as peers import from it
    int slots = 20;
    int kvBlocks = 160; // of 2,000 tokens
    std::int64_t prefillTokensPerSecond = 20'000;
    std::int64_t kvBytesPerToken = 1'000;
    std::int64_t linkBytesPerSecond = 1'000'000'000;
    std::chrono::microseconds tokenInterval{10'000}; // with one request running
    std::chrono::microseconds intervalPerRequest{500}; // added for each further one
    int tokensPerWrite = 1;
    milliseconds evictAfter{800};
    milliseconds reportLag{200};
    milliseconds eventLag{300};
    int cacheGap = 20; // one event in so many is lost; 0: none
    std::int64_t cacheTokens = 200'000;
    bool checksFencing = false;
    std::string weightStore; // empty: orders load at once
};

// prefixes of prompts whose KV cache the engine keeps, least recently used out first
class prefix_cache
{
public:
    prefix_cache(std::int64_t capacityTokens, milliseconds eventLag, int gap);

    // tokens of the prompt's longest stored prefix; stores all its prefixes
    std::int64_t use(std::string_view prompt);
    // events visible by now, from a sequence number on
    nlohmann::json events(std::uint64_t from) const;
    std::uint64_t sequence() const { return m_sequence; }

private:
    struct event {
        clock_type::time_point visibleAt;
        nlohmann::json body;
        std::uint64_t sequence;
    };

    void store(std::uint64_t prefix);
    void record(std::uint64_t prefix, bool stored);

    std::int64_t m_capacityKvBlocks;
    milliseconds m_eventLag;
    int m_gap;
    std::list<std::uint64_t> m_order; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_index;
    std::deque<event> m_events;
    std::uint64_t m_sequence = 0;
};

class engine
{
public:
    engine(asio::io_context &context, engine_settings settings);

    void addRoutes(http_service &service);
    // starts the prefill worker and the load reports
    void start();

private:
    struct prefill_job {
        std::string label;
        std::string prompt;
        std::int64_t tokens = 0;
        bool cancelled = false;
        bool done = false;
        std::int64_t cached = 0;
        std::shared_ptr<asio::steady_timer> finished;
    };

    struct held_result {
        std::string label;
        std::int64_t tokens = 0;
        clock_type::time_point evictAt;
    };

    struct running_stream {
        bool cancelled = false;
        int kvBlocks = 0;
    };

    struct engine_faults {
        clock_type::time_point stallUntil{}; // transfers wait
        int refuse = 0; // so many starts are refused
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
    // error code of the refusal; empty when the start is accepted
    asio::awaitable<std::string> importKv(const nlohmann::json &request);
    asio::awaitable<void> stream(exchange &call, const nlohmann::json &request, std::shared_ptr<running_stream> run);

    bool wasCancelled(const std::string &label);
    void dropEvicted();
    int kvBlocksUsed() const;
    nlohmann::json report() const;
    void noteHeaders(const exchange &call);
    std::chrono::microseconds interval() const;

    asio::io_context &m_context;
    engine_settings m_settings;
    prefix_cache m_cache;
    std::deque<std::shared_ptr<prefill_job>> m_interactive;
    std::deque<std::shared_ptr<prefill_job>> m_batch;
    std::shared_ptr<prefill_job> m_current;
    asio::steady_timer m_work; // cancelled when a prefill arrives
    std::map<std::string, held_result> m_held; // by KV id
    std::map<std::string, std::shared_ptr<running_stream>> m_running; // by label
    std::map<std::string, clock_type::time_point> m_cancelled;
    clock_type::time_point m_linkFreeAt{};
    nlohmann::json m_report;
    clock_type::time_point m_reportAt{};
    engine_faults m_faults;
    std::uint64_t m_fencing = 0;
    bool m_loading = false;
    std::string m_adapter;
    std::uint64_t m_nextKv = 1;
    std::uint64_t m_prefills = 0;
    std::uint64_t m_decodes = 0;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_evicted = 0;
    std::uint64_t m_authorizationSeen = 0;
    std::uint64_t m_ordersTaken = 0;
};

// token at a position of the answer to a prompt: the same on every engine, so that a resumed answer continues
std::string tokenAt(std::string_view prompt, std::int64_t position);

// length of the answer: N when the prompt contains "#tokens=N", else the limit
std::int64_t answerLength(std::string_view prompt, std::int64_t limit);

} // namespace plantainpoint::standin
