// A connection of the HTTP client, and the pool that keeps its idle connections.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "http_client.hpp"

namespace plantainpoint {

// Body type that passes the received body data to the connection instead of storing it.
struct streaming_body {
    using value_type = client_connection *;

    class reader
    {
    public:
        template<bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields> & /*head*/, value_type &target)
            : m_target(target)
        {
        }

        void init(const boost::optional<std::uint64_t> & /*length*/, boost::beast::error_code &error) { error = {}; }

        template<class Buffers>
        std::size_t put(const Buffers &buffers, boost::beast::error_code &error);

        void finish(boost::beast::error_code &error) { error = {}; }

    private:
        value_type &m_target; // Set after the parser is constructed.
    };
};

class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    // The proxy is the address of the VM through which the connection is opened, or empty.
    client_connection(
        boost::asio::io_context &io, std::weak_ptr<connection_pool> pool, std::string address, std::string proxy, const http_client_options &options);

    // Starts a call on an idle or new connection. Returns the number of the call. A request that is not sendable ends the call as Malformed and not sent.
    std::uint64_t start(http_call call, std::shared_ptr<http_receiver> receiver, bool sendable);
    // Has no effect when the call with this number is no longer running.
    void abort(std::uint64_t callNumber);
    void close();
    // Ends the running call, if any, without a callback and closes the connection.
    void closeWithoutCallback();

    // Returns true while the peer has neither closed the connection nor sent anything on it.
    bool isReusable();
    void onBodyData(std::string_view data);
    const std::string &key() const { return m_key; }
    // Returns whether the connection has lived as long as one may. Those through a proxy move to another one in time when it stops.
    bool isExpired() const;
    std::chrono::steady_clock::time_point idleSince() const { return m_idleSince; }
    // Returns how long the connection may stay idle: less than the time after which the peer closes it.
    std::chrono::steady_clock::duration idleLimit() const { return m_idleLimit; }

private:
    using response_parser = boost::beast::http::response_parser<streaming_body>;

    void connect();
    void onConnected(const boost::system::error_code &error);
    void onProxyAnswer(proxy_answer answer);
    void onEstablished();
    transfer_end connectFailure() const { return m_proxy.empty() ? transfer_end::ConnectFailed : transfer_end::ProxyFailed; }
    void write();
    void read();
    void onRead(const boost::system::error_code &error, std::size_t size);
    void onWritten(const boost::system::error_code &error, std::size_t size);
    // Parses the buffered bytes. Returns false if the response is malformed or the call was aborted.
    bool parseBuffered();
    void onHead();
    void resetParser();
    void readIdleLimit();
    void setUnacknowledgedTimeout();
    void setDeadline(std::chrono::steady_clock::time_point deadline);
    void scheduleTimer();
    void onTimer();
    // Returns true if the socket has what the call waits for: the established connection, or bytes or the end of the response.
    bool hasPendingEvent();
    void complete();
    void fail(transfer_end end);

    std::weak_ptr<connection_pool> m_pool;
    std::string m_address;
    std::string m_proxy;
    std::string m_key;
    std::chrono::steady_clock::time_point m_establishedAt;
    http_client_options m_options;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<response_parser> m_parser;
    std::optional<http_call> m_call;
    std::shared_ptr<http_receiver> m_receiver;
    std::chrono::steady_clock::time_point m_deadline;
    std::chrono::steady_clock::time_point m_idleSince;
    std::uint64_t m_callNumber = 0;
    std::chrono::steady_clock::time_point m_timerExpiry; // Expiry of the pending wait.
    std::chrono::steady_clock::time_point m_startedAt;
    std::size_t m_readSize = 0;
    bool m_timerPending = false;
    bool m_deadlineExtended = false;
    bool m_reading = false;
    bool m_writing = false;
    bool m_writeFailed = false; // The request was not written to its end.
    bool m_wasReset = false; // The write has shown that the connection did not end regularly. A read then reports a regular end.
    bool m_requestMaybeSent = false; // A byte of the request may have reached the peer.
    std::chrono::steady_clock::duration m_idleLimit = std::chrono::steady_clock::duration::max();
    bool m_headOnly = false; // The method is HEAD. The request is released once it is written.
    bool m_headSeen = false;
    bool m_statusValid = true;
    bool m_skippingResponse = false; // The response belongs to an earlier request.
    int m_skippedHeads = 0; // Interim responses and responses to earlier requests that arrived during the call.
    std::size_t m_skippedBytes = 0; // Body bytes of the latter.
};

template<class Buffers>
std::size_t streaming_body::reader::put(const Buffers &buffers, boost::beast::error_code &error)
{
    error = {};
    std::size_t size = 0;
    for (auto it = boost::asio::buffer_sequence_begin(buffers); it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer buffer = *it;
        m_target->onBodyData({static_cast<const char *>(buffer.data()), buffer.size()});
        size += buffer.size();
    }
    return size;
}

// Returns the name under which idle connections to the address are kept.
std::string connectionKey(const std::string &address, const std::string &proxy);

class connection_pool : public std::enable_shared_from_this<connection_pool>
{
public:
    connection_pool(boost::asio::io_context &io, http_client_options options);

    running_call start(const std::string &address, http_call call, std::shared_ptr<http_receiver> receiver);
    void returnConnection(const std::shared_ptr<client_connection> &connection);
    void remove(const std::shared_ptr<client_connection> &connection);
    // Closes the idle connections with a key.
    void closeIdle(const std::string &key);
    const http_client_options &options() const { return m_options; }
    void close();

private:
    std::shared_ptr<client_connection> acquireIdle(const std::string &key);
    void scheduleSweep();
    void sweep();

    boost::asio::io_context &m_io;
    http_client_options m_options;
    boost::asio::steady_timer m_timer;
    std::unordered_map<std::string, std::vector<std::shared_ptr<client_connection>>> m_idle;
    std::unordered_set<std::shared_ptr<client_connection>> m_open;
    bool m_sweepScheduled = false;
};

} // namespace plantainpoint
