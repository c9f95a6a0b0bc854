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

// Guards against a number of a message that is no whole number, whose conversion is undefined, or that loses its upper bits: a wait of an hour in
// microseconds became a negative one.
BOOST_AUTO_TEST_CASE(numbersOfFleetMessagesAreChecked)
{
    placement_grant grant{.from = {{"vm-2"}, 3}, .receiverIncarnation = 1, .number = 4, .serving = {"w-1"}, .expectedWait = std::chrono::hours{1}};
    const auto decoded = decodeFleetMessage(encodeGrant(grant));
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST((std::get<placement_grant>(*decoded).expectedWait > std::chrono::minutes{30}));
    for (const auto &number : {nlohmann::json(-1.5), nlohmann::json(1e300), nlohmann::json(4.0)}) {
        auto fields = nlohmann::json::from_cbor(encodeGrant(grant).substr(1));
        fields[4] = number;
        std::string bytes = "G";
        nlohmann::json::to_cbor(fields, bytes);
        BOOST_TEST((failureOf(decodeFleetMessage(bytes).status()) == failure::MalformedMessage), number.dump());
    }
}

BOOST_AUTO_TEST_SUITE_END()
