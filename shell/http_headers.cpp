#include "http_headers.hpp"

#include <algorithm>
#include <array>
#include <initializer_list>
#include <set>

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

struct name_order {
    bool operator()(boost::beast::string_view a, boost::beast::string_view b) const { return boost::beast::iless{}(a, b); }
};

// Returns the names of further hop-by-hop headers, which the Connection headers list. They are collected once, as a header may hold thousands of names.
std::set<boost::beast::string_view, name_order> namesOfConnection(const http::fields &fields)
{
    std::set<boost::beast::string_view, name_order> names;
    const auto [first, last] = fields.equal_range(http::field::connection);
    for (auto it = first; it != last; ++it) {
        const http::token_list tokens{it->value()};
        names.insert(tokens.begin(), tokens.end());
    }
    return names;
}

// Only the last coding frames an answer. The parser accepts no coding behind it in a further header.
bool endsWithChunked(boost::beast::string_view codings)
{
    bool isChunked = false;
    for (const auto &coding : http::token_list{codings}) {
        isChunked = boost::beast::iequals(coding, "chunked");
    }
    return isChunked;
}

template<class Dropped>
std::vector<header> copyHeaders(const http::fields &fields, Dropped &&dropped)
{
    std::vector<header> out;
    const auto names = namesOfConnection(fields);
    for (const auto &headerField : fields) {
        const bool isHopByHop = std::find(hopByHop.begin(), hopByHop.end(), headerField.name()) != hopByHop.end();
        if (!isHopByHop && !dropped(headerField) && !names.contains(headerField.name_string())) {
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

answer_framing framingOf(bool isAnswerToHead, int status, const http::fields &fields)
{
    constexpr int statusNoContent = 204;
    constexpr int statusNotModified = 304;
    if (isAnswerToHead || status == statusNoContent || status == statusNotModified) {
        return answer_framing::Length;
    }
    const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
    if (std::any_of(first, last, [](const auto &coding) { return endsWithChunked(coding.value()); })) {
        return answer_framing::Chunks;
    }
    return fields.find(http::field::content_length) != fields.end() ? answer_framing::Length : answer_framing::Close;
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
