// Compression of what VMs send each other.
#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace plantainpoint {

// Returns the text in the deflate format, without a header or a checksum. Favours speed over size.
std::string deflate(std::string_view text);

// Returns the text of the given size, in bytes. Returns MalformedMessage if the bytes are invalid or hold a text of another size.
absl::StatusOr<std::string> inflate(std::string_view bytes, std::size_t size);

} // namespace plantainpoint
