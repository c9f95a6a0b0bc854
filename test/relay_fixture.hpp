// a relay core with a manual clock, a small configuration and endpoints that the test answers for
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "plantainpoint/relay_core.hpp"

namespace plantainpoint::test {

using std::chrono::milliseconds;

inline relay_endpoint endpointNamed(const std::string &name, const std::string &service, endpoint_role role = endpoint_role::Plain)
{
    return {.name = {name},
            .service = {service},
            .address = "127.0.0.1:" + std::to_string(9000 + name.back()),
            .dataCentre = {"dc-a"},
            .role = role,
            .slots = 2,
            .startedAt = 1};
}

inline relay_route routeTo(const std::string &prefix, const std::string &service, repeat_policy policy)
{
    return {.name = "r" + prefix,
            .host = "shop.example",
            .pathPrefix = prefix,
            .policy = policy,
            .timeout = milliseconds{2000},
            .objective = milliseconds{400},
            .gapObjective = milliseconds{100},
            .attempts = 2,
            .services = {{{service}, 1}}};
}

inline relay_config sampleRelayConfig(std::uint64_t version = 1)
{
    relay_config config;
    config.version = version;
    config.routes = {routeTo("/lookup/", "desk", repeat_policy::Idempotent),
                     routeTo("/book/", "desk", repeat_policy::Once),
                     routeTo("/draft/", "llm", repeat_policy::Stream),
                     routeTo("/resume/", "llm", repeat_policy::Stream),
                     routeTo("/open/", "desk", repeat_policy::Idempotent)};
    config.routes[3].resumable = true;
    config.routes[4].open = true;
    config.services = {{.name = {"desk"}}, {.name = {"llm"}, .engine = engine_profile{.slots = 2, .kvTokens = 20'000}}};
    config.accounts = {{.name = {"acme"}, .keys = {digestOf("k-acme")}, .rate = 1000, .burst = 1000}};
    return config;
}

struct relay_fixture {
    relay_fixture()
        : core({.self = {{"vm-1"}, 1}, .dataCentre = {"dc-a"}, .peerAddress = "127.0.0.1:7000", .directPrefillLimit = {}}, clock)
    {
        clock.advance(std::chrono::hours{1});
    }

    void configure(const relay_config &config) { core.handle(configuration_read{std::make_shared<const relay_config>(config)}); }
    void announce(std::vector<relay_endpoint> endpoints, bool whole = true)
    {
        directory_read read{.whole = whole, .position = ++position};
        for (auto &each : endpoints) {
            read.changed.push_back({each.name, each});
        }
        core.handle(read);
    }
    void withdraw(const std::string &name) { core.handle(directory_read{.changed = {{{name}, std::nullopt}}, .position = ++position}); }
    // a configuration and two desks
    void serveDesks()
    {
        configure(sampleRelayConfig());
        announce({endpointNamed("desk-1", "desk"), endpointNamed("desk-2", "desk")});
        core.take();
    }
    // a configuration, one prefill and two decode endpoints
    void serveEngines()
    {
        configure(sampleRelayConfig());
        announce({endpointNamed("pre-1", "llm", endpoint_role::Prefill),
                  endpointNamed("dec-1", "llm", endpoint_role::Decode),
                  endpointNamed("dec-2", "llm", endpoint_role::Decode)});
        core.take();
    }

    caller_id request(const std::string &target, const std::string &key = "k-acme", duration timeToDeadline = milliseconds{1000})
    {
        return send(target, key, timeToDeadline, std::nullopt);
    }
    caller_id modelRequest(const std::string &target, std::int64_t prompt = 1000, std::int64_t output = 100)
    {
        return send(target, "k-acme", milliseconds{2000}, token_count{prompt, output, {}});
    }
    caller_id send(const std::string &target, const std::string &key, duration timeToDeadline, std::optional<token_count> tokens)
    {
        auto payload = std::make_shared<relay_payload>();
        payload->id = "id-" + std::to_string(++lastCaller);
        payload->host = "shop.example";
        payload->method = "POST";
        payload->target = target;
        relay_request request{.caller = lastCaller, .payload = payload, .timeToDeadline = timeToDeadline, .tokens = tokens};
        if (!key.empty()) {
            request.key = digestOf(key);
        }
        core.handle(std::move(request));
        collect();
        return lastCaller;
    }
    void reply(const relay_dispatch &to, int status, bool notRun = false)
    {
        core.handle(relay_reply{.attempt = to.attempt, .status = status, .body = "body", .genuine = !notRun, .notRun = notRun});
        collect();
    }
    void end(const relay_dispatch &to, reply_outcome how)
    {
        core.handle(relay_attempt_ended{to.attempt, how});
        collect();
    }
    void beginStream(const relay_dispatch &to)
    {
        core.handle(stream_head{.attempt = to.attempt});
        collect();
    }
    void part(const relay_dispatch &to, const std::string &bytes)
    {
        core.handle(stream_part{to.attempt, bytes});
        collect();
    }
    void advance(duration by)
    {
        clock.advance(by);
        core.tick();
        collect();
    }

    void collect()
    {
        for (auto &each : core.take()) {
            if (auto *const dispatch = std::get_if<relay_dispatch>(&each)) {
                dispatches.push_back(*dispatch);
            } else if (auto *const failed = std::get_if<answer_failure>(&each)) {
                failures.push_back(*failed);
            } else if (auto *const answer = std::get_if<answer_plain>(&each)) {
                answers.push_back(*answer);
            } else if (auto *const bytes = std::get_if<answer_stream_bytes>(&each)) {
                streamed += bytes->bytes;
            } else if (std::holds_alternative<answer_stream_end>(each)) {
                ++streamEnds;
            } else if (std::holds_alternative<abort_answer>(each)) {
                ++broken;
            } else if (auto *const abort = std::get_if<relay_abort>(&each)) {
                aborted.push_back(abort->attempt);
            } else if (std::holds_alternative<release_prefill>(each)) {
                ++released;
            } else if (std::holds_alternative<stop_accepting>(each)) {
                closedToCallers = true;
            } else if (std::holds_alternative<stopped>(each)) {
                isStopped = true;
            } else if (auto *const heartbeatMessage = std::get_if<send_heartbeat>(&each)) {
                heartbeatMessages.push_back(*heartbeatMessage);
            } else if (auto *const fetch = std::get_if<fetch_fleet_state>(&each)) {
                fetches.push_back(fetch->address);
            }
        }
    }

    manual_clock clock;
    relay_core core;
    std::uint64_t position = 0;
    caller_id lastCaller = 0;
    std::vector<relay_dispatch> dispatches;
    std::vector<answer_failure> failures;
    std::vector<answer_plain> answers;
    std::vector<attempt_number> aborted;
    std::vector<send_heartbeat> heartbeatMessages;
    std::vector<std::string> fetches;
    std::string streamed;
    int streamEnds = 0;
    int broken = 0;
    int released = 0;
    bool closedToCallers = false;
    bool isStopped = false;
};

} // namespace plantainpoint::test
