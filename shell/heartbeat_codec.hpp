// Encoding of heartbeats between VMs as CBOR.
#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "plantainpoint/relay.hpp"

namespace plantainpoint {

std::string encodeHeartbeat(const fleet_heartbeat &heartbeatMessage);

// Returns MalformedMessage with a description of the error when the bytes are not a valid heartbeat.
absl::StatusOr<fleet_heartbeat> decodeHeartbeat(std::string_view bytes);

} // namespace plantainpoint
