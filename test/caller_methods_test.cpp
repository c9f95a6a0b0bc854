// Tests that requests with odd methods, targets and headers get a typed answer, and that none of them ends the process.
#include <boost/test/unit_test.hpp>

#include "http_dialect.hpp"
#include "http_server.hpp"
#include "plantainpoint/clock.hpp"
#include "relay_client.hpp"
#include "shell_support.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

// Forwards each request of a caller to one endpoint.
struct forwarding_fixture {
    forwarding_fixture()
        : acceptor(io, {boost::asio::ip::address_v4::loopback(), 0})
        , http(io)
        , client(http, {}, [this](relay_input message) { outcomes.push_back(std::move(message)); })
    {
        listen(4096);
    }

    void listen(std::size_t headerSize)
    {
        server_limits limits;
        limits.headerSize = headerSize;
        limits.bodySize = 4096;
        limits.idleTime = std::chrono::milliseconds{5000};
        limits.connectionsPerAccount = 1000;
        server = std::make_unique<http_server>(
            io, http_server_settings{limits, {}, request_handling::Opaque}, [this](input message) { onMessage(std::move(message)); }, quietLogger(), metrics);
        BOOST_REQUIRE(server->listen("127.0.0.1:0").ok());
    }

    void onMessage(input message)
    {
        if (auto *request = std::get_if<caller_request>(&message)) {
            ++forwarded;
            const auto decoded = platform::decodeRequest(*request);
            client.run(relay_dispatch{.attempt = forwarded,
                                      .endpoint = endpoint_name{"i-1"},
                                      .address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
                                      .payload = decoded.payload,
                                      .timeLeft = std::chrono::seconds{2}});
        }
    }

    // Sends the bytes over a new connection. Returns the answer when it holds the text or the connection ends.
    std::string answerTo(const std::string &bytes, std::string_view text)
    {
        raw_connection caller(io, server->port());
        caller.send(bytes);
        runUntil(io, [&] { return caller.has(text) || caller.ended(); });
        return caller.received();
    }

    // Sends the bytes and returns what reaches the endpoint.
    std::string forwardedBytes(const std::string &bytes, std::string_view last)
    {
        raw_connection caller(io, server->port());
        caller.send(bytes);
        acceptor.non_blocking(true);
        std::unique_ptr<raw_connection> endpoint;
        runUntil(io, [&] {
            boost::system::error_code error;
            tcp::socket socket(io);
            acceptor.accept(socket, error);
            if (!error) {
                endpoint = std::make_unique<raw_connection>(std::move(socket));
            }
            return endpoint != nullptr;
        });
        BOOST_REQUIRE(endpoint != nullptr);
        runUntil(
            io, [&] { return endpoint->has(last); }, std::chrono::milliseconds{1000});
        return endpoint->received();
    }

    static bool has(const std::string &text, std::string_view part) { return text.find(part) != std::string::npos; }

    boost::asio::io_context io;
    shell_metrics metrics;
    tcp::acceptor acceptor;
    http_client http;
    std::vector<relay_input> outcomes;
    relay_client<platform::worker_dialect> client;
    std::uint64_t forwarded = 0;
    std::unique_ptr<http_server> server;
};

const std::string host = "Host: x\r\nX-Request-Id: r\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(caller_methods, forwarding_fixture)

// Guards against a TRACE request with a body, which the HTTP library cannot send and which ended the process.
BOOST_AUTO_TEST_CASE(traceWithABodyIsRefused)
{
    for (const std::string body : {"Content-Length: 3\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"}) {
        const auto answer = answerTo("TRACE /a HTTP/1.1\r\n" + host + body, "malformed_request");
        BOOST_TEST(has(answer, "HTTP/1.1 400 "));
        BOOST_TEST(has(answer, "Connection: close"));
    }
    BOOST_TEST(forwarded == 0U);
    BOOST_TEST(has(forwardedBytes("TRACE /a HTTP/1.1\r\n" + host + "\r\n", "\r\n\r\n"), "TRACE /a HTTP/1.1\r\n"));
}

// Guards against bytes of a tunnel that are taken for requests.
BOOST_AUTO_TEST_CASE(tunnelsAreRefused)
{
    const auto answer = answerTo("CONNECT x:80 HTTP/1.1\r\n" + host + "\r\nGET /hidden HTTP/1.1\r\n" + host + "\r\n", "method_not_allowed");
    BOOST_TEST(has(answer, "HTTP/1.1 405 "));
    BOOST_TEST(has(answer, "Connection: close"));
    BOOST_TEST(forwarded == 0U);
}

// Guards against methods that the library does not know and that are changed, or end the process.
BOOST_AUTO_TEST_CASE(unknownMethodsAreForwardedUnchanged)
{
    for (const std::string method : {"BREW", "get", "M-SEARCH", "X", "!#$%&'*+-.^_`|~"}) {
        BOOST_TEST(has(forwardedBytes(method + " /a HTTP/1.1\r\n" + host + "Content-Length: 3\r\n\r\nabc", "\r\n\r\nabc"), method + " /a HTTP/1.1\r\n"));
        BOOST_TEST(has(forwardedBytes(method + " /a HTTP/1.1\r\n" + host + "\r\n", "\r\n\r\n"), method + " /a HTTP/1.1\r\n"));
    }
}

// Guards against targets that are changed on their way, or end the process.
BOOST_AUTO_TEST_CASE(oddTargetsAreForwardedUnchanged)
{
    for (const std::string target : {"*", "http://x/a", "x:80", "//", "/%00%0d%0a", "/a#b", "?", "/\xc3\xa4", "/a/../b"}) {
        BOOST_TEST(has(forwardedBytes("OPTIONS " + target + " HTTP/1.1\r\n" + host + "\r\n", "\r\n\r\n"), "OPTIONS " + target + " HTTP/1.1\r\n"));
    }
    for (const std::string target : {"", " /a", "/a b", "/a\tb", "/a\x01"}) {
        BOOST_TEST(has(answerTo("GET " + target + " HTTP/1.1\r\n" + host + "\r\n", "malformed_request"), "HTTP/1.1 400 "));
    }
}

// Guards against headers that the HTTP library cannot hold: its limit for a name or a value is 64 KB, also in a trailer, where no other limit holds.
BOOST_AUTO_TEST_CASE(headersThatAreTooLongAreRefused)
{
    listen(std::size_t{1024} * 1024);
    const std::string longText(70'000, 'x');
    const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n0\r\n";
    for (const auto &rest :
         {"A: " + longText + "\r\n\r\n", longText + ": a\r\n\r\n", chunks + "A: " + longText + "\r\n\r\n", chunks + longText + ": a\r\n\r\n"}) {
        BOOST_TEST(has(answerTo("POST /a HTTP/1.1\r\n" + host + rest, "header_too_large"), "HTTP/1.1 431 "));
    }
    BOOST_TEST(forwarded == 0U);
}

// Guards against memory without a bound for the size line of a chunk or for a trailer that never ends.
BOOST_AUTO_TEST_CASE(endlessChunkLinesAndTrailersAreRefused)
{
    for (const std::string begin : {"1;", "0\r\nA: "}) {
        raw_connection caller(io, server->port());
        caller.send("POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n" + begin);
        const std::string block(1000, 'x');
        int blocks = 0;
        runUntil(io, [&] {
            if (blocks < 400) {
                caller.send(block);
                ++blocks;
            }
            return caller.has("HTTP/1.1 431 ");
        });
        BOOST_TEST(caller.has("header_too_large"));
        BOOST_TEST(blocks < 400);
    }
    BOOST_TEST(forwarded == 0U);
}

// Guards against an exception out of the client for a request that the HTTP library cannot send.
BOOST_AUTO_TEST_CASE(unsendableRequestsEndTheirCall)
{
    std::optional<transfer_end> end;
    bool maybeSent = true;
    http_call call{.request = makeRequest(boost::beast::http::verb::trace, "/a", "abc"), .timeout = std::chrono::seconds{2}};
    http.start("127.0.0.1:1", std::move(call), collectResponse([&](transfer_end howEnded, bool requestMaybeSent, auto &&.../*ignored*/) {
                   end = howEnded;
                   maybeSent = requestMaybeSent;
               }));
    BOOST_TEST(!end.has_value());
    BOOST_TEST(runUntil(io, [&] { return end.has_value(); }));
    BOOST_TEST((end == transfer_end::Malformed));
    BOOST_TEST(!maybeSent);
}

BOOST_AUTO_TEST_SUITE_END()
