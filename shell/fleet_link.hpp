// Heartbeats and summaries between VMs over UDP. A lost message is superseded by the next one.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <string>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "fleet_codec.hpp"
#include "logging.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

class fleet_link
{
public:
    using message_sink = std::function<void(fleet_message)>;

    // The arguments passed by reference have to outlive the link.
    fleet_link(boost::asio::io_context &io, message_sink sink, const line_logger &logger);

    // Returns InvalidSettings when the address cannot be bound.
    absl::Status listen(const std::string &address);
    void send(const send_heartbeat &command);
    void send(const send_summary &command);
    void send(const send_ask &command);
    void send(const send_grant &command);
    void send(const send_record_ask &command);
    void send(const send_record_answer &command);
    void send(const send_origin_ask &command);
    void send(const send_origin_answer &command);

private:
    void receive();
    void sendTo(const std::string &address, const std::string &bytes);

    static constexpr std::size_t maxMessageSize = 60'000; // Bytes. This size fits into one datagram.

    message_sink m_sink;
    const line_logger &m_logger;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, maxMessageSize> m_buffer{};
    std::shared_ptr<const fleet_heartbeat> m_encodedHeartbeat; // The heartbeat whose bytes are in m_heartbeatBytes.
    std::string m_heartbeatBytes;
    std::map<summary_scope, std::pair<std::shared_ptr<const fleet_summary>, std::string>> m_summaryBodies; // Last one of each scope.
    std::uint64_t m_malformed = 0;
};

} // namespace plantainpoint
