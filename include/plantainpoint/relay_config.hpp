// What the relay serves: routes, services, client accounts and endpoints, as an outside directory states them.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "plantainpoint/config.hpp"
#include "plantainpoint/ids.hpp"

namespace plantainpoint {

// States how often a request may run when an attempt fails.
enum class repeat_policy : std::uint8_t {
    Idempotent, // Any number of runs.
    Once, // At most one run.
    Stream, // A stream of events with at most one run, unless the route is resumable.
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
    std::string pathPrefix; // The prefix begins and ends with a slash.
    repeat_policy policy = repeat_policy::Once;
    std::chrono::milliseconds timeout{30'000}; // Time from arrival to the final answer.
    // Latency of the answer, or of the first event of a stream.
    std::chrono::milliseconds objective{1'000};
    std::chrono::milliseconds gapObjective{0}; // Pause between two events of a stream.
    std::int32_t priority = 5; // Zero is the most urgent priority.
    std::int32_t attempts = 1; // Endpoints that may take one request.
    bool open = false; // Requests need no key.
    bool resumable = false; // A stream may continue at another endpoint.
    std::vector<weighted_service> services;
    // Regions that the requests, their bodies on the way through other VMs and their KV cache may not leave. Empty: any region.
    std::vector<region_name> homes;

    bool operator==(const relay_route &) const = default;
};

// Engines of a service in separate prefill and decode pools.
struct engine_profile {
    std::int32_t slots = 1; // Requests that run at once.
    std::int64_t kvTokens = 0; // Tokens that fit into the engine memory.
    // Lifetime of a prefill result that no endpoint has fetched.
    std::chrono::milliseconds handleLifetime{500};

    bool operator==(const engine_profile &) const = default;
};

struct relay_service {
    service_name name;
    std::optional<engine_profile> engine; // It is empty for a plain service.
    std::chrono::milliseconds coldTime{0}; // An endpoint is cold for this time after its start.
    double coldRate = 0; // Requests a second that a cold endpoint tolerates from all VMs together. Zero sets no bound.

    bool operator==(const relay_service &) const = default;
};

enum class limit_unit : std::uint8_t {
    Requests,
    Tokens, // Prompt and output tokens of a model request.
};

struct relay_account {
    account_name name;
    std::vector<key_digest> keys;
    std::optional<std::int32_t> priority; // Replaces the priority of the route.
    limit_unit unit = limit_unit::Requests;
    double plainCost = 1; // Units of a request without a token count.
    double rate = 0; // Units per second. Zero sets no limit.
    double burst = 0; // Units.
    std::vector<region_name> homes; // As those of a route. Where both have homes, both bind.

    bool operator==(const relay_account &) const = default;
};

// Bounds of what a caller may send.
struct caller_bounds {
    std::size_t headerSize = 16 * 1024UL; // Bytes.
    std::size_t bodySize = 4 * 1024UL * 1024UL; // Bytes.
    std::chrono::milliseconds idleTime{15'000};

    bool operator==(const caller_bounds &) const = default;
};

struct relay_config {
    std::uint64_t version = 0;
    std::vector<relay_route> routes;
    std::vector<relay_service> services;
    std::vector<relay_account> accounts; // When it is empty, no route needs a key.
    caller_bounds bounds;
};

// An endpoint as it announces itself.
struct relay_endpoint {
    endpoint_name name;
    service_name service;
    std::string address; // IP:PORT.
    data_centre_name dataCentre;
    endpoint_role role = endpoint_role::Plain;
    endpoint_condition condition = endpoint_condition::Ready;
    std::int32_t slots = 1;
    software_version version; // Empty if the endpoint announces none.
    // Milliseconds since 1970 on the endpoint's clock. The time tells two runs under one name apart.
    std::int64_t startedAt = 0;
    std::optional<std::chrono::milliseconds> coldLeft; // Time for which it stays cold, from its announcement on. Empty if it announces none.

    bool operator==(const relay_endpoint &) const = default;
};

} // namespace plantainpoint
