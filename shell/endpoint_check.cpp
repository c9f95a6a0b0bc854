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

constexpr auto checkDelay = std::chrono::milliseconds{50}; // A process that ends may close its connections before the socket that listens.
constexpr auto connectTime = std::chrono::milliseconds{500}; // An address without a listener refuses a connection within a round trip.
// A busy machine may take this long to close the socket of a process that has ended.
constexpr auto watchTime = std::chrono::milliseconds{1000};
constexpr int minDropped = 3; // Connections that ended by themselves. A sound endpoint keeps one for longer than the check.
constexpr auto initialRetryDelay = std::chrono::milliseconds{20}; // Pause between a connection that ended and the next one. It doubles each time.

// Connects to the endpoint and watches the connection: the system ends it when the listener goes, and the next one is then refused.
class endpoint_watch : public std::enable_shared_from_this<endpoint_watch>
{
public:
    endpoint_watch(asio::io_context &io, endpoint_name endpoint, const asio::ip::tcp::endpoint &address, std::function<void(endpoint_checked)> handler)
        : m_socket(io)
        , m_timer(io)
        , m_endpoint(std::move(endpoint))
        , m_address(address)
        , m_handler(std::move(handler))
    {
    }

    void start()
    {
        m_endsAt = std::chrono::steady_clock::now() + checkDelay + watchTime;
        connectAfter(checkDelay);
    }

private:
    void connectAfter(std::chrono::milliseconds delay) { wait(std::chrono::steady_clock::now() + delay, &endpoint_watch::connect); }

    void connect()
    {
        const auto now = std::chrono::steady_clock::now();
        if (now >= m_endsAt) {
            finish(false);
            return;
        }
        wait(now + connectTime, &endpoint_watch::giveUp);
        m_socket.async_connect(m_address, [self = shared_from_this()](const boost::system::error_code &error) { self->onConnected(error); });
    }

    void onConnected(const boost::system::error_code &error)
    {
        if (error) {
            finish(error == asio::error::connection_refused);
            return;
        }
        wait(m_endsAt, &endpoint_watch::giveUp);
        m_socket.async_read_some(asio::buffer(m_byte), [self = shared_from_this()](const boost::system::error_code &readError, std::size_t) {
            if (self->m_handler) {
                self->onConnectionEnded(readError);
            }
        });
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
            handler({m_endpoint, refused, !refused && m_droppedConnections >= minDropped});
        }
    }

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    endpoint_name m_endpoint;
    asio::ip::tcp::endpoint m_address;
    std::function<void(endpoint_checked)> m_handler;
    std::chrono::steady_clock::time_point m_endsAt;
    int m_droppedConnections = 0;
    std::chrono::milliseconds m_retryDelay = initialRetryDelay;
    std::array<char, 1> m_byte{};
};

} // namespace

void checkEndpoint(asio::io_context &io, const check_endpoint &command, std::function<void(endpoint_checked)> handler)
{
    const auto address = parseAddress(command.address);
    if (!address) {
        asio::post(io, [name = command.endpoint, handler = std::move(handler)] { handler({name, false}); });
        return;
    }
    std::make_shared<endpoint_watch>(io, command.endpoint, *address, std::move(handler))->start();
}

} // namespace plantainpoint
