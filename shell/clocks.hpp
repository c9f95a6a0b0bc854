// System clocks of the programs.
#pragma once

#include "plantainpoint/clock.hpp"
#include "plantainpoint/vm_core.hpp"

namespace plantainpoint {

// Reads CLOCK_BOOTTIME, which is monotonic and includes the time in which the VM was suspended.
class boot_time_source final : public clock_source
{
public:
    time_point now() const override;
};

// Reads the system time in milliseconds since 1970. It can jump when the clock is set.
class system_time_source final : public wall_clock_source
{
public:
    wall_millis now() const override;
};

} // namespace plantainpoint
