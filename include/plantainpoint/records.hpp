// Records of the platform's log and their CBOR encoding.
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

// Milliseconds since 1970 by the writer's clock, which may be wrong. Readers display it and derive the expiry of claims from it, and nothing else.
using wall_millis = std::int64_t;

// Replaces or removes a service. A publication is accepted if and only if base equals the service's current version. The new version is base + 1.
struct publication {
    service_config service;
    std::uint64_t base = 0; // Version that the publication replaces, 0 if the service does not exist yet.
    std::string author;
    std::string digest; // SHA-256 of the content in hexadecimal. A repeated publication has the same digest.
    bool removes = false; // The publication removes the service.
    wall_millis publishedAt = 0;

    bool operator==(const publication &) const = default;
};

// Returns the SHA-256 of the service and of removes in hexadecimal. Readers compute it and do not rely on the field digest.
std::string contentDigest(const publication &content);

struct epoch_member {
    incarnation_id id;
    data_centre_name dataCentre;
    region_name region;
    std::string peerAddress; // Address for messages between VMs, as IP:PORT.

    bool operator==(const epoch_member &) const = default;
};

// Starts a new epoch. The record is accepted if and only if base equals the current epoch's number. The new number is base + 1.
struct epoch_record {
    std::uint64_t base = 0;
    std::vector<epoch_member> members; // Sorted by VM name.

    bool operator==(const epoch_record &) const = default;
};

struct claim_key {
    account_name account;
    service_name service;
    std::string key; // Value of the caller's Idempotency-Key header.

    auto operator<=>(const claim_key &) const = default; // NOLINT(modernize-use-nullptr)
};

// Claims an idempotency key for one incarnation. The first claim of a key wins, and only its claimant may dispatch the request.
struct booking_claim {
    claim_key key;
    incarnation_id claimant;
    std::string requestDigest; // SHA-256 of the method, path and body in hexadecimal.
    wall_millis claimedAt = 0;

    bool operator==(const booking_claim &) const = default;
};

struct booking_outcome {
    claim_key key;
    outcome result = outcome::Unknown;
    int status = 0; // HTTP status of the answer.
    std::string contentType;
    std::string body;

    bool operator==(const booking_outcome &) const = default;
};

// Desired role and model of an endpoint. The offset of the log entry is the order's fencing number.
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
    std::string actor; // Name of an operator or a VM.
    std::string subject;
    std::string detail;
    wall_millis at = 0;

    bool operator==(const audit_event &) const = default;
};

// Voids the target, a record whose append is in doubt because its answer was lost. Whichever of the two records comes first in the log takes effect.
struct void_record {
    record_id target;

    bool operator==(const void_record &) const = default;
};

struct snapshot_chunk {
    log_offset covers = 0; // The snapshot contains the effect of every entry below this offset.
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::string digest; // SHA-256 of the whole snapshot in hexadecimal.
    std::string data;
    wall_millis claimHorizon = 0; // Every reader removes the claims made before this time when it applies the last chunk.

    bool operator==(const snapshot_chunk &) const = default;
};

using record_body = std::variant<publication, epoch_record, booking_claim, booking_outcome, order_record, audit_event, void_record, snapshot_chunk>;

struct log_record {
    record_id id;
    record_body body;

    bool operator==(const log_record &) const = default;
};

// An entry of the log as it was read.
struct log_entry {
    log_offset offset = 0;
    std::string payload;

    bool operator==(const log_entry &) const = default;
};

// Largest size of an append. A larger one can only be a mistake, and readers refuse it.
inline constexpr std::size_t maxBatchBytes = 8'000'000;

// Encodes the records of one append as a CBOR array.
std::string encodeBatch(const std::vector<log_record> &records);

// Decodes the records of one append. Returns MalformedRecord for bytes that encodeBatch does not write.
absl::StatusOr<std::vector<log_record>> decodeBatch(std::string_view payload);

} // namespace plantainpoint
