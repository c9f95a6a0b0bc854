// Parsers of the replies of endpoints.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "http_client.hpp"
#include "plantainpoint/messages.hpp"

namespace plantainpoint {

inline constexpr int statusOk = 200;

// Returns the code of attempt_failed for a call that received no whole response.
std::string_view codeOf(transfer_end end);

struct engine_refusal {
    std::string code;
    bool mayHaveRun = true; // False if the engine refused before any work.
};

// Parses an engine's response whose status is not 200.
engine_refusal parseEngineRefusal(int status, std::string_view body);

// Returns nothing if the body is not a reply of the protocol.
std::optional<prefill_done> parsePrefillReply(const attempt_label &attempt, std::string_view body);
std::optional<cache_events> parseCacheEvents(const endpoint_name &endpoint, std::string_view body);

// The result is marked as not reachable if the body is not a reply of the protocol.
load_report parseLoadReport(const endpoint_name &endpoint, std::string_view body);
endpoint_state_answer parseEndpointState(const endpoint_name &endpoint, std::string_view body);

// Returns why an order was refused, or nothing if it was accepted.
std::optional<failure> orderRefusal(transfer_end end, int status);

} // namespace plantainpoint
