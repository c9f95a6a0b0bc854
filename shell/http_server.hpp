// server for callers: HTTP/1.1, with TLS by settings
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

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
    request_form form = request_form::Completion;
};

class http_server final : private session_host
{
public:
    // all have to outlive the server
    http_server(boost::asio::io_context &io, http_server_settings settings, input_sink sink, const line_logger &logger, shell_metrics &metrics);
    ~http_server() override;

    // InvalidSettings when the address cannot be bound or the TLS files cannot be used
    absl::Status listen(const std::string &address);
    // port that listen() has bound
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

    // sizes and times from the configuration; the other limits stay
    void setBounds(const caller_bounds &bounds);

    // connections end after their present answer
    void beginClosing() { m_closing = true; }
    void stopListening();
    // stops listening and ends the connections that have no request
    void closeIdle();
    void closeAll();
    // no answer is waiting to be written
    bool flushed() const;

private:
    const server_limits &limits() const override { return m_settings.limits; }
    request_form form() const override { return m_settings.form; }
    bool countKey(const key_digest &key) override;
    void uncountKey(const key_digest &key) override;
    caller_id open(caller_session &session) override;
    void submit(caller_request request) override;
    void answered(caller_id caller, int status) override;
    void callerDisconnected(caller_id caller) override;
    void slowCaller() override { ++m_metrics.slowCallers; }
    void tokenWritten() override { ++m_metrics.tokens; }
    void firstTokenAfter(duration time) override { m_metrics.firstToken.add(time); }
    void plainAnswerAfter(duration time) override { m_metrics.plainAnswer.add(time); }
    void closed(caller_session &session) override;
    bool closing() const override { return m_closing; }

    absl::Status loadTls();
    void accept();
    void addSession(boost::asio::ip::tcp::socket socket);
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
    caller_id m_lastCaller = 0;
    bool m_closing = false;
};

} // namespace plantainpoint
