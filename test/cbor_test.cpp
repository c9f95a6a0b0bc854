// Tests that malformed CBOR from outside is refused.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "fleet_codec.hpp"
#include "log_client.hpp"
#include "plantainpoint/failure.hpp"
#include "store_codec.hpp"

using namespace plantainpoint;

BOOST_AUTO_TEST_SUITE(cbor_bytes)

// Guards against a message or an answer of nested arrays that uses up the stack and ends the VM.
BOOST_AUTO_TEST_CASE(deeplyNestedMessagesAreRefused)
{
    const std::string nested(1024 * 1024, '\x81'); // The start of an array of one element.
    for (const auto &kind : {std::string("H"), std::string("A"), std::string("G"), 'S' + std::string(16, '\0')}) {
        BOOST_TEST((failureOf(decodeFleetMessage(kind + nested).status()) == failure::MalformedMessage));
    }
    BOOST_TEST((failureOf(platform::decodeChanges(nested).status()) == failure::MalformedMessage));
    BOOST_TEST(std::holds_alternative<log_read_failed>(parseReadReply(time_point{}, 200, nested)));
}

// Guards against a position that is no whole number, whose conversion is undefined and differs between processors.
BOOST_AUTO_TEST_CASE(positionsOfChangesAreWholeNumbers)
{
    for (const auto &position : {nlohmann::json(-1.5), nlohmann::json(1e300), nlohmann::json(-1), nlohmann::json(true)}) {
        std::string bytes;
        nlohmann::json::to_cbor({{position, "w-1"}}, bytes);
        BOOST_TEST((failureOf(platform::decodeChanges(bytes).status()) == failure::MalformedMessage), position.dump());
    }
}

BOOST_AUTO_TEST_SUITE_END()
