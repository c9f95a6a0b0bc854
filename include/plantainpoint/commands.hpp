// Outputs of the core: the commands that the shell carries out.
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

// Reports that a request was admitted. On keyed routes it is debited from its account's limit at this instant.
// On open routes it has no account and is admitted without a debit.
struct request_admitted {
    caller_id caller = 0;
    request_label label;
    account_name account;
};

// Reports that an open request continues under a label of the VM's new incarnation.
struct request_relabelled {
    caller_id caller = 0;
    request_label before;
    request_label label;
};

// Sends the caller the complete answer of a plain service or of a recorded booking.
struct answer_plain {
    caller_id caller = 0;
    request_label label;
    int status = 200;
    std::vector<header> headers;
    std::string body;
};

// Sends the caller a token. The shell starts the stream with the first token, or collects the tokens if the caller did not ask for a stream.
struct answer_token {
    caller_id caller = 0;
    std::int32_t position = 0;
    std::string text;
};

// Sends the terminal answer of a completion.
struct answer_done {
    caller_id caller = 0;
    request_label label;
    std::string finishReason;
    std::int32_t promptTokens = 0;
    std::int32_t outputTokens = 0;
};

// Sends the terminal answer of a failed request, in-band if the stream has begun.
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
    std::string kvSource; // Address of the prefill endpoint.
    std::string kvId;
    model_name model;
    std::string prompt;
    std::int32_t promptTokens = 0;
    std::int32_t maxTokens = 0;
    std::int32_t resumeFrom = 0;
    urgency kind = urgency::Interactive;
    duration timeout{}; // Longest time between two tokens.
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

// Tells an endpoint to free the engine memory of an attempt.
struct cancel_attempt {
    attempt_label attempt;
    endpoint_name endpoint;
    std::string address;
};

// Closes the connection of an attempt and removes the attempt from the shell. No further message of the attempt arrives.
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
    duration wait{}; // Longest time for which the log delays its answer until an entry arrives.
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
    Monitor,
    Book,
    Core,
};

constexpr std::string_view nameOf(log_component component)
{
    constexpr std::string_view names[]{"http", "log", "peer", "place", "share", "member", "watch", "book", "core"};
    return names[static_cast<std::size_t>(component)];
}

struct log_line {
    severity level = severity::Info;
    log_component from = log_component::Core;
    std::optional<request_label> label;
    std::string text;
    bool isRequired = false; // The line is written whatever the limit of lines per second.
};

// Reports that the graceful shutdown has finished and no request is open.
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

// Collects the commands until the shell takes them.
class outbox
{
public:
    template<class Command>
    void push(Command &&newCommand)
    {
        m_commands.emplace_back(std::forward<Command>(newCommand));
    }

    std::vector<command> take() { return std::exchange(m_commands, {}); }
    bool empty() const { return m_commands.empty(); }

private:
    std::vector<command> m_commands;
};

} // namespace plantainpoint
