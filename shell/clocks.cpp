#include "clocks.hpp"

#include <ctime>

namespace plantainpoint {

time_point boot_time_source::now() const
{
    timespec bootTime{};
    clock_gettime(CLOCK_BOOTTIME, &bootTime);
    return time_point{std::chrono::seconds{bootTime.tv_sec} + std::chrono::nanoseconds{bootTime.tv_nsec}};
}

wall_millis system_time_source::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace plantainpoint
