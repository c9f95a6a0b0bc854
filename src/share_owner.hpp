// Definitions of basic_share_table for the owner: granting and recalling shares.
#pragma once

#include <algorithm>

#include "share_holder.hpp"
#include "share_table.hpp"

namespace plantainpoint {

// Returns the time in which the full limit accrues what the owner lacks for one request. A fixed time, such as that of a whole request,
// refused callers while the owner already had a token.
template<class Rules>
duration basic_share_table<Rules>::refillTime(const share_account &account) const
{
    if (account.limit.rate <= 0) {
        return share_timing::longestBackoff;
    }
    const auto missing = std::max<std::int64_t>(0, microTokensPerRequest - account.bucketShare.fill());
    const auto timeToRefill = duration{scaleUp(duration{std::chrono::seconds(1)}.count(), missing, account.limit.rate)};
    return std::clamp(timeToRefill, share_timing::shortestBackoff, share_timing::longestBackoff);
}

template<class Rules>
admission_answer basic_share_table<Rules>::admitAsOwner(const account_name &name, share_account &account, outbox &out)
{
    const bool recallStarted = startRecall(name, account, pending_share_request{m_self, microTokensPerRequest}, out);
    return recallStarted ? admission_answer{admission::Waiting, {}} : admission_answer{admission::Refused, refillTime(account)};
}

template<class Rules>
std::int64_t basic_share_table<Rules>::totalDemand(share_account &account)
{
    std::int64_t sum = account.demand.rate(m_clock.now());
    for (const auto &[id, granted] : account.ledger) {
        sum += granted.demand;
    }
    return sum;
}

// Returns a share sized by demand: the rate that the holder needs, the requested tokens, and tokens borrowed ahead.
template<class Rules>
limit_share basic_share_table<Rules>::shareFor(share_account &account, const incarnation_id &to, std::int64_t needed)
{
    const auto &bucketShare = account.bucketShare;
    const auto &granted = account.ledger[to];
    const auto total = std::max<std::int64_t>(1, totalDemand(account));
    const auto aheadTokens = lookahead(granted.demand);
    limit_share share;
    share.fill = std::min(needed, bucketShare.fill());
    share.fill += std::min(aheadTokens, scaleDown(bucketShare.fill() - share.fill, granted.demand, total));
    if (aheadTokens > 0) {
        const auto fairRate = std::min(granted.demand, scaleDown(account.limit.rate, granted.demand, total));
        const auto missing = fairRate - scaleDown(account.limit.rate, granted.rate, limitUnits);
        share.rate = missing > fairRate / 16 ? bucketShare.unitsOfRate(missing) : 0;
    }
    const auto missingCapacity = 2 * aheadTokens - scaleDown(account.limit.burst, granted.capacity, limitUnits);
    const auto wantedCapacity = std::max<std::int64_t>(missingCapacity, share.fill);
    share.capacity = bucketShare.shareCapacity(share.fill, wantedCapacity);
    return share;
}

template<class Rules>
void basic_share_table<Rules>::grant(const account_name &name, share_account &account, const incarnation_id &to, std::int64_t needed, outbox &out)
{
    const auto share = shareFor(account, to, needed);
    if constexpr (Rules::debitsBeforeSending) {
        account.bucketShare.remove(share);
        account.ledger[to].rate += share.rate;
        account.ledger[to].capacity += share.capacity;
    }
    auto &sender = m_senders[to];
    const share_grant message{name, m_epoch.number, sender.nextTransfer(), share.rate, share.capacity, share.fill, fullLimit};
    sender.recordSent(message.transfer, message, m_clock.now());
    send(to, message, out);
}

// Recalls shares from the other holders. Returns false if no other holder can have a token, or if a recall has just failed. An owner that
// is still taking over keeps the request pending instead.
template<class Rules>
bool basic_share_table<Rules>::startRecall(const account_name &name, share_account &account, const pending_share_request &request, outbox &out)
{
    const auto now = m_clock.now();
    if (!account.recalled.empty()) {
        account.pending.push_back(request);
        return true;
    }
    if (now < account.backoffUntil) {
        return false;
    }
    if (isTakingOver(account)) {
        account.pending.push_back(request);
        account.recallDeadline = m_epochAppliedAt + share_timing::takeOverTimeout;
        return true;
    }
    for (const auto &[id, granted] : account.ledger) {
        const bool holdsTokens = granted.capacity > 0 && m_epoch.contains(id) && m_reported.contains(id);
        if (id != request.from && holdsTokens) {
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

// Grants at once, recalls shares from the other holders, or refuses.
template<class Rules>
void basic_share_table<Rules>::serveOrRecall(const account_name &name, share_account &account, const pending_share_request &request, outbox &out)
{
    if (request.needed <= account.bucketShare.fill() && account.bucketShare.fill() > 0) {
        grant(name, account, request.from, request.needed, out);
        return;
    }
    if (request.needed > 0 && !startRecall(name, account, request, out)) {
        send(request.from, share_refusal{name, m_epoch.number, refillTime(account)}, out);
    }
}

// Serves the requests that wait for recalled tokens. The final call refuses those that remain.
template<class Rules>
void basic_share_table<Rules>::servePending(const account_name &name, share_account &account, bool isFinal, outbox &out)
{
    const auto now = m_clock.now();
    account.bucketShare.accrue(now);
    std::vector<pending_share_request> remaining;
    std::int64_t reservedForSelf = 0;
    bool retryLocalCallers = false;
    for (const auto &request : account.pending) {
        const auto available = account.bucketShare.fill() - reservedForSelf;
        // A request on behalf of several callers is served for some of them rather than refused.
        const bool isEnough = available >= request.needed || (isFinal && available >= microTokensPerRequest);
        if (request.from == m_self) {
            reservedForSelf += isEnough ? std::min(request.needed, available) : 0;
            retryLocalCallers = retryLocalCallers || isEnough || isFinal;
        } else if (isEnough) {
            grant(name, account, request.from, std::min(request.needed, available), out);
        } else if (isFinal) {
            send(request.from, share_refusal{name, m_epoch.number, refillTime(account)}, out);
        }
        if (!isEnough && isFinal) {
            account.backoffUntil = now + refillTime(account);
        }
        if (!isEnough && !isFinal) {
            remaining.push_back(request);
        }
    }
    account.pending = std::move(remaining);
    if (isFinal) {
        account.recalled.clear();
    }
    if (retryLocalCallers) {
        // Every local caller tries again, and is added again if it still has to wait.
        m_changed.insert(name);
        std::erase_if(account.pending, [this](const auto &request) { return request.from == m_self; });
    }
}

} // namespace plantainpoint
