// Tests the CBOR form of records and the refusal of invalid bytes without an exception.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "plantainpoint/failure.hpp"
#include "plantainpoint/records.hpp"
#include "sample_config.hpp"

using namespace plantainpoint;

BOOST_AUTO_TEST_SUITE(records)

namespace {

std::vector<log_record> oneRecordOfEachType()
{
    const claim_key key{account_name{"a"}, service_name{"desk"}, std::string("k\xff\0y", 4)};
    const incarnation_id vm{vm_name{"vm-1"}, 3};
    std::vector<record_body> bodies{
        sample::publish(sample::service("desk"), 4),
        epoch_record{7, {{vm, data_centre_name{"dc-a"}, region_name{"r"}, "127.0.0.1:1"}}},
        booking_claim{key, vm, "digest", 1'700'000'000'000},
        booking_outcome{key, outcome::Ran, 201, "text/plain", std::string("\x00\xfe\xff", 3)},
        order_record{endpoint_name{"d1"}, model_name{"m"}, "adapter", "v2", endpoint_role::Prefill},
        audit_event{audit_kind::OrphanFreed, "vm-1", "d1", "label", 5},
        void_record{record_id{vm, ~0ULL}},
        snapshot_chunk{9, 1, 2, "digest", std::string(1000, '\xf0')},
    };
    std::vector<log_record> all;
    for (auto &body : bodies) {
        all.push_back({sample::recordId(all.size()), std::move(body)});
    }
    return all;
}

failure decodeFailure(const std::string &bytes)
{
    return failureOf(decodeBatch(bytes).status());
}

} // namespace

// Guards against a field that the writer encodes and the reader drops or changes.
BOOST_AUTO_TEST_CASE(batchesRoundTrip)
{
    const auto all = oneRecordOfEachType();
    const auto decoded = decodeBatch(encodeBatch(all));
    BOOST_REQUIRE_MESSAGE(decoded.ok(), decoded.status().ToString());
    BOOST_TEST((*decoded == all));
    BOOST_TEST(decodeBatch(encodeBatch({}))->empty());
}

// Guards against a reader that reads past the end of a truncated batch.
BOOST_AUTO_TEST_CASE(everyTruncationIsRefused)
{
    const auto bytes = encodeBatch(oneRecordOfEachType());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        BOOST_TEST((decodeFailure(bytes.substr(0, size)) == failure::MalformedRecord), "size " << size);
    }
    BOOST_TEST((decodeFailure(bytes + '\0') == failure::MalformedRecord));
}

// Guards against one appended entry that crashes every reader because its deep nesting exhausts the stack.
BOOST_AUTO_TEST_CASE(deepNestingIsRefused)
{
    for (const char opening : {'\x81', '\xa1', '\x9f'}) {
        BOOST_TEST((decodeFailure(std::string(1'000'000, opening)) == failure::MalformedRecord));
    }
    BOOST_TEST((decodeFailure(std::string(maxBatchBytes + 1, '\0')) == failure::MalformedRecord));
}

// Guards against a stated length for which the decoder reserves memory before it has the bytes.
BOOST_AUTO_TEST_CASE(hugeLengthsAreRefused)
{
    for (const char kind : {'\x5b', '\x7b', '\x9b', '\xbb'}) {
        BOOST_TEST((decodeFailure(kind + std::string(8, '\x7f')) == failure::MalformedRecord));
    }
}

// Guards against a record whose meaning is changed by a field that this version does not know, and against incomplete or mistyped bodies.
BOOST_AUTO_TEST_CASE(unknownMissingAndMistypedFieldsAreRefused)
{
    using nlohmann::json;
    const auto decodeBody = [](const json &body) {
        std::string bytes;
        json::to_cbor(json::array({{{"id", "vm/1/1"}, {"type", "void_record"}, {"body", body}}}), bytes);
        return decodeFailure(bytes);
    };
    BOOST_TEST((decodeBody({{"target", "vm/1/2"}}) == failure::None));
    BOOST_TEST((decodeBody({{"target", "vm/1/2"}, {"more", 1}}) == failure::MalformedRecord));
    BOOST_TEST((decodeBody(json::object()) == failure::MalformedRecord));
    BOOST_TEST((decodeBody({{"target", 1}}) == failure::MalformedRecord));
    BOOST_TEST((decodeBody({{"target", "vm"}}) == failure::MalformedRecord));
    BOOST_TEST((decodeBody(json::array()) == failure::MalformedRecord));
}

// Guards against two publications with different contents that count as repeats of each other because their digests are equal.
BOOST_AUTO_TEST_CASE(contentDigestFollowsTheContent)
{
    auto record = sample::publish(sample::service("desk"), 1);
    const auto digest = record.digest;
    record.base = 2;
    record.author = "other";
    BOOST_TEST(contentDigest(record) == digest);
    record.removes = true;
    BOOST_TEST(contentDigest(record) != digest);
    record.removes = false;
    record.service.accounts.front().limit.rate += 1;
    BOOST_TEST(contentDigest(record) != digest);
}

BOOST_AUTO_TEST_SUITE_END()
