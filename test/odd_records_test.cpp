// Tests that records and messages of other writers with unusual values cost nothing but themselves.
#include <boost/test/unit_test.hpp>

#include "fleet_codec.hpp"
#include "store_codec.hpp"

using namespace plantainpoint;
using namespace plantainpoint::platform;

namespace {

// Depths from a few levels to more than a datagram holds.
constexpr std::size_t nestingDepths[] = {10, 100, 1'000, 10'000, 59'000, 100'000, 1'000'000};

// Returns CBOR with containers in each other: arrays, objects, or containers without a stated length.
std::string nestedCbor(const std::string &opening, std::size_t depth)
{
    std::string bytes;
    while (depth-- > 0) {
        bytes += opening;
    }
    return bytes + '\x01';
}

const std::string nestedOpenings[] = {"\x81", "\x9f", std::string("\xa1\x61\x61"), std::string("\xbf\x61\x61"), "\x82\x01"};

} // namespace

BOOST_AUTO_TEST_SUITE(odd_records)

// Guards against a message of nested arrays that uses up the stack, so that one datagram ends each VM that receives it.
BOOST_AUTO_TEST_CASE(deeplyNestedMessagesAreRefused)
{
    for (const auto depth : nestingDepths) {
        for (const auto &opening : nestedOpenings) {
            const auto nested = nestedCbor(opening, depth);
            for (const std::string kind : {"H", "A", "G", "S0123456789abcdef"}) {
                BOOST_TEST(!decodeFleetMessage(kind + nested).ok(), kind << " with " << depth << " levels");
                // The nested value takes the place of a field of an otherwise sound message.
                BOOST_TEST(!decodeFleetMessage(kind + "\x8f\x08" + nested).ok(), kind << " with a field of " << depth << " levels");
            }
            BOOST_TEST(!decodeChanges(nested).ok(), depth << " levels");
            BOOST_TEST(!decodeChanges("\x81\x83\x01" + nested).ok(), "a change of " << depth << " levels");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
