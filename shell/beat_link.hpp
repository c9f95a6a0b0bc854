// beats between VMs over UDP; a lost one is made up for by the next
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

class beat_link
{
public:
    using beat_sink = std::function<void(fleet_beat)>;

    // all have to outlive the link
    beat_link(boost::asio::io_context &io, beat_sink sink, const line_logger &logger);

    // InvalidSettings when the address cannot be bound
    absl::Status listen(const std::string &address);
    void send(const send_beat &command);

private:
    void receive();

    static constexpr std::size_t largestBeat = 60'000; // bytes; fits a datagram

    beat_sink m_sink;
    const line_logger &m_logger;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, largestBeat> m_buffer{};
    std::shared_ptr<const fleet_beat> m_encodedBeat; // whose bytes are in m_encoded
    std::string m_encoded;
    std::uint64_t m_malformed = 0;
};

} // namespace plantainpoint
