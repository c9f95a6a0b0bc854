#include "heartbeat_link.hpp"

#include <utility>

#include "address.hpp"
#include "heartbeat_codec.hpp"
#include "plantainpoint/failure.hpp"

namespace plantainpoint {

namespace asio = boost::asio;
using asio::ip::udp;

heartbeat_link::heartbeat_link(asio::io_context &io, heartbeat_sink sink, const line_logger &logger)
    : m_sink(std::move(sink))
    , m_logger(logger)
    , m_socket(io)
{
}

absl::Status heartbeat_link::listen(const std::string &address)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint) {
        return makeStatus(failure::InvalidSettings, "peer: " + address + " is not IP:PORT");
    }
    boost::system::error_code error;
    const udp::endpoint local(endpoint->address(), endpoint->port());
    m_socket.open(local.protocol(), error);
    if (!error) {
        m_socket.bind(local, error);
    }
    if (error) {
        return makeStatus(failure::InvalidSettings, "peer: " + address + ": " + error.message());
    }
    m_socket.non_blocking(true);
    receive();
    return absl::OkStatus();
}

// Drops a datagram that cannot be sent at once, because the next heartbeat carries newer values of every field.
void heartbeat_link::send(const send_heartbeat &command)
{
    const auto endpoint = parseAddress(command.address);
    if (!endpoint) {
        return;
    }
    if (m_encodedHeartbeat != command.heartbeatMessage) {
        m_encoded = encodeHeartbeat(*command.heartbeatMessage);
        m_encodedHeartbeat = command.heartbeatMessage;
    }
    boost::system::error_code error;
    m_socket.send_to(asio::buffer(m_encoded), udp::endpoint(endpoint->address(), endpoint->port()), 0, error);
}

void heartbeat_link::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this](const boost::system::error_code &error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            auto heartbeatMessage = decodeHeartbeat({m_buffer.data(), size});
            if (heartbeatMessage.ok()) {
                m_sink(std::move(*heartbeatMessage));
            } else if (m_malformed++ == 0) {
                const auto text = heartbeatMessage.status().message();
                m_logger.write(severity::Warning, log_component::Peer, "Received a malformed heartbeat: " + std::string(text.data(), text.size()) + '.');
            }
        }
        receive();
    });
}

} // namespace plantainpoint
