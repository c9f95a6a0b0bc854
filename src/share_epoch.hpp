// Definitions of basic_share_table: epochs, holding reports, reclaiming and changes of the limits.
#pragma once

#include <algorithm>
#include <utility>

#include "share_holder.hpp"
#include "share_table.hpp"

namespace plantainpoint {

template<class Rules>
share_account &basic_share_table<Rules>::findOrAddAccount(const account_name &name)
{
    const auto [it, isNew] = m_accounts.try_emplace(name);
    if (isNew) {
        it->second.bucketShare.accrue(m_clock.now());
        const auto owner = rendezvousOwner(name.value, m_epoch.members);
        it->second.ownerId = owner ? std::optional{owner->id} : std::nullopt;
        m_reclaimed = false;
    }
    return it->second;
}

template<class Rules>
void basic_share_table<Rules>::setSelf(incarnation_id self)
{
    m_self = std::move(self);
    m_isMember = m_epoch.contains(m_self);
    for (auto &[name, account] : m_accounts) {
        applyEpoch(name, account, false);
    }
    m_senders.clear();
    m_receivers.clear();
    m_unconfirmedReports.clear();
    m_reported.clear();
}

template<class Rules>
void basic_share_table<Rules>::onEpoch(const current_epoch &epoch, outbox &out)
{
    if (epoch.number <= m_epoch.number) {
        return;
    }
    // An owner that has missed an epoch cannot know what another owner granted in it.
    const bool sequential = epoch.number == m_epoch.number + 1;
    const bool wasMember = m_isMember;
    m_epoch = epoch;
    m_isMember = epoch.contains(m_self);
    m_senders.clear();
    m_receivers.clear();
    m_unconfirmedReports.clear();
    m_reported.clear();
    m_reclaimed = false;
    m_epochAppliedAt = m_clock.now();
    m_handedOver.clear();
    m_dropsReclaimed = false;
    const bool isLeaving = wasMember && !m_isMember && sequential;
    auto leavingShares = isLeaving ? sharesToHandOver() : std::vector<handed_over_share>{};
    for (auto &[name, account] : m_accounts) {
        applyEpoch(name, account, sequential);
    }
    if (isLeaving) {
        handOver(std::move(leavingShares), out);
    }
    if (m_isMember) {
        sendReports(out);
        reclaim();
    }
}

template<class Rules>
std::vector<handed_over_share> basic_share_table<Rules>::sharesToHandOver()
{
    std::vector<handed_over_share> bucketShares;
    for (auto &[name, account] : m_accounts) {
        account.bucketShare.accrue(m_clock.now());
        if (account.bucketShare.fill() > 0) {
            bucketShares.push_back(handed_over_share{name, account.bucketShare.capacityUnits(), account.bucketShare.fill()});
        }
    }
    return bucketShares;
}

// Sends a handover to every member, also an empty one, because every member waits for this message.
template<class Rules>
void basic_share_table<Rules>::handOver(std::vector<handed_over_share> bucketShares, outbox &out)
{
    std::map<incarnation_id, share_handover> messages;
    for (const auto &member : m_epoch.members) {
        messages[member.id].epoch = m_epoch.number;
    }
    for (auto &bucketShare : bucketShares) {
        if (const auto &ownerId = findOrAddAccount(bucketShare.account).ownerId) {
            messages[*ownerId].bucketShares.push_back(std::move(bucketShare));
        }
    }
    for (auto &[ownerId, message] : messages) {
        sendReport(ownerId, std::move(message), out);
    }
}

template<class Rules>
void basic_share_table<Rules>::sendReport(const incarnation_id &ownerId, peer_body report, outbox &out)
{
    send(ownerId, report, out);
    m_unconfirmedReports.insert_or_assign(ownerId, sent_report{std::move(report), m_clock.now()});
}

template<class Rules>
void basic_share_table<Rules>::applyEpoch(const account_name &name, share_account &account, bool sequential)
{
    account.bucketShare.accrue(m_clock.now());
    const bool wasOwner = account.ownerId == m_self;
    const auto owner = rendezvousOwner(name.value, m_epoch.members);
    account.ownerId = owner ? std::optional{owner->id} : std::nullopt;
    if (!m_isMember) {
        account.bucketShare.clear();
    }
    if (account.ownerId != m_self || !m_isMember || !wasOwner || !sequential) {
        account.complete = false;
        account.ledger.clear();
    }
    // Shares in transit are not part of the report, so they go back to the owner.
    account.pending.clear();
    account.handedOver = 0;
    account.recalled.clear();
    account.openRequest.reset();
    account.waiting = 0;
    account.backoffUntil = {};
    account.ownerSilentUntil = {};
    // Reviews the share of an account that was not used here, so that it goes to the new owner. The owner recalls fill and capacity only.
    if (account.ownerId != m_self && !account.bucketShare.empty()) {
        m_active.insert(name);
    }
    m_changed.insert(name);
}

template<class Rules>
void basic_share_table<Rules>::sendReports(outbox &out)
{
    std::map<incarnation_id, holding_report> reports;
    for (const auto &member : m_epoch.members) {
        if (member.id != m_self) {
            reports[member.id].epoch = m_epoch.number;
        }
    }
    for (const auto &[name, account] : m_accounts) {
        if (account.ownerId && account.ownerId != m_self && !account.bucketShare.empty()) {
            reports[*account.ownerId].holdings.push_back(holding{name, account.bucketShare.rateUnits(), account.bucketShare.capacityUnits(), fullLimit});
        }
    }
    for (auto &[ownerId, report] : reports) {
        sendReport(ownerId, std::move(report), out);
    }
}

template<class Rules>
void basic_share_table<Rules>::resendReports(outbox &out)
{
    const auto now = m_clock.now();
    for (auto &[ownerId, unconfirmed] : m_unconfirmedReports) {
        if (now - unconfirmed.sentAt >= transferRetry) {
            unconfirmed.sentAt = now;
            send(ownerId, unconfirmed.body, out);
        }
    }
}

// Returns whether the owner has confirmed the report. Before that, it cannot tell whether a returned share is included in the report.
template<class Rules>
bool basic_share_table<Rules>::reportConfirmed(const incarnation_id &ownerId) const
{
    return !m_unconfirmedReports.contains(ownerId);
}

template<class Rules>
void basic_share_table<Rules>::onPeer(const incarnation_id &from, const holding_report &message, outbox &out)
{
    if (!m_isMember || message.epoch != m_epoch.number || !m_epoch.contains(from)) {
        return;
    }
    send(from, share_ack{message.epoch, 0}, out);
    // Only the first report counts, because it does not include grants of this epoch.
    if (!m_reported.insert(from).second) {
        return;
    }
    for (auto &[name, account] : m_accounts) {
        const auto ledgerEntry = account.ledger.find(from);
        if (account.ownerId == m_self && ledgerEntry != account.ledger.end()) {
            ledgerEntry->second = granted_share{0, 0, ledgerEntry->second.demand};
        }
    }
    for (const auto &heldShare : message.holdings) {
        auto &account = findOrAddAccount(heldShare.account);
        if (account.ownerId == m_self && heldShare.rate >= 0 && heldShare.capacity >= 0) {
            auto &granted = account.ledger[from];
            granted.rate = heldShare.rate;
            granted.capacity = heldShare.capacity;
        }
    }
    for (auto &[name, account] : m_accounts) {
        account.bucketShare.accrue(m_clock.now());
        resizeToLedger(account);
    }
    m_reclaimed = false;
    reclaim();
    servePendingAfterReports(out);
}

// Processes the pending requests again. They arrived before every member had reported.
template<class Rules>
void basic_share_table<Rules>::servePendingAfterReports(outbox &out)
{
    for (const auto &name : m_active) {
        auto &account = m_accounts.at(name);
        if (account.ownerId != m_self || !account.recalled.empty() || isTakingOver(account)) {
            continue;
        }
        for (const auto &request : std::exchange(account.pending, {})) {
            if (request.from == m_self) {
                m_changed.insert(name);
            } else {
                serveOrRecall(name, account, request, out);
            }
        }
    }
}

// Returns whether this VM is still taking over as the owner: for a short time after an epoch change, reports are missing and a new owner
// lacks the units that leaving VMs hand over.
template<class Rules>
bool basic_share_table<Rules>::isTakingOver(const share_account &account) const
{
    const bool withinTakeOver = m_isMember && !m_reclaimed && m_clock.now() - m_epochAppliedAt < share_timing::takeOverTimeout;
    return withinTakeOver && (!account.complete || !everyMemberReported());
}

template<class Rules>
bool basic_share_table<Rules>::dropsSettled() const
{
    return !Rules::waitsBeforeReclaiming || (m_members.epochNumber() == m_epoch.number && m_members.dropsSettled());
}

template<class Rules>
bool basic_share_table<Rules>::everyMemberReported() const
{
    return !Rules::waitsForReports || std::all_of(m_epoch.members.begin(), m_epoch.members.end(), [this](const auto &member) {
        return member.id == m_self || m_reported.contains(member.id);
    });
}

template<class Rules>
void basic_share_table<Rules>::reclaim()
{
    if (m_reclaimed || !m_isMember || !dropsSettled() || awaitsHandover()) {
        return;
    }
    m_dropsReclaimed = true;
    for (auto &[name, account] : m_accounts) {
        if (account.ownerId == m_self) {
            reclaimAccount(account);
        }
    }
    m_reclaimed = everyMemberReported();
}

// Returns whether reclaiming must wait for handovers. A reclaimed unit accrues at the owner, so fill that its former holder hands over
// later would be counted twice.
template<class Rules>
bool basic_share_table<Rules>::awaitsHandover() const
{
    const auto dropped = m_members.droppedMembers();
    const bool handedOver = std::all_of(dropped.begin(), dropped.end(), [this](const auto &id) { return m_handedOver.contains(id); });
    return Rules::dropsLateHandovers && !m_dropsReclaimed && !handedOver && m_clock.now() - m_epochAppliedAt < share_timing::takeOverTimeout;
}

template<class Rules>
void basic_share_table<Rules>::onPeer(const incarnation_id &from, const share_handover &message, outbox &out)
{
    const bool wasMember = std::any_of(m_epoch.previous.begin(), m_epoch.previous.end(), [&](const auto &member) { return member.id == from; });
    if (!m_isMember || message.epoch != m_epoch.number || !wasMember || m_epoch.contains(from)) {
        return;
    }
    send(from, share_ack{message.epoch, 0}, out);
    const bool isLate = m_dropsReclaimed && Rules::dropsLateHandovers;
    if (!m_handedOver.insert(from).second || isLate) {
        return;
    }
    for (const auto &bucketShare : message.bucketShares) {
        auto &account = findOrAddAccount(bucketShare.account);
        if (account.ownerId == m_self && bucketShare.capacity >= 0 && bucketShare.fill >= 0) {
            // The sender may have applied an older limit.
            account.handedOver += std::min(bucketShare.fill, scaleDown(account.limit.burst, bucketShare.capacity, limitUnits));
        }
    }
    m_reclaimed = false;
    reclaim();
    servePendingAfterReports(out);
}

// Takes back the units that dropped members held, with the fill that they handed over.
template<class Rules>
void basic_share_table<Rules>::reclaimAccount(share_account &account)
{
    account.bucketShare.accrue(m_clock.now());
    std::erase_if(account.ledger, [this](const auto &entry) { return !m_epoch.contains(entry.first); });
    account.complete = account.complete || everyMemberReported();
    resizeToLedger(account);
    if (account.complete) {
        account.bucketShare.refill(std::exchange(account.handedOver, 0));
    }
}

// Resizes the bucket share of an owner to the full limit minus the granted units.
template<class Rules>
void basic_share_table<Rules>::resizeToLedger(share_account &account)
{
    if (account.ownerId != m_self || !account.complete) {
        return;
    }
    const auto rate = std::max<std::int64_t>(0, limitUnits - account.grantedRate());
    const auto capacity = std::max<std::int64_t>(0, limitUnits - account.grantedCapacity());
    account.bucketShare.resize(rate, capacity);
}

template<class Rules>
void basic_share_table<Rules>::onEpochConfirmed(const incarnation_id & /*from*/, std::uint64_t /*epoch*/, outbox &out)
{
    reclaim();
    servePendingAfterReports(out);
}

template<class Rules>
void basic_share_table<Rules>::onConfiguration(const configuration &config, outbox & /*out*/)
{
    std::set<account_name> present;
    for (const auto &[serviceName, service] : config.services()) {
        for (const auto &published : service.accounts) {
            present.insert(published.name);
            applyLimit(findOrAddAccount(published.name), published.limit);
            m_changed.insert(published.name);
        }
    }
    for (auto &[name, account] : m_accounts) {
        if (!present.contains(name)) {
            applyLimit(account, rate_limit{});
        }
    }
    reclaim();
}

// Applies a limit without moving units, so that they are still with their holders if a removed limit is published again.
template<class Rules>
void basic_share_table<Rules>::applyLimit(share_account &account, const rate_limit &limit)
{
    account.bucketShare.accrue(m_clock.now());
    account.limit = limit;
    account.bucketShare.setLimit(limit);
}

} // namespace plantainpoint
