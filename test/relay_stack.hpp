// A relay VM over real connections: callers, the server, the core, the client of the endpoints, and endpoints whose bytes the test writes.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "http_dialect.hpp"
#include "http_server.hpp"
#include "relay_client.hpp"
#include "relay_fixture.hpp"
#include "shell_support.hpp"

namespace plantainpoint::test {

// An endpoint that accepts connections. The test reads and writes their bytes.
struct raw_endpoint {
    explicit raw_endpoint(boost::asio::io_context &io)
        : acceptor(io, {boost::asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }
    void accept()
    {
        acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (!error) {
                connections.emplace_back(std::move(socket));
                accept();
            }
        });
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
    // Returns the connection over which the request with the id came last, or a null pointer.
    raw_connection *connectionOf(const std::string &id)
    {
        for (auto connection = connections.rbegin(); connection != connections.rend(); ++connection) {
            const auto position = connection->received().rfind("X-Request-Id: " + id + "\r\n");
            if (position != std::string::npos && connection->received().find("\r\n\r\n", position) != std::string::npos) {
                return &*connection;
            }
        }
        return nullptr;
    }

    tcp::acceptor acceptor;
    std::deque<raw_connection> connections;
};

struct relay_stack {
    relay_stack()
        : server(
            io, http_server_settings{{}, {}, request_handling::Opaque}, [this](input message) { onCallerInput(std::move(message)); }, quietLogger(), metrics)
        , http(io, {.connectTimeout = milliseconds{500}, .maxIdlePerAddress = 4})
        , client(http, platform::worker_dialect{}, [this](relay_input message) { deliver(std::move(message)); })
        , core({.self = {{"vm-1"}, 1}, .dataCentre = {"dc-a"}, .peerAddress = "127.0.0.1:7000", .retrySlack = 1000, .directPrefillLimit = {}}, clock)
    {
        BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
        clock.advance(std::chrono::hours{1});
        deliver(members_read{});
        auto config = sampleRelayConfig();
        config.accounts[0].rate = 0;
        for (auto &route : config.routes) {
            route.attempts = 4;
        }
        deliver(configuration_read{std::make_shared<const relay_config>(config)});
        clock.advance(std::chrono::seconds{1});
    }

    void announce(const std::string &name, const std::string &service, const std::string &address)
    {
        auto endpoint = endpointNamed(name, service);
        endpoint.address = address;
        deliver(directory_read{.changed = {{{name}, endpoint}}, .position = ++position});
    }
    // Sends a request and returns the caller's connection.
    std::unique_ptr<raw_connection> call(const std::string &target, const std::string &id, const std::string &version = "1.1")
    {
        auto caller = std::make_unique<raw_connection>(io, server.port());
        caller->send("GET " + target + " HTTP/" + version + "\r\nHost: shop.example\r\nAuthorization: Bearer k-acme\r\nX-Request-Id: " + id
                     + "\r\nX-Deadline-Ms: 2000\r\n\r\n");
        return caller;
    }
    // Waits for the request at an endpoint and returns its connection.
    raw_connection &requestAt(raw_endpoint &endpoint, const std::string &id)
    {
        raw_connection *found = nullptr;
        const bool arrived = runUntil(io, [&] { return (found = endpoint.connectionOf(id)) != nullptr; });
        BOOST_REQUIRE_MESSAGE(arrived,
                              id + " does not arrive, last dispatch "
                                  + (dispatches.empty() ? "-" : dispatches.back().payload->id + " to " + dispatches.back().endpoint.value) + ", last failure "
                                  + (failures.empty() ? "-" : failures.back().detail));
        return *found;
    }
    void runFor(milliseconds time)
    {
        runUntil(
            io, [] { return false; }, time);
    }

    void onCallerInput(input message)
    {
        if (auto *const request = std::get_if<caller_request>(&message)) {
            deliver(platform::decodeRequest(*request));
        } else if (auto *const disconnected = std::get_if<caller_disconnected>(&message)) {
            deliver(*disconnected);
        }
    }
    void deliver(relay_input message)
    {
        replies += std::holds_alternative<relay_reply>(message) ? 1 : 0;
        inbox.push_back(std::move(message));
        if (inbox.size() > 1) {
            return; // A call further up the stack handles it.
        }
        while (!inbox.empty()) {
            std::visit([&](auto &each) { core.handle(std::move(each)); }, inbox.front());
            for (auto &command : core.take()) {
                if (auto answer = streams.answer(command)) {
                    inbox.push_back(std::move(*answer));
                    continue;
                }
                std::visit([&](auto &each) { execute(each); }, command);
            }
            inbox.pop_front();
        }
    }
    template<class Command>
    void execute(Command &command)
    {
        if constexpr (std::is_same_v<Command, relay_dispatch>) {
            dispatches.push_back(command);
        } else if constexpr (std::is_same_v<Command, answer_failure>) {
            failures.push_back(command);
        }
        if constexpr (requires { server.run(command); }) {
            server.run(command);
        } else if constexpr (requires { client.run(command); }) {
            client.run(command);
        }
    }

    boost::asio::io_context io;
    manual_clock clock;
    shell_metrics metrics;
    stream_directory streams;
    std::deque<relay_input> inbox;
    std::vector<relay_dispatch> dispatches;
    std::vector<answer_failure> failures;
    int replies = 0; // Whole answers of endpoints.
    std::uint64_t position = 0;
    http_server server;
    http_client http;
    relay_client<platform::worker_dialect> client;
    relay_core core;
};

} // namespace plantainpoint::test
