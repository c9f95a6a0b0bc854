// Events of an engine's decode stream, and their parser.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace plantainpoint {

struct engine_token {
    std::int32_t position = 0;
    std::string text;
};

struct engine_done {
    std::string finishReason;
    std::int32_t tokens = 0;
};

struct engine_error {
    std::string code; // The code is "malformed" if the event cannot be parsed.
};

using engine_event = std::variant<engine_token, engine_done, engine_error>;

// Parses the data of one server-sent event.
engine_event parseEngineEvent(std::string_view data);

} // namespace plantainpoint
