#include "plantainpoint/records.hpp"

#include "plantainpoint/cbor.hpp"
#include "plantainpoint/failure.hpp"
#include "record_fields.hpp"

namespace plantainpoint {

namespace {

using nlohmann::json;

constexpr std::size_t maxRecordsPerBatch = 10'000;

constexpr std::array<std::string_view, std::variant_size_v<record_body>> typeNames{
    "publication",
    "epoch",
    "booking_claim",
    "booking_outcome",
    "order",
    "audit_event",
    "void_record",
    "snapshot_chunk",
};

json encodeRecord(const log_record &record)
{
    json out = json::object();
    out["id"] = toString(record.id);
    out["type"] = typeNames[record.body.index()];
    out["body"] = std::visit([](const auto &body) { return encodeFields(body, bytes_form::Binary); }, record.body);
    return out;
}

template<std::size_t Index = 0>
bool decodeBody(std::string_view type, const json &in, record_body &body, read_state &state)
{
    if constexpr (Index == std::variant_size_v<record_body>) {
        state.error = "record type is unknown";
        return false;
    } else {
        if (type != typeNames[Index]) {
            return decodeBody<Index + 1>(type, in, body, state);
        }
        const field_path path{nullptr, typeNames[Index], std::nullopt};
        return decodeFields(in, body.emplace<Index>(), state, &path);
    }
}

absl::Status malformed(std::string_view detail)
{
    return makeStatus(failure::MalformedRecord, detail);
}

absl::StatusOr<log_record> decodeRecord(const json &in)
{
    if (!in.is_object() || in.size() != 3 || !in.contains("id") || !in.contains("type") || !in.contains("body")) {
        return malformed("record is not an object with exactly the fields id, type and body");
    }
    const auto *const idText = in["id"].get_ptr<const std::string *>();
    const auto *const type = in["type"].get_ptr<const std::string *>();
    auto id = idText ? parseRecordId(*idText) : std::nullopt;
    if (!id || !type) {
        return malformed("record id is not VM/INCARNATION/SEQUENCE, or record type is not a string");
    }
    log_record record{std::move(*id), {}};
    read_state state{bytes_form::Binary, {}};
    if (!decodeBody(*type, in["body"], record.body, state)) {
        return malformed(state.error);
    }
    return record;
}

} // namespace

std::string_view nameOf(audit_kind kind)
{
    constexpr std::array<std::string_view, enumeratorCount<audit_kind>> names{
        "publication_accepted",
        "publication_refused",
        "epoch_changed",
        "drain_started",
        "drain_finished",
        "order_sent",
        "orphan_freed",
        "vm_leaving",
    };
    const auto index = static_cast<std::size_t>(kind);
    return index < names.size() ? names[index] : std::string_view{"unknown"};
}

std::string contentDigest(const publication &content)
{
    json fields = encodeFields(content.service, bytes_form::Base64);
    fields["removes"] = content.removes;
    return toHex(digestOf(fields.dump(-1, ' ', false, json::error_handler_t::replace)));
}

std::string encodeBatch(const std::vector<log_record> &records)
{
    json batch = json::array();
    for (const auto &record : records) {
        batch.push_back(encodeRecord(record));
    }
    std::string payload;
    json::to_cbor(batch, payload);
    return payload;
}

absl::StatusOr<std::vector<log_record>> decodeBatch(std::string_view payload)
try {
    if (payload.size() > maxBatchBytes) {
        return malformed("batch of records has too many bytes");
    }
    const auto batch = parseCbor(payload, failure::MalformedRecord);
    if (!batch.ok()) {
        return batch.status();
    }
    if (!batch->is_array() || batch->size() > maxRecordsPerBatch) {
        return malformed("batch is not a list of records or has too many records");
    }
    std::vector<log_record> records;
    records.reserve(batch->size());
    for (const auto &item : *batch) {
        auto record = decodeRecord(item);
        if (!record.ok()) {
            return record.status();
        }
        records.push_back(std::move(*record));
    }
    return records;
} catch (const std::exception &error) {
    return malformed(error.what());
}

} // namespace plantainpoint
