// definitions of basic_share_table: the holder's side, asking and returning
#pragma once

#include <algorithm>

#include "share_table.hpp"

namespace plantainpoint {

// times of the borrowing policy; the bound does not depend on them
struct share_timing {
    // how often bucket shares are compared with the demand
    static constexpr duration reviewInterval = std::chrono::milliseconds(100);
    // demand of this time is borrowed ahead
    static constexpr duration lookahead = std::chrono::milliseconds(100);
    // requests ahead of need are this far apart
    static constexpr duration earlyRequestInterval = std::chrono::milliseconds(10);
    // an unanswered request is repeated, for the network may have lost it
    static constexpr duration shareRequestRetry = std::chrono::milliseconds(50);
    // an owner that has not answered for this time is taken to be down
    static constexpr duration shareRequestTimeout = std::chrono::milliseconds(200);
    // and is not asked again for this time, so that callers are refused at once
    static constexpr duration silentOwnerBackoff = std::chrono::milliseconds(500);
    // holders that have not answered a recall by then are not waited for
    static constexpr duration recallTimeout = std::chrono::milliseconds(20);
    // members report and leaving VMs hand over within some heartbeats of the epoch; later ones are not waited for
    static constexpr duration takeOverLimit = std::chrono::milliseconds(500);
    static constexpr duration shortestBackoff = std::chrono::milliseconds(1);
    static constexpr duration longestBackoff = std::chrono::seconds(1);
};

// demand below one request per lookahead is served token by token: held tokens would only be missing elsewhere
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
    const auto quietUntil = std::max(account.backoffUntil, account.silentUntil);
    if (m_leaving || !account.ownerId || now < quietUntil) {
        return admission_answer{admission::Refused, std::max<duration>(quietUntil - now, share_timing::shortestBackoff)};
    }
    // the next tick asks for all callers together
    account.waiting += microTokensPerRequest;
    return admission_answer{admission::Waiting, {}};
}

template<class Rules>
void basic_share_table<Rules>::requestFromOwner(const account_name &name, share_account &account, std::int64_t needed, outbox &out)
{
    const auto demand = account.demand.rate(m_clock.now());
    send(*account.ownerId, share_request{name, m_epoch.number, needed, demand}, out);
}

// a request ahead of need is answered with a grant or not at all
template<class Rules>
void basic_share_table<Rules>::requestAhead(const account_name &name, share_account &account, outbox &out)
{
    const auto now = m_clock.now();
    if (m_leaving || !account.ownerId || account.ownerId == m_self || account.openRequest) {
        return;
    }
    const bool quiet = now < std::max({account.aheadBackoffUntil, account.backoffUntil, account.silentUntil});
    if (!quiet && account.bucketShare.fill() < lookahead(account.demand.rate(now)) / 2) {
        account.aheadBackoffUntil = now + share_timing::earlyRequestInterval;
        requestFromOwner(name, account, 0, out);
    }
}

// sends, repeats and gives up the request of the callers that wait
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
        account.silentUntil = now + share_timing::silentOwnerBackoff;
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
    limit_share part{message.rate, message.capacity, message.fill};
    if constexpr (!Rules::keepsFillInTransfer) {
        part.fill = scaleDown(account.limit.burst, part.capacity, limitUnits);
    }
    account.bucketShare.add(part);
    account.openRequest.reset();
    account.waiting = 0;
    account.silentUntil = {};
    m_active.insert(message.account);
    m_changed.insert(message.account);
}

// false when the owner is not ready to take it
template<class Rules>
bool basic_share_table<Rules>::returnShare(const account_name &name, share_account &account, const limit_share &part, outbox &out)
{
    if (!account.ownerId || account.ownerId == m_self || !reportConfirmed(*account.ownerId)) {
        return false;
    }
    account.bucketShare.remove(part);
    auto &sender = m_senders[*account.ownerId];
    const share_return message{name, m_epoch.number, sender.next(), part.rate, part.capacity, part.fill, wholeLimit};
    sender.sent(message.transfer, message, m_clock.now());
    send(*account.ownerId, message, out);
    return true;
}

// gives back what the demand does not call for
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
    const auto wanted = lookahead(demand);
    limit_share part{bucketShare.rateUnits(), bucketShare.capacityUnits(), bucketShare.fill()};
    bool worthwhile = true;
    if (wanted > 0) {
        part.rate = bucketShare.rate() > demand + demand / 4 ? bucketShare.unitsOfRate(bucketShare.rate() - demand) : 0;
        part.fill = bucketShare.fill() > 2 * wanted ? bucketShare.fill() - wanted : 0;
        part.capacity = bucketShare.shareCapacity(part.fill, bucketShare.capacity() - 3 * wanted);
        worthwhile = part.rate > 0 || part.fill > 0 || part.capacity > bucketShare.unitsOfCapacity(wanted) / 2;
    }
    if (!part.empty() && worthwhile) {
        returnShare(name, account, part, out);
    }
}

} // namespace plantainpoint
