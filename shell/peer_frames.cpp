#include "peer_frames.hpp"

namespace plantainpoint {

void appendFrame(std::string &out, std::string_view payload)
{
    constexpr int bitsPerByte = 8;
    constexpr unsigned byteMask = 0xff;
    const auto length = static_cast<std::uint32_t>(payload.size());
    for (int shift = 3 * bitsPerByte; shift >= 0; shift -= bitsPerByte) {
        out += static_cast<char>((length >> shift) & byteMask);
    }
    out += payload;
}

std::size_t frame_reader::lengthOf(std::string_view head)
{
    constexpr int bitsPerByte = 8;
    std::size_t length = 0;
    for (const char byte : head) {
        length = (length << bitsPerByte) | static_cast<unsigned char>(byte);
    }
    return length;
}

} // namespace plantainpoint
