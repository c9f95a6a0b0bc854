// Tests that no bytes of a request reach an endpoint as a request of their own, whatever the request says about its length.
#include <boost/test/unit_test.hpp>

#include "http_server.hpp"
#include "shell_support.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

constexpr std::string_view hidden = "GET /hidden HTTP/1.1\r\nHost: x\r\nX-Request-Id: hidden\r\n\r\n";

struct framing {
    std::string_view version;
    std::string_view headers; // Lines that state the length of the body.
    std::string_view body; // Ends with the hidden request if it is empty.
};

// Requests whose end is not known for certain, or that violate the syntax of a length.
constexpr framing refused[]{
    {"1.1", "Transfer-Encoding: identity\r\n", ""},
    {"1.1", "Transfer-Encoding: gzip\r\n", ""},
    {"1.1", "Transfer-Encoding: deflate\r\n", ""},
    {"1.1", "Transfer-Encoding: compress\r\n", ""},
    {"1.1", "Transfer-Encoding: x-chunked\r\n", ""},
    {"1.1", "Transfer-Encoding: chunkedx\r\n", ""},
    {"1.1", "Transfer-Encoding: chunke\r\n", ""},
    {"1.1", "Transfer-Encoding: chunked, gzip\r\n", ""},
    {"1.1", "Transfer-Encoding: chunked, identity\r\n", ""},
    {"1.1", "Transfer-Encoding: chunked,chunked\r\n", ""},
    {"1.1", "Transfer-Encoding: gzip, chunked, gzip\r\n", ""},
    {"1.1", "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"},
    {"1.1", "Transfer-Encoding: identity, chunked\r\n", "0\r\n\r\n"},
    {"1.1", "Transfer-Encoding:\r\n", ""},
    {"1.1", "Transfer-Encoding: ,\r\n", ""},
    {"1.1", "Transfer-Encoding: \"chunked\"\r\n", ""},
    {"1.1", "Transfer-Encoding: 'chunked'\r\n", ""},
    {"1.1", "Transfer-Encoding: chunked;q=1\r\n", ""},
    {"1.1", "Transfer-Encoding: chunked; x\r\n", ""},
    {"1.1", "Transfer-Encoding: chunked gzip\r\n", ""},
    {"1.1",
     "Transfer-Encoding: \x0b"
     "chunked\r\n",
     ""},
    {"1.1", "Transfer-Encoding: chunked\x0c\r\n", ""},
    {"1.1", "Transfer-Encoding : chunked\r\n", "0\r\n\r\n"},
    {"1.1", "Transfer-Encoding: chunked\r\n ,gzip\r\n", "0\r\n\r\n"},
    {"1.1", "Transfer-Encoding\r\n : chunked\r\n", "0\r\n\r\n"},
    {"1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "0\r\n\r\n"},
    {"1.1", "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"},
    {"1.1", "Transfer-Encoding: gzip\r\nTransfer-Encoding: identity\r\n", ""},
    {"1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"},
    {"1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"},
    {"1.1", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"},
    {"1.1", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "0\r\n\r\n"},
    {"1.1", "Content-Length: 0\r\nTransfer-Encoding: identity\r\n", ""},
    {"1.1", "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n", ""},
    {"1.1", "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"},
    {"1.0", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"},
    {"1.0", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"},
    {"1.0", "Connection: keep-alive\r\nTransfer-Encoding: identity\r\n", ""},
    {"1.0", "Connection: keep-alive\r\nContent-Length: 0\r\nTransfer-Encoding: identity\r\n", ""},
    {"1.1", "Content-Length: 0\r\nContent-Length: 5\r\n", ""},
    {"1.1", "Content-Length: 5\r\nContent-Length: 0\r\n", ""},
    {"1.1", "Content-Length: 0, 5\r\n", ""},
    {"1.1", "Content-Length: 0,\r\n", ""},
    {"1.1", "Content-Length:\r\n", ""},
    {"1.1", "Content-Length: -1\r\n", ""},
    {"1.1", "Content-Length: +0\r\n", ""},
    {"1.1", "Content-Length: 0x0\r\n", ""},
    {"1.1", "Content-Length: 0 0\r\n", ""},
    {"1.1", "Content-Length: 0.0\r\n", ""},
    {"1.1", "Content-Length: zero\r\n", ""},
    {"1.1", "Content-Length: 18446744073709551616\r\n", ""},
    {"1.1", "Content-Length : 0\r\n", ""},
    {"1.1", "Transfer-Encoding: chunked\r\n", "g\r\n"},
    {"1.1", "Transfer-Encoding: chunked\r\n", "-1\r\n"},
    {"1.1", "Transfer-Encoding: chunked\r\n", "1 \r\nx\r\n0\r\n\r\n"},
    {"1.1", "Transfer-Encoding: chunked\r\n", "10000000000000000\r\n"},
    {"1.1", "Transfer-Encoding: chunked\r\n", "1\r\nxx\r\n0\r\n\r\n"},
    {"1.1", "Transfer-Encoding: chunked\r\n", "0\r\nContent-Length: 5\r\n\r\n"},
    {"1.1", "Transfer-Encoding: chunked\r\n", "0\r\nTransfer-Encoding: identity\r\n\r\n"},
    {"1.2", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"},
    {"2.0", "", ""},
};

// Requests whose end is certain.
constexpr framing accepted[]{
    {"1.1", "", ""},
    {"1.1", "Content-Length: 0\r\n", ""},
    {"1.1", "Content-Length: 3\r\n", "abc"},
    {"1.1", "Content-Length: 3\r\nContent-Length: 3\r\n", "abc"},
    {"1.1", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"},
    {"1.1", "Transfer-Encoding: Chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"},
    {"1.1", "Transfer-Encoding:\t chunked \t\r\n", "3\r\nabc\r\n0\r\n\r\n"},
    {"1.1", "Transfer-Encoding: chunked\r\n", "3;a=b\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n"},
    {"1.0", "Content-Length: 3\r\n", "abc"},
};

struct framing_fixture {
    framing_fixture()
    {
        server_limits limits;
        limits.headerSize = 4096;
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
            requests.push_back(std::move(*request));
        }
    }

    static std::string textOf(const framing &each)
    {
        return "POST /outer HTTP/" + std::string(each.version) + "\r\nHost: x\r\n" + std::string(each.headers) + "\r\n" + std::string(each.body);
    }

    // Sends a request before the one of the table if second is set.
    void checkRefused(const framing &each, bool second)
    {
        requests.clear();
        raw_connection caller(io, server->port());
        if (second) {
            caller.send("GET /first HTTP/1.1\r\nHost: x\r\n\r\n");
            BOOST_REQUIRE(runUntil(io, [&] { return requests.size() == 1; }));
            server->run(answer_plain{.caller = requests[0].caller, .status = 200, .body = "first"});
            BOOST_REQUIRE(runUntil(io, [&] { return caller.has("first"); }));
            requests.clear();
        }
        caller.send(textOf(each) + std::string(hidden));
        const bool closed = runUntil(
            io, [&] { return caller.ended() || !requests.empty(); }, std::chrono::milliseconds{2000});
        BOOST_TEST_CONTEXT((second ? "second: " : "first: ") << textOf(each))
        {
            BOOST_TEST(closed);
            BOOST_TEST(requests.empty());
            BOOST_TEST(caller.has("HTTP/1.1 400 "));
            BOOST_TEST(caller.has("urn:plantainpoint:malformed_request"));
            BOOST_TEST(caller.has("Connection: close"));
        }
    }

    boost::asio::io_context io;
    shell_metrics metrics;
    std::vector<caller_request> requests;
    std::unique_ptr<http_server> server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(caller_framing, framing_fixture)

// Guards against a request inside the body of another one, on a new connection.
BOOST_AUTO_TEST_CASE(uncertainLengthsAreRefused)
{
    static_assert(std::size(refused) >= 40);
    for (const auto &each : refused) {
        checkRefused(each, false);
    }
}

// Guards against the same on a connection that was used before.
BOOST_AUTO_TEST_CASE(uncertainLengthsOfSecondRequestsAreRefused)
{
    for (const auto &each : refused) {
        checkRefused(each, true);
    }
}

// Guards against a check that refuses sound requests or changes their bodies.
BOOST_AUTO_TEST_CASE(certainLengthsAreAccepted)
{
    for (const auto &each : accepted) {
        requests.clear();
        raw_connection caller(io, server->port());
        caller.send(textOf(each));
        BOOST_TEST_CONTEXT(textOf(each))
        {
            BOOST_TEST(runUntil(io, [&] { return !requests.empty(); }));
            BOOST_REQUIRE(requests.size() == 1U);
            BOOST_TEST(requests[0].body == (each.body.empty() ? "" : "abc"));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
