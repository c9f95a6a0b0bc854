// Target for the requests of callers: a session over a transport that delivers bytes as the test cuts them, and the requests that reach endpoints.
#include <sstream>

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/write.hpp>

#include "caller_session.hpp"
#include "http_dialect.hpp"
#include "targets.hpp"

namespace plantainpoint::bytes {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

class fake_session final : public caller_session
{
public:
    fake_session(session_host &host, asio::io_context &io)
        : caller_session(host)
        , m_io(io)
    {
    }

    std::size_t pendingInput() const override { return 0; }
    bool canWrite() override { return false; }
    // Delivers the bytes while the session reads.
    void deliver(std::string_view bytes)
    {
        while (!bytes.empty() && m_reading) {
            const auto size = std::min(bytes.size(), m_buffer.size());
            std::copy_n(bytes.data(), size, static_cast<char *>(m_buffer.data()));
            bytes.remove_prefix(size);
            m_reading = false;
            onRead({}, size);
            m_io.restart();
            m_io.poll();
        }
    }
    void endInput()
    {
        if (std::exchange(m_reading, false)) {
            onRead(asio::error::eof, 0);
        }
        m_io.restart();
        m_io.poll();
    }
    const std::string &output() const { return m_output; }

private:
    asio::any_io_executor executor() override { return m_io.get_executor(); }
    void handshake() override { ready(); }
    void read(asio::mutable_buffer buffer) override
    {
        m_buffer = buffer;
        m_reading = true;
    }
    void write(asio::const_buffer bytes) override
    {
        m_output.append(static_cast<const char *>(bytes.data()), bytes.size());
        asio::post(m_io, [this, self = shared_from_this(), size = bytes.size()] { onWritten({}, size); });
    }
    void endOutput() override { m_output += "|end"; }
    void cancelRead() override
    {
        if (std::exchange(m_reading, false)) {
            asio::post(m_io, [this, self = shared_from_this()] { onRead(asio::error::operation_aborted, 0); });
        }
    }
    void closeSocket() override { m_reading = false; }
    void setResetOnClose(bool /*reset*/) override { }

    asio::io_context &m_io;
    asio::mutable_buffer m_buffer;
    std::string m_output;
    bool m_reading = false;
};

// Answers every request at once, and records it as text.
class fake_host final : public session_host
{
public:
    fake_host(asio::io_context &io, request_handling handling)
        : m_io(io)
        , m_handling(handling)
    {
        m_limits.headerSize = 2048;
        m_limits.bodySize = 8192;
    }

    const server_limits &limits() const override { return m_limits; }
    request_handling handling() const override { return m_handling; }
    bool countConnection(const key_digest & /*key*/) override { return true; }
    void uncountConnection(const key_digest & /*key*/) override { }
    caller_id registerCaller(caller_session &session) override
    {
        m_session = &session;
        return ++m_caller;
    }
    void submit(caller_request request) override
    {
        requests += request.method + ' ' + request.path + (request.key ? " keyed " : " ") + request.idempotencyKey + '\n';
        for (const auto &field : request.headers) {
            requests += field.name + ": " + field.value + '\n';
        }
        requests += request.body + '\n';
        if (m_handling == request_handling::Opaque) {
            problem += checkForwarded(std::move(request));
        }
        asio::post(m_io, [this, caller = m_caller, session = m_session->shared_from_this()] {
            if (m_openCaller == caller) {
                session->writePlainAnswer({.caller = caller, .headers = {{"X-A", "b"}}, .body = "answer"});
            }
        });
        m_openCaller = m_caller;
    }
    void onAnswered(caller_id /*caller*/, int status) override
    {
        answers += std::to_string(status) + ' ';
        m_openCaller = 0;
    }
    void onCallerDisconnected(caller_id /*caller*/) override { m_openCaller = 0; }
    void countSlowCaller() override { }
    const std::shared_ptr<memory_budget> &memory() const override { return m_memory; }
    void waitForMemory(caller_session & /*session*/) override { problem += "a body waits for memory without a bound"; }
    void onBytesHeld() override { }
    void countToken() override { }
    void addFirstTokenTime(duration /*time*/) override { }
    void addPlainAnswerTime(duration /*time*/) override { }
    void onClosed(caller_session & /*session*/, close_reason /*reason*/, const unfinished_work & /*work*/) override { }
    bool isClosing() const override { return false; }
    bool closesAtRest() const override { return false; }

    std::string requests;
    std::string answers;
    std::string problem;

private:
    // A request that is passed on must be one request with the same method, path and body.
    static std::string checkForwarded(caller_request request)
    {
        const auto method = request.method;
        const auto path = request.path;
        const auto body = request.body;
        relay_dispatch dispatch{.attempt = 1, .endpoint = {"i-1"}, .address = "127.0.0.1:1"};
        dispatch.payload = platform::decodeRequest(request).payload;
        auto message = platform::worker_dialect{}.encode(dispatch);
        message.prepare_payload();
        std::ostringstream text;
        text << message;
        const auto bytes = text.str();
        http::request_parser<http::string_body> parser;
        parser.eager(true);
        parser.header_limit(64 * 1024);
        boost::beast::error_code error;
        const auto size = parser.put(asio::buffer(bytes), error);
        if (error || !parser.is_done() || size != bytes.size()) {
            return "the endpoint gets bytes that are not one request: " + error.message() + '\n' + bytes;
        }
        const auto &received = parser.get();
        const bool same = received.method_string() == boost::beast::string_view(method) && received.target() == boost::beast::string_view(path);
        return same && received.body() == body ? "" : "the endpoint gets another request\n" + bytes;
    }

    std::shared_ptr<memory_budget> m_memory = std::make_shared<memory_budget>();
    asio::io_context &m_io;
    request_handling m_handling;
    server_limits m_limits;
    caller_session *m_session = nullptr;
    caller_id m_caller = 0;
    caller_id m_openCaller = 0;
};

// The first byte selects whether the bodies are parsed.
std::string checkCaller(std::string_view bytes)
{
    if (bytes.empty()) {
        return {};
    }
    const auto handling = bytes.front() % 2 == 0 ? request_handling::Opaque : request_handling::Completion;
    std::string problem;
    const auto difference = compareSplits(bytes.substr(1), [&](const pieces &split) {
        asio::io_context io;
        fake_host host(io, handling);
        const auto session = std::make_shared<fake_session>(host, io);
        session->start();
        for (const auto piece : split) {
            session->deliver(piece);
        }
        // The header of a malformed request may be refused before or after its end, which therefore arrives in any case.
        session->deliver("\r\n\r\n");
        session->endInput();
        problem += host.problem;
        // Whether the caller is told to send its body depends on whether the body arrives with the header.
        return host.requests + "|answers " + host.answers + '|' + boost::algorithm::replace_all_copy(session->output(), "HTTP/1.1 100 Continue\r\n\r\n", "");
    });
    return problem + difference;
}

std::vector<std::string> callerSeeds()
{
    const std::string head = " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: 9c41\r\nAuthorization: Bearer k-acme\r\n";
    const std::string plain = "GET /look/1" + head + "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n\r\n";
    const std::string length = "POST /book/1?a=b" + head + "X-Token-Count: 1460,80\r\nContent-Length: 5\r\n\r\nhello";
    const std::string chunks =
        "POST /book/2" + head + "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n5;x=y\r\nhello\r\n3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n";
    const std::string completion = R"({"model":"m","prompt":"pears","max_tokens":8})";
    const auto call = "POST /v1/completions" + head + "Content-Length: " + std::to_string(completion.size()) + "\r\n\r\n" + completion;
    return {'\0' + plain, '\0' + length, '\0' + chunks, '\0' + plain + length + chunks + plain, '\1' + call + plain, '\0' + ("HEAD /look/1" + head + "\r\n")};
}

} // namespace

std::vector<target> callerTargets()
{
    return {{"caller", checkCaller, callerSeeds, 3'000}};
}

} // namespace plantainpoint::bytes
