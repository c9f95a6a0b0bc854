// one VM of the share fuzz: the modules under test, and a clock with its own rate
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

// true time of the world as a VM's clock shows it; counts pauses
class skewed_clock final : public clock_source
{
public:
    skewed_clock(const clock_source &world, std::int64_t partsPerMillion)
        : m_world(world)
        , m_partsPerMillion(partsPerMillion)
    {
    }

    time_point now() const override
    {
        const auto since = m_world.now().time_since_epoch().count();
        return time_point{duration{since + static_cast<std::int64_t>(static_cast<__int128>(since) * m_partsPerMillion / 1'000'000)}};
    }

private:
    const clock_source &m_world;
    std::int64_t m_partsPerMillion;
};

// rules of the harness beside those of the share table
struct exact_rules : production_share_rules {
    static constexpr bool checksLease = true;
    // heartbeats are dated by the echo in their digest, not by their arrival
    static constexpr bool datesHeartbeats = true;
};

// an entry of the fake log
using world_record = std::variant<epoch_record, service_config>;

template<class Rules>
class share_vm
{
public:
    share_vm(epoch_member self, const clock_source &world, std::int64_t partsPerMillion)
        : m_clock(world, partsPerMillion)
        , m_self(self)
        , m_members(self, m_clock)
        , m_fresh(self.id, self.dataCentre, m_clock)
        , m_shares(self.id, m_members, m_clock)
    {
    }

    const incarnation_id &self() const { return m_self.id; }
    time_point now() const { return m_clock.now(); }
    bool holdsLease() const { return m_fresh.holdsLease(); }
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
        verdict = m_shares.admit(account, m_out).verdict;
        return verdict == admission::Admitted;
    }

    // the answer of a read that was sent at the given time of this VM's clock
    void onLog(const std::vector<world_record> &log, std::size_t head, time_point sentAt)
    {
        for (; m_applied < head; ++m_applied) {
            std::visit([this](const auto &record) { apply(record); }, log[m_applied]);
        }
        m_logReadable = true;
        m_fresh.onOwnProof(log_head_proof{sentAt, m_applied});
    }

    void onLogDown()
    {
        m_logReadable = false;
        m_fresh.onReadFailed();
    }

    void onVmList(const vm_list &list) { note(m_members.onVmList(list)); }

    void onPeer(const peer_message &message)
    {
        if (const auto *heartbeatMessage = std::get_if<heartbeat>(&message.body)) {
            onHeartbeat(message.from, *heartbeatMessage);
            return;
        }
        std::visit(
            [&](const auto &body) {
                if constexpr (requires { m_shares.onPeer(message.from, body, m_out); }) {
                    m_shares.onPeer(message.from, body, m_out);
                }
            },
            message.body);
        runShares();
    }

    void tick()
    {
        if (m_members.nextTick() <= now()) {
            const self_report report{m_applied, m_fresh.proofAge(), m_fresh.proofOffset(), m_logReadable, m_leaving};
            note(m_members.tick(report, m_out));
        }
        runShares();
    }

    void runShares()
    {
        if (m_shares.nextTick() <= now()) {
            m_shares.tick(m_out);
        }
    }

    void leave()
    {
        m_leaving = true;
        m_shares.returnAllShares(m_out);
    }

    std::vector<account_name> takeChanged() { return m_shares.takeChanged(); }
    std::vector<command> take() { return m_out.take(); }
    std::optional<epoch_record> takeProposal() { return std::exchange(m_proposal, std::nullopt); }

private:
    void onHeartbeat(const incarnation_id &from, heartbeat heartbeatMessage)
    {
        if constexpr (!Rules::datesHeartbeats) {
            for (auto &digest : heartbeatMessage.heard) {
                digest.sequence = static_cast<std::uint64_t>(now().time_since_epoch().count());
                digest.age = {};
            }
            m_fresh.onHeartbeat(from, heartbeatMessage, m_applied);
        }
        note(m_members.onHeartbeat(from, heartbeatMessage));
        m_fresh.onHeartbeat(from, heartbeatMessage, m_applied);
        m_shares.onEpochConfirmed(from, heartbeatMessage.epoch, m_out);
    }

    void apply(const epoch_record &record)
    {
        if (record.base != m_epoch.number) {
            return;
        }
        m_epoch.previous = m_epoch.members;
        m_epoch.members = record.members;
        ++m_epoch.number;
        note(m_members.onEpoch(m_epoch));
        m_fresh.onEpoch(m_epoch);
        m_shares.onEpoch(m_epoch, m_out);
        if (m_members.selfDropped()) {
            ++m_self.id.number;
            m_members.setSelf(m_self.id);
            m_fresh.setSelf(m_self.id);
            m_shares.setSelf(m_self.id);
        }
    }

    void apply(const service_config &service)
    {
        ++m_version;
        m_config.install(service.name, service, m_version);
        m_shares.onConfiguration(m_config, m_out);
    }

    void note(const membership_events &events)
    {
        if (events.proposal) {
            m_proposal = events.proposal;
        }
    }

    skewed_clock m_clock;
    epoch_member m_self;
    membership m_members;
    freshness m_fresh;
    basic_share_table<Rules> m_shares;
    current_epoch m_epoch;
    configuration m_config;
    std::uint64_t m_version = 0;
    std::size_t m_applied = 0;
    bool m_logReadable = false;
    bool m_leaving = false;
    std::optional<epoch_record> m_proposal;
    outbox m_out;
};

} // namespace plantainpoint::fuzz
