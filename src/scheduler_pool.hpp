// Placement within one pool: queues, ledger of open attempts and worker tables.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <nlohmann/json.hpp>

#include "scheduler.hpp"
#include "scheduler_policy.hpp"

namespace plantainpoint {

struct attempt_hash {
    std::size_t operator()(const attempt_label &label) const noexcept { return std::hash<request_label>{}(label.request) * 31 + label.attempt; }
};

// Resources that an open attempt holds.
struct ledger_entry {
    incarnation_id from;
    account_index account = 0;
    std::optional<worker_index> prefill; // Empty when the endpoint is unknown to this VM.
    std::optional<worker_index> decode;
    std::int32_t promptTokens = 0;
    std::int32_t kvBlocks = 0;
    double charged = 0; // Output tokens charged to the account in advance.
    duration prefillTime{};
    duration transferTime{}; // Zero once the transfer has finished.
    bool background = false;
    bool prefilling = true;
    bool decoding = false;
    // The prefill was alone at its worker and had no hinted hit, so that its duration shows the worker's speed.
    bool measurable = false;
    time_point prefillStart{}; // Expected start.
    time_point overdueAt{};
    time_point decodeStartedAt{};
    double runningIntegralAtStart = 0;
};

template<class Policy>
class pool_scheduler
{
public:
    using decisions = std::vector<placement_decision>;

    pool_scheduler() = default;
    pool_scheduler(const pool_scheduler &) = delete;
    pool_scheduler &operator=(const pool_scheduler &) = delete;

    void configure(const pool_settings &settings, const std::vector<endpoint> &endpoints, time_point now);

    void takeOver(const std::vector<incarnation_id> &members, time_point now);
    void onSync(const incarnation_id &from, const ledger_sync &message, time_point now);
    void enqueue(const incarnation_id &from, const place_request &message, time_point now, decisions &out);
    void onProgress(const placement_progress &message, time_point now);
    void onDone(const placement_done &message, time_point now);
    void onLoad(const load_report &report, time_point now);
    void onCacheEvents(const cache_events &events);
    void onEndpointRemoved(const endpoint_name &name, time_point now);
    void onVmRemoved(const incarnation_id &id, time_point now);
    void run(time_point now, decisions &out);
    time_point nextRun() const;
    nlohmann::json status() const;

private:
    using queue = fair_queue<typename Policy::order>;

    // Time besides prefill and transfer: a token interval, network hops, and a chunk of batch work that the engine finishes first.
    static constexpr duration firstTokenMargin = std::chrono::milliseconds(70);
    // Extra time for batch work, which interactive work interrupts.
    static constexpr duration batchMargin = std::chrono::milliseconds(500);
    static constexpr duration syncTimeout = std::chrono::milliseconds(300);
    // A prefill that exceeds its expected time by this factor and the grace time counts as a failure of its worker.
    static constexpr double overdueFactor = 3;
    static constexpr duration overdueGrace = std::chrono::milliseconds(400);
    // Prompt tokens that cost an account as much as one output token.
    static constexpr double promptTokensPerOutputToken = 20;
    static constexpr double costSmoothing = 0.02;
    // Number of ended attempts that are remembered, as a load report may still list them.
    static constexpr std::size_t closedAttemptsKept = 4096;
    // Accounts, and requests per account, that are tried while the first request cannot be placed.
    static constexpr std::int32_t maxAccountsTried = 3;
    static constexpr std::int32_t maxRequestsTried = 2;

    pool_view view(time_point now) const { return {m_prefills, m_decodes, m_hints, now}; }
    queue &queueOf(const waiting_request &request) { return request.background ? m_batch : m_interactive; }

    waiting_request makeWaitingRequest(const incarnation_id &from, const place_request &message, time_point now);
    duration bestServiceTime(const place_request &message) const;
    void dequeue(request_index index);
    void refuse(request_index index, failure reason, std::string text, decisions &out);
    std::string bottleneck(time_point now) const;
    void refuseExpired(time_point now, decisions &out);
    bool placeFirst(queue &from, time_point now, decisions &out);
    void advanceVirtualTime(time_point now);
    bool overShare(account_index account) const;
    bool placeUnderservedBatch(time_point now, decisions &out);
    bool tryPlace(request_index index, time_point now, decisions &out);
    void commitPlacement(request_index index, const prefill_option &option, worker_index decode, time_point now, decisions &out);
    void charge(account_index account, double tokens);

    void finishPrefill(ledger_entry &entry, time_point now);
    void finishTransfer(ledger_entry &entry);
    void startDecode(ledger_entry &entry, time_point now);
    void close(const attempt_label &label, time_point now);
    void observeInterval(const ledger_entry &entry, std::int32_t tokens, time_point now);
    void observePrefill(const ledger_entry &entry, time_point now);
    void failOverduePrefills(time_point now);
    void onFailure(const endpoint_name &name, time_point now);
    void refreshAfterExclusion(time_point now);
    void applyDecodeReport(worker_index index, const load_report &report, time_point now);
    void applyPrefillReport(worker_index index, const load_report &report, time_point now);
    bool isOwnAttempt(const attempt_label &label) const { return m_ledger.contains(label) || m_closed.contains(label); }
    void retryAt(time_point retryTime) { m_nextRetry = std::min(m_nextRetry, retryTime); }

    pool_settings m_settings;
    prefill_table m_prefills;
    decode_table m_decodes;
    prefix_hints m_hints;
    account_table m_accounts;
    queue m_interactive{m_accounts};
    queue m_batch{m_accounts};
    typename Policy::prefill m_prefillSelector;
    typename Policy::decode m_decodeSelector;
    typename Policy::admission m_admission;

    std::unordered_map<request_index, waiting_request> m_waiting;
    std::unordered_map<attempt_label, request_index, attempt_hash> m_waitingByLabel;
    std::set<std::pair<time_point, request_index>> m_expiry;
    request_index m_nextIndex = 0;

    std::unordered_map<attempt_label, ledger_entry, attempt_hash> m_ledger;
    std::set<std::pair<time_point, attempt_label>> m_overdue;
    std::unordered_map<attempt_label, std::int32_t, attempt_hash> m_closed; // KV blocks by attempt label.
    std::deque<attempt_label> m_closedOrder;
    std::multimap<time_point, endpoint_name> m_exclusionEnds; // Ends of exclusions.
    std::unordered_map<endpoint_name, std::uint64_t> m_cacheSequence;

    std::set<incarnation_id> m_unsynced;
    std::optional<time_point> m_syncDeadline;
    double m_outputTokens = 0; // Mean output of recent answers, 0 until the first one.
    double m_requestTokens = 0; // Mean cost of recent requests.
    time_point m_nextRetry = time_point::max();
    bool m_stateChanged = false;
    std::uint64_t m_placed = 0;
    std::uint64_t m_refused = 0;
};

} // namespace plantainpoint

#include "scheduler_pool_ledger.hpp"
#include "scheduler_pool_queue.hpp"
