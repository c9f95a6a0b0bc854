// The two ends of a connection between VMs.
#pragma once

#include <array>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "peer_age.hpp"
#include "peer_frames.hpp"
#include "peer_handshake.hpp"
#include "peer_link.hpp"

namespace plantainpoint {

// Reads and writes the frames of one socket.
class peer_socket : public std::enable_shared_from_this<peer_socket>
{
public:
    peer_socket(peer_context &context, boost::asio::ip::tcp::socket socket);
    virtual ~peer_socket() = default;
    peer_socket(const peer_socket &) = delete;
    peer_socket &operator=(const peer_socket &) = delete;

    void close();
    bool isClosed() const { return m_closed; }

protected:
    // Handles a frame. Returns false to close the connection.
    virtual bool onFrame(std::string_view payload) = 0;
    virtual void onClosed() = 0;

    peer_context &context() { return m_context; }
    boost::asio::ip::tcp::socket &socket() { return m_socket; }
    void setOptions();
    void readFrames();
    void sendFrame(std::string_view payload);
    std::size_t queued() const { return m_pending.size() + m_out.size(); }
    void allowLargeFrames() { m_frames.limit(maxFrameSize); }

private:
    static constexpr std::size_t readSize = 16 * 1024UL; // Bytes.

    void scheduleFlush();
    void flush();

    peer_context &m_context;
    boost::asio::ip::tcp::socket m_socket;
    frame_reader m_frames;
    std::array<char, readSize> m_input;
    std::string m_pending;
    std::string m_out; // Bytes that are being written.
    bool m_writing = false;
    bool m_flushPosted = false;
    bool m_closed = false;
};

// Sends messages to one peer after the handshake has proved the fleet key.
class outgoing_peer final : public peer_socket
{
public:
    outgoing_peer(peer_context &context, vm_name peer, std::string address);

    void connect();
    void send(const peer_message &message);
    // Closes the connection when it is not established in time or has been idle for too long.
    void sweep();
    const std::string &address() const { return m_address; }
    // Returns whether the connection is established or being established.
    bool usable() const { return !isClosed(); }
    time_point closedAt() const { return m_closedAt; }

private:
    struct waiting_message {
        std::string text;
        time_point since;
    };

    bool onFrame(std::string_view payload) override;
    void onClosed() override;
    bool onHello(std::string_view payload);
    bool onProof(std::string_view payload);
    void sendNow(std::string_view text);
    void countDropped();

    vm_name m_peer;
    std::string m_address;
    peer_hello m_hello;
    peer_hello m_peerHello;
    std::vector<waiting_message> m_waiting; // Messages that wait until the connection is established.
    std::uint64_t m_mark = 0; // The newest mark received, or 0.
    time_point m_markReceivedAt;
    time_point m_markReportedAt;
    time_point m_startedAt;
    time_point m_usedAt;
    time_point m_closedAt;
    bool m_proofSent = false;
    bool m_established = false;
};

// Receives messages from one peer.
class incoming_peer final : public peer_socket
{
public:
    incoming_peer(peer_context &context, boost::asio::ip::tcp::socket socket);

    void start();
    // Sends a mark when one is due, or closes a connection whose peer has not proved the fleet key in time.
    void sweep();

private:
    bool onFrame(std::string_view payload) override;
    void onClosed() override;
    bool onHello(std::string_view payload);
    bool onProof(std::string_view payload);
    bool onMessage(std::string_view payload);
    void handleNotification(std::string_view method, const std::string &parameters);
    bool refuse(std::string_view why);

    peer_hello m_hello;
    peer_hello m_peerHello;
    message_age m_age;
    time_point m_startedAt;
    time_point m_markedAt;
    bool m_helloReceived = false;
    bool m_established = false;
};

} // namespace plantainpoint
