// Tests the text form of labels, the mapping of statuses to failures, and prefix hashes.
#include <boost/test/unit_test.hpp>

#include "plantainpoint/failure.hpp"
#include "plantainpoint/ids.hpp"

using namespace plantainpoint;

BOOST_AUTO_TEST_SUITE(ids)

// Guards against labels that no longer match their attempt when an engine echoes their text form back.
BOOST_AUTO_TEST_CASE(labelsRoundTrip)
{
    const attempt_label label{request_label{incarnation_id{vm_name{"vm-1"}, 7}, 42}, 3};
    BOOST_TEST(toString(label) == "vm-1/7/42/3");
    BOOST_TEST((parseAttemptLabel("vm-1/7/42/3") == label));
    BOOST_TEST((parseRequestLabel("vm-1/7/42") == label.request));
}

// Guards against a label in another format, as engines may report for work of other clients, that is accepted as an attempt label of the router.
BOOST_AUTO_TEST_CASE(malformedLabelsAreRefused)
{
    for (const auto *text : {"", "/", "vm", "vm/", "/1/2/3", "vm/1/2/x", "vm/1/2/3/4", "vm/1/2/4294967296"}) {
        BOOST_TEST(!parseAttemptLabel(text).has_value(), text);
    }
}

// Guards against a failure that loses its kind in a status and reaches the caller as an internal error.
BOOST_AUTO_TEST_CASE(statusKeepsItsFailureKind)
{
    for (const auto &row : failureTable) {
        BOOST_TEST((failureOf(makeStatus(row.kind, "detail")) == row.kind));
    }
    BOOST_TEST((failureOf(absl::UnknownError("foreign")) == failure::Internal));
}

// Guards against prefix hints that never match. Engines hash each prefix separately, the router hashes all prefixes in one pass.
BOOST_AUTO_TEST_CASE(prefixHashesEqualSeparateHashes)
{
    const std::string text = "pressing log of the northern mill";
    const auto hashes = stablePrefixHashes(text, 10);
    BOOST_REQUIRE(hashes.size() == 3U);
    for (std::size_t i = 0; i < hashes.size(); ++i) {
        BOOST_TEST(hashes[i] == stableHash(std::string_view(text).substr(0, (i + 1) * 10)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
