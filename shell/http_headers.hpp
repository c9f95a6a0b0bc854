// Selects the headers that the router forwards, and reads from a head how the end of its answer is marked.
#pragma once

#include <string_view>
#include <vector>

#include <boost/beast/http/fields.hpp>

#include "plantainpoint/messages.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

// Returns the headers of a caller's request that are forwarded to an endpoint: all but hop-by-hop headers, credentials, length, host and request id.
std::vector<header> forwardedRequestHeaders(const boost::beast::http::fields &fields);

// Like forwardedRequestHeaders(), but keeps host and request id: on a relay, the dialect of the endpoints decides which headers are forwarded.
std::vector<header> endToEndRequestHeaders(const boost::beast::http::fields &fields);

// Returns the headers of an endpoint's response that are forwarded to the caller: all but hop-by-hop headers and length.
std::vector<header> forwardedResponseHeaders(const boost::beast::http::fields &fields);

// Returns how the end of an answer is marked. An answer to HEAD, and one with status 204 or 304, ends with its head.
answer_framing framingOf(bool isAnswerToHead, int status, const boost::beast::http::fields &fields);

// Returns the key of an "Authorization: Bearer" header, or an empty view if there is none.
std::string_view bearerKey(const boost::beast::http::fields &fields);

} // namespace plantainpoint
