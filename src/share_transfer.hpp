// Numbered transfers that are resent until they are confirmed, and that the receiver applies once.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/ids.hpp"
#include "plantainpoint/peer.hpp"
#include "token_bucket_share.hpp"

namespace plantainpoint {

// The basis of every share: rate and capacity in messages are counted in units of the limit.
inline constexpr rate_limit fullLimit{limitUnits, limitUnits};

inline constexpr duration transferRetry = std::chrono::milliseconds(100);

// Tracks the transfers to one receiver in one epoch.
class transfer_sender
{
public:
    std::uint64_t nextTransfer() { return ++m_lastTransfer; }

    void recordSent(std::uint64_t transfer, peer_body body, time_point now) { m_open.emplace(transfer, open_transfer{std::move(body), now}); }

    // Returns the message of the transfer, or nothing if the transfer was already confirmed.
    std::optional<peer_body> confirm(std::uint64_t transfer)
    {
        const auto it = m_open.find(transfer);
        if (it == m_open.end()) {
            return std::nullopt;
        }
        auto body = std::move(it->second.body);
        m_open.erase(it);
        return body;
    }

    template<class Send>
    void resend(time_point now, Send send)
    {
        for (auto &[transfer, open] : m_open) {
            if (now - open.sentAt >= transferRetry) {
                open.sentAt = now;
                send(open.body);
            }
        }
    }

    bool idle() const { return m_open.empty(); }

private:
    struct open_transfer {
        peer_body body;
        time_point sentAt{};
    };

    std::uint64_t m_lastTransfer = 0;
    std::map<std::uint64_t, open_transfer> m_open;
};

// Tracks the transfers from one sender in one epoch.
class transfer_receiver
{
public:
    // Returns true if the transfer arrives for the first time.
    bool accept(std::uint64_t transfer)
    {
        if (transfer <= m_appliedUpTo || !m_appliedAbove.insert(transfer).second) {
            return false;
        }
        while (m_appliedAbove.erase(m_appliedUpTo + 1) > 0) {
            ++m_appliedUpTo;
        }
        return true;
    }

private:
    std::uint64_t m_appliedUpTo = 0; // Every transfer up to this one was applied.
    std::set<std::uint64_t> m_appliedAbove;
};

} // namespace plantainpoint
