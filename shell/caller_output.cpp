// output side of a caller's connection
#include "caller_session.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

#include <boost/asio/post.hpp>
#include <boost/beast/http/status.hpp>

namespace plantainpoint {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t keptOutput = 4 * 1024UL; // bytes of buffer kept between writes
constexpr auto drainTime = std::chrono::seconds{2}; // for the caller to close after the last answer

// size line of a chunk, filled in when the chunk is closed
constexpr std::string_view chunkSizeSpace = "00000000\r\n";

// callers of a relay take fractions of a second
std::string retryAfterText(duration time, request_form form)
{
    constexpr std::int64_t millisPerSecond = 1000;
    if (form == request_form::Completion) {
        return std::to_string(std::max<std::int64_t>(std::chrono::ceil<std::chrono::seconds>(time).count(), 1));
    }
    const auto millis = std::chrono::ceil<std::chrono::milliseconds>(time).count();
    const auto fraction = std::to_string(millisPerSecond + millis % millisPerSecond);
    return std::to_string(millis / millisPerSecond) + '.' + fraction.substr(1);
}

std::string_view reasonOf(int status)
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    return {reason.data(), reason.size()};
}

} // namespace

void caller_session::writeStatus(int status)
{
    m_pending += "HTTP/1.1 " + std::to_string(status) + ' ';
    m_pending += reasonOf(status);
    m_pending += "\r\n";
}

void caller_session::writeHead(int status, std::string_view contentType, std::size_t length)
{
    writeStatus(status);
    if (!contentType.empty()) {
        m_pending += "Content-Type: ";
        m_pending += contentType;
        m_pending += "\r\n";
    }
    // these statuses have no body, and 204 must not state a length
    if (status != static_cast<int>(http::status::no_content) && status != static_cast<int>(http::status::not_modified)) {
        m_pending += "Content-Length: " + std::to_string(length) + "\r\n";
    }
    if (!m_keepAlive) {
        m_pending += "Connection: close\r\n";
    } else if (!m_chunked) {
        m_pending += "Connection: keep-alive\r\n";
    }
}

void caller_session::writeProblem(const answer_failure &answer)
{
    const bool labelled = !answer.label.origin.vm.empty();
    const auto label = labelled ? std::optional{answer.label} : std::nullopt;
    const auto body = problemBody(answer.reason, answer.result, answer.detail, label);
    const int status = entryOf(answer.reason).httpStatus;
    writeHead(status, "application/problem+json", body.size());
    if (answer.retryAfter) {
        m_pending += "Retry-After: " + retryAfterText(*answer.retryAfter, m_host.form()) + "\r\n";
    }
    if (status == static_cast<int>(http::status::unauthorized)) {
        m_pending += "WWW-Authenticate: Bearer\r\n";
    }
    if (label) {
        m_pending += "X-Request-Id: " + toString(*label) + "\r\n";
    }
    m_pending += "\r\n";
    if (!m_request->headOnly) {
        m_pending += body;
    }
}

void caller_session::beginStream()
{
    if (m_request->events) {
        return;
    }
    m_request->events.emplace(m_request->identity);
    m_pending += "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n";
    if (!m_request->label.empty()) {
        m_pending += "X-Request-Id: " + m_request->label + "\r\n";
    }
    if (m_chunked) {
        m_pending += m_keepAlive ? "Transfer-Encoding: chunked\r\n\r\n" : "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
        return;
    }
    // HTTP/1.0 has no chunks: the end of the connection ends the answer
    m_keepAlive = false;
    m_pending += "Connection: close\r\n\r\n";
}

// all events written between two writes share one chunk
void caller_session::openChunk()
{
    if (!m_chunked || m_chunkOpen) {
        return;
    }
    m_chunkOpen = true;
    m_chunkAt = m_pending.size();
    m_pending += chunkSizeSpace;
}

void caller_session::closeChunk()
{
    if (!m_chunkOpen) {
        return;
    }
    m_chunkOpen = false;
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t digitCount = 8;
    constexpr std::size_t bitsPerDigit = 4;
    constexpr std::size_t digitMask = 0xf;
    auto size = m_pending.size() - m_chunkAt - chunkSizeSpace.size();
    for (std::size_t i = digitCount; i-- > 0; size >>= bitsPerDigit) {
        m_pending[m_chunkAt + i] = digits[size & digitMask];
    }
    m_pending += "\r\n";
}

// the terminal answer is in the buffer
void caller_session::finish(int status)
{
    if ((m_request->events || m_request->relayed) && m_chunked) {
        closeChunk();
        m_pending += "0\r\n\r\n";
    }
    m_request.reset();
    m_since = steady::now();
    const auto caller = std::exchange(m_caller, 0);
    if (m_host.closing()) {
        m_keepAlive = false;
    }
    flushLater();
    m_host.answered(caller, status);
    if (m_keepAlive) {
        parseLater();
    }
    readMore();
}

void caller_session::flushLater()
{
    if (m_writing || m_flushPosted || m_closed) {
        return;
    }
    m_flushPosted = true;
    asio::post(executor(), [self = shared_from_this()] {
        self->m_flushPosted = false;
        self->flush();
    });
}

void caller_session::flush()
{
    if (m_writing || m_closed) {
        return;
    }
    if (m_pending.empty()) {
        endOutputOnce();
        return;
    }
    closeChunk();
    m_out.swap(m_pending);
    m_writing = true;
    m_writeSince = steady::now();
    write(asio::buffer(m_out));
}

void caller_session::onWritten(const boost::system::error_code &error)
{
    m_writing = false;
    if (m_closed) {
        return;
    }
    if (error) {
        close();
        return;
    }
    m_out.clear();
    if (m_out.capacity() > keptOutput) {
        m_out.shrink_to_fit();
    }
    flush();
}

// after the last answer the caller closes; closing first could destroy the answer on its way
void caller_session::endOutputOnce()
{
    if (m_keepAlive || m_caller != 0 || m_request || m_outputEnded) {
        return;
    }
    m_outputEnded = true;
    m_since = steady::now();
    endOutput();
    readMore();
}

void caller_session::sweep(steady::time_point now)
{
    const auto idle = m_host.limits().idleTime;
    if (m_writing && now - m_writeSince > idle) {
        m_host.slowCaller();
        close();
        return;
    }
    if (m_outputEnded && now - m_since > drainTime) {
        close();
        return;
    }
    if (m_caller != 0 || m_writing || m_outputEnded || now - m_since <= idle) {
        return;
    }
    if (!m_arriving) {
        close();
        return;
    }
    m_arriving = false;
    m_parser.reset();
    m_input.clear();
    m_keepAlive = false;
    refuse(failure::MalformedRequest, "the request did not arrive within " + std::to_string(idle.count()) + " ms");
}

void caller_session::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    const auto self = shared_from_this();
    closeSocket();
    if (m_key) {
        m_host.uncountKey(*m_key);
        m_key.reset();
    }
    if (m_caller != 0) {
        m_host.callerDisconnected(std::exchange(m_caller, 0));
    }
    m_host.closed(*this);
}

} // namespace plantainpoint
