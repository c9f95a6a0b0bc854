// Finds out whether anything listens at the address of an endpoint.
#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "plantainpoint/relay.hpp"

namespace plantainpoint {

// Opens a connection a moment later, closes it and calls the handler once, never inside this function. A connection that is not refused within the time, or an
// address that cannot be parsed, counts as not refused.
void checkEndpoint(boost::asio::io_context &io, const check_endpoint &command, std::function<void(endpoint_checked)> handler);

} // namespace plantainpoint
