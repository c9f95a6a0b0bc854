// Parts of the placement policy, each of which can be replaced independently.
#pragma once

#include <algorithm>
#include <cmath>
#include <concepts>
#include <optional>
#include <utility>

#include "scheduler_hints.hpp"
#include "scheduler_queue.hpp"
#include "scheduler_workers.hpp"

namespace plantainpoint {

struct prefill_option {
    worker_index worker = 0;
    std::int32_t hitTokens = 0; // Prompt tokens that the worker has cached according to the hint.
    duration prefillTime{}; // Expected time, with the prefix hit.
    duration savedTime{}; // Expected saving by the prefix hit.
    duration transferTime{};
    time_point queueEnd{}; // Expected end of the work ahead, without a running chunk of batch work.
    time_point start{}; // Expected start of the prefill.
    time_point ready{}; // Expected arrival of the KV data at the decode worker.
};

// State of a pool that the selectors and rules may read.
struct pool_view {
    const prefill_table &prefills;
    const decode_table &decodes;
    const prefix_hints &hints;
    time_point now;
};

template<class T>
concept prefill_selector = requires(const T &selector, const pool_view &view, const waiting_request &request)
{
    {
        selector.select(view, request)
        } -> std::same_as<std::optional<prefill_option>>;
};

template<class T>
concept decode_selector = requires(const T &selector, const pool_view &view, const waiting_request &request)
{
    {
        selector.select(view, request)
        } -> std::same_as<std::optional<worker_index>>;
};

// Decides whether a request may use the capacity that is free now.
template<class T>
concept admission_rule = requires(const T &rule, const pool_view &view, const waiting_request &request, const prefill_option &option)
{
    {
        rule.admits(view, request)
        } -> std::same_as<bool>;
    {
        rule.mayStartNow(view, request, option)
        } -> std::same_as<bool>;
};

inline bool avoids(const waiting_request &request, const endpoint_name &name)
{
    const auto &avoid = request.message.avoid;
    return std::find(avoid.begin(), avoid.end(), name) != avoid.end();
}

// Orders by slack against the first-token target, as long as no account is far ahead of the others in virtual time.
struct slack_within_lead {
    // Allowed leads in seconds of virtual time. An account at five times its rate exceeds both within a minute.
    static constexpr double leadAtGoodput = 45; // Lead at a fairness near 0.
    static constexpr double leadAtFairness = 30; // Lead at a fairness of 1.
    // Requests that an account may be ahead in addition, as the lead of an account with a small share changes by whole requests.
    static constexpr double leadRequests = 2;
    double fairness = 0.2;

    bool mayLead(double lead, double requestSeconds) const
    {
        const double allowed = leadAtGoodput + fairness * (leadAtFairness - leadAtGoodput) + leadRequests * requestSeconds;
        return fairness <= 0 || lead <= allowed;
    }
};

// Covers the time from the end of a prefill until the next one arrives at the worker, which takes three network hops.
inline constexpr duration prefillLeadTime = std::chrono::milliseconds(15);

// Selects the worker with the earliest expected end of transfer, counting queued work, prefix hit and transfer time, and prefers workers
// that can start immediately. Waiting for a busy worker with a hit would leave others idle and block the requests behind.
struct least_prefill_time {
    // Fraction of a hinted hit that is counted, as hints arrive late.
    static constexpr double hitFraction = 0.9;
    static constexpr int leastBusyCandidates = 3;
    // An engine finishes the running chunk of a batch prefill before it starts a more urgent prefill.
    static constexpr duration batchChunk = std::chrono::milliseconds(35);

    std::optional<prefill_option> select(const pool_view &view, const waiting_request &request) const
    {
        std::optional<prefill_option> best;
        const auto consider = [&](worker_index worker, std::int32_t hitTokens) {
            if (view.prefills.usable(worker) && !avoids(request, view.prefills[worker].config.name)) {
                const auto option = evaluate(view, request, worker, hitTokens);
                best = !best || preferred(view, option, *best) ? option : *best;
            }
        };
        if (const auto *holders = view.hints.longestMatch(request.message.prefix)) {
            for (const auto &hint : *holders) {
                consider(hint.worker, hint.tokens);
            }
        }
        int tried = 0;
        for (auto it = view.prefills.byBusyUntil().begin(); it != view.prefills.byBusyUntil().end() && tried < leastBusyCandidates; ++it, ++tried) {
            consider(it->second, 0);
        }
        return best;
    }

    // A request may queue at a worker as long as its hit saves more time than it waits.
    static bool startsImmediately(const pool_view &view, const prefill_option &option)
    {
        return option.queueEnd <= view.now + prefillLeadTime + option.savedTime;
    }

    static bool preferred(const pool_view &view, const prefill_option &a, const prefill_option &b)
    {
        return std::pair{!startsImmediately(view, a), a.ready} < std::pair{!startsImmediately(view, b), b.ready};
    }

    static prefill_option evaluate(const pool_view &view, const waiting_request &request, worker_index index, std::int32_t hitTokens)
    {
        const auto &worker = view.prefills[index];
        const auto tokens = request.message.promptTokens + request.message.resumeFrom;
        prefill_option option;
        option.worker = index;
        option.hitTokens = hitTokens;
        option.savedTime = worker.prefillTimeOf(std::min(tokens, hitTokens) * hitFraction);
        option.prefillTime = worker.prefillTimeOf(tokens) - option.savedTime;
        option.transferTime = worker.transferTimeOf(tokens);
        option.queueEnd = std::max(view.now, request.background ? worker.allBusyUntil : worker.interactiveBusyUntil);
        option.start = option.queueEnd;
        if (!request.background && worker.pendingWork > worker.pendingInteractiveWork) {
            option.start += batchChunk;
        }
        option.ready = std::max(option.start + option.prefillTime, view.now + worker.pendingTransferTime) + option.transferTime;
        return option;
    }
};

// Selects the worker with the smallest expected token interval among those whose free KV blocks suffice.
struct least_token_interval {
    std::optional<worker_index> select(const pool_view &view, const waiting_request &request) const
    {
        return view.decodes.leastLoaded(request.kvBlocks, [&](worker_index index) { return !avoids(request, view.decodes[index].config.name); });
    }
};

// Lets interactive work within the accounts' shares use every slot. Other work leaves a reserve free.
struct interactive_first {
    // Slots kept free for interactive requests that arrive while other work runs, as a factor of the square root of all slots: the
    // number of busy slots varies with the square root of its mean (Halfin, Whitt 1981).
    static constexpr double slotReserveFactor = 0.8;
    // A pool with few slots keeps at most one of every four slots free.
    static constexpr std::int32_t slotsPerReservedSlot = 4;
    // Batch work that would soon be too late uses a part of the reserve, as idle slots are of no use in a lasting overload.
    static constexpr duration urgentSlack = std::chrono::seconds(5);
    static constexpr double urgentReserveFactor = 0.2;
    // Longest time that a finished prefill may wait for the worker's link.
    static constexpr duration maxLinkWait = std::chrono::milliseconds(200);

    bool admits(const pool_view &view, const waiting_request &request) const
    {
        const auto free = view.decodes.freeSlots();
        if (!request.background && !request.overShare) {
            return free > 0;
        }
        const bool urgent = request.background && request.latestStart - view.now < urgentSlack;
        const auto all = view.decodes.totalSlots();
        const auto reserve = 1 + static_cast<std::int32_t>(slotReserveFactor * (urgent ? urgentReserveFactor : 1) * std::sqrt(all));
        return free > std::min(reserve, all / slotsPerReservedSlot);
    }

    bool mayStartNow(const pool_view &view, const waiting_request &, const prefill_option &option) const
    {
        const auto &worker = view.prefills[option.worker];
        return least_prefill_time::startsImmediately(view, option) && view.now + worker.pendingTransferTime <= option.start + option.prefillTime + maxLinkWait;
    }
};

template<queue_order Order, prefill_selector Prefill, decode_selector Decode, admission_rule Admission>
struct placement_policy {
    using order = Order;
    using prefill = Prefill;
    using decode = Decode;
    using admission = Admission;
};

using production_policy = placement_policy<slack_within_lead, least_prefill_time, least_token_interval, interactive_first>;

} // namespace plantainpoint
