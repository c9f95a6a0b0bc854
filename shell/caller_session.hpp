// one connection of a caller: requests in, answers out
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "completion_api.hpp"
#include "plantainpoint/relay.hpp"
#include "settings.hpp"

namespace plantainpoint {

class caller_session;

enum class request_form : std::uint8_t {
    Completion, // completion calls are parsed; other requests go to plain services
    Opaque, // every request is passed on as it came
};

// what a session needs of its server
class session_host
{
public:
    virtual ~session_host() = default;

    virtual const server_limits &limits() const = 0;
    // what requests look like on this server
    virtual request_form form() const = 0;
    // a key for which the session counts from now on; false: it has too many connections
    virtual bool countKey(const key_digest &key) = 0;
    virtual void uncountKey(const key_digest &key) = 0;
    virtual caller_id open(caller_session &session) = 0;
    virtual void submit(caller_request request) = 0;
    // the request has its terminal answer. status: of the response, 200 for a stream.
    virtual void answered(caller_id caller, int status) = 0;
    virtual void callerDisconnected(caller_id caller) = 0;
    virtual void slowCaller() = 0;
    virtual void tokenWritten() = 0;
    virtual void firstTokenAfter(duration time) = 0;
    virtual void plainAnswerAfter(duration time) = 0;
    virtual void closed(caller_session &session) = 0;
    // connections end after their present answer
    virtual bool closing() const = 0;
};

// protocol of a connection; derived classes move the bytes
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    explicit caller_session(session_host &host);
    virtual ~caller_session() = default;
    caller_session(const caller_session &) = delete;
    caller_session &operator=(const caller_session &) = delete;

    void start();
    void admitted(const request_label &label);
    void token(std::string_view text);
    void done(const answer_done &answer);
    void failed(const answer_failure &answer);
    void plain(const answer_plain &answer);
    void streamHead(const answer_stream_head &answer);
    void streamBytes(std::string_view bytes);
    void streamEnd();
    // the connection ends so that the answer does not look whole
    void breakOff();
    // ends what has been idle for too long
    void sweep(std::chrono::steady_clock::time_point now);
    void close();
    bool hasRequest() const { return m_caller != 0; }
    // neither a request nor a part of one has arrived, and no answer is being written
    bool isIdle() const { return m_caller == 0 && !m_arriving && m_input.size() == 0 && !hasOutput(); }
    bool hasOutput() const { return m_writing || !m_pending.empty(); }

protected:
    virtual boost::asio::any_io_executor executor() = 0;
    // to be followed by ready()
    virtual void handshake() = 0;
    // to be followed by onRead()
    virtual void read(boost::asio::mutable_buffer into) = 0;
    // to be followed by onWritten()
    virtual void write(boost::asio::const_buffer bytes) = 0;
    // no more output
    virtual void endOutput() = 0;
    virtual void closeSocket() = 0;

    void ready();
    void onRead(const boost::system::error_code &error, std::size_t size);
    void onWritten(const boost::system::error_code &error);

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using steady = std::chrono::steady_clock;

    // a request that has no terminal answer yet
    struct open_request {
        answer_identity identity;
        std::string label; // once admitted
        std::optional<event_writer> events; // once the stream has begun
        std::string collected; // text of an answer that is not streamed
        steady::time_point receivedAt;
        bool completion = false;
        bool stream = false;
        bool hasToken = false;
        bool headOnly = false;
        bool relayed = false; // a stream of opaque bytes has begun
    };

    void readMore();
    void parse();
    void parseLater();
    void onParseError(const boost::beast::error_code &error);
    void continueRequested();
    void take(boost::beast::http::request<boost::beast::http::string_body> message);
    bool takeKey(std::string_view key, caller_request &request);
    bool takeCompletion(caller_request &request);
    void refuse(failure reason, std::string_view detail);

    void beginStream();
    void writeStatus(int status);
    void writeHead(int status, std::string_view contentType, std::size_t length);
    void writeProblem(const answer_failure &answer);
    void finish(int status);
    void openChunk();
    void closeChunk();
    void flushLater();
    void flush();
    void endOutputOnce();

    session_host &m_host;
    boost::beast::flat_buffer m_input;
    std::unique_ptr<request_parser> m_parser; // while a request is arriving
    std::unique_ptr<open_request> m_request;
    std::string m_pending;
    std::string m_out; // being written
    std::optional<key_digest> m_key; // for which the connection counts
    caller_id m_caller = 0; // 0: no open request
    std::size_t m_chunkAt = 0; // start of the open chunk in m_pending
    std::size_t m_readSize = 0;
    std::size_t m_discarded = 0;
    steady::time_point m_since; // start of the idle time, of the request's arrival or of the drain
    steady::time_point m_writeSince;
    bool m_chunkOpen = false;
    bool m_chunked = false;
    bool m_arriving = false; // a part of a request has arrived
    bool m_continued = false;
    bool m_keepAlive = true;
    bool m_reading = false;
    bool m_writing = false;
    bool m_flushPosted = false;
    bool m_parsePosted = false;
    bool m_outputEnded = false;
    bool m_closed = false;
};

} // namespace plantainpoint
