// what operators publish: services with their routes, endpoints, client accounts, keys and limits
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include "plantainpoint/ids.hpp"

namespace plantainpoint {

// one request is a million micro-tokens
inline constexpr std::int64_t microTokensPerRequest = 1'000'000;

// size of a KV block of engine memory
inline constexpr std::int32_t tokensPerKvBlock = 2'000;

// estimate of a token's length in a prompt
inline constexpr std::int32_t bytesPerToken = 4;

// prompts are compared for common prefixes in steps of this many bytes
inline constexpr std::int32_t prefixBytesPerKvBlock = tokensPerKvBlock * bytesPerToken;

// SHA-256 of a key
using key_digest = std::array<std::uint8_t, 32>;

// digest of the key's bytes
key_digest digestOf(std::string_view key);

// runs in a time that does not depend on the contents
bool equalInConstantTime(const key_digest &a, const key_digest &b);

std::string toHex(const key_digest &digest);

// empty status on text that is not 64 hexadecimal digits
absl::StatusOr<key_digest> parseDigest(std::string_view hex);

struct rate_limit {
    std::int64_t rate = 0; // micro-tokens per second
    std::int64_t burst = 0; // micro-tokens

    bool operator==(const rate_limit &) const = default;
};

struct client_account {
    account_name name;
    rate_limit limit;
    std::int32_t maxConnections = 1000; // per VM

    bool operator==(const client_account &) const = default;
};

struct account_key {
    std::string id; // shown to operators in place of the key
    key_digest digest{};
    account_name account;

    bool operator==(const account_key &) const = default;
};

enum class route_kind : std::uint8_t {
    Model,
    Lookup, // idempotent
    Booking, // may not be repeated
};

enum class route_access : std::uint8_t {
    Keyed,
    Open,
};

struct route {
    std::string method;
    std::string path; // a trailing '*' matches any rest
    route_kind kind = route_kind::Lookup;
    route_access access = route_access::Keyed;
    std::chrono::milliseconds deadline{30'000};

    bool operator==(const route &) const = default;
};

// whether requests wait calmly or need their first token in time
enum class urgency : std::uint8_t {
    Interactive,
    Batch,
};

struct model_entry {
    model_name name;
    std::string version;
    std::string adapter;
    std::int32_t maxPromptTokens = 32'000;
    std::int32_t maxOutputTokens = 4'000;
    urgency kind = urgency::Interactive;

    bool operator==(const model_entry &) const = default;
};

enum class endpoint_role : std::uint8_t {
    Prefill,
    Decode,
    Plain,
};

enum class endpoint_condition : std::uint8_t {
    Ready,
    Leaving,
};

struct endpoint {
    endpoint_name name;
    std::string address; // IP:PORT
    data_centre_name dataCentre;
    region_name region;
    endpoint_role role = endpoint_role::Plain;
    endpoint_condition condition = endpoint_condition::Ready;
    model_name model; // empty for plain services
    bool checksFencing = false;
    std::int32_t slots = 20; // concurrent requests
    std::int32_t kvBlocks = 160; // engine memory, in KV blocks of tokensPerKvBlock
    std::int64_t prefillTokensPerSecond = 20'000;
    std::int64_t linkBytesPerSecond = 10'000'000'000;
    std::int64_t kvBytesPerToken = 100'000;

    bool operator==(const endpoint &) const = default;
};

// weighs goodput (0) against the worst-served client account (1)
using fairness_weight = double;

struct service_config {
    service_name name;
    std::vector<route> routes;
    std::vector<model_entry> models;
    std::vector<endpoint> endpoints;
    std::vector<client_account> accounts; // defined by this service; names are unique in the fleet
    std::vector<account_name> clients; // accounts that may call; empty: those defined here
    std::vector<account_key> keys;
    fairness_weight fairness = 0.2;
    std::chrono::milliseconds firstTokenTarget{930};
    std::chrono::milliseconds tokenIntervalTarget{36};

    bool operator==(const service_config &) const = default;
};

// a field that does not fit, such as "accounts[2].limit.rate", and why
struct config_problem {
    std::string field;
    std::string text;

    bool operator==(const config_problem &) const = default;
};

// every problem of one service by itself, in the order of the fields
std::vector<config_problem> findProblems(const service_config &service);

// checks one service by itself; InvalidConfiguration names the first field of findProblems()
absl::Status validate(const service_config &service);

void toJson(nlohmann::json &out, const service_config &service);

// InvalidConfiguration names the field that is missing, unknown or out of range
absl::StatusOr<service_config> serviceFromJson(const nlohmann::json &in);

std::string_view nameOf(route_kind kind);
std::string_view nameOf(route_access access);
std::string_view nameOf(urgency kind);
std::string_view nameOf(endpoint_role role);
std::string_view nameOf(endpoint_condition condition);

} // namespace plantainpoint
