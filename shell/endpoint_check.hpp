// Finds out whether anything listens at the address of an endpoint.
#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "plantainpoint/relay.hpp"

namespace plantainpoint {

// Connects a moment later, watches the connection for a second, and calls the handler once, never inside this function. When the connection ends, another
// one is tried. Reports a refused connection at once, and otherwise that none was refused, also when the address cannot be parsed.
void checkEndpoint(boost::asio::io_context &io, const check_endpoint &command, std::function<void(endpoint_checked)> handler);

} // namespace plantainpoint
