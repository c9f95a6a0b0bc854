// Settings of the relay program.
#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "logging.hpp"
#include "plantainpoint/relay_core.hpp"

namespace plantainpoint {

struct relay_options {
    relay_settings core; // The incarnation and the name are included.
    std::string listenAddress; // Callers connect here.
    std::string readyAddress; // The load balancer checks the readiness here.
    std::string peerAddress; // Heartbeats (UDP), state transfer and metrics (TCP).
    std::string directoryAddress; // The configuration and the endpoints are published here.
    std::size_t memory = 110'000'000; // Bytes after which the platform ends the process.
    std::size_t maxDescriptors = 3075; // Descriptors that the process may have open.
    std::uint32_t logLinesPerSecond = 500; // Limit of each log component. A relay with 0.25 of a CPU core writes less at its peak.
    severity logLevel = severity::Info;
    log_format logFormat = log_format::Text;
};

// Returns how many bytes the process may hold for others. The rest of its memory is for the program, the tables of the fleet and bytes on their way from
// one buffer to the next.
std::size_t heldBytesLimit(const relay_options &options);

// Returns how many connections of callers may be open. Each open request has one more connection, to an endpoint.
std::size_t callerConnectionLimit(const relay_options &options);

// Returns InvalidSettings with the file, line and key of each error.
absl::StatusOr<relay_options> loadRelayOptions(const std::string &file);

} // namespace plantainpoint
