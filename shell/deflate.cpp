#include "deflate.hpp"

#include <stdexcept>

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

#include "plantainpoint/failure.hpp"

namespace plantainpoint {

namespace zlib = boost::beast::zlib;

namespace {

constexpr int fastestLevel = 1;
constexpr int windowBits = 15;
constexpr int memoryLevel = 8;

} // namespace

std::string deflate(std::string_view text)
{
    zlib::deflate_stream stream;
    stream.reset(fastestLevel, windowBits, memoryLevel, zlib::Strategy::normal);
    std::string out(stream.upper_bound(text.size()), '\0');
    zlib::z_params params;
    params.next_in = text.data();
    params.avail_in = text.size();
    params.next_out = out.data();
    params.avail_out = out.size();
    boost::beast::error_code error;
    stream.write(params, zlib::Flush::finish, error);
    if (error != zlib::error::end_of_stream) {
        throw std::logic_error("deflate: the bound of the compressed size is too small");
    }
    out.resize(params.total_out);
    return out;
}

absl::StatusOr<std::string> inflate(std::string_view bytes, std::size_t size)
{
    zlib::inflate_stream stream;
    stream.reset(windowBits);
    std::string out(size, '\0');
    zlib::z_params params;
    params.next_in = bytes.data();
    params.avail_in = bytes.size();
    params.next_out = out.data();
    params.avail_out = out.size();
    boost::beast::error_code error;
    stream.write(params, zlib::Flush::sync, error);
    if (error && error != zlib::error::end_of_stream) {
        return makeStatus(failure::MalformedMessage, "compressed text: " + error.message());
    }
    if (params.total_out != size || params.avail_in > 0) {
        return makeStatus(failure::MalformedMessage, "compressed text: expected " + std::to_string(size) + " bytes, got " + std::to_string(params.total_out));
    }
    return out;
}

} // namespace plantainpoint
