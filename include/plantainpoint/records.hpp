// records of the platform's log, and their CBOR form
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "plantainpoint/config.hpp"
#include "plantainpoint/failure.hpp"
#include "plantainpoint/ids.hpp"

namespace plantainpoint {

// milliseconds since 1970 as told by the writer; for display only, never for decisions
using wall_millis = std::int64_t;

// accepted if and only if base equals the service's present version; the new version is base + 1
struct publication {
    service_config service;
    std::uint64_t base = 0; // 0: the service does not exist yet
    std::string author;
    std::string digest; // SHA-256 of the content in hexadecimal; a repeat has the same
    bool removes = false; // the service ends
    wall_millis publishedAt = 0;

    bool operator==(const publication &) const = default;
};

// SHA-256 of the service and of removes, in hexadecimal; readers compute it and do not rely on the field
std::string contentDigest(const publication &content);

struct epoch_member {
    incarnation_id id;
    data_centre_name dataCentre;
    region_name region;
    std::string peerAddress; // IP:PORT

    bool operator==(const epoch_member &) const = default;
};

// accepted if and only if base equals the current epoch's number; the new number is base + 1
struct epoch_record {
    std::uint64_t base = 0;
    std::vector<epoch_member> members; // sorted by VM name

    bool operator==(const epoch_record &) const = default;
};

struct claim_key {
    account_name account;
    service_name service;
    std::string key; // the caller's Idempotency-Key

    auto operator<=>(const claim_key &) const = default; // NOLINT(modernize-use-nullptr)
};

// the first claim of a key wins; only its incarnation may dispatch
struct booking_claim {
    claim_key key;
    incarnation_id claimant;
    std::string requestDigest; // SHA-256 of method, path and body in hexadecimal
    wall_millis claimedAt = 0;

    bool operator==(const booking_claim &) const = default;
};

struct booking_outcome {
    claim_key key;
    outcome result = outcome::Unknown;
    int status = 0; // HTTP status of the answer
    std::string contentType;
    std::string body;

    bool operator==(const booking_outcome &) const = default;
};

// wanted state of an endpoint; the offset of its entry is the fencing number
struct order_record {
    endpoint_name target;
    model_name model;
    std::string adapter;
    std::string version;
    endpoint_role role = endpoint_role::Decode;

    bool operator==(const order_record &) const = default;
};

enum class audit_kind : std::uint8_t {
    PublicationAccepted,
    PublicationRefused,
    EpochChanged,
    DrainStarted,
    DrainFinished,
    OrderSent,
    OrphanFreed,
    VmLeaving,
};

std::string_view nameOf(audit_kind kind);

struct audit_event {
    audit_kind kind = audit_kind::EpochChanged;
    std::string actor; // an operator, or a VM
    std::string subject;
    std::string detail;
    wall_millis at = 0;

    bool operator==(const audit_event &) const = default;
};

// settles an append whose answer was lost: the first of the two records in the log decides
struct void_record {
    record_id target;

    bool operator==(const void_record &) const = default;
};

struct snapshot_chunk {
    log_offset covers = 0; // every entry below this offset is contained
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::string digest; // SHA-256 of the whole snapshot in hexadecimal
    std::string data;
    wall_millis claimHorizon = 0; // once the last chunk is applied, every reader forgets the claims made before this time

    bool operator==(const snapshot_chunk &) const = default;
};

using record_body = std::variant<publication, epoch_record, booking_claim, booking_outcome, order_record, audit_event, void_record, snapshot_chunk>;

struct log_record {
    record_id id;
    record_body body;

    bool operator==(const log_record &) const = default;
};

// one entry of the log as read
struct log_entry {
    log_offset offset = 0;
    std::string payload;

    bool operator==(const log_entry &) const = default;
};

// an append is larger than this only by mistake; readers refuse it
inline constexpr std::size_t maxBatchBytes = 8'000'000;

// one append: a CBOR array of records
std::string encodeBatch(const std::vector<log_record> &records);

// MalformedRecord on anything that encodeBatch does not write
absl::StatusOr<std::vector<log_record>> decodeBatch(std::string_view payload);

} // namespace plantainpoint
