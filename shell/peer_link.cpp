#include "peer_link.hpp"

#include <utility>
#include <vector>

#include "address.hpp"
#include "peer_connection.hpp"
#include "plantainpoint/peer.hpp"

namespace plantainpoint {

namespace asio = boost::asio;

namespace {

constexpr auto sweepInterval = std::chrono::milliseconds{500};
constexpr auto reconnectPause = std::chrono::milliseconds{250};
constexpr auto acceptPause = std::chrono::milliseconds{50}; // Applies after a failure such as too many open files.
constexpr std::size_t maxIncoming = 2048; // Connections.

template<std::size_t... Index>
std::vector<std::string> methodsOf(std::index_sequence<Index...> /*indices*/)
{
    return {std::string{methodOf(peer_body{std::in_place_index<Index>})}...};
}

} // namespace

peer_link::peer_link(
    asio::io_context &io, vm_name self, std::string fleetKey, const clock_source &clock, input_sink sink, const line_logger &logger, shell_metrics &metrics)
    : m_context{io,
                std::move(self),
                std::move(fleetKey),
                clock,
                std::move(sink),
                logger,
                metrics,
                rpc_codec{methodsOf(std::make_index_sequence<std::variant_size_v<peer_body>>{})},
                {}}
    , m_acceptor(io)
    , m_acceptTimer(io)
    , m_sweepTimer(io)
{
}

peer_link::~peer_link()
{
    m_context.sink = [](const input &) {};
    closeAll();
}

absl::Status peer_link::listen(const std::string &address)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint) {
        return makeStatus(failure::InvalidSettings, "peer: " + address + " is not IP:PORT");
    }
    try {
        m_acceptor.open(endpoint->protocol());
        m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        m_acceptor.bind(*endpoint);
        m_acceptor.listen();
    } catch (const boost::system::system_error &error) {
        return makeStatus(failure::InvalidSettings, "peer: " + address + ": " + error.code().message());
    }
    accept();
    scheduleSweep();
    return absl::OkStatus();
}

std::uint16_t peer_link::port() const
{
    return m_acceptor.local_endpoint().port();
}

void peer_link::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (error) {
            m_acceptTimer.expires_after(acceptPause);
            m_acceptTimer.async_wait([this](const boost::system::error_code &cancelled) {
                if (!cancelled) {
                    accept();
                }
            });
            return;
        }
        if (m_context.incoming.size() < maxIncoming) {
            const auto peer = std::make_shared<incoming_peer>(m_context, std::move(socket));
            m_context.incoming.insert(peer);
            peer->start();
        }
        accept();
    });
}

void peer_link::run(const send_peer &command)
{
    auto &peer = m_outgoing[command.to];
    if (peer && peer->address() != command.address) {
        peer->close();
        peer = nullptr;
    }
    const bool paused = peer && !peer->usable() && m_context.clock.now() - peer->closedAt() < reconnectPause;
    if (paused) {
        ++m_context.metrics.peerMessagesDropped;
        return;
    }
    if (!peer || !peer->usable()) {
        peer = std::make_shared<outgoing_peer>(m_context, command.to, command.address);
        peer->connect();
    }
    peer->send(command.message);
}

void peer_link::scheduleSweep()
{
    m_sweepTimer.expires_after(sweepInterval);
    m_sweepTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        for (const auto &[name, peer] : m_outgoing) {
            peer->sweep();
        }
        std::erase_if(m_outgoing,
                      [this](const auto &entry) { return !entry.second->usable() && m_context.clock.now() - entry.second->closedAt() > reconnectPause; });
        for (const auto &peer : std::vector<std::shared_ptr<incoming_peer>>(m_context.incoming.begin(), m_context.incoming.end())) {
            peer->sweep();
        }
        scheduleSweep();
    });
}

void peer_link::closeAll()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_acceptTimer.cancel();
    m_sweepTimer.cancel();
    for (const auto &[name, peer] : m_outgoing) {
        peer->close();
    }
    m_outgoing.clear();
    while (!m_context.incoming.empty()) {
        const auto peer = *m_context.incoming.begin();
        peer->close();
    }
}

} // namespace plantainpoint
