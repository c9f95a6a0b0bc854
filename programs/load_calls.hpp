// Calls of the load generator, either through the router or directly to the endpoints.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "endpoint_replies.hpp"
#include "http_client.hpp"
#include "load_samples.hpp"
#include "sse_parser.hpp"

namespace plantainpoint::load {

namespace http = boost::beast::http;
using nlohmann::json;

constexpr auto callTimeout = std::chrono::seconds{60};

// Returns the type of a problem document, or a text made of the status if the body has none.
inline std::string problemType(int status, std::string_view body)
{
    const auto problem = json::parse(body.begin(), body.end(), nullptr, false);
    if (problem.is_object() && problem.contains("type") && problem["type"].is_string()) {
        return problem["type"].get<std::string>();
    }
    return "status_" + std::to_string(status);
}

// Receives one answer, plain or streamed, and adds its times to the results.
class answer_receiver final : public http_receiver
{
public:
    using ended_handler = std::function<void()>;

    answer_receiver(results &out, steady::time_point startedAt, bool stream, ended_handler ended)
        : m_out(out)
        , m_ended(std::move(ended))
        , m_startedAt(startedAt)
        , m_stream(stream)
    {
    }

    void onHead(int status, const http_fields & /*fields*/) override { m_status = status; }

    void onBody(std::string_view chunk) override
    {
        if (!m_stream || m_status != statusOk) {
            m_body += chunk;
            return;
        }
        m_events.feed(chunk, [this](std::string_view data) { onEvent(data); });
    }

    void onEnd(transfer_end end, bool /*requestMaybeSent*/) override
    {
        const auto now = steady::now();
        if (end != transfer_end::Complete) {
            ++m_out.failures[std::string{codeOf(end)}];
        } else if (m_status >= 300) {
            ++m_out.failures[problemType(m_status, m_body)];
        } else if (m_stream && !m_error.empty()) {
            ++m_out.failures["in_band " + problemType(m_status, m_error)];
        } else if (m_stream && !m_endMarkReceived) {
            ++m_out.failures["no_end_mark"];
        } else {
            ++m_out.finished;
            m_out.completeAnswer.add(now - m_startedAt);
            if (!m_stream) {
                m_out.firstToken.add(now - m_startedAt);
            }
        }
        if (m_ended) {
            m_ended();
        }
    }

private:
    void onEvent(std::string_view data)
    {
        if (data == "[DONE]" || data.starts_with(R"({"done":true)")) {
            m_endMarkReceived = true;
            return;
        }
        if (data.starts_with(R"({"error":)")) {
            const auto event = json::parse(data.begin(), data.end(), nullptr, false);
            m_error = event.is_object() && event["error"].is_object() ? event["error"].dump() : std::string{data};
            return;
        }
        // The last event of the router carries the finish reason and no token.
        if (data.find(R"("usage":)") != std::string_view::npos || data.find(R"("done":true)") != std::string_view::npos) {
            m_endMarkReceived = m_endMarkReceived || data.find(R"("done":true)") != std::string_view::npos;
            return;
        }
        const auto now = steady::now();
        if (!m_hasFirstToken) {
            m_hasFirstToken = true;
            m_out.firstToken.add(now - m_startedAt);
        } else {
            m_out.tokenInterval.add(now - m_lastTokenTime);
        }
        m_lastTokenTime = now;
        ++m_out.tokens;
    }

    results &m_out;
    ended_handler m_ended;
    steady::time_point m_startedAt;
    steady::time_point m_lastTokenTime;
    sse_parser m_events;
    std::string m_body;
    std::string m_error;
    int m_status = 0;
    bool m_stream;
    bool m_hasFirstToken = false;
    bool m_endMarkReceived = false;
};

struct request_spec {
    std::string kind = "completion"; // One of completion, lookup and booking.
    std::string key;
    std::string model;
    std::string path;
    int promptTokens = 0;
    int maxTokens = 0;
};

// Returns a prompt of about the requested number of tokens. It differs for every request number, so that no prefix cache serves it.
inline std::string makePrompt(const request_spec &spec, std::size_t number)
{
    constexpr std::size_t bytesPerToken = 4;
    std::string out = "request " + std::to_string(number) + ' ';
    out.resize(std::max(out.size(), static_cast<std::size_t>(spec.promptTokens) * bytesPerToken), 'p');
    return out;
}

// Sends one request through the router.
inline running_call callRouter(
    http_client &client, const std::string &address, const request_spec &spec, std::size_t number, results &out, answer_receiver::ended_handler ended = {})
{
    http_call call{.timeout = callTimeout, .kind = timeout_kind::Inactivity, .maxBody = std::numeric_limits<std::uint64_t>::max()};
    const bool stream = spec.kind == "completion";
    if (stream) {
        const json body{{"model", spec.model}, {"prompt", makePrompt(spec, number)}, {"max_tokens", spec.maxTokens}, {"stream", true}};
        call.request = makeRequest(http::verb::post, "/v1/completions", body.dump());
    } else if (spec.kind == "lookup") {
        call.request = makeRequest(http::verb::get, spec.path);
    } else {
        call.request = makeRequest(http::verb::post, spec.path, json{{"slot", "slot-" + std::to_string(number)}, {"number", number}}.dump());
        call.request.set("Idempotency-Key", "load-" + std::to_string(::getpid()) + '-' + std::to_string(number));
    }
    if (!spec.key.empty()) {
        call.request.set(http::field::authorization, "Bearer " + spec.key);
    }
    ++out.started;
    return client.start(address, std::move(call), std::make_shared<answer_receiver>(out, steady::now(), stream, std::move(ended)));
}

// Sends the same request without the router, either as prefill followed by decode or as a plain call.
inline void
callDirect(http_client &client, const std::string &firstAddress, const std::string &decodeAddress, const request_spec &spec, std::size_t number, results &out)
{
    const auto startedAt = steady::now();
    ++out.started;
    if (spec.kind != "completion") {
        auto request = makeRequest(http::verb::get, spec.path);
        client.start(firstAddress, {.request = std::move(request), .timeout = callTimeout}, std::make_shared<answer_receiver>(out, startedAt, false, nullptr));
        return;
    }
    const auto attemptLabel = "direct/1/" + std::to_string(number) + "/1";
    const auto prompt = makePrompt(spec, number);
    json body{{"label", attemptLabel},
              {"model", spec.model},
              {"prompt", prompt},
              {"prompt_tokens", prompt.size() / 4},
              {"priority", "interactive"},
              {"resume_from", 0}};
    auto decodeBody = body;
    decodeBody["kv_source"] = firstAddress;
    decodeBody["max_tokens"] = spec.maxTokens;
    const auto afterPrefill =
        [&client, &out, decodeAddress, startedAt, decodeBody](transfer_end end, bool, int status, const http_fields &, const std::string &replyBody) mutable {
            const auto prefillReply = json::parse(replyBody.begin(), replyBody.end(), nullptr, false);
            if (end != transfer_end::Complete || status != statusOk || !prefillReply.is_object()) {
                ++out.failures["prefill"];
                return;
            }
            decodeBody["kv_id"] = prefillReply.value("kv_id", "");
            http_call call{.request = makeRequest(http::verb::post, "/v1/decode", decodeBody.dump()), .timeout = callTimeout, .kind = timeout_kind::Inactivity};
            client.start(decodeAddress, std::move(call), std::make_shared<answer_receiver>(out, startedAt, true, nullptr));
        };
    client.start(firstAddress, {.request = makeRequest(http::verb::post, "/v1/prefill", body.dump()), .timeout = callTimeout}, collectResponse(afterPrefill));
}

} // namespace plantainpoint::load
