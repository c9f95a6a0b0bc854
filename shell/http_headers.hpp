// which headers pass through the router
#pragma once

#include <string_view>
#include <vector>

#include <boost/beast/http/fields.hpp>

#include "plantainpoint/messages.hpp"

namespace plantainpoint {

// headers of a caller's request that reach an endpoint: without hop-by-hop headers, credentials, length and host
std::vector<header> forwardedRequestHeaders(const boost::beast::http::fields &fields);

// as above, with host and request id: what a relay passes on is decided by the dialect of the endpoints
std::vector<header> endToEndRequestHeaders(const boost::beast::http::fields &fields);

// headers of an endpoint's response that reach the caller: without hop-by-hop headers and length
std::vector<header> forwardedResponseHeaders(const boost::beast::http::fields &fields);

// the key of an "Authorization: Bearer" header; empty when there is none
std::string_view bearerKey(const boost::beast::http::fields &fields);

} // namespace plantainpoint
