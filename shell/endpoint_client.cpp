#include "endpoint_client.hpp"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "endpoint_check.hpp"
#include "endpoint_replies.hpp"
#include "engine_event.hpp"
#include "http_headers.hpp"
#include "sse_parser.hpp"

namespace plantainpoint {

namespace http = boost::beast::http;
using nlohmann::json;

namespace {

constexpr auto cancelTimeout = std::chrono::milliseconds{1000};
constexpr auto loadTimeout = std::chrono::milliseconds{450}; // Below the 500 ms between two reads of a load report.
constexpr auto cacheEventsTimeout = std::chrono::milliseconds{1000};
constexpr auto orderTimeout = std::chrono::milliseconds{2000};
// A process that ends may close its listener this long after its connections. The answer is held meanwhile.
constexpr auto answerWatchTime = std::chrono::milliseconds{40};
constexpr int checkConnections = 4; // Connections of one check. Some may be left unanswered while the endpoint ends.
constexpr std::size_t maxErrorBody = 4 * 1024UL; // Bytes.
constexpr std::uint64_t maxPrefillReply = 64 * 1024UL; // Bytes.
constexpr std::uint64_t maxPlainReply = 64 * 1024UL * 1024UL; // Bytes.
constexpr std::uint64_t unlimitedBody = std::numeric_limits<std::uint64_t>::max();

// Serializes a request body. Invalid UTF-8 is replaced: the text comes from a caller, and an exception would end the program.
std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

http_call post(std::string_view path, const json &body, duration timeout)
{
    return {.request = makeRequest(http::verb::post, path, dump(body)), .timeout = timeout};
}

http_call get(std::string_view path, duration timeout)
{
    return {.request = makeRequest(http::verb::get, path), .timeout = timeout};
}

} // namespace

// Receives the response to an attempt. It may be closed during a callback.
class attempt_receiver : public http_receiver
{
public:
    attempt_receiver(endpoint_client &client, attempt_label attempt)
        : m_client(client)
        , m_attempt(std::move(attempt))
    {
    }

    void close() { m_ended = true; }

protected:
    bool hasEnded() const { return m_ended; }
    const attempt_label &attempt() const { return m_attempt; }
    void emit(input message) { m_client.emit(std::move(message)); }

    // Removes the attempt from the client and emits its terminal message.
    void finish(input message)
    {
        m_ended = true;
        m_client.removeAttempt(m_attempt);
        m_client.emit(std::move(message));
    }
    void fail(std::string code, bool mayHaveRun) { finish(attempt_failed{m_attempt, std::move(code), mayHaveRun}); }
    void checkAnswerEnd(const check_endpoint &endpoint, std::function<void(endpoint_checked)> handler)
    {
        m_client.checkAnswerEnd(endpoint, std::move(handler));
    }

private:
    endpoint_client &m_client;
    attempt_label m_attempt;
    bool m_ended = false;
};

// Emits decoded tokens as they arrive.
class decode_receiver final : public attempt_receiver
{
public:
    using attempt_receiver::attempt_receiver;

    void onHead(int status, const http_fields & /*fields*/) override { m_status = status; }

    void onBody(std::string_view body) override
    {
        if (m_status != statusOk) {
            m_error.append(body.substr(0, maxErrorBody - std::min(maxErrorBody, m_error.size())));
            return;
        }
        const bool withinSizeLimit = m_events.feed(body, [this](std::string_view data) {
            if (!hasEnded()) {
                onEvent(parseEngineEvent(data));
            }
        });
        if (!withinSizeLimit && !hasEnded()) {
            fail("malformed", true);
        }
    }

    void onEnd(transfer_end end, bool requestMaybeSent) override
    {
        if (hasEnded()) {
            return;
        }
        if (end != transfer_end::Complete) {
            fail(std::string{codeOf(end)}, requestMaybeSent);
        } else if (m_status != statusOk) {
            auto refusal = parseEngineRefusal(m_status, m_error);
            fail(std::move(refusal.code), refusal.mayHaveRun);
        } else {
            fail("closed", true);
        }
    }

private:
    void onEvent(engine_event event)
    {
        if (auto *token = std::get_if<engine_token>(&event)) {
            emit(decoded_token{attempt(), token->position, std::move(token->text)});
        } else if (auto *done = std::get_if<engine_done>(&event)) {
            finish(decode_done{attempt(), std::move(done->finishReason), done->tokens});
        } else {
            fail(std::move(std::get<engine_error>(event).code), true);
        }
    }

    sse_parser m_events;
    std::string m_error; // Body of a response whose status is not 200.
    int m_status = 0;
};

// Collects the whole response, then passes it to the derived class.
class collecting_receiver : public attempt_receiver
{
public:
    using attempt_receiver::attempt_receiver;

    void onHead(int status, const http_fields &fields) override
    {
        m_status = status;
        onHeaders(status, fields);
    }
    void onBody(std::string_view data) override { m_body += data; }
    void onEnd(transfer_end end, bool requestMaybeSent) override
    {
        if (hasEnded()) {
            return;
        }
        if (end != transfer_end::Complete) {
            fail(std::string{codeOf(end)}, requestMaybeSent);
            return;
        }
        onResponse(m_status, std::move(m_body));
    }

protected:
    virtual void onHeaders(int /*status*/, const http_fields & /*fields*/) { }
    virtual void onResponse(int status, std::string &&body) = 0;

private:
    int m_status = 0;
    std::string m_body;
};

class prefill_receiver final : public collecting_receiver
{
public:
    using collecting_receiver::collecting_receiver;

private:
    void onResponse(int status, std::string &&body) override
    {
        if (status != statusOk) {
            auto refusal = parseEngineRefusal(status, body);
            fail(std::move(refusal.code), refusal.mayHaveRun);
            return;
        }
        auto done = parsePrefillReply(attempt(), body);
        if (done) {
            finish(std::move(*done));
        } else {
            fail("malformed", true);
        }
    }
};

// Passes an answer on as a whole. The system ends the connections of a process that has ended in the same way as the service ends an answer without a length or
// chunks, so that such an answer may be a part of one. It is held until a check shows that the service still listens.
class plain_receiver final : public collecting_receiver, public std::enable_shared_from_this<plain_receiver>
{
public:
    plain_receiver(endpoint_client &client, const dispatch_plain &command)
        : collecting_receiver(client, command.attempt)
        , m_endpoint{command.endpoint, command.address}
        , m_isHead(command.method == "HEAD")
    {
    }

private:
    void onHeaders(int status, const http_fields &fields) override
    {
        m_headers = forwardedResponseHeaders(fields);
        m_framing = framingOf(m_isHead, status, fields);
    }

    void onResponse(int status, std::string &&body) override
    {
        plain_response response{attempt(), status, std::move(m_headers), std::move(body)};
        constexpr int success = 2;
        constexpr int statusesPerClass = 100;
        if (m_framing != answer_framing::Close || status / statusesPerClass != success) {
            finish(std::move(response));
            return;
        }
        m_held = std::move(response);
        checkAnswerEnd(m_endpoint, [self = shared_from_this()](const endpoint_checked &checked) { self->onEndChecked(checked); });
    }

    void onEndChecked(const endpoint_checked &checked)
    {
        if (hasEnded()) {
            return;
        }
        if (checked.accepted && !checked.refused) {
            finish(std::move(m_held));
        } else {
            fail(std::string{codeOf(transfer_end::Closed)}, true);
        }
    }

    check_endpoint m_endpoint;
    bool m_isHead;
    answer_framing m_framing = answer_framing::Length;
    std::vector<header> m_headers;
    plain_response m_held; // Answer whose end is being checked.
};

endpoint_client::endpoint_client(boost::asio::io_context &io, http_client &http, input_sink sink)
    : m_io(io)
    , m_http(http)
    , m_sink(std::move(sink))
{
}

endpoint_client::~endpoint_client()
{
    for (auto &[attempt, openCall] : m_openAttempts) {
        // The check of an answer's end may still be running.
        if (const auto receiver = openCall.receiver.lock()) {
            receiver->close();
        }
        openCall.call.abort();
    }
}

void endpoint_client::startAttempt(const std::string &address, http_call call, const attempt_label &attempt, const std::shared_ptr<attempt_receiver> &receiver)
{
    // A second call with the same label replaces the first.
    run(close_attempt{attempt});
    auto running = m_http.start(address, std::move(call), receiver);
    m_openAttempts[attempt] = {std::move(running), receiver};
}

void endpoint_client::checkAnswerEnd(const check_endpoint &endpoint, std::function<void(endpoint_checked)> handler)
{
    constexpr auto connectTime = answerWatchTime / checkConnections;
    checkEndpoint(m_io, endpoint, std::move(handler), {.delay = {}, .watch = answerWatchTime, .connect = connectTime, .retry = connectTime / 2});
}

void endpoint_client::removeAttempt(const attempt_label &attempt)
{
    m_openAttempts.erase(attempt);
}

void endpoint_client::run(const close_attempt &command)
{
    auto openAttempt = m_openAttempts.extract(command.attempt);
    if (!openAttempt) {
        return;
    }
    if (const auto receiver = openAttempt.mapped().receiver.lock()) {
        receiver->close();
    }
    openAttempt.mapped().call.abort();
}

void endpoint_client::run(dispatch_prefill command)
{
    const json body{{"label", toString(command.attempt)},
                    {"model", command.model.value},
                    {"prompt", std::move(command.prompt)},
                    {"prompt_tokens", command.promptTokens},
                    {"priority", nameOf(command.kind)},
                    {"resume_from", command.resumeFrom}};
    auto call = post("/v1/prefill", body, command.timeout);
    call.maxBody = maxPrefillReply;
    startAttempt(command.address, std::move(call), command.attempt, std::make_shared<prefill_receiver>(*this, command.attempt));
}

void endpoint_client::run(dispatch_decode command)
{
    const json body{{"label", toString(command.attempt)},
                    {"model", command.model.value},
                    {"kv_source", command.kvSource},
                    {"kv_id", command.kvId},
                    {"prompt", std::move(command.prompt)},
                    {"prompt_tokens", command.promptTokens},
                    {"max_tokens", command.maxTokens},
                    {"resume_from", command.resumeFrom},
                    {"priority", nameOf(command.kind)}};
    auto call = post("/v1/decode", body, command.timeout);
    call.kind = timeout_kind::Inactivity;
    call.maxBody = unlimitedBody;
    startAttempt(command.address, std::move(call), command.attempt, std::make_shared<decode_receiver>(*this, command.attempt));
}

void endpoint_client::run(dispatch_plain command)
{
    auto receiver = std::make_shared<plain_receiver>(*this, command);
    auto request = makeRequest(http::verb::get, command.path, std::move(command.body));
    request.method_string(boost::beast::string_view{command.method.data(), command.method.size()});
    request.erase(http::field::content_type);
    for (const auto &field : command.headers) {
        request.insert(field.name, field.value);
    }
    request.set("X-Request-Id", toString(command.attempt));
    http_call call{.request = std::move(request), .timeout = command.timeout, .maxBody = maxPlainReply};
    startAttempt(command.address, std::move(call), command.attempt, receiver);
}

void endpoint_client::run(const cancel_attempt &command)
{
    const json body{{"label", toString(command.attempt)}};
    // The answer is ignored: the core repeats a cancel until the label has left the load report.
    m_http.start(command.address, post("/v1/cancel", body, cancelTimeout), collectResponse([](auto &&.../*ignored*/) {}));
}

void endpoint_client::run(const read_load &command)
{
    auto handler = [this, endpoint = command.endpoint](transfer_end end, bool, int status, const http_fields &, const std::string &body) {
        emit(end == transfer_end::Complete && status == statusOk ? parseLoadReport(endpoint, body) : load_report{.endpoint = endpoint});
    };
    m_http.start(command.address, get("/v1/load", loadTimeout), collectResponse(std::move(handler)));
}

void endpoint_client::run(const read_cache_events &command)
{
    auto handler = [this, endpoint = command.endpoint](transfer_end end, bool, int status, const http_fields &, const std::string &body) {
        if (end != transfer_end::Complete || status != statusOk) {
            return;
        }
        if (auto events = parseCacheEvents(endpoint, body)) {
            emit(std::move(*events));
        }
    };
    const auto path = "/v1/cache_events?from=" + std::to_string(command.from);
    m_http.start(command.address, get(path, cacheEventsTimeout), collectResponse(std::move(handler)));
}

void endpoint_client::run(const send_order &command)
{
    auto handler = [this, endpoint = command.endpoint, fencing = command.fencing](transfer_end end, bool, int status, auto &&.../*ignored*/) {
        emit(order_answer{endpoint, fencing, orderRefusal(end, status)});
    };
    const auto &order = command.order;
    const json body{
        {"fencing", command.fencing}, {"model", order.model.value}, {"adapter", order.adapter}, {"version", order.version}, {"role", nameOf(order.role)}};
    m_http.start(command.address, post("/v1/order", body, orderTimeout), collectResponse(std::move(handler)));
}

void endpoint_client::run(const read_endpoint_state &command)
{
    auto handler = [this, endpoint = command.endpoint](transfer_end end, bool, int status, const http_fields &, const std::string &body) {
        emit(end == transfer_end::Complete && status == statusOk ? parseEndpointState(endpoint, body) : endpoint_state_answer{.endpoint = endpoint});
    };
    m_http.start(command.address, get("/v1/state", orderTimeout), collectResponse(std::move(handler)));
}

} // namespace plantainpoint
