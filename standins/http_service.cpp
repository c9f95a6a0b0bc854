// HTTP server and client of the stand-ins.
#include "http_service.hpp"

#include <algorithm>
#include <charconv>
#include <csignal>
#include <iostream>
#include <stdexcept>

namespace plantainpoint::standin {

namespace {

constexpr auto useAwaitable = asio::use_awaitable;
constexpr std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
constexpr std::size_t hexBufferSize = 20;

// Returns the value of a parameter in a query string, or std::nullopt if the parameter is missing.
std::optional<std::string> queryValue(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return std::string{pair.substr(equals + 1)};
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return std::nullopt;
}

} // namespace

exchange::exchange(beast::tcp_stream &stream, http::request<http::string_body> request)
    : m_stream(stream)
    , m_request(std::move(request))
{
    const std::string target(m_request.target());
    const auto queryStart = target.find('?');
    m_path = target.substr(0, queryStart);
    if (queryStart != std::string::npos) {
        m_query = target.substr(queryStart + 1);
    }
}

std::int64_t exchange::queryNumber(std::string_view name, std::int64_t fallback) const
{
    const auto value = queryValue(m_query, name);
    if (!value) {
        return fallback;
    }
    std::int64_t parsed = fallback;
    const auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), parsed);
    return error == std::errc{} ? parsed : fallback;
}

std::string exchange::queryText(std::string_view name) const
{
    return queryValue(m_query, name).value_or(std::string{});
}

nlohmann::json exchange::jsonBody() const
{
    auto parsed = nlohmann::json::parse(m_request.body(), nullptr, false);
    return parsed.is_object() ? parsed : nlohmann::json::object();
}

asio::awaitable<void> exchange::reply(int status, std::string body, std::string contentType)
{
    http::response<http::string_body> response(static_cast<http::status>(status), m_request.version());
    response.set(http::field::content_type, contentType);
    for (const auto &[name, value] : m_headers) {
        response.set(name, value);
    }
    response.keep_alive(m_request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    boost::system::error_code error;
    co_await http::async_write(m_stream, response, asio::redirect_error(useAwaitable, error));
    m_clientDisconnected = m_clientDisconnected || error;
}

asio::awaitable<void> exchange::reply(int status, const nlohmann::json &body)
{
    std::string serialized = body.dump();
    std::string contentType = "application/json";
    co_await reply(status, std::move(serialized), std::move(contentType));
}

asio::awaitable<void> exchange::replyError(int status, std::string_view code)
{
    const nlohmann::json body{{"error", code}};
    co_await reply(status, body);
}

asio::awaitable<void> exchange::write(asio::const_buffer bytes)
{
    if (m_clientDisconnected) {
        co_return;
    }
    boost::system::error_code error;
    co_await asio::async_write(m_stream.socket(), bytes, asio::redirect_error(useAwaitable, error));
    m_clientDisconnected = m_clientDisconnected || error;
}

asio::awaitable<void> exchange::beginEvents()
{
    static constexpr std::string_view head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    m_stream.expires_never();
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true));
    co_await write(asio::buffer(head));
}

asio::awaitable<void> exchange::sendEvents(std::string events)
{
    std::array<char, hexBufferSize> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), events.size(), 16).ptr;
    std::string chunk(size.data(), end);
    chunk.append("\r\n").append(events).append("\r\n");
    co_await write(asio::buffer(chunk));
}

asio::awaitable<void> exchange::endEvents()
{
    static constexpr std::string_view tail = "0\r\n\r\n";
    co_await write(asio::buffer(tail));
}

void exchange::dropConnection()
{
    m_connectionDropped = true;
    boost::system::error_code ignored;
    m_stream.socket().close(ignored);
}

http_service::http_service(asio::io_context &context)
    : m_context(context)
    , m_acceptor(context)
{
}

void http_service::route(std::string method, std::string pathPrefix, request_handler handler)
{
    m_routes.push_back({std::move(method), std::move(pathPrefix), std::move(handler)});
}

void http_service::listen(const std::string &address)
{
    const auto endpoint = parseAddress(address);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen(asio::socket_base::max_listen_connections);
    asio::co_spawn(m_context, acceptConnections(), asio::detached);
}

asio::awaitable<void> http_service::acceptConnections()
{
    for (;;) {
        boost::system::error_code error;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(useAwaitable, error));
        if (!error) {
            asio::co_spawn(m_context, serveConnection(std::move(socket)), asio::detached);
        }
    }
}

asio::awaitable<void> http_service::serveConnection(asio::ip::tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        boost::system::error_code error;
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(useAwaitable, error));
        if (error) {
            co_return;
        }
        exchange call(stream, parser.release());
        co_await dispatch(call);
        if (!call.keepAlive()) {
            co_return;
        }
    }
}

asio::awaitable<void> http_service::dispatch(exchange &call)
{
    const std::string_view method(call.request().method_string().data(), call.request().method_string().size());
    for (const auto &entry : m_routes) {
        const bool methodMatches = entry.method == "*" || entry.method == method;
        if (methodMatches && call.path().starts_with(entry.pathPrefix)) {
            co_await entry.handler(call);
            co_return;
        }
    }
    co_await call.replyError(404, "unknown_path");
}

asio::ip::tcp::endpoint parseAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("address is not IP:PORT: " + address);
    }
    const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
    return {asio::ip::make_address(address.substr(0, colon)), port};
}

asio::awaitable<void> sleepFor(milliseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(useAwaitable);
}

asio::awaitable<std::optional<http::response<http::string_body>>>
fetch(const std::string &address, http::verb method, const std::string &target, std::string body, milliseconds timeout)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    boost::system::error_code error;
    co_await stream.async_connect(parseAddress(address), asio::redirect_error(useAwaitable, error));
    if (error) {
        co_return std::nullopt;
    }
    http::request<http::string_body> request(method, target, 11);
    request.set(http::field::host, address);
    request.body() = std::move(body);
    request.prepare_payload();
    co_await http::async_write(stream, request, asio::redirect_error(useAwaitable, error));
    if (error) {
        co_return std::nullopt;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxBodyBytes);
    co_await http::async_read(stream, buffer, parser, asio::redirect_error(useAwaitable, error));
    if (error) {
        co_return std::nullopt;
    }
    co_return parser.release();
}

void runUntilSignal(asio::io_context &context)
{
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
}

} // namespace plantainpoint::standin
