// beats between VMs as CBOR
#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "plantainpoint/relay.hpp"

namespace plantainpoint {

std::string encodeBeat(const fleet_beat &beat);

// MalformedMessage names what is wrong
absl::StatusOr<fleet_beat> decodeBeat(std::string_view bytes);

} // namespace plantainpoint
