// Sends the dispatches of the relay core as HTTP calls. A dialect defines the endpoints' requests and responses.
#pragma once

#include <algorithm>
#include <charconv>
#include <concepts>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "http_client.hpp"
#include "http_headers.hpp"
#include "memory_budget.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

using relay_sink = std::function<void(relay_input)>;

// Properties of a response head other than its status.
struct reply_traits {
    bool genuine = false; // The response carries the endpoint's stamp and is unencoded.
    bool notRun = false;
    bool wrongEndpoint = false;
    std::optional<reported_load> load;
    std::optional<endpoint_statement> statement;
};

// clang-format off
template<class T>
concept endpoint_dialect = requires(const T dialect, const relay_dispatch &dispatch, const send_role_order &order, const http_fields &fields, const std::string &text) {
    { dialect.encode(dispatch) } -> std::same_as<http_request>;
    { dialect.belongs(fields, text) } -> std::same_as<bool>; // The response echoes the request's id, or no id at all.
    { dialect.traits(0, fields, text) } -> std::same_as<reply_traits>;
    { dialect.callerHeaders(fields) } -> std::same_as<std::vector<header>>;
    { dialect.prefillHandle(text) } -> std::same_as<std::optional<std::string>>;
    { dialect.encodeRelease(text) } -> std::same_as<http_request>;
    { dialect.encodeOrder(order) } -> std::same_as<http_request>;
    { dialect.orderRefused(0) } -> std::same_as<bool>;
};
// clang-format on

template<endpoint_dialect Dialect>
class relay_client
{
public:
    using send_gate = std::function<bool(attempt_number)>;
    // Gets the three digits of a status that is not that of an answer.
    using status_report = std::function<void(const endpoint_name &, const std::string &requestId, const std::string &status)>;

    // The HTTP client has to outlive this object, and so does everything that the functions refer to. The gate tells, when a connection is established,
    // whether the attempt is still to be sent.
    relay_client(
        http_client &http,
        Dialect dialect,
        relay_sink sink,
        send_gate maySend = [](attempt_number) { return true; },
        std::shared_ptr<memory_budget> memory = std::make_shared<memory_budget>(),
        status_report reportStatus = [](const endpoint_name &, const std::string &, const std::string &) {})
        : m_http(http)
        , m_dialect(std::move(dialect))
        , m_sink(std::move(sink))
        , m_maySend(std::move(maySend))
        , m_maxCollected(std::min(maxCollected, memory->limit() / collectedPart))
        , m_collectedShare(std::move(memory))
        , m_reportStatus(std::move(reportStatus))
    {
    }

    void run(const relay_dispatch &command);
    void run(const relay_abort &command);
    void run(const release_prefill &command);
    void run(const send_role_order &command);

    // Returns the bytes of answers that are being collected.
    std::size_t collected() const { return m_collected; }

private:
    class receiver;
    struct open_call {
        running_call call;
        std::weak_ptr<receiver> answer;
    };

    void breakOff(attempt_number attempt);
    void boundCollected();
    void countCollected(std::size_t added, std::size_t released)
    {
        m_collected = m_collected + added - released;
        m_collectedShare.charge(m_collected);
    }

    static constexpr auto releaseMargin = std::chrono::milliseconds{150}; // The core decides at the deadline. This timeout only frees the connection.
    static constexpr std::size_t maxPlainAnswer = 4 * 1024UL * 1024UL; // Bytes of an answer that is collected before it is passed on.
    static constexpr std::size_t maxPrefillAnswer = 64 * 1024UL; // Bytes. It holds the name of a result.
    // Bytes of all answers that are collected at the same time. Many endpoints may send without end.
    static constexpr std::size_t maxCollected = 16 * 1024UL * 1024UL;
    static constexpr std::size_t collectedPart = 3; // One part of so many of the memory budget may hold such answers.
    static constexpr std::uint64_t maxControlAnswer = 64 * 1024UL; // Bytes of an answer to an order or a release.
    static constexpr std::uint64_t maxStream = std::uint64_t{1} << 40U; // Bytes. The size of a stream is not known in advance.
    static constexpr auto orderTimeout = std::chrono::milliseconds{900};
    static constexpr auto releaseTimeout = std::chrono::milliseconds{500};

    http_client &m_http;
    Dialect m_dialect;
    relay_sink m_sink;
    send_gate m_maySend;
    std::unordered_map<attempt_number, open_call> m_openCalls;
    std::size_t m_maxCollected;
    std::size_t m_collected = 0; // Bytes of answers whose attempts are open.
    memory_share m_collectedShare;
    status_report m_reportStatus;
};

// Collects a whole answer, or forwards a stream as it arrives.
template<endpoint_dialect Dialect>
class relay_client<Dialect>::receiver final : public http_receiver
{
public:
    receiver(relay_client &client, const relay_dispatch &command)
        : m_client(client)
        , m_endpoint(command.endpoint)
        , m_id(command.payload->id)
        , m_kind(command.kind)
        , m_headOnly(command.payload->method == "HEAD")
        , m_streamRequested(command.streamed)
    {
        m_reply.attempt = command.attempt;
    }
    receiver(const receiver &) = delete;
    receiver &operator=(const receiver &) = delete;
    ~receiver() override { m_client.countCollected(0, m_collected); }

    // Frees what has been collected. The attempt is broken off.
    void drop()
    {
        m_client.countCollected(0, std::exchange(m_collected, 0));
        m_reply.body = {};
        m_tooLong = true;
    }

    attempt_number attempt() const { return m_reply.attempt; }
    std::size_t collected() const { return m_collected; }

    void onHead(int status, const http_fields &fields) override
    {
        const auto traits = m_client.m_dialect.traits(status, fields, m_id);
        m_reply.status = status;
        m_reply.headers = m_client.m_dialect.callerHeaders(fields);
        m_reply.genuine = traits.genuine;
        m_reply.notRun = traits.notRun;
        m_reply.wrongEndpoint = traits.wrongEndpoint;
        m_reply.load = traits.load;
        m_reply.statement = traits.statement;
        m_reply.framing = framingOf(m_headOnly, status, fields);
        m_expectedSize = m_reply.framing == answer_framing::Length ? lengthOf(fields) : 0;
        m_streaming = m_streamRequested && traits.genuine && status / 100 == 2;
        if (m_streaming) {
            m_client.m_sink(stream_head{m_reply.attempt, status, std::move(m_reply.headers), traits.load, m_reply.framing, traits.statement});
        }
    }

    void onBody(std::string_view chunk) override
    {
        if (m_streaming) {
            m_client.m_sink(stream_part{m_reply.attempt, std::string(chunk)});
        } else if (!m_tooLong && m_reply.body.size() + chunk.size() <= maxAnswer()) {
            if (m_reply.body.empty()) {
                m_reply.body.reserve(std::min(m_expectedSize, maxAnswer())); // Growing step by step would copy the answer several times.
            }
            m_reply.body += chunk;
            m_collected += chunk.size();
            m_client.countCollected(chunk.size(), 0);
            m_client.boundCollected();
        } else if (!std::exchange(m_tooLong, true)) {
            m_client.breakOff(m_reply.attempt);
        }
    }

    void onInvalidStatus(unsigned status) override { m_client.m_reportStatus(m_endpoint, m_id, statusText(status)); }

    void onEnd(transfer_end end, bool requestMaybeSent) override
    {
        m_client.m_openCalls.erase(m_reply.attempt);
        if (end != transfer_end::Complete) {
            m_client.m_sink(relay_attempt_ended{m_reply.attempt, outcomeOf(end, requestMaybeSent)});
        } else if (m_streaming) {
            m_client.m_sink(relay_attempt_ended{m_reply.attempt, reply_outcome::Complete});
        } else if (auto handle = prefillHandle()) {
            m_client.m_sink(prefill_reply{m_reply.attempt, std::move(*handle), m_reply.statement, m_reply.load});
        } else {
            m_client.m_sink(std::move(m_reply));
        }
    }

private:
    // Returns the three digits of a status line.
    static std::string statusText(unsigned status)
    {
        constexpr std::size_t digits = 3;
        auto text = std::to_string(status);
        return std::string(digits - std::min(digits, text.size()), '0') + text;
    }

    static std::size_t lengthOf(const http_fields &fields)
    {
        const auto value = fields[boost::beast::http::field::content_length];
        std::size_t length = 0;
        std::from_chars(value.data(), value.data() + value.size(), length);
        return length;
    }

    std::size_t maxAnswer() const { return m_kind == dispatch_kind::Prefill ? maxPrefillAnswer : maxPlainAnswer; }

    static reply_outcome outcomeOf(transfer_end end, bool requestMaybeSent)
    {
        if (end == transfer_end::ProxyFailed) {
            return reply_outcome::ProxyFailed;
        }
        // A request that cannot be written as HTTP tells nothing of the endpoint.
        if (end == transfer_end::Withheld || (end == transfer_end::Malformed && !requestMaybeSent)) {
            return reply_outcome::Withheld;
        }
        if (end == transfer_end::ConnectFailed || !requestMaybeSent) {
            return reply_outcome::NotSent;
        }
        return end == transfer_end::TimedOut ? reply_outcome::TimedOut : reply_outcome::Broken;
    }

    std::optional<std::string> prefillHandle() const
    {
        const bool prefilled = m_kind == dispatch_kind::Prefill && m_reply.status / 100 == 2;
        return prefilled ? m_client.m_dialect.prefillHandle(m_reply.body) : std::nullopt;
    }

    relay_client &m_client;
    std::size_t m_collected = 0; // Bytes.
    std::size_t m_expectedSize = 0; // Bytes of the body, or 0 if the head does not state them.
    endpoint_name m_endpoint;
    std::string m_id;
    dispatch_kind m_kind;
    relay_reply m_reply;
    bool m_headOnly = false;
    bool m_streamRequested = false;
    bool m_streaming = false;
    bool m_tooLong = false;
};

// Ends an attempt whose answer is too long to be one.
template<endpoint_dialect Dialect>
void relay_client<Dialect>::breakOff(attempt_number attempt)
{
    run(relay_abort{attempt});
    m_sink(relay_attempt_ended{attempt, reply_outcome::Broken});
}

// Ends the attempt with the longest answer while all of them together are too long.
template<endpoint_dialect Dialect>
void relay_client<Dialect>::boundCollected()
{
    while (m_collected > m_maxCollected) {
        std::shared_ptr<receiver> longest;
        for (const auto &[attempt, each] : m_openCalls) {
            auto answer = each.answer.lock();
            if (answer && (!longest || answer->collected() > longest->collected())) {
                longest = std::move(answer);
            }
        }
        if (!longest || longest->collected() == 0) {
            return;
        }
        longest->drop();
        breakOff(longest->attempt());
    }
}

template<endpoint_dialect Dialect>
void relay_client<Dialect>::run(const relay_dispatch &command)
{
    http_call call{.request = m_dialect.encode(command), .timeout = command.timeLeft + releaseMargin, .maxBody = maxStream};
    call.newConnection = command.newConnection;
    if (!command.proxy.empty()) {
        call.proxy = proxy_route{command.proxy, command.endpoint.value, command.endpointStartedAt, [this](std::vector<std::string> addresses) {
                                     m_sink(proxies_named{std::move(addresses)});
                                 }};
    }
    call.mayWrite = [this, attempt = command.attempt] { return m_maySend(attempt); };
    call.accepts = [this, id = command.payload->id](const http_fields &fields) { return m_dialect.belongs(fields, id); };
    auto answer = std::make_shared<receiver>(*this, command);
    auto running = m_http.start(command.address, std::move(call), answer);
    m_openCalls[command.attempt] = {std::move(running), answer};
}

template<endpoint_dialect Dialect>
void relay_client<Dialect>::run(const relay_abort &command)
{
    const auto it = m_openCalls.find(command.attempt);
    if (it != m_openCalls.end()) {
        it->second.call.abort();
        m_openCalls.erase(it);
    }
}

template<endpoint_dialect Dialect>
void relay_client<Dialect>::run(const send_role_order &command)
{
    auto handler = [this, endpoint = command.endpoint](transfer_end end, bool requestMaybeSent, int status, const http_fields &, const std::string &) {
        const bool answered = end == transfer_end::Complete;
        const bool refused = answered ? m_dialect.orderRefused(status) : !requestMaybeSent;
        m_sink(role_order_answered{endpoint, answered ? status : 0, refused});
    };
    http_call call{.request = m_dialect.encodeOrder(command), .timeout = orderTimeout, .maxBody = maxControlAnswer};
    m_http.start(command.address, std::move(call), collectResponse(std::move(handler)));
}

// Releases an unused prefill result. The result expires by itself soon after, so a lost release is not repeated.
template<endpoint_dialect Dialect>
void relay_client<Dialect>::run(const release_prefill &command)
{
    http_call call{.request = m_dialect.encodeRelease(command.source.handle), .timeout = releaseTimeout, .maxBody = maxControlAnswer};
    m_http.start(command.source.address, std::move(call), collectResponse([](auto &&.../*ignored*/) {}));
}

} // namespace plantainpoint
