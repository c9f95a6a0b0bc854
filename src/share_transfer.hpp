// numbered transfers that are repeated until they are confirmed and applied once
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

// basis of every part: rate and capacity in messages are units of the limit
inline constexpr rate_limit wholeLimit{limitUnits, limitUnits};

inline constexpr duration transferRetry = std::chrono::milliseconds(100);

// transfers to one receiver in one epoch
class transfer_sender
{
public:
    std::uint64_t next() { return ++m_last; }

    void sent(std::uint64_t transfer, peer_body body, time_point now) { m_open.emplace(transfer, open_transfer{std::move(body), now}); }

    // empty when the transfer was confirmed before
    std::optional<peer_body> confirm(std::uint64_t transfer)
    {
        const auto at = m_open.find(transfer);
        if (at == m_open.end()) {
            return std::nullopt;
        }
        auto body = std::move(at->second.body);
        m_open.erase(at);
        return body;
    }

    template<class Send>
    void repeat(time_point now, Send send)
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

    std::uint64_t m_last = 0;
    std::map<std::uint64_t, open_transfer> m_open;
};

// transfers from one sender in one epoch
class transfer_receiver
{
public:
    // true for the first arrival of a transfer
    bool accept(std::uint64_t transfer)
    {
        if (transfer <= m_floor || !m_above.insert(transfer).second) {
            return false;
        }
        while (m_above.erase(m_floor + 1) > 0) {
            ++m_floor;
        }
        return true;
    }

private:
    std::uint64_t m_floor = 0; // every transfer up to this one was applied
    std::set<std::uint64_t> m_above;
};

} // namespace plantainpoint
