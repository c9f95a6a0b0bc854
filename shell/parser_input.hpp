// Input of the parsers of the HTTP library.
#pragma once

#include <cstddef>
#include <stdexcept>

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

namespace plantainpoint {

// Passes bytes to a parser and returns how many it has used. The library throws an exception for a field of 64 KB, in a trailer whatever the limit of the
// header is. It becomes the error header_limit.
template<class Parser, class Buffer>
std::size_t putBytes(Parser &parser, const Buffer &bytes, boost::beast::error_code &error)
{
    try {
        return parser.put(bytes, error);
    } catch (const std::length_error &) {
        error = boost::beast::http::error::header_limit;
        return 0;
    }
}

} // namespace plantainpoint
