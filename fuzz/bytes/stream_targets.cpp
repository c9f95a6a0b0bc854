// Targets for event streams of endpoints.
#include <nlohmann/json.hpp>

#include "completion_api.hpp"
#include "engine_event.hpp"
#include "event_splitter.hpp"
#include "sse_parser.hpp"
#include "targets.hpp"

namespace plantainpoint::bytes {

namespace {

std::string splitEvents(const pieces &split)
{
    event_splitter splitter;
    std::string result;
    for (const auto piece : split) {
        splitter.feed(piece, [&result](std::string_view event, std::optional<std::uint64_t> id) {
            result += (id ? std::to_string(*id) : "-") + '|';
            result += event;
        });
    }
    return result + "|rest|" + std::string(splitter.rest()) + (splitter.isInsideEvent() ? "|inside" : "");
}

// The events and the rest must be the bytes of the stream.
std::string checkEventBytes(std::string_view bytes)
{
    event_splitter splitter;
    std::string joined;
    splitter.feed(bytes, [&joined](std::string_view event, std::optional<std::uint64_t>) { joined += event; });
    if (joined + std::string(splitter.rest()) != bytes) {
        return "events are not the bytes of their stream";
    }
    return compareSplits(bytes, splitEvents);
}

std::string textOf(const engine_event &event)
{
    if (const auto *const token = std::get_if<engine_token>(&event)) {
        return "token " + std::to_string(token->position) + ' ' + token->text;
    }
    if (const auto *const done = std::get_if<engine_done>(&event)) {
        return "done " + std::to_string(done->tokens) + ' ' + done->finishReason;
    }
    return "error " + std::get<engine_error>(event).code;
}

// A token must reach a caller as the same text.
std::string checkToken(const std::string &text)
{
    event_writer writer({.id = "cmpl-1", .model = "m"});
    std::string out;
    writer.appendToken(out, text);
    const auto event = nlohmann::json::parse(out.begin() + 6, out.end(), nullptr, false);
    return event.is_object() && event["choices"][0]["text"] == text ? "" : "a token reaches the caller as another text";
}

std::string checkEngineEvents(std::string_view bytes)
{
    std::vector<std::string> events;
    auto problem = compareSplits(bytes, [&events](const pieces &split) {
        sse_parser parser;
        events.clear();
        for (const auto piece : split) {
            // A parser with an event that is too large is not used on. Whether a read ends inside of it depends on the split.
            if (!parser.feed(piece, [&events](std::string_view data) { events.emplace_back(data); })) {
                return std::string("overlong");
            }
        }
        std::string result;
        for (const auto &event : events) {
            result += '|' + event;
        }
        return result;
    });
    if (bytes.size() > sse_parser::maxEventSize) {
        problem.clear();
    }
    for (const auto &data : events) {
        const auto event = parseEngineEvent(data);
        // The blank keeps the parser from taking its short path.
        if (textOf(parseEngineEvent(' ' + data)) != textOf(event)) {
            return "the two parsers of events differ on " + data;
        }
        if (const auto *const token = std::get_if<engine_token>(&event)) {
            problem += checkToken(token->text);
        }
    }
    return problem;
}

std::vector<std::string> eventByteSeeds()
{
    return {"id: 1\ndata: a\n\nid: 22\r\ndata: b\r\n\r\nx-note: 7\nid:3\ndata:\n\nid: 4\nda", ": comment\n\n"};
}

std::vector<std::string> engineEventSeeds()
{
    return {"data: {\"position\":0,\"text\":\"a\"}\n\n: note\r\ndata:{\"position\":1,\"text\":\"\\u00e9\\\"\"}\r\n\r\n",
            "event: x\ndata: {\"done\":true,\ndata: \"finish_reason\":\"stop\",\"tokens\":3}\n\n",
            "data: {\"error\":\"overloaded\"}\n\n"};
}

std::string checkCompletion(std::string_view bytes)
{
    for (const bool chat : {false, true}) {
        const auto call = parseCompletion(bytes, chat);
        if (!call.ok()) {
            if (call.status().message().empty()) {
                return "a completion was refused without a reason";
            }
        } else if (call->maxTokens < 0 || call->promptTokens < 1) {
            return "an accepted completion is out of range";
        } else if (auto problem = checkToken(call->prompt); !problem.empty()) {
            return problem;
        }
    }
    return {};
}

std::vector<std::string> completionSeeds()
{
    return {R"({"model":"m","prompt":"pears","max_tokens":8,"stream":true})",
            R"({"model":"m","messages":[{"role":"user","content":"a"},{"role":"user","content":[{"type":"text","text":"b"}]}],"max_completion_tokens":4})"};
}

} // namespace

std::vector<target> streamTargets()
{
    return {{"event_bytes", checkEventBytes, eventByteSeeds, 10'000},
            {"engine_events", checkEngineEvents, engineEventSeeds, 10'000},
            {"completion", checkCompletion, completionSeeds, 20'000}};
}

} // namespace plantainpoint::bytes
