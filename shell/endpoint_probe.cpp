#include "endpoint_probe.hpp"

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

constexpr auto directTime = std::chrono::milliseconds{250};
constexpr auto watchTime = std::chrono::milliseconds{40};
constexpr auto proxyTime = std::chrono::milliseconds{500}; // The proxy may try two endpoints before it answers.

class probe : public std::enable_shared_from_this<probe>
{
public:
    probe(asio::io_context &io, const probe_endpoint &command, std::function<void(endpoint_probed)> handler)
        : m_socket(io)
        , m_timer(io)
        , m_command(command)
        , m_handler(std::move(handler))
    {
    }

    void start(const asio::ip::tcp::endpoint &address, std::function<void(std::vector<std::string>)> onProxiesNamed)
    {
        m_timer.expires_after(m_command.proxy.empty() ? directTime : proxyTime);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->finish(self->failure());
            }
        });
        m_socket.async_connect(address, [self = shared_from_this(), onProxiesNamed = std::move(onProxiesNamed)](const boost::system::error_code &error) {
            if (error) {
                self->finish(self->failure());
            } else if (self->m_command.proxy.empty()) {
                self->watch();
            } else {
                self->askProxy(onProxiesNamed);
            }
        });
    }

private:
    probe_result failure() const { return m_command.proxy.empty() ? probe_result::Unreachable : probe_result::ProxyFailed; }

    void askProxy(const std::function<void(std::vector<std::string>)> &onProxiesNamed)
    {
        requestProxy(m_socket,
                     m_command.address,
                     {m_command.proxy, m_command.endpoint.value, m_command.startedAt, onProxiesNamed},
                     [self = shared_from_this()](proxy_answer answer) {
                         if (answer == proxy_answer::Connected) {
                             self->watch();
                         } else {
                             self->finish(answer == proxy_answer::EndpointUnreachable ? probe_result::Unreachable : probe_result::ProxyFailed);
                         }
                     });
    }

    // A connection may be accepted and reset on the way.
    void watch()
    {
        m_timer.expires_after(watchTime);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->finish(probe_result::Reached);
            }
        });
        m_socket.async_read_some(asio::buffer(m_byte),
                                 [self = shared_from_this()](const boost::system::error_code &, std::size_t) { self->finish(self->failure()); });
    }

    void finish(probe_result result)
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
        if (const auto handler = std::exchange(m_handler, nullptr)) {
            handler({m_command.endpoint, m_command.proxy, result});
        }
    }

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    probe_endpoint m_command;
    std::function<void(endpoint_probed)> m_handler;
    std::array<char, 1> m_byte{};
};

} // namespace

void probeEndpoint(asio::io_context &io,
                   const probe_endpoint &command,
                   std::function<void(std::vector<std::string>)> onProxiesNamed,
                   std::function<void(endpoint_probed)> handler)
{
    const auto address = parseAddress(command.proxy.empty() ? command.address : command.proxy);
    if (!address) {
        const auto result = command.proxy.empty() ? probe_result::Unreachable : probe_result::ProxyFailed;
        asio::post(io, [command, result, handler = std::move(handler)] { handler({command.endpoint, command.proxy, result}); });
        return;
    }
    std::make_shared<probe>(io, command, std::move(handler))->start(*address, std::move(onProxiesNamed));
}

} // namespace plantainpoint
