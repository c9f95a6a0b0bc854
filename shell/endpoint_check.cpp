#include "endpoint_check.hpp"

#include <array>
#include <chrono>
#include <memory>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "address.hpp"

namespace plantainpoint {

namespace asio = boost::asio;

namespace {

constexpr int minDropped = 3; // Connections that ended by themselves. A sound endpoint keeps one for longer than the check.

// Connects to the endpoint and watches the connection: the system ends it when the listener goes, and the next one is then refused.
class endpoint_watch : public std::enable_shared_from_this<endpoint_watch>
{
public:
    endpoint_watch(asio::io_context &io,
                   endpoint_name endpoint,
                   const asio::ip::tcp::endpoint &address,
                   std::function<void(endpoint_checked)> handler,
                   const endpoint_check_times &times)
        : m_times(times)
        , m_socket(io)
        , m_timer(io)
        , m_endpoint(std::move(endpoint))
        , m_address(address)
        , m_handler(std::move(handler))
        , m_retryDelay(times.retry)
    {
    }

    void start()
    {
        m_endsAt = std::chrono::steady_clock::now() + m_times.delay + m_times.watch;
        connectAfter(m_times.delay);
    }

private:
    void connectAfter(std::chrono::steady_clock::duration delay) { wait(std::chrono::steady_clock::now() + delay, &endpoint_watch::connect); }

    void connect()
    {
        const auto now = std::chrono::steady_clock::now();
        if (now >= m_endsAt) {
            finish(false);
            return;
        }
        wait(now + m_times.connect, &endpoint_watch::connectAgain);
        m_socket.async_connect(m_address, [self = shared_from_this()](const boost::system::error_code &error) { self->onConnected(error); });
    }

    void onConnected(const boost::system::error_code &error)
    {
        if (error == asio::error::operation_aborted) {
            return;
        }
        // A connection that the listener takes along when it is closed may end before this process has noticed that it was established.
        if (error == asio::error::connection_reset) {
            onConnectionEnded(error);
            return;
        }
        if (error) {
            finish(error == asio::error::connection_refused);
            return;
        }
        m_accepted = true;
        wait(m_endsAt, &endpoint_watch::giveUp);
        m_socket.async_read_some(asio::buffer(m_byte), [self = shared_from_this()](const boost::system::error_code &readError, std::size_t) {
            if (self->m_handler) {
                self->onConnectionEnded(readError);
            }
        });
    }

    // An endpoint whose queue of connections is full leaves the request for one unanswered, and one that ends then never answers it.
    void connectAgain()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        connect();
    }

    void onConnectionEnded(const boost::system::error_code &error)
    {
        // Bytes without a request come from a process that runs.
        if (!error) {
            finish(false);
            return;
        }
        ++m_droppedConnections;
        boost::system::error_code ignored;
        m_socket.close(ignored);
        connectAfter(std::exchange(m_retryDelay, m_retryDelay * 2));
    }

    void giveUp() { finish(false); }

    void wait(std::chrono::steady_clock::time_point until, void (endpoint_watch::*next)())
    {
        m_timer.expires_at(until);
        m_timer.async_wait([self = shared_from_this(), next](const boost::system::error_code &error) {
            if (!error && self->m_handler) {
                (self.get()->*next)();
            }
        });
    }

    void finish(bool refused)
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
        if (const auto handler = std::exchange(m_handler, nullptr)) {
            handler({m_endpoint, refused, !refused && m_droppedConnections >= minDropped, m_accepted});
        }
    }

    endpoint_check_times m_times;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    endpoint_name m_endpoint;
    asio::ip::tcp::endpoint m_address;
    std::function<void(endpoint_checked)> m_handler;
    std::chrono::steady_clock::time_point m_endsAt;
    int m_droppedConnections = 0;
    bool m_accepted = false; // A connection was established.
    std::chrono::steady_clock::duration m_retryDelay;
    std::array<char, 1> m_byte{};
};

} // namespace

void checkEndpoint(asio::io_context &io, const check_endpoint &command, std::function<void(endpoint_checked)> handler, const endpoint_check_times &times)
{
    const auto address = parseAddress(command.address);
    if (!address) {
        asio::post(io, [name = command.endpoint, handler = std::move(handler)] { handler({name, false}); });
        return;
    }
    std::make_shared<endpoint_watch>(io, command.endpoint, *address, std::move(handler), times)->start();
}

} // namespace plantainpoint
