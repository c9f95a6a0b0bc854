// Checks the times of a planned stop, and what the core does to the requests that are open in each of its stages.
#include <boost/test/unit_test.hpp>

#include "relay_fixture.hpp"
#include "stop_sequence.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

constexpr stop_plan plan{.drainTime = milliseconds{2500}, .grace = milliseconds{8000}};
constexpr time_point begunAt{std::chrono::hours{1}};

struct sequence_fixture {
    sequence_fixture() { BOOST_REQUIRE(sequence.begin(begunAt)); }

    // Enters the stages that are due so long after the begin, and returns the last one.
    stop_stage stageAfter(milliseconds elapsed, std::size_t openRequests)
    {
        while (sequence.advance(begunAt + elapsed, openRequests)) {
            entered.push_back(sequence.stage());
        }
        return sequence.stage();
    }

    stop_sequence sequence{plan};
    std::vector<stop_stage> entered;
};

struct stopping_core : relay_fixture {
    stopping_core()
    {
        auto config = sampleRelayConfig();
        for (auto &route : config.routes) {
            route.timeout = milliseconds{14'000};
        }
        // Callers leave a stream without an event after eight times this.
        config.routes[2].gapObjective = milliseconds{2000};
        configure(config);
        announce({endpointNamed("desk-1", "desk"), endpointNamed("dec-1", "llm", endpoint_role::Decode)});
        core.take();
    }

    void requestShutdown()
    {
        core.handle(shutdown_requested{});
        shutdownAt = clock.now();
    }
    void advanceTo(milliseconds sinceShutdown) { advance(shutdownAt + sinceShutdown - clock.now()); }
    relay_dispatch beginStream()
    {
        submit("/draft/1", "k-acme", milliseconds{14'000}, token_count{1000, 100, {}});
        const auto sent = dispatches.back();
        core.handle(stream_head{.attempt = sent.attempt});
        core.handle(stream_part{sent.attempt, "data: one\n\n"});
        collect();
        return sent;
    }
    relay_dispatch book()
    {
        sendRequest("/book/1", "k-acme", milliseconds{14'000});
        return dispatches.back();
    }

    time_point shutdownAt{};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stop_sequences, sequence_fixture)

// Guards against stages that begin too early, which cuts requests, or too late, when the process is killed.
BOOST_AUTO_TEST_CASE(everyTimeCountsFromTheRequest)
{
    BOOST_TEST((stageAfter(milliseconds{2499}, 1) == stop_stage::Draining));
    BOOST_TEST((stageAfter(milliseconds{2500}, 1) == stop_stage::Receiving));
    BOOST_TEST((stageAfter(milliseconds{3999}, 1) == stop_stage::Receiving));
    BOOST_TEST((stageAfter(milliseconds{4000}, 1) == stop_stage::Finishing));
    BOOST_TEST((stageAfter(milliseconds{6666}, 1) == stop_stage::Finishing));
    BOOST_TEST((stageAfter(milliseconds{6667}, 1) == stop_stage::Closing));
    BOOST_TEST((stageAfter(milliseconds{7499}, 1) == stop_stage::Closing));
    BOOST_TEST((stageAfter(milliseconds{7500}, 1) == stop_stage::Ending));
    BOOST_TEST((stageAfter(milliseconds{7500}, 0) == stop_stage::Stopped));
    BOOST_TEST((sequence.endsAt() == begunAt + milliseconds{7750}));
}

// Guards against a stop that counts from a moment without an open request, and cuts those that arrive after it.
BOOST_AUTO_TEST_CASE(aMomentWithoutRequestsStartsNoTimer)
{
    BOOST_TEST((stageAfter(milliseconds{100}, 0) == stop_stage::Draining));
    BOOST_TEST((stageAfter(milliseconds{2600}, 0) == stop_stage::Receiving));
    BOOST_TEST((stageAfter(milliseconds{3100}, 0) == stop_stage::Receiving));
    BOOST_TEST((stageAfter(milliseconds{3200}, 4) == stop_stage::Receiving));
    BOOST_TEST((stageAfter(milliseconds{6400}, 4) == stop_stage::Finishing));
    BOOST_TEST((stageAfter(milliseconds{6410}, 0) == stop_stage::Stopped));
}

// Guards against a stop that waits although nothing is being received, and against one that believes so while connections are still taken.
BOOST_AUTO_TEST_CASE(receptionEndsEarlyOnlyWithoutNewConnections)
{
    sequence.onReceptionFinished();
    BOOST_TEST((stageAfter(milliseconds{2600}, 0) == stop_stage::Receiving));
    sequence.onReceptionFinished();
    BOOST_TEST((stageAfter(milliseconds{2601}, 1) == stop_stage::Finishing));
    BOOST_TEST((stageAfter(milliseconds{2602}, 0) == stop_stage::Stopped));
}

// Guards against a second signal that extends the stop beyond the time at which the process is killed.
BOOST_AUTO_TEST_CASE(furtherRequestsDoNotExtendTheStop)
{
    BOOST_TEST(!sequence.begin(begunAt + milliseconds{2000}));
    BOOST_TEST((stageAfter(milliseconds{2500}, 1) == stop_stage::Receiving));
    BOOST_TEST(!sequence.begin(begunAt + milliseconds{2500}));
    BOOST_TEST((stageAfter(milliseconds{7500}, 1) == stop_stage::Ending));
}

// Guards against connections that are taken so late that their long requests are broken off at the end of the grace period although they may not be.
BOOST_AUTO_TEST_CASE(longDrainTimesEndBeforeRequestsMayNoLongerBeCut)
{
    constexpr milliseconds mayBeCutTime{3000};
    for (const auto &[drainTime, grace] : {std::pair{milliseconds{4000}, milliseconds{8000}},
                                           {milliseconds{60'000}, milliseconds{8000}},
                                           {milliseconds{10'000}, milliseconds{20'000}},
                                           {milliseconds{3000}, milliseconds{30'000}}}) {
        stop_sequence late({.drainTime = drainTime, .grace = grace});
        late.begin(begunAt);
        BOOST_TEST(late.advance(begunAt + mayBeCutTime - milliseconds{1}, 1), drainTime.count() << " ms of " << grace.count());
        BOOST_TEST((late.stage() == stop_stage::Receiving));
        BOOST_TEST((late.nextChange() == begunAt + grace / 2));
    }
}

// Guards against stages that a VM skips when it was suspended meanwhile: each has an action.
BOOST_AUTO_TEST_CASE(suspendedVmEntersEveryStage)
{
    stageAfter(milliseconds{20'000}, 1);
    const std::vector<stop_stage> expected{stop_stage::Receiving, stop_stage::Finishing, stop_stage::Closing, stop_stage::Ending};
    BOOST_TEST((entered == expected));
    BOOST_TEST((stageAfter(milliseconds{20'000}, 0) == stop_stage::Stopped));
    BOOST_TEST(!sequence.nextChange().has_value());
}

// Guards against a drain time that leaves no time for answers.
BOOST_AUTO_TEST_CASE(shortGraceShortensTheDrainTime)
{
    constexpr stop_plan shortPlan{.drainTime = milliseconds{2500}, .grace = milliseconds{2000}};
    BOOST_TEST((shortPlan.connectTime() == milliseconds{1000}));
    BOOST_TEST((shortPlan.endTime() < milliseconds{2000}));
}

// Guards against a stage whose name is that of another one in the log.
BOOST_AUTO_TEST_CASE(stagesHaveTheirNames)
{
    BOOST_TEST(nameOf(stop_stage::Serving) == "serving");
    BOOST_TEST(nameOf(stop_stage::Closing) == "closing");
    BOOST_TEST(nameOf(stop_stage::Stopped) == "stopped");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(stopping_cores, stopping_core)

// Guards against streams that are cut although the grace period has time left, because their requests arrived after a moment without any.
BOOST_AUTO_TEST_CASE(requestsThatArriveLateAreFinished)
{
    callersStillSend = true;
    requestShutdown();
    advanceTo(milliseconds{2500});
    BOOST_TEST(acceptingStopped);
    advanceTo(milliseconds{3200});
    BOOST_TEST(!isStopped);
    const auto stream = beginStream();
    for (int elapsed = 3300; elapsed <= 6400; elapsed += 100) {
        advanceTo(milliseconds{elapsed});
        core.handle(stream_part{stream.attempt, "data: more\n\n"});
        collect();
        BOOST_REQUIRE(!isStopped);
    }
    core.handle(relay_attempt_ended{stream.attempt, reply_outcome::Complete});
    collect();
    BOOST_TEST(streamEnds == 1);
    BOOST_TEST(abortedAnswers == 0);
    BOOST_TEST(isStopped);
}

// Guards against a request that is passed on without time for its answer, and against a refusal that does not say that it has not run.
BOOST_AUTO_TEST_CASE(requestsAfterHalfOfTheGraceAreRefused)
{
    callersStillSend = true;
    requestShutdown();
    const auto open = book();
    advanceTo(milliseconds{2500});
    advanceTo(milliseconds{4000});
    BOOST_TEST(arrivingRefused);
    const auto sent = dispatches.size();
    sendRequest("/book/2");
    BOOST_TEST(dispatches.size() == sent);
    BOOST_REQUIRE(failures.size() == 1);
    BOOST_TEST((failures[0].reason == failure::ShuttingDown));
    BOOST_TEST((failures[0].result == outcome::NotRun));
    BOOST_TEST(failures[0].retryAfter.has_value());
    reply(open, 200);
    BOOST_TEST(isStopped);
}

// Guards against requests that end with the process: those that an endpoint has are answered as unknown, streams are aborted, others are refused.
BOOST_AUTO_TEST_CASE(everyOpenRequestIsAnsweredBeforeTheEnd)
{
    requestShutdown();
    book();
    beginStream();
    beginStream();
    submit("/draft/1", "k-acme", milliseconds{14'000}, token_count{1000, 100, {}});
    BOOST_REQUIRE(dispatches.size() == 3); // Both slots of the engine are taken.
    advanceTo(milliseconds{2500});
    advanceTo(milliseconds{6666});
    BOOST_TEST(failures.empty());
    BOOST_TEST(abortedAnswers == 0);
    advanceTo(milliseconds{6667});
    BOOST_REQUIRE(failures.size() == 1);
    BOOST_TEST((failures[0].reason == failure::ShuttingDown));
    BOOST_TEST((failures[0].result == outcome::NotRun));
    advanceTo(milliseconds{7499});
    BOOST_TEST(core.openRequests() == 3);
    advanceTo(milliseconds{7500});
    BOOST_REQUIRE(failures.size() == 2);
    BOOST_TEST((failures[1].reason == failure::EndpointFailed));
    BOOST_TEST((failures[1].result == outcome::Unknown));
    BOOST_TEST(abortedAnswers == 2);
    BOOST_TEST(abortedAttempts.size() == 3);
    BOOST_TEST(isStopped);
}

// Guards against a stage that begins late because the loop waits for its next tick.
BOOST_AUTO_TEST_CASE(stagesAreTicked)
{
    callersStillSend = true;
    requestShutdown();
    book();
    for (const auto stage : {2500, 4000, 6667, 7500}) {
        advanceTo(milliseconds{stage - 10});
        BOOST_TEST((core.nextTick() <= shutdownAt + milliseconds{stage}));
        advanceTo(milliseconds{stage});
    }
    BOOST_TEST((core.endsAt() == shutdownAt + milliseconds{7750}));
}

// Guards against a further signal that lets the VM take connections again or extends its stop.
BOOST_AUTO_TEST_CASE(furtherSignalsChangeNothing)
{
    requestShutdown();
    advanceTo(milliseconds{2400});
    core.handle(shutdown_requested{});
    advanceTo(milliseconds{2500});
    BOOST_TEST(acceptingStopped);
    BOOST_TEST(isStopped);
}

BOOST_AUTO_TEST_SUITE_END()
