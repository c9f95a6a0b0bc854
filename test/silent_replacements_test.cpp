// Tests what becomes of a request whose endpoint is silent when the endpoint that is to replace it is silent, full or lost as well.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "relay_fixture.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string secondEvent = "id: 2\ndata: b\n\n";

struct replacement_fixture : relay_fixture {
    relay_dispatch startStream(const std::vector<std::string> &decodes = {"dec-1", "dec-2"})
    {
        auto config = sampleRelayConfig();
        config.routes[3].timeout = std::chrono::seconds{14};
        configure(config);
        std::vector<relay_endpoint> endpoints;
        for (const auto &name : decodes) {
            endpoints.push_back(endpointNamed(name, "llm", endpoint_role::Decode));
        }
        announce(endpoints);
        submit("/resume/1", "k-acme", std::chrono::seconds{14}, token_count{1000, 100, {}});
        return dispatches.back();
    }
    void wait(duration time)
    {
        for (duration elapsed{}; elapsed < time; elapsed += milliseconds{10}) {
            advance(milliseconds{10});
        }
    }
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
    void reportLoad(std::uint64_t sequence, const std::string &endpoint, std::int32_t running)
    {
        std::vector<endpoint_load> loads;
        if (running > 0) {
            loads.push_back({.endpoint = {endpoint}, .running = running});
        }
        core.handle(fleet_heartbeat{.from = {{"vm-2"}, 5}, .sequence = sequence, .address = "127.0.0.1:7002", .dataCentre = {"dc-a"}, .loads = loads});
        collect();
    }
    static std::string otherOf(const relay_dispatch &dispatch) { return dispatch.endpoint.value == "dec-1" ? "dec-2" : "dec-1"; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(silent_replacements, replacement_fixture)

// Guards against a stream that is lost because the attempt at a silent endpoint is closed while its replacement has not answered at all.
BOOST_AUTO_TEST_CASE(silentReplacementDoesNotCostTheStream)
{
    const auto first = startStream();
    beginStream(first);
    streamPart(first, firstEvent);
    const auto second = waitForReplacement();
    BOOST_REQUIRE(second.has_value());
    wait(milliseconds{500}); // The first endpoint was silent for 1.2 s in all.
    BOOST_TEST(!isAborted(first));
    deliver(first, secondEvent);
    complete(first);
    wait(milliseconds{2000});
    BOOST_TEST(streamedBytes == firstEvent + secondEvent);
    BOOST_TEST(streamEnds == 1);
    BOOST_TEST(abortedAnswers == 0);
}

// Guards against a stream that is lost when its replacement breaks off between its head and its first event.
BOOST_AUTO_TEST_CASE(replacementThatBreaksOffAfterItsHeadDoesNotCostTheStream)
{
    const auto first = startStream();
    beginStream(first);
    streamPart(first, firstEvent);
    const auto second = waitForReplacement();
    BOOST_REQUIRE(second.has_value());
    beginStream(*second);
    endAttempt(*second, reply_outcome::Broken);
    deliver(first, secondEvent);
    complete(first);
    BOOST_TEST(streamedBytes == firstEvent + secondEvent);
    BOOST_TEST(streamEnds == 1);
    BOOST_TEST(abortedAnswers == 0);
}

// Guards against a stream that stays with a lost endpoint because no other one had room at the moment at which it became overdue.
BOOST_AUTO_TEST_CASE(overdueStreamTakesRoomThatIsFoundLater)
{
    const auto first = startStream();
    beginStream(first);
    streamPart(first, firstEvent);
    reportLoad(1, otherOf(first), 2);
    wait(milliseconds{800});
    BOOST_TEST(dispatches.size() == 1U);
    reportLoad(2, otherOf(first), 0);
    wait(milliseconds{1000});
    BOOST_TEST(dispatches.size() == 2U);
    BOOST_TEST(abortedAnswers == 0);
}

// Guards against a stream that never fails over in a second silence because no other endpoint had room in the first one.
BOOST_AUTO_TEST_CASE(streamFailsOverInItsSecondSilence)
{
    const auto first = startStream();
    beginStream(first);
    streamPart(first, firstEvent);
    reportLoad(1, otherOf(first), 2);
    wait(milliseconds{800});
    streamPart(first, secondEvent);
    reportLoad(2, otherOf(first), 0);
    wait(milliseconds{1500});
    BOOST_TEST(dispatches.size() == 2U);
}

// Guards against a lookup that never fails over because the other endpoint was avoided for some milliseconds when it became overdue.
BOOST_AUTO_TEST_CASE(overdueLookupTakesRoomThatIsFoundLater)
{
    configureDesks();
    sendRequest("/lookup/1");
    const auto first = dispatches.back();
    reportLoad(1, first.endpoint.value == "desk-1" ? "desk-2" : "desk-1", 4);
    wait(milliseconds{300});
    BOOST_TEST(dispatches.size() == 1U);
    reportLoad(2, "desk-1", 0);
    wait(milliseconds{300});
    BOOST_TEST(dispatches.size() == 2U);
}

// Guards against a stream that is cut at once when it breaks off after a silence of 60% of its caller's patience, although a place is free soon after.
BOOST_AUTO_TEST_CASE(streamThatBreaksOffAfterASilenceWaitsForAPlace)
{
    const auto first = startStream();
    beginStream(first);
    streamPart(first, firstEvent);
    reportLoad(1, otherOf(first), 2);
    wait(milliseconds{1300}); // The caller waits for 2 s.
    endAttempt(first, reply_outcome::Broken);
    wait(milliseconds{50});
    BOOST_TEST(abortedAnswers == 0);
    reportLoad(2, otherOf(first), 0);
    BOOST_TEST(dispatches.size() == 2U);
}

// Guards against a stream that broke off and waits for a place behind every new request.
BOOST_AUTO_TEST_CASE(brokenStreamIsPlacedBeforeNewRequests)
{
    const auto first = startStream();
    beginStream(first);
    streamPart(first, firstEvent);
    wait(milliseconds{500}); // The first event was in time. The objective is 400 ms.
    const auto broken = lastCaller;
    reportLoad(1, otherOf(first), 2);
    endAttempt(first, reply_outcome::Broken);
    withdraw(first.endpoint.value);
    collect();
    submit("/resume/2", "k-acme", std::chrono::seconds{14}, token_count{1000, 100, {}});
    BOOST_REQUIRE_NE(broken, lastCaller);
    BOOST_REQUIRE_EQUAL(dispatches.size(), 1U);
    reportLoad(2, otherOf(first), 0); // There is room for one prompt.
    BOOST_REQUIRE_EQUAL(dispatches.size(), 2U);
    BOOST_TEST(dispatches[1].payload->id == "id-" + std::to_string(broken));
}

// Guards against a lookup that loses the answer of its first endpoint when a third one is asked.
BOOST_AUTO_TEST_CASE(thirdAttemptWaitsUntilOneOfTwoHasEnded)
{
    auto config = sampleRelayConfig();
    config.routes[0].attempts = 3;
    configure(config);
    announce({endpointNamed("desk-1", "desk"), endpointNamed("desk-2", "desk"), endpointNamed("desk-3", "desk")});
    core.take();
    sendRequest("/lookup/1", "k-acme", milliseconds{2000});
    const auto first = dispatches.back();
    const auto second = waitForReplacement(milliseconds{600});
    BOOST_REQUIRE(second.has_value());
    wait(milliseconds{600});
    BOOST_TEST(dispatches.size() == 2U);
    BOOST_TEST(!isAborted(first));
    endAttempt(*second, reply_outcome::Broken);
    BOOST_TEST(dispatches.size() == 3U);
    BOOST_TEST(!isAborted(first));
    reply(first, 200);
    BOOST_TEST(answers.size() == 1U);
}

// Guards against retries that are paid for although nothing is sent.
BOOST_AUTO_TEST_CASE(refusedReplacementCostsOneRetry)
{
    const auto first = startStream();
    beginStream(first);
    streamPart(first, firstEvent);
    const auto second = waitForReplacement();
    BOOST_REQUIRE(second.has_value());
    reply(*second, 503, true);
    BOOST_TEST(dispatches.size() == 2U);
    BOOST_TEST(core.metrics()["retries"].get<int>() == 1);
}

// Guards against a request that is sent again and again to endpoints that refuse it.
BOOST_AUTO_TEST_CASE(refusedReplacementsAreBounded)
{
    startStream({"dec-0", "dec-1", "dec-2", "dec-3", "dec-4", "dec-5", "dec-6", "dec-7", "dec-8", "dec-9"});
    std::size_t handled = 1;
    for (int i = 0; i < 1300; ++i) {
        if (i % 20 == 0) { // Other requests earn retries.
            for (int k = 0; k < 4; ++k) {
                sendRequest("/resume/other", "k-acme", milliseconds{20});
            }
        }
        advance(milliseconds{10});
        for (; handled < dispatches.size(); ++handled) {
            const auto dispatch = dispatches[handled];
            if (dispatch.payload->id == "id-1") {
                reply(dispatch, 503, true);
            } else {
                reply(dispatch, 200);
            }
        }
    }
    const auto count = std::count_if(dispatches.begin(), dispatches.end(), [](const auto &each) { return each.payload->id == "id-1"; });
    BOOST_TEST_MESSAGE("dispatches of one request: " << count);
    BOOST_TEST(count <= 4); // Two attempts and two more after refusals.
}

// Guards against a request that is refused because its silent prefill was given up while nobody else could read the prompt.
BOOST_AUTO_TEST_CASE(silentPrefillIsKeptWhileNobodyElseReadsThePrompt)
{
    auto config = sampleRelayConfig();
    config.routes[3].timeout = std::chrono::seconds{14};
    configure(config);
    announce({endpointNamed("pre-1", "llm", endpoint_role::Prefill),
              endpointNamed("dec-1", "llm", endpoint_role::Decode),
              endpointNamed("dec-2", "llm", endpoint_role::Decode)});
    core.take();
    // Each decode endpoint runs a stream, which may not pause while a prompt is read.
    core.handle(fleet_heartbeat{.from = {{"vm-2"}, 5},
                                .sequence = 1,
                                .address = "127.0.0.1:7002",
                                .dataCentre = {"dc-a"},
                                .loads = {{.endpoint = {"dec-1"}, .running = 1}, {.endpoint = {"dec-2"}, .running = 1}}});
    submit("/resume/1", "k-acme", std::chrono::seconds{14}, token_count{2000, 100, {}});
    BOOST_REQUIRE_EQUAL(dispatches.size(), 1U);
    const auto prefill = dispatches.back();
    BOOST_REQUIRE(prefill.kind == dispatch_kind::Prefill);
    core.handle(fleet_heartbeat{.from = {{"vm-2"}, 5},
                                .sequence = 2,
                                .address = "127.0.0.1:7002",
                                .dataCentre = {"dc-a"},
                                .loads = {{.endpoint = {"dec-1"}, .running = 1}, {.endpoint = {"dec-2"}, .running = 1}}});
    wait(milliseconds{1000});
    BOOST_TEST(!isAborted(prefill));
    BOOST_TEST(failures.empty());
    core.handle(prefill_reply{.attempt = prefill.attempt, .handle = "h-1"});
    collect();
    BOOST_TEST(dispatches.size() == 2U);
    wait(milliseconds{1000});
    BOOST_TEST(failures.empty());
}

// Guards against a prefill result that is neither used nor released when the attempt that it was sent with is replaced and then refused.
BOOST_AUTO_TEST_CASE(prefillResultOfARefusedOverdueAttemptIsUsedOrReleased)
{
    auto config = sampleRelayConfig();
    config.services[1].engine->handleLifetime = std::chrono::seconds{5};
    configure(config);
    configureEngines();
    submit("/resume/1", "k-acme", std::chrono::seconds{2}, token_count{1000, 100, {}});
    BOOST_REQUIRE(dispatches.back().kind == dispatch_kind::Prefill);
    core.handle(prefill_reply{.attempt = dispatches.back().attempt, .handle = "h-1"});
    collect();
    const auto first = dispatches.back();
    BOOST_REQUIRE(first.kind == dispatch_kind::Decode);
    BOOST_REQUIRE(first.source.has_value());
    const auto second = waitForReplacement();
    BOOST_REQUIRE(second.has_value());
    endAttempt(*second, reply_outcome::NotSent);
    reply(first, 503, true);
    wait(milliseconds{300});
    const bool used = std::any_of(dispatches.begin() + 3, dispatches.end(), [](const auto &each) { return each.source.has_value(); });
    BOOST_TEST((used || releasedPrefills == 1));
}

// Guards against a slot that stays reserved when the silent endpoint answers while the prompt is being read elsewhere.
BOOST_AUTO_TEST_CASE(answerDuringAReplacementPrefillReleasesTheReservation)
{
    configure(sampleRelayConfig());
    announce({endpointNamed("dec-1", "llm", endpoint_role::Decode), endpointNamed("dec-2", "llm", endpoint_role::Decode)});
    submit("/resume/1", "k-acme", std::chrono::seconds{2}, token_count{1000, 100, {}});
    const auto first = dispatches.back();
    announce({endpointNamed("pre-1", "llm", endpoint_role::Prefill)}, false);
    collect();
    const auto second = waitForReplacement();
    BOOST_REQUIRE(second.has_value());
    beginStream(first);
    streamPart(first, firstEvent);
    BOOST_TEST(isAborted(*second));
    core.handle(prefill_reply{.attempt = second->attempt, .handle = "h-2"});
    collect();
    BOOST_TEST(dispatches.size() == 2U);
    endAttempt(first, reply_outcome::Complete);
    BOOST_TEST(streamEnds == 1);
    heartbeatMessages.clear();
    wait(milliseconds{1200});
    std::size_t loads = 0;
    for (const auto &each : heartbeatMessages) {
        loads = each.heartbeatMessage->loads.size();
    }
    BOOST_TEST(loads == 0U);
    BOOST_TEST(core.openRequests() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
