#include "fleet_link.hpp"

#include <utility>

#include "address.hpp"
#include "plantainpoint/failure.hpp"

namespace plantainpoint {

namespace asio = boost::asio;
using asio::ip::udp;

fleet_link::fleet_link(asio::io_context &io, message_sink sink, const line_logger &logger)
    : m_sink(std::move(sink))
    , m_logger(logger)
    , m_socket(io)
{
}

absl::Status fleet_link::listen(const std::string &address)
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

// Drops a datagram that cannot be sent at once, because the next message carries newer values of every field.
void fleet_link::sendTo(const std::string &address, const std::string &bytes)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint) {
        return;
    }
    boost::system::error_code error;
    m_socket.send_to(asio::buffer(bytes), udp::endpoint(endpoint->address(), endpoint->port()), 0, error);
}

void fleet_link::send(const send_heartbeat &command)
{
    if (m_encodedHeartbeat != command.heartbeatMessage) {
        m_heartbeatBytes = encodeHeartbeat(*command.heartbeatMessage);
        m_encodedHeartbeat = command.heartbeatMessage;
    }
    sendTo(command.address, m_heartbeatBytes);
}

void fleet_link::send(const send_summary &command)
{
    auto &[summary, body] = m_summaryBodies[command.summary->scope];
    if (summary != command.summary) {
        body = encodeSummaryBody(*command.summary);
        summary = command.summary;
    }
    sendTo(command.address, encodeSummary(body, command.receiverIncarnation, command.acknowledged));
}

void fleet_link::send(const send_ask &command)
{
    sendTo(command.address, encodeAsk(command.ask));
}

void fleet_link::send(const send_grant &command)
{
    sendTo(command.address, encodeGrant(command.grant));
}

void fleet_link::send(const send_record_ask &command)
{
    sendTo(command.address, encodeRecordAsk(*command.ask));
}

void fleet_link::send(const send_record_answer &command)
{
    sendTo(command.address, encodeRecordAnswer(command.answer));
}

void fleet_link::send(const send_origin_ask &command)
{
    sendTo(command.address, encodeOriginAsk(command.ask));
}

void fleet_link::send(const send_origin_answer &command)
{
    sendTo(command.address, encodeOriginAnswer(command.answer));
}

void fleet_link::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this](const boost::system::error_code &error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            auto message = decodeFleetMessage({m_buffer.data(), size});
            if (message.ok()) {
                m_sink(std::move(*message));
            } else if (m_malformed++ == 0) {
                const auto text = message.status().message();
                m_logger.write(
                    severity::Warning, log_component::Peer, "Received a malformed message of another VM: " + std::string(text.data(), text.size()) + '.');
            }
        }
        receive();
    });
}

} // namespace plantainpoint
