// Heartbeats between VMs over UDP. A lost heartbeat is superseded by the next one.
#pragma once

#include <array>
#include <functional>
#include <string>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "logging.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

class heartbeat_link
{
public:
    using heartbeat_sink = std::function<void(fleet_heartbeat)>;

    // The arguments passed by reference have to outlive the link.
    heartbeat_link(boost::asio::io_context &io, heartbeat_sink sink, const line_logger &logger);

    // Returns InvalidSettings when the address cannot be bound.
    absl::Status listen(const std::string &address);
    void send(const send_heartbeat &command);

private:
    void receive();

    static constexpr std::size_t maxHeartbeatSize = 60'000; // Bytes. This size fits into one datagram.

    heartbeat_sink m_sink;
    const line_logger &m_logger;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, maxHeartbeatSize> m_buffer{};
    std::shared_ptr<const fleet_heartbeat> m_encodedHeartbeat; // The heartbeat whose bytes are in m_encoded.
    std::string m_encoded;
    std::uint64_t m_malformed = 0;
};

} // namespace plantainpoint
