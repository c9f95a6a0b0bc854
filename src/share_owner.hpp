// definitions of basic_share_table: the owner's side, granting and recalling
#pragma once

#include <algorithm>

#include "share_holder.hpp"
#include "share_table.hpp"

namespace plantainpoint {

// time in which the whole limit gains what the owner lacks for one request. a fixed time, such as that of a whole request, refused
// callers while the owner already had a token.
template<class Rules>
duration basic_share_table<Rules>::refillTime(const share_account &account) const
{
    if (account.limit.rate <= 0) {
        return share_timing::longestBackoff;
    }
    const auto missing = std::max<std::int64_t>(0, microTokensPerRequest - account.bucketShare.fill());
    const auto time = duration{scaleUp(duration{std::chrono::seconds(1)}.count(), missing, account.limit.rate)};
    return std::clamp(time, share_timing::shortestBackoff, share_timing::longestBackoff);
}

template<class Rules>
admission_answer basic_share_table<Rules>::admitAsOwner(const account_name &name, share_account &account, outbox &out)
{
    const bool asked = startRecall(name, account, pending_share{m_self, microTokensPerRequest}, out);
    return asked ? admission_answer{admission::Waiting, {}} : admission_answer{admission::Refused, refillTime(account)};
}

template<class Rules>
std::int64_t basic_share_table<Rules>::totalDemand(share_account &account)
{
    std::int64_t sum = account.demand.rate(m_clock.now());
    for (const auto &[id, part] : account.ledger) {
        sum += part.demand;
    }
    return sum;
}

// a part by demand: the rate that the holder needs, the tokens asked for, and some ahead
template<class Rules>
limit_share basic_share_table<Rules>::shareFor(share_account &account, const incarnation_id &to, std::int64_t needed)
{
    const auto &bucketShare = account.bucketShare;
    const auto &granted = account.ledger[to];
    const auto total = std::max<std::int64_t>(1, totalDemand(account));
    const auto ahead = lookahead(granted.demand);
    limit_share part;
    part.fill = std::min(needed, bucketShare.fill());
    part.fill += std::min(ahead, scaleDown(bucketShare.fill() - part.fill, granted.demand, total));
    if (ahead > 0) {
        const auto fairRate = std::min(granted.demand, scaleDown(account.limit.rate, granted.demand, total));
        const auto missing = fairRate - scaleDown(account.limit.rate, granted.rate, limitUnits);
        part.rate = missing > fairRate / 16 ? bucketShare.unitsOfRate(missing) : 0;
    }
    const auto missingCapacity = 2 * ahead - scaleDown(account.limit.burst, granted.capacity, limitUnits);
    const auto wantedCapacity = std::max<std::int64_t>(missingCapacity, part.fill);
    part.capacity = bucketShare.shareCapacity(part.fill, wantedCapacity);
    return part;
}

template<class Rules>
void basic_share_table<Rules>::grant(const account_name &name, share_account &account, const incarnation_id &to, std::int64_t needed, outbox &out)
{
    const auto part = shareFor(account, to, needed);
    if constexpr (Rules::debitsBeforeSending) {
        account.bucketShare.remove(part);
        account.ledger[to].rate += part.rate;
        account.ledger[to].capacity += part.capacity;
    }
    auto &sender = m_senders[to];
    const share_grant message{name, m_epoch.number, sender.next(), part.rate, part.capacity, part.fill, wholeLimit};
    sender.sent(message.transfer, message, m_clock.now());
    send(to, message, out);
}

// false when no other holder can have a token, or all were asked a moment ago. an owner that takes over keeps the request meanwhile.
template<class Rules>
bool basic_share_table<Rules>::startRecall(const account_name &name, share_account &account, const pending_share &request, outbox &out)
{
    const auto now = m_clock.now();
    if (!account.recalled.empty()) {
        account.pending.push_back(request);
        return true;
    }
    if (now < account.backoffUntil) {
        return false;
    }
    if (takesOver(account)) {
        account.pending.push_back(request);
        account.recallDeadline = m_epochAppliedAt + share_timing::takeOverLimit;
        return true;
    }
    for (const auto &[id, part] : account.ledger) {
        const bool holds = part.capacity > 0 && m_epoch.contains(id) && m_reported.contains(id);
        if (id != request.from && holds) {
            account.recalled.insert(id);
            send(id, share_recall{name, m_epoch.number, request.needed}, out);
        }
    }
    if (account.recalled.empty()) {
        return false;
    }
    account.pending.push_back(request);
    account.recallDeadline = now + share_timing::recallTimeout;
    return true;
}

// grants at once, asks the other holders, or refuses
template<class Rules>
void basic_share_table<Rules>::serveOrRecall(const account_name &name, share_account &account, const pending_share &request, outbox &out)
{
    if (request.needed <= account.bucketShare.fill() && account.bucketShare.fill() > 0) {
        grant(name, account, request.from, request.needed, out);
        return;
    }
    if (request.needed > 0 && !startRecall(name, account, request, out)) {
        send(request.from, share_refusal{name, m_epoch.number, refillTime(account)}, out);
    }
}

// serves the callers that wait for recalled tokens; the last time it refuses those that remain
template<class Rules>
void basic_share_table<Rules>::servePending(const account_name &name, share_account &account, bool last, outbox &out)
{
    const auto now = m_clock.now();
    account.bucketShare.accrue(now);
    std::vector<pending_share> remaining;
    std::int64_t keptForSelf = 0;
    bool callSelf = false;
    for (const auto &request : account.pending) {
        const auto available = account.bucketShare.fill() - keptForSelf;
        // a request that speaks for several callers is served for some of them rather than refused
        const bool enough = available >= request.needed || (last && available >= microTokensPerRequest);
        if (request.from == m_self) {
            keptForSelf += enough ? std::min(request.needed, available) : 0;
            callSelf = callSelf || enough || last;
        } else if (enough) {
            grant(name, account, request.from, std::min(request.needed, available), out);
        } else if (last) {
            send(request.from, share_refusal{name, m_epoch.number, refillTime(account)}, out);
        }
        if (!enough && last) {
            account.backoffUntil = now + refillTime(account);
        }
        if (!enough && !last) {
            remaining.push_back(request);
        }
    }
    account.pending = std::move(remaining);
    if (last) {
        account.recalled.clear();
    }
    if (callSelf) {
        // every local caller tries again, and is added again if it still has to wait
        m_changed.insert(name);
        std::erase_if(account.pending, [this](const auto &request) { return request.from == m_self; });
    }
}

} // namespace plantainpoint
