// Fuzz targets for the parsers of bytes from outside. libFuzzer runs them (`make fuzz-bytes`), and test/bytes_test.cpp with seeded mutations.
#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantainpoint::bytes {

struct target {
    const char *name;
    // Returns what is wrong with the way in which the bytes are handled, or an empty text.
    std::string (*check)(std::string_view bytes);
    // Returns valid inputs.
    std::vector<std::string> (*seeds)();
    int runs = 0; // Runs in the unit tests.
};

const std::vector<target> &targets();

// The targets of each file.
std::vector<target> coreTargets();
std::vector<target> peerTargets();
std::vector<target> fileTargets();
std::vector<target> fleetTargets();
std::vector<target> storeTargets();
std::vector<target> streamTargets();
std::vector<target> answerTargets();
std::vector<target> callerTargets();

using pieces = std::vector<std::string_view>;

// Returns the bytes in pieces of a size.
inline pieces cut(std::string_view bytes, std::size_t size)
{
    pieces out;
    while (!bytes.empty()) {
        out.push_back(bytes.substr(0, size));
        bytes.remove_prefix(std::min(size, bytes.size()));
    }
    return out;
}

// Passes the bytes to a function whole and in several splits. Returns an error if the results differ.
inline std::string compareSplits(std::string_view bytes, const std::function<std::string(const pieces &)> &parse)
{
    constexpr std::size_t maxCutBytes = 2048; // Larger inputs are cut into larger pieces, so that the time stays in proportion to the size.
    const auto smallest = 1 + bytes.size() / maxCutBytes;
    const auto position = bytes.empty() ? 0 : std::hash<std::string_view>{}(bytes) % bytes.size();
    const auto whole = parse({bytes});
    for (const auto &split : {cut(bytes, smallest), cut(bytes, 7 * smallest), pieces{bytes.substr(0, position), bytes.substr(position)}}) {
        if (auto other = parse(split); other != whole) {
            return "a split into " + std::to_string(split.size()) + " pieces changes the result\nwhole: " + whole + "\nsplit: " + other;
        }
    }
    return {};
}

} // namespace plantainpoint::bytes
