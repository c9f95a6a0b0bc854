// a completion reaches its caller whole, once, and leaves no engine memory behind
#include <boost/test/unit_test.hpp>

#include "core_fixture.hpp"

using namespace plantainpoint;
using namespace std::chrono_literals;

namespace {

class model_fixture : public core_fixture
{
public:
    model_fixture() { start(); }

    attempt_label prefill()
    {
        BOOST_REQUIRE(last<dispatch_prefill>());
        return last<dispatch_prefill>()->attempt;
    }

    // up to the dispatched decode
    attempt_label decode()
    {
        const auto attempt = prefill();
        give(prefill_done{attempt, "kv"});
        BOOST_REQUIRE(last<dispatch_decode>());
        BOOST_TEST((last<dispatch_decode>()->attempt == attempt));
        return attempt;
    }

    std::string text() const
    {
        std::string joined;
        for (const auto &token : all<answer_token>()) {
            joined += token.text;
        }
        return joined;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(core_model, model_fixture)

// guards against a lost step between placement, prefill, decode and the terminal answer
BOOST_AUTO_TEST_CASE(completionReachesItsCaller)
{
    const auto caller = complete();
    BOOST_TEST(all<request_admitted>().size() == 1U);
    const auto attempt = decode();
    for (int i = 0; i < 3; ++i) {
        give(decoded_token{attempt, i, std::to_string(i)});
    }
    give(decode_done{attempt, "stop", 3});
    BOOST_TEST(text() == "012");
    BOOST_TEST(all<answer_done>().size() == 1U);
    BOOST_TEST(last<answer_done>()->caller == caller);
    BOOST_TEST(last<answer_done>()->outputTokens == 3);
    BOOST_TEST(core.status()["requests"]["open"] == 0);
    BOOST_TEST(!core.explain(attempt.request).empty());
}

// guards against tokens that are answered twice, or in the order of arrival instead of their positions
BOOST_AUTO_TEST_CASE(tokensAreAnsweredInOrderAndOnce)
{
    complete();
    const auto attempt = decode();
    for (const int position : {1, 0, 0, 2, 1}) {
        give(decoded_token{attempt, position, std::to_string(position)});
    }
    BOOST_TEST(text() == "012");
}

// guards against a truncated answer that looks complete
BOOST_AUTO_TEST_CASE(brokenStreamResumesAtItsPosition)
{
    complete();
    const auto first = decode();
    const auto worker = last<dispatch_decode>()->endpoint;
    give(decoded_token{first, 0, "a"});
    give(attempt_failed{first, "closed"});
    BOOST_TEST(all<cancel_attempt>().size() == 2U);
    const auto second = decode();
    BOOST_TEST((second != first));
    BOOST_TEST(last<dispatch_decode>()->resumeFrom == 1);
    BOOST_TEST((last<dispatch_decode>()->endpoint != worker));
    give(decoded_token{first, 1, "late"});
    give(decoded_token{second, 1, "b"});
    give(decode_done{second, "stop", 2});
    BOOST_TEST(text() == "ab");
    BOOST_TEST(all<answer_done>().size() == 1U);
}

// guards against an end of stream that passes over tokens which have not come
BOOST_AUTO_TEST_CASE(streamWithMissingTokenIsResumed)
{
    complete();
    const auto first = decode();
    give(decoded_token{first, 0, "a"});
    give(decode_done{first, "stop", 2});
    BOOST_TEST(all<answer_done>().empty());
    const auto second = decode();
    give(decoded_token{second, 1, "b"});
    give(decode_done{second, "stop", 2});
    BOOST_TEST(text() == "ab");
    BOOST_TEST(all<answer_done>().size() == 1U);
}

// guards against an endless chain of placements, and against a failure that claims the work was not run
BOOST_AUTO_TEST_CASE(requestThatKeepsFailingEndsWithOneTruthfulFailure)
{
    complete();
    for (int i = 0; i < 10 && all<answer_failure>().empty(); ++i) {
        give(attempt_failed{prefill(), "closed"});
        advance(2s);
    }
    BOOST_TEST(all<answer_failure>().size() == 1U);
    BOOST_TEST((last<answer_failure>()->result == outcome::Unknown));
}

// guards against engine memory that stays held by a request whose caller is gone
BOOST_AUTO_TEST_CASE(cancelIsRepeatedUntilNoReportListsTheLabel)
{
    const auto caller = complete();
    const auto attempt = decode();
    const auto worker = last<dispatch_decode>()->endpoint;
    running[worker].insert(attempt);
    give(decoded_token{attempt, 0, "a"});
    give(caller_disconnected{caller});
    BOOST_TEST(all<cancel_attempt>().size() == 2U);
    BOOST_TEST(all<close_attempt>().size() == 1U);
    advance(3s);
    const auto repeated = all<cancel_attempt>().size();
    BOOST_TEST(repeated > 4U);
    running[worker].clear();
    advance(2s);
    BOOST_TEST(core.status()["vm"]["pending_cancels"] == 0);
    const auto settled = all<cancel_attempt>().size();
    advance(3s);
    BOOST_TEST(all<cancel_attempt>().size() == settled);
    BOOST_TEST(all<answer_failure>().empty());
}

// guards against a running stream that outlives its withdrawn key
BOOST_AUTO_TEST_CASE(withdrawnKeyEndsRunningStream)
{
    complete();
    const auto attempt = decode();
    give(decoded_token{attempt, 0, "a"});
    auto config = press();
    config.keys.clear();
    publish(config);
    advance(1s);
    BOOST_REQUIRE(last<answer_failure>());
    BOOST_TEST((last<answer_failure>()->reason == failure::KeyWithdrawn));
    BOOST_TEST((last<answer_failure>()->result == outcome::Unknown));
    BOOST_TEST(all<cancel_attempt>().size() >= 2U);
    complete();
    BOOST_TEST((last<answer_failure>()->reason == failure::UnknownKey));
}

// guards against a caller that waits without end when no worker answers
BOOST_AUTO_TEST_CASE(deadlineEndsRequestWithoutFirstToken)
{
    complete();
    prefill();
    advance(11s);
    BOOST_REQUIRE(last<answer_failure>());
    BOOST_TEST((last<answer_failure>()->reason == failure::DeadlineExceeded));
    BOOST_TEST((last<answer_failure>()->result == outcome::Unknown));
    BOOST_TEST(all<cancel_attempt>().size() >= 2U);
}

BOOST_AUTO_TEST_SUITE_END()
