#include "plantainpoint/config.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "field_codec.hpp"

namespace plantainpoint {

namespace {

constexpr std::string_view hexDigits = "0123456789abcdef";

std::optional<std::uint8_t> hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return static_cast<std::uint8_t>(c - '0');
    }
    if (c >= 'a' && c <= 'f') {
        return static_cast<std::uint8_t>(c - 'a' + 10);
    }
    if (c >= 'A' && c <= 'F') {
        return static_cast<std::uint8_t>(c - 'A' + 10);
    }
    return std::nullopt;
}

template<class Enum>
std::string_view enumeratorName(Enum value, std::initializer_list<std::string_view> names)
{
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names.begin()[index] : std::string_view{"unknown"};
}

} // namespace

key_digest digestOf(std::string_view key)
{
    key_digest digest;
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return digest;
}

bool equalInConstantTime(const key_digest &a, const key_digest &b)
{
    return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string toHex(const key_digest &digest)
{
    std::string text;
    text.reserve(2 * digest.size());
    for (const auto byte : digest) {
        text += hexDigits[byte >> 4];
        text += hexDigits[byte & 0xf];
    }
    return text;
}

absl::StatusOr<key_digest> parseDigest(std::string_view hex)
{
    key_digest digest;
    if (hex.size() != 2 * digest.size()) {
        return makeStatus(failure::InvalidConfiguration, "digest does not have 64 hexadecimal digits");
    }
    for (std::size_t i = 0; i < digest.size(); ++i) {
        const auto high = hexValue(hex[2 * i]);
        const auto low = hexValue(hex[2 * i + 1]);
        if (!high || !low) {
            return makeStatus(failure::InvalidConfiguration, "digest does not have 64 hexadecimal digits");
        }
        digest[i] = static_cast<std::uint8_t>(*high << 4 | *low);
    }
    return digest;
}

absl::Status validate(const service_config &service)
{
    const auto problems = findProblems(service);
    if (problems.empty()) {
        return absl::OkStatus();
    }
    return makeStatus(failure::InvalidConfiguration, problems.front().field + " " + problems.front().text);
}

void toJson(nlohmann::json &out, const service_config &service)
{
    out = encodeFields(service, bytes_form::Base64);
}

absl::StatusOr<service_config> serviceFromJson(const nlohmann::json &in)
try {
    service_config service;
    read_state state{bytes_form::Base64, {}};
    if (!decodeFields(in, service, state)) {
        return makeStatus(failure::InvalidConfiguration, state.error);
    }
    if (auto status = validate(service); !status.ok()) {
        return status;
    }
    return service;
} catch (const std::exception &error) {
    return makeStatus(failure::InvalidConfiguration, error.what());
}

std::string_view nameOf(route_kind kind)
{
    return enumeratorName(kind, {"model", "lookup", "booking"});
}

std::string_view nameOf(route_access access)
{
    return enumeratorName(access, {"keyed", "open"});
}

std::string_view nameOf(urgency kind)
{
    return enumeratorName(kind, {"interactive", "batch"});
}

std::string_view nameOf(endpoint_role role)
{
    return enumeratorName(role, {"prefill", "decode", "plain"});
}

std::string_view nameOf(endpoint_condition condition)
{
    return enumeratorName(condition, {"ready", "leaving"});
}

} // namespace plantainpoint
