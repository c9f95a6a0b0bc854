// inputs of the core: what the shell has received
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

// fields of a completion or chat completion request
struct completion_call {
    model_name model;
    std::string prompt; // of a chat: its messages joined
    std::int32_t promptTokens = 0; // estimated by the shell
    std::int32_t maxTokens = 0; // 0: the model's limit
    bool stream = false;
    bool chat = false;
};

struct header {
    std::string name;
    std::string value;
};

// a whole request of a caller; the key itself stays in the shell
struct caller_request {
    caller_id caller = 0;
    std::string method;
    std::string path; // with the query
    std::vector<header> headers; // end-to-end ones without Authorization
    std::optional<key_digest> key;
    std::string idempotencyKey; // empty: none
    std::string body;
    std::optional<completion_call> completion;
};

// the caller's connection ended or fell too far behind
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
    std::int32_t position = 0; // of this token in the answer, from 0
    std::string text;
};

struct decode_done {
    attempt_label attempt;
    std::string finishReason;
    std::int32_t tokens = 0; // of the whole answer, resumed parts included
};

struct plain_response {
    attempt_label attempt;
    int status = 0;
    std::vector<header> headers;
    std::string body;
};

// an attempt ended without its answer
struct attempt_failed {
    attempt_label attempt;
    std::string code; // error code of the endpoint, or "connect", "closed", "timeout", "malformed"
    bool mayHaveRun = true; // false: the endpoint said so, or no byte had left
};

struct load_report {
    endpoint_name endpoint;
    bool reachable = false; // false: the read failed and the rest is empty
    endpoint_role role = endpoint_role::Decode;
    std::vector<std::string> models;
    std::vector<attempt_label> running;
    std::vector<attempt_label> held; // KV results waiting for import
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
    std::uint64_t prefix = 0; // stableHash of the prompt's first k * prefixBytesPerKvBlock bytes, k = 1, 2, ...
    std::int32_t tokens = 0;
    bool stored = true; // false: evicted
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
    time_point sentAt{}; // when the read was sent
    log_offset first = 0; // oldest offset that the log keeps
    log_offset head = 0; // next offset to be written
    std::vector<log_entry> entries;
};

struct log_read_failed {
    time_point sentAt{};
    bool expired = false; // the offset lies before the oldest one kept
    log_offset first = 0; // set when expired
};

struct append_answer {
    std::uint64_t append = 0;
    std::optional<log_offset> offset; // empty: the answer was lost or the log refused
    bool mayBeCommitted = true; // false: the log refused before writing
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
