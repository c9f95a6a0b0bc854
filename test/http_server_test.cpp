// Tests that callers that violate the protocol or a limit get a typed error, and how requests and answers pass through the server.
#include <boost/test/unit_test.hpp>

#include "http_server.hpp"
#include "shell_support.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

struct server_fixture {
    server_fixture()
    {
        server_limits limits;
        limits.headerSize = 2048;
        limits.bodySize = 4096;
        limits.idleTime = std::chrono::milliseconds{300};
        limits.connectionsPerAccount = 2;
        limits.outputBuffer = 16 * 1024;
        server = std::make_unique<http_server>(
            io, http_server_settings{limits, {}}, [this](input message) { onMessage(std::move(message)); }, quietLogger(), metrics);
        BOOST_REQUIRE(server->listen("127.0.0.1:0").ok());
    }

    void onMessage(input message)
    {
        if (auto *request = std::get_if<caller_request>(&message)) {
            requests.push_back(std::move(*request));
        } else if (auto *disconnection = std::get_if<caller_disconnected>(&message)) {
            disconnectedCallers.push_back(disconnection->caller);
        }
    }

    // Sends the bytes over a new connection and waits until the answer contains the text.
    bool answerContains(std::string_view bytes, std::string_view text)
    {
        raw_connection caller(io, server->port());
        caller.send(bytes);
        return runUntil(io, [&] { return caller.has(text); });
    }
    bool requestsArrive(std::size_t count = 1)
    {
        return runUntil(io, [&] { return requests.size() >= count; });
    }
    static std::string completion(const std::string &extra)
    {
        const std::string body = R"({"model":"m","prompt":"pears","max_tokens":8)" + extra + "}";
        return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k-1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    // Sends a request and answers it with the head of a stream.
    void beginStream(raw_connection &caller)
    {
        caller.send("GET /a HTTP/1.1\r\n\r\n");
        BOOST_REQUIRE(requestsArrive());
        server->run(answer_stream_head{requests[0].caller, 200, {}});
    }
    request_label label() const { return {{vm_name{"vm-1"}, 7}, 1}; }

    boost::asio::io_context io;
    shell_metrics metrics;
    std::vector<caller_request> requests;
    std::vector<caller_id> disconnectedCallers;
    std::unique_ptr<http_server> server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_server_limits, server_fixture)

// Guards against malformed requests that reach the core, and against request smuggling by a request that states both a content length and chunked encoding.
BOOST_AUTO_TEST_CASE(malformedHttpIsRefused)
{
    BOOST_TEST(answerContains("nonsense\r\n\r\n", "urn:plantainpoint:malformed_request"));
    BOOST_TEST(answerContains("GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "malformed_request"));
    BOOST_TEST(answerContains("POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "malformed_request"));
    BOOST_TEST(answerContains("POST /v1/completions HTTP/1.1\r\nContent-Length: 2\r\n\r\n[]", "malformed_request"));
    BOOST_TEST(requests.empty());
}

// Guards against memory exhaustion by a caller that sends a large header or body.
BOOST_AUTO_TEST_CASE(oversizedRequestsAreRefused)
{
    BOOST_TEST(answerContains("POST /a HTTP/1.1\r\nContent-Length: 4097\r\n\r\n", "413 "));
    BOOST_TEST(answerContains("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1001\r\n" + std::string(4097, 'x') + "\r\n", "body_too_large"));
    BOOST_TEST(answerContains("GET /a HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n", "header_too_large"));
    BOOST_TEST(requests.empty());
}

// Guards against plain keys, hop-by-hop headers and forged request ids that reach the core or an endpoint.
BOOST_AUTO_TEST_CASE(keyIsHashedAndHeadersAreStripped)
{
    raw_connection caller(io, server->port());
    caller.send("GET /slots?day=1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret-key\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n"
                "Idempotency-Key: i-1\r\nX-Request-Id: forged\r\nAccept: text/plain\r\n\r\n");
    BOOST_REQUIRE(requestsArrive());
    const auto &request = requests.front();
    BOOST_TEST((request.key == digestOf("secret-key")));
    BOOST_TEST(request.idempotencyKey == "i-1");
    BOOST_TEST(request.path == "/slots?day=1");
    BOOST_REQUIRE(request.headers.size() == 2U);
    BOOST_TEST(request.headers[0].name == "Idempotency-Key");
    BOOST_TEST(request.headers[1].name == "Accept");
}

// Guards against a request without a bearer key that is treated as one with an empty key.
BOOST_AUTO_TEST_CASE(missingKeysAndOtherSchemesAreReported)
{
    raw_connection caller(io, server->port());
    caller.send("GET /a HTTP/1.1\r\n\r\n");
    BOOST_REQUIRE(requestsArrive());
    BOOST_TEST(!requests[0].key.has_value());
    server->run(answer_failure{.caller = requests[0].caller, .label = label(), .reason = failure::MissingKey});
    BOOST_TEST(runUntil(io, [&] { return caller.has("WWW-Authenticate: Bearer") && caller.has(R"("outcome":"not_run")"); }));
    caller.send("GET /a HTTP/1.1\r\nAuthorization: Basic abc\r\n\r\n");
    BOOST_REQUIRE(requestsArrive(2));
    BOOST_TEST(!requests[1].key.has_value());
}

// Guards against one client account that uses up all connections.
BOOST_AUTO_TEST_CASE(connectionsOfOneKeyAreLimited)
{
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (std::size_t i = 0; i < 3; ++i) {
        callers.push_back(std::make_unique<raw_connection>(io, server->port()));
        callers.back()->send("GET /a HTTP/1.1\r\nAuthorization: Bearer k\r\n\r\n");
        BOOST_REQUIRE(i == 2 || requestsArrive(i + 1));
    }
    BOOST_TEST(runUntil(io, [&] { return callers[2]->has("too_many_connections"); }));
    callers[0]->close();
    BOOST_REQUIRE(runUntil(io, [&] { return disconnectedCallers.size() == 1; }));
    callers[2]->send("GET /a HTTP/1.1\r\nAuthorization: Bearer k\r\n\r\n");
    BOOST_TEST(requestsArrive(3));
}

// Guards against connections that stay open because the caller never completes or never sends a request.
BOOST_AUTO_TEST_CASE(incompleteRequestTimesOut)
{
    raw_connection caller(io, server->port());
    caller.send("GET /a HTTP/1.1\r\nX: ");
    BOOST_TEST(runUntil(io, [&] { return caller.has("malformed_request") && caller.ended(); }));
    raw_connection idle(io, server->port());
    BOOST_TEST(runUntil(io, [&] { return idle.ended(); }));
    BOOST_TEST(requests.empty());
}

// Guards against memory exhaustion by a caller that does not read its stream, so that the output buffer grows.
BOOST_AUTO_TEST_CASE(slowReaderIsDisconnected)
{
    raw_connection caller(io, server->port());
    caller.send(completion(R"(,"stream":true)"));
    BOOST_REQUIRE(requestsArrive());
    const std::string text(1024, 'x');
    const bool disconnected = runUntil(io, [&] {
        for (int i = 0; i < 8 && disconnectedCallers.empty(); ++i) {
            server->run(answer_token{requests[0].caller, 0, text});
        }
        return !disconnectedCallers.empty();
    });
    BOOST_TEST(disconnected);
    BOOST_TEST(metrics.slowCallers == 1U);
}

// Guards against work that continues after its caller disconnected.
BOOST_AUTO_TEST_CASE(disconnectedCallerIsReported)
{
    raw_connection caller(io, server->port());
    caller.send(completion(""));
    BOOST_REQUIRE(requestsArrive());
    caller.close();
    BOOST_TEST(runUntil(io, [&] { return disconnectedCallers.size() == 1 && disconnectedCallers[0] == requests[0].caller; }));
}

// Guards against a stream that failed midway and looks like a complete answer.
BOOST_AUTO_TEST_CASE(streamsEndWithDoneOrATypedError)
{
    raw_connection complete(io, server->port());
    complete.send(completion(R"(,"stream":true)"));
    BOOST_REQUIRE(requestsArrive());
    server->run(request_admitted{.caller = requests[0].caller, .label = label()});
    server->run(answer_token{requests[0].caller, 0, "a \"b\"\n"});
    server->run(answer_done{.caller = requests[0].caller, .label = label(), .finishReason = "stop", .promptTokens = 2, .outputTokens = 1});
    BOOST_TEST(runUntil(io, [&] { return complete.has("data: [DONE]") && complete.has("\r\n0\r\n\r\n"); }));
    BOOST_TEST(complete.has(R"("text":"a \"b\"\n")"));
    BOOST_TEST(complete.has("X-Request-Id: vm-1/7/1"));
    raw_connection brokenStream(io, server->port());
    brokenStream.send(completion(R"(,"stream":true)"));
    BOOST_REQUIRE(requestsArrive(2));
    server->run(answer_token{requests[1].caller, 0, "a"});
    server->run(answer_failure{.caller = requests[1].caller, .label = label(), .reason = failure::StreamBroken, .result = outcome::Ran});
    BOOST_TEST(runUntil(io, [&] { return brokenStream.ended(); }));
    BOOST_TEST(brokenStream.has(R"("type":"urn:plantainpoint:stream_broken")"));
    BOOST_TEST(!brokenStream.has("[DONE]"));
}

// Guards against answers to pipelined requests that are sent in the wrong order.
BOOST_AUTO_TEST_CASE(pipelinedRequestsAreAnsweredInOrder)
{
    raw_connection caller(io, server->port());
    caller.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    BOOST_REQUIRE(requestsArrive(1));
    BOOST_TEST(requests.size() == 1U);
    server->run(answer_plain{.caller = requests[0].caller, .label = label(), .body = "first"});
    BOOST_REQUIRE(requestsArrive(2));
    BOOST_TEST(requests[1].path == "/2");
    server->run(answer_plain{.caller = requests[1].caller, .label = label(), .body = "second"});
    BOOST_TEST(runUntil(io, [&] { return caller.has("second"); }));
    BOOST_TEST(caller.received().find("first") < caller.received().find("second"));
}

// Guards against a planned stop that closes a connection from the queue although its request has just been read.
BOOST_AUTO_TEST_CASE(closingIdleConnectionsKeepsRequestsThatWereJustRead)
{
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(std::make_unique<raw_connection>(io, server->port()));
        callers.back()->send("GET /a HTTP/1.1\r\n\r\n");
    }
    raw_connection idle(io, server->port());
    server->beginClosing();
    server->closeIdle();
    BOOST_TEST(requestsArrive(4));
    BOOST_TEST(runUntil(io, [&] { return idle.ended(); }));
    for (const auto &request : requests) {
        server->run(answer_plain{.caller = request.caller, .label = label(), .body = "whole"});
    }
    for (auto &caller : callers) {
        BOOST_TEST(runUntil(io, [&] { return caller->has("whole"); }));
    }
}

// Guards against a connection that is dropped with its request because it was accepted, and not handled, when the listener was closed.
BOOST_AUTO_TEST_CASE(connectionsThatWereAcceptedBeforeTheListenerClosedAreServed)
{
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(std::make_unique<raw_connection>(io, server->port()));
        callers.back()->send("GET /a HTTP/1.1\r\n\r\n");
    }
    while (metrics.connections == 0) {
        io.run_one();
    }
    server->beginClosing();
    server->closeIdle();
    BOOST_TEST(requestsArrive(4));
}

// Guards against a request that is reset because it arrives after its idle connection was selected for the close, and before the close.
BOOST_AUTO_TEST_CASE(requestsThatArriveBeforeTheCloseOfTheirIdleConnectionAreAnswered)
{
    raw_connection caller(io, server->port());
    caller.send("GET /a HTTP/1.1\r\n\r\n");
    BOOST_REQUIRE(requestsArrive());
    server->run(answer_plain{.caller = requests[0].caller, .label = label(), .body = "first"});
    BOOST_REQUIRE(runUntil(io, [&] { return caller.has("first"); }));
    io.restart();
    io.run_for(std::chrono::milliseconds{20}); // The server handles the end of its write.
    server->beginClosing();
    server->closeIdle();
    caller.send("GET /b HTTP/1.1\r\n\r\n");
    BOOST_REQUIRE(requestsArrive(2));
    server->run(answer_plain{.caller = requests[1].caller, .label = label(), .body = "second"});
    BOOST_TEST(runUntil(io, [&] { return caller.has("second") && caller.ended(); }));
    BOOST_TEST(caller.has("Connection: close"));
}

// Guards against a request that is being received at the end of a planned stop and gets no answer, or one that is reset by its unread rest.
BOOST_AUTO_TEST_CASE(requestsThatAreBeingReceivedAreRefusedAtTheEnd)
{
    raw_connection arriving(io, server->port());
    arriving.send("POST /a HTTP/1.1\r\nContent-Length: 2000\r\n\r\nhalf");
    raw_connection open(io, server->port());
    open.send("GET /b HTTP/1.1\r\n\r\n");
    BOOST_REQUIRE(requestsArrive());
    BOOST_REQUIRE(runUntil(io, [&] { return server->isReceiving(); }));
    server->beginClosing();
    server->closeIdle();
    BOOST_TEST(server->isReceiving());
    server->refuseArriving();
    BOOST_TEST(!server->isReceiving());
    BOOST_TEST(runUntil(io, [&] { return arriving.has("503 ") && arriving.has("shutting_down") && arriving.has("not_run"); }));
    BOOST_TEST(arriving.has("Retry-After: "));
    BOOST_TEST(arriving.has("Connection: close"));
    BOOST_TEST(!server->flushed()); // The caller may still send, and unread bytes would reset the connection.
    arriving.send(std::string(1996, 'x'));
    arriving.close();
    BOOST_TEST(runUntil(io, [&] { return server->flushed(); }));
    BOOST_TEST(requests.size() == 1U);
    server->run(answer_plain{.caller = requests[0].caller, .label = label(), .body = "whole"});
    BOOST_TEST(runUntil(io, [&] { return open.has("whole"); }));
}

// Guards against a planned stop that closes a connection behind an answer that does not announce it, so that the next request is lost.
BOOST_AUTO_TEST_CASE(answersOfAStoppingServerAnnounceTheClose)
{
    raw_connection plain(io, server->port());
    plain.send("GET /a HTTP/1.1\r\n\r\n");
    BOOST_REQUIRE(requestsArrive());
    server->beginClosing();
    server->run(answer_plain{.caller = requests[0].caller, .label = label(), .body = "whole"});
    BOOST_TEST(runUntil(io, [&] { return plain.has("whole"); }));
    BOOST_TEST(plain.has("Connection: close"));
    BOOST_TEST(runUntil(io, [&] { return plain.ended(); }));
}

// Guards against the same for a stream whose head went out before the stop: its connection takes another request until idle connections are closed.
BOOST_AUTO_TEST_CASE(streamsThatBeganBeforeAStopLeaveTheirConnectionOpen)
{
    raw_connection caller(io, server->port());
    beginStream(caller);
    server->run(answer_stream_bytes{requests[0].caller, "data: 1\n\n"});
    BOOST_REQUIRE(runUntil(io, [&] { return caller.has("data: 1"); }));
    server->beginClosing();
    server->run(answer_stream_end{requests[0].caller});
    BOOST_REQUIRE(runUntil(io, [&] { return caller.has("0\r\n\r\n"); }));
    caller.send("GET /b HTTP/1.1\r\n\r\n");
    BOOST_REQUIRE(requestsArrive(2));
    server->run(answer_plain{.caller = requests[1].caller, .label = label(), .body = "whole"});
    BOOST_TEST(runUntil(io, [&] { return caller.has("whole"); }));
    BOOST_TEST(caller.has("Connection: close"));
    BOOST_TEST(runUntil(io, [&] { return caller.ended(); }));
}

// Guards against a connection that stays open after its stream has ended behind the time at which idle connections are closed.
BOOST_AUTO_TEST_CASE(streamsThatEndLateInAStopCloseTheirConnection)
{
    raw_connection caller(io, server->port());
    beginStream(caller);
    server->beginClosing();
    server->closeIdle();
    server->run(answer_stream_end{requests[0].caller});
    BOOST_TEST(runUntil(io, [&] { return caller.has("0\r\n\r\n") && caller.ended(); }));
}

// Guards against a request that is read and discarded behind a stream which has ended late in a stop without announcing the close.
BOOST_AUTO_TEST_CASE(requestsBehindALateStreamOfAStopAreAnswered)
{
    raw_connection caller(io, server->port());
    beginStream(caller);
    server->beginClosing();
    server->closeIdle();
    server->run(answer_stream_end{requests[0].caller});
    caller.send("GET /b HTTP/1.1\r\n\r\n");
    BOOST_TEST(!server->flushed());
    BOOST_REQUIRE(requestsArrive(2));
    server->run(answer_plain{.caller = requests[1].caller, .label = label(), .body = "second"});
    BOOST_TEST(runUntil(io, [&] { return caller.has("second") && caller.ended(); }));
}

// Guards against a connection that outlives a stop because its answer was still being written when idle connections were closed.
BOOST_AUTO_TEST_CASE(answersThatAreWrittenDuringTheCloseOfIdleConnectionsEndTheirConnection)
{
    raw_connection caller(io, server->port());
    caller.send("GET /a HTTP/1.1\r\n\r\n");
    BOOST_REQUIRE(requestsArrive());
    server->run(answer_plain{.caller = requests[0].caller, .label = label(), .body = "whole"});
    server->beginClosing();
    server->closeIdle();
    BOOST_TEST(runUntil(
        io, [&] { return caller.has("whole") && caller.ended(); }, std::chrono::milliseconds{200}));
}

// Guards against a trailer field of 64 KB, for which the HTTP library throws an exception that ends the VM.
BOOST_AUTO_TEST_CASE(largeTrailersAreRefused)
{
    const std::string head = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: ";
    BOOST_TEST(answerContains(head + std::string(70'000, 'b') + "\r\n\r\n", "HTTP/1.1 431 "));
}

BOOST_AUTO_TEST_SUITE_END()
