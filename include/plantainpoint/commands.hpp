// outputs of the core: what the shell has to do
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "plantainpoint/messages.hpp"

namespace plantainpoint {

// the request was debited from its account's limit at this instant (keyed routes), or let through (open routes: no account)
struct request_admitted {
    caller_id caller = 0;
    request_label label;
    account_name account;
};

// an open request goes on under a label of the VM's new incarnation
struct request_relabelled {
    caller_id caller = 0;
    request_label before;
    request_label label;
};

// whole answer of a plain service or of a recorded booking
struct answer_plain {
    caller_id caller = 0;
    request_label label;
    int status = 200;
    std::vector<header> headers;
    std::string body;
};

// a token to the caller; the shell starts the stream with the first one, or collects when the caller did not ask for a stream
struct answer_token {
    caller_id caller = 0;
    std::int32_t position = 0;
    std::string text;
};

// terminal answer of a completion
struct answer_done {
    caller_id caller = 0;
    request_label label;
    std::string finishReason;
    std::int32_t promptTokens = 0;
    std::int32_t outputTokens = 0;
};

// terminal answer; in-band when the stream has begun
struct answer_failure {
    caller_id caller = 0;
    request_label label;
    failure reason = failure::Internal;
    outcome result = outcome::NotRun;
    std::string detail;
    std::optional<duration> retryAfter;
};

struct dispatch_prefill {
    attempt_label attempt;
    endpoint_name endpoint;
    std::string address;
    model_name model;
    std::string prompt;
    std::int32_t promptTokens = 0;
    std::int32_t resumeFrom = 0;
    urgency kind = urgency::Interactive;
    duration timeout{};
};

struct dispatch_decode {
    attempt_label attempt;
    endpoint_name endpoint;
    std::string address;
    std::string kvSource; // address of the prefill endpoint
    std::string kvId;
    model_name model;
    std::string prompt;
    std::int32_t promptTokens = 0;
    std::int32_t maxTokens = 0;
    std::int32_t resumeFrom = 0;
    urgency kind = urgency::Interactive;
    duration timeout{}; // longest silence between two tokens
};

struct dispatch_plain {
    attempt_label attempt;
    endpoint_name endpoint;
    std::string address;
    std::string method;
    std::string path;
    std::vector<header> headers;
    std::string body;
    duration timeout{};
};

// frees the engine memory of an attempt
struct cancel_attempt {
    attempt_label attempt;
    endpoint_name endpoint;
    std::string address;
};

// the shell forgets the attempt and closes its connection; no further message of it arrives
struct close_attempt {
    attempt_label attempt;
};

struct read_load {
    endpoint_name endpoint;
    std::string address;
};

struct read_cache_events {
    endpoint_name endpoint;
    std::string address;
    std::uint64_t from = 0;
};

struct send_order {
    endpoint_name endpoint;
    std::string address;
    log_offset fencing = 0;
    order_record order;
};

struct read_endpoint_state {
    endpoint_name endpoint;
    std::string address;
};

struct append_log {
    std::uint64_t append = 0;
    std::string payload;
};

struct read_log {
    log_offset from = 0;
    std::int32_t maxEntries = 1000;
    duration wait{}; // the log holds the answer back until an entry arrives
};

struct read_vm_list {
};

struct send_peer {
    vm_name to;
    std::string address;
    peer_message message;
};

enum class severity : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

enum class log_component : std::uint8_t {
    Http,
    Log,
    Peer,
    Place,
    Share,
    Member,
    Watch,
    Book,
    Core,
};

constexpr std::string_view nameOf(log_component value)
{
    constexpr std::string_view names[]{"http", "log", "peer", "place", "share", "member", "watch", "book", "core"};
    return names[static_cast<std::size_t>(value)];
}

struct log_line {
    severity level = severity::Info;
    log_component from = log_component::Core;
    std::optional<request_label> label;
    std::string text;
};

// graceful shutdown has finished: nothing is open any more
struct stopped {
};

using command = std::variant<request_admitted,
                             request_relabelled,
                             answer_plain,
                             answer_token,
                             answer_done,
                             answer_failure,
                             dispatch_prefill,
                             dispatch_decode,
                             dispatch_plain,
                             cancel_attempt,
                             close_attempt,
                             read_load,
                             read_cache_events,
                             send_order,
                             read_endpoint_state,
                             append_log,
                             read_log,
                             read_vm_list,
                             send_peer,
                             log_line,
                             stopped>;

// collects the commands of one tick
class outbox
{
public:
    template<class Command>
    void push(Command &&value)
    {
        m_commands.emplace_back(std::forward<Command>(value));
    }

    std::vector<command> take() { return std::exchange(m_commands, {}); }
    bool empty() const { return m_commands.empty(); }

private:
    std::vector<command> m_commands;
};

} // namespace plantainpoint
