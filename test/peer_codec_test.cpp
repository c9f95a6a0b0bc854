// peer messages survive their JSON form, and foreign parameters are refused
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "plantainpoint/failure.hpp"
#include "plantainpoint/peer.hpp"

using namespace plantainpoint;

BOOST_AUTO_TEST_SUITE(peer_codec)

namespace {

const incarnation_id vm{vm_name{"vm-1"}, 3};
const request_label label{vm, 9};

std::vector<peer_body> oneOfEach()
{
    const account_name account{"a"};
    const rate_limit basis{20, 40};
    const pool_id pool{model_name{"m"}, region_name{"r"}};
    heartbeat heartbeatMessage{1, data_centre_name{"dc"}, region_name{"r"}, "127.0.0.1:1", 5, 2, std::chrono::milliseconds(3), 5, true, false, {}};
    heartbeatMessage.heard.push_back({vm, data_centre_name{"dc"}, 4, std::chrono::seconds(1), 2, true});
    return {
        heartbeatMessage,
        log_relay{{{3, std::string("\x00\xff", 2)}}, 4, std::chrono::milliseconds(1)},
        log_fetch{7},
        snapshot_fetch{},
        snapshot_reply{8, std::string("\xfe\x00", 2), "digest"},
        share_request{account, 1, 2, 3},
        share_grant{account, 1, 2, 3, 4, 4, basis},
        share_recall{account, 1, 2},
        share_return{account, 1, 2, 3, 4, 0, basis},
        share_refusal{account, 1, std::chrono::seconds(1)},
        holding_report{1, {{account, 2, 3, basis}}, false},
        place_request{label, 1, account, pool, 2, 3, 4, urgency::Batch, duration{5}, duration{-6}, {~0ULL, 1}, {endpoint_name{"d1"}}},
        placement{label, 1, endpoint_name{"p1"}, endpoint_name{"d1"}},
        placement_refusal{label, 1, failure::NoEndpoint, duration{2}},
        placement_progress{label, 1, pool, placement_stage::DecodeStarted},
        placement_done{label, 1, pool, 2, endpoint_name{"d1"}},
        ledger_sync{pool, {{label, 1, account, endpoint_name{"p1"}, endpoint_name{"d1"}, placement_stage::DecodeStarted, 2, 3}}},
        share_ack{1, 2},
        share_handover{1, {{account, 2, 3}}},
    };
}

} // namespace

// guards against a field of a message that does not arrive
BOOST_AUTO_TEST_CASE(everyMessageRoundTrips)
{
    const auto bodies = oneOfEach();
    BOOST_REQUIRE(bodies.size() == std::variant_size_v<peer_body>);
    for (std::size_t i = 0; i < bodies.size(); ++i) {
        BOOST_REQUIRE(bodies[i].index() == i);
        const auto params = toJson({vm, 17, bodies[i]});
        const auto again = peerFromJson(methodOf(bodies[i]), nlohmann::json::parse(params.dump()));
        BOOST_REQUIRE_MESSAGE(again.ok(), methodOf(bodies[i]) << ": " << again.status().ToString());
        BOOST_TEST((again->from == vm));
        BOOST_TEST(again->sequence == 17U);
        BOOST_TEST(toJson(*again).dump() == params.dump());
    }
}

// guards against a heartbeat without a proof that reads as one with a proof of age 0
BOOST_AUTO_TEST_CASE(absentProofStaysAbsent)
{
    const auto again = peerFromJson("heartbeat", toJson({vm, 1, heartbeat{}}));
    BOOST_REQUIRE(again.ok());
    BOOST_TEST(!std::get<heartbeat>(again->body).proofAge.has_value());
}

// guards against a proof from the future, which would outlive its admission lease
BOOST_AUTO_TEST_CASE(negativeAgesAreRefused)
{
    auto params = toJson({vm, 1, log_relay{}});
    params["body"]["proof_age_ns"] = -1;
    BOOST_TEST((failureOf(peerFromJson("log_relay", params).status()) == failure::MalformedMessage));
}

// guards against a message that is taken although a field is missing, mistyped or of another method
BOOST_AUTO_TEST_CASE(foreignParametersAreRefused)
{
    const auto refused = [](std::string_view method, const nlohmann::json &params) {
        return failureOf(peerFromJson(method, params).status()) == failure::MalformedMessage;
    };
    for (const auto &body : oneOfEach()) {
        const auto good = toJson({vm, 1, body});
        for (const auto &item : good["body"].items()) {
            auto mistyped = good;
            mistyped["body"][item.key()] = nlohmann::json::object({{"x", 1}});
            BOOST_TEST(refused(methodOf(body), mistyped), methodOf(body) << " " << item.key());
        }
        auto extra = good;
        extra["body"]["x"] = 1;
        BOOST_TEST(refused(methodOf(body), extra), methodOf(body));
        BOOST_TEST(refused("unknown", good));
    }
    for (const auto *text : {"null", "[]", "{}", R"({"from":1,"sequence":1,"body":{}})", R"({"from":"vm/1","sequence":-1,"body":{}})"}) {
        BOOST_TEST(refused("snapshot_fetch", nlohmann::json::parse(text)), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
