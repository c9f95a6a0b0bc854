#include "client_connection.hpp"

#include <algorithm>
#include <utility>

#include <charconv>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/beast/http/write.hpp>

#include "address.hpp"

namespace plantainpoint {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::steady_clock;

namespace {

constexpr auto idleMargin = std::chrono::milliseconds{500}; // a close that is on its way must not meet a request
constexpr std::size_t smallRead = 4 * 1024UL; // bytes; holds some tens of tokens
constexpr std::size_t largeRead = 64 * 1024UL; // bytes; after a small read was filled
constexpr std::size_t keptBuffer = 16 * 1024UL; // bytes kept by an idle connection

} // namespace

client_connection::client_connection(asio::io_context &io, std::weak_ptr<connection_pool> pool, std::string address, const http_client_options &options)
    : m_pool(std::move(pool))
    , m_address(std::move(address))
    , m_options(options)
    , m_socket(io)
    , m_timer(io)
    , m_readSize(smallRead)
{
}

std::uint64_t client_connection::start(http_call call, std::shared_ptr<http_receiver> receiver)
{
    m_call.emplace(std::move(call));
    m_receiver = std::move(receiver);
    m_bytesLeft = false;
    m_startedAt = steady_clock::now();
    newParser();
    if (m_socket.is_open()) {
        write();
    } else {
        connect();
    }
    return ++m_number;
}

void client_connection::newParser()
{
    m_parser.emplace();
    m_parser->get().body() = this;
    m_parser->body_limit(m_call->maxBody);
    m_parser->skip(m_call->request.method() == http::verb::head);
    m_headSeen = false;
    m_skipping = false;
}

void client_connection::connect()
{
    const auto endpoint = parseAddress(m_address);
    if (!endpoint) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->fail(transfer_end::ConnectFailed); });
        return;
    }
    setDeadline(m_startedAt + std::min<steady_clock::duration>(m_options.connectTimeout, m_call->timeout));
    boost::system::error_code opened;
    m_socket.open(endpoint->protocol(), opened);
    if (!opened) {
        limitUnconfirmed();
    }
    m_socket.async_connect(*endpoint, [self = shared_from_this()](const boost::system::error_code &error) { self->onConnected(error); });
}

void client_connection::onConnected(const boost::system::error_code &error)
{
    if (!m_receiver) {
        close();
        return;
    }
    if (error) {
        fail(transfer_end::ConnectFailed);
        return;
    }
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    write();
    read();
}

void client_connection::write()
{
    setDeadline(m_startedAt + m_call->timeout);
    m_writing = true;
    m_bytesLeft = true;
    http::async_write(
        m_socket, m_call->request, [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) { self->onWritten(error, size); });
}

void client_connection::onWritten(const boost::system::error_code &error, std::size_t size)
{
    m_writing = false;
    if (error) {
        // the pending read reports the end of the connection; an answer sent before it still counts
        m_bytesLeft = size > 0;
        return;
    }
    if (m_call) {
        m_call->request = {};
    }
}

void client_connection::read()
{
    m_reading = true;
    m_socket.async_read_some(m_buffer.prepare(m_readSize),
                             [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) { self->onRead(error, size); });
}

void client_connection::onRead(const boost::system::error_code &error, std::size_t size)
{
    m_reading = false;
    if (!m_receiver) {
        close();
        return;
    }
    if (error) {
        boost::beast::error_code atEnd;
        if (error == asio::error::eof && m_headSeen && !m_skipping) {
            m_parser->put_eof(atEnd);
        }
        if (m_headSeen && !m_skipping && m_parser->is_done() && !atEnd) {
            complete();
        } else {
            fail(transfer_end::Closed);
        }
        return;
    }
    m_readSize = size == m_readSize ? largeRead : smallRead;
    m_buffer.commit(size);
    if (m_call->kind == timeout_kind::Silence) {
        setDeadline(steady_clock::now() + m_call->timeout);
    }
    if (!feed()) {
        fail(transfer_end::Malformed);
    } else if (m_parser->is_done()) {
        complete();
    }
    if (m_socket.is_open() && !m_reading) {
        read();
    }
}

bool client_connection::feed()
{
    const auto keep = m_receiver;
    while (m_receiver && m_buffer.size() > 0 && !m_parser->is_done()) {
        boost::beast::error_code error;
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
        if (error == http::error::need_more) {
            return true;
        }
        if (error) {
            return false;
        }
        if (!m_headSeen && m_receiver && m_parser->is_header_done()) {
            onHead();
        }
        if (m_skipping && m_parser->is_done()) {
            newParser();
        }
    }
    return m_receiver != nullptr;
}

void client_connection::onHead()
{
    const auto status = m_parser->get().result_int();
    if (status / 100 == 1) {
        newParser();
        return;
    }
    m_headSeen = true;
    m_parser->eager(true);
    if (m_call->accepts && !m_call->accepts(m_parser->get())) {
        m_skipping = true;
        return;
    }
    m_receiver->onHead(static_cast<int>(status), m_parser->get());
}

void client_connection::onBodyPart(std::string_view part)
{
    if (m_receiver && !m_skipping) {
        m_receiver->onBody(part);
    }
}

void client_connection::setDeadline(steady_clock::time_point at)
{
    m_deadline = at;
    // a wait that expires earlier is extended when it does, so that a token costs no timer operation
    if (m_timerPending && m_timerAt <= at) {
        return;
    }
    m_timerPending = true;
    m_timerAt = at;
    m_timer.expires_at(at);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (self && !error) {
            self->onTimer();
        }
    });
}

void client_connection::onTimer()
{
    m_timerPending = false;
    if (!m_receiver) {
        return;
    }
    if (steady_clock::now() < m_deadline) {
        setDeadline(m_deadline);
        return;
    }
    fail(m_bytesLeft ? transfer_end::TimedOut : transfer_end::ConnectFailed);
}

// timeout=SECONDS of the Keep-Alive header
void client_connection::readIdleLimit()
{
    const auto value = m_parser->get()[http::field::keep_alive];
    const std::string_view text{value.data(), value.size()};
    constexpr std::string_view name = "timeout=";
    const auto at = text.find(name);
    int seconds = 0;
    if (at == std::string_view::npos || std::from_chars(text.data() + at + name.size(), text.data() + text.size(), seconds).ec != std::errc{}) {
        return;
    }
    m_idleLimit = std::chrono::seconds{seconds} - idleMargin;
}

// a peer that is gone without a word is noticed while bytes to it are open, and by probes while only an answer is awaited
void client_connection::limitUnconfirmed()
{
    const auto limit = static_cast<int>(m_options.unconfirmedTimeout.count());
    if (limit <= 0) {
        return;
    }
    constexpr int probeSeconds = 1; // least that the system allows
    const auto set = [&](int level, int option, int value) { ::setsockopt(m_socket.native_handle(), level, option, &value, sizeof value); };
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, limit);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, probeSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, probeSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, 2);
}

void client_connection::complete()
{
    const auto self = shared_from_this();
    const auto receiver = std::exchange(m_receiver, nullptr);
    const auto pool = m_pool.lock();
    const bool keep = pool && m_parser->keep_alive() && !m_writing && m_buffer.size() == 0 && m_socket.is_open();
    if (keep) {
        if (m_buffer.capacity() > keptBuffer) {
            m_buffer.shrink_to_fit();
        }
        m_readSize = smallRead;
        m_idleSince = steady_clock::now();
        readIdleLimit();
        m_parser.reset();
        m_call.reset();
        if (!m_reading) {
            read();
        }
        pool->giveBack(self);
    } else {
        close();
    }
    receiver->onEnd(transfer_end::Complete, true);
}

void client_connection::fail(transfer_end end)
{
    const auto self = shared_from_this();
    const auto receiver = std::exchange(m_receiver, nullptr);
    close();
    if (receiver) {
        receiver->onEnd(end, m_bytesLeft);
    }
}

void client_connection::abort(std::uint64_t number)
{
    if (number == m_number && m_receiver) {
        abandon();
    }
}

void client_connection::abandon()
{
    m_receiver.reset();
    close();
}

void client_connection::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
    if (const auto pool = m_pool.lock()) {
        pool->forget(shared_from_this());
    }
}

bool client_connection::usable()
{
    char byte = 0;
    const auto got = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace plantainpoint
