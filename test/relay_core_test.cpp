// life of a relayed request: at most once where it must be, truthful refusals, retries within attempts and budget
#include <boost/test/unit_test.hpp>

#include "relay_fixture.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

BOOST_FIXTURE_TEST_SUITE(relay_core_requests, relay_fixture)

// guards against a VM without a configuration that says a route or key does not exist
BOOST_AUTO_TEST_CASE(withoutConfigurationIsNotReady)
{
    BOOST_TEST(!core.ready());
    request("/lookup/1");
    BOOST_REQUIRE_EQUAL(failures.size(), 1);
    BOOST_TEST((failures[0].reason == failure::StaleConfiguration));
    BOOST_TEST((failures[0].result == outcome::NotRun));
    BOOST_TEST(failures[0].retryAfter.has_value());
    serveDesks();
    BOOST_TEST(core.ready());
}

// guards against a wrong route, and against an unknown or missing key that passes
BOOST_AUTO_TEST_CASE(routesAndKeysDecide)
{
    serveDesks();
    request("/nowhere/1");
    request("/lookup/1", "k-other");
    request("/lookup/1", "");
    BOOST_REQUIRE_EQUAL(failures.size(), 3);
    BOOST_TEST((failures[0].reason == failure::UnknownRoute));
    BOOST_TEST((failures[1].reason == failure::UnknownKey));
    BOOST_TEST((failures[2].reason == failure::MissingKey));
    request("/open/1", "");
    BOOST_REQUIRE_EQUAL(dispatches.size(), 1);
    BOOST_TEST(dispatches[0].account.empty());
    request("/lookup/1");
    BOOST_TEST(dispatches.back().account.value == "acme");
}

// guards against a configuration that goes back to an older version
BOOST_AUTO_TEST_CASE(configurationNeverReverts)
{
    serveDesks();
    auto later = sampleRelayConfig(7);
    later.accounts[0].keys.clear();
    configure(later);
    configure(sampleRelayConfig(3));
    BOOST_TEST(core.configVersion() == 7);
    request("/lookup/1");
    BOOST_TEST((failures.back().reason == failure::UnknownKey));
}

// guards against a second run of a request that may not be repeated
BOOST_AUTO_TEST_CASE(onceIsSentOnceWhenItsOutcomeIsUnknown)
{
    serveDesks();
    request("/book/1");
    end(dispatches.back(), reply_outcome::Broken);
    BOOST_TEST(dispatches.size() == 1);
    BOOST_REQUIRE_EQUAL(failures.size(), 1);
    BOOST_TEST((failures[0].result == outcome::Unknown));
    BOOST_TEST(entryOf(failures[0].reason).httpStatus == 502);
}

// guards against a lost booking when the endpoint states that it has not run it
BOOST_AUTO_TEST_CASE(onceGoesElsewhereAfterNotRun)
{
    serveDesks();
    request("/book/1");
    reply(dispatches.back(), 503, true);
    BOOST_REQUIRE_EQUAL(dispatches.size(), 2);
    BOOST_TEST(dispatches[0].endpoint.value != dispatches[1].endpoint.value);
    end(dispatches.back(), reply_outcome::NotSent);
    BOOST_TEST(failures.empty()); // waits: the first endpoint may have room again
    advance(milliseconds{50});
    BOOST_TEST(dispatches.size() == 3);
}

// guards against 'not run' for a request of which an attempt may have run
BOOST_AUTO_TEST_CASE(notRunIsNeverSaidAfterAnUnknownAttempt)
{
    serveDesks();
    request("/lookup/1");
    end(dispatches.back(), reply_outcome::Broken);
    BOOST_REQUIRE_EQUAL(dispatches.size(), 2);
    reply(dispatches.back(), 503, true);
    advance(milliseconds{2000});
    BOOST_REQUIRE(!failures.empty());
    BOOST_TEST((failures.back().result == outcome::Unknown));
    BOOST_TEST(entryOf(failures.back().reason).httpStatus >= 502);
    BOOST_TEST(entryOf(failures.back().reason).httpStatus != 503);
}

// guards against more endpoints for one request than its route allows
BOOST_AUTO_TEST_CASE(attemptsAreBounded)
{
    configure(sampleRelayConfig());
    announce({endpointNamed("desk-1", "desk"), endpointNamed("desk-2", "desk"), endpointNamed("desk-3", "desk")});
    request("/lookup/1");
    end(dispatches.back(), reply_outcome::Broken);
    end(dispatches.back(), reply_outcome::Broken);
    BOOST_TEST(dispatches.size() == 2);
    BOOST_TEST(failures.size() == 1);
}

// guards against a failure that a worker answers itself being asked for again
BOOST_AUTO_TEST_CASE(genuineFailuresArePassedOn)
{
    serveDesks();
    request("/lookup/1");
    reply(dispatches.back(), 500);
    BOOST_TEST(dispatches.size() == 1);
    BOOST_REQUIRE_EQUAL(answers.size(), 1);
    BOOST_TEST(answers[0].status == 500);
}

// guards against an answer without the endpoint's stamp reaching a caller
BOOST_AUTO_TEST_CASE(unstampedAnswersAreNotPassedOn)
{
    serveDesks();
    request("/book/1");
    core.handle(relay_reply{.attempt = dispatches.back().attempt, .status = 200, .body = "x"});
    collect();
    BOOST_TEST(answers.empty());
    BOOST_REQUIRE_EQUAL(failures.size(), 1);
    BOOST_TEST((failures[0].result == outcome::Unknown));
}

// guards against a deadline that passes without an answer, and against a 'not run' for a request that was sent
BOOST_AUTO_TEST_CASE(deadlineEndsARequest)
{
    serveDesks();
    request("/book/1", "k-acme", milliseconds{300});
    BOOST_TEST((dispatches.back().timeLeft == milliseconds{300}));
    advance(milliseconds{301});
    BOOST_REQUIRE_EQUAL(failures.size(), 1);
    BOOST_TEST((failures[0].reason == failure::DeadlineExceeded));
    BOOST_TEST(aborted.size() == 1);
}

// guards against work that goes on for a caller that is gone
BOOST_AUTO_TEST_CASE(goneCallersAreAborted)
{
    serveDesks();
    const auto caller = request("/book/1");
    core.handle(caller_disconnected{caller});
    collect();
    BOOST_TEST(aborted.size() == 1);
    reply(dispatches.back(), 200);
    BOOST_TEST(answers.empty());
}

// guards against an overdue idempotent request that waits although another endpoint is free
BOOST_AUTO_TEST_CASE(overdueIdempotentRequestsFailOver)
{
    serveDesks();
    request("/lookup/1");
    advance(milliseconds{260});
    BOOST_REQUIRE_EQUAL(dispatches.size(), 2);
    BOOST_TEST(aborted.size() == 1);
    BOOST_TEST((dispatches[1].timeLeft == milliseconds{740}));
    reply(dispatches.back(), 200);
    BOOST_TEST(answers.size() == 1);
}

// guards against a loop that never ends: a request that waits for a second place past its time
BOOST_AUTO_TEST_CASE(waitForASecondPlaceEnds)
{
    configure(sampleRelayConfig());
    announce({endpointNamed("desk-1", "desk")});
    request("/lookup/1");
    end(dispatches.back(), reply_outcome::NotSent);
    advance(milliseconds{300}); // placed again
    BOOST_REQUIRE_EQUAL(dispatches.size(), 2);
    advance(milliseconds{500});
    end(dispatches.back(), reply_outcome::NotSent);
    advance(milliseconds{300});
    BOOST_REQUIRE_EQUAL(failures.size(), 1);
    BOOST_TEST((failures[0].result == outcome::NotRun));
}

// guards against new work for an endpoint that leaves or was withdrawn
BOOST_AUTO_TEST_CASE(leavingEndpointsGetNoWork)
{
    serveDesks();
    auto leaving = endpointNamed("desk-1", "desk");
    leaving.condition = endpoint_condition::Leaving;
    announce({leaving}, false);
    for (int i = 0; i < 3; ++i) {
        request("/lookup/1");
        BOOST_TEST(dispatches.back().endpoint.value == "desk-2");
        reply(dispatches.back(), 200);
    }
    withdraw("desk-2");
    request("/lookup/1");
    BOOST_REQUIRE_EQUAL(failures.size(), 1);
    BOOST_TEST((failures[0].reason == failure::NoEndpoint));
    BOOST_TEST((failures[0].result == outcome::NotRun));
}

// guards against a request that is sent again and again to an address where another endpoint answers
BOOST_AUTO_TEST_CASE(wrongEndpointIsForgotten)
{
    serveDesks();
    request("/book/1");
    const auto first = dispatches.back();
    core.handle(relay_reply{.attempt = first.attempt, .status = 421, .wrongEndpoint = true});
    collect();
    BOOST_REQUIRE_EQUAL(dispatches.size(), 2);
    reply(dispatches.back(), 200);
    request("/book/2");
    BOOST_TEST(dispatches.back().endpoint.value != first.endpoint.value);
}

// guards against a shutdown that cuts requests, and against one that takes requests until it is killed
BOOST_AUTO_TEST_CASE(shutdownFinishesOpenRequests)
{
    serveDesks();
    request("/book/1");
    const auto open = dispatches.back();
    core.handle(shutdown_requested{});
    BOOST_TEST(!core.ready());
    request("/lookup/1");
    reply(dispatches.back(), 200);
    BOOST_TEST(answers.size() == 1);
    advance(milliseconds{1900});
    advance(milliseconds{700});
    BOOST_TEST(closedToCallers);
    BOOST_TEST(!isStopped);
    reply(open, 200);
    advance(milliseconds{1});
    BOOST_TEST(isStopped);
}

// guards against retries that multiply an overload: the budget of this VM ends
BOOST_AUTO_TEST_CASE(retriesAreBounded)
{
    auto config = sampleRelayConfig();
    config.accounts[0].rate = 0;
    configure(config);
    announce({endpointNamed("desk-1", "desk"), endpointNamed("desk-2", "desk"), endpointNamed("desk-3", "desk")});
    constexpr int count = 400;
    for (int i = 0; i < count; ++i) {
        request("/lookup/1");
        const auto first = dispatches.back();
        end(first, reply_outcome::Broken);
        if (dispatches.back().attempt != first.attempt) {
            end(dispatches.back(), reply_outcome::Broken);
        }
        advance(milliseconds{20});
    }
    const auto retries = static_cast<double>(dispatches.size() - count);
    BOOST_TEST(retries > 0);
    BOOST_TEST(retries <= 0.2 * count + 50);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(relay_core_streams, relay_fixture)

// guards against a prompt that is read without a slot for its tokens
BOOST_AUTO_TEST_CASE(prefillThenDecode)
{
    serveEngines();
    modelRequest("/draft/1");
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
    part(dispatches[1], "id: 1\ndata: a\n\n");
    end(dispatches[1], reply_outcome::Complete);
    BOOST_TEST(streamed == "id: 1\ndata: a\n\n");
    BOOST_TEST(streamEnds == 1);
}

// guards against a prefill result that is thrown away because one decode endpoint took no connection
BOOST_AUTO_TEST_CASE(unusedPrefillResultGoesElsewhere)
{
    serveEngines();
    modelRequest("/draft/1");
    core.handle(prefill_reply{dispatches[0].attempt, "h1"});
    collect();
    end(dispatches.back(), reply_outcome::NotSent);
    BOOST_REQUIRE_EQUAL(dispatches.size(), 3);
    BOOST_TEST((dispatches[2].kind == dispatch_kind::Decode));
    BOOST_TEST(dispatches[2].endpoint.value != dispatches[1].endpoint.value);
    BOOST_REQUIRE(dispatches[2].source.has_value());
    BOOST_TEST(dispatches[2].source->handle == "h1");
}

// guards against an endpoint without a listener being chosen for each request
BOOST_AUTO_TEST_CASE(unreachableEndpointsAreLeftAlone)
{
    serveEngines();
    modelRequest("/draft/1");
    core.handle(prefill_reply{dispatches[0].attempt, "h1"});
    collect();
    const auto down = dispatches.back().endpoint;
    end(dispatches.back(), reply_outcome::NotSent);
    for (int i = 0; i < 2; ++i) {
        dispatches.clear();
        modelRequest("/draft/2");
        for (const auto &each : dispatches) {
            BOOST_TEST(each.endpoint.value != down.value);
        }
    }
}

// guards against prefill memory that stays held for a caller that is gone
BOOST_AUTO_TEST_CASE(callerDisconnectedDuringPrefill)
{
    serveEngines();
    const auto caller = modelRequest("/draft/1");
    core.handle(caller_disconnected{caller});
    collect();
    BOOST_TEST(aborted.size() == 1);
    core.handle(prefill_reply{dispatches[0].attempt, "h1"});
    collect();
    BOOST_TEST(dispatches.size() == 1);
}

// guards against a stream that goes on elsewhere although it may run only once
BOOST_AUTO_TEST_CASE(brokenStreamEndsVisibly)
{
    serveEngines();
    modelRequest("/draft/1");
    core.handle(prefill_reply{dispatches[0].attempt, "h1"});
    collect();
    beginStream(dispatches.back());
    part(dispatches.back(), "id: 1\ndata: a\n\n");
    end(dispatches.back(), reply_outcome::Broken);
    BOOST_TEST(dispatches.size() == 2);
    BOOST_TEST(broken == 1);
    BOOST_TEST(streamEnds == 0);
}

// guards against parts that are missing, doubled or joined when a stream goes on at another endpoint
BOOST_AUTO_TEST_CASE(resumableStreamGoesOnWithWholeEvents)
{
    serveEngines();
    modelRequest("/resume/1");
    core.handle(prefill_reply{dispatches[0].attempt, "h1"});
    collect();
    const auto first = dispatches.back();
    beginStream(first);
    part(first, "id: 1\ndata: a\n\nid: 2\nda");
    BOOST_TEST(streamed == "id: 1\ndata: a\n\n");
    end(first, reply_outcome::Broken);
    const auto second = dispatches.back();
    BOOST_REQUIRE(second.attempt != first.attempt);
    BOOST_TEST(second.endpoint.value != first.endpoint.value);
    BOOST_REQUIRE(second.resumeAfter.has_value());
    BOOST_TEST(*second.resumeAfter == 1);
    beginStream(second);
    part(second, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    end(second, reply_outcome::Complete);
    BOOST_TEST(streamed == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    BOOST_TEST(streamEnds == 1);
    BOOST_TEST(broken == 0);
}

// guards against a stream that is ended because it pauses although no other endpoint can go on with it
BOOST_AUTO_TEST_CASE(pausingStreamIsKeptWhenNoOtherPlaceIsFree)
{
    configure(sampleRelayConfig());
    announce({endpointNamed("dec-1", "llm", endpoint_role::Decode), endpointNamed("dec-2", "llm", endpoint_role::Decode)});
    modelRequest("/resume/1");
    const auto stream = dispatches.back();
    beginStream(stream);
    part(stream, "id: 1\ndata: a\n\n");
    const auto other = stream.endpoint.value == "dec-1" ? "dec-2" : "dec-1";
    core.handle(fleet_heartbeat{.from = {{"vm-2"}, 5}, .sequence = 1, .address = "127.0.0.1:7002", .loads = {{.endpoint = {other}, .running = 2}}});
    collect();
    advance(milliseconds{800});
    BOOST_TEST(aborted.empty());
    BOOST_TEST(broken == 0);
    part(stream, "id: 2\ndata: b\n\n");
    end(stream, reply_outcome::Complete);
    BOOST_TEST(streamEnds == 1);
}

// replays an overload of four times the slots: guards against an order that makes every request late
BOOST_AUTO_TEST_CASE(overloadServesSomeInTime)
{
    auto config = sampleRelayConfig();
    config.accounts[0].rate = 0;
    configure(config);
    announce({endpointNamed("dec-1", "llm", endpoint_role::Decode)});
    collect();
    int inTime = 0;
    std::size_t seen = 0;
    std::vector<std::pair<time_point, relay_dispatch>> running;
    for (int step = 0; step < 200; ++step) {
        const auto before = clock.now();
        modelRequest("/draft/1", 10, 10);
        for (; seen < dispatches.size(); ++seen) {
            running.emplace_back(clock.now() + milliseconds{200}, dispatches[seen]);
            // callers are numbered by arrival, one every 25 ms
            beginStream(dispatches[seen]);
            part(dispatches[seen], "id: 1\n\n"); // a short prompt is read at once
            const auto arrived = before - milliseconds{25} * (static_cast<std::int64_t>(lastCaller) - std::stoll(dispatches[seen].payload->id.substr(3)));
            inTime += clock.now() - arrived < milliseconds{300} ? 1 : 0;
        }
        advance(milliseconds{25});
        while (!running.empty() && running.front().first <= clock.now()) {
            const auto done = running.front().second;
            running.erase(running.begin());
            end(done, reply_outcome::Complete);
        }
    }
    // two slots, 200 ms each, over 5 s: 50 requests at most
    BOOST_TEST(inTime >= 40);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(relay_core_fleet, relay_fixture)

// guards against a VM cut off from the directory that does not learn from the others
BOOST_AUTO_TEST_CASE(stateComesFromAVmThatIsAhead)
{
    serveDesks();
    core.handle(fleet_heartbeat{.from = {{"vm-2"}, 5}, .sequence = 1, .address = "127.0.0.1:7002", .configVersion = 9, .directoryPosition = 50});
    advance(milliseconds{200});
    BOOST_TEST(fetches.empty()); // its own directory answers
    core.handle(directory_reachable{false});
    advance(milliseconds{200});
    BOOST_REQUIRE_EQUAL(fetches.size(), 1);
    BOOST_TEST(fetches[0] == "127.0.0.1:7002");
}

// guards against endpoints that are dropped because their entries lapsed while the directory was away
BOOST_AUTO_TEST_CASE(entriesThatLapsedInAnOutageStayForAWhile)
{
    serveDesks();
    core.handle(directory_reachable{false});
    clock.advance(std::chrono::seconds{5});
    core.handle(directory_reachable{true});
    announce({});
    request("/lookup/1");
    BOOST_TEST(dispatches.size() == 1);
    reply(dispatches.back(), 200);
    advance(milliseconds{2100});
    request("/lookup/1");
    BOOST_REQUIRE_EQUAL(failures.size(), 1);
    BOOST_TEST((failures[0].reason == failure::NoEndpoint));
}

// guards against an entry of an earlier run that overwrites the present one
BOOST_AUTO_TEST_CASE(lateEntriesOfAnEarlierRunAreIgnored)
{
    serveDesks();
    auto restarted = endpointNamed("desk-1", "desk");
    restarted.startedAt = 50;
    announce({restarted}, false);
    auto stale = endpointNamed("desk-1", "desk");
    stale.condition = endpoint_condition::Leaving;
    announce({stale}, false);
    withdraw("desk-2");
    request("/lookup/1");
    BOOST_REQUIRE_EQUAL(dispatches.size(), 1);
    BOOST_TEST(dispatches[0].endpoint.value == "desk-1");
}

// guards against two VMs that send all their work to the same endpoint
BOOST_AUTO_TEST_CASE(workOfOtherVmsCounts)
{
    serveDesks();
    core.handle(fleet_heartbeat{.from = {{"vm-2"}, 5}, .sequence = 1, .address = "127.0.0.1:7002", .loads = {{.endpoint = {"desk-1"}, .running = 2}}});
    request("/lookup/1");
    BOOST_TEST(dispatches.back().endpoint.value == "desk-2");
}

BOOST_AUTO_TEST_SUITE_END()
