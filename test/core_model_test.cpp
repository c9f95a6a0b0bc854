// Checks that a completion reaches its caller complete and once, and that no engine memory stays allocated for it.
#include <boost/test/unit_test.hpp>

#include "core_fixture.hpp"

using namespace plantainpoint;
using namespace std::chrono_literals;

namespace {

class model_fixture : public core_fixture
{
public:
    model_fixture() { start(); }

    attempt_label dispatchedPrefill()
    {
        BOOST_REQUIRE(lastCommandOf<dispatch_prefill>());
        return lastCommandOf<dispatch_prefill>()->attempt;
    }

    // Finishes the dispatched prefill and returns the attempt whose decode was dispatched.
    attempt_label finishPrefill()
    {
        const auto attempt = dispatchedPrefill();
        deliver(prefill_done{attempt, "kv"});
        BOOST_REQUIRE(lastCommandOf<dispatch_decode>());
        BOOST_TEST((lastCommandOf<dispatch_decode>()->attempt == attempt));
        return attempt;
    }

    std::string answeredText() const
    {
        std::string joined;
        for (const auto &token : commandsOf<answer_token>()) {
            joined += token.text;
        }
        return joined;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(core_model, model_fixture)

// Guards against a missing step between placement, prefill, decode and the terminal answer.
BOOST_AUTO_TEST_CASE(completionReachesItsCaller)
{
    const auto caller = requestCompletion();
    BOOST_TEST(commandsOf<request_admitted>().size() == 1U);
    const auto attempt = finishPrefill();
    for (int i = 0; i < 3; ++i) {
        deliver(decoded_token{attempt, i, std::to_string(i)});
    }
    deliver(decode_done{attempt, "stop", 3});
    BOOST_TEST(answeredText() == "012");
    BOOST_TEST(commandsOf<answer_done>().size() == 1U);
    BOOST_TEST(lastCommandOf<answer_done>()->caller == caller);
    BOOST_TEST(lastCommandOf<answer_done>()->outputTokens == 3);
    BOOST_TEST(core.status()["requests"]["open"] == 0);
    BOOST_TEST(!core.explain(attempt.request).empty());
}

// Guards against tokens that are sent to the caller twice, or in the order of their arrival instead of their positions.
BOOST_AUTO_TEST_CASE(tokensAreAnsweredInOrderAndOnce)
{
    requestCompletion();
    const auto attempt = finishPrefill();
    for (const int position : {1, 0, 0, 2, 1}) {
        deliver(decoded_token{attempt, position, std::to_string(position)});
    }
    BOOST_TEST(answeredText() == "012");
}

// Guards against a truncated answer that looks complete, after the stream of a decode worker broke off.
BOOST_AUTO_TEST_CASE(brokenStreamResumesAtItsPosition)
{
    requestCompletion();
    const auto firstAttempt = finishPrefill();
    const auto worker = lastCommandOf<dispatch_decode>()->endpoint;
    deliver(decoded_token{firstAttempt, 0, "a"});
    deliver(attempt_failed{firstAttempt, "closed"});
    BOOST_TEST(commandsOf<cancel_attempt>().size() == 2U);
    const auto secondAttempt = finishPrefill();
    BOOST_TEST((secondAttempt != firstAttempt));
    BOOST_TEST(lastCommandOf<dispatch_decode>()->resumeFrom == 1);
    BOOST_TEST((lastCommandOf<dispatch_decode>()->endpoint != worker));
    deliver(decoded_token{firstAttempt, 1, "late"});
    deliver(decoded_token{secondAttempt, 1, "b"});
    deliver(decode_done{secondAttempt, "stop", 2});
    BOOST_TEST(answeredText() == "ab");
    BOOST_TEST(commandsOf<answer_done>().size() == 1U);
}

// Guards against an end of stream that is accepted although tokens before it have not arrived.
BOOST_AUTO_TEST_CASE(streamWithMissingTokenIsResumed)
{
    requestCompletion();
    const auto firstAttempt = finishPrefill();
    deliver(decoded_token{firstAttempt, 0, "a"});
    deliver(decode_done{firstAttempt, "stop", 2});
    BOOST_TEST(commandsOf<answer_done>().empty());
    const auto secondAttempt = finishPrefill();
    deliver(decoded_token{secondAttempt, 1, "b"});
    deliver(decode_done{secondAttempt, "stop", 2});
    BOOST_TEST(answeredText() == "ab");
    BOOST_TEST(commandsOf<answer_done>().size() == 1U);
}

// Guards against endless placements of a failing request, and against a failure that reports its work as not run although it may have run.
BOOST_AUTO_TEST_CASE(requestThatKeepsFailingEndsWithUnknownOutcome)
{
    requestCompletion();
    for (int i = 0; i < 10 && commandsOf<answer_failure>().empty(); ++i) {
        deliver(attempt_failed{dispatchedPrefill(), "closed"});
        advance(2s);
    }
    BOOST_TEST(commandsOf<answer_failure>().size() == 1U);
    BOOST_TEST((lastCommandOf<answer_failure>()->result == outcome::Unknown));
}

// Guards against engine memory that stays allocated to a request whose caller has disconnected, when a cancel is lost.
BOOST_AUTO_TEST_CASE(cancelIsRepeatedUntilNoReportListsTheAttempt)
{
    const auto caller = requestCompletion();
    const auto attempt = finishPrefill();
    const auto worker = lastCommandOf<dispatch_decode>()->endpoint;
    reportedAttempts[worker].insert(attempt);
    deliver(decoded_token{attempt, 0, "a"});
    deliver(caller_disconnected{caller});
    BOOST_TEST(commandsOf<cancel_attempt>().size() == 2U);
    BOOST_TEST(commandsOf<close_attempt>().size() == 1U);
    advance(3s);
    const auto cancelsWhileRunning = commandsOf<cancel_attempt>().size();
    BOOST_TEST(cancelsWhileRunning > 4U);
    reportedAttempts[worker].clear();
    advance(2s);
    BOOST_TEST(core.status()["vm"]["pending_cancels"] == 0);
    const auto cancelsAfterRelease = commandsOf<cancel_attempt>().size();
    advance(3s);
    BOOST_TEST(commandsOf<cancel_attempt>().size() == cancelsAfterRelease);
    BOOST_TEST(commandsOf<answer_failure>().empty());
}

// Guards against a stream that continues after its key was withdrawn.
BOOST_AUTO_TEST_CASE(withdrawnKeyEndsRunningStream)
{
    requestCompletion();
    const auto attempt = finishPrefill();
    deliver(decoded_token{attempt, 0, "a"});
    auto config = pressConfig();
    config.keys.clear();
    publish(config);
    advance(1s);
    BOOST_REQUIRE(lastCommandOf<answer_failure>());
    BOOST_TEST((lastCommandOf<answer_failure>()->reason == failure::KeyWithdrawn));
    BOOST_TEST((lastCommandOf<answer_failure>()->result == outcome::Unknown));
    BOOST_TEST(commandsOf<cancel_attempt>().size() >= 2U);
    requestCompletion();
    BOOST_TEST((lastCommandOf<answer_failure>()->reason == failure::UnknownKey));
}

// Guards against a caller that waits forever when no worker answers.
BOOST_AUTO_TEST_CASE(deadlineEndsRequestWithoutFirstToken)
{
    requestCompletion();
    dispatchedPrefill();
    advance(11s);
    BOOST_REQUIRE(lastCommandOf<answer_failure>());
    BOOST_TEST((lastCommandOf<answer_failure>()->reason == failure::DeadlineExceeded));
    BOOST_TEST((lastCommandOf<answer_failure>()->result == outcome::Unknown));
    BOOST_TEST(commandsOf<cancel_attempt>().size() >= 2U);
}

BOOST_AUTO_TEST_SUITE_END()
