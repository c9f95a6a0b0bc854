// Runs the fuzz targets of fuzz/bytes with seeded mutations, with the inputs that found a fault before, and with inputs of 1 MB.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ctime>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

#include "mutator.hpp"
#include "targets.hpp"

using namespace plantainpoint;
using bytes::target;

namespace plantainpoint::bytes {

std::ostream &operator<<(std::ostream &out, const target &each)
{
    return out << each.name;
}

} // namespace plantainpoint::bytes

namespace {

constexpr std::size_t largeSize = 1024 * 1024UL;
// Processor time for the splits of a large input. A scan of all bytes for each byte takes minutes.
constexpr double maxSeconds = 4;

std::string repeated(const std::string &unit)
{
    std::string out;
    while (out.size() < largeSize) {
        out += unit;
    }
    return out;
}

std::string nested(const std::string &open, const std::string &close)
{
    std::string closed;
    std::string opened;
    while (opened.size() + closed.size() < largeSize) {
        opened += open;
        closed += close;
    }
    return opened + '1' + closed;
}

// Returns large inputs: repeated seeds, seeds whose middle is repeated, and seeds with a repeated token of one of the formats.
std::vector<std::string> largeInputs(const target &each)
{
    static const std::vector<std::string> tokens{"[", "{\"a\":", "a", "\n", "a\n", "a: b\r\n", "\x81", "\x9f", "\xa1\x61\x61", "data: a\n", "1;", "a,"};
    const auto seeds = each.seeds();
    std::vector<std::string> inputs;
    std::set<char> firstBytes; // They select what a target does with the rest.
    for (const auto &seed : seeds) {
        firstBytes.insert(seed.front());
        const auto third = seed.size() / 3;
        inputs.push_back(seed.substr(0, third) + repeated(seed.substr(third, std::max<std::size_t>(third, 1))) + seed.substr(third));
    }
    for (const auto &token : tokens) {
        const auto large = repeated(token);
        inputs.push_back(large);
        inputs.push_back(seeds.front() + large);
        inputs.push_back(seeds.front().substr(0, seeds.front().size() / 2) + large + seeds.front().substr(seeds.front().size() / 2));
    }
    for (const char first : firstBytes) {
        for (const auto &large : {nested("[", "]"), nested("{\"a\":", "}"), repeated("\x81"), repeated(seeds.front())}) {
            inputs.push_back(first + large);
        }
    }
    return inputs;
}

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

} // namespace

BOOST_AUTO_TEST_SUITE(bytes_from_outside)

// Guards against valid inputs that a target refuses, which would leave its parser untested.
BOOST_DATA_TEST_CASE(seedsAreHandled, boost::unit_test::data::make(bytes::targets()), each)
{
    for (const auto &seed : each.seeds()) {
        BOOST_TEST(each.check(seed) == "");
    }
}

// Guards against bytes from outside that end a program, or that are decoded to something else than they state.
BOOST_DATA_TEST_CASE(mutationsAreHandled, boost::unit_test::data::make(bytes::targets()), each)
{
    const auto seeds = each.seeds();
    for (int seed = 1; seed <= each.runs; ++seed) {
        test::mutator mutate(static_cast<std::uint32_t>(seed));
        const auto input = mutate(seeds[mutate.randomBelow(seeds.size())]);
        const auto problem = each.check(input);
        BOOST_REQUIRE_MESSAGE(problem.empty(), "seed " << seed << ": " << problem);
    }
}

// Guards against the inputs that found a fault before.
BOOST_DATA_TEST_CASE(formerFaultsStayFixed, boost::unit_test::data::make(bytes::targets()), each)
{
    const auto folder = std::filesystem::path(BYTES_FOLDER) / "regressions" / each.name;
    if (!std::filesystem::exists(folder)) {
        return;
    }
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        std::ifstream file(entry.path(), std::ios::binary);
        const std::string input{std::istreambuf_iterator<char>{file}, {}};
        BOOST_TEST(each.check(input) == "", entry.path().filename().string());
    }
}

// Guards against parsers whose time grows faster than their input, and against deep nesting that exhausts the stack.
BOOST_DATA_TEST_CASE(largeInputsTakeBoundedTime, boost::unit_test::data::make(bytes::targets()), each)
{
    const auto inputs = largeInputs(each);
    for (std::size_t i = 0; i < inputs.size(); ++i) {
        const auto before = processorSeconds();
        const auto problem = each.check(inputs[i]);
        const auto seconds = processorSeconds() - before;
        BOOST_TEST(problem.substr(0, 200) == "", "large input " << i);
        BOOST_TEST(seconds < maxSeconds, "large input " << i << " took " << seconds << " s");
    }
}

BOOST_AUTO_TEST_SUITE_END()
