// One VM of the share fuzz test, with the modules under test and a clock with its own rate.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "freshness.hpp"
#include "log_state.hpp"
#include "membership.hpp"
#include "share_table_impl.hpp"

namespace plantainpoint::fuzz {

// Clock of a VM that runs at a constant rate relative to true time. It keeps running while the VM is paused.
class skewed_clock final : public clock_source
{
public:
    skewed_clock(const clock_source &trueClock, std::int64_t partsPerMillion)
        : m_trueClock(trueClock)
        , m_partsPerMillion(partsPerMillion)
    {
    }

    time_point now() const override
    {
        const auto elapsed = m_trueClock.now().time_since_epoch().count();
        return time_point{duration{elapsed + static_cast<std::int64_t>(static_cast<__int128>(elapsed) * m_partsPerMillion / 1'000'000)}};
    }

private:
    const clock_source &m_trueClock;
    std::int64_t m_partsPerMillion;
};

// Unmodified rules of the share table and of this harness.
struct production_rules : production_share_rules {
    static constexpr bool checksLease = true;
    // Heartbeats are dated by the echo in their digest, not by their arrival.
    static constexpr bool datesHeartbeats = true;
};

// Entry of the simulated log.
using world_record = std::variant<epoch_record, service_config>;

template<class Rules>
class share_vm
{
public:
    share_vm(epoch_member self, const clock_source &trueClock, std::int64_t partsPerMillion)
        : m_clock(trueClock, partsPerMillion)
        , m_self(self)
        , m_membership(self, m_clock)
        , m_freshness(self.id, self.dataCentre, m_clock)
        , m_shares(self.id, m_membership, m_clock)
    {
    }

    const incarnation_id &self() const { return m_self.id; }
    time_point now() const { return m_clock.now(); }
    bool holdsLease() const { return m_freshness.holdsLease(); }
    const basic_share_table<Rules> &shares() const { return m_shares; }
    const current_epoch &epoch() const { return m_epoch; }
    std::size_t applied() const { return m_applied; }
    std::uint64_t version() const { return m_version; }

    bool admit(const account_name &account, admission &verdict)
    {
        if (Rules::checksLease && !holdsLease()) {
            verdict = admission::Refused;
            return false;
        }
        verdict = m_shares.admit(account, m_outbox).verdict;
        return verdict == admission::Admitted;
    }

    // Handles the answer of a read that was sent at the given time of this VM's clock.
    void onLog(const std::vector<world_record> &log, std::size_t head, time_point sentAt)
    {
        for (; m_applied < head; ++m_applied) {
            std::visit([this](const auto &record) { apply(record); }, log[m_applied]);
        }
        m_logReadable = true;
        m_freshness.onOwnProof(log_head_proof{sentAt, m_applied});
    }

    void onLogDown()
    {
        m_logReadable = false;
        m_freshness.onReadFailed();
    }

    void onVmList(const vm_list &list) { keepProposal(m_membership.onVmList(list)); }

    void onPeer(const peer_message &message)
    {
        if (const auto *heartbeatMessage = std::get_if<heartbeat>(&message.body)) {
            onHeartbeat(message.from, *heartbeatMessage);
            return;
        }
        std::visit(
            [&](const auto &body) {
                if constexpr (requires { m_shares.onPeer(message.from, body, m_outbox); }) {
                    m_shares.onPeer(message.from, body, m_outbox);
                }
            },
            message.body);
        runShares();
    }

    void tick()
    {
        if (m_membership.nextTick() <= now()) {
            const self_report report{m_applied, m_freshness.proofAge(), m_freshness.proofOffset(), m_logReadable, m_leaving};
            keepProposal(m_membership.tick(report, m_outbox));
        }
        runShares();
    }

    void runShares()
    {
        if (m_shares.nextTick() <= now()) {
            m_shares.tick(m_outbox);
        }
    }

    void leave()
    {
        m_leaving = true;
        m_shares.returnAllShares(m_outbox);
    }

    std::vector<account_name> takeChanged() { return m_shares.takeChanged(); }
    std::vector<command> take() { return m_outbox.take(); }
    std::optional<epoch_record> takeProposal() { return std::exchange(m_proposal, std::nullopt); }

private:
    void onHeartbeat(const incarnation_id &from, heartbeat heartbeatMessage)
    {
        if constexpr (!Rules::datesHeartbeats) {
            for (auto &digest : heartbeatMessage.heard) {
                digest.sequence = static_cast<std::uint64_t>(now().time_since_epoch().count());
                digest.age = {};
            }
            m_freshness.onHeartbeat(from, heartbeatMessage, m_applied);
        }
        keepProposal(m_membership.onHeartbeat(from, heartbeatMessage));
        m_freshness.onHeartbeat(from, heartbeatMessage, m_applied);
        m_shares.onEpochConfirmed(from, heartbeatMessage.epoch, m_outbox);
    }

    void apply(const epoch_record &record)
    {
        if (record.base != m_epoch.number) {
            return;
        }
        m_epoch.previous = m_epoch.members;
        m_epoch.members = record.members;
        ++m_epoch.number;
        keepProposal(m_membership.onEpoch(m_epoch));
        m_freshness.onEpoch(m_epoch);
        m_shares.onEpoch(m_epoch, m_outbox);
        if (m_membership.selfDropped()) {
            ++m_self.id.number;
            m_membership.setSelf(m_self.id);
            m_freshness.setSelf(m_self.id);
            m_shares.setSelf(m_self.id);
        }
    }

    void apply(const service_config &service)
    {
        ++m_version;
        m_config.install(service.name, service, m_version);
        m_shares.onConfiguration(m_config, m_outbox);
    }

    void keepProposal(const membership_events &events)
    {
        if (events.proposal) {
            m_proposal = events.proposal;
        }
    }

    skewed_clock m_clock;
    epoch_member m_self;
    membership m_membership;
    freshness m_freshness;
    basic_share_table<Rules> m_shares;
    current_epoch m_epoch;
    configuration m_config;
    std::uint64_t m_version = 0;
    std::size_t m_applied = 0;
    bool m_logReadable = false;
    bool m_leaving = false;
    std::optional<epoch_record> m_proposal;
    outbox m_outbox;
};

} // namespace plantainpoint::fuzz
