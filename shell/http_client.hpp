// HTTP/1.1 client with kept-alive connections, one pool per address
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "plantainpoint/clock.hpp"

namespace plantainpoint {

using http_fields = boost::beast::http::fields;
using http_request = boost::beast::http::request<boost::beast::http::string_body>;

enum class transfer_end : std::uint8_t {
    Complete,
    ConnectFailed,
    Closed, // the connection ended before the response did
    TimedOut,
    Malformed,
};

// takes the parts of one response. the callbacks may abort the call, and may start others.
class http_receiver
{
public:
    virtual ~http_receiver() = default;
    virtual void onHead(int status, const http_fields &fields) = 0;
    // a part of the body, chunk framing removed
    virtual void onBody(std::string_view part) = 0;
    // last callback. bytesLeft: a byte of the request may have reached the other side.
    virtual void onEnd(transfer_end end, bool bytesLeft) = 0;
};

enum class timeout_kind : std::uint8_t {
    Whole, // from start to end
    Silence, // between two parts of the response
};

struct http_call {
    http_request request;
    duration timeout{};
    timeout_kind kind = timeout_kind::Whole;
    std::uint64_t maxBody = 16 * 1024UL * 1024UL; // bytes
    // false: the response belongs to an earlier request of the connection and is skipped. empty: every response is taken.
    std::function<bool(const http_fields &)> accepts;
};

struct http_client_options {
    std::chrono::milliseconds connectTimeout{1000};
    // a connection whose bytes the other side does not confirm ends after this time; zero: the system's default
    std::chrono::milliseconds unconfirmedTimeout{0};
    std::size_t idlePerAddress = 64; // connections kept
};

class client_connection;
class connection_pool;

// handle of a running call
class running_call
{
public:
    running_call() = default;
    explicit running_call(std::weak_ptr<client_connection> connection, std::uint64_t number);

    // closes the connection; no further callback arrives. no effect once the call has ended.
    void abort();

private:
    std::weak_ptr<client_connection> m_connection;
    std::uint64_t m_number = 0; // of the call on its connection
};

class http_client
{
public:
    explicit http_client(boost::asio::io_context &io, http_client_options options = {});
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    // the receiver is kept until its last callback, which never runs inside this function
    running_call start(const std::string &address, http_call call, std::shared_ptr<http_receiver> receiver);

    // closes every connection without callbacks
    void close();

private:
    std::shared_ptr<connection_pool> m_pool;
};

// a request with the fields that every call needs
http_request makeRequest(boost::beast::http::verb method, std::string_view target, std::string body = {}, std::string_view contentType = "application/json");

// collects a whole response and passes it to the handler: (transfer_end, bytesLeft, status, fields, body)
template<class Handler>
class whole_response final : public http_receiver
{
public:
    explicit whole_response(Handler handler)
        : m_handler(std::move(handler))
    {
    }

    void onHead(int status, const http_fields &fields) override
    {
        m_status = status;
        m_fields = fields;
    }
    void onBody(std::string_view part) override { m_body += part; }
    void onEnd(transfer_end end, bool bytesLeft) override { m_handler(end, bytesLeft, m_status, m_fields, std::move(m_body)); }

private:
    Handler m_handler;
    int m_status = 0;
    http_fields m_fields;
    std::string m_body;
};

template<class Handler>
std::shared_ptr<http_receiver> receiveWhole(Handler handler)
{
    return std::make_shared<whole_response<Handler>>(std::move(handler));
}

} // namespace plantainpoint
