// Encodes bytes of the platform's store for tests, independently of the codec under test.
#pragma once

#include <cstdint>
#include <string>

namespace plantainpoint::test {

inline std::string bigEndian(std::uint64_t value)
{
    std::string text;
    for (int shift = 56; shift >= 0; shift -= 8) {
        text.push_back(static_cast<char>(value >> shift));
    }
    return text;
}

// Returns the answer to a read of a keyed topic. The records have the framing of an append.
inline std::string logPage(std::uint64_t end, std::uint64_t first, const std::string &records)
{
    return bigEndian(end) + bigEndian(first) + records;
}

} // namespace plantainpoint::test
