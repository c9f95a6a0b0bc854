// Tests how the core relays a request: requests that must not be repeated run at most once, refusals state correctly whether a request has
// run, and retries stay within the attempts of the route and the retry budget.
#include <boost/test/unit_test.hpp>

#include "relay_fixture.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

BOOST_FIXTURE_TEST_SUITE(relay_core_requests, relay_fixture)

// Guards against a VM that has no configuration yet and reports an unknown route or key.
BOOST_AUTO_TEST_CASE(vmWithoutConfigurationIsNotReady)
{
    BOOST_TEST(!core.ready());
    sendRequest("/lookup/1");
    BOOST_REQUIRE_EQUAL(failures.size(), 1);
    BOOST_TEST((failures[0].reason == failure::StaleConfiguration));
    BOOST_TEST((failures[0].result == outcome::NotRun));
    BOOST_TEST(failures[0].retryAfter.has_value());
    configureDesks();
    BOOST_TEST(core.ready());
}

// Guards against a request that is sent along a wrong route, and against an unknown or missing key that is accepted.
BOOST_AUTO_TEST_CASE(unknownRoutesAndKeysAreRefused)
{
    configureDesks();
    sendRequest("/nowhere/1");
    sendRequest("/lookup/1", "k-other");
    sendRequest("/lookup/1", "");
    BOOST_REQUIRE_EQUAL(failures.size(), 3);
    BOOST_TEST((failures[0].reason == failure::UnknownRoute));
    BOOST_TEST((failures[1].reason == failure::UnknownKey));
    BOOST_TEST((failures[2].reason == failure::MissingKey));
    sendRequest("/open/1", "");
    BOOST_REQUIRE_EQUAL(dispatches.size(), 1);
    BOOST_TEST(dispatches[0].account.empty());
    sendRequest("/lookup/1");
    BOOST_TEST(dispatches.back().account.value == "acme");
}

// Guards against a configuration that is replaced by an older version which is read later.
BOOST_AUTO_TEST_CASE(configurationNeverReverts)
{
    configureDesks();
    auto later = sampleRelayConfig(7);
    later.accounts[0].keys.clear();
    configure(later);
    configure(sampleRelayConfig(3));
    BOOST_TEST(core.configVersion() == 7);
    sendRequest("/lookup/1");
    BOOST_TEST((failures.back().reason == failure::UnknownKey));
}

// Guards against a second run of a request that must not be repeated, after its connection has broken.
BOOST_AUTO_TEST_CASE(unrepeatableRequestIsNotRetriedWhenItsOutcomeIsUnknown)
{
    configureDesks();
    sendRequest("/book/1");
    endAttempt(dispatches.back(), reply_outcome::Broken);
    BOOST_TEST(dispatches.size() == 1);
    BOOST_REQUIRE_EQUAL(failures.size(), 1);
    BOOST_TEST((failures[0].result == outcome::Unknown));
    BOOST_TEST(entryOf(failures[0].reason).httpStatus == 502);
}

// Guards against a request that fails although the endpoint states that it has not run it, so that another endpoint can.
BOOST_AUTO_TEST_CASE(unrepeatableRequestIsRetriedAfterNotRun)
{
    configureDesks();
    sendRequest("/book/1");
    reply(dispatches.back(), 503, true);
    BOOST_REQUIRE_EQUAL(dispatches.size(), 2);
    BOOST_TEST(dispatches[0].endpoint.value != dispatches[1].endpoint.value);
    endAttempt(dispatches.back(), reply_outcome::NotSent);
    BOOST_TEST(failures.empty()); // The request waits, as the first endpoint may have a free slot again.
    advance(milliseconds{50});
    BOOST_TEST(dispatches.size() == 3);
}

// Guards against 'not run' being reported for a request of which an earlier attempt may have run.
BOOST_AUTO_TEST_CASE(notRunIsNeverReportedAfterAnUnknownAttempt)
{
    configureDesks();
    sendRequest("/lookup/1");
    endAttempt(dispatches.back(), reply_outcome::Broken);
    BOOST_REQUIRE_EQUAL(dispatches.size(), 2);
    reply(dispatches.back(), 503, true);
    advance(milliseconds{2000});
    BOOST_REQUIRE(!failures.empty());
    BOOST_TEST((failures.back().result == outcome::Unknown));
    BOOST_TEST(entryOf(failures.back().reason).httpStatus >= 502);
    BOOST_TEST(entryOf(failures.back().reason).httpStatus != 503);
}

// Guards against a request that is sent to more endpoints than its route allows attempts.
BOOST_AUTO_TEST_CASE(attemptsAreBounded)
{
    configure(sampleRelayConfig());
    announce({endpointNamed("desk-1", "desk"), endpointNamed("desk-2", "desk"), endpointNamed("desk-3", "desk")});
    sendRequest("/lookup/1");
    endAttempt(dispatches.back(), reply_outcome::Broken);
    endAttempt(dispatches.back(), reply_outcome::Broken);
    BOOST_TEST(dispatches.size() == 2);
    BOOST_TEST(failures.size() == 1);
}

// Guards against a retry of a request that the worker itself has answered with an error.
BOOST_AUTO_TEST_CASE(genuineFailuresArePassedOn)
{
    configureDesks();
    sendRequest("/lookup/1");
    reply(dispatches.back(), 500);
    BOOST_TEST(dispatches.size() == 1);
    BOOST_REQUIRE_EQUAL(answers.size(), 1);
    BOOST_TEST(answers[0].status == 500);
}

// Guards against an answer without the stamp of the endpoint that reaches a caller.
BOOST_AUTO_TEST_CASE(unstampedAnswersAreNotPassedOn)
{
    configureDesks();
    sendRequest("/book/1");
    core.handle(relay_reply{.attempt = dispatches.back().attempt, .status = 200, .body = "x"});
    collect();
    BOOST_TEST(answers.empty());
    BOOST_REQUIRE_EQUAL(failures.size(), 1);
    BOOST_TEST((failures[0].result == outcome::Unknown));
}

// Guards against a deadline that passes without an answer, and against 'not run' being reported for a request that was sent.
BOOST_AUTO_TEST_CASE(requestFailsAtItsDeadline)
{
    configureDesks();
    sendRequest("/book/1", "k-acme", milliseconds{300});
    BOOST_TEST((dispatches.back().timeLeft == milliseconds{300}));
    advance(milliseconds{301});
    BOOST_REQUIRE_EQUAL(failures.size(), 1);
    BOOST_TEST((failures[0].reason == failure::DeadlineExceeded));
    BOOST_TEST(abortedAttempts.size() == 1);
}

// Guards against an attempt that keeps running after its caller has disconnected.
BOOST_AUTO_TEST_CASE(attemptsOfDisconnectedCallersAreAborted)
{
    configureDesks();
    const auto caller = sendRequest("/book/1");
    core.handle(caller_disconnected{caller});
    collect();
    BOOST_TEST(abortedAttempts.size() == 1);
    reply(dispatches.back(), 200);
    BOOST_TEST(answers.empty());
}

// Guards against an overdue idempotent request that keeps waiting although another endpoint is free.
BOOST_AUTO_TEST_CASE(overdueIdempotentRequestsFailOver)
{
    configureDesks();
    sendRequest("/lookup/1");
    advance(milliseconds{260});
    BOOST_REQUIRE_EQUAL(dispatches.size(), 2);
    BOOST_TEST(abortedAttempts.empty());
    BOOST_TEST((dispatches[1].timeLeft == milliseconds{740}));
    reply(dispatches.back(), 200);
    BOOST_TEST(answers.size() == 1);
    BOOST_REQUIRE_EQUAL(abortedAttempts.size(), 1);
    BOOST_TEST(abortedAttempts[0] == dispatches[0].attempt);
}

// Guards against an endless loop: a request whose endpoint cannot be reached waits for a second placement beyond its deadline.
BOOST_AUTO_TEST_CASE(waitForASecondPlacementEndsAtTheDeadline)
{
    configure(sampleRelayConfig());
    announce({endpointNamed("desk-1", "desk")});
    sendRequest("/lookup/1");
    endAttempt(dispatches.back(), reply_outcome::NotSent);
    advance(milliseconds{300}); // The request is placed again.
    BOOST_REQUIRE_EQUAL(dispatches.size(), 2);
    advance(milliseconds{500});
    endAttempt(dispatches.back(), reply_outcome::NotSent);
    advance(milliseconds{300});
    BOOST_REQUIRE_EQUAL(failures.size(), 1);
    BOOST_TEST((failures[0].result == outcome::NotRun));
}

// Guards against new work for an endpoint that is leaving or was withdrawn.
BOOST_AUTO_TEST_CASE(leavingAndWithdrawnEndpointsGetNoWork)
{
    configureDesks();
    auto leaving = endpointNamed("desk-1", "desk");
    leaving.condition = endpoint_condition::Leaving;
    announce({leaving}, false);
    for (int i = 0; i < 3; ++i) {
        sendRequest("/lookup/1");
        BOOST_TEST(dispatches.back().endpoint.value == "desk-2");
        reply(dispatches.back(), 200);
    }
    withdraw("desk-2");
    sendRequest("/lookup/1");
    BOOST_REQUIRE_EQUAL(failures.size(), 1);
    BOOST_TEST((failures[0].reason == failure::NoEndpoint));
    BOOST_TEST((failures[0].result == outcome::NotRun));
}

// Guards against requests that are sent repeatedly to an address at which another endpoint answers.
BOOST_AUTO_TEST_CASE(wrongEndpointIsNotUsedAgain)
{
    configureDesks();
    sendRequest("/book/1");
    const auto first = dispatches.back();
    core.handle(relay_reply{.attempt = first.attempt, .status = 421, .wrongEndpoint = true});
    collect();
    BOOST_REQUIRE_EQUAL(dispatches.size(), 2);
    reply(dispatches.back(), 200);
    sendRequest("/book/2");
    BOOST_TEST(dispatches.back().endpoint.value != first.endpoint.value);
}

// Guards against a shutdown that aborts open requests, and against one that accepts requests until the process is killed.
BOOST_AUTO_TEST_CASE(shutdownFinishesOpenRequests)
{
    configureDesks();
    core.handle(shutdown_requested{});
    BOOST_TEST(!core.ready());
    sendRequest("/lookup/1");
    reply(dispatches.back(), 200);
    BOOST_TEST(answers.size() == 1);
    advance(milliseconds{1900});
    sendRequest("/book/1");
    const auto open = dispatches.back();
    advance(milliseconds{700});
    BOOST_TEST(acceptingStopped);
    BOOST_TEST(core.openRequests() == 1);
    BOOST_TEST(!isStopped);
    reply(open, 200);
    BOOST_TEST(answers.size() == 2);
    advance(milliseconds{1});
    BOOST_TEST(isStopped);
}

// Guards against retries that amplify an overload: the retry budget of the VM must run out.
BOOST_AUTO_TEST_CASE(retriesAreBounded)
{
    auto config = sampleRelayConfig();
    config.accounts[0].rate = 0;
    configure(config);
    announce({endpointNamed("desk-1", "desk"), endpointNamed("desk-2", "desk"), endpointNamed("desk-3", "desk")});
    constexpr int count = 400;
    for (int i = 0; i < count; ++i) {
        sendRequest("/lookup/1");
        const auto first = dispatches.back();
        endAttempt(first, reply_outcome::Broken);
        if (dispatches.back().attempt != first.attempt) {
            endAttempt(dispatches.back(), reply_outcome::Broken);
        }
        advance(milliseconds{20});
    }
    const auto retries = static_cast<double>(dispatches.size() - count);
    BOOST_TEST(retries > 0);
    BOOST_TEST(retries <= 0.2 * count + 50);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(relay_core_streams, relay_fixture)

// Guards against a prompt that is processed without a decode slot for its tokens, or whose result does not reach the decode endpoint.
BOOST_AUTO_TEST_CASE(prefillResultIsDecodedAndStreamed)
{
    configureEngines();
    sendModelRequest("/draft/1");
    BOOST_REQUIRE_EQUAL(dispatches.size(), 1);
    BOOST_TEST((dispatches[0].kind == dispatch_kind::Prefill));
    core.handle(prefill_reply{dispatches[0].attempt, "h1"});
    collect();
    BOOST_REQUIRE_EQUAL(dispatches.size(), 2);
    BOOST_TEST((dispatches[1].kind == dispatch_kind::Decode));
    BOOST_REQUIRE(dispatches[1].source.has_value());
    BOOST_TEST(dispatches[1].source->handle == "h1");
    BOOST_TEST(dispatches[1].source->address == dispatches[0].address);
    beginStream(dispatches[1]);
    streamPart(dispatches[1], "id: 1\ndata: a\n\n");
    endAttempt(dispatches[1], reply_outcome::Complete);
    BOOST_TEST(streamedBytes == "id: 1\ndata: a\n\n");
    BOOST_TEST(streamEnds == 1);
}

// Guards against a prefill result that is discarded because one decode endpoint refused the connection.
BOOST_AUTO_TEST_CASE(unusedPrefillResultIsSentToAnotherDecodeEndpoint)
{
    configureEngines();
    sendModelRequest("/draft/1");
    core.handle(prefill_reply{dispatches[0].attempt, "h1"});
    collect();
    endAttempt(dispatches.back(), reply_outcome::NotSent);
    BOOST_REQUIRE_EQUAL(dispatches.size(), 3);
    BOOST_TEST((dispatches[2].kind == dispatch_kind::Decode));
    BOOST_TEST(dispatches[2].endpoint.value != dispatches[1].endpoint.value);
    BOOST_REQUIRE(dispatches[2].source.has_value());
    BOOST_TEST(dispatches[2].source->handle == "h1");
}

// Guards against an endpoint that refuses connections and is still chosen for every request.
BOOST_AUTO_TEST_CASE(unreachableEndpointsAreAvoided)
{
    configureEngines();
    sendModelRequest("/draft/1");
    core.handle(prefill_reply{dispatches[0].attempt, "h1"});
    collect();
    const auto down = dispatches.back().endpoint;
    endAttempt(dispatches.back(), reply_outcome::NotSent);
    for (int i = 0; i < 2; ++i) {
        dispatches.clear();
        sendModelRequest("/draft/2");
        for (const auto &each : dispatches) {
            BOOST_TEST(each.endpoint.value != down.value);
        }
    }
}

// Guards against prefill memory that stays held after its caller has disconnected.
BOOST_AUTO_TEST_CASE(prefillIsAbortedWhenItsCallerDisconnects)
{
    configureEngines();
    const auto caller = sendModelRequest("/draft/1");
    core.handle(caller_disconnected{caller});
    collect();
    BOOST_TEST(abortedAttempts.size() == 1);
    core.handle(prefill_reply{dispatches[0].attempt, "h1"});
    collect();
    BOOST_TEST(dispatches.size() == 1);
}

// Guards against a stream that continues at another endpoint although it may run only once.
BOOST_AUTO_TEST_CASE(brokenStreamAbortsTheAnswer)
{
    configureEngines();
    sendModelRequest("/draft/1");
    core.handle(prefill_reply{dispatches[0].attempt, "h1"});
    collect();
    beginStream(dispatches.back());
    streamPart(dispatches.back(), "id: 1\ndata: a\n\n");
    endAttempt(dispatches.back(), reply_outcome::Broken);
    BOOST_TEST(dispatches.size() == 2);
    BOOST_TEST(abortedAnswers == 1);
    BOOST_TEST(streamEnds == 0);
}

// Guards against events that are missing, duplicated or merged when a stream continues at another endpoint.
BOOST_AUTO_TEST_CASE(resumableStreamContinuesWithWholeEvents)
{
    configureEngines();
    sendModelRequest("/resume/1");
    core.handle(prefill_reply{dispatches[0].attempt, "h1"});
    collect();
    const auto first = dispatches.back();
    beginStream(first);
    streamPart(first, "id: 1\ndata: a\n\nid: 2\nda");
    BOOST_TEST(streamedBytes == "id: 1\ndata: a\n\n");
    endAttempt(first, reply_outcome::Broken);
    const auto second = dispatches.back();
    BOOST_REQUIRE(second.attempt != first.attempt);
    BOOST_TEST(second.endpoint.value != first.endpoint.value);
    BOOST_REQUIRE(second.resumeAfter.has_value());
    BOOST_TEST(*second.resumeAfter == 1);
    beginStream(second);
    streamPart(second, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    endAttempt(second, reply_outcome::Complete);
    BOOST_TEST(streamedBytes == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    BOOST_TEST(streamEnds == 1);
    BOOST_TEST(abortedAnswers == 0);
}

// Guards against a stream that is aborted during a pause although no other endpoint has a free slot to continue it.
BOOST_AUTO_TEST_CASE(pausingStreamIsKeptWhenNoOtherSlotIsFree)
{
    configure(sampleRelayConfig());
    announce({endpointNamed("dec-1", "llm", endpoint_role::Decode), endpointNamed("dec-2", "llm", endpoint_role::Decode)});
    sendModelRequest("/resume/1");
    const auto stream = dispatches.back();
    beginStream(stream);
    streamPart(stream, "id: 1\ndata: a\n\n");
    const auto otherEndpoint = stream.endpoint.value == "dec-1" ? "dec-2" : "dec-1";
    core.handle(fleet_heartbeat{
        .from = {{"vm-2"}, 5}, .sequence = 1, .address = "127.0.0.1:7002", .dataCentre = {"dc-a"}, .loads = {{.endpoint = {otherEndpoint}, .running = 2}}});
    collect();
    advance(milliseconds{800});
    BOOST_TEST(abortedAttempts.empty());
    BOOST_TEST(abortedAnswers == 0);
    streamPart(stream, "id: 2\ndata: b\n\n");
    endAttempt(stream, reply_outcome::Complete);
    BOOST_TEST(streamEnds == 1);
}

// Guards against an endpoint that sends a byte now and then and never an event: its stream would go on until the deadline.
BOOST_AUTO_TEST_CASE(stalledStreamsThatSendBytesEnd)
{
    auto config = sampleRelayConfig();
    config.routes[2].timeout = std::chrono::seconds{30};
    configure(config);
    announce({endpointNamed("dec-1", "llm", endpoint_role::Decode)});
    submit("/draft/1", "k-acme", std::chrono::seconds{30}, token_count{10, 10, {}});
    beginStream(dispatches.back());
    streamPart(dispatches.back(), "id: 1\ndata: a\n\n");
    // Events come slowly, but they come: the stream goes on.
    for (int i = 2; i < 6; ++i) {
        advance(milliseconds{1500});
        streamPart(dispatches.back(), "id: " + std::to_string(i) + "\ndata: a\n\n");
    }
    BOOST_TEST(abortedAnswers == 0);
    // Only bytes come. Callers leave after two seconds without an event.
    for (int i = 0; i < 30; ++i) {
        advance(milliseconds{100});
        streamPart(dispatches.back(), "x");
    }
    BOOST_TEST(abortedAnswers == 1);
    BOOST_TEST(streamEnds == 0);
}

// Guards against an event without an end that is collected without a bound.
BOOST_AUTO_TEST_CASE(overlongEventsEndTheAttempt)
{
    configureEngines();
    sendModelRequest("/resume/1");
    core.handle(prefill_reply{dispatches[0].attempt, "h1"});
    collect();
    const auto stream = dispatches.back();
    beginStream(stream);
    for (int i = 0; i < 40 && abortedAttempts.empty(); ++i) {
        streamPart(stream, std::string(16 * 1024, 'x'));
    }
    BOOST_REQUIRE(!abortedAttempts.empty());
    BOOST_TEST(abortedAttempts[0] == stream.attempt);
}

// Replays a load of four times what the slots can serve. Guards against a queue order that makes every request late.
BOOST_AUTO_TEST_CASE(overloadStillServesRequestsInTime)
{
    auto config = sampleRelayConfig();
    config.accounts[0].rate = 0;
    configure(config);
    announce({endpointNamed("dec-1", "llm", endpoint_role::Decode)});
    collect();
    int inTime = 0;
    std::size_t handledDispatches = 0;
    std::vector<std::pair<time_point, relay_dispatch>> running;
    for (int step = 0; step < 200; ++step) {
        const auto before = clock.now();
        sendModelRequest("/draft/1", 10, 10);
        for (; handledDispatches < dispatches.size(); ++handledDispatches) {
            running.emplace_back(clock.now() + milliseconds{200}, dispatches[handledDispatches]);
            // Callers are numbered in the order of their arrival, one every 25 ms.
            beginStream(dispatches[handledDispatches]);
            streamPart(dispatches[handledDispatches], "id: 1\n\n"); // A short prompt is processed at once.
            const auto arrived =
                before - milliseconds{25} * (static_cast<std::int64_t>(lastCaller) - std::stoll(dispatches[handledDispatches].payload->id.substr(3)));
            inTime += clock.now() - arrived < milliseconds{300} ? 1 : 0;
        }
        advance(milliseconds{25});
        while (!running.empty() && running.front().first <= clock.now()) {
            const auto done = running.front().second;
            running.erase(running.begin());
            endAttempt(done, reply_outcome::Complete);
        }
    }
    // Two slots serve at most 50 requests of 200 ms each in 5 s.
    BOOST_TEST(inTime >= 40);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(relay_core_fleet, relay_fixture)

// Guards against a VM that cannot reach the directory and does not fetch the state of a VM that is ahead of it.
BOOST_AUTO_TEST_CASE(stateIsFetchedFromAVmThatIsAhead)
{
    configureDesks();
    core.handle(fleet_heartbeat{.from = {{"vm-2"}, 5}, .sequence = 1, .address = "127.0.0.1:7002", .dataCentre = {"dc-a"}, .knowledge = {.position = 50}});
    advance(milliseconds{200});
    BOOST_TEST(fetchAddresses.empty()); // No endpoint has changed up to the sender's position.
    core.handle(fleet_heartbeat{
        .from = {{"vm-2"}, 5}, .sequence = 2, .address = "127.0.0.1:7002", .dataCentre = {"dc-a"}, .knowledge = {.position = 60, .lastChange = 55}});
    advance(milliseconds{200});
    BOOST_REQUIRE_EQUAL(fetchAddresses.size(), 1);
    BOOST_TEST(fetchAddresses[0] == "127.0.0.1:7002");
    advance(milliseconds{400});
    core.handle(fleet_heartbeat{.from = {{"vm-2"}, 5}, .sequence = 3, .address = "127.0.0.1:7002", .dataCentre = {"dc-a"}, .knowledge = {.configVersion = 9}});
    collect();
    BOOST_TEST(fetchAddresses.size() == 2);
}

// Guards against endpoints that are dropped because their entries expired while the directory was unreachable.
BOOST_AUTO_TEST_CASE(entriesThatExpiredInAnOutageAreKeptForAWhile)
{
    configureDesks();
    for (int i = 0; i < 2; ++i) {
        advance(milliseconds{2500});
        core.handle(directory_read_finished{false});
    }
    advance(milliseconds{300});
    core.handle(directory_read_finished{true});
    announce({});
    sendRequest("/lookup/1");
    BOOST_TEST(dispatches.size() == 1);
    reply(dispatches.back(), 200);
    advance(milliseconds{2100});
    sendRequest("/lookup/1");
    BOOST_REQUIRE_EQUAL(failures.size(), 1);
    BOOST_TEST((failures[0].reason == failure::NoEndpoint));
}

// Guards against a late entry of an endpoint's earlier run that overwrites the current one.
BOOST_AUTO_TEST_CASE(lateEntriesOfAnEarlierRunAreIgnored)
{
    configureDesks();
    auto restarted = endpointNamed("desk-1", "desk");
    restarted.startedAt = 50;
    announce({restarted}, false);
    auto stale = endpointNamed("desk-1", "desk");
    stale.condition = endpoint_condition::Leaving;
    announce({stale}, false);
    withdraw("desk-2");
    sendRequest("/lookup/1");
    BOOST_REQUIRE_EQUAL(dispatches.size(), 1);
    BOOST_TEST(dispatches[0].endpoint.value == "desk-1");
}

// Guards against two VMs that send all their work to the same endpoint.
BOOST_AUTO_TEST_CASE(workOfOtherVmsIsCounted)
{
    configureDesks();
    core.handle(fleet_heartbeat{
        .from = {{"vm-2"}, 5}, .sequence = 1, .address = "127.0.0.1:7002", .dataCentre = {"dc-a"}, .loads = {{.endpoint = {"desk-1"}, .running = 2}}});
    sendRequest("/lookup/1");
    BOOST_TEST(dispatches.back().endpoint.value == "desk-2");
}

BOOST_AUTO_TEST_SUITE_END()
