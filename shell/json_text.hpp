// Writes JSON text without building a document, because it is written for every token.
#pragma once

#include <string>
#include <string_view>

namespace plantainpoint {

// Appends UTF-8 text, escaped for a JSON string.
void appendJsonEscaped(std::string &out, std::string_view text);

} // namespace plantainpoint
