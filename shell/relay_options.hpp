// settings of the relay program
#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "logging.hpp"
#include "plantainpoint/relay_core.hpp"

namespace plantainpoint {

struct relay_options {
    relay_settings core; // incarnation and name included
    std::string listenAddress; // callers
    std::string readyAddress; // readiness for the balancer
    std::string peerAddress; // heartbeats (UDP), state transfer and metrics (TCP)
    std::string directoryAddress; // where configuration and endpoints are published
    std::chrono::milliseconds directoryInterval{600}; // between two reads of the endpoints
    std::uint32_t logLinesPerSecond = 500; // of each part; a relay of 0.25 of a core writes less at its peak
    severity logLevel = severity::Info;
    log_format logFormat = log_format::Text;
};

// InvalidSettings names file, line and key
absl::StatusOr<relay_options> loadRelayOptions(const std::string &file);

} // namespace plantainpoint
