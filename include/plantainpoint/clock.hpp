// The clock that the core reads. It is monotonic, and counts the time during which a process or VM is suspended.
#pragma once

#include <chrono>

namespace plantainpoint {

// Tag type of the time points, which are CLOCK_BOOTTIME in the programs and virtual time in tests and benches.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): The standard requires this name of a clock.
};

using time_point = boot_clock::time_point;
using duration = boot_clock::duration;

// Source of the current time, which never goes back.
class clock_source
{
public:
    virtual ~clock_source() = default;
    virtual time_point now() const = 0;
};

// A clock whose time changes only through advance() and advanceTo().
class manual_clock final : public clock_source
{
public:
    time_point now() const override { return m_now; }
    void advance(duration step) { m_now += step; }
    // Advances to the given time, or does nothing if it is in the past.
    void advanceTo(time_point newTime) { m_now = newTime > m_now ? newTime : m_now; }

private:
    time_point m_now{};
};

} // namespace plantainpoint
