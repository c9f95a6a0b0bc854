// Parses IP addresses with ports, written IP:PORT or [IPv6]:PORT.
#pragma once

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace plantainpoint {

// Returns nullopt if the text is not an IP address and a port. Host names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text);

// Returns whether the text is an address to which something can be sent. Port 0 only means any free port to listen on.
bool isPeerAddress(std::string_view text);

} // namespace plantainpoint
