// The request for a connection through another VM: CONNECT, with the endpoint and its run in headers. The answer names further VMs that may be asked.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

namespace plantainpoint {

inline constexpr const char *endpointHeader = "Endpoint"; // Name of the endpoint.
inline constexpr const char *endpointRunHeader = "Endpoint-Started"; // Start of its run.
inline constexpr const char *proxiesHeader = "Proxies"; // Addresses IP:PORT, separated by commas.

// The way to an endpoint through a proxy.
struct proxy_route {
    std::string proxy; // IP:PORT of the VM.
    std::string endpoint;
    std::int64_t startedAt = 0; // Start of the endpoint's run.
    std::function<void(std::vector<std::string>)> onProxiesNamed; // Gets the addresses of the answer. It may be empty.
};

enum class proxy_answer : std::uint8_t {
    Connected,
    EndpointUnreachable, // The proxy does not reach this endpoint, but others.
    Refused, // The proxy does not serve, or its answer cannot be read.
};

// Sends the request on a socket that is connected to the proxy and passes the answer on. The socket has to live until then; closing it ends the request.
void requestProxy(boost::asio::ip::tcp::socket &socket, const std::string &address, proxy_route route, std::function<void(proxy_answer)> handler);

// Returns the addresses of a header value. What is no address is left out.
std::vector<std::string> parseProxies(std::string_view text);

} // namespace plantainpoint
