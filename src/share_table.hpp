// Distributes the client accounts' limits over the VMs as bucket shares. A share is debited at the sender before it is credited at the
// receiver, so that the sum of all shares never exceeds the limit.
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
    Admitted, // One request was debited.
    Waiting, // Tokens are requested from other VMs. The caller tries again when takeChanged() lists the account.
    Refused, // The account's limit is used up as far as the owner knows.
};

struct admission_answer {
    admission verdict = admission::Refused;
    duration retryAfter{};
};

// The rules that the bound on admissions depends on. The fuzz program disables them one at a time to show that its checks detect it.
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
    // Addresses are looked up in members for each message. members must be told of an epoch and of heartbeats before this table.
    basic_share_table(incarnation_id self, const membership &members, const clock_source &clock);

    // Admits one request of the account if this VM's bucket share allows it. The caller must have checked the admission lease at the same
    // instant.
    admission_answer admit(const account_name &account, outbox &out);

    void onEpoch(const current_epoch &epoch, outbox &out);
    void onConfiguration(const configuration &config, outbox &out);
    // Handles the confirmation of an epoch in the heartbeat of a member.
    void onEpochConfirmed(const incarnation_id &from, std::uint64_t epoch, outbox &out);
    void onPeer(const incarnation_id &from, const share_request &message, outbox &out);
    void onPeer(const incarnation_id &from, const share_grant &message, outbox &out);
    void onPeer(const incarnation_id &from, const share_recall &message, outbox &out);
    void onPeer(const incarnation_id &from, const share_return &message, outbox &out);
    void onPeer(const incarnation_id &from, const share_refusal &message, outbox &out);
    void onPeer(const incarnation_id &from, const holding_report &message, outbox &out);
    void onPeer(const incarnation_id &from, const share_handover &message, outbox &out);
    void onPeer(const incarnation_id &from, const share_ack &message, outbox &out);

    // Returns all shares to their owners before this VM leaves.
    void returnAllShares(outbox &out);
    // Returns whether every receiver has confirmed the last report of this VM.
    bool handedOver() const { return m_unconfirmedReports.empty(); }
    // Starts as a new incarnation, which inherits no shares.
    void setSelf(incarnation_id self);

    void tick(outbox &out);
    time_point nextTick() const;

    // Returns the accounts for which the result of admit() may have changed, and clears the list.
    std::vector<account_name> takeChanged();

    // Returns rate, capacity and fill held of each account and, for accounts that this VM owns, the sums that it granted.
    nlohmann::json status() const;

    const std::unordered_map<account_name, share_account> &accounts() const { return m_accounts; }

private:
    // A holding_report or share_handover with the holdings at the time at which the epoch was applied. It is resent unchanged until it is
    // confirmed.
    struct sent_report {
        peer_body body;
        time_point sentAt{};
    };

    void send(const incarnation_id &to, peer_body body, outbox &out) const;
    template<class Message>
    bool sentToOwner(const incarnation_id &from, const Message &message) const;
    template<class Message>
    share_account *accountFromOwner(const incarnation_id &from, const Message &message);

    // Defined in share_epoch.hpp: epochs, holding reports, reclaiming and changes of the limits.
    void applyEpoch(const account_name &name, share_account &account, bool sequential);
    void sendReports(outbox &out);
    void resendReports(outbox &out);
    bool reportConfirmed(const incarnation_id &ownerId) const;
    bool dropsSettled() const;
    bool everyMemberReported() const;
    void reclaim();
    void reclaimAccount(share_account &account);
    void resizeToLedger(share_account &account);
    void applyLimit(share_account &account, const rate_limit &limit);
    share_account &findOrAddAccount(const account_name &name);
    std::vector<handed_over_share> sharesToHandOver();
    void handOver(std::vector<handed_over_share> bucketShares, outbox &out);
    void sendReport(const incarnation_id &ownerId, peer_body report, outbox &out);
    bool awaitsHandover() const;
    void servePendingAfterReports(outbox &out);
    bool isTakingOver(const share_account &account) const;

    // Defined in share_owner.hpp: granting and recalling.
    void grant(const account_name &name, share_account &account, const incarnation_id &to, std::int64_t needed, outbox &out);
    void serveOrRecall(const account_name &name, share_account &account, const pending_share_request &request, outbox &out);
    limit_share shareFor(share_account &account, const incarnation_id &to, std::int64_t needed);
    std::int64_t totalDemand(share_account &account);
    bool startRecall(const account_name &name, share_account &account, const pending_share_request &request, outbox &out);
    void servePending(const account_name &name, share_account &account, bool isFinal, outbox &out);
    duration refillTime(const share_account &account) const;

    // Defined in share_holder.hpp, except for admitAsOwner() in share_owner.hpp: requesting and returning.
    admission_answer admitAsOwner(const account_name &name, share_account &account, outbox &out);
    admission_answer waitForOwner(share_account &account);
    void requestFromOwner(const account_name &name, share_account &account, std::int64_t needed, outbox &out);
    void requestAhead(const account_name &name, share_account &account, outbox &out);
    void credit(share_account &account, const share_grant &message);
    bool returnShare(const account_name &name, share_account &account, const limit_share &share, outbox &out);
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
    // Accounts with a bucket share, a waiting caller or a pending request.
    std::set<account_name> m_active;
    std::set<account_name> m_changed;
    std::map<incarnation_id, transfer_sender> m_senders;
    std::map<incarnation_id, transfer_receiver> m_receivers;
    std::map<incarnation_id, sent_report> m_unconfirmedReports;
    std::set<incarnation_id> m_reported;
    std::set<incarnation_id> m_handedOver; // Dropped members whose share_handover has arrived.
    bool m_dropsReclaimed = false; // The units of dropped members were reclaimed.
    bool m_reclaimed = false; // Nothing is left to be reclaimed in this epoch.
    time_point m_nextReview{};
    time_point m_lastTick{};
};

using share_table = basic_share_table<production_share_rules>;

extern template class basic_share_table<production_share_rules>;

} // namespace plantainpoint
