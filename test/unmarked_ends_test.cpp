// Tests the ends of answers that have neither a length nor chunks: their endpoint may have ended in the middle of them.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "relay_fixture.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

struct unmarked_fixture : relay_fixture {
    unmarked_fixture()
    {
        answersEndChecks = false;
        auto config = sampleRelayConfig();
        config.accounts[0].rate = 0;
        configure(config);
        announce(engines);
        core.take();
    }

    relay_dispatch start(const std::string &target, answer_framing framing = answer_framing::Close)
    {
        sendModelRequest(target);
        core.handle(prefill_reply{dispatches.back().attempt, "h"});
        collect();
        return begin(framing);
    }
    relay_dispatch begin(answer_framing framing = answer_framing::Close)
    {
        const auto dispatch = dispatches.back();
        core.handle(stream_head{.attempt = dispatch.attempt, .framing = framing});
        collect();
        return dispatch;
    }
    // Starts a stream that ends without a mark after two events, and whose endpoint is not found to have ended.
    relay_dispatch startAndEnd(const std::string &target)
    {
        const auto stream = start(target);
        streamPart(stream, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        endAttempt(stream, reply_outcome::Complete);
        BOOST_REQUIRE(endChecks.size() == 1);
        answerEndCheck(false);
        return stream;
    }
    void replyUnmarked(const relay_dispatch &dispatch, int status = 200)
    {
        core.handle(relay_reply{.attempt = dispatch.attempt, .status = status, .body = "booked", .genuine = true, .framing = answer_framing::Close});
        collect();
    }
    std::size_t metric(const char *name) { return core.metrics().at(name).get<std::size_t>(); }

    const std::string twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    std::vector<relay_endpoint> engines{endpointNamed("pre-1", "llm", endpoint_role::Prefill),
                                        endpointNamed("dec-1", "llm", endpoint_role::Decode),
                                        endpointNamed("dec-2", "llm", endpoint_role::Decode),
                                        endpointNamed("desk-3", "desk"),
                                        endpointNamed("desk-4", "desk")};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(unmarked_ends, unmarked_fixture)

// Guards against a stream that ends with its endpoint and reaches its caller as complete.
BOOST_AUTO_TEST_CASE(streamsOfEndpointsThatHaveEndedAreAborted)
{
    const auto stream = start("/draft/1");
    streamPart(stream, twoEvents);
    endAttempt(stream, reply_outcome::Complete);
    BOOST_TEST(streamEnds == 0);
    BOOST_REQUIRE(endChecks.size() == 1);
    BOOST_TEST(endChecks.back().endpoint.value == stream.endpoint.value);
    BOOST_TEST(endChecks.back().address == stream.address);
    answerEndCheck(true);
    BOOST_TEST(streamEnds == 0);
    BOOST_TEST(abortedAnswers == 1);
    BOOST_TEST(metric("unmarked_ends_refuted") == 1);
}

// Guards against a stream that could go on and is aborted, or ends as complete, because its endpoint has ended between two events.
BOOST_AUTO_TEST_CASE(resumableStreamsOfEndpointsThatHaveEndedGoOn)
{
    const auto stream = start("/resume/1");
    streamPart(stream, twoEvents);
    endAttempt(stream, reply_outcome::Complete);
    answerEndCheck(true);
    BOOST_REQUIRE(dispatches.back().attempt != stream.attempt);
    BOOST_TEST(dispatches.back().resumeAfter.value_or(0) == 2);
    const auto resumed = begin(answer_framing::Chunks);
    streamPart(resumed, "id: 3\ndata: c\n\n");
    endAttempt(resumed, reply_outcome::Complete);
    BOOST_TEST(streamedBytes == twoEvents + "id: 3\ndata: c\n\n");
    BOOST_TEST(streamEnds == 1);
    BOOST_TEST(abortedAnswers == 0);
}

// Guards against checks of streams whose end is marked, and against streams that are cut because their endpoint ends just after them.
BOOST_AUTO_TEST_CASE(markedEndsAreNotChecked)
{
    for (const auto framing : {answer_framing::Length, answer_framing::Chunks}) {
        const auto stream = start("/draft/1", framing);
        streamPart(stream, twoEvents);
        endAttempt(stream, reply_outcome::Complete);
    }
    BOOST_TEST(endChecks.empty());
    BOOST_TEST(streamEnds == 2);
    BOOST_TEST(metric("unmarked_answers") == 0);
}

// Guards against the loss of a whole stream that cannot go on elsewhere and whose endpoint runs on.
BOOST_AUTO_TEST_CASE(streamsOfRunningEndpointsAreComplete)
{
    startAndEnd("/draft/1");
    BOOST_TEST(streamEnds == 1);
    BOOST_TEST(streamedBytes == twoEvents);
}

// Guards against a stream whose endpoint closes the connection early and runs on: another endpoint has the rest.
BOOST_AUTO_TEST_CASE(resumableStreamsOfRunningEndpointsAreContinued)
{
    const auto stream = startAndEnd("/resume/1");
    BOOST_TEST(streamEnds == 0);
    BOOST_REQUIRE(dispatches.back().attempt != stream.attempt);
    BOOST_TEST(dispatches.back().endpoint.value != stream.endpoint.value);
    BOOST_TEST(dispatches.back().resumeAfter.value_or(0) == 2);
    const auto resumed = begin(answer_framing::Chunks);
    streamPart(resumed, "id: 3\ndata: c\n\n");
    advance(std::chrono::seconds{1});
    BOOST_TEST(streamEnds == 0);
    endAttempt(resumed, reply_outcome::Complete);
    BOOST_TEST(streamEnds == 1);
    BOOST_TEST(streamedBytes == twoEvents + "id: 3\ndata: c\n\n");
    BOOST_TEST(metric("unmarked_ends_refuted") == 1);
}

// Guards against further streams of an endpoint that end as complete although one of them has just proved incomplete, and against an endpoint that is
// distrusted for good.
BOOST_AUTO_TEST_CASE(endpointsWhoseStreamsProveIncompleteAreDistrusted)
{
    const auto stream = startAndEnd("/resume/1");
    const auto resumed = begin(answer_framing::Chunks);
    streamPart(resumed, "id: 3\ndata: c\n\n");
    endAttempt(resumed, reply_outcome::Complete);
    for (auto &each : engines) {
        if (each.name == resumed.endpoint) {
            withdraw(each.name.value); // The other one has to take the next stream.
        }
    }
    collect();
    streamEnds = 0;
    endChecks.clear();
    BOOST_REQUIRE(startAndEnd("/draft/1").endpoint.value == stream.endpoint.value);
    BOOST_TEST(streamEnds == 0);
    BOOST_TEST(abortedAnswers == 1);
    advance(std::chrono::seconds{31});
    endChecks.clear();
    startAndEnd("/draft/1");
    BOOST_TEST(streamEnds == 1);
}

// Guards against a whole stream that is aborted, or held back for long, because the endpoint that is asked for the rest has none, refuses or is silent.
BOOST_AUTO_TEST_CASE(wholeStreamsAreCompleteWhateverTheOtherEndpointAnswers)
{
    const auto expectEnd = [&](const char *how) {
        BOOST_TEST(streamEnds == 1, how);
        BOOST_TEST(abortedAnswers == 0, how);
        BOOST_TEST(streamedBytes == twoEvents, how);
        streamEnds = 0;
        streamedBytes.clear();
        endChecks.clear();
        for (int i = 0; i < 20; ++i) { // Earns the retries of the next case.
            reply((sendRequest("/lookup/1"), dispatches.back()), 200);
            const auto stream = start("/draft/1", answer_framing::Chunks);
            endAttempt(stream, reply_outcome::Complete);
        }
        advance(std::chrono::seconds{3}); // Back-off times end.
        streamEnds = 0;
        abortedAnswers = 0;
    };
    startAndEnd("/resume/1");
    endAttempt(begin(answer_framing::Chunks), reply_outcome::Complete);
    expectEnd("no further event");
    startAndEnd("/resume/1");
    endAttempt(begin(answer_framing::Close), reply_outcome::Complete);
    expectEnd("no further event, without a mark");
    startAndEnd("/resume/1");
    endAttempt(dispatches.back(), reply_outcome::Broken);
    expectEnd("broken");
    startAndEnd("/resume/1");
    endAttempt(dispatches.back(), reply_outcome::NotSent);
    expectEnd("not sent");
    startAndEnd("/resume/1");
    reply(dispatches.back(), 503, true);
    expectEnd("refused");
    startAndEnd("/resume/1");
    reply(dispatches.back(), 400);
    expectEnd("failed");
    startAndEnd("/resume/1");
    advance(std::chrono::seconds{1});
    expectEnd("silent");
}

// Guards against retries that are used up by streams that are whole: those whose endpoint has ended need them.
BOOST_AUTO_TEST_CASE(aPartOfTheRetriesIsKeptForStreamsThatAreBroken)
{
    int continued = 0;
    for (int i = 0; i < 30; ++i) {
        endChecks.clear();
        const auto before = streamEnds;
        startAndEnd("/resume/1");
        if (streamEnds == before) {
            ++continued;
            endAttempt(begin(answer_framing::Chunks), reply_outcome::Complete);
        }
        BOOST_TEST(streamEnds == before + 1);
    }
    BOOST_TEST(continued >= 1);
    BOOST_TEST(continued <= 15);
    endChecks.clear();
    const auto stream = start("/resume/1");
    streamPart(stream, twoEvents);
    endAttempt(stream, reply_outcome::Complete);
    answerEndCheck(true);
    BOOST_TEST(dispatches.back().attempt != stream.attempt);
}

// Guards against a part of a plain answer that reaches its caller as the whole one, and against a booking that runs twice.
BOOST_AUTO_TEST_CASE(plainAnswersOfEndpointsThatHaveEndedAreLost)
{
    sendRequest("/book/1");
    const auto booking = dispatches.back();
    replyUnmarked(booking);
    BOOST_TEST(answers.empty());
    BOOST_REQUIRE(endChecks.size() == 1);
    BOOST_TEST((endChecks.back().watchTime <= milliseconds{100}));
    answerEndCheck(true);
    BOOST_TEST(answers.empty());
    BOOST_REQUIRE(failures.size() == 1);
    BOOST_TEST((failures.back().reason == failure::EndpointFailed));
    BOOST_TEST((failures.back().result == outcome::Unknown));
    BOOST_TEST(dispatches.back().attempt == booking.attempt);

    sendRequest("/lookup/1");
    const auto lookup = dispatches.back();
    replyUnmarked(lookup);
    answerEndCheck(true);
    BOOST_REQUIRE(dispatches.back().attempt != lookup.attempt);
    reply(dispatches.back(), 200);
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST(answers.back().body == "body");
}

// Guards against the loss of sound answers without a length, and of failures, whose length matters to nobody.
BOOST_AUTO_TEST_CASE(plainAnswersOfRunningEndpointsArePassedOn)
{
    sendRequest("/book/1");
    replyUnmarked(dispatches.back());
    answerEndCheck(false);
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST(answers.back().body == "booked");
    sendRequest("/book/1");
    replyUnmarked(dispatches.back(), 404);
    BOOST_TEST(answers.size() == 2);
    BOOST_TEST(endChecks.size() == 1);
}

// Guards against whole answers that are lost because an endpoint that leaves has closed its listener before its last answers.
BOOST_AUTO_TEST_CASE(answersOfLeavingEndpointsAreNotChecked)
{
    sendRequest("/book/1");
    const auto booking = dispatches.back();
    const auto stream = start("/draft/1");
    streamPart(stream, twoEvents);
    auto leaving = engines;
    for (auto &each : leaving) {
        each.condition = endpoint_condition::Leaving;
    }
    announce(leaving);
    collect();
    replyUnmarked(booking);
    endAttempt(stream, reply_outcome::Complete);
    BOOST_TEST(endChecks.empty());
    BOOST_TEST(answers.size() == 1);
    BOOST_TEST(streamEnds == 1);
}

// Guards against an answer that is passed on although its endpoint has ended, because another run of it listens again before the check.
BOOST_AUTO_TEST_CASE(anotherRunOfTheEndpointProvesNothing)
{
    const auto stream = start("/draft/1");
    streamPart(stream, twoEvents);
    auto restarted = engines;
    for (auto &each : restarted) {
        each.startedAt = 2;
    }
    announce(restarted);
    collect();
    endAttempt(stream, reply_outcome::Complete);
    BOOST_TEST(endChecks.empty());
    BOOST_TEST(streamEnds == 0);
    BOOST_TEST(abortedAnswers == 1);
}

// Guards against a request without a final answer: the caller leaves, or the deadline passes, while the end of the answer is checked.
BOOST_AUTO_TEST_CASE(requestsEndWhileTheEndIsChecked)
{
    const auto caller = sendRequest("/book/1");
    replyUnmarked(dispatches.back());
    core.handle(caller_disconnected{caller});
    collect();
    answerEndCheck(true);
    BOOST_TEST(answers.empty());
    BOOST_TEST(failures.empty());
    sendRequest("/book/1");
    replyUnmarked(dispatches.back());
    advance(std::chrono::seconds{2});
    BOOST_TEST(failures.size() == 1);
    const auto stream = start("/draft/1");
    streamPart(stream, twoEvents);
    endAttempt(stream, reply_outcome::Complete);
    advance(std::chrono::seconds{5});
    BOOST_TEST(streamEnds + abortedAnswers == 1);
    BOOST_TEST(core.openRequests() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
