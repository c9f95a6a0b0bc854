// Event loop of a decision core. It handles one message or tick at a time and executes its commands before the next one. A tick that is late, as the
// process stood still, comes after the messages that have arrived meanwhile.
#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "plantainpoint/clock.hpp"

namespace plantainpoint {

template<class Core, class Input>
class core_loop
{
public:
    // The arguments passed by reference have to outlive the loop. `execute` runs the commands of the core. Inputs that arise meanwhile are queued.
    core_loop(boost::asio::io_context &io, const clock_source &clock, Core &core, std::function<void()> execute)
        : m_io(io)
        , m_clock(clock)
        , m_core(core)
        , m_execute(std::move(execute))
        , m_tickTimer(io)
        , m_stopTimer(io)
    {
    }

    void deliver(Input message);
    void tick();

    // Keeps all later inputs from the core.
    void ignoreInputs() { m_running = true; }

    // Ends the ticks. Calls `stopped` and ends the event loop once `flushed` returns true, at the latest after `limit`.
    void stop(std::function<bool()> flushed, duration limit, std::function<void()> stopped);
    bool isStopping() const { return m_stopping; }

private:
    static constexpr auto flushInterval = std::chrono::milliseconds{5};
    static constexpr auto lateTickTime = std::chrono::milliseconds{20}; // A tick that is later waits for the pending input.
    // Passes of the reactor that a late tick waits for. One pass fetches up to 128 events, so these cover 4096 sockets.
    static constexpr int maxInputPasses = 32;
    static constexpr int minInputPasses = 4; // A slow VM waits for these beyond maxInputTime.
    static constexpr auto maxInputTime = std::chrono::milliseconds{100}; // Longest wait for the pending input, so that deadlines are kept under load.

    void drain();
    void schedule();
    void waitForTick(duration delay);
    void onTickTimer();
    bool waitsForInput(time_point now);
    void waitForFlush();

    boost::asio::io_context &m_io;
    const clock_source &m_clock;
    Core &m_core;
    std::function<void()> m_execute;
    std::function<bool()> m_flushed;
    std::function<void()> m_stopped;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_stopTimer;
    std::deque<Input> m_inbox; // Inputs that arise while commands are executed.
    time_point m_tickAt{}; // Expiry of the pending wait.
    time_point m_inputUntil{}; // End of the wait of a late tick for the pending input.
    time_point m_stopBy{};
    int m_inputPasses = 0; // Passes of the reactor that the pending tick has waited for.
    bool m_tickPending = false;
    bool m_running = false;
    bool m_stopping = false;
};

template<class Core, class Input>
void core_loop<Core, Input>::deliver(Input message)
{
    if (m_running) {
        m_inbox.push_back(std::move(message));
        return;
    }
    m_running = true;
    m_core.handle(std::move(message));
    drain();
}

template<class Core, class Input>
void core_loop<Core, Input>::tick()
{
    if (m_running) {
        return;
    }
    m_running = true;
    m_core.tick();
    drain();
}

template<class Core, class Input>
void core_loop<Core, Input>::drain()
{
    m_execute();
    while (!m_inbox.empty()) {
        auto message = std::move(m_inbox.front());
        m_inbox.pop_front();
        m_core.handle(std::move(message));
        m_execute();
    }
    m_running = false;
    schedule();
}

// Keeps a pending wait that expires before the next tick is due, so that a streamed token costs no timer operation.
template<class Core, class Input>
void core_loop<Core, Input>::schedule()
{
    const auto next = m_core.nextTick();
    if (m_stopping || (m_tickPending && (m_inputPasses > 0 || m_tickAt <= next))) {
        return;
    }
    m_tickPending = true;
    m_tickAt = next;
    waitForTick(std::max(next - m_clock.now(), duration{}));
}

template<class Core, class Input>
void core_loop<Core, Input>::waitForTick(duration delay)
{
    m_tickTimer.expires_after(delay);
    m_tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            onTickTimer();
        }
    });
}

template<class Core, class Input>
void core_loop<Core, Input>::onTickTimer()
{
    const auto now = m_clock.now();
    if (waitsForInput(now)) {
        waitForTick({});
        return;
    }
    m_tickPending = false;
    m_inputPasses = 0;
    if (now >= m_core.nextTick()) {
        tick();
    } else {
        schedule();
    }
}

// Returns whether a late tick waits for another pass of the reactor, as answers that are ready may be among the events that it has not fetched.
template<class Core, class Input>
bool core_loop<Core, Input>::waitsForInput(time_point now)
{
    if (m_inputPasses == 0) {
        m_inputUntil = now + maxInputTime;
    }
    const bool timeIsOver = m_inputPasses >= minInputPasses && now >= m_inputUntil;
    if (now - m_tickAt < lateTickTime || m_inputPasses == maxInputPasses || timeIsOver) {
        return false;
    }
    ++m_inputPasses;
    return true;
}

template<class Core, class Input>
void core_loop<Core, Input>::stop(std::function<bool()> flushed, duration limit, std::function<void()> stopped)
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    m_flushed = std::move(flushed);
    m_stopped = std::move(stopped);
    m_tickTimer.cancel();
    m_stopBy = m_clock.now() + limit;
    waitForFlush();
}

template<class Core, class Input>
void core_loop<Core, Input>::waitForFlush()
{
    m_stopTimer.expires_after(flushInterval);
    m_stopTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        if (m_flushed() || m_clock.now() >= m_stopBy) {
            m_stopped();
            m_io.stop();
        } else {
            waitForFlush();
        }
    });
}

} // namespace plantainpoint
