// Definitions of basic_share_table: messages, ticks and status.
#pragma once

#include <algorithm>

#include <nlohmann/json.hpp>

#include "share_epoch.hpp"
#include "share_holder.hpp"
#include "share_owner.hpp"
#include "share_table.hpp"

namespace plantainpoint {

template<class Rules>
basic_share_table<Rules>::basic_share_table(incarnation_id self, const membership &members, const clock_source &clock)
    : m_self(std::move(self))
    , m_members(members)
    , m_clock(clock)
{
}

template<class Rules>
void basic_share_table<Rules>::send(const incarnation_id &to, peer_body body, outbox &out) const
{
    out.push(send_peer{to.vm, m_members.addressOf(to.vm), peer_message{m_self, 0, std::move(body)}});
}

template<class Rules>
admission_answer basic_share_table<Rules>::admit(const account_name &name, outbox &out)
{
    const auto it = m_accounts.find(name);
    if (it == m_accounts.end() || !m_isMember || it->second.limit.rate == 0) {
        return admission_answer{admission::Refused, share_timing::longestBackoff};
    }
    auto &account = it->second;
    const auto now = m_clock.now();
    account.bucketShare.accrue(now);
    m_active.insert(name);
    if (account.bucketShare.take(microTokensPerRequest)) {
        account.demand.recordRequest(now);
        requestAhead(name, account, out);
        return admission_answer{admission::Admitted, {}};
    }
    const auto answer = account.ownerId == m_self ? admitAsOwner(name, account, out) : waitForOwner(account);
    if (answer.verdict == admission::Refused) {
        account.demand.recordRequest(now);
    }
    return answer;
}

// Returns whether the owner may process the message. Messages of another epoch are void, because the holdings of every remaining member
// were counted when it applied the current epoch.
template<class Rules>
template<class Message>
bool basic_share_table<Rules>::sentToOwner(const incarnation_id &from, const Message &message) const
{
    const bool current = message.epoch == m_epoch.number || (!Rules::refusesOldEpochs && message.epoch < m_epoch.number);
    return m_isMember && current && m_epoch.contains(from) && m_reported.contains(from);
}

template<class Rules>
template<class Message>
share_account *basic_share_table<Rules>::accountFromOwner(const incarnation_id &from, const Message &message)
{
    const bool current = message.epoch == m_epoch.number || (!Rules::refusesOldEpochs && message.epoch < m_epoch.number);
    if (!m_isMember || !current) {
        return nullptr;
    }
    auto &account = findOrAddAccount(message.account);
    return account.ownerId == from || !Rules::refusesOldEpochs ? &account : nullptr;
}

template<class Rules>
void basic_share_table<Rules>::onPeer(const incarnation_id &from, const share_request &message, outbox &out)
{
    if (!sentToOwner(from, message) || message.needed < 0 || message.demand < 0) {
        return;
    }
    auto &account = findOrAddAccount(message.account);
    if (account.ownerId != m_self) {
        return;
    }
    account.bucketShare.accrue(m_clock.now());
    account.ledger[from].demand = message.demand;
    m_active.insert(message.account);
    serveOrRecall(message.account, account, pending_share_request{from, message.needed}, out);
}

template<class Rules>
void basic_share_table<Rules>::onPeer(const incarnation_id &from, const share_grant &message, outbox &out)
{
    auto *account = accountFromOwner(from, message);
    if (account == nullptr || !limit_share{message.rate, message.capacity, message.fill}.valid()) {
        return;
    }
    send(from, share_ack{message.epoch, message.transfer}, out);
    if (!m_receivers[from].accept(message.transfer) && Rules::appliesOnce) {
        return;
    }
    credit(*account, message);
}

template<class Rules>
void basic_share_table<Rules>::onPeer(const incarnation_id &from, const share_return &message, outbox &out)
{
    if (!sentToOwner(from, message) || !limit_share{message.rate, message.capacity, message.fill}.valid()) {
        return;
    }
    auto &account = findOrAddAccount(message.account);
    if (account.ownerId != m_self) {
        return;
    }
    send(from, share_ack{message.epoch, message.transfer}, out);
    if (!m_receivers[from].accept(message.transfer) && Rules::appliesOnce) {
        return;
    }
    account.bucketShare.accrue(m_clock.now());
    auto &granted = account.ledger[from];
    granted.rate -= message.rate;
    granted.capacity -= message.capacity;
    granted.demand = granted.capacity == 0 && granted.rate == 0 ? 0 : granted.demand;
    account.bucketShare.add(limit_share{message.rate, message.capacity, message.fill});
    resizeToLedger(account);
    account.recalled.erase(from);
    servePending(message.account, account, account.recalled.empty(), out);
}

template<class Rules>
void basic_share_table<Rules>::onPeer(const incarnation_id &from, const share_refusal &message, outbox & /*out*/)
{
    auto *account = accountFromOwner(from, message);
    if (account == nullptr || !account->openRequest) {
        return;
    }
    const auto retryAt = m_clock.now() + std::clamp(message.retryAfter, share_timing::shortestBackoff, share_timing::longestBackoff);
    account->backoffUntil = retryAt;
    account->openRequest.reset();
    account->waiting = 0;
    m_changed.insert(message.account);
}

template<class Rules>
void basic_share_table<Rules>::onPeer(const incarnation_id &from, const share_recall &message, outbox &out)
{
    auto *account = accountFromOwner(from, message);
    if (account == nullptr || message.needed < 0) {
        return;
    }
    const auto now = m_clock.now();
    account->bucketShare.accrue(now);
    // The returned fill covers the recalled amount or, if that is more, everything beyond the local demand.
    const auto unused = account->bucketShare.fill() - lookahead(account->demand.rate(now));
    const auto fill = std::min(account->bucketShare.fill(), std::max(message.needed, unused));
    const auto capacity = account->bucketShare.shareCapacity(fill, fill);
    // A recall is answered even with an empty return, because the owner waits for the answer.
    returnShare(message.account, *account, limit_share{0, capacity, fill}, out);
}

template<class Rules>
void basic_share_table<Rules>::onPeer(const incarnation_id &from, const share_ack &message, outbox & /*out*/)
{
    if (message.epoch != m_epoch.number) {
        return;
    }
    if (message.transfer == 0) {
        m_unconfirmedReports.erase(from);
        return;
    }
    const auto body = m_senders[from].confirm(message.transfer);
    if constexpr (!Rules::debitsBeforeSending) {
        if (body && std::holds_alternative<share_grant>(*body)) {
            const auto &sentGrant = std::get<share_grant>(*body);
            auto &account = findOrAddAccount(sentGrant.account);
            account.ledger[from].rate += sentGrant.rate;
            account.ledger[from].capacity += sentGrant.capacity;
            resizeToLedger(account);
        }
    }
}

template<class Rules>
void basic_share_table<Rules>::returnAllShares(outbox &out)
{
    m_leaving = true;
    for (auto &[name, account] : m_accounts) {
        if (account.ownerId != m_self) {
            account.bucketShare.accrue(m_clock.now());
            returnShare(name, account, limit_share{account.bucketShare.rateUnits(), account.bucketShare.capacityUnits(), account.bucketShare.fill()}, out);
        }
    }
}

template<class Rules>
void basic_share_table<Rules>::tick(outbox &out)
{
    const auto now = m_clock.now();
    m_lastTick = now;
    reclaim();
    resendReports(out);
    for (auto &[to, sender] : m_senders) {
        sender.resend(now, [&, target = to](const peer_body &body) { send(target, body, out); });
    }
    const bool isReviewDue = now >= m_nextReview;
    if (isReviewDue) {
        m_nextReview = now + share_timing::reviewInterval;
    }
    for (auto it = m_active.begin(); it != m_active.end();) {
        auto &account = m_accounts.at(*it);
        updateOpenRequest(*it, account, out);
        if (!account.pending.empty() && now >= account.recallDeadline) {
            servePending(*it, account, true, out);
        }
        if (isReviewDue) {
            returnIdle(*it, account, out);
        }
        const bool idle = account.bucketShare.empty() && !account.openRequest && account.waiting == 0 && account.pending.empty();
        it = idle ? m_active.erase(it) : std::next(it);
    }
}

template<class Rules>
time_point basic_share_table<Rules>::nextTick() const
{
    auto next = m_lastTick + heartbeatInterval;
    const bool hasOpenTransfers = std::any_of(m_senders.begin(), m_senders.end(), [](const auto &entry) { return !entry.second.idle(); });
    if (hasOpenTransfers || !m_unconfirmedReports.empty() || (m_isMember && !m_reclaimed)) {
        next = std::min(next, m_lastTick + transferRetry);
    }
    if (!m_active.empty()) {
        next = std::min(next, m_nextReview);
    }
    for (const auto &name : m_active) {
        const auto &account = m_accounts.at(name);
        if (!account.pending.empty()) {
            next = std::min(next, account.recallDeadline);
        }
        if (account.openRequest) {
            next = std::min(next, account.openRequest->lastSent + share_timing::shareRequestRetry);
        } else if (account.waiting > 0) {
            next = std::min(next, m_lastTick);
        }
    }
    return next;
}

template<class Rules>
std::vector<account_name> basic_share_table<Rules>::takeChanged()
{
    std::vector<account_name> changed(m_changed.begin(), m_changed.end());
    m_changed.clear();
    return changed;
}

template<class Rules>
nlohmann::json basic_share_table<Rules>::status() const
{
    nlohmann::json accountsJson = nlohmann::json::object();
    for (const auto &[name, account] : m_accounts) {
        nlohmann::json accountJson{{"rate", account.bucketShare.rate()},
                                   {"capacity", account.bucketShare.capacity()},
                                   {"fill", account.bucketShare.fill()},
                                   {"limit_rate", account.limit.rate},
                                   {"limit_burst", account.limit.burst},
                                   {"home", account.ownerId ? account.ownerId->vm.value : std::string{}}};
        if (account.ownerId == m_self) {
            accountJson["complete"] = account.complete;
            accountJson["granted_rate"] = scaleDown(account.limit.rate, account.grantedRate(), limitUnits);
            accountJson["granted_capacity"] = scaleDown(account.limit.burst, account.grantedCapacity(), limitUnits);
        }
        accountsJson[name.value] = std::move(accountJson);
    }
    return accountsJson;
}

} // namespace plantainpoint
