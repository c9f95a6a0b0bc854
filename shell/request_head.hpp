// Checks of a request's head that the HTTP parser does not make.
#pragma once

#include <absl/status/status.h>
#include <boost/beast/http/message.hpp>

namespace plantainpoint {

// Returns MalformedRequest if the end of the request cannot be determined reliably (RFC 9112, 6.1 and 6.3), or if its body has another transfer coding
// than chunked. The flag chunked tells whether the parser takes the body for a chunked one.
absl::Status checkFraming(const boost::beast::http::request_header<> &head, bool chunked);

// Returns a failure if requests with this method are not forwarded: MethodNotAllowed for CONNECT, which asks for a tunnel, and MalformedRequest for TRACE
// with a body (RFC 9110, 9.3.8). The flag hasBody tells whether a body follows.
absl::Status checkMethod(const boost::beast::http::request_header<> &head, bool hasBody);

} // namespace plantainpoint
