// Timers of the core, ordered by time. Timers are not removed early: the module that handles a timer ignores it if it no longer applies.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

#include "plantainpoint/clock.hpp"

namespace plantainpoint {

enum class timer_kind : std::uint8_t {
    RequestDeadline,
    ShareWait, // Ends the wait for capacity of the client account's limit.
    PlacementRetry, // Repeats a placement request, as the request or its answer may have been lost between VMs.
    Hedge, // Sends a lookup to a second endpoint.
};

struct timer {
    time_point dueAt{};
    timer_kind kind = timer_kind::RequestDeadline;
    std::uint64_t request = 0; // Sequence number of the request.
    std::uint32_t attempt = 0; // Number of the attempt, for PlacementRetry and Hedge.
};

class timer_queue
{
public:
    void schedule(const timer &entry) { m_timers.push(entry); }

    // Removes and returns the earliest timer, if it is due.
    std::optional<timer> popDue(time_point now)
    {
        if (m_timers.empty() || m_timers.top().dueAt > now) {
            return std::nullopt;
        }
        const timer entry = m_timers.top();
        m_timers.pop();
        return entry;
    }

    std::optional<time_point> next() const { return m_timers.empty() ? std::nullopt : std::optional(m_timers.top().dueAt); }

private:
    struct is_due_later {
        bool operator()(const timer &a, const timer &b) const { return a.dueAt > b.dueAt; }
    };

    std::priority_queue<timer, std::vector<timer>, is_due_later> m_timers;
};

} // namespace plantainpoint
