// the parts of the placement policy; each can be replaced without touching the others
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
    std::int32_t hit = 0; // hinted tokens
    duration work{}; // expected, with the prefix hit
    duration saved{}; // expected, by the prefix hit
    duration transfer{};
    time_point queueEnds{}; // expected end of the work ahead, a running chunk of batch work excepted
    time_point start{}; // expected start of the prefill
    time_point ready{}; // expected arrival of the KV data at the decode worker
};

// what a choice may look at
struct pool_view {
    const prefill_table &prefills;
    const decode_table &decodes;
    const prefix_hints &hints;
    time_point now;
};

template<class T>
concept prefill_choice = requires(const T &part, const pool_view &view, const waiting_request &request)
{
    {
        part.choose(view, request)
        } -> std::same_as<std::optional<prefill_option>>;
};

template<class T>
concept decode_choice = requires(const T &part, const pool_view &view, const waiting_request &request)
{
    {
        part.choose(view, request)
        } -> std::same_as<std::optional<worker_index>>;
};

// whether a request may use the capacity that is free now
template<class T>
concept admission_rule = requires(const T &part, const pool_view &view, const waiting_request &request, const prefill_option &option)
{
    {
        part.admits(view, request)
        } -> std::same_as<bool>;
    {
        part.startsNow(view, request, option)
        } -> std::same_as<bool>;
};

inline bool avoids(const waiting_request &request, const endpoint_name &name)
{
    const auto &avoid = request.message.avoid;
    return std::find(avoid.begin(), avoid.end(), name) != avoid.end();
}

// slack against the first-token target, as long as no account is far ahead of the others in virtual time
struct slack_within_lead {
    // allowed leads in seconds of virtual time; an account at five times its rate passes both within a minute
    static constexpr double leadAtGoodput = 45; // fairness near 0
    static constexpr double leadAtFairness = 30; // fairness 1
    // the lead of an account with a small share changes by whole requests
    static constexpr double leadRequests = 2;
    double fairness = 0.2;

    bool mayLead(double lead, double requestSeconds) const
    {
        const double allowed = leadAtGoodput + fairness * (leadAtFairness - leadAtGoodput) + leadRequests * requestSeconds;
        return fairness <= 0 || lead <= allowed;
    }
};

// covers the time from the end of a prefill until the next one arrives at the worker (three network hops)
inline constexpr duration prefillLead = std::chrono::milliseconds(15);

// least queued work - expected prefix hit + transfer time, among the workers that can start at once.
// waiting for a busy worker with a hit would let others idle and block the requests behind.
struct least_prefill_time {
    // part of a hinted hit that is counted, since hints are late
    static constexpr double hitConfidence = 0.9;
    static constexpr int leastBusyTried = 3;
    // an engine finishes the running chunk of a batch prefill before a more urgent one
    static constexpr duration batchChunk = std::chrono::milliseconds(35);

    std::optional<prefill_option> choose(const pool_view &view, const waiting_request &request) const
    {
        std::optional<prefill_option> best;
        const auto consider = [&](worker_index worker, std::int32_t hit) {
            if (view.prefills.usable(worker) && !avoids(request, view.prefills[worker].config.name)) {
                const auto option = evaluate(view, request, worker, hit);
                best = !best || preferred(view, option, *best) ? option : *best;
            }
        };
        if (const auto *holders = view.hints.longest(request.message.prefix)) {
            for (const auto &hint : *holders) {
                consider(hint.worker, hint.tokens);
            }
        }
        int tried = 0;
        for (auto at = view.prefills.byBusy().begin(); at != view.prefills.byBusy().end() && tried < leastBusyTried; ++at, ++tried) {
            consider(at->second, 0);
        }
        return best;
    }

    // a request may queue at a worker as long as its hit saves more than the wait
    static bool startsAtOnce(const pool_view &view, const prefill_option &option) { return option.queueEnds <= view.now + prefillLead + option.saved; }

    static bool preferred(const pool_view &view, const prefill_option &a, const prefill_option &b)
    {
        return std::pair{!startsAtOnce(view, a), a.ready} < std::pair{!startsAtOnce(view, b), b.ready};
    }

    static prefill_option evaluate(const pool_view &view, const waiting_request &request, worker_index index, std::int32_t hit)
    {
        const auto &worker = view.prefills[index];
        const auto tokens = request.message.promptTokens + request.message.resumeFrom;
        prefill_option option;
        option.worker = index;
        option.hit = hit;
        option.saved = worker.workOf(std::min(tokens, hit) * hitConfidence);
        option.work = worker.workOf(tokens) - option.saved;
        option.transfer = worker.transferOf(tokens);
        option.queueEnds = std::max(view.now, request.background ? worker.allBusyUntil : worker.busyUntil);
        option.start = option.queueEnds;
        if (!request.background && worker.allWork > worker.interactiveWork) {
            option.start += batchChunk;
        }
        option.ready = std::max(option.start + option.work, view.now + worker.transfers) + option.transfer;
        return option;
    }
};

// the KV blocks fit, least expected token interval
struct least_token_interval {
    std::optional<worker_index> choose(const pool_view &view, const waiting_request &request) const
    {
        return view.decodes.leastLoaded(request.kvBlocks, [&](worker_index index) { return !avoids(request, view.decodes[index].config.name); });
    }
};

// interactive work within the accounts' shares may take every slot; other work leaves a reserve free
struct interactive_first {
    // slots kept free for interactive requests that arrive while other work runs, times the square root of all slots:
    // the number of busy slots varies with the root of their mean (Halfin, Whitt 1981)
    static constexpr double slotReserve = 0.8;
    // a pool of few slots keeps at most this part of them free (one in four)
    static constexpr std::int32_t largestReserve = 4;
    // batch work that would soon be too late uses a part of the reserve: in a lasting overload an idle slot helps nobody
    static constexpr duration urgentSlack = std::chrono::seconds(5);
    static constexpr double urgentPart = 0.2;
    // longest wait of finished prefills for the worker's link
    static constexpr duration linkLead = std::chrono::milliseconds(200);

    bool admits(const pool_view &view, const waiting_request &request) const
    {
        const auto free = view.decodes.freeSlots();
        if (!request.background && !request.overShare) {
            return free > 0;
        }
        const bool urgent = request.background && request.latestStart - view.now < urgentSlack;
        const auto all = view.decodes.totalSlots();
        const auto reserve = 1 + static_cast<std::int32_t>(slotReserve * (urgent ? urgentPart : 1) * std::sqrt(all));
        return free > std::min(reserve, all / largestReserve);
    }

    bool startsNow(const pool_view &view, const waiting_request &, const prefill_option &option) const
    {
        const auto &worker = view.prefills[option.worker];
        return least_prefill_time::startsAtOnce(view, option) && view.now + worker.transfers <= option.start + option.work + linkLead;
    }
};

template<queue_order Order, prefill_choice Prefill, decode_choice Decode, admission_rule Admission>
struct placement_policy {
    using order = Order;
    using prefill = Prefill;
    using decode = Decode;
    using admission = Admission;
};

using production_policy = placement_policy<slack_within_lead, least_prefill_time, least_token_interval, interactive_first>;

} // namespace plantainpoint
