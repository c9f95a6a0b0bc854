// Event loop in virtual time.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "plantainpoint/clock.hpp"

namespace plantainpoint::bench {

class event_loop
{
public:
    using event_callback = std::function<void()>;

    const manual_clock &clock() const { return m_clock; }
    time_point now() const { return m_clock.now(); }

    void at(time_point time, event_callback callback) { m_events.push({time, m_sequence++, std::move(callback)}); }
    void after(duration delay, event_callback callback) { at(now() + delay, std::move(callback)); }

    // Runs the events up to the end in order of time, and those of the same time in order of insertion.
    void runUntil(time_point end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            auto next = m_events.top();
            m_events.pop();
            m_clock.advanceTo(next.time);
            next.callback();
        }
        m_clock.advanceTo(end);
    }

private:
    struct event {
        time_point time;
        std::uint64_t sequence;
        event_callback callback;

        bool operator<(const event &right) const { return std::pair{right.time, right.sequence} < std::pair{time, sequence}; }
    };

    manual_clock m_clock;
    std::priority_queue<event> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace plantainpoint::bench
