// Inputs of the core: the messages that the shell has received.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/config.hpp"
#include "plantainpoint/failure.hpp"
#include "plantainpoint/ids.hpp"
#include "plantainpoint/peer.hpp"
#include "plantainpoint/records.hpp"

namespace plantainpoint {

// Fields of a completion or chat completion request.
struct completion_call {
    model_name model;
    std::string prompt; // The joined messages in case of a chat.
    std::int32_t promptTokens = 0; // Estimate of the shell.
    std::int32_t maxTokens = 0; // 0 means the model's limit.
    bool stream = false;
    bool chat = false;
};

struct header {
    std::string name;
    std::string value;
};

// A complete request of a caller. Only the digest of the key reaches the core; the key itself stays in the shell.
struct caller_request {
    caller_id caller = 0;
    std::string method;
    std::string path; // The path with the query.
    std::vector<header> headers; // The end-to-end headers without Authorization.
    std::optional<key_digest> key;
    std::string idempotencyKey; // Empty if the request has none.
    std::string body;
    std::optional<completion_call> completion;
};

// Reports that the connection of a caller ended, or that the caller fell too far behind in reading its answer.
struct caller_disconnected {
    caller_id caller = 0;
};

struct prefill_done {
    attempt_label attempt;
    std::string kvId;
    std::int32_t cachedTokens = 0;
};

struct decoded_token {
    attempt_label attempt;
    std::int32_t position = 0; // Index of the token in the answer, counted from 0.
    std::string text;
};

struct decode_done {
    attempt_label attempt;
    std::string finishReason;
    std::int32_t tokens = 0; // Tokens of the whole answer, including those of earlier attempts that were resumed.
};

struct plain_response {
    attempt_label attempt;
    int status = 0;
    std::vector<header> headers;
    std::string body;
};

// Reports that an attempt ended without an answer.
struct attempt_failed {
    attempt_label attempt;
    std::string code; // Error code of the endpoint, or "connect", "closed", "timeout" or "malformed".
    bool mayHaveRun = true; // False if the endpoint reported that the attempt did not run, or if no byte was sent.
};

struct load_report {
    endpoint_name endpoint;
    bool reachable = false; // False if the read failed, in which case the other fields are empty.
    endpoint_role role = endpoint_role::Decode;
    std::vector<std::string> models;
    std::vector<attempt_label> running;
    std::vector<attempt_label> held; // Attempts whose KV result waits for its import.
    std::int32_t queued = 0;
    duration queueTime{};
    std::int32_t kvBlocksTotal = 0;
    std::int32_t kvBlocksUsed = 0;
    std::int32_t slotsTotal = 0;
    std::int32_t slotsUsed = 0;
    duration age{};
};

struct cache_event {
    std::uint64_t sequence = 0;
    std::uint64_t prefix = 0; // stableHash of the first k * prefixBytesPerKvBlock bytes of the prompt, for k = 1, 2, ...
    std::int32_t tokens = 0;
    bool stored = true; // False if the prefix was evicted.
};

struct cache_events {
    endpoint_name endpoint;
    std::uint64_t next = 0;
    std::vector<cache_event> events;
};

struct order_answer {
    endpoint_name endpoint;
    log_offset fencing = 0;
    std::optional<failure> refused;
};

struct endpoint_state_answer {
    endpoint_name endpoint;
    bool reachable = false;
    model_name model;
    std::string adapter;
    std::string version;
    endpoint_role role = endpoint_role::Decode;
    log_offset fencing = 0;
    bool loading = false;
};

struct log_read {
    time_point sentAt{}; // Time at which the read was sent.
    log_offset first = 0; // Oldest offset that the log keeps.
    log_offset head = 0; // Next offset to be written.
    std::vector<log_entry> entries;
};

struct log_read_failed {
    time_point sentAt{};
    bool expired = false; // True if the offset lies before the oldest one that the log keeps.
    log_offset first = 0; // Oldest offset that the log keeps, set if the read expired.
};

struct append_answer {
    std::uint64_t append = 0;
    std::optional<log_offset> offset; // Empty if the answer was lost or the log refused the append.
    bool mayBeCommitted = true; // False if the log refused the append before it wrote anything.
};

enum class vm_condition : std::uint8_t {
    Live,
    Leaving,
};

struct vm_entry {
    vm_name vm;
    std::string peerAddress;
    data_centre_name dataCentre;
    vm_condition condition = vm_condition::Live;
};

struct vm_list {
    std::vector<vm_entry> vms;
};

struct peer_received {
    peer_message message;
};

struct shutdown_requested {
};

using input = std::variant<caller_request,
                           caller_disconnected,
                           prefill_done,
                           decoded_token,
                           decode_done,
                           plain_response,
                           attempt_failed,
                           load_report,
                           cache_events,
                           order_answer,
                           endpoint_state_answer,
                           log_read,
                           log_read_failed,
                           append_answer,
                           vm_list,
                           peer_received,
                           shutdown_requested>;

} // namespace plantainpoint
