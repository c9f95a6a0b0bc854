#include "completion_api.hpp"

#include <algorithm>
#include <limits>

#include <nlohmann/json.hpp>

#include "json_text.hpp"

namespace plantainpoint {

using nlohmann::json;

namespace {

// Used for estimates only, as engines count exactly. An English token has about four bytes.
constexpr std::size_t bytesPerToken = 4;

absl::Status malformedRequest(std::string_view detail)
{
    return makeStatus(failure::MalformedRequest, detail);
}

std::int32_t estimateTokens(std::string_view prompt)
{
    const auto tokens = std::max<std::size_t>((prompt.size() + bytesPerToken - 1) / bytesPerToken, 1);
    return static_cast<std::int32_t>(std::min<std::size_t>(tokens, std::numeric_limits<std::int32_t>::max()));
}

// Returns the content of a message, which is a string or a list of text parts, or nullopt if it is neither.
std::optional<std::string> contentOf(const json &message)
{
    const auto content = message.find("content");
    if (content == message.end()) {
        return std::nullopt;
    }
    if (content->is_string()) {
        return content->get<std::string>();
    }
    if (!content->is_array()) {
        return std::nullopt;
    }
    std::string text;
    for (const auto &part : *content) {
        if (!part.is_object() || !part.contains("text") || !part["text"].is_string()) {
            return std::nullopt;
        }
        text += part["text"].get_ref<const std::string &>();
    }
    return text;
}

absl::StatusOr<std::string> joinMessages(const json &body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return malformedRequest("messages: must be a non-empty list");
    }
    std::string prompt;
    for (const auto &message : *messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
            return malformedRequest("messages: every message must be an object with a string field role");
        }
        const auto content = contentOf(message);
        if (!content) {
            return malformedRequest("messages: the content must be a string or a list of text parts");
        }
        prompt += message["role"].get_ref<const std::string &>() + ": " + *content + '\n';
    }
    return prompt;
}

absl::StatusOr<std::string> readPrompt(const json &body, bool chat)
{
    if (chat) {
        return joinMessages(body);
    }
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string()) {
        return malformedRequest("prompt: must be a string");
    }
    return prompt->get<std::string>();
}

// Returns the limit on output tokens, or 0 if the request sets none.
absl::StatusOr<std::int32_t> readMaxTokens(const json &body)
{
    for (const auto *const name : {"max_completion_tokens", "max_tokens"}) {
        const auto limit = body.find(name);
        if (limit == body.end() || limit->is_null()) {
            continue;
        }
        if (!limit->is_number_unsigned() || *limit == 0 || *limit > std::numeric_limits<std::int32_t>::max()) {
            return malformedRequest(std::string{name} + ": must be a positive whole number");
        }
        return limit->get<std::int32_t>();
    }
    return 0;
}

void appendField(std::string &out, std::string_view name, std::string_view value)
{
    out += '"';
    out += name;
    out += R"(":")";
    appendJsonEscaped(out, value);
    out += '"';
}

std::string answerPrefix(const answer_identity &identity, std::string_view object)
{
    std::string out = "{";
    appendField(out, "id", identity.id);
    out += ',';
    appendField(out, "object", object);
    out += R"(,"created":)" + std::to_string(identity.created) + ',';
    appendField(out, "model", identity.model);
    out += R"(,"choices":[{"index":0,)";
    return out;
}

void appendUsage(std::string &out, const answer_done &done)
{
    out += R"(,"usage":{"prompt_tokens":)" + std::to_string(done.promptTokens);
    out += R"(,"completion_tokens":)" + std::to_string(done.outputTokens);
    out += R"(,"total_tokens":)" + std::to_string(done.promptTokens + done.outputTokens) + '}';
}

} // namespace

absl::StatusOr<completion_call> parseCompletion(std::string_view body, bool chat)
{
    const auto request = json::parse(body.begin(), body.end(), nullptr, false);
    if (!request.is_object()) {
        return malformedRequest("the body must be a JSON object");
    }
    completion_call call{.chat = chat};
    const auto model = request.find("model");
    if (model == request.end() || !model->is_string()) {
        return malformedRequest("model: must be a string");
    }
    call.model.value = model->get<std::string>();
    const auto stream = request.find("stream");
    if (stream != request.end() && !stream->is_boolean()) {
        return malformedRequest("stream: must be true or false");
    }
    call.stream = stream != request.end() && stream->get<bool>();
    auto prompt = readPrompt(request, chat);
    if (!prompt.ok()) {
        return prompt.status();
    }
    call.prompt = std::move(*prompt);
    call.promptTokens = estimateTokens(call.prompt);
    const auto maxTokens = readMaxTokens(request);
    if (!maxTokens.ok()) {
        return maxTokens.status();
    }
    call.maxTokens = *maxTokens;
    return call;
}

event_writer::event_writer(const answer_identity &identity)
    : m_prefix("data: " + answerPrefix(identity, identity.chat ? "chat.completion.chunk" : "text_completion"))
    , m_chat(identity.chat)
{
}

void event_writer::appendToken(std::string &out, std::string_view text)
{
    out += m_prefix;
    if (!m_chat) {
        out += R"("text":")";
    } else if (m_firstToken) {
        out += R"("delta":{"role":"assistant","content":")";
    } else {
        out += R"("delta":{"content":")";
    }
    m_firstToken = false;
    appendJsonEscaped(out, text);
    out += m_chat ? "\"},\"finish_reason\":null}]}\n\n" : "\",\"finish_reason\":null}]}\n\n";
}

void event_writer::appendDone(std::string &out, const answer_done &done) const
{
    out += m_prefix;
    out += m_chat ? R"("delta":{},)" : R"("text":"",)";
    appendField(out, "finish_reason", done.finishReason);
    out += "}]";
    appendUsage(out, done);
    out += "}\n\ndata: [DONE]\n\n";
}

void event_writer::appendProblem(std::string &out, std::string_view problem)
{
    out += R"(data: {"error":)";
    out += problem;
    out += "}\n\n";
}

std::string completionBody(const answer_identity &identity, const answer_done &done, std::string_view text)
{
    std::string out = answerPrefix(identity, identity.chat ? "chat.completion" : "text_completion");
    out += identity.chat ? R"("message":{"role":"assistant","content":")" : R"("text":")";
    appendJsonEscaped(out, text);
    out += identity.chat ? "\"}," : "\",";
    appendField(out, "finish_reason", done.finishReason);
    out += "}]";
    appendUsage(out, done);
    out += '}';
    return out;
}

std::string problemBody(failure reason, outcome result, std::string_view detail, const std::optional<request_label> &label)
{
    std::string title{nameOf(reason)};
    std::replace(title.begin(), title.end(), '_', ' ');
    json body{{"type", "urn:plantainpoint:" + std::string{nameOf(reason)}},
              {"title", std::move(title)},
              {"status", entryOf(reason).httpStatus},
              {"detail", detail},
              {"outcome", nameOf(result)}};
    if (label) {
        body["request"] = toString(*label);
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace plantainpoint
