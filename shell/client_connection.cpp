#include "client_connection.hpp"

#include <algorithm>
#include <utility>

#include <charconv>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/beast/http/write.hpp>

#include "parser_input.hpp"

#include "address.hpp"

namespace plantainpoint {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::steady_clock;

namespace {

// Subtracted from the idle time that the peer announces, so that no request is sent while the peer's close is on its way.
constexpr auto idleMargin = std::chrono::milliseconds{500};
// Extension of a deadline that passes while the event loop has not yet handled what has arrived.
constexpr auto pendingEventTime = std::chrono::milliseconds{200};
constexpr std::size_t smallReadSize = 4 * 1024UL; // Bytes. Holds some tens of tokens.
constexpr std::size_t largeReadSize = 64 * 1024UL; // Bytes. Used after a read that filled its buffer.
constexpr std::uint32_t maxHeadSize = 16 * 1024; // Bytes of a status line with its header, and of the trailer.
// Bytes that may wait for the end of a chunk's size line or of the trailer. A complete read and a head fit.
constexpr std::size_t maxUnparsedSize = largeReadSize + std::size_t{2} * maxHeadSize;
// Interim statuses. A protocol is never switched, as no request asks for it, and the others have no meaning here.
constexpr unsigned statusContinue = 100;
constexpr unsigned statusEarlyHints = 103;
constexpr unsigned minStatus = 200; // Of an answer.
constexpr unsigned maxStatus = 599;
constexpr int maxSkippedHeads = 16;
constexpr std::size_t maxSkippedBytes = 1024 * 1024UL;
constexpr auto maxProxiedAge = std::chrono::seconds{2};
constexpr std::size_t maxIdleBufferSize = 16 * 1024UL; // Bytes. An idle connection releases a larger read buffer.

} // namespace

std::string connectionKey(const std::string &address, const std::string &proxy)
{
    return proxy.empty() ? address : address + " through " + proxy;
}

client_connection::client_connection(
    asio::io_context &io, std::weak_ptr<connection_pool> pool, std::string address, std::string proxy, const http_client_options &options)
    : m_pool(std::move(pool))
    , m_address(std::move(address))
    , m_proxy(std::move(proxy))
    , m_key(connectionKey(m_address, m_proxy))
    , m_options(options)
    , m_socket(io)
    , m_timer(io)
    , m_readSize(smallReadSize)
{
}

std::uint64_t client_connection::start(http_call call, std::shared_ptr<http_receiver> receiver, bool sendable)
{
    m_call.emplace(std::move(call));
    m_receiver = std::move(receiver);
    m_requestMaybeSent = false;
    m_writeFailed = false;
    m_wasReset = false;
    m_startedAt = steady_clock::now();
    m_skippedHeads = 0;
    m_skippedBytes = 0;
    m_headOnly = m_call->request.method() == http::verb::head;
    resetParser();
    if (!sendable) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->fail(transfer_end::Malformed); });
    } else if (m_socket.is_open()) {
        write();
    } else {
        connect();
    }
    return ++m_callNumber;
}

void client_connection::resetParser()
{
    m_parser.emplace();
    m_parser->get().body() = this;
    m_parser->header_limit(maxHeadSize);
    m_parser->body_limit(m_call->maxBody);
    m_parser->skip(m_headOnly);
    m_headSeen = false;
    m_statusValid = true;
    m_skippingResponse = false;
}

void client_connection::connect()
{
    const auto endpoint = parseAddress(m_proxy.empty() ? m_address : m_proxy);
    if (!endpoint) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->fail(self->connectFailure()); });
        return;
    }
    const auto connectTimeout = m_proxy.empty() ? m_options.connectTimeout : m_options.proxyConnectTimeout;
    setDeadline(m_startedAt + std::min<steady_clock::duration>(connectTimeout, m_call->timeout));
    boost::system::error_code openError;
    m_socket.open(endpoint->protocol(), openError);
    if (!openError) {
        setUnacknowledgedTimeout();
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
        fail(connectFailure());
        return;
    }
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    if (m_proxy.empty()) {
        onEstablished();
        return;
    }
    requestProxy(m_socket, m_address, *m_call->proxy, [self = shared_from_this()](proxy_answer answer) { self->onProxyAnswer(answer); });
}

void client_connection::onProxyAnswer(proxy_answer answer)
{
    if (!m_receiver) {
        close();
    } else if (answer == proxy_answer::Connected) {
        onEstablished();
    } else {
        fail(answer == proxy_answer::EndpointUnreachable ? transfer_end::ConnectFailed : transfer_end::ProxyFailed);
    }
}

void client_connection::onEstablished()
{
    if (m_call->mayWrite && !m_call->mayWrite()) {
        fail(transfer_end::Withheld);
        return;
    }
    m_establishedAt = steady_clock::now();
    write();
    read();
}

bool client_connection::isExpired() const
{
    return !m_proxy.empty() && steady_clock::now() - m_establishedAt >= maxProxiedAge;
}

void client_connection::write()
{
    setDeadline(m_startedAt + m_call->timeout);
    m_writing = true;
    m_requestMaybeSent = true;
    http::async_write(
        m_socket, m_call->request, [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) { self->onWritten(error, size); });
}

void client_connection::onWritten(const boost::system::error_code &error, std::size_t size)
{
    m_writing = false;
    if (error) {
        // The pending read reports the end of the connection. A response that the peer sent before it still counts. The system reports a reset only once,
        // to the write or to the read. A broken pipe follows a regular end of the response.
        m_writeFailed = true;
        m_wasReset = error != asio::error::broken_pipe;
        m_requestMaybeSent = size > 0;
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
        boost::beast::error_code eofError;
        if (error == asio::error::eof && !m_wasReset && m_headSeen && !m_skippingResponse) {
            m_parser->put_eof(eofError);
        }
        if (m_headSeen && !m_skippingResponse && m_parser->is_done() && !m_wasReset && !eofError) {
            complete();
        } else {
            fail(transfer_end::Closed);
        }
        return;
    }
    m_readSize = size == m_readSize ? largeReadSize : smallReadSize;
    m_buffer.commit(size);
    if (m_call->kind == timeout_kind::Inactivity) {
        setDeadline(steady_clock::now() + m_call->timeout);
    }
    if (!parseBuffered()) {
        fail(transfer_end::Malformed);
    } else if (m_parser->is_done()) {
        complete();
    }
    if (m_socket.is_open() && !m_reading) {
        read();
    }
}

bool client_connection::parseBuffered()
{
    const auto receiver = m_receiver;
    while (m_receiver && m_buffer.size() > 0 && !m_parser->is_done()) {
        boost::beast::error_code error;
        m_buffer.consume(putBytes(*m_parser, m_buffer.data(), error));
        if (error == http::error::need_more) {
            return m_buffer.size() <= maxUnparsedSize;
        }
        if (error || m_skippedHeads > maxSkippedHeads || m_skippedBytes > maxSkippedBytes) {
            return false;
        }
        if (!m_headSeen && m_receiver && m_parser->is_header_done()) {
            onHead();
            if (!m_statusValid) {
                return false;
            }
        }
        if (m_skippingResponse && m_parser->is_done()) {
            resetParser();
        }
    }
    return m_receiver != nullptr;
}

void client_connection::onHead()
{
    const auto status = m_parser->get().result_int();
    if (status == statusContinue || status == statusEarlyHints) {
        ++m_skippedHeads;
        resetParser();
        return;
    }
    if (status < minStatus || status > maxStatus) {
        m_statusValid = false;
        m_receiver->onInvalidStatus(status);
        return;
    }
    m_headSeen = true;
    m_parser->eager(true);
    if (m_call->accepts && !m_call->accepts(m_parser->get())) {
        ++m_skippedHeads;
        m_skippingResponse = true;
        return;
    }
    m_receiver->onHead(static_cast<int>(status), m_parser->get());
}

void client_connection::onBodyData(std::string_view data)
{
    if (m_skippingResponse) {
        m_skippedBytes += data.size();
    } else if (m_receiver) {
        m_receiver->onBody(data);
    }
}

void client_connection::setDeadline(steady_clock::time_point deadline)
{
    m_deadline = deadline;
    m_deadlineExtended = false;
    scheduleTimer();
}

void client_connection::scheduleTimer()
{
    // A pending wait that expires earlier is extended when it expires, so that a received token costs no timer operation.
    if (m_timerPending && m_timerExpiry <= m_deadline) {
        return;
    }
    m_timerPending = true;
    m_timerExpiry = m_deadline;
    m_timer.expires_at(m_deadline);
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
    const auto now = steady_clock::now();
    if (now >= m_deadline && !m_deadlineExtended && hasPendingEvent()) {
        m_deadlineExtended = true;
        m_deadline = now + pendingEventTime;
    }
    if (now < m_deadline) {
        scheduleTimer();
        return;
    }
    fail(m_requestMaybeSent ? transfer_end::TimedOut : connectFailure());
}

bool client_connection::hasPendingEvent()
{
    pollfd state{.fd = m_socket.native_handle(), .events = static_cast<short>(m_requestMaybeSent ? POLLIN : POLLOUT), .revents = 0};
    return m_socket.is_open() && ::poll(&state, 1, 0) > 0;
}

// Reads the parameter timeout=SECONDS of the Keep-Alive header.
void client_connection::readIdleLimit()
{
    const auto value = m_parser->get()[http::field::keep_alive];
    const std::string_view text{value.data(), value.size()};
    constexpr std::string_view parameter = "timeout=";
    const auto position = text.find(parameter);
    int seconds = 0;
    if (position == std::string_view::npos
        || std::from_chars(text.data() + position + parameter.size(), text.data() + text.size(), seconds).ec != std::errc{}) {
        return;
    }
    m_idleLimit = std::chrono::seconds{seconds} - idleMargin;
}

// Detects a peer that disappeared without closing the connection: by the user timeout while sent bytes are not acknowledged, and by keep-alive probes
// while the connection only waits for a response.
void client_connection::setUnacknowledgedTimeout()
{
    const auto timeoutMs = static_cast<int>(m_options.unacknowledgedTimeout.count());
    if (timeoutMs <= 0) {
        return;
    }
    constexpr int probeSeconds = 1; // Smallest interval that the system allows.
    const auto setOption = [&](int level, int option, int value) { ::setsockopt(m_socket.native_handle(), level, option, &value, sizeof value); };
    setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, timeoutMs);
    setOption(SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(IPPROTO_TCP, TCP_KEEPIDLE, probeSeconds);
    setOption(IPPROTO_TCP, TCP_KEEPINTVL, probeSeconds);
    setOption(IPPROTO_TCP, TCP_KEEPCNT, 2);
}

void client_connection::complete()
{
    const auto self = shared_from_this();
    const auto receiver = std::exchange(m_receiver, nullptr);
    const auto pool = m_pool.lock();
    const bool reusable = pool && !isExpired() && m_parser->keep_alive() && !m_writing && !m_writeFailed && m_buffer.size() == 0 && m_socket.is_open();
    if (reusable) {
        if (m_buffer.capacity() > maxIdleBufferSize) {
            m_buffer.shrink_to_fit();
        }
        m_readSize = smallReadSize;
        m_idleSince = steady_clock::now();
        readIdleLimit();
        m_parser.reset();
        m_call.reset();
        if (!m_reading) {
            read();
        }
        pool->returnConnection(self);
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
    if (const auto pool = m_pool.lock(); pool && (end == transfer_end::ConnectFailed || end == transfer_end::ProxyFailed)) {
        pool->closeIdle(m_key); // They may be dead.
    }
    if (receiver) {
        receiver->onEnd(end, m_requestMaybeSent);
    }
}

void client_connection::abort(std::uint64_t callNumber)
{
    if (callNumber == m_callNumber && m_receiver) {
        closeWithoutCallback();
    }
}

void client_connection::closeWithoutCallback()
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
        pool->remove(shared_from_this());
    }
}

bool client_connection::isReusable()
{
    char byte = 0;
    const auto received = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace plantainpoint
