#include "http_headers.hpp"

#include <algorithm>
#include <array>
#include <initializer_list>

#include <boost/beast/http/rfc7230.hpp>

namespace plantainpoint {

namespace http = boost::beast::http;

namespace {

constexpr std::array hopByHop{http::field::connection,
                              http::field::keep_alive,
                              http::field::proxy_authenticate,
                              http::field::proxy_authorization,
                              http::field::proxy_connection,
                              http::field::te,
                              http::field::trailer,
                              http::field::transfer_encoding,
                              http::field::upgrade,
                              http::field::content_length};

constexpr std::string_view requestIdName = "X-Request-Id"; // Replaced by the label of the attempt on the way to an endpoint.

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

// Returns whether the Connection header lists the name as a further hop-by-hop header.
bool namedByConnection(const http::fields &fields, boost::beast::string_view name)
{
    const auto [first, last] = fields.equal_range(http::field::connection);
    return std::any_of(first, last, [&](const auto &headerField) { return http::token_list{headerField.value()}.exists(name); });
}

template<class Dropped>
std::vector<header> copyHeaders(const http::fields &fields, Dropped &&dropped)
{
    std::vector<header> out;
    for (const auto &headerField : fields) {
        const bool isHopByHop = std::find(hopByHop.begin(), hopByHop.end(), headerField.name()) != hopByHop.end();
        if (!isHopByHop && !dropped(headerField) && !namedByConnection(fields, headerField.name_string())) {
            out.push_back({std::string{view(headerField.name_string())}, std::string{view(headerField.value())}});
        }
    }
    return out;
}

} // namespace

std::vector<header> forwardedRequestHeaders(const http::fields &fields)
{
    return copyHeaders(fields, [](const auto &headerField) {
        return headerField.name() == http::field::authorization || headerField.name() == http::field::host || headerField.name() == http::field::expect
               || boost::beast::iequals(headerField.name_string(), boost::beast::string_view{requestIdName.data(), requestIdName.size()});
    });
}

std::vector<header> endToEndRequestHeaders(const http::fields &fields)
{
    return copyHeaders(fields,
                       [](const auto &headerField) { return headerField.name() == http::field::authorization || headerField.name() == http::field::expect; });
}

std::vector<header> forwardedResponseHeaders(const http::fields &fields)
{
    return copyHeaders(fields, [](const auto & /*each*/) { return false; });
}

std::string_view bearerKey(const http::fields &fields)
{
    constexpr std::string_view scheme = "Bearer ";
    auto value = view(fields[http::field::authorization]);
    if (value.size() <= scheme.size() || !boost::beast::iequals({value.data(), scheme.size()}, {scheme.data(), scheme.size()})) {
        return {};
    }
    value.remove_prefix(scheme.size());
    while (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return value;
}

} // namespace plantainpoint
