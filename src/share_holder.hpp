// Definitions of basic_share_table for the holder: requesting and returning shares.
#pragma once

#include <algorithm>

#include "share_table.hpp"

namespace plantainpoint {

// Times of the borrowing policy. The bound on admissions does not depend on them.
struct share_timing {
    // The interval at which bucket shares are compared with the demand.
    static constexpr duration reviewInterval = std::chrono::milliseconds(100);
    // The demand expected within this time is borrowed ahead.
    static constexpr duration lookahead = std::chrono::milliseconds(100);
    // The minimum interval between requests ahead of need.
    static constexpr duration requestAheadInterval = std::chrono::milliseconds(10);
    // An unanswered request is resent after this time, as the network may have lost it.
    static constexpr duration shareRequestRetry = std::chrono::milliseconds(50);
    // An owner that has not answered for this time is assumed to be down.
    static constexpr duration shareRequestTimeout = std::chrono::milliseconds(200);
    // An owner assumed to be down gets no requests for this time, so that callers are refused at once.
    static constexpr duration silentOwnerBackoff = std::chrono::milliseconds(500);
    // The owner stops waiting for holders that have not answered a recall within this time.
    static constexpr duration recallTimeout = std::chrono::milliseconds(20);
    // Members report and leaving VMs hand over their shares within a few heartbeats of the epoch change. The owner stops waiting for them
    // after this time.
    static constexpr duration takeOverTimeout = std::chrono::milliseconds(500);
    static constexpr duration shortestBackoff = std::chrono::milliseconds(1);
    static constexpr duration longestBackoff = std::chrono::seconds(1);
};

// Returns the micro-tokens to borrow ahead. Demand below one request per lookahead is served token by token, because tokens held here
// would only be missing at other VMs.
template<class Rules>
std::int64_t basic_share_table<Rules>::lookahead(std::int64_t demand) const
{
    const auto tokens = scaleDown(demand, share_timing::lookahead.count(), duration{std::chrono::seconds(1)}.count());
    return tokens < microTokensPerRequest ? 0 : tokens;
}

template<class Rules>
admission_answer basic_share_table<Rules>::waitForOwner(share_account &account)
{
    const auto now = m_clock.now();
    const auto retryAt = std::max(account.backoffUntil, account.ownerSilentUntil);
    if (m_leaving || !account.ownerId || now < retryAt) {
        return admission_answer{admission::Refused, std::max<duration>(retryAt - now, share_timing::shortestBackoff)};
    }
    // The next tick sends one request for all waiting callers.
    account.waiting += microTokensPerRequest;
    return admission_answer{admission::Waiting, {}};
}

template<class Rules>
void basic_share_table<Rules>::requestFromOwner(const account_name &name, share_account &account, std::int64_t needed, outbox &out)
{
    const auto demand = account.demand.rate(m_clock.now());
    send(*account.ownerId, share_request{name, m_epoch.number, needed, demand}, out);
}

// Requests tokens ahead of need if the fill is below half of the lookahead. The owner answers such a request with a grant or not at all.
template<class Rules>
void basic_share_table<Rules>::requestAhead(const account_name &name, share_account &account, outbox &out)
{
    const auto now = m_clock.now();
    if (m_leaving || !account.ownerId || account.ownerId == m_self || account.openRequest) {
        return;
    }
    const bool isBackingOff = now < std::max({account.aheadBackoffUntil, account.backoffUntil, account.ownerSilentUntil});
    if (!isBackingOff && account.bucketShare.fill() < lookahead(account.demand.rate(now)) / 2) {
        account.aheadBackoffUntil = now + share_timing::requestAheadInterval;
        requestFromOwner(name, account, 0, out);
    }
}

// Sends, resends or gives up the open request of the waiting callers.
template<class Rules>
void basic_share_table<Rules>::updateOpenRequest(const account_name &name, share_account &account, outbox &out)
{
    const auto now = m_clock.now();
    if (!account.openRequest) {
        if (account.waiting > 0 && account.ownerId && account.ownerId != m_self) {
            account.openRequest = open_share_request{now, now, std::max<std::int64_t>(1, account.waiting - account.bucketShare.fill())};
            requestFromOwner(name, account, account.openRequest->needed, out);
        }
        return;
    }
    if (now - account.openRequest->firstSent >= share_timing::shareRequestTimeout) {
        account.openRequest.reset();
        account.waiting = 0;
        account.ownerSilentUntil = now + share_timing::silentOwnerBackoff;
        m_changed.insert(name);
        return;
    }
    if (now - account.openRequest->lastSent >= share_timing::shareRequestRetry) {
        account.openRequest->lastSent = now;
        requestFromOwner(name, account, account.openRequest->needed, out);
    }
}

template<class Rules>
void basic_share_table<Rules>::credit(share_account &account, const share_grant &message)
{
    account.bucketShare.accrue(m_clock.now());
    limit_share share{message.rate, message.capacity, message.fill};
    if constexpr (!Rules::keepsFillInTransfer) {
        share.fill = scaleDown(account.limit.burst, share.capacity, limitUnits);
    }
    account.bucketShare.add(share);
    account.openRequest.reset();
    account.waiting = 0;
    account.ownerSilentUntil = {};
    m_active.insert(message.account);
    m_changed.insert(message.account);
}

// Returns a share to the owner. The result is false if the owner is not ready to accept it.
template<class Rules>
bool basic_share_table<Rules>::returnShare(const account_name &name, share_account &account, const limit_share &share, outbox &out)
{
    if (!account.ownerId || account.ownerId == m_self || !reportConfirmed(*account.ownerId)) {
        return false;
    }
    account.bucketShare.remove(share);
    auto &sender = m_senders[*account.ownerId];
    const share_return message{name, m_epoch.number, sender.nextTransfer(), share.rate, share.capacity, share.fill, fullLimit};
    sender.recordSent(message.transfer, message, m_clock.now());
    send(*account.ownerId, message, out);
    return true;
}

// Returns to the owner what exceeds the demand.
template<class Rules>
void basic_share_table<Rules>::returnIdle(const account_name &name, share_account &account, outbox &out)
{
    if (account.ownerId == m_self || account.bucketShare.empty() || account.openRequest) {
        return;
    }
    const auto now = m_clock.now();
    account.bucketShare.accrue(now);
    const auto &bucketShare = account.bucketShare;
    const auto demand = account.demand.rate(now);
    const auto targetFill = lookahead(demand);
    limit_share share{bucketShare.rateUnits(), bucketShare.capacityUnits(), bucketShare.fill()};
    bool isWorthReturning = true;
    if (targetFill > 0) {
        share.rate = bucketShare.rate() > demand + demand / 4 ? bucketShare.unitsOfRate(bucketShare.rate() - demand) : 0;
        share.fill = bucketShare.fill() > 2 * targetFill ? bucketShare.fill() - targetFill : 0;
        share.capacity = bucketShare.shareCapacity(share.fill, bucketShare.capacity() - 3 * targetFill);
        isWorthReturning = share.rate > 0 || share.fill > 0 || share.capacity > bucketShare.unitsOfCapacity(targetFill) / 2;
    }
    if (!share.empty() && isWorthReturning) {
        returnShare(name, account, share, out);
    }
}

} // namespace plantainpoint
