// Selects the headers that the router forwards.
#pragma once

#include <string_view>
#include <vector>

#include <boost/beast/http/fields.hpp>

#include "plantainpoint/messages.hpp"

namespace plantainpoint {

// Returns the headers of a caller's request that are forwarded to an endpoint: all but hop-by-hop headers, credentials, length, host and request id.
std::vector<header> forwardedRequestHeaders(const boost::beast::http::fields &fields);

// Like forwardedRequestHeaders(), but keeps host and request id: on a relay, the dialect of the endpoints decides which headers are forwarded.
std::vector<header> endToEndRequestHeaders(const boost::beast::http::fields &fields);

// Returns the headers of an endpoint's response that are forwarded to the caller: all but hop-by-hop headers and length.
std::vector<header> forwardedResponseHeaders(const boost::beast::http::fields &fields);

// Returns the key of an "Authorization: Bearer" header, or an empty view if there is none.
std::string_view bearerKey(const boost::beast::http::fields &fields);

} // namespace plantainpoint
