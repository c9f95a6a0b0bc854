// Connects other VMs, which have lost their way to an endpoint, with it. The bytes pass through unchanged, and the requests stay with those VMs.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>

#include "logging.hpp"
#include "memory_budget.hpp"
#include "plantainpoint/relay_core.hpp"

namespace plantainpoint {

class endpoint_proxy
{
public:
    using request_type = boost::beast::http::request<boost::beast::http::empty_body>;
    // Decides whether a VM may be connected with an endpoint in one of its runs.
    using admission = std::function<proxy_admission(const endpoint_name &, std::int64_t startedAt)>;

    // The arguments passed by reference have to outlive the proxy.
    endpoint_proxy(boost::asio::io_context &io,
                   admission admit,
                   const line_logger &logger,
                   std::shared_ptr<memory_budget> memory = std::make_shared<memory_budget>());

    // Answers a CONNECT request and passes the bytes of both sides on until one of them ends.
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket caller, request_type request);

    std::size_t openTunnels();
    std::uint64_t servedTunnels() const { return m_served; }
    std::uint64_t refusedTunnels() const { return m_refused; }
    // Closes the tunnels in which the endpoint has answered and nothing has followed for a while.
    void closeQuiet();

private:
    struct tunnel;

    boost::asio::awaitable<bool> connect(boost::asio::ip::tcp::socket &socket, const std::string &address);
    boost::asio::awaitable<bool> reachesAny(const std::vector<std::string> &addresses);
    boost::asio::awaitable<void>
    refuse(boost::asio::ip::tcp::socket &caller, boost::beast::http::status status, const std::string &reason, const proxy_admission &admitted);
    boost::asio::awaitable<void> pass(std::shared_ptr<tunnel> open, bool fromEndpoint);

    boost::asio::io_context &m_io;
    admission m_admit;
    const line_logger &m_logger;
    std::shared_ptr<memory_budget> m_memory;
    std::list<std::weak_ptr<tunnel>> m_tunnels;
    std::uint64_t m_served = 0;
    std::uint64_t m_refused = 0;
};

} // namespace plantainpoint
