// Tests the bounds on what the connections of callers hold: the bytes of bodies, heads and answers, and the connections themselves.
#include <boost/test/unit_test.hpp>

#include "http_server.hpp"
#include "shell_support.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;

struct held_fixture {
    held_fixture()
        : memory(std::make_shared<memory_budget>(8 * megabyte))
    {
        server_limits limits;
        limits.idleTime = 60'000ms;
        limits.connections = 12;
        limits.receiveBuffer = 32 * kilobyte;
        server = std::make_unique<http_server>(
            io,
            http_server_settings{limits, {}, request_handling::Opaque, memory},
            [this](input message) {
                if (auto *request = std::get_if<caller_request>(&message)) {
                    requests.push_back(std::move(*request));
                }
            },
            quietLogger(),
            metrics);
        BOOST_REQUIRE(server->listen("127.0.0.1:0").ok());
    }

    // Connects a caller and sends what the server takes within the time.
    raw_connection &send(const std::string &text, std::chrono::milliseconds time = 5000ms)
    {
        callers.push_back(std::make_unique<raw_connection>(io, server->port()));
        std::size_t sent = 0;
        runUntil(
            io,
            [&] {
                sent += callers.back()->sendSome(std::string_view(text).substr(sent));
                return sent == text.size() || !callers.back()->received().empty();
            },
            time);
        run(20ms);
        return *callers.back();
    }
    void run(std::chrono::milliseconds time)
    {
        runUntil(
            io, [] { return false; }, time);
    }
    bool answered(raw_connection &caller, std::string_view text)
    {
        return runUntil(io, [&] { return caller.has(text); });
    }

    static std::string post(std::size_t size, std::size_t missing = 0)
    {
        return "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size - missing, 'b');
    }
    static std::string chunks(std::size_t size, std::size_t chunkSize)
    {
        std::array<char, 32> line{};
        std::snprintf(line.data(), line.size(), "%zx\r\n", chunkSize);
        std::string out = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (std::size_t sent = 0; sent < size; sent += chunkSize) {
            out += line.data() + std::string(chunkSize, 'b') + "\r\n";
        }
        return out;
    }

    boost::asio::io_context io;
    shell_metrics metrics;
    std::shared_ptr<memory_budget> memory;
    std::vector<caller_request> requests;
    std::unique_ptr<http_server> server;
    std::vector<std::unique_ptr<raw_connection>> callers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(held_bytes, held_fixture)

// Guards against bodies without a bound on their sum, and against a refusal that does not say that the request has not run and when to try again.
BOOST_AUTO_TEST_CASE(bodiesBeyondTheBudgetAreRefused)
{
    send(post(3 * megabyte));
    send(post(3 * megabyte));
    BOOST_REQUIRE(requests.size() == 2U);
    auto &third = send(post(3 * megabyte));
    BOOST_TEST(answered(third, "HTTP/1.1 503 "));
    BOOST_TEST(third.has("Retry-After: "));
    BOOST_TEST(third.has("not_run"));
    auto &small = send(post(600));
    BOOST_TEST(runUntil(io, [&] { return requests.size() == 3; }));
    BOOST_TEST(!small.has("503"));
    BOOST_TEST(memory->held() <= memory->limit());
    BOOST_TEST(metrics.bodiesPaused == 1U);
    BOOST_TEST(metrics.bodiesRefused == 1U);
}

// Guards against bytes that stay counted after the answer, until nothing is accepted any more.
BOOST_AUTO_TEST_CASE(answeredBodiesMakeRoom)
{
    for (int i = 0; i < 8; ++i) {
        auto &caller = send(post(4 * megabyte));
        BOOST_REQUIRE(runUntil(io, [&] { return requests.size() == 1; }));
        server->run(answer_plain{.caller = requests[0].caller, .body = "done"});
        BOOST_TEST(answered(caller, "done"));
        requests.clear();
        BOOST_TEST(memory->held() < megabyte);
    }
    callers.clear();
    BOOST_TEST(runUntil(io, [&] { return memory->held() == 0; }));
}

// Guards against a body that is refused although memory becomes free while it waits.
BOOST_AUTO_TEST_CASE(waitingBodiesGoOnWhenOthersAreAnswered)
{
    send(post(4 * megabyte));
    BOOST_REQUIRE(requests.size() == 1U);
    auto &second = send("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 4194304\r\n\r\n", 0ms);
    BOOST_REQUIRE(runUntil(io, [&] { return metrics.bodiesPaused == 1; }));
    server->run(answer_plain{.caller = requests[0].caller, .body = "done"});
    for (int i = 0; i < 200 && requests.size() == 1; ++i) {
        second.sendSome(std::string(64 * 1024, 'b'));
        run(2ms);
    }
    BOOST_TEST(requests.size() == 2U);
    BOOST_TEST(requests.back().body.size() == 4 * megabyte);
    BOOST_TEST(metrics.bodiesRefused == 0U);
}

// Guards against chunked bodies that are counted only when they are complete, in large and in very small chunks.
BOOST_AUTO_TEST_CASE(chunksCountAsTheyArrive)
{
    for (const std::size_t chunkSize : {megabyte, std::size_t{1024}, std::size_t{1}}) {
        std::vector<raw_connection *> open;
        for (int i = 0; i < 4; ++i) {
            open.push_back(&send(chunks(chunkSize == 1 ? megabyte / 4 : 3 * megabyte, chunkSize), 2500ms));
            BOOST_TEST(memory->held() <= memory->limit());
        }
        BOOST_TEST(requests.empty());
        callers.clear();
        BOOST_TEST(runUntil(io, [&] { return memory->held() == 0; }));
    }
}

// Guards against a chunked body whose string has allocated far more than is counted: a string doubles its memory when it grows.
BOOST_AUTO_TEST_CASE(theMemoryOfGrowingBodiesIsCounted)
{
    for (const std::size_t size : {300 * kilobyte, 1100 * kilobyte, 2100 * kilobyte}) {
        send(chunks(size, 10 * kilobyte) + "0\r\n\r\n");
        BOOST_REQUIRE(requests.size() == 1U);
        BOOST_TEST(requests[0].body.size() == size);
        BOOST_TEST(requests[0].body.capacity() <= memory->held());
        BOOST_TEST(requests[0].body.capacity() <= size * 3 / 2);
        callers.clear();
        BOOST_TEST(runUntil(io, [&] { return memory->held() == 0; }));
        requests.clear();
    }
}

// Guards against connections for which the system holds far more than this process reads: the platform counts it towards the memory.
BOOST_AUTO_TEST_CASE(unreadBytesOfAConnectionAreBounded)
{
    auto &caller = send(post(2));
    BOOST_REQUIRE(requests.size() == 1U);
    const std::string pipelined(megabyte, 'g');
    std::size_t sent = 0;
    runUntil(
        io,
        [&] {
            sent += caller.sendSome(pipelined);
            return false;
        },
        200ms);
    constexpr std::size_t readAhead = 20 * kilobyte; // While a request is open.
    BOOST_TEST(sent - caller.unacknowledged() <= 32 * kilobyte + readAhead);
}

// Guards against a body whose framing is many times as large as its content.
BOOST_AUTO_TEST_CASE(framingIsBounded)
{
    std::string text = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    while (text.size() < megabyte) {
        text += "1;extension=" + std::string(100, 'e') + "\r\nb\r\n";
    }
    auto &caller = send(text);
    BOOST_TEST(answered(caller, "HTTP/1.1 413 "));
    BOOST_TEST(memory->held() < megabyte);
}

// Guards against uploads that stop, or go on byte by byte, and keep their memory from others.
BOOST_AUTO_TEST_CASE(slowUploadsMakeRoom)
{
    auto &first = send(post(3 * megabyte, 1));
    auto &second = send(post(3 * megabyte, 1));
    run(1100ms);
    send(post(4 * megabyte));
    BOOST_TEST(runUntil(io, [&] { return requests.size() == 1; }));
    BOOST_TEST((answered(first, "HTTP/1.1 503 ") || answered(second, "HTTP/1.1 503 ")));
    BOOST_TEST(metrics.slowBodiesRefused >= 1U);
    BOOST_TEST(memory->held() <= memory->limit());
}

// Guards against a body that can never be held and is refused as if it could be later.
BOOST_AUTO_TEST_CASE(bodiesLargerThanTheBudgetAreTooLarge)
{
    server->setBounds({.headerSize = 16384, .bodySize = 64 * megabyte, .idleTime = 60'000ms});
    auto &whole = send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 30000000\r\n\r\n");
    BOOST_TEST(answered(whole, "HTTP/1.1 413 "));
    auto &chunked = send(chunks(9 * megabyte, megabyte));
    BOOST_TEST(answered(chunked, "HTTP/1.1 413 "));
}

// Guards against large answers for callers that do not read them, until the VM has no memory for anyone.
BOOST_AUTO_TEST_CASE(answersThatAreNotReadAreBounded)
{
    for (int i = 0; i < 10; ++i) {
        send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        BOOST_REQUIRE(requests.size() == 1U);
        // More than the system's buffers take.
        server->run(answer_plain{.caller = requests[0].caller, .body = std::string(16 * megabyte, 'a')});
        requests.clear();
        BOOST_TEST(runUntil(io, [&] { return memory->held() <= memory->limit(); }));
    }
    BOOST_TEST(metrics.closedConnections[static_cast<std::size_t>(close_reason::NoMemory)] == 10U);
}

// Guards against connections that use up the descriptors of the process: resting ones and those with endless heads make room, others are refused.
BOOST_AUTO_TEST_CASE(connectionsAreBounded)
{
    for (int i = 0; i < 13; ++i) {
        callers.push_back(std::make_unique<raw_connection>(io, server->port()));
        callers.back()->send(i % 2 == 0 && i < 12 ? "GET /a HTTP/1.1\r\n" : "");
    }
    auto &refused = *callers.back();
    BOOST_TEST(answered(refused, "HTTP/1.1 503 "));
    BOOST_TEST(refused.has("Retry-After: "));
    BOOST_TEST(metrics.connections == 12U);
    BOOST_TEST(metrics.connectionsRefused == 1U);
    run(1100ms);
    for (std::size_t i = 1; i <= 8; ++i) {
        send("GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
        BOOST_TEST(runUntil(io, [&] { return requests.size() == i; }));
        BOOST_TEST(metrics.connections == 12U);
    }
    BOOST_TEST(metrics.closedConnections[static_cast<std::size_t>(close_reason::NoDescriptor)] == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
