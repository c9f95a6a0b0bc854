// admin port: /metrics, /status, /audit, /explain?request=LABEL, /healthz
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

// what the admin port shows
struct admin_views {
    std::function<std::string()> metrics; // in the usual text format
    std::function<nlohmann::json()> status;
    std::function<nlohmann::json()> audit;
    std::function<nlohmann::json(const request_label &)> explain; // empty: not recorded
    std::function<bool()> ready;
    // further pages by path; a page without text answers 503
    std::map<std::string, std::function<std::optional<std::string>()>, std::less<>> pages;
};

class admin_server
{
public:
    // the context has to outlive the server
    admin_server(boost::asio::io_context &io, admin_views views);

    // InvalidSettings when the address cannot be bound
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

// JSON of counters and distributions as samples: names joined by '_'; an object with "p50" is a summary
std::string samplesOf(const nlohmann::json &metrics);

} // namespace plantainpoint
