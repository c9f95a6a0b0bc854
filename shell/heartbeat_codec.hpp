// heartbeats between VMs as CBOR
#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "plantainpoint/relay.hpp"

namespace plantainpoint {

std::string encodeHeartbeat(const fleet_heartbeat &heartbeatMessage);

// MalformedMessage names what is wrong
absl::StatusOr<fleet_heartbeat> decodeHeartbeat(std::string_view bytes);

} // namespace plantainpoint
