// Parser of CBOR from other machines.
#pragma once

#include <string_view>

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include "plantainpoint/failure.hpp"

namespace plantainpoint {

// Parses untrusted CBOR. Returns the failure with a description of the error if the bytes are not one CBOR document or are nested more than 16 levels
// deep. The JSON library's own reader builds nested values recursively, so that a datagram of nested arrays would use up the stack.
absl::StatusOr<nlohmann::json> parseCbor(std::string_view bytes, failure reason);

} // namespace plantainpoint
