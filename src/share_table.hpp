// bucket shares of the client accounts' limits: conserved, moved by debit before credit
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "freshness.hpp"
#include "log_state.hpp"
#include "membership.hpp"
#include "plantainpoint/clock.hpp"
#include "plantainpoint/commands.hpp"
#include "share_account.hpp"
#include "share_transfer.hpp"

namespace plantainpoint {

enum class admission : std::uint8_t {
    Admitted, // one request was debited
    Waiting, // the owner was asked; try again when takeChanged() lists the account
    Refused, // the account's limit is used up, as far as the owner knows
};

struct admission_answer {
    admission verdict = admission::Refused;
    duration retryAfter{};
};

// the rules that the bound rests on; the fuzz program breaks them one by one to show that its checks notice
struct production_share_rules {
    static constexpr bool debitsBeforeSending = true;
    static constexpr bool keepsFillInTransfer = true;
    static constexpr bool waitsBeforeReclaiming = true;
    static constexpr bool appliesOnce = true;
    static constexpr bool refusesOldEpochs = true;
    static constexpr bool waitsForReports = true;
    static constexpr bool dropsLateHandovers = true;
};

template<class Rules>
class basic_share_table
{
public:
    // addresses are looked up in members at each send. members learns of an epoch and of heartbeats before this table does.
    basic_share_table(incarnation_id self, const membership &members, const clock_source &clock);

    // takes one request of the account if this VM's bucket share allows it. the caller has checked the admission lease at the same instant.
    admission_answer admit(const account_name &account, outbox &out);

    void onEpoch(const current_epoch &epoch, outbox &out);
    void onConfiguration(const configuration &config, outbox &out);
    // a member has confirmed an epoch in its heartbeat
    void onEpochConfirmed(const incarnation_id &from, std::uint64_t epoch, outbox &out);
    void onPeer(const incarnation_id &from, const share_request &message, outbox &out);
    void onPeer(const incarnation_id &from, const share_grant &message, outbox &out);
    void onPeer(const incarnation_id &from, const share_recall &message, outbox &out);
    void onPeer(const incarnation_id &from, const share_return &message, outbox &out);
    void onPeer(const incarnation_id &from, const share_refusal &message, outbox &out);
    void onPeer(const incarnation_id &from, const holding_report &message, outbox &out);
    void onPeer(const incarnation_id &from, const share_handover &message, outbox &out);
    void onPeer(const incarnation_id &from, const share_ack &message, outbox &out);

    // hands everything back before this VM leaves
    void returnAllShares(outbox &out);
    // every receiver has confirmed the last report of this VM
    bool handedOver() const { return m_unconfirmedReports.empty(); }
    // a new incarnation inherits nothing
    void setSelf(incarnation_id self);

    void tick(outbox &out);
    time_point nextTick() const;

    // accounts for which admit() may now answer otherwise
    std::vector<account_name> takeChanged();

    // per account: held rate, capacity, fill and, as owner, granted sums
    nlohmann::json status() const;

    const std::unordered_map<account_name, share_account> &accounts() const { return m_accounts; }

private:
    // holdings as they were when the epoch was applied, as a holding_report or a share_handover; repeated unchanged until confirmed
    struct sent_report {
        peer_body body;
        time_point sentAt{};
    };

    void send(const incarnation_id &to, peer_body body, outbox &out) const;
    template<class Message>
    bool sentToOwner(const incarnation_id &from, const Message &message) const;
    template<class Message>
    share_account *accountFromOwner(const incarnation_id &from, const Message &message);

    // share_epoch.hpp: epochs, reports, reclaiming, limits
    void applyEpoch(const account_name &name, share_account &account, bool sequential);
    void makeReports(outbox &out);
    void repeatReports(outbox &out);
    bool reportConfirmed(const incarnation_id &ownerId) const;
    bool dropsSettled() const;
    bool everyMemberReported() const;
    void reclaim();
    void reclaimAccount(share_account &account);
    void fitToLedger(share_account &account);
    void applyLimit(share_account &account, const rate_limit &limit);
    share_account &rowOf(const account_name &name);
    std::vector<handed_over_share> sharesToHandOver();
    void handOver(std::vector<handed_over_share> bucketShares, outbox &out);
    void sendReport(const incarnation_id &ownerId, peer_body report, outbox &out);
    bool awaitsHandover() const;
    void serveAfterReports(outbox &out);
    bool takesOver(const share_account &account) const;

    // share_home.hpp: granting and recalling
    void grant(const account_name &name, share_account &account, const incarnation_id &to, std::int64_t needed, outbox &out);
    void serveOrRecall(const account_name &name, share_account &account, const pending_share &request, outbox &out);
    limit_share shareFor(share_account &account, const incarnation_id &to, std::int64_t needed);
    std::int64_t totalDemand(share_account &account);
    bool startRecall(const account_name &name, share_account &account, const pending_share &request, outbox &out);
    void servePending(const account_name &name, share_account &account, bool last, outbox &out);
    duration refillTime(const share_account &account) const;

    // share_holder.hpp: asking and returning
    admission_answer admitAsOwner(const account_name &name, share_account &account, outbox &out);
    admission_answer waitForOwner(share_account &account);
    void requestFromOwner(const account_name &name, share_account &account, std::int64_t needed, outbox &out);
    void requestAhead(const account_name &name, share_account &account, outbox &out);
    void credit(share_account &account, const share_grant &message);
    bool returnShare(const account_name &name, share_account &account, const limit_share &part, outbox &out);
    void returnIdle(const account_name &name, share_account &account, outbox &out);
    void updateOpenRequest(const account_name &name, share_account &account, outbox &out);
    std::int64_t lookahead(std::int64_t demand) const;

    incarnation_id m_self;
    const membership &m_members;
    const clock_source &m_clock;
    current_epoch m_epoch;
    time_point m_epochAppliedAt{};
    bool m_isMember = false;
    bool m_leaving = false;
    std::unordered_map<account_name, share_account> m_accounts;
    // accounts with a bucket share, a waiting caller or a pending request
    std::set<account_name> m_active;
    std::set<account_name> m_changed;
    std::map<incarnation_id, transfer_sender> m_senders;
    std::map<incarnation_id, transfer_receiver> m_receivers;
    std::map<incarnation_id, sent_report> m_unconfirmedReports;
    std::set<incarnation_id> m_reported;
    std::set<incarnation_id> m_handedOver; // dropped members whose share_handover has arrived
    bool m_dropsReclaimed = false; // the units of dropped members are here
    bool m_reclaimed = false; // nothing is left to be reclaimed in this epoch
    time_point m_nextReview{};
    time_point m_lastTick{};
};

using share_table = basic_share_table<production_share_rules>;

extern template class basic_share_table<production_share_rules>;

} // namespace plantainpoint
