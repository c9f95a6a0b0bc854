// Tests that the bytes of a caller's connection become the requests that the caller sent, however they are cut and pipelined.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <random>

#include <boost/asio/write.hpp>

#include "http_server.hpp"
#include "shell_support.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

struct sent_request {
    std::string method;
    std::string path;
    std::string body;
    std::string text; // Bytes on the connection.
};

using random_source = std::mt19937;

std::size_t pick(random_source &random, std::size_t least, std::size_t most)
{
    return std::uniform_int_distribution<std::size_t>{least, most}(random);
}

std::string chunksOf(const std::string &body, random_source &random)
{
    std::string out;
    for (std::size_t at = 0; at < body.size();) {
        const auto size = std::min(body.size() - at, pick(random, 1, 400));
        std::array<char, 20> line{};
        std::snprintf(line.data(), line.size(), "%zx\r\n", size);
        out += line.data() + body.substr(at, size) + "\r\n";
        at += size;
    }
    return out + "0\r\n\r\n";
}

sent_request makeRequest(const std::string &path, random_source &random)
{
    constexpr std::size_t manyBytes = 9000; // More than one read.
    sent_request out{.method = pick(random, 0, 2) == 0 ? "GET" : "POST", .path = path};
    out.text = out.method + ' ' + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k-1\r\nX-Request-Id: " + path.substr(1) + "\r\n";
    if (out.method == "GET") {
        out.text += "\r\n";
        return out;
    }
    const auto size = pick(random, 0, pick(random, 0, 5) == 0 ? manyBytes : 700);
    for (std::size_t i = 0; i < size; ++i) {
        out.body += static_cast<char>('a' + (i + path.size()) % 26);
    }
    if (pick(random, 0, 1) == 0) {
        out.text += "Transfer-Encoding: chunked\r\n\r\n" + chunksOf(out.body, random);
    } else {
        out.text += "Content-Length: " + std::to_string(size) + "\r\n\r\n" + out.body;
    }
    return out;
}

// One connection of a caller, its requests, and what the server made of them.
struct pipelining_caller {
    std::unique_ptr<raw_connection> connection;
    std::vector<sent_request> requests;
    std::string text;
    std::size_t sent = 0; // Bytes.
    std::size_t arrived = 0; // Requests.
    std::size_t answered = 0;
    caller_id open = 0; // The request that has arrived and has no answer.
    bool streaming = false;
    bool aborted = false; // The server broke off an answer.
    bool closed = false;
};

enum class ending : std::uint8_t {
    Whole, // Every request is sent and answered.
    CallerCloses,
    ServerAborts,
};

struct input_fixture {
    input_fixture()
    {
        server_limits limits;
        limits.headerSize = 4096;
        limits.bodySize = 64 * 1024;
        limits.idleTime = std::chrono::milliseconds{60000};
        limits.connectionsPerAccount = 100;
        server = std::make_unique<http_server>(
            io, http_server_settings{limits, {}, request_handling::Opaque}, [this](input message) { onMessage(std::move(message)); }, quietLogger(), metrics);
        BOOST_REQUIRE(server->listen("127.0.0.1:0").ok());
    }

    // The first part of a path is the number of the connection.
    void onMessage(input message)
    {
        if (auto *disconnection = std::get_if<caller_disconnected>(&message)) {
            for (auto &caller : callers) {
                if (caller.open == disconnection->caller) {
                    caller.open = 0;
                }
            }
            return;
        }
        auto &request = std::get<caller_request>(message);
        const auto number = static_cast<std::size_t>(std::atoi(request.path.c_str() + 1));
        const bool known = number < callers.size() && callers[number].arrived < callers[number].requests.size();
        if (!known) {
            faults.push_back("a request that no caller sent: " + request.method + ' ' + request.path);
            return;
        }
        auto &caller = callers[number];
        const auto &expected = caller.requests[caller.arrived++];
        if (request.method != expected.method || request.path != expected.path || request.body != expected.body) {
            faults.push_back("changed: " + request.method + ' ' + request.path + " with " + std::to_string(request.body.size()) + " bytes, sent as "
                             + expected.method + ' ' + expected.path + " with " + std::to_string(expected.body.size()) + " bytes");
        }
        if (caller.open != 0) {
            faults.push_back("passed on before the answer to the one before: " + request.path);
        }
        caller.open = request.caller;
    }

    static std::string answerOf(const pipelining_caller &caller) { return "answer to " + caller.requests[caller.arrived - 1].path + "\n"; }

    void answer(pipelining_caller &caller, random_source &random)
    {
        const auto id = std::exchange(caller.open, 0);
        if (caller.streaming || pick(random, 0, 3) == 0) {
            if (!std::exchange(caller.streaming, true)) {
                server->run(answer_stream_head{.caller = id, .status = 200});
                caller.open = id;
                return;
            }
            server->run(answer_stream_bytes{id, answerOf(caller)});
            server->run(answer_stream_end{id});
            caller.streaming = false;
        } else {
            server->run(answer_plain{.caller = id, .status = 200, .body = answerOf(caller)});
        }
        ++caller.answered;
    }

    void poll()
    {
        io.restart();
        io.poll();
    }

    // Takes one random step. Returns false if the connection has nothing left to do.
    bool step(pipelining_caller &caller, ending how, random_source &random)
    {
        if (caller.closed || caller.aborted) {
            return false;
        }
        if (how != ending::Whole && pick(random, 0, 25) == 0) {
            if (how == ending::CallerCloses) {
                caller.closed = true;
                caller.connection->close();
            } else if (caller.open != 0) {
                caller.aborted = true;
                server->run(abort_answer{std::exchange(caller.open, 0)});
            }
            return true;
        }
        const bool maySend = caller.sent < caller.text.size();
        if (maySend && (caller.open == 0 || pick(random, 0, 1) == 0)) {
            const auto left = caller.text.size() - caller.sent;
            const auto size = std::min(left, pick(random, 1, pick(random, 0, 1) == 0 ? 60 : 3000));
            caller.connection->send(std::string_view{caller.text}.substr(caller.sent, size));
            caller.sent += size;
        } else if (caller.open != 0) {
            answer(caller, random);
        }
        return maySend || caller.answered < caller.requests.size();
    }

    void play(std::uint32_t seed, ending how)
    {
        random_source random{seed};
        callers.clear();
        callers.resize(pick(random, 1, 4));
        for (std::size_t number = 0; number < callers.size(); ++number) {
            auto &caller = callers[number];
            caller.connection = std::make_unique<raw_connection>(io, server->port());
            const auto count = pick(random, 2, 16);
            for (std::size_t i = 0; i < count; ++i) {
                caller.requests.push_back(makeRequest('/' + std::to_string(number) + '/' + std::to_string(i), random));
                caller.text += caller.requests.back().text;
            }
        }
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds{20};
        for (bool busy = true; busy && faults.empty() && std::chrono::steady_clock::now() < deadline;) {
            busy = false;
            for (auto &caller : callers) {
                busy = step(caller, how, random) || busy;
            }
            for (auto polls = pick(random, 0, 2); polls > 0; --polls) {
                poll();
            }
        }
        check(seed);
        closeAll();
    }

    // Ends every connection, so that no request of this play arrives during the next one.
    void closeAll()
    {
        for (auto &caller : callers) {
            caller.connection->close();
        }
        const bool allClosed = runUntil(io, [this] {
            for (auto &caller : callers) {
                if (caller.open != 0) {
                    server->run(abort_answer{std::exchange(caller.open, 0)});
                }
            }
            return metrics.connections == 0;
        });
        BOOST_REQUIRE(allClosed);
        callers.clear();
        faults.clear();
    }

    void check(std::uint32_t seed)
    {
        for (auto &caller : callers) {
            if (caller.closed || caller.aborted) {
                continue;
            }
            const auto last = "answer to " + caller.requests.back().path + "\n";
            if (caller.answered < caller.requests.size() || !runUntil(io, [&] { return caller.connection->has(last); })) {
                faults.push_back(std::to_string(caller.answered) + " of " + std::to_string(caller.requests.size()) + " requests answered");
                continue;
            }
            std::size_t at = 0;
            for (const auto &request : caller.requests) {
                at = caller.connection->received().find("answer to " + request.path + "\n", at);
                if (at == std::string::npos) {
                    faults.push_back("no answer in its place: " + request.path);
                    break;
                }
            }
        }
        if (!faults.empty()) {
            ++failedPlays;
            BOOST_ERROR("seed " << seed << ": " << faults.size() << " faults, first: " << faults.front());
            faults.clear();
        }
    }

    void playAll(ending how)
    {
        constexpr std::uint32_t plays = 150;
        for (std::uint32_t seed = 1; seed <= plays; ++seed) {
            play(seed, how);
        }
        BOOST_TEST(failedPlays == 0);
    }

    boost::asio::io_context io;
    shell_metrics metrics;
    std::vector<pipelining_caller> callers;
    std::vector<std::string> faults;
    int failedPlays = 0;
    std::unique_ptr<http_server> server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(caller_input, input_fixture)

// Guards against requests that get the bytes of others, as a pending read and the parser use the same memory.
BOOST_AUTO_TEST_CASE(pipelinedRequestsKeepTheirBytes)
{
    playAll(ending::Whole);
}

// Guards against use of the input after its connection was closed by the caller.
BOOST_AUTO_TEST_CASE(callersThatCloseWithinRequestsHarmNoOther)
{
    playAll(ending::CallerCloses);
}

// Guards against use of the input after an answer was broken off while further requests waited.
BOOST_AUTO_TEST_CASE(brokenOffAnswersHarmNoWaitingRequest)
{
    playAll(ending::ServerAborts);
}

BOOST_AUTO_TEST_SUITE_END()
