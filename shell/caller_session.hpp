// One connection of a caller: parses the requests and writes the answers.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "close_reason.hpp"
#include "completion_api.hpp"
#include "memory_budget.hpp"
#include "plantainpoint/relay.hpp"
#include "settings.hpp"

namespace plantainpoint {

class caller_session;

// What a connection held when it was closed.
struct unfinished_work {
    bool requestOpen = false; // A request without a terminal answer.
    std::size_t unreadInput = 0; // Bytes from the caller that were not taken for a request.
    std::size_t unwrittenOutput = 0; // Bytes for the caller.
};

enum class request_handling : std::uint8_t {
    Completion, // Completion requests are parsed. Other requests go to plain services.
    Opaque, // Every request is forwarded without parsing its body.
};

// Interface of the server that owns a session.
class session_host
{
public:
    virtual ~session_host() = default;

    virtual const server_limits &limits() const = 0;
    // Returns how this server handles the bodies of requests.
    virtual request_handling handling() const = 0;
    // Counts the session as a connection of the key. Returns false if the key has too many connections.
    virtual bool countConnection(const key_digest &key) = 0;
    virtual void uncountConnection(const key_digest &key) = 0;
    // Assigns an id to the session's next request.
    virtual caller_id registerCaller(caller_session &session) = 0;
    virtual void submit(caller_request request) = 0;
    // The request has its terminal answer. The status is that of the response, 200 for a stream.
    virtual void onAnswered(caller_id caller, int status) = 0;
    virtual void onCallerDisconnected(caller_id caller) = 0;
    virtual void countSlowCaller() = 0;
    // Returns the budget for the bytes of all connections.
    virtual const std::shared_ptr<memory_budget> &memory() const = 0;
    // The session stops reading until retryBody() or refuseForMemory() is called.
    virtual void waitForMemory(caller_session &session) = 0;
    // The session holds more bytes that cannot be refused.
    virtual void onBytesHeld() = 0;
    virtual void countToken() = 0;
    virtual void addFirstTokenTime(duration time) = 0;
    virtual void addPlainAnswerTime(duration time) = 0;
    virtual void onClosed(caller_session &session, close_reason reason, const unfinished_work &work) = 0;
    // Returns whether answers announce that their connection is closed.
    virtual bool isClosing() const = 0;
    // Returns whether a connection is closed instead of resting until its next request.
    virtual bool closesAtRest() const = 0;
};

// HTTP protocol of a connection. Derived classes transfer the bytes.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    explicit caller_session(session_host &host);
    virtual ~caller_session() = default;
    caller_session(const caller_session &) = delete;
    caller_session &operator=(const caller_session &) = delete;

    void start();
    void setLabel(const request_label &label);
    void writeToken(std::string_view text);
    void finishCompletion(const answer_done &answer);
    void failRequest(const answer_failure &answer);
    void writePlainAnswer(const answer_plain &answer);
    void writeStreamHead(const answer_stream_head &answer);
    void writeStreamBytes(std::string_view bytes);
    void endStream();
    // Ends the connection without the end of the answer, so that the answer does not look complete.
    void abortAnswer();
    // Closes or refuses the connection if its idle, write or drain time has expired. What has arrived or been taken meanwhile is handled first, as this
    // process may have stood still.
    void sweep(std::chrono::steady_clock::time_point now);
    // Refuses a request that is being received, as this VM is shutting down.
    void refuseArriving();
    // Closes a resting connection, or refuses the request that is being received, unless further bytes have arrived.
    void closeUnlessRead(close_reason reason);
    void close(close_reason reason);

    // Returns whether the body of a request waits for memory.
    bool isWaitingForMemory() const { return m_waitsForMemory && !m_closed; }
    std::chrono::steady_clock::time_point waitsSince() const { return m_waitStart; }
    // Returns how many bytes the waiting body needs beyond those that it has.
    std::size_t missingMemory() const { return neededMemory() - std::min(neededMemory(), m_bodyShare.size()); }
    // Goes on with a body that waits for memory. Returns false if there is still none.
    bool retryBody();
    // Refuses the request that is being received, as its bytes are needed for others or none are left for it.
    void refuseForMemory(std::string_view detail);
    // Returns whether a request is being received slower than an ordinary caller sends, or not at all.
    bool isSlowSender(std::chrono::steady_clock::time_point now) const;
    // Bytes per second at which the request arrives that is being received.
    double arrivalRate(std::chrono::steady_clock::time_point now) const;
    // Returns whether output waits for a caller that takes none at the moment.
    bool isStalledReader() { return m_writing && !m_closed && !canWrite(); }
    std::chrono::steady_clock::time_point lastWriteStart() const { return m_writeStart; }
    // Start of the rest of a connection without a request.
    std::chrono::steady_clock::time_point phaseStart() const { return m_phaseStart; }
    // Bytes that this connection holds.
    std::size_t heldBytes() const { return m_bufferShare.size() + m_bodyShare.size() + (m_request ? m_request->body.size() : 0); }
    // Returns whether no request is open or partly received and no output is left.
    bool isIdle() const { return m_caller == 0 && !m_arriving && m_input.size() == 0 && !hasOutput(); }
    // Returns whether a request is being received, or bytes of one wait to be read.
    bool isReceiving() const { return m_ready && m_caller == 0 && m_keepAlive && (m_arriving || m_input.size() > 0 || hasPendingInput()); }
    // Returns whether the rest of a request that was refused is read and discarded.
    bool isDiscarding() const { return m_inputRefused && !m_closed; }
    // Returns the number of bytes that have arrived and have not been read.
    virtual std::size_t pendingInput() const = 0;
    bool hasPendingInput() const { return pendingInput() > 0; }
    // Returns whether the connection takes further bytes.
    virtual bool canWrite() = 0;
    bool hasOutput() const { return m_writing || !m_pendingOutput.empty(); }

protected:
    virtual boost::asio::any_io_executor executor() = 0;
    // The derived class calls ready() on success.
    virtual void handshake() = 0;
    // The derived class calls onRead() on completion.
    virtual void read(boost::asio::mutable_buffer buffer) = 0;
    // Writes at least one byte. The derived class calls onWritten() with the number of bytes.
    virtual void write(boost::asio::const_buffer bytes) = 0;
    // Shuts down the sending direction of the connection.
    virtual void endOutput() = 0;
    // Completes the pending read with an error, unless it has completed.
    virtual void cancelRead() = 0;
    virtual void closeSocket() = 0;
    // Selects whether the connection is reset when it is closed, also by the end of this process.
    virtual void setResetOnClose(bool reset) = 0;

    void ready();
    void onRead(const boost::system::error_code &error, std::size_t size);
    void onWritten(const boost::system::error_code &error, std::size_t size);

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using steady = std::chrono::steady_clock;

    // A request that has no terminal answer yet.
    struct open_request {
        answer_identity identity;
        std::string label; // Empty until the request is admitted.
        std::optional<event_writer> eventWriter; // Set once an event stream has begun.
        std::string collectedText; // Text of an answer that is not streamed.
        memory_share body; // The core keeps the body until the request has its terminal answer.
        steady::time_point receivedAt;
        bool completion = false;
        bool stream = false;
        bool hasToken = false;
        bool headOnly = false;
        bool opaqueStream = false; // A stream of opaque bytes has begun.
    };

    void beginPhase();
    void readMore();
    void takeReceived(std::size_t size);
    void onReadCancelled();
    void parse();
    absl::Status checkHead() const;
    std::size_t neededMemory() const;
    bool takeBodyMemory();
    bool isBodyTooLarge() const;
    void waitForMemory();
    void countBuffers();
    void parseLater();
    void onParseError(const boost::beast::error_code &error);
    void sendContinueIfExpected();
    void handleRequest(boost::beast::http::request<boost::beast::http::string_body> message);
    bool bindKey(std::string_view key, caller_request &request);
    bool readCompletion(caller_request &request);
    void refuse(failure reason, std::string_view detail, std::optional<duration> retryAfter = std::nullopt);
    void refuseRest(failure reason, std::string_view detail, std::optional<duration> retryAfter = std::nullopt);
    void refuseAndClose(const absl::Status &reason);

    void beginStream();
    void writeStatus(int status);
    void decideKeepAlive() { m_keepAlive = m_keepAlive && !m_host.isClosing(); }
    void writeHead(int status, std::string_view contentType, std::size_t length);
    void writeProblem(const answer_failure &answer);
    void finish(int status);
    void openChunk();
    void closeChunk();
    void flushLater();
    void flushUnlessFull();
    void flush();
    void onFlushed();
    void writeRest();
    void endOutputOnce();

    session_host &m_host;
    // A pending read may write to m_received at any time, so that the bytes to parse are kept in m_input.
    boost::beast::flat_buffer m_received;
    boost::beast::flat_buffer m_input; // Bytes received and not parsed.
    std::unique_ptr<request_parser> m_parser; // Set while a request is being received.
    std::unique_ptr<open_request> m_request;
    memory_share m_bodyShare; // Counts the body of the request that is being received.
    memory_share m_bufferShare; // Counts the buffers.
    std::size_t m_arrivedSize = 0; // Bytes that have arrived since the start of the request that is being received.
    std::size_t m_bodyWireSize = 0; // Bytes of its body, with their framing, that have been parsed.
    steady::time_point m_lastArrival;
    steady::time_point m_waitStart; // Of the wait for memory.
    std::string m_pendingOutput;
    std::string m_writeBuffer; // Bytes of the write in progress.
    close_reason m_cancelReason = close_reason::Idle; // Of a read that is cancelled to close the connection.
    std::optional<key_digest> m_countedKey; // The key that this connection is counted for.
    caller_id m_caller = 0; // 0 while no request is open.
    std::size_t m_chunkStart = 0; // Offset of the open chunk in m_pendingOutput.
    std::size_t m_readSize = 0;
    std::size_t m_writtenSize = 0; // Bytes of m_writeBuffer that the connection has taken.
    std::size_t m_discardedBytes = 0;
    steady::time_point m_phaseStart; // Start of the idle time, of the request's arrival or of the drain.
    std::chrono::milliseconds m_idleTime; // Limit at m_phaseStart. Callers count on it until the phase ends, also if a configuration lowers it.
    steady::time_point m_writeStart;
    bool m_ready = false; // The handshake has ended.
    bool m_chunkOpen = false;
    bool m_chunked = false;
    bool m_waitsForMemory = false;
    bool m_arriving = false; // A request has been received in part.
    bool m_continueHandled = false;
    bool m_keepAlive = true;
    bool m_reading = false;
    bool m_writing = false;
    bool m_flushPosted = false;
    bool m_parsePosted = false;
    bool m_outputEnded = false;
    bool m_inputRefused = false; // A request was refused before its end.
    bool m_closed = false;
};

} // namespace plantainpoint
