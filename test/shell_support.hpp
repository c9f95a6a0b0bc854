// Event loop helpers and raw TCP connections for tests of the shell.
#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "logging.hpp"

namespace plantainpoint::test {

using boost::asio::ip::tcp;

// Runs the event loop until the condition holds. Returns false if it does not hold within the time limit.
template<class Condition>
bool runUntil(boost::asio::io_context &io, Condition &&condition, std::chrono::milliseconds limit = std::chrono::milliseconds{5000})
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        io.restart();
        io.run_one_for(std::chrono::milliseconds{5});
    }
    return true;
}

// A TCP connection, accepted or opened by the test, over which the test sends and receives raw bytes.
class raw_connection
{
public:
    raw_connection(boost::asio::io_context &io, std::uint16_t port)
        : m_socket(io)
    {
        m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
        m_socket.non_blocking(true);
    }
    explicit raw_connection(tcp::socket socket)
        : m_socket(std::move(socket))
    {
        m_socket.non_blocking(true);
    }

    void send(std::string_view bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes.data(), bytes.size()), ignored);
    }
    // Sends what the socket takes at once and returns its size.
    std::size_t sendSome(std::string_view bytes)
    {
        boost::system::error_code ignored;
        return m_socket.write_some(boost::asio::buffer(bytes.data(), bytes.size()), ignored);
    }
    // Returns the number of bytes that were sent and that the peer's system has not taken.
    std::size_t unacknowledged()
    {
        int size = 0;
        ::ioctl(m_socket.native_handle(), SIOCOUTQ, &size);
        return static_cast<std::size_t>(size);
    }
    // Returns everything received so far.
    const std::string &received()
    {
        std::array<char, 4096> block{};
        boost::system::error_code error;
        for (;;) {
            const auto size = m_socket.read_some(boost::asio::buffer(block), error);
            if (error) {
                m_ended = m_ended || error != boost::asio::error::would_block;
                m_wasReset = m_wasReset || error == boost::asio::error::connection_reset;
                return m_received;
            }
            m_received.append(block.data(), size);
        }
    }
    bool has(std::string_view text) { return received().find(text) != std::string::npos; }
    bool ended()
    {
        received();
        return m_ended;
    }
    bool wasReset()
    {
        received();
        return m_wasReset;
    }
    void close() { m_socket.close(); }
    // Ends the sending direction.
    void endOutput()
    {
        boost::system::error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    }
    void reset()
    {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0));
        m_socket.close();
    }
    // Forgets what has been received.
    void clear() { m_received.clear(); }

private:
    tcp::socket m_socket;
    std::string m_received;
    bool m_ended = false;
    bool m_wasReset = false;
};

inline const line_logger &quietLogger()
{
    static const line_logger logger(severity::Error, log_format::Text);
    return logger;
}

} // namespace plantainpoint::test
