// Checks whether an endpoint can be connected to, directly or through a proxy.
#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>

#include "plantainpoint/relay.hpp"
#include "proxy_request.hpp"

namespace plantainpoint {

// Connects, closes the connection and passes the result on. The context has to outlive the probe.
void probeEndpoint(boost::asio::io_context &io,
                   const probe_endpoint &command,
                   std::function<void(std::vector<std::string>)> onProxiesNamed,
                   std::function<void(endpoint_probed)> handler);

} // namespace plantainpoint
