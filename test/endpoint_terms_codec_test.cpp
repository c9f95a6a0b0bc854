// Tests what VMs tell each other of endpoints: the limits that they name.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "fleet_codec.hpp"
#include "plantainpoint/failure.hpp"

using namespace plantainpoint;
using std::chrono::milliseconds;

namespace {

const limit_report inForce{{"desk-1"}, 6.2, milliseconds{120}, {}};
const limit_report ended{{"desk-2"}, 0.25, milliseconds{900}, milliseconds{40}};

fleet_heartbeat heartbeatWith(std::vector<limit_report> limits)
{
    return {.from = {{"vm-1"}, 1}, .sequence = 1, .address = "127.0.0.1:7000", .dataCentre = {"dc-a"}, .limits = std::move(limits)};
}

fleet_summary summaryWith(std::vector<limit_report> limits)
{
    return {.from = {{"vm-1"}, 1}, .sequence = 1, .address = "127.0.0.1:7000", .dataCentre = {"dc-a"}, .limits = std::move(limits)};
}

void checkReports(const std::vector<limit_report> &got)
{
    BOOST_REQUIRE(got.size() == 2U);
    BOOST_TEST(got[0].endpoint.value == "desk-1");
    BOOST_TEST(got[0].perSecond == 6.2);
    BOOST_TEST((got[0].namedAge == milliseconds{120} && !got[0].unnamedAge));
    BOOST_TEST((got[1].namedAge == milliseconds{900} && got[1].unnamedAge == milliseconds{40}));
}

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_terms_codec)

BOOST_AUTO_TEST_CASE(limitsPassBetweenVms)
{
    const auto heartbeatMessage = decodeFleetMessage(encodeHeartbeat(heartbeatWith({inForce, ended})));
    BOOST_REQUIRE(heartbeatMessage.ok());
    checkReports(std::get<fleet_heartbeat>(*heartbeatMessage).limits);
    const auto summary = decodeFleetMessage(encodeSummary(encodeSummaryBody(summaryWith({inForce, ended})), 1, 1));
    BOOST_REQUIRE(summary.ok());
    checkReports(std::get<fleet_summary>(*summary).limits);
}

// Messages without limits are those of an earlier version, so that VMs of both understand each other.
BOOST_AUTO_TEST_CASE(messagesWithoutLimitsAreUnchanged)
{
    constexpr std::size_t fieldsBefore = 10;
    const auto bytes = encodeHeartbeat(heartbeatWith({}));
    BOOST_TEST(nlohmann::json::from_cbor(bytes.substr(1)).size() == fieldsBefore);
    const auto decoded = decodeFleetMessage(bytes);
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST(std::get<fleet_heartbeat>(*decoded).limits.empty());
}

// Guards against work times that the hubs do not learn, and against bytes for them where no endpoint states any.
BOOST_AUTO_TEST_CASE(workTimesPassBetweenVmsAndCostNothingWithoutThem)
{
    auto heartbeatMessage = heartbeatWith({});
    heartbeatMessage.loads = {{{"desk-1"}, 2, 30, 40, 250}, {{"desk-2"}, 1, 0, 0, {}}};
    const auto bytes = encodeHeartbeat(heartbeatMessage);
    const auto loads = nlohmann::json::from_cbor(bytes.substr(1)).at(7).at(0);
    BOOST_TEST(loads.at(0).size() == 5);
    BOOST_TEST(loads.at(1).size() == 4);
    const auto decoded = decodeFleetMessage(bytes);
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST((std::get<fleet_heartbeat>(*decoded).loads == heartbeatMessage.loads));
    auto summary = summaryWith({});
    summary.loads = heartbeatMessage.loads;
    const auto decodedSummary = decodeFleetMessage(encodeSummary(encodeSummaryBody(summary), 1, 1));
    BOOST_REQUIRE(decodedSummary.ok());
    BOOST_TEST((std::get<fleet_summary>(*decodedSummary).loads == summary.loads));
}

BOOST_AUTO_TEST_CASE(malformedLimitsAreRefused)
{
    for (const double value : {-1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
        const auto decoded = decodeFleetMessage(encodeHeartbeat(heartbeatWith({{{"desk-1"}, value, milliseconds{1}, {}}})));
        BOOST_TEST((failureOf(decoded.status()) == failure::MalformedMessage), value);
    }
}

// Guards against a receiver that takes the cold endpoints for something else, and against messages that grow without any.
BOOST_AUTO_TEST_CASE(coldEndpointsPassBetweenVms)
{
    constexpr std::size_t totalsIndex = 7;
    const std::vector<cold_endpoint> cold{{{"desk-1"}, 1767225600000, milliseconds{2500}}};
    for (const auto &leaving : {std::vector<leaving_endpoint>{}, std::vector<leaving_endpoint>{{{"desk-2"}, 5}}}) {
        auto message = heartbeatWith({});
        message.leavingEndpoints = leaving;
        const auto before = encodeHeartbeat(message);
        message.coldEndpoints = cold;
        const auto decoded = decodeFleetMessage(encodeHeartbeat(message));
        BOOST_REQUIRE(decoded.ok());
        const auto &got = std::get<fleet_heartbeat>(*decoded);
        BOOST_TEST((got.leavingEndpoints == leaving));
        BOOST_REQUIRE(got.coldEndpoints.size() == 1U);
        BOOST_TEST(got.coldEndpoints[0].name.value == "desk-1");
        BOOST_TEST(got.coldEndpoints[0].startedAt == 1767225600000);
        BOOST_TEST((got.coldEndpoints[0].left == milliseconds{2500}));
        // The list of leaving endpoints is the last element that earlier builds know.
        BOOST_TEST(nlohmann::json::from_cbor(before.substr(1)).at(totalsIndex).size() == 4U + (leaving.empty() ? 0U : 1U));
        BOOST_TEST(nlohmann::json::from_cbor(encodeHeartbeat(message).substr(1)).at(totalsIndex).at(4).size() == leaving.size());
    }
    auto summary = summaryWith({});
    summary.coldEndpoints = cold;
    const auto decoded = decodeFleetMessage(encodeSummary(encodeSummaryBody(summary), 1, 1));
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST(std::get<fleet_summary>(*decoded).coldEndpoints.size() == 1U);
}

// Guards against a hub of an earlier version that reads something else: the ask of a request that is bound to its homes has no new field.
BOOST_AUTO_TEST_CASE(anAskTellsThatItsRequestIsBoundToItsHomes)
{
    const auto askWith = [](bool bound) {
        return encodeAsk({.from = {{"vm-1"}, 1}, .address = "127.0.0.1:7000", .number = 1, .excluded = {{"desk-1"}}, .bound = bound});
    };
    for (const bool bound : {false, true}) {
        const auto decoded = decodeFleetMessage(askWith(bound));
        BOOST_REQUIRE(decoded.ok());
        const auto &ask = std::get<placement_ask>(*decoded);
        BOOST_TEST(ask.bound == bound);
        BOOST_TEST((ask.excluded == std::vector<endpoint_name>{{"desk-1"}}));
    }
    BOOST_TEST(nlohmann::json::from_cbor(askWith(true).substr(1)).size() == nlohmann::json::from_cbor(askWith(false).substr(1)).size());
}

BOOST_AUTO_TEST_CASE(anAskTellsThatTheCallerHasAPartOfItsAnswer)
{
    for (const bool begun : {false, true}) {
        const auto decoded = decodeFleetMessage(encodeAsk({.from = {{"vm-1"}, 1}, .address = "127.0.0.1:7000", .number = 1, .begun = begun}));
        BOOST_REQUIRE(decoded.ok());
        BOOST_TEST(std::get<placement_ask>(*decoded).begun == begun);
    }
}

BOOST_AUTO_TEST_SUITE_END()
