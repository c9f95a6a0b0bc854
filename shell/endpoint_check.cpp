#include "endpoint_check.hpp"

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
constexpr auto checkTime = std::chrono::milliseconds{500}; // An address without a listener refuses a connection within a round trip.

class connection_attempt : public std::enable_shared_from_this<connection_attempt>
{
public:
    connection_attempt(asio::io_context &io, endpoint_name endpoint, std::function<void(endpoint_checked)> handler)
        : m_socket(io)
        , m_timer(io)
        , m_endpoint(std::move(endpoint))
        , m_handler(std::move(handler))
    {
    }

    void start(const asio::ip::tcp::endpoint &address)
    {
        m_timer.expires_after(checkDelay);
        m_timer.async_wait([self = shared_from_this(), address](const boost::system::error_code &error) {
            if (!error) {
                self->connect(address);
            }
        });
    }

private:
    void connect(const asio::ip::tcp::endpoint &address)
    {
        m_timer.expires_after(checkTime);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->finish(false);
            }
        });
        m_socket.async_connect(address,
                               [self = shared_from_this()](const boost::system::error_code &error) { self->finish(error == asio::error::connection_refused); });
    }

    void finish(bool refused)
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
        if (const auto handler = std::exchange(m_handler, nullptr)) {
            handler({m_endpoint, refused});
        }
    }

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    endpoint_name m_endpoint;
    std::function<void(endpoint_checked)> m_handler;
};

} // namespace

void checkEndpoint(asio::io_context &io, const check_endpoint &command, std::function<void(endpoint_checked)> handler)
{
    const auto address = parseAddress(command.address);
    if (!address) {
        asio::post(io, [name = command.endpoint, handler = std::move(handler)] { handler({name, false}); });
        return;
    }
    std::make_shared<connection_attempt>(io, command.endpoint, std::move(handler))->start(*address);
}

} // namespace plantainpoint
