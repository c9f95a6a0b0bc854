// HTTP/1.1 server for callers, with TLS if the settings ask for it.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "caller_session.hpp"
#include "endpoint_client.hpp"
#include "logging.hpp"
#include "plantainpoint/relay.hpp"
#include "settings.hpp"
#include "shell_metrics.hpp"

namespace plantainpoint {

struct http_server_settings {
    server_limits limits;
    std::optional<tls_files> tls;
    request_handling handling = request_handling::Completion;
    std::shared_ptr<memory_budget> memory = std::make_shared<memory_budget>(); // Shared with what else holds bytes in the process.
};

class http_server final : private session_host
{
public:
    // All arguments that are passed by reference must outlive the server.
    http_server(boost::asio::io_context &io, http_server_settings settings, input_sink sink, const line_logger &logger, shell_metrics &metrics);
    ~http_server() override;

    // Returns InvalidSettings if the address cannot be bound or the TLS files cannot be loaded.
    absl::Status listen(const std::string &address);
    // Returns the port that listen() has bound.
    std::uint16_t port() const;

    void run(const request_admitted &command);
    void run(const request_relabelled &command);
    void run(const answer_token &command);
    void run(const answer_done &command);
    void run(const answer_failure &command);
    void run(const answer_plain &command);
    void run(const answer_stream_head &command);
    void run(const answer_stream_bytes &command);
    void run(const answer_stream_end &command);
    void run(const abort_answer &command);

    // Applies the sizes and times of the configuration. The other limits stay unchanged.
    void setBounds(const caller_bounds &bounds);

    // From now on answers announce that their connection is closed.
    void beginClosing() { m_closing = true; }
    void stopListening();
    // Stops listening and closes the connections that have no request, now or after their current answer. Connections that wait to be accepted are taken.
    void closeIdle();
    // Refuses the requests that have been received in part or wait to be read.
    void refuseArriving();
    void closeAll();
    // Returns whether all output has been written to the callers, and whether those whose requests were refused in part have closed.
    bool flushed() const;
    // Returns whether a request has been received in part, or waits to be read.
    bool isReceiving() const;

private:
    const server_limits &limits() const override { return m_settings.limits; }
    request_handling handling() const override { return m_settings.handling; }
    bool countConnection(const key_digest &key) override;
    void uncountConnection(const key_digest &key) override;
    caller_id registerCaller(caller_session &session) override;
    void submit(caller_request request) override;
    void onAnswered(caller_id caller, int status) override;
    void onCallerDisconnected(caller_id caller) override;
    void countSlowCaller() override { ++m_metrics.slowCallers; }
    const std::shared_ptr<memory_budget> &memory() const override { return m_settings.memory; }
    void waitForMemory(caller_session &session) override;
    void onBytesHeld() override;
    void countToken() override { ++m_metrics.tokens; }
    void addFirstTokenTime(duration time) override { m_metrics.firstToken.add(time); }
    void addPlainAnswerTime(duration time) override { m_metrics.plainAnswer.add(time); }
    void onClosed(caller_session &session, close_reason reason, const unfinished_work &work) override;
    bool isClosing() const override { return m_closing; }
    bool closesAtRest() const override { return m_closesAtRest; }

    absl::Status loadTls();
    void accept();
    void acceptPending();
    void addSession(boost::asio::ip::tcp::socket socket);
    bool makeRoomForConnection();
    void refuseConnection(boost::asio::ip::tcp::socket &socket);
    std::vector<std::shared_ptr<caller_session>> sessionList() const;
    void scheduleMemoryRetry();
    void retryWaitingBodies();
    void refuseSlowSenders(std::size_t bytes);
    void relieveMemory();
    void returnFreedMemory(std::chrono::steady_clock::time_point now);
    void reportLimits(std::chrono::steady_clock::time_point now);
    std::shared_ptr<caller_session> sessionOf(caller_id caller);
    void sweepLater();

    boost::asio::io_context &m_io;
    http_server_settings m_settings;
    input_sink m_sink;
    const line_logger &m_logger;
    shell_metrics &m_metrics;
    std::optional<boost::asio::ssl::context> m_tls;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_sweepTimer;
    boost::asio::steady_timer m_acceptTimer;
    std::unordered_map<caller_session *, std::shared_ptr<caller_session>> m_sessions;
    std::unordered_map<caller_id, caller_session *> m_callers;
    std::map<key_digest, std::int32_t> m_connectionsOfKey;
    boost::asio::steady_timer m_memoryTimer;
    std::vector<std::weak_ptr<caller_session>> m_waitingForMemory; // The sessions whose bodies wait for memory, the oldest first.
    std::chrono::steady_clock::time_point m_memoryReturnedAt;
    std::chrono::steady_clock::time_point m_reportedAt; // Of the log line about limits.
    std::uint64_t m_reportedEvents = 0;
    caller_id m_lastCaller = 0;
    std::shared_ptr<char> m_alive = std::make_shared<char>(); // Posted work ends with the server.
    bool m_memoryRetryScheduled = false;
    bool m_reliefPosted = false;
    bool m_closing = false;
    bool m_closesAtRest = false;
};

} // namespace plantainpoint
