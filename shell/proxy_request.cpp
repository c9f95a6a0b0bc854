#include "proxy_request.hpp"

#include <memory>
#include <utility>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "address.hpp"

namespace plantainpoint {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t maxHeadSize = 8 * 1024; // Bytes.
constexpr std::size_t maxProxies = 16; // Addresses that are read from one answer.
constexpr unsigned httpVersion = 11;

struct exchange {
    http::request<http::empty_body> request;
    boost::beast::flat_buffer buffer;
    http::response_parser<http::empty_body> parser;
    proxy_route route;
    std::function<void(proxy_answer)> handler;
};

proxy_answer readAnswer(const exchange &state)
{
    const auto status = state.parser.get().result();
    if (status == http::status::ok) {
        // An endpoint sends nothing before its request.
        return state.buffer.size() == 0 ? proxy_answer::Connected : proxy_answer::Refused;
    }
    return status == http::status::bad_gateway ? proxy_answer::EndpointUnreachable : proxy_answer::Refused;
}

void onAnswer(const std::shared_ptr<exchange> &state, const boost::system::error_code &error)
{
    if (error) {
        state->handler(proxy_answer::Refused);
        return;
    }
    const auto named = state->parser.get()[proxiesHeader];
    if (!named.empty() && state->route.onProxiesNamed) {
        state->route.onProxiesNamed(parseProxies({named.data(), named.size()}));
    }
    state->handler(readAnswer(*state));
}

} // namespace

std::vector<std::string> parseProxies(std::string_view text)
{
    std::vector<std::string> out;
    while (!text.empty() && out.size() < maxProxies) {
        const auto end = std::min(text.find(','), text.size());
        std::string address{text.substr(0, end)};
        if (parseAddress(address)) {
            out.push_back(std::move(address));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return out;
}

void requestProxy(boost::asio::ip::tcp::socket &socket, const std::string &address, proxy_route route, std::function<void(proxy_answer)> handler)
{
    auto state = std::make_shared<exchange>();
    state->request = {http::verb::connect, address, httpVersion};
    state->request.set(http::field::host, address);
    state->request.set(endpointHeader, route.endpoint);
    state->request.set(endpointRunHeader, std::to_string(route.startedAt));
    state->parser.header_limit(maxHeadSize);
    state->parser.skip(true);
    state->route = std::move(route);
    state->handler = std::move(handler);
    http::async_write(socket, state->request, [&socket, state](const boost::system::error_code &error, std::size_t) {
        if (error) {
            state->handler(proxy_answer::Refused);
            return;
        }
        http::async_read_header(
            socket, state->buffer, state->parser, [state](const boost::system::error_code &readError, std::size_t) { onAnswer(state, readError); });
    });
}

} // namespace plantainpoint
