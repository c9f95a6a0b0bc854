#include "endpoint_proxy.hpp"

#include <array>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "address.hpp"
#include "proxy_request.hpp"

namespace plantainpoint {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::steady_clock;

namespace {

// Two connections a tunnel. The callers of this VM come first: they have the larger part of its descriptors, memory and time.
constexpr std::size_t maxTunnels = 128;
constexpr std::size_t bufferSize = 16 * 1024UL; // Bytes in each direction. A side that does not read stops the other one.
constexpr auto connectTime = std::chrono::milliseconds{150}; // The VM that asks waits for 500 ms, in which two endpoints may be tried.
constexpr auto quietTime = std::chrono::seconds{1}; // Longer than the pauses between the events of a stream.
constexpr auto silentPeerTime = std::chrono::seconds{3}; // A peer that acknowledges nothing for this time is gone.

auto withError(boost::system::error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

// Makes the socket end with a reset unless it is shut down first, also when this process is killed: an answer without a length would otherwise look whole.
void prepare(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    const auto timeoutMs = static_cast<int>(std::chrono::milliseconds{silentPeerTime}.count());
    constexpr int probeSeconds = 1;
    const auto setOption = [&](int level, int option, int value) { ::setsockopt(socket.native_handle(), level, option, &value, sizeof value); };
    setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, timeoutMs);
    setOption(SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(IPPROTO_TCP, TCP_KEEPIDLE, probeSeconds);
    setOption(IPPROTO_TCP, TCP_KEEPINTVL, probeSeconds);
}

std::string joined(const std::vector<std::string> &values)
{
    std::string out;
    for (const auto &value : values) {
        out += (out.empty() ? "" : ",") + value;
    }
    return out;
}

std::int64_t parseRun(boost::beast::string_view text)
{
    std::int64_t value = -1;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

struct endpoint_proxy::tunnel {
    tunnel(tcp::socket callerSocket, tcp::socket endpointSocket, memory_share bufferShare)
        : caller(std::move(callerSocket))
        , endpoint(std::move(endpointSocket))
        , buffers(std::move(bufferShare))
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        caller.close(ignored);
        endpoint.close(ignored);
    }

    tcp::socket caller;
    tcp::socket endpoint;
    memory_share buffers; // Counts the buffers of both directions.
    steady_clock::time_point lastBytesAt = steady_clock::now();
    bool answered = true; // The last bytes came from the endpoint, or there were none.
    int endedSides = 0;
};

endpoint_proxy::endpoint_proxy(asio::io_context &io, admission admit, const line_logger &logger, std::shared_ptr<memory_budget> memory)
    : m_io(io)
    , m_admit(std::move(admit))
    , m_logger(logger)
    , m_memory(std::move(memory))
{
}

std::size_t endpoint_proxy::openTunnels()
{
    std::erase_if(m_tunnels, [](const auto &each) { return each.expired(); });
    return m_tunnels.size();
}

void endpoint_proxy::closeQuiet()
{
    const auto now = steady_clock::now();
    for (const auto &each : m_tunnels) {
        const auto open = each.lock();
        if (open && open->answered && now - open->lastBytesAt >= quietTime) {
            open->close();
        }
    }
}

// Returns whether the address accepts a connection in time.
asio::awaitable<bool> endpoint_proxy::connect(tcp::socket &socket, const std::string &address)
{
    const auto target = parseAddress(address);
    if (!target) {
        co_return false;
    }
    using namespace asio::experimental::awaitable_operators;
    asio::steady_timer timer(m_io, connectTime);
    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    const auto first = co_await (socket.async_connect(*target, asTuple) || timer.async_wait(asTuple));
    co_return first.index() == 0 && !std::get<0>(std::get<0>(first));
}

asio::awaitable<bool> endpoint_proxy::reachesAny(const std::vector<std::string> &addresses)
{
    for (const auto &address : addresses) {
        tcp::socket socket(m_io);
        if (co_await connect(socket, address)) {
            co_return true;
        }
    }
    co_return false;
}

asio::awaitable<void> endpoint_proxy::refuse(tcp::socket &caller, http::status status, const std::string &reason, const proxy_admission &admitted)
{
    ++m_refused;
    http::response<http::string_body> response{status, 11};
    response.set(proxiesHeader, joined(admitted.otherProxies));
    response.keep_alive(false);
    response.body() = reason;
    response.prepare_payload();
    boost::system::error_code error;
    co_await http::async_write(caller, response, withError(error));
    caller.shutdown(tcp::socket::shutdown_send, error);
}

asio::awaitable<void> endpoint_proxy::serve(tcp::socket caller, request_type request)
{
    const auto name = request[endpointHeader];
    const auto admitted = m_admit({std::string(name.data(), name.size())}, parseRun(request[endpointRunHeader]));
    if (!admitted.refusal.empty()) {
        co_await refuse(caller, http::status::service_unavailable, admitted.refusal, admitted);
        co_return;
    }
    if (openTunnels() >= maxTunnels) {
        co_await refuse(caller, http::status::service_unavailable, "too many connections", admitted);
        co_return;
    }
    memory_share buffers(m_memory);
    if (!buffers.take(2 * bufferSize)) {
        co_await refuse(caller, http::status::service_unavailable, "no memory", admitted);
        co_return;
    }
    tcp::socket endpoint(m_io);
    if (!co_await connect(endpoint, admitted.address)) {
        // An endpoint that cannot be connected to is down only if this VM is not cut off as well.
        const bool isDown = co_await reachesAny(admitted.otherAddresses);
        co_await refuse(caller, isDown ? http::status::bad_gateway : http::status::service_unavailable, isDown ? "not reached" : "no way", admitted);
        co_return;
    }
    http::response<http::empty_body> response{http::status::ok, 11};
    response.set(proxiesHeader, joined(admitted.otherProxies));
    boost::system::error_code error;
    co_await http::async_write(caller, response, withError(error));
    if (error) {
        co_return;
    }
    ++m_served;
    prepare(caller);
    prepare(endpoint);
    auto open = std::make_shared<tunnel>(std::move(caller), std::move(endpoint), std::move(buffers));
    m_tunnels.push_back(open);
    asio::co_spawn(m_io, pass(open, false), asio::detached);
    asio::co_spawn(m_io, pass(open, true), asio::detached);
}

asio::awaitable<void> endpoint_proxy::pass(std::shared_ptr<tunnel> open, bool fromEndpoint)
{
    auto &from = fromEndpoint ? open->endpoint : open->caller;
    auto &to = fromEndpoint ? open->caller : open->endpoint;
    std::vector<char> buffer(bufferSize);
    bool discarding = false;
    boost::system::error_code error;
    for (;;) {
        const auto size = co_await from.async_read_some(asio::buffer(buffer), withError(error));
        if (error) {
            break;
        }
        open->lastBytesAt = steady_clock::now();
        open->answered = fromEndpoint;
        if (discarding) {
            continue;
        }
        co_await asio::async_write(to, asio::buffer(buffer.data(), size), withError(error));
        if (error == asio::error::broken_pipe && !fromEndpoint) {
            // The endpoint has ended its answer and takes no more of the request. The answer still passes. The rest of the request is read, as a close with
            // unread bytes would destroy the answer on its way.
            discarding = true;
        } else if (error) {
            break;
        }
    }
    boost::system::error_code ignored;
    if (error != asio::error::eof) {
        open->close();
        co_return;
    }
    to.shutdown(tcp::socket::shutdown_send, ignored);
    if (++open->endedSides == 2) {
        open->caller.set_option(asio::socket_base::linger(false, 0), ignored);
        open->endpoint.set_option(asio::socket_base::linger(false, 0), ignored);
        open->close();
    }
}

} // namespace plantainpoint
