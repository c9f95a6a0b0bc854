// Seeded mutations of bytes.
#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <string>

namespace plantainpoint::test {

class mutator
{
public:
    explicit mutator(std::uint32_t seed)
        : m_random(seed)
    {
    }

    std::string operator()(std::string bytes)
    {
        for (std::size_t changes = 1 + randomBelow(4); changes > 0; --changes) {
            change(bytes);
        }
        return bytes;
    }

    std::size_t randomBelow(std::size_t limit) { return limit == 0 ? 0 : std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random); }

private:
    void change(std::string &bytes)
    {
        static constexpr std::array replacementValues{
            "-1", "0", "1e308", "-1e308", "99999999999999999999", "9223372036854775807", "null", "\"\"", "[]", "{}", "true", "0.0001"};
        const auto position = randomBelow(bytes.size() + 1);
        switch (randomBelow(5)) {
        case 0:
            if (position < bytes.size()) {
                bytes[position] = static_cast<char>(randomBelow(256));
            }
            break;
        case 1:
            bytes.erase(position, randomBelow(40));
            break;
        case 2:
            bytes.insert(position, bytes.substr(randomBelow(bytes.size() + 1), randomBelow(40)));
            break;
        case 3:
            bytes.insert(position, 1 + randomBelow(8), static_cast<char>(randomBelow(256)));
            break;
        default:
            replaceNumber(bytes, position, replacementValues[randomBelow(replacementValues.size())]);
        }
    }

    // Replaces the next number after a position by another value, so that the text stays well-formed.
    static void replaceNumber(std::string &bytes, std::size_t from, const char *value)
    {
        const auto begin = bytes.find_first_of("0123456789", from);
        if (begin != std::string::npos) {
            bytes.replace(begin, bytes.find_first_not_of("0123456789.", begin) - begin, value);
        }
    }

    std::mt19937 m_random;
};

} // namespace plantainpoint::test
