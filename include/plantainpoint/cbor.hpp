// Parser of CBOR from outside.
#pragma once

#include <string_view>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "plantainpoint/failure.hpp"

namespace plantainpoint {

// Levels of arrays and objects. Records nest six levels deep, messages fewer. The JSON library reads CBOR recursively, so that deeper nesting would use
// up the stack.
inline constexpr std::size_t maxCborDepth = 16;

// Parses untrusted CBOR. Returns the failure with a description of the error if the bytes are not one CBOR document or are nested too deeply.
absl::StatusOr<nlohmann::json> parseCbor(std::string_view bytes, failure reason);

} // namespace plantainpoint
