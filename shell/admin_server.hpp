// HTTP server of the admin port: /metrics, /status, /audit, /explain?request=LABEL and /healthz.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json_fwd.hpp>

#include "plantainpoint/ids.hpp"

namespace plantainpoint {

// Callbacks that produce the pages of the admin port.
struct admin_views {
    std::function<std::string()> metrics; // In the Prometheus text format.
    std::function<nlohmann::json()> status;
    std::function<nlohmann::json()> audit;
    std::function<nlohmann::json(const request_label &)> explain; // Empty if the request is not recorded.
    std::function<bool()> ready;
    // Takes over the connection of a CONNECT request. Empty if there are none.
    std::function<boost::asio::awaitable<void>(boost::asio::ip::tcp::socket, boost::beast::http::request<boost::beast::http::empty_body>)> connect;
    // Further pages by path. They get the query. A page that returns no text is answered with status 503.
    std::map<std::string, std::function<std::optional<std::string>(std::string_view)>, std::less<>> pages;
};

class admin_server
{
public:
    // The context must outlive the server.
    admin_server(boost::asio::io_context &io, admin_views views);

    // Binds the address and starts to accept connections. Returns InvalidSettings if the address is malformed or cannot be bound.
    absl::Status listen(const std::string &address);
    std::uint16_t port() const;
    void close();

private:
    using admin_request = boost::beast::http::request<boost::beast::http::empty_body>;
    using admin_response = boost::beast::http::response<boost::beast::http::string_body>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    admin_response answer(const admin_request &request) const;
    admin_response answerExplain(const admin_request &request, std::string_view query) const;

    boost::asio::io_context &m_io;
    admin_views m_views;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

// Converts JSON counters and distributions to samples. Nested names are joined by '_', and an object with the key "p50" becomes a summary.
std::string samplesOf(const nlohmann::json &metrics);

} // namespace plantainpoint
