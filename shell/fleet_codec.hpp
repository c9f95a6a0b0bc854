// Encoding of the messages between VMs: a byte for the kind, for a summary the heartbeat of the receiver that it acknowledges, and CBOR.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include <absl/status/statusor.h>

#include "plantainpoint/relay.hpp"

namespace plantainpoint {

using fleet_message = std::
    variant<fleet_heartbeat, fleet_summary, placement_ask, placement_grant, record_keeping_ask, record_keeping_answer, stream_origin_ask, stream_origin_answer>;

std::string encodeHeartbeat(const fleet_heartbeat &heartbeatMessage);
// Encodes everything but the fields for the receiver, so that one encoding serves all receivers.
std::string encodeSummaryBody(const fleet_summary &summary);
std::string encodeAsk(const placement_ask &ask);
std::string encodeGrant(const placement_grant &grant);
std::string encodeRecordAsk(const record_keeping_ask &ask);
std::string encodeRecordAnswer(const record_keeping_answer &answer);
std::string encodeOriginAsk(const stream_origin_ask &ask);
std::string encodeOriginAnswer(const stream_origin_answer &answer);
std::string encodeSummary(std::string_view body, std::uint64_t receiverIncarnation, std::uint64_t acknowledged);

// Returns MalformedMessage with a description of the error when the bytes are not a valid message.
absl::StatusOr<fleet_message> decodeFleetMessage(std::string_view bytes);

} // namespace plantainpoint
