// The configuration that operators publish: services with their routes, endpoints, client accounts, keys and limits.
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

// Each request takes one token of its account's bucket, counted as a million micro-tokens.
inline constexpr std::int64_t microTokensPerRequest = 1'000'000;

// Number of tokens in a KV block, the unit of an engine's KV memory.
inline constexpr std::int32_t tokensPerKvBlock = 2'000;

// Estimated length of a prompt token in bytes.
inline constexpr std::int32_t bytesPerToken = 4;

// Common prefixes of prompts are found in steps of this many bytes.
inline constexpr std::int32_t prefixBytesPerKvBlock = tokensPerKvBlock * bytesPerToken;

// SHA-256 digest of a key.
using key_digest = std::array<std::uint8_t, 32>;

// Returns the SHA-256 digest of the key's bytes.
key_digest digestOf(std::string_view key);

// Compares two digests in a time that does not depend on their contents.
bool equalInConstantTime(const key_digest &a, const key_digest &b);

std::string toHex(const key_digest &digest);

// Returns InvalidConfiguration if the text is not 64 hexadecimal digits.
absl::StatusOr<key_digest> parseDigest(std::string_view hex);

struct rate_limit {
    std::int64_t rate = 0; // Micro-tokens per second.
    std::int64_t burst = 0; // Micro-tokens.

    bool operator==(const rate_limit &) const = default;
};

struct client_account {
    account_name name;
    rate_limit limit;
    std::int32_t maxConnections = 1000; // Per VM.

    bool operator==(const client_account &) const = default;
};

struct account_key {
    std::string id; // Shown to operators instead of the key.
    key_digest digest{};
    account_name account;

    bool operator==(const account_key &) const = default;
};

enum class route_kind : std::uint8_t {
    Model,
    Lookup, // Idempotent, so that it may be repeated.
    Booking, // Not idempotent, so that it must not be repeated.
};

enum class route_access : std::uint8_t {
    Keyed,
    Open,
};

struct route {
    std::string method;
    std::string path; // A trailing '*' matches any suffix.
    route_kind kind = route_kind::Lookup;
    route_access access = route_access::Keyed;
    std::chrono::milliseconds deadline{30'000};

    bool operator==(const route &) const = default;
};

// Interactive requests need their first token within a target time; batch requests may wait.
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
    std::string address; // IP:PORT.
    data_centre_name dataCentre;
    region_name region;
    endpoint_role role = endpoint_role::Plain;
    endpoint_condition condition = endpoint_condition::Ready;
    model_name model; // Empty for plain endpoints.
    bool checksFencing = false;
    std::int32_t slots = 20; // Maximum number of concurrent requests.
    std::int32_t kvBlocks = 160; // Size of the engine's KV memory, in blocks of tokensPerKvBlock tokens.
    std::int64_t prefillTokensPerSecond = 20'000;
    std::int64_t linkBytesPerSecond = 10'000'000'000;
    std::int64_t kvBytesPerToken = 100'000;

    bool operator==(const endpoint &) const = default;
};

// Weight between goodput (0) and the worst-served client account (1).
using fairness_weight = double;

struct service_config {
    service_name name;
    std::vector<route> routes;
    std::vector<model_entry> models;
    std::vector<endpoint> endpoints;
    std::vector<client_account> accounts; // Accounts that this service defines. Their names are unique in the fleet.
    std::vector<account_name> clients; // Accounts that may call the service. If empty, the accounts that it defines may.
    std::vector<account_key> keys;
    fairness_weight fairness = 0.2;
    std::chrono::milliseconds firstTokenTarget{930};
    std::chrono::milliseconds tokenIntervalTarget{36};

    bool operator==(const service_config &) const = default;
};

// An invalid field, such as "accounts[2].limit.rate", and the reason.
struct config_problem {
    std::string field;
    std::string text;

    bool operator==(const config_problem &) const = default;
};

// Returns all problems of one service, checked without other services, in the order of its fields.
std::vector<config_problem> findProblems(const service_config &service);

// Checks one service without other services. Returns InvalidConfiguration with the first problem that findProblems() finds.
absl::Status validate(const service_config &service);

void toJson(nlohmann::json &out, const service_config &service);

// Returns InvalidConfiguration, naming the field, if a field is missing, unknown or invalid.
absl::StatusOr<service_config> serviceFromJson(const nlohmann::json &in);

std::string_view nameOf(route_kind kind);
std::string_view nameOf(route_access access);
std::string_view nameOf(urgency kind);
std::string_view nameOf(endpoint_role role);
std::string_view nameOf(endpoint_condition condition);

} // namespace plantainpoint
