// Messages between VMs.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/config.hpp"
#include "plantainpoint/ids.hpp"
#include "plantainpoint/records.hpp"

namespace plantainpoint {

// What a VM knows of another VM, passed on in heartbeats.
struct peer_digest {
    incarnation_id id;
    data_centre_name dataCentre;
    std::uint64_t sequence = 0; // The sequence number of the newest heartbeat received.
    duration age{}; // The time since that heartbeat was received.
    std::uint64_t epoch = 0;
    bool leaving = false;
};

struct heartbeat {
    // The send time in nanoseconds of the sender's clock. A digest that returns it shows the sender the earliest time at which the heartbeat
    // with that digest can have been sent.
    std::uint64_t sequence = 0;
    data_centre_name dataCentre;
    region_name region;
    std::string peerAddress;
    log_offset applied = 0; // Every entry below this offset is applied.
    std::uint64_t epoch = 0;
    std::optional<duration> proofAge; // The age of the newest log head proof, empty if there is none.
    log_offset proofOffset = 0; // The offset that this proof reached.
    bool logReadable = false; // The sender's own reads of the log succeed.
    bool leaving = false;
    std::vector<peer_digest> heard;
};

// Log entries passed on by the VM that reads the log for its data centre.
struct log_relay {
    std::vector<log_entry> entries;
    log_offset head = 0;
    duration proofAge{};
};

struct log_fetch {
    log_offset from = 0;
};

struct snapshot_fetch {
};

struct snapshot_reply {
    log_offset covers = 0;
    std::string data;
    std::string digest;
};

// Requests capacity from the owner of an account.
struct share_request {
    account_name account;
    std::uint64_t epoch = 0;
    std::int64_t needed = 0; // Micro-tokens needed now.
    std::int64_t demand = 0; // Micro-tokens per second, as measured by the sender.
};

// Moves a share of a limit to a holder. The sender debits it before sending, and the receiver credits it once.
struct share_grant {
    account_name account;
    std::uint64_t epoch = 0;
    std::uint64_t transfer = 0; // Numbered from 1 per sender, receiver and epoch.
    std::int64_t rate = 0; // A fraction of basis.rate, which does not depend on the limit that the receiver has applied.
    std::int64_t capacity = 0; // A fraction of basis.burst.
    std::int64_t fill = 0; // Micro-tokens.
    rate_limit basis; // The full limit.
};

// Asks a holder to return tokens to the owner.
struct share_recall {
    account_name account;
    std::uint64_t epoch = 0;
    std::int64_t needed = 0;
};

// Returns a share of a limit to the owner.
struct share_return {
    account_name account;
    std::uint64_t epoch = 0;
    std::uint64_t transfer = 0;
    std::int64_t rate = 0;
    std::int64_t capacity = 0;
    std::int64_t fill = 0;
    rate_limit basis;
};

struct share_refusal {
    account_name account;
    std::uint64_t epoch = 0;
    duration retryAfter{};
};

struct holding {
    account_name account;
    std::int64_t rate = 0; // A fraction of basis.rate.
    std::int64_t capacity = 0; // A fraction of basis.burst.
    rate_limit basis; // The full limit.
};

// Reports what the sender holds of the accounts whose owner is now the receiver.
struct holding_report {
    std::uint64_t epoch = 0;
    std::vector<holding> holdings;
    bool complete = true; // The sender holds nothing of accounts that are not listed.
};

// The fill of a bucket share that a leaving VM gave up.
struct handed_over_share {
    account_name account;
    std::int64_t capacity = 0; // Units of the limit.
    std::int64_t fill = 0; // Micro-tokens.
};

// Sent by a VM that the epoch dropped, once it has applied the epoch: what it held of the accounts whose owner is now the receiver.
struct share_handover {
    std::uint64_t epoch = 0;
    std::vector<handed_over_share> bucketShares;
};

// Confirms a share_grant, a share_return, a holding_report or a share_handover, which the sender resends until they are confirmed.
struct share_ack {
    std::uint64_t epoch = 0;
    std::uint64_t transfer = 0; // 0 for the holding_report or share_handover of the epoch.
};

struct place_request {
    request_label label;
    std::uint32_t attempt = 0;
    account_name account;
    pool_id pool;
    std::int32_t promptTokens = 0;
    std::int32_t maxOutputTokens = 0;
    std::int32_t resumeFrom = 0; // The number of tokens already delivered.
    urgency kind = urgency::Interactive;
    duration waited{}; // The time since the request arrived at the sender.
    duration timeToDeadline{}; // The time left before the caller's deadline.
    std::vector<std::uint64_t> prefix; // The hashes of the prompt's leading KV blocks, in order.
    std::vector<endpoint_name> avoid; // Endpoints that failed this request.
};

struct placement {
    request_label label;
    std::uint32_t attempt = 0;
    endpoint_name prefill;
    endpoint_name decode;
};

struct placement_refusal {
    request_label label;
    std::uint32_t attempt = 0;
    failure reason = failure::Overloaded;
    duration retryAfter{};
};

enum class placement_stage : std::uint8_t {
    PrefillDone,
    DecodeStarted,
};

struct placement_progress {
    request_label label;
    std::uint32_t attempt = 0;
    pool_id pool;
    placement_stage stage = placement_stage::PrefillDone;
};

struct placement_done {
    request_label label;
    std::uint32_t attempt = 0;
    pool_id pool;
    std::int32_t outputTokens = 0;
    std::optional<endpoint_name> failed; // The endpoint that failed the attempt.
};

struct open_attempt {
    request_label label;
    std::uint32_t attempt = 0;
    account_name account;
    endpoint_name prefill;
    endpoint_name decode;
    placement_stage stage = placement_stage::PrefillDone;
    std::int32_t promptTokens = 0;
    std::int32_t maxOutputTokens = 0;
};

// The open attempts of the sender, for a scheduler that has just taken over the pool.
struct ledger_sync {
    pool_id pool;
    std::vector<open_attempt> attempts;
};

using peer_body = std::variant<heartbeat,
                               log_relay,
                               log_fetch,
                               snapshot_fetch,
                               snapshot_reply,
                               share_request,
                               share_grant,
                               share_recall,
                               share_return,
                               share_refusal,
                               holding_report,
                               place_request,
                               placement,
                               placement_refusal,
                               placement_progress,
                               placement_done,
                               ledger_sync,
                               share_ack,
                               share_handover>;

struct peer_message {
    incarnation_id from;
    std::uint64_t sequence = 0;
    peer_body body;
};

// Returns the JSON-RPC method of a message in snake case.
std::string_view methodOf(const peer_body &body);

// Returns the parameters of the JSON-RPC notification.
nlohmann::json toJson(const peer_message &message);

// Parses a message. Fails with MalformedMessage on an unknown method, a missing field or a wrong type.
absl::StatusOr<peer_message> peerFromJson(std::string_view method, const nlohmann::json &params);

} // namespace plantainpoint
