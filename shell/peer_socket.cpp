#include "peer_connection.hpp"

#include <netinet/tcp.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace plantainpoint {

namespace asio = boost::asio;

namespace {

constexpr unsigned unacknowledgedTimeoutMs = 3000; // A peer that acknowledges nothing for this long is unreachable.
constexpr std::size_t maxRetainedOutput = 64 * 1024UL; // Bytes of buffer capacity that are kept between writes.

} // namespace

peer_socket::peer_socket(peer_context &context, asio::ip::tcp::socket socket)
    : m_context(context)
    , m_socket(std::move(socket))
    , m_input()
{
}

void peer_socket::setOptions()
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(unacknowledgedTimeoutMs), ignored);
}

void peer_socket::readFrames()
{
    m_socket.async_read_some(asio::buffer(m_input), [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
        if (self->m_closed) {
            return;
        }
        const bool keepReading = !error && self->m_frames.feed({self->m_input.data(), size}, [&self](std::string_view payload) {
            return !self->m_closed && self->onFrame(payload);
        });
        if (keepReading) {
            self->readFrames();
        } else {
            self->close();
        }
    });
}

void peer_socket::sendFrame(std::string_view payload)
{
    appendFrame(m_pending, payload);
    scheduleFlush();
}

void peer_socket::scheduleFlush()
{
    if (m_writing || m_flushPosted || m_closed) {
        return;
    }
    m_flushPosted = true;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_flushPosted = false;
        self->flush();
    });
}

void peer_socket::flush()
{
    if (m_writing || m_closed || m_pending.empty()) {
        return;
    }
    m_out.swap(m_pending);
    m_writing = true;
    asio::async_write(m_socket, asio::buffer(m_out), [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        self->m_writing = false;
        self->m_out.clear();
        if (self->m_out.capacity() > maxRetainedOutput) {
            self->m_out.shrink_to_fit();
        }
        if (error) {
            self->close();
        } else {
            self->flush();
        }
    });
}

void peer_socket::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    onClosed();
}

} // namespace plantainpoint
