#include "plantainpoint/peer.hpp"

#include "record_fields.hpp"

namespace plantainpoint {

namespace {

using nlohmann::json;

constexpr std::size_t maxSnapshotBytes = 64'000'000;

constexpr std::array<std::string_view, std::variant_size_v<peer_body>> methodNames{
    "heartbeat",          "log_relay",      "log_fetch",     "snapshot_fetch", "snapshot_reply", "share_request", "share_grant",
    "share_recall",       "share_return",   "share_refusal", "holding_report", "place_request",  "placement",     "placement_refusal",
    "placement_progress", "placement_done", "ledger_sync",   "share_ack",      "slice_handover",
};

} // namespace

template<>
inline constexpr std::size_t enumeratorCount<placement_stage> = 2;

static std::string_view nameOf(placement_stage stage)
{
    return stage == placement_stage::PrefillDone ? "prefill_done" : "decode_started";
}

template<class Visitor>
void describe(Visitor &visitor, entity<pool_id> auto &value)
{
    visitor.field("model", value.model);
    visitor.field("region", value.region);
}

template<class Visitor>
void describe(Visitor &visitor, entity<peer_digest> auto &value)
{
    visitor.field("id", value.id);
    visitor.field("data_centre", value.dataCentre);
    visitor.field("sequence", value.sequence);
    visitor.age("age_ns", value.age);
    visitor.field("epoch", value.epoch);
    visitor.field("leaving", value.leaving);
}

template<class Visitor>
void describe(Visitor &visitor, entity<heartbeat> auto &value)
{
    visitor.field("sequence", value.sequence);
    visitor.field("data_centre", value.dataCentre);
    visitor.field("region", value.region);
    visitor.field("peer_address", value.peerAddress);
    visitor.field("applied", value.applied);
    visitor.field("epoch", value.epoch);
    visitor.age("proof_age_ns", value.proofAge);
    visitor.field("proof_offset", value.proofOffset);
    visitor.field("log_readable", value.logReadable);
    visitor.field("leaving", value.leaving);
    visitor.field("heard", value.heard);
}

template<class Visitor>
void describe(Visitor &visitor, entity<log_entry> auto &value)
{
    visitor.field("offset", value.offset);
    visitor.bytes("payload", value.payload, maxBatchBytes);
}

template<class Visitor>
void describe(Visitor &visitor, entity<log_relay> auto &value)
{
    visitor.field("entries", value.entries);
    visitor.field("head", value.head);
    visitor.age("proof_age_ns", value.proofAge);
}

template<class Visitor>
void describe(Visitor &visitor, entity<log_fetch> auto &value)
{
    visitor.field("from", value.from);
}

template<class Visitor>
void describe(Visitor &, entity<snapshot_fetch> auto &)
{
}

template<class Visitor>
void describe(Visitor &visitor, entity<snapshot_reply> auto &value)
{
    visitor.field("covers", value.covers);
    visitor.bytes("data", value.data, maxSnapshotBytes);
    visitor.field("digest", value.digest);
}

template<class Visitor>
void describe(Visitor &visitor, entity<share_request> auto &value)
{
    visitor.field("account", value.account);
    visitor.field("epoch", value.epoch);
    visitor.field("needed", value.needed);
    visitor.field("demand", value.demand);
}

template<class Visitor, class Transfer>
requires entity<Transfer, share_grant> || entity<Transfer, share_return>
void describe(Visitor &visitor, Transfer &value)
{
    visitor.field("account", value.account);
    visitor.field("epoch", value.epoch);
    visitor.field("transfer", value.transfer);
    visitor.field("rate", value.rate);
    visitor.field("capacity", value.capacity);
    visitor.field("fill", value.fill);
    visitor.field("basis", value.basis);
}

template<class Visitor>
void describe(Visitor &visitor, entity<share_recall> auto &value)
{
    visitor.field("account", value.account);
    visitor.field("epoch", value.epoch);
    visitor.field("needed", value.needed);
}

template<class Visitor>
void describe(Visitor &visitor, entity<share_refusal> auto &value)
{
    visitor.field("account", value.account);
    visitor.field("epoch", value.epoch);
    visitor.age("retry_after_ns", value.retryAfter);
}

template<class Visitor>
void describe(Visitor &visitor, entity<holding> auto &value)
{
    visitor.field("account", value.account);
    visitor.field("rate", value.rate);
    visitor.field("capacity", value.capacity);
    visitor.field("basis", value.basis);
}

template<class Visitor>
void describe(Visitor &visitor, entity<holding_report> auto &value)
{
    visitor.field("epoch", value.epoch);
    visitor.field("holdings", value.holdings);
    visitor.field("complete", value.complete);
}

template<class Visitor>
void describe(Visitor &visitor, entity<place_request> auto &value)
{
    visitor.field("label", value.label);
    visitor.field("attempt", value.attempt);
    visitor.field("account", value.account);
    visitor.field("pool", value.pool);
    visitor.field("prompt_tokens", value.promptTokens);
    visitor.field("max_output_tokens", value.maxOutputTokens);
    visitor.field("resume_from", value.resumeFrom);
    visitor.field("urgency", value.kind);
    visitor.field("waited_ns", value.waited);
    visitor.field("patience_ns", value.timeToDeadline);
    visitor.field("prefix", value.prefix);
    visitor.field("avoid", value.avoid);
}

template<class Visitor>
void describe(Visitor &visitor, entity<placement> auto &value)
{
    visitor.field("label", value.label);
    visitor.field("attempt", value.attempt);
    visitor.field("prefill", value.prefill);
    visitor.field("decode", value.decode);
}

template<class Visitor>
void describe(Visitor &visitor, entity<placement_refusal> auto &value)
{
    visitor.field("label", value.label);
    visitor.field("attempt", value.attempt);
    visitor.field("reason", value.reason);
    visitor.age("retry_after_ns", value.retryAfter);
}

template<class Visitor>
void describe(Visitor &visitor, entity<placement_progress> auto &value)
{
    visitor.field("label", value.label);
    visitor.field("attempt", value.attempt);
    visitor.field("pool", value.pool);
    visitor.field("stage", value.stage);
}

template<class Visitor>
void describe(Visitor &visitor, entity<placement_done> auto &value)
{
    visitor.field("label", value.label);
    visitor.field("attempt", value.attempt);
    visitor.field("pool", value.pool);
    visitor.field("output_tokens", value.outputTokens);
    visitor.field("failed", value.failed);
}

template<class Visitor>
void describe(Visitor &visitor, entity<open_attempt> auto &value)
{
    visitor.field("label", value.label);
    visitor.field("attempt", value.attempt);
    visitor.field("account", value.account);
    visitor.field("prefill", value.prefill);
    visitor.field("decode", value.decode);
    visitor.field("stage", value.stage);
    visitor.field("prompt_tokens", value.promptTokens);
    visitor.field("max_output_tokens", value.maxOutputTokens);
}

template<class Visitor>
void describe(Visitor &visitor, entity<ledger_sync> auto &value)
{
    visitor.field("pool", value.pool);
    visitor.field("attempts", value.attempts);
}

template<class Visitor>
void describe(Visitor &visitor, entity<handed_over_share> auto &value)
{
    visitor.field("account", value.account);
    visitor.field("capacity", value.capacity);
    visitor.field("fill", value.fill);
}

template<class Visitor>
void describe(Visitor &visitor, entity<share_handover> auto &value)
{
    visitor.field("epoch", value.epoch);
    visitor.field("slices", value.bucketShares);
}

template<class Visitor>
void describe(Visitor &visitor, entity<share_ack> auto &value)
{
    visitor.field("epoch", value.epoch);
    visitor.field("transfer", value.transfer);
}

namespace {

// Fields of every message: its sender and sequence number.
struct peer_header {
    incarnation_id from;
    std::uint64_t sequence = 0;
};

template<class Visitor>
void describe(Visitor &visitor, entity<peer_header> auto &value)
{
    visitor.field("from", value.from);
    visitor.field("sequence", value.sequence);
}

absl::Status malformed(std::string_view detail)
{
    return makeStatus(failure::MalformedMessage, detail);
}

template<std::size_t Index = 0>
bool decodeBody(std::string_view method, const json &in, peer_body &body, read_state &state)
{
    if constexpr (Index == std::variant_size_v<peer_body>) {
        state.error = "message method is unknown";
        return false;
    } else {
        if (method != methodNames[Index]) {
            return decodeBody<Index + 1>(method, in, body, state);
        }
        const field_path path{nullptr, methodNames[Index], std::nullopt};
        return decodeFields(in, body.emplace<Index>(), state, &path);
    }
}

} // namespace

std::string_view methodOf(const peer_body &body)
{
    return methodNames[body.index()];
}

json toJson(const peer_message &message)
{
    json out = encodeFields(peer_header{message.from, message.sequence}, bytes_form::Base64);
    out["body"] = std::visit([](const auto &body) { return encodeFields(body, bytes_form::Base64); }, message.body);
    return out;
}

absl::StatusOr<peer_message> peerFromJson(std::string_view method, const json &params)
try {
    if (!params.is_object() || params.size() != 3 || !params.contains("body")) {
        return malformed("message parameters are not an object with exactly the fields from, sequence and body");
    }
    json headerFields = {{"from", params.value("from", json())}, {"sequence", params.value("sequence", json())}};
    peer_header header;
    peer_message message;
    read_state state{bytes_form::Base64, {}};
    if (!decodeFields(headerFields, header, state) || !decodeBody(method, params["body"], message.body, state)) {
        return malformed(state.error);
    }
    message.from = std::move(header.from);
    message.sequence = header.sequence;
    return message;
} catch (const std::exception &error) {
    return malformed(error.what());
}

} // namespace plantainpoint
