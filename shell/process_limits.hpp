// What a process may use of its machine, and which parts of it what callers send may take.
#pragma once

#include <algorithm>
#include <cstddef>

#include "yaml_reader.hpp"

namespace plantainpoint {

struct process_limits {
    std::size_t memory = 128'000'000; // Bytes after which the platform ends the process.
    std::size_t descriptors = 3075; // Descriptors that the process may have open.

    // Bytes that the system holds for a connection of a caller until they are read, and that the platform counts towards the memory. A request whose head and
    // body fit arrives without a pause.
    static constexpr std::size_t receiveBuffer = 32 * 1024UL;

    // Returns how many bytes the process may hold for others. What this and the unread bytes leave is for the program, the tables of the fleet and bytes on
    // their way from one buffer to the next.
    std::size_t heldBytes() const { return memory / 2; }
    // Returns how many connections of callers may be open. Each open request has one more connection, to an endpoint.
    std::size_t callerConnections() const
    {
        constexpr std::size_t reserved = 200; // Descriptors for the directory, other VMs, listeners and the log.
        constexpr std::size_t unreadPercent = 30; // Of the memory may be used by what has not been read.
        return std::min((descriptors - reserved) / 2, memory / 100 * unreadPercent / receiveBuffer);
    }
};

// Reads memory_mb and max_descriptors. A number out of range is limited to it.
void readProcessLimits(settings_section &root, process_limits &out);

} // namespace plantainpoint
