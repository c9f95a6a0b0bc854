// what the relay serves: routes, services, client accounts and endpoints, as an outside directory states them
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "plantainpoint/config.hpp"
#include "plantainpoint/ids.hpp"

namespace plantainpoint {

// what may be repeated when an attempt fails
enum class repeat_policy : std::uint8_t {
    Idempotent, // any number of runs
    Once, // at most one run
    Stream, // events; at most one run unless the route is resumable
};

constexpr std::string_view nameOf(repeat_policy value)
{
    constexpr std::string_view names[]{"idempotent", "once", "stream"};
    return names[static_cast<std::size_t>(value)];
}

struct weighted_service {
    service_name service;
    std::int32_t weight = 1;

    bool operator==(const weighted_service &) const = default;
};

struct relay_route {
    std::string name;
    std::string host;
    std::string pathPrefix; // begins and ends with a slash
    repeat_policy policy = repeat_policy::Once;
    std::chrono::milliseconds timeout{30'000}; // from arrival to the final answer
    std::chrono::milliseconds objective{1'000}; // latency of the answer, or of the first event of a stream
    std::chrono::milliseconds gapObjective{0}; // between two events of a stream
    std::int32_t priority = 5; // 0 is the most urgent
    std::int32_t attempts = 1; // endpoints that may take one request
    bool open = false; // needs no key
    bool resumable = false; // a stream may go on at another endpoint
    std::vector<weighted_service> services;

    bool operator==(const relay_route &) const = default;
};

// engines of a service in separate prefill and decode pools
struct engine_profile {
    std::int32_t slots = 1; // requests that run at once
    std::int64_t kvTokens = 0; // engine memory
    std::chrono::milliseconds handleLifetime{500}; // of a prefill result that nobody has fetched

    bool operator==(const engine_profile &) const = default;
};

struct relay_service {
    service_name name;
    std::optional<engine_profile> engine; // empty: a plain service

    bool operator==(const relay_service &) const = default;
};

enum class limit_unit : std::uint8_t {
    Requests,
    Tokens, // prompt and output tokens of a model request
};

struct relay_account {
    account_name name;
    std::vector<key_digest> keys;
    std::optional<std::int32_t> priority; // replaces that of the route
    limit_unit unit = limit_unit::Requests;
    double plainCost = 1; // units of a request without a token count
    double rate = 0; // units per second; 0: no limit
    double burst = 0; // units

    bool operator==(const relay_account &) const = default;
};

// bounds of what a caller may send
struct caller_bounds {
    std::size_t headerSize = 16 * 1024UL; // bytes
    std::size_t bodySize = 4 * 1024UL * 1024UL; // bytes
    std::chrono::milliseconds idleTime{15'000};

    bool operator==(const caller_bounds &) const = default;
};

struct relay_config {
    std::uint64_t version = 0;
    std::vector<relay_route> routes;
    std::vector<relay_service> services;
    std::vector<relay_account> accounts; // empty: no route needs a key
    caller_bounds bounds;
};

// an endpoint as it announces itself
struct relay_endpoint {
    endpoint_name name;
    service_name service;
    std::string address; // IP:PORT
    data_centre_name dataCentre;
    endpoint_role role = endpoint_role::Plain;
    endpoint_condition condition = endpoint_condition::Ready;
    std::int32_t slots = 1;
    std::int64_t startedAt = 0; // milliseconds since 1970 on the endpoint's clock; tells two runs under one name apart

    bool operator==(const relay_endpoint &) const = default;
};

} // namespace plantainpoint
