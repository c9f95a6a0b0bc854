// Reads and writes the bodies of the completion API: requests, answers, stream events and problems.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "plantainpoint/commands.hpp"
#include "plantainpoint/failure.hpp"
#include "plantainpoint/messages.hpp"

namespace plantainpoint {

inline constexpr std::string_view completionPath = "/v1/completions";
inline constexpr std::string_view chatCompletionPath = "/v1/chat/completions";

// Parses the body of a completion request. The message of a MalformedRequest names the field.
absl::StatusOr<completion_call> parseCompletion(std::string_view body, bool chat);

// Fields that identify the answer to one completion request.
struct answer_identity {
    std::string id;
    std::string model;
    std::int64_t created = 0; // Seconds since 1970.
    bool chat = false;
};

// Writes the server-sent events of one answer.
class event_writer
{
public:
    explicit event_writer(const answer_identity &identity);

    void appendToken(std::string &out, std::string_view text);
    // Appends the event with the finish reason, and the end mark.
    void appendDone(std::string &out, const answer_done &done) const;
    static void appendProblem(std::string &out, std::string_view problem);

private:
    std::string m_prefix; // Start of every event, up to the choices.
    bool m_chat;
    bool m_firstToken = true;
};

// Returns the body of an answer that is not streamed.
std::string completionBody(const answer_identity &identity, const answer_done &done, std::string_view text);

// Returns a body of type application/problem+json. The label is left out if the request was given none.
std::string problemBody(failure reason, outcome result, std::string_view detail, const std::optional<request_label> &label);

} // namespace plantainpoint
