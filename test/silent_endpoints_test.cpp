// Tests that an endpoint which falls silent for a moment and goes on costs no caller its answer.
#include <array>
#include <functional>

#include <boost/test/unit_test.hpp>

#include "relay_fixture.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string secondEvent = "id: 2\ndata: b\n\n";
const std::string thirdEvent = "id: 3\ndata: c\n\n";

struct silence_fixture : relay_fixture {
    // Starts a stream at a decode endpoint that reads the prompt itself, and returns its dispatch.
    relay_dispatch startStream()
    {
        auto config = sampleRelayConfig();
        config.routes[3].timeout = std::chrono::seconds{14};
        configure(config);
        announce({endpointNamed("dec-1", "llm", endpoint_role::Decode), endpointNamed("dec-2", "llm", endpoint_role::Decode)});
        submit("/resume/1", "k-acme", std::chrono::seconds{14}, token_count{1000, 100, {}});
        return dispatches.back();
    }
    // Lets time pass in steps until another attempt is sent, and returns it.
    std::optional<relay_dispatch> waitForReplacement(duration limit = milliseconds{1900})
    {
        const auto before = dispatches.size();
        for (duration elapsed{}; elapsed < limit && dispatches.size() == before; elapsed += milliseconds{10}) {
            advance(milliseconds{10});
        }
        return dispatches.size() > before ? std::optional(dispatches.back()) : std::nullopt;
    }
    bool isAborted(const relay_dispatch &dispatch) const
    {
        return std::find(abortedAttempts.begin(), abortedAttempts.end(), dispatch.attempt) != abortedAttempts.end();
    }
    // A relay of an aborted attempt passes nothing on.
    void deliver(const relay_dispatch &dispatch, const std::string &bytes)
    {
        if (!isAborted(dispatch)) {
            streamPart(dispatch, bytes);
        }
    }
    void complete(const relay_dispatch &dispatch)
    {
        if (!isAborted(dispatch)) {
            endAttempt(dispatch, reply_outcome::Complete);
        }
    }
};

struct refusal {
    const char *name;
    std::function<void(silence_fixture &, const relay_dispatch &)> apply;
    bool isAnswer = false; // The endpoint's own failure is the answer to a request that has no other yet.
};

// Ways in which a second endpoint does not take over a stream.
const std::array refusals{
    refusal{"full", [](auto &fixture, const auto &dispatch) { fixture.reply(dispatch, 503, true); }},
    refusal{"another endpoint",
            [](auto &fixture, const auto &dispatch) {
                fixture.core.handle(relay_reply{.attempt = dispatch.attempt, .status = 421, .wrongEndpoint = true});
                fixture.collect();
            }},
    refusal{"not reachable", [](auto &fixture, const auto &dispatch) { fixture.endAttempt(dispatch, reply_outcome::NotSent); }},
    refusal{"broken", [](auto &fixture, const auto &dispatch) { fixture.endAttempt(dispatch, reply_outcome::Broken); }},
    refusal{"error", [](auto &fixture, const auto &dispatch) { fixture.reply(dispatch, 500); }, true},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(silent_endpoints, silence_fixture)

// Guards against a stream that ends without its end because another endpoint refused to resume it while the first one was silent.
BOOST_AUTO_TEST_CASE(refusedResumptionDoesNotEndTheStream)
{
    for (const auto &each : refusals) {
        BOOST_TEST_CONTEXT(each.name)
        {
            silence_fixture fixture;
            const auto first = fixture.startStream();
            fixture.beginStream(first);
            fixture.streamPart(first, firstEvent);
            fixture.core.handle(configuration_read{std::make_shared<const relay_config>(sampleRelayConfig(2))});
            const auto second = fixture.waitForReplacement();
            BOOST_REQUIRE(second.has_value());
            each.apply(fixture, *second);
            fixture.advance(milliseconds{100});
            BOOST_TEST(fixture.abortedAnswers == 0);
            fixture.deliver(first, secondEvent);
            fixture.complete(first);
            BOOST_TEST(fixture.streamedBytes == firstEvent + secondEvent);
            BOOST_TEST(fixture.streamEnds == 1);
            BOOST_TEST(fixture.abortedAnswers == 0);
        }
    }
}

// Guards against a stream that ends while its endpoint is silent between the head and the first event.
BOOST_AUTO_TEST_CASE(refusedResumptionAfterTheHeadDoesNotEndTheStream)
{
    for (const auto &each : refusals) {
        BOOST_TEST_CONTEXT(each.name)
        {
            silence_fixture fixture;
            const auto first = fixture.startStream();
            fixture.beginStream(first);
            const auto second = fixture.waitForReplacement();
            BOOST_REQUIRE(second.has_value());
            each.apply(fixture, *second);
            fixture.advance(milliseconds{50});
            fixture.deliver(first, firstEvent);
            fixture.complete(first);
            BOOST_TEST(fixture.streamedBytes == firstEvent);
            BOOST_TEST(fixture.streamEnds == 1);
            BOOST_TEST(fixture.abortedAnswers == 0);
        }
    }
}

// Guards against a failure that is answered while the endpoint that has the request is only silent.
BOOST_AUTO_TEST_CASE(refusedSecondAttemptDoesNotFailTheRequest)
{
    for (const auto &each : refusals) {
        if (each.isAnswer) {
            continue;
        }
        BOOST_TEST_CONTEXT(each.name)
        {
            silence_fixture fixture;
            const auto first = fixture.startStream();
            const auto second = fixture.waitForReplacement();
            BOOST_REQUIRE(second.has_value());
            each.apply(fixture, *second);
            fixture.advance(milliseconds{50});
            fixture.core.handle(stream_head{.attempt = first.attempt});
            fixture.collect();
            fixture.deliver(first, firstEvent);
            fixture.complete(first);
            BOOST_TEST(fixture.failures.empty());
            BOOST_TEST(fixture.streamedBytes == firstEvent);
            BOOST_TEST(fixture.streamEnds == 1);
        }
    }
}

// Guards against a stream that is lost although the endpoint that it left answers first.
BOOST_AUTO_TEST_CASE(endpointThatGoesOnFirstKeepsTheStream)
{
    const auto first = startStream();
    beginStream(first);
    streamPart(first, firstEvent + "id: 2\nda");
    const auto second = waitForReplacement();
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(!isAborted(first));
    deliver(first, "ta: b\n\n");
    BOOST_TEST(isAborted(*second));
    streamPart(*second, secondEvent + thirdEvent);
    endAttempt(*second, reply_outcome::Broken);
    deliver(first, thirdEvent);
    complete(first);
    BOOST_TEST(streamedBytes == firstEvent + secondEvent + thirdEvent);
    BOOST_TEST(streamEnds == 1);
    BOOST_TEST(abortedAnswers == 0);
}

// Guards against two endpoints that go on with the same stream.
BOOST_AUTO_TEST_CASE(endpointIsLeftWhenItsReplacementBegins)
{
    const auto first = startStream();
    beginStream(first);
    streamPart(first, firstEvent + "id: 2\nda");
    const auto second = waitForReplacement();
    BOOST_REQUIRE(second.has_value());
    beginStream(*second);
    BOOST_TEST(!isAborted(first));
    streamPart(*second, secondEvent);
    BOOST_TEST(isAborted(first));
    streamPart(first, "ta: b\n\n");
    endAttempt(first, reply_outcome::Complete);
    BOOST_TEST(streamEnds == 0);
    streamPart(*second, thirdEvent);
    endAttempt(*second, reply_outcome::Complete);
    BOOST_TEST(streamedBytes == firstEvent + secondEvent + thirdEvent);
    BOOST_TEST(streamEnds == 1);
}

// Guards against an endpoint that works on a stream for longer than 400 ms after another one has gone on with it.
BOOST_AUTO_TEST_CASE(silentEndpointIsLeftSoonAfterItsReplacementHasBegun)
{
    const auto first = startStream();
    beginStream(first);
    streamPart(first, firstEvent);
    const auto second = waitForReplacement();
    BOOST_REQUIRE(second.has_value());
    beginStream(*second);
    advance(milliseconds{395});
    BOOST_TEST(isAborted(first));
    BOOST_TEST(!isAborted(*second));
    streamPart(*second, secondEvent);
    endAttempt(*second, reply_outcome::Complete);
    BOOST_TEST(streamedBytes == firstEvent + secondEvent);
    BOOST_TEST(streamEnds == 1);
}

// Guards against a lookup that fails because the second endpoint refused it, although the first one answers in time.
BOOST_AUTO_TEST_CASE(refusedSecondAttemptDoesNotFailTheLookup)
{
    for (const auto &each : refusals) {
        if (each.isAnswer) {
            continue;
        }
        BOOST_TEST_CONTEXT(each.name)
        {
            silence_fixture fixture;
            fixture.configureDesks();
            fixture.sendRequest("/lookup/1");
            const auto first = fixture.dispatches.back();
            const auto second = fixture.waitForReplacement(milliseconds{500});
            BOOST_REQUIRE(second.has_value());
            each.apply(fixture, *second);
            fixture.advance(milliseconds{100});
            fixture.reply(first, 200);
            BOOST_TEST(fixture.failures.empty());
            BOOST_REQUIRE_EQUAL(fixture.answers.size(), 1U);
            BOOST_TEST(fixture.answers[0].status == 200);
        }
    }
}

// Guards against a stream that is cut because the other endpoint has no room at the moment at which the first one breaks off.
BOOST_AUTO_TEST_CASE(brokenStreamWaitsForAPlace)
{
    const auto first = startStream();
    beginStream(first);
    streamPart(first, firstEvent);
    const auto other = first.endpoint.value == "dec-1" ? "dec-2" : "dec-1";
    const auto reportLoad = [&](std::uint64_t sequence, std::int32_t running) {
        core.handle(fleet_heartbeat{.from = {{"vm-2"}, 5},
                                    .sequence = sequence,
                                    .address = "127.0.0.1:7002",
                                    .dataCentre = {"dc-a"},
                                    .loads = {{.endpoint = {other}, .running = running}}});
        collect();
    };
    reportLoad(1, 2);
    endAttempt(first, reply_outcome::Broken);
    advance(milliseconds{200});
    BOOST_TEST(abortedAnswers == 0);
    BOOST_TEST(dispatches.size() == 1U);
    reportLoad(2, 0);
    BOOST_REQUIRE_EQUAL(dispatches.size(), 2U);
    BOOST_TEST(dispatches[1].endpoint.value == other);
    BOOST_TEST((dispatches[1].resumeAfter == std::optional<std::uint64_t>{1}));
    beginStream(dispatches[1]);
    streamPart(dispatches[1], secondEvent);
    endAttempt(dispatches[1], reply_outcome::Complete);
    BOOST_TEST(streamedBytes == firstEvent + secondEvent);
    BOOST_TEST(streamEnds == 1);
}

// Guards against a stream that is given up between its head and its first event, as if its caller had waited since the clock began.
BOOST_AUTO_TEST_CASE(streamThatBreaksOffAfterItsHeadWaitsForAPlace)
{
    const auto first = startStream();
    beginStream(first);
    const auto other = first.endpoint.value == "dec-1" ? "dec-2" : "dec-1";
    core.handle(fleet_heartbeat{
        .from = {{"vm-2"}, 5}, .sequence = 1, .address = "127.0.0.1:7002", .dataCentre = {"dc-a"}, .loads = {{.endpoint = {other}, .running = 2}}});
    endAttempt(first, reply_outcome::Broken);
    advance(milliseconds{200});
    BOOST_TEST(abortedAnswers == 0);
    core.handle(fleet_heartbeat{.from = {{"vm-2"}, 5}, .sequence = 2, .address = "127.0.0.1:7002", .dataCentre = {"dc-a"}});
    collect();
    BOOST_TEST(dispatches.size() == 2U);
    advance(milliseconds{10});
    BOOST_TEST(abortedAnswers == 0);
}

// Guards against open work that is counted for ever at the two endpoints of a request whose caller has left.
BOOST_AUTO_TEST_CASE(noWorkIsLeftBehind)
{
    for (int i = 0; i < 2; ++i) {
        const auto first = startStream();
        beginStream(first);
        streamPart(first, firstEvent);
        const auto second = waitForReplacement();
        BOOST_REQUIRE(second.has_value());
        core.handle(caller_disconnected{lastCaller});
        collect();
        BOOST_TEST(isAborted(first));
        BOOST_TEST(isAborted(*second));
        BOOST_TEST(core.openRequests() == 0U);
        advance(std::chrono::seconds{5});
    }
    dispatches.clear();
    startStream();
    BOOST_TEST(dispatches.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
