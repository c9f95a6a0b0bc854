#include "peer_handshake.hpp"

#include <array>
#include <stdexcept>

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace plantainpoint {

using nlohmann::json;

namespace {

constexpr std::size_t nonceSize = 32; // Bytes.
constexpr std::size_t proofSize = 32; // Bytes of an HMAC-SHA256.

std::string toHexText(const unsigned char *bytes, std::size_t size)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bitsPerDigit = 4;
    constexpr unsigned digitMask = 0xf;
    std::string out;
    for (std::size_t i = 0; i < size; ++i) {
        out += digits[bytes[i] >> bitsPerDigit];
        out += digits[bytes[i] & digitMask];
    }
    return out;
}

// Appends a field after its length, so that two different lists of fields never give the same text.
void appendField(std::string &out, std::string_view field)
{
    out += std::to_string(field.size());
    out += ':';
    out += field;
}

} // namespace

std::string makeNonce()
{
    std::array<unsigned char, nonceSize> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error("the random number generator of the TLS library failed");
    }
    return toHexText(bytes.data(), bytes.size());
}

std::string helloText(const peer_hello &hello)
{
    return json{{"vm", hello.vm.value}, {"nonce", hello.nonce}}.dump();
}

std::optional<peer_hello> parseHello(std::string_view text)
{
    const auto value = json::parse(text.begin(), text.end(), nullptr, false);
    if (!value.is_object() || !value.contains("vm") || !value["vm"].is_string() || !value.contains("nonce") || !value["nonce"].is_string()) {
        return std::nullopt;
    }
    peer_hello hello{vm_name{value["vm"].get<std::string>()}, value["nonce"].get<std::string>()};
    return hello.vm.empty() || hello.nonce.size() != 2 * nonceSize ? std::nullopt : std::optional{std::move(hello)};
}

std::string proofOf(std::string_view fleetKey, handshake_side side, const peer_hello &dialer, const peer_hello &acceptor)
{
    std::string text;
    appendField(text, side == handshake_side::Dialer ? "dialer" : "acceptor");
    appendField(text, dialer.vm.value);
    appendField(text, acceptor.vm.value);
    appendField(text, dialer.nonce);
    appendField(text, acceptor.nonce);
    std::array<unsigned char, proofSize> mac{};
    unsigned size = proofSize;
    HMAC(
        EVP_sha256(), fleetKey.data(), static_cast<int>(fleetKey.size()), reinterpret_cast<const unsigned char *>(text.data()), text.size(), mac.data(), &size);
    return toHexText(mac.data(), size);
}

bool proofsEqual(std::string_view expected, std::string_view received)
{
    return expected.size() == received.size() && CRYPTO_memcmp(expected.data(), received.data(), expected.size()) == 0;
}

} // namespace plantainpoint
