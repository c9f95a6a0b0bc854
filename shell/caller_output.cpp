// Output side of a caller's connection.
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

constexpr std::size_t keptBufferSize = 4 * 1024UL; // Bytes of a buffer that are kept between writes.
constexpr auto shutdownRetry = std::chrono::milliseconds{100}; // Another VM takes the request at once.
constexpr auto drainTime = std::chrono::seconds{2}; // Time for the caller to close after the last answer.

// Size line of a chunk. The digits are filled in when the chunk is closed.
constexpr std::string_view chunkSizePlaceholder = "00000000\r\n";

// Formats the value of Retry-After. Callers of a relay accept fractions of a second.
std::string retryAfterText(duration time, request_handling handling)
{
    constexpr std::int64_t millisPerSecond = 1000;
    if (handling == request_handling::Completion) {
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
    decideKeepAlive();
    m_pendingOutput += "HTTP/1.1 " + std::to_string(status) + ' ';
    m_pendingOutput += reasonOf(status);
    m_pendingOutput += "\r\n";
}

void caller_session::writeHead(int status, std::string_view contentType, std::size_t length)
{
    writeStatus(status);
    if (!contentType.empty()) {
        m_pendingOutput += "Content-Type: ";
        m_pendingOutput += contentType;
        m_pendingOutput += "\r\n";
    }
    // These statuses have no body, and 204 must not have a Content-Length.
    if (status != static_cast<int>(http::status::no_content) && status != static_cast<int>(http::status::not_modified)) {
        m_pendingOutput += "Content-Length: " + std::to_string(length) + "\r\n";
    }
    if (!m_keepAlive) {
        m_pendingOutput += "Connection: close\r\n";
    } else if (!m_chunked) {
        m_pendingOutput += "Connection: keep-alive\r\n";
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
        m_pendingOutput += "Retry-After: " + retryAfterText(*answer.retryAfter, m_host.handling()) + "\r\n";
    }
    if (status == static_cast<int>(http::status::unauthorized)) {
        m_pendingOutput += "WWW-Authenticate: Bearer\r\n";
    }
    if (label) {
        m_pendingOutput += "X-Request-Id: " + toString(*label) + "\r\n";
    }
    m_pendingOutput += "\r\n";
    if (!m_request->headOnly) {
        m_pendingOutput += body;
    }
}

void caller_session::beginStream()
{
    if (m_request->eventWriter) {
        return;
    }
    m_request->eventWriter.emplace(m_request->identity);
    decideKeepAlive();
    m_pendingOutput += "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n";
    if (!m_request->label.empty()) {
        m_pendingOutput += "X-Request-Id: " + m_request->label + "\r\n";
    }
    if (m_chunked) {
        m_pendingOutput += m_keepAlive ? "Transfer-Encoding: chunked\r\n\r\n" : "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
        return;
    }
    // HTTP/1.0 has no chunked encoding: the end of the connection ends the answer.
    m_keepAlive = false;
    m_pendingOutput += "Connection: close\r\n\r\n";
}

// All events that are added between two writes share one chunk.
void caller_session::openChunk()
{
    if (!m_chunked || m_chunkOpen) {
        return;
    }
    m_chunkOpen = true;
    m_chunkStart = m_pendingOutput.size();
    m_pendingOutput += chunkSizePlaceholder;
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
    auto size = m_pendingOutput.size() - m_chunkStart - chunkSizePlaceholder.size();
    for (std::size_t i = digitCount; i-- > 0; size >>= bitsPerDigit) {
        m_pendingOutput[m_chunkStart + i] = digits[size & digitMask];
    }
    m_pendingOutput += "\r\n";
}

// Completes the request. The terminal answer is in m_pendingOutput already.
void caller_session::finish(int status)
{
    if ((m_request->eventWriter || m_request->opaqueStream) && m_chunked) {
        closeChunk();
        m_pendingOutput += "0\r\n\r\n";
    }
    m_request.reset();
    beginPhase();
    const auto caller = std::exchange(m_caller, 0);
    flushLater();
    m_host.onAnswered(caller, status);
    if (m_keepAlive) {
        parseLater();
    }
    readMore();
}

void caller_session::flushLater()
{
    countBuffers();
    if (m_writing || m_flushPosted || m_closed) {
        return;
    }
    m_flushPosted = true;
    asio::post(executor(), [self = shared_from_this()] {
        self->m_flushPosted = false;
        self->flush();
    });
}

// Ends the connection if too many bytes wait for a caller that takes none. It may have taken some that this process has not noticed yet.
void caller_session::flushUnlessFull()
{
    if (m_pendingOutput.size() > m_host.limits().outputBuffer && !canWrite()) {
        m_host.countSlowCaller();
        close(close_reason::SlowReader);
        return;
    }
    flushLater();
}

void caller_session::flush()
{
    if (m_writing || m_closed) {
        return;
    }
    if (m_pendingOutput.empty()) {
        onFlushed();
        return;
    }
    closeChunk();
    m_writeBuffer.swap(m_pendingOutput);
    m_writing = true;
    m_writtenSize = 0;
    writeRest();
}

void caller_session::writeRest()
{
    m_writeStart = steady::now();
    write(asio::buffer(m_writeBuffer) + m_writtenSize);
}

void caller_session::onWritten(const boost::system::error_code &error, std::size_t size)
{
    if (m_closed) {
        return;
    }
    if (error) {
        close(close_reason::CallerClosed);
        return;
    }
    m_writtenSize += size;
    if (m_writtenSize < m_writeBuffer.size()) {
        writeRest();
        return;
    }
    m_writing = false;
    m_writeBuffer.clear();
    if (m_writeBuffer.capacity() > keptBufferSize) {
        m_writeBuffer.shrink_to_fit();
        countBuffers();
    }
    flush();
}

// A head that went out before a stop has not announced the close: what the caller sends next is answered until idle connections are closed.
void caller_session::onFlushed()
{
    endOutputOnce();
    if (!m_keepAlive || m_caller != 0 || m_arriving || m_parsePosted) {
        return;
    }
    m_phaseStart = steady::now(); // The caller counts its rest from the last byte of the answer.
    if (m_host.closesAtRest() && !hasPendingInput()) {
        closeUnlessRead(close_reason::VmStopping);
    }
}

// Leaves it to the caller to close after the last answer. Closing first could reset the connection and destroy the answer on its way.
void caller_session::endOutputOnce()
{
    if (m_keepAlive || m_caller != 0 || m_request || m_outputEnded) {
        return;
    }
    m_outputEnded = true;
    m_phaseStart = steady::now();
    endOutput();
    readMore();
}

void caller_session::sweep(steady::time_point now)
{
    const auto idle = std::max(m_idleTime, m_host.limits().idleTime);
    if (m_writing && now - m_writeStart > idle && !canWrite()) {
        m_host.countSlowCaller();
        close(close_reason::SlowReader);
        return;
    }
    if (m_waitsForMemory) {
        return;
    }
    const bool isDue = m_outputEnded ? now - m_phaseStart > drainTime : m_caller == 0 && !hasOutput() && now - m_phaseStart > idle;
    if (!isDue || m_parsePosted || hasPendingInput()) {
        return;
    }
    if (m_outputEnded) {
        close(close_reason::LastAnswer);
        return;
    }
    closeUnlessRead(close_reason::Idle);
}

// Refuses a request before its end. What still arrives of it is discarded.
void caller_session::refuseRest(failure reason, std::string_view detail, std::optional<duration> retryAfter)
{
    m_arriving = false;
    m_waitsForMemory = false;
    m_parser.reset();
    m_input.clear();
    m_bodyShare.charge(0);
    m_keepAlive = false;
    m_inputRefused = true;
    refuse(reason, detail, retryAfter);
}

void caller_session::refuseArriving()
{
    if (!m_closed) {
        refuseRest(failure::ShuttingDown, "this VM is shutting down", shutdownRetry);
    }
}

void caller_session::closeUnlessRead(close_reason reason)
{
    m_cancelReason = reason;
    if (m_reading) {
        cancelRead();
    } else {
        close(reason);
    }
}

void caller_session::close(close_reason reason)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    const auto self = shared_from_this();
    const bool takesRequests = m_keepAlive && !m_outputEnded;
    const unfinished_work work{.requestOpen = m_caller != 0,
                               .unreadInput = takesRequests ? m_input.size() + pendingInput() : 0,
                               .unwrittenOutput = m_pendingOutput.size() + m_writeBuffer.size() - (m_writing ? m_writtenSize : 0)};
    closeSocket();
    // What the system still uses of the buffers is released when the pending operations have ended.
    m_parser.reset();
    m_pendingOutput = {};
    m_bodyShare.charge(0);
    m_bufferShare.charge(0);
    if (m_countedKey) {
        m_host.uncountConnection(*m_countedKey);
        m_countedKey.reset();
    }
    if (m_caller != 0) {
        m_host.onCallerDisconnected(std::exchange(m_caller, 0));
    }
    m_host.onClosed(*this, reason, work);
}

} // namespace plantainpoint
