// Tests the JSON form of peer messages and the refusal of invalid parameters.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "plantainpoint/failure.hpp"
#include "plantainpoint/peer.hpp"

using namespace plantainpoint;

BOOST_AUTO_TEST_SUITE(peer_codec)

namespace {

const incarnation_id vm{vm_name{"vm-1"}, 3};
const request_label label{vm, 9};

std::vector<peer_body> oneMessageOfEachType()
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

// Guards against a message field that is lost or changed because one side of the codec omits it.
BOOST_AUTO_TEST_CASE(everyMessageRoundTrips)
{
    const auto bodies = oneMessageOfEachType();
    BOOST_REQUIRE(bodies.size() == std::variant_size_v<peer_body>);
    for (std::size_t i = 0; i < bodies.size(); ++i) {
        BOOST_REQUIRE(bodies[i].index() == i);
        const auto params = toJson({vm, 17, bodies[i]});
        const auto decoded = peerFromJson(methodOf(bodies[i]), nlohmann::json::parse(params.dump()));
        BOOST_REQUIRE_MESSAGE(decoded.ok(), methodOf(bodies[i]) << ": " << decoded.status().ToString());
        BOOST_TEST((decoded->from == vm));
        BOOST_TEST(decoded->sequence == 17U);
        BOOST_TEST(toJson(*decoded).dump() == params.dump());
    }
}

// Guards against a heartbeat without a log head proof that is read as one with a proof of age 0.
BOOST_AUTO_TEST_CASE(absentProofStaysAbsent)
{
    const auto decoded = peerFromJson("heartbeat", toJson({vm, 1, heartbeat{}}));
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST(!std::get<heartbeat>(decoded->body).proofAge.has_value());
}

// Guards against a log head proof with a negative age, which would count as recent for longer than the admission lease allows.
BOOST_AUTO_TEST_CASE(negativeAgesAreRefused)
{
    auto params = toJson({vm, 1, log_relay{}});
    params["body"]["proof_age_ns"] = -1;
    BOOST_TEST((failureOf(peerFromJson("log_relay", params).status()) == failure::MalformedMessage));
}

// Guards against a message that is accepted although a field is unknown, missing or mistyped or its method does not match.
BOOST_AUTO_TEST_CASE(invalidParametersAreRefused)
{
    const auto refused = [](std::string_view method, const nlohmann::json &params) {
        return failureOf(peerFromJson(method, params).status()) == failure::MalformedMessage;
    };
    for (const auto &body : oneMessageOfEachType()) {
        const auto valid = toJson({vm, 1, body});
        for (const auto &item : valid["body"].items()) {
            auto mistyped = valid;
            mistyped["body"][item.key()] = nlohmann::json::object({{"x", 1}});
            BOOST_TEST(refused(methodOf(body), mistyped), methodOf(body) << " " << item.key());
        }
        auto extra = valid;
        extra["body"]["x"] = 1;
        BOOST_TEST(refused(methodOf(body), extra), methodOf(body));
        BOOST_TEST(refused("unknown", valid));
    }
    for (const auto *text : {"null", "[]", "{}", R"({"from":1,"sequence":1,"body":{}})", R"({"from":"vm/1","sequence":-1,"body":{}})"}) {
        BOOST_TEST(refused("snapshot_fetch", nlohmann::json::parse(text)), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
