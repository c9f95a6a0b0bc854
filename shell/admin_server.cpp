#include "admin_server.hpp"

#include <array>
#include <charconv>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

#include "address.hpp"
#include "plantainpoint/failure.hpp"
#include "shell_metrics.hpp"

namespace plantainpoint {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using nlohmann::json;

namespace {

constexpr auto requestTimeout = std::chrono::seconds{10};
constexpr auto acceptRetryDelay = std::chrono::milliseconds{50}; // After a failure such as too many open files.

// Returns the value of a query parameter with its percent escapes decoded, or an empty string if it is absent.
std::string queryValue(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto pair = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos || pair.substr(0, equals) != name) {
            continue;
        }
        std::string decoded;
        const auto value = pair.substr(equals + 1);
        for (std::size_t i = 0; i < value.size(); ++i) {
            constexpr std::size_t escapeSize = 3;
            unsigned code = 0;
            if (value[i] == '%' && i + escapeSize <= value.size()
                && std::from_chars(value.data() + i + 1, value.data() + i + escapeSize, code, 16).ptr == value.data() + i + escapeSize) {
                decoded += static_cast<char>(code);
                i += escapeSize - 1;
            } else {
                decoded += value[i];
            }
        }
        return decoded;
    }
    return {};
}

std::string metricName(const std::string &name)
{
    std::string sanitized = name;
    for (char &c : sanitized) {
        const bool allowed = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_';
        c = allowed ? c : '_';
    }
    return sanitized;
}

void appendSummary(std::string &out, const std::string &name, const json &values)
{
    constexpr std::array<std::pair<const char *, const char *>, 3> quantileLabels{{{"p50", "0.5"}, {"p95", "0.95"}, {"p99", "0.99"}}};
    out += "# TYPE plantainpoint_" + name + " summary\n";
    for (const auto &[key, quantile] : quantileLabels) {
        if (values.contains(key) && values[key].is_number()) {
            appendSample(out, name, "quantile=\"" + std::string{quantile} + '"', values[key].get<double>());
        }
    }
    for (const auto *const key : {"count", "sum"}) {
        if (values.contains(key) && values[key].is_number()) {
            appendSample(out, name + '_' + key, "", values[key].get<double>());
        }
    }
}

void appendSamples(std::string &out, const std::string &prefix, const json &values)
{
    for (const auto &[key, value] : values.items()) {
        const std::string name = prefix.empty() ? metricName(key) : prefix + '_' + metricName(key);
        if (value.is_object() && value.contains("p50")) {
            appendSummary(out, name, value);
        } else if (value.is_object()) {
            appendSamples(out, name, value);
        } else if (value.is_number()) {
            appendSample(out, name, "", value.get<double>());
        } else if (value.is_boolean()) {
            appendSample(out, name, "", value.get<bool>() ? 1 : 0);
        }
    }
}

template<class Request>
http::response<http::string_body> makeAnswer(const Request &request, http::status status, std::string body, const char *type)
{
    http::response<http::string_body> response{status, request.version()};
    response.set(http::field::content_type, type);
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string samplesOf(const json &metrics)
{
    std::string out;
    if (metrics.is_object()) {
        appendSamples(out, "", metrics);
    }
    return out;
}

admin_server::admin_server(asio::io_context &io, admin_views views)
    : m_io(io)
    , m_views(std::move(views))
    , m_acceptor(io)
{
}

absl::Status admin_server::listen(const std::string &address)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint) {
        return makeStatus(failure::InvalidSettings, "admin: " + address + " is not IP:PORT");
    }
    try {
        m_acceptor.open(endpoint->protocol());
        m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        m_acceptor.bind(*endpoint);
        m_acceptor.listen();
    } catch (const boost::system::system_error &error) {
        return makeStatus(failure::InvalidSettings, "admin: " + address + ": " + error.code().message());
    }
    asio::co_spawn(m_io, accept(), asio::detached);
    return absl::OkStatus();
}

std::uint16_t admin_server::port() const
{
    return m_acceptor.local_endpoint().port();
}

void admin_server::close()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

asio::awaitable<void> admin_server::accept()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            asio::co_spawn(m_io, serve(std::move(socket)), asio::detached);
            continue;
        }
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        asio::steady_timer retryTimer(m_io, acceptRetryDelay);
        co_await retryTimer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

asio::awaitable<void> admin_server::serve(asio::ip::tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    for (;;) {
        boost::system::error_code error;
        admin_request request;
        stream.expires_after(requestTimeout);
        co_await http::async_read(stream, buffer, request, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        if (request.method() == http::verb::connect && m_views.connect) {
            stream.expires_never();
            co_await m_views.connect(stream.release_socket(), std::move(request));
            co_return;
        }
        const auto response = answer(request);
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
        if (error || !response.keep_alive()) {
            co_return;
        }
    }
}

admin_server::admin_response admin_server::answer(const admin_request &request) const
{
    const std::string_view target{request.target().data(), request.target().size()};
    const auto path = target.substr(0, target.find('?'));
    const auto query = path.size() < target.size() ? target.substr(path.size() + 1) : std::string_view{};
    if (request.method() != http::verb::get) {
        return makeAnswer(request, http::status::method_not_allowed, R"({"error":"method_not_allowed"})", "application/json");
    }
    if (const auto page = m_views.pages.find(path); page != m_views.pages.end()) {
        auto text = page->second(query);
        const auto status = text ? http::status::ok : http::status::service_unavailable;
        return makeAnswer(request, status, std::move(text).value_or(""), "application/octet-stream");
    }
    if (path == "/metrics") {
        return makeAnswer(request, http::status::ok, m_views.metrics(), "text/plain; version=0.0.4");
    }
    if (path == "/status") {
        return makeAnswer(request, http::status::ok, dump(m_views.status()), "application/json");
    }
    if (path == "/audit") {
        return makeAnswer(request, http::status::ok, dump(m_views.audit()), "application/json");
    }
    if (path == "/explain") {
        return answerExplain(request, query);
    }
    if (path == "/healthz") {
        const bool ready = m_views.ready();
        return makeAnswer(
            request, ready ? http::status::ok : http::status::service_unavailable, ready ? R"({"ready":true})" : R"({"ready":false})", "application/json");
    }
    return makeAnswer(request, http::status::not_found, R"({"error":"not_found"})", "application/json");
}

admin_server::admin_response admin_server::answerExplain(const admin_request &request, std::string_view query) const
{
    const auto label = parseRequestLabel(queryValue(query, "request"));
    if (!label) {
        return makeAnswer(request, http::status::bad_request, R"({"error":"malformed_label"})", "application/json");
    }
    const auto explanation = m_views.explain(*label);
    if (explanation.empty()) {
        return makeAnswer(request, http::status::not_found, R"({"error":"not_found"})", "application/json");
    }
    return makeAnswer(request, http::status::ok, dump(explanation), "application/json");
}

} // namespace plantainpoint
