// Settings of the relay program.
#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "logging.hpp"
#include "plantainpoint/relay_core.hpp"
#include "process_limits.hpp"

namespace plantainpoint {

struct relay_options {
    relay_settings core; // The incarnation and the name are included.
    std::string listenAddress; // Callers connect here.
    std::string readyAddress; // The load balancer checks the readiness here.
    std::string peerAddress; // Heartbeats (UDP), state transfer and metrics (TCP).
    std::string directoryAddress; // The configuration and the endpoints are published here.
    process_limits process{.memory = 110'000'000};
    std::uint32_t logLinesPerSecond = 500; // Limit of each log component. A relay with 0.25 of a CPU core writes less at its peak.
    severity logLevel = severity::Info;
    log_format logFormat = log_format::Text;
};

// Returns InvalidSettings with the file, line and key of each error.
absl::StatusOr<relay_options> loadRelayOptions(const std::string &file);

} // namespace plantainpoint
