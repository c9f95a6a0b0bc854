#include "request_head.hpp"

#include <algorithm>
#include <string_view>

#include "plantainpoint/failure.hpp"

namespace plantainpoint {

namespace http = boost::beast::http;

namespace {

constexpr unsigned httpVersion11 = 11;

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    return text.substr(0, text.find_last_not_of(blanks) + 1);
}

// Returns whether all headers Transfer-Encoding together list the coding chunked once and nothing else.
bool isOnlyChunked(const http::request_header<> &head)
{
    int codings = 0;
    const auto [first, last] = head.equal_range(http::field::transfer_encoding);
    for (auto it = first; it != last; ++it) {
        std::string_view list{it->value().data(), it->value().size()};
        while (!list.empty()) {
            const auto end = std::min(list.find(','), list.size());
            const auto coding = trimmed(list.substr(0, end));
            list.remove_prefix(std::min(end + 1, list.size()));
            if (coding.empty()) {
                continue; // Empty elements of a list are ignored (RFC 9110, 5.6.1).
            }
            if (!boost::beast::iequals("chunked", {coding.data(), coding.size()})) {
                return false;
            }
            ++codings;
        }
    }
    return codings == 1;
}

} // namespace

absl::Status checkFraming(const http::request_header<> &head, bool chunked)
{
    const bool hasCoding = head.find(http::field::transfer_encoding) != head.end();
    if (!hasCoding && !chunked) {
        return absl::OkStatus();
    }
    if (head.version() < httpVersion11) {
        return makeStatus(failure::MalformedRequest, "HTTP/1.0 has no Transfer-Encoding");
    }
    if (head.find(http::field::content_length) != head.end()) {
        return makeStatus(failure::MalformedRequest, "the request has a Content-Length and a Transfer-Encoding");
    }
    if (!chunked || !isOnlyChunked(head)) {
        return makeStatus(failure::MalformedRequest, "the Transfer-Encoding is not chunked");
    }
    return absl::OkStatus();
}

absl::Status checkMethod(const http::request_header<> &head, bool hasBody)
{
    if (head.method() == http::verb::connect) {
        return makeStatus(failure::MethodNotAllowed, "CONNECT is not supported");
    }
    if (head.method() == http::verb::trace && hasBody) {
        return makeStatus(failure::MalformedRequest, "a TRACE request has no body");
    }
    return absl::OkStatus();
}

} // namespace plantainpoint
