// Handshake in which two VMs that connect prove to each other that they hold the fleet key.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "plantainpoint/ids.hpp"

namespace plantainpoint {

enum class handshake_side : std::uint8_t {
    Dialer,
    Acceptor,
};

// The first message of each side.
struct peer_hello {
    vm_name vm;
    std::string nonce; // 64 hexadecimal digits.
};

// Returns a nonce from the random number generator of the TLS library.
std::string makeNonce();

std::string helloText(const peer_hello &hello);
// Returns nothing when the text is not a valid hello.
std::optional<peer_hello> parseHello(std::string_view text);

// Returns the HMAC-SHA256 of the side, both names and both nonces in hexadecimal. The side is included to prevent reflection attacks.
std::string proofOf(std::string_view fleetKey, handshake_side side, const peer_hello &dialer, const peer_hello &acceptor);

// Compares two proofs in constant time, independent of their contents.
bool proofsEqual(std::string_view expected, std::string_view received);

} // namespace plantainpoint
