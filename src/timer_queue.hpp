// timers of the core, ordered by time; a timer that no longer applies is recognised by its owner when it fires
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

#include "plantainpoint/clock.hpp"

namespace plantainpoint {

enum class timer_kind : std::uint8_t {
    RequestDeadline,
    ShareWait, // the wait for capacity of the client account's limit
    PlacementRetry, // a placement may have been lost between VMs
    Hedge,
};

struct timer {
    time_point at{};
    timer_kind kind = timer_kind::RequestDeadline;
    std::uint64_t request = 0; // sequence number
    std::uint32_t attempt = 0; // of PlacementRetry and Hedge
};

class timer_queue
{
public:
    void schedule(const timer &entry) { m_timers.push(entry); }

    // takes the earliest timer that is due
    std::optional<timer> popDue(time_point now)
    {
        if (m_timers.empty() || m_timers.top().at > now) {
            return std::nullopt;
        }
        const timer entry = m_timers.top();
        m_timers.pop();
        return entry;
    }

    std::optional<time_point> next() const { return m_timers.empty() ? std::nullopt : std::optional(m_timers.top().at); }

private:
    struct later {
        bool operator()(const timer &a, const timer &b) const { return a.at > b.at; }
    };

    std::priority_queue<timer, std::vector<timer>, later> m_timers;
};

} // namespace plantainpoint
