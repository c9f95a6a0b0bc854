// Reader of CBOR documents from other machines.
#pragma once

#include <string_view>

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

namespace plantainpoint {

// Returns MalformedMessage if the bytes are not one document, or if it is nested more than 16 levels deep. The library's own reader calls itself for
// each level, so that a datagram of nested arrays would use up the stack.
absl::StatusOr<nlohmann::json> parseCbor(std::string_view bytes);

} // namespace plantainpoint
