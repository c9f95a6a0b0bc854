// Messages between VMs over TCP, with one connection for each direction.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "endpoint_client.hpp"
#include "logging.hpp"
#include "plantainpoint/clock.hpp"
#include "plantainpoint/commands.hpp"
#include "rpc_codec.hpp"
#include "shell_metrics.hpp"

namespace plantainpoint {

class outgoing_peer;
class incoming_peer;

// State that the connections of one VM share.
struct peer_context {
    boost::asio::io_context &io;
    vm_name self;
    std::string fleetKey;
    const clock_source &clock;
    input_sink sink;
    const line_logger &logger;
    shell_metrics &metrics;
    rpc_codec codec;
    std::unordered_set<std::shared_ptr<incoming_peer>> incoming;
};

class peer_link
{
public:
    // The arguments passed by reference have to outlive the link.
    peer_link(boost::asio::io_context &io,
              vm_name self,
              std::string fleetKey,
              const clock_source &clock,
              input_sink sink,
              const line_logger &logger,
              shell_metrics &metrics);
    ~peer_link();
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    // Returns InvalidSettings when the address cannot be bound.
    absl::Status listen(const std::string &address);
    std::uint16_t port() const;

    // Sends a message and connects first when needed. A message that cannot be sent in time is dropped and counted.
    void run(const send_peer &command);
    void closeAll();

private:
    void accept();
    void scheduleSweep();

    peer_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptTimer;
    boost::asio::steady_timer m_sweepTimer;
    std::unordered_map<vm_name, std::shared_ptr<outgoing_peer>> m_outgoing;
};

} // namespace plantainpoint
