#include "caller_session.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>

#include "http_headers.hpp"
#include "parser_input.hpp"
#include "request_head.hpp"

namespace plantainpoint {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Sizes of one read, in bytes. While a request is open, only the end of the connection is expected. A connection at rest holds a buffer of this size.
constexpr std::size_t openRequestReadSize = 464;
constexpr std::size_t requestReadSize = 4 * 1024UL;
constexpr std::size_t bodyReadSize = 64 * 1024UL; // Used after a smaller read was filled.

// Framing of a chunked body. A chunk of one byte has five bytes of framing; more than this is not the framing of an ordinary caller.
constexpr std::size_t maxFramingPerByte = 8;
constexpr std::size_t freeFraming = 64 * 1024UL; // Bytes.

constexpr std::size_t chunkedGrowth = 4; // The memory of a chunked body grows by one part of so many beyond what has arrived.

constexpr auto memoryRetry = std::chrono::milliseconds{1000}; // Time after which the slowest uploads have made room.
// A body that arrives slower makes room for others if too many bytes are held.
constexpr double slowRate = 64 * 1024.0; // Bytes per second.
constexpr auto minArrivalTime = std::chrono::seconds{1}; // The rate of a request is known after this time.

constexpr std::size_t maxPipelinedInput = 16 * 1024UL; // Bytes read ahead while a request is open.

// Bytes read and discarded after the last answer. Unread input would make the close reset the connection, which could destroy the answer.
constexpr std::size_t maxDiscardedInput = 16 * 1024UL * 1024UL;

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

caller_session::caller_session(session_host &host)
    : m_host(host)
    , m_bodyShare(host.memory())
    , m_bufferShare(host.memory())
    , m_phaseStart(steady::now())
    , m_idleTime(host.limits().idleTime)
{
}

void caller_session::start()
{
    handshake();
}

void caller_session::ready()
{
    m_ready = true;
    readMore();
}

// Begins a time of rest or the arrival of a request.
void caller_session::beginPhase()
{
    m_phaseStart = steady::now();
    m_idleTime = m_host.limits().idleTime;
}

void caller_session::readMore()
{
    if (m_reading || m_closed || m_waitsForMemory) {
        return;
    }
    if (m_caller != 0 && m_input.size() >= maxPipelinedInput) {
        return;
    }
    m_reading = true;
    if (m_caller != 0) {
        m_readSize = openRequestReadSize;
    } else if (m_readSize < requestReadSize || m_host.memory()->isHalfUsed()) {
        m_readSize = requestReadSize;
    }
    if (m_received.capacity() == 0 && m_input.size() == 0) {
        m_received = std::move(m_input); // Reuses the memory of the last read.
    }
    if ((!m_arriving || m_host.memory()->isHalfUsed()) && m_received.capacity() > m_readSize) {
        m_received.shrink_to_fit();
    }
    const auto buffer = m_received.prepare(m_readSize);
    countBuffers();
    read(buffer);
}

// Counts the memory of the buffers, which may be larger than what they hold.
void caller_session::countBuffers()
{
    const auto before = m_bufferShare.size();
    m_bufferShare.charge(m_received.capacity() + m_input.capacity() + m_pendingOutput.capacity() + m_writeBuffer.capacity());
    if (m_bufferShare.size() > before) {
        m_host.onBytesHeld();
    }
}

// Appends the bytes of a completed read to those that wait to be parsed.
void caller_session::takeReceived(std::size_t size)
{
    m_received.commit(size);
    if (m_input.size() == 0) {
        m_input = std::move(m_received);
        return;
    }
    m_input.commit(asio::buffer_copy(m_input.prepare(size), m_received.data()));
    m_received.consume(size);
}

void caller_session::onRead(const boost::system::error_code &error, std::size_t size)
{
    m_reading = false;
    if (m_closed) {
        return;
    }
    if (error == asio::error::operation_aborted) {
        onReadCancelled();
        return;
    }
    if (error) {
        close(close_reason::CallerClosed);
        return;
    }
    if (m_outputEnded || !m_keepAlive) {
        m_discardedBytes += size;
        if (m_discardedBytes > maxDiscardedInput) {
            close(close_reason::InputDiscarded);
            return;
        }
    } else {
        m_readSize = size >= m_readSize ? bodyReadSize : requestReadSize;
        m_lastArrival = steady::now();
        m_arrivedSize += size;
        takeReceived(size);
        if (m_caller == 0 && !m_parsePosted) {
            parse();
        }
    }
    readMore();
}

// Ends the phase whose time is over, unless bytes have arrived since the read was cancelled.
void caller_session::onReadCancelled()
{
    if (hasPendingInput()) {
        readMore();
    } else if (m_arriving) {
        refuseRest(failure::MalformedRequest, "the request did not arrive within " + std::to_string(m_idleTime.count()) + " ms");
    } else {
        close(m_cancelReason);
    }
}

void caller_session::parse()
{
    if (!m_parser) {
        m_parser = std::make_unique<request_parser>();
        m_parser->header_limit(static_cast<std::uint32_t>(m_host.limits().headerSize));
        m_parser->body_limit(m_host.limits().bodySize);
    }
    if (!m_arriving && m_input.size() > 0) {
        m_arriving = true;
        m_continueHandled = false;
        m_arrivedSize = m_input.size();
        m_bodyWireSize = 0;
        m_lastArrival = steady::now();
        beginPhase();
    }
    boost::beast::error_code error;
    while (m_input.size() > 0 && !m_parser->is_done()) {
        const bool isBody = m_parser->eager();
        if (isBody && !takeBodyMemory()) {
            waitForMemory();
            return;
        }
        const auto size = putBytes(*m_parser, m_input.data(), error);
        m_input.consume(size);
        m_bodyWireSize += isBody ? size : 0;
        if (isBody && m_parser->chunked() && m_bodyWireSize > freeFraming + (maxFramingPerByte + 1) * m_parser->get().body().size()) {
            refuseAndClose(
                makeStatus(failure::BodyTooLarge, "the framing of the body is larger than " + std::to_string(maxFramingPerByte) + " times the body"));
            return;
        }
        if (error) {
            break;
        }
        // The parser stops behind the head until it is eager.
        if (!m_parser->eager() && m_parser->is_header_done()) {
            m_parser->eager(true);
            if (const auto head = checkHead(); !head.ok()) {
                refuseAndClose(head);
                return;
            }
            if (isBodyTooLarge()) {
                refuseAndClose(makeStatus(failure::BodyTooLarge, "this VM has no memory for a body of this size"));
                return;
            }
            if (!takeBodyMemory()) {
                waitForMemory();
                return;
            }
        }
    }
    if (error == http::error::need_more && m_input.size() > m_host.limits().headerSize + bodyReadSize) {
        // A chunk's size line or the trailer never ends.
        error = http::error::header_limit;
    }
    if (error && error != http::error::need_more) {
        onParseError(error);
    } else if (m_parser->is_done()) {
        auto message = m_parser->release();
        m_parser.reset();
        m_arriving = false;
        if (m_input.size() == 0) {
            m_input.shrink_to_fit();
        }
        handleRequest(std::move(message));
    } else {
        sendContinueIfExpected();
    }
}

absl::Status caller_session::checkHead() const
{
    const auto &head = m_parser->get().base();
    if (auto framing = checkFraming(head, m_parser->chunked()); !framing.ok()) {
        return framing;
    }
    return checkMethod(head, m_parser->chunked() || m_parser->content_length().value_or(0) > 0);
}

// Returns the bytes that the body needs until the next ones arrive. A body whose length is known needs all of it from the start, so that it can be held
// once it has begun to arrive.
std::size_t caller_session::neededMemory() const
{
    if (!m_parser || !m_parser->is_header_done()) {
        return 0;
    }
    if (!m_parser->chunked()) {
        return static_cast<std::size_t>(m_parser->content_length().value_or(0));
    }
    const auto &body = m_parser->get().body();
    const auto size = body.size() + m_input.size();
    return size <= body.capacity() ? body.capacity() : std::max(size, std::min(size + size / chunkedGrowth, m_host.limits().bodySize));
}

// Takes the memory that the body needs until the next bytes arrive. Returns false if there is none. The memory of a chunked body grows here, as a string
// doubles its own.
bool caller_session::takeBodyMemory()
{
    const auto needed = neededMemory();
    if (!m_bodyShare.take(needed)) {
        return false;
    }
    auto &body = m_parser->get().body();
    if (m_parser->chunked() && needed > body.capacity()) {
        std::string larger;
        larger.reserve(needed);
        larger += body;
        body = std::move(larger);
    }
    return true;
}

// Returns whether the body could not be held if there were no others but a few small ones.
bool caller_session::isBodyTooLarge() const
{
    return neededMemory() + m_bufferShare.size() + memory_budget::largeBody > m_host.memory()->largeBodyLimit();
}

// Stops reading. The system's buffers fill, and the caller stops sending.
void caller_session::waitForMemory()
{
    if (m_waitsForMemory) {
        return;
    }
    if (isBodyTooLarge()) {
        refuseAndClose(makeStatus(failure::BodyTooLarge, "this VM has no memory for a body of this size"));
        return;
    }
    m_waitsForMemory = true;
    m_waitStart = steady::now();
    m_host.waitForMemory(*this);
}

bool caller_session::retryBody()
{
    if (!isWaitingForMemory()) {
        return true;
    }
    if (!takeBodyMemory()) {
        return false;
    }
    m_waitsForMemory = false;
    m_lastArrival = steady::now(); // Nothing was read meanwhile.
    parse();
    readMore();
    return true;
}

void caller_session::refuseForMemory(std::string_view detail)
{
    if (m_closed || !m_arriving) {
        return;
    }
    refuseRest(failure::Overloaded, detail, memoryRetry);
}

double caller_session::arrivalRate(steady::time_point now) const
{
    const std::chrono::duration<double> time = std::max<steady::duration>(now - m_phaseStart, minArrivalTime);
    return static_cast<double>(m_arrivedSize) / time.count();
}

bool caller_session::isSlowSender(steady::time_point now) const
{
    if (!m_arriving || m_waitsForMemory || m_closed || now - m_phaseStart < minArrivalTime) {
        return false;
    }
    return (now - m_lastArrival >= minArrivalTime || arrivalRate(now) < slowRate) && !hasPendingInput();
}

// Parses a pipelined request. The call is posted, so that requests answered at once do not recurse.
void caller_session::parseLater()
{
    if (m_parsePosted || m_closed || m_input.size() == 0) {
        return;
    }
    m_parsePosted = true;
    asio::post(executor(), [self = shared_from_this()] {
        self->m_parsePosted = false;
        if (!self->m_closed && self->m_caller == 0 && self->m_keepAlive) {
            self->parse();
            self->readMore();
        }
    });
}

void caller_session::onParseError(const boost::beast::error_code &error)
{
    if (error == http::error::header_limit) {
        refuseAndClose(makeStatus(failure::HeaderTooLarge, "the header exceeds " + std::to_string(m_host.limits().headerSize) + " bytes"));
    } else if (error == http::error::body_limit) {
        refuseAndClose(makeStatus(failure::BodyTooLarge, "the body exceeds " + std::to_string(m_host.limits().bodySize) + " bytes"));
    } else {
        refuseAndClose(makeStatus(failure::MalformedRequest, "the request is not valid HTTP: " + error.message()));
    }
}

// Refuses a request whose end is not known: the bytes that follow are not taken for a request.
void caller_session::refuseAndClose(const absl::Status &reason)
{
    m_parser.reset();
    m_input.clear();
    m_bodyShare.charge(0);
    m_arriving = false;
    m_keepAlive = false;
    refuse(failureOf(reason), std::string_view{reason.message().data(), reason.message().size()});
}

void caller_session::sendContinueIfExpected()
{
    if (m_continueHandled || !m_parser->is_header_done()) {
        return;
    }
    m_continueHandled = true;
    if (boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        m_pendingOutput += "HTTP/1.1 100 Continue\r\n\r\n";
        flushLater();
    }
}

void caller_session::handleRequest(http::request<http::string_body> message)
{
    m_keepAlive = message.keep_alive() && !m_host.isClosing();
    m_chunked = message.version() >= 11;
    m_request = std::make_unique<open_request>();
    m_request->body = std::exchange(m_bodyShare, memory_share(m_host.memory()));
    m_request->receivedAt = steady::now();
    m_request->headOnly = message.method() == http::verb::head;
    caller_request request;
    request.method = view(message.method_string());
    request.path = view(message.target());
    if (!bindKey(bearerKey(message), request)) {
        refuse(failure::TooManyConnections, "too many open connections with this key");
        return;
    }
    const bool opaque = m_host.handling() == request_handling::Opaque;
    request.headers = opaque ? endToEndRequestHeaders(message) : forwardedRequestHeaders(message);
    request.idempotencyKey = view(message["Idempotency-Key"]);
    request.body = std::move(message.body());
    if (!opaque && !readCompletion(request)) {
        return;
    }
    m_caller = m_host.registerCaller(*this);
    request.caller = m_caller;
    m_host.submit(std::move(request));
}

bool caller_session::bindKey(std::string_view key, caller_request &request)
{
    if (key.empty()) {
        return true;
    }
    request.key = digestOf(key);
    if (m_countedKey == request.key) {
        return true;
    }
    if (!m_host.countConnection(*request.key)) {
        return false;
    }
    if (m_countedKey) {
        m_host.uncountConnection(*m_countedKey);
    }
    m_countedKey = request.key;
    return true;
}

bool caller_session::readCompletion(caller_request &request)
{
    const auto path = std::string_view{request.path}.substr(0, request.path.find('?'));
    const bool chat = path == chatCompletionPath;
    if (request.method != "POST" || (!chat && path != completionPath)) {
        return true;
    }
    auto call = parseCompletion(request.body, chat);
    if (!call.ok()) {
        refuse(failureOf(call.status()), std::string_view{call.status().message().data(), call.status().message().size()});
        return false;
    }
    // Engines get only the prompt: the headers and the body are not needed any more.
    request.body = {};
    request.headers.clear();
    m_request->completion = true;
    m_request->stream = call->stream;
    m_request->identity.chat = chat;
    m_request->identity.model = call->model.value;
    m_request->identity.created = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    request.completion = std::move(*call);
    return true;
}

void caller_session::refuse(failure reason, std::string_view detail, std::optional<duration> retryAfter)
{
    if (!m_request) {
        m_request = std::make_unique<open_request>();
    }
    writeProblem({.reason = reason, .result = outcome::NotRun, .detail = std::string{detail}, .retryAfter = retryAfter});
    finish(entryOf(reason).httpStatus);
}

void caller_session::setLabel(const request_label &label)
{
    m_request->label = toString(label);
    m_request->identity.id = (m_request->identity.chat ? "chatcmpl-" : "cmpl-") + m_request->label;
}

void caller_session::writeToken(std::string_view text)
{
    if (!m_request->hasToken) {
        m_request->hasToken = true;
        m_host.addFirstTokenTime(steady::now() - m_request->receivedAt);
    }
    m_host.countToken();
    if (!m_request->stream) {
        m_request->collectedText += text;
        return;
    }
    beginStream();
    openChunk();
    m_request->eventWriter->appendToken(m_pendingOutput, text);
    flushUnlessFull();
}

void caller_session::finishCompletion(const answer_done &answer)
{
    if (m_request->stream) {
        beginStream();
        openChunk();
        m_request->eventWriter->appendDone(m_pendingOutput, answer);
    } else {
        auto identity = m_request->identity;
        const auto body = completionBody(identity, answer, m_request->collectedText);
        writeHead(static_cast<int>(http::status::ok), "application/json", body.size());
        m_pendingOutput += "X-Request-Id: " + toString(answer.label) + "\r\n\r\n";
        m_pendingOutput += body;
    }
    finish(static_cast<int>(http::status::ok));
}

void caller_session::failRequest(const answer_failure &answer)
{
    if (m_request->eventWriter) {
        openChunk();
        event_writer::appendProblem(m_pendingOutput, problemBody(answer.reason, answer.result, answer.detail, answer.label));
        // The end mark is left out, so that the caller does not take the answer for a complete one.
        m_keepAlive = false;
        finish(static_cast<int>(http::status::ok));
        return;
    }
    writeProblem(answer);
    finish(entryOf(answer.reason).httpStatus);
}

void caller_session::writePlainAnswer(const answer_plain &answer)
{
    m_host.addPlainAnswerTime(steady::now() - m_request->receivedAt);
    writeHead(answer.status, "", answer.body.size());
    for (const auto &headerField : answer.headers) {
        m_pendingOutput += headerField.name + ": " + headerField.value + "\r\n";
    }
    if (m_host.handling() == request_handling::Completion) {
        m_pendingOutput += "X-Request-Id: " + toString(answer.label) + "\r\n";
    }
    m_pendingOutput += "\r\n";
    if (!m_request->headOnly) {
        m_pendingOutput += answer.body;
    }
    finish(answer.status);
}

void caller_session::writeStreamHead(const answer_stream_head &answer)
{
    m_request->opaqueStream = true;
    writeStatus(answer.status);
    for (const auto &headerField : answer.headers) {
        m_pendingOutput += headerField.name + ": " + headerField.value + "\r\n";
    }
    // HTTP/1.0 has no chunked encoding: the end of the connection ends the answer, and only a reset shows that it is incomplete.
    m_keepAlive = m_keepAlive && m_chunked;
    if (!m_chunked) {
        setResetOnClose(true);
    }
    if (!m_keepAlive) {
        m_pendingOutput += "Connection: close\r\n";
    }
    m_pendingOutput += m_chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
    flushLater();
}

void caller_session::writeStreamBytes(std::string_view bytes)
{
    // An empty chunk would end the answer.
    if (bytes.empty()) {
        return;
    }
    if (!m_request->hasToken) {
        m_request->hasToken = true;
        m_host.addFirstTokenTime(steady::now() - m_request->receivedAt);
    }
    m_host.countToken();
    openChunk();
    m_pendingOutput += bytes;
    flushUnlessFull();
}

void caller_session::endStream()
{
    if (!m_chunked) {
        setResetOnClose(false);
    }
    finish(static_cast<int>(http::status::ok));
}

void caller_session::abortAnswer()
{
    m_keepAlive = false;
    closeChunk();
    if (!m_chunked || !m_request->opaqueStream) {
        close(close_reason::AnswerBroken);
        return;
    }
    m_request->opaqueStream = false;
    finish(static_cast<int>(http::status::ok));
}

} // namespace plantainpoint
