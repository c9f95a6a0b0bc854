#include "process_limits.hpp"

namespace plantainpoint {

void readProcessLimits(settings_section &root, process_limits &out)
{
    constexpr double bytesPerMegabyte = 1e6;
    constexpr double minMemory = 32; // Megabytes. Below it, the program itself needs them.
    constexpr double maxMemory = 1e6;
    constexpr double minDescriptors = 256;
    constexpr double maxDescriptors = 1e6;
    const auto megabytes = root.number("memory_mb", static_cast<double>(out.memory) / bytesPerMegabyte, minMemory, maxMemory);
    out.memory = static_cast<std::size_t>(megabytes * bytesPerMegabyte);
    out.descriptors = static_cast<std::size_t>(root.number("max_descriptors", static_cast<double>(out.descriptors), minDescriptors, maxDescriptors));
}

} // namespace plantainpoint
