// Settings of the entry program.
#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "logging.hpp"
#include "plantainpoint/ids.hpp"
#include "plantainpoint/messages.hpp"
#include "process_limits.hpp"

namespace plantainpoint {

struct tls_files {
    std::string certificate; // Path of the PEM file with the certificate chain.
    std::string key; // Path of the PEM file with the private key.
};

struct server_limits {
    std::size_t headerSize = 16 * 1024UL; // Bytes.
    std::size_t bodySize = 4 * 1024UL * 1024UL; // Bytes.
    std::chrono::milliseconds idleTime{60'000}; // For connections without a request, incomplete requests and output that is not read.
    std::int32_t connectionsPerAccount = 1000; // Open connections that presented the same key.
    std::int32_t openRequests = 4096;
    std::size_t connections = std::numeric_limits<std::size_t>::max(); // Open connections of all callers.
    std::size_t receiveBuffer = 0; // Bytes of a connection that the system holds until they are read. Zero selects the system's default.
    std::size_t outputBuffer = 256 * 1024UL; // Bytes that wait for a slow caller.
};

struct entry_settings {
    vm_name vm;
    data_centre_name dataCentre;
    region_name region;
    std::string listenAddress;
    std::optional<tls_files> tls;
    std::string adminAddress;
    std::string peerAddress;
    std::string fleetKey; // Content of the file that the settings name.
    std::string logAddress;
    std::string vmListAddress;
    server_limits limits;
    process_limits process;
    severity logLevel = severity::Info;
    log_format logFormat = log_format::Text;
    std::vector<vm_entry> seedPeers; // Used until the VM list answers.
};

// Loads and checks the settings. An InvalidSettings error names the file, the line and the key.
absl::StatusOr<entry_settings> loadEntrySettings(const std::string &file);

} // namespace plantainpoint
