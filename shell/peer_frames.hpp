// Frames between VMs: a 4-byte big-endian length and as many bytes of payload.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace plantainpoint {

// Limit of a frame of an authenticated peer. The largest snapshot in base64 is 86 MB.
inline constexpr std::size_t maxFrameSize = 96 * 1024UL * 1024UL; // Bytes.
// Limit of a frame of the handshake, so that a peer that has not been authenticated cannot make this VM buffer a large frame. The VM that
// dialed keeps this limit, since it receives only marks afterwards.
inline constexpr std::size_t maxHandshakeFrame = 1024; // Bytes.

void appendFrame(std::string &out, std::string_view payload);

// Splits a byte stream into frames.
class frame_reader
{
public:
    // Calls handler(std::string_view payload) for each whole frame. Returns false when a frame exceeds the limit or the handler
    // returns false, which ends the reading. The handler may change the limit.
    template<class Handler>
    bool feed(std::string_view received, Handler &&handler);

    void limit(std::size_t largest) { m_limit = largest; }

private:
    static constexpr std::size_t headSize = 4; // Bytes.
    static std::size_t lengthOf(std::string_view head);

    std::string m_rest; // The start of a frame whose end has not arrived.
    std::size_t m_limit = maxHandshakeFrame;
};

template<class Handler>
bool frame_reader::feed(std::string_view received, Handler &&handler)
{
    m_rest += received;
    std::string_view bytes = m_rest;
    while (bytes.size() >= headSize) {
        const auto length = lengthOf(bytes.substr(0, headSize));
        if (length > m_limit) {
            return false;
        }
        if (bytes.size() - headSize < length) {
            break;
        }
        if (!handler(bytes.substr(headSize, length))) {
            return false;
        }
        bytes.remove_prefix(headSize + length);
    }
    m_rest.erase(0, m_rest.size() - bytes.size());
    return true;
}

} // namespace plantainpoint
