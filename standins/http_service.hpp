// A small HTTP server for the stand-ins. Each connection has its own coroutine and all coroutines run on one thread.
// Arguments of awaited calls are stored in named variables first because g++ 12 destroys some temporaries of a co_await expression twice.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <nlohmann/json.hpp>

namespace plantainpoint::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using std::chrono::milliseconds;

// An HTTP request and the functions that send its response.
class exchange
{
public:
    exchange(beast::tcp_stream &stream, http::request<http::string_body> request);

    const http::request<http::string_body> &request() const { return m_request; }
    // Adds a header to the response.
    void addHeader(std::string name, std::string value) { m_headers.emplace_back(std::move(name), std::move(value)); }
    std::string_view path() const { return m_path; }
    // Returns the value of a query parameter, or the fallback if the parameter is missing or not a number.
    std::int64_t queryNumber(std::string_view name, std::int64_t fallback) const;
    // Returns the value of a query parameter, or an empty string if the parameter is missing.
    std::string queryText(std::string_view name) const;
    // Returns the body as a JSON object, or an empty object if the body is not one.
    nlohmann::json jsonBody() const;

    asio::awaitable<void> reply(int status, const nlohmann::json &body);
    asio::awaitable<void> reply(int status, std::string body, std::string contentType);
    asio::awaitable<void> replyError(int status, std::string_view code);

    // Send server-sent events with chunked transfer encoding. After a failed write the client counts as disconnected and further events are discarded.
    asio::awaitable<void> beginEvents();
    asio::awaitable<void> sendEvents(std::string events);
    asio::awaitable<void> endEvents();
    bool clientDisconnected() const { return m_clientDisconnected; }

    // Closes the connection without a response.
    void dropConnection();
    bool connectionDropped() const { return m_connectionDropped; }
    bool keepAlive() const { return m_request.keep_alive() && !m_connectionDropped && !m_clientDisconnected; }

private:
    asio::awaitable<void> write(asio::const_buffer bytes);

    beast::tcp_stream &m_stream;
    http::request<http::string_body> m_request;
    std::string m_path;
    std::string m_query;
    std::vector<std::pair<std::string, std::string>> m_headers;
    bool m_clientDisconnected = false;
    bool m_connectionDropped = false;
};

using request_handler = std::function<asio::awaitable<void>(exchange &)>;

class http_service
{
public:
    explicit http_service(asio::io_context &context);

    // Registers a handler. A request is passed to the first route whose method (or "*") and path prefix match.
    void route(std::string method, std::string pathPrefix, request_handler handler);
    // Listens on an IP:PORT address. Throws boost::system::system_error if the address cannot be bound.
    void listen(const std::string &address);

private:
    struct route_entry {
        std::string method;
        std::string pathPrefix;
        request_handler handler;
    };

    asio::awaitable<void> acceptConnections();
    asio::awaitable<void> serveConnection(asio::ip::tcp::socket socket);
    asio::awaitable<void> dispatch(exchange &call);

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<route_entry> m_routes;
};

// Parses an IP:PORT address. Throws std::invalid_argument if the text has another form.
asio::ip::tcp::endpoint parseAddress(const std::string &address);

// Waits on the executor of the calling coroutine.
asio::awaitable<void> sleepFor(milliseconds duration);

// Sends a request and returns the response, or std::nullopt if the connection fails or the timeout expires.
asio::awaitable<std::optional<http::response<http::string_body>>>
fetch(const std::string &address, http::verb method, const std::string &target, std::string body, milliseconds timeout);

// Runs the I/O context until SIGTERM or SIGINT arrives.
void runUntilSignal(asio::io_context &context);

} // namespace plantainpoint::standin
