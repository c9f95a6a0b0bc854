// Finds out whether anything listens at the address of an endpoint.
#pragma once

#include <chrono>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "plantainpoint/relay.hpp"

namespace plantainpoint {

struct endpoint_check_times {
    std::chrono::steady_clock::duration delay = std::chrono::milliseconds{50}; // A process that ends may close its connections before its listener.
    // A busy machine may take this long to close the socket of a process that has ended.
    std::chrono::steady_clock::duration watch = std::chrono::milliseconds{1000};
    // An address without a listener refuses a connection within a round trip.
    std::chrono::steady_clock::duration connect = std::chrono::milliseconds{500};
    // Pause between a connection that ended and the next one. It doubles each time.
    std::chrono::steady_clock::duration retry = std::chrono::milliseconds{20};
};

// Connects after the delay, watches the connection, and calls the handler once, never inside this function. When the connection ends, another one is tried.
// Reports a refused connection at once, and otherwise that none was refused, also when the address cannot be parsed.
void checkEndpoint(boost::asio::io_context &io,
                   const check_endpoint &command,
                   std::function<void(endpoint_checked)> handler,
                   const endpoint_check_times &times = {});

} // namespace plantainpoint
