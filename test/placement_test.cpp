// Checks how the scheduler of a pool places, delays and refuses requests.
#include <boost/test/unit_test.hpp>

#include "scheduler.hpp"

using namespace plantainpoint;

namespace {

const pool_id pool{model_name{"m"}, region_name{"r"}};
const incarnation_id vm{vm_name{"vm-0"}, 1};

endpoint worker(const std::string &name, endpoint_role role, std::int32_t slots = 2)
{
    endpoint workerEndpoint;
    workerEndpoint.name = endpoint_name{name};
    workerEndpoint.role = role;
    workerEndpoint.model = pool.model;
    workerEndpoint.slots = slots;
    return workerEndpoint;
}

struct scheduler_fixture {
    scheduler_fixture()
    {
        subject.setPool({.pool = pool}, {worker("p0", endpoint_role::Prefill), worker("p1", endpoint_role::Prefill), worker("d0", endpoint_role::Decode)});
    }

    place_request request(std::uint64_t sequence, std::int32_t promptTokens = 1'000)
    {
        place_request message{.label = {vm, sequence}, .account = account_name{"a"}, .pool = pool, .promptTokens = promptTokens, .maxOutputTokens = 100};
        message.timeToDeadline = std::chrono::seconds(10);
        return message;
    }

    void finish(const place_request &finishedRequest, std::optional<endpoint_name> failedEndpoint = {})
    {
        subject.onDone({finishedRequest.label, finishedRequest.attempt, pool, 50, std::move(failedEndpoint)});
    }

    // Enqueues the given number of requests and finishes their prefills. Returns how many were placed.
    std::size_t fill(std::uint64_t firstSequence, std::size_t count)
    {
        std::size_t placed = 0;
        for (std::size_t i = 0; i < count; ++i) {
            const auto nextRequest = request(firstSequence + i);
            subject.enqueue(vm, nextRequest);
            placed += subject.run().size();
            subject.onProgress({nextRequest.label, 0, pool, placement_stage::PrefillDone});
            placed += subject.run().size();
        }
        return placed;
    }

    manual_clock clock;
    scheduler subject{clock};
};

template<class Body>
const Body &onlyDecision(const std::vector<placement_decision> &decisions)
{
    BOOST_REQUIRE_EQUAL(decisions.size(), 1);
    return std::get<Body>(decisions.front().body);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(placement, scheduler_fixture)

// Guards against a prefill that is started without a free decode slot: its result would be evicted before the decode worker imports it.
BOOST_AUTO_TEST_CASE(prefillWaitsForDecodeSlot)
{
    BOOST_TEST(fill(0, 3) == 2);
    finish(request(0));
    BOOST_TEST(onlyDecision<::plantainpoint::placement>(subject.run()).label.sequence == 2);
}

// Guards against a long prompt that overfills the memory of a worker with free slots. Memory is therefore reserved in KV blocks.
BOOST_AUTO_TEST_CASE(requestWaitsForFreeKvBlocks)
{
    auto small = worker("d0", endpoint_role::Decode, 4);
    small.kvBlocks = 4;
    subject.setPool({.pool = pool}, {worker("p0", endpoint_role::Prefill), small});
    subject.enqueue(vm, request(0, 7'000));
    BOOST_TEST(subject.run().size() == 1);
    subject.onProgress({{vm, 0}, 0, pool, placement_stage::PrefillDone});
    subject.enqueue(vm, request(1, 3'000));
    BOOST_TEST(subject.run().empty());
}

// Guards against an interactive request that cannot get its first token in time and is refused only after work was spent on it.
BOOST_AUTO_TEST_CASE(lateInteractiveRequestIsRefused)
{
    fill(0, 2);
    subject.enqueue(vm, request(7));
    BOOST_TEST(subject.run().empty());
    clock.advance(std::chrono::seconds(1));
    const auto decisions = subject.run();
    const auto &refusal = onlyDecision<placement_refusal>(decisions);
    BOOST_TEST((refusal.reason == failure::Overloaded));
    BOOST_TEST((refusal.retryAfter > duration::zero()));
    finish(request(0));
    BOOST_TEST(subject.run().empty());
}

// Guards against a batch request that is refused because it waits for longer than the first-token target.
BOOST_AUTO_TEST_CASE(batchRequestWaitsBeyondFirstTokenTarget)
{
    fill(0, 2);
    auto batch = request(7);
    batch.kind = urgency::Batch;
    subject.enqueue(vm, batch);
    clock.advance(std::chrono::seconds(2));
    BOOST_TEST(subject.run().empty());
    finish(request(0));
    finish(request(1));
    BOOST_TEST(onlyDecision<::plantainpoint::placement>(subject.run()).label.sequence == 7);
}

// Guards against a request that is placed away from the worker that caches its prefix although it could start there at once.
BOOST_AUTO_TEST_CASE(prefixHintSelectsPrefillWorker)
{
    subject.onCacheEvents({endpoint_name{"p1"}, 1, {{0, 42, 4'000, true}}});
    auto hinted = request(0, 5'000);
    hinted.prefix = {41, 42};
    subject.enqueue(vm, hinted);
    const auto decisions = subject.run();
    BOOST_TEST(onlyDecision<::plantainpoint::placement>(decisions).prefill.value == "p1");
}

// Guards against a request that is placed or keeps its slot after its caller has disconnected.
BOOST_AUTO_TEST_CASE(withdrawnRequestsReleaseTheirSlots)
{
    fill(0, 2);
    subject.enqueue(vm, request(7));
    finish(request(7));
    finish(request(0));
    finish(request(0));
    BOOST_TEST(subject.run().empty());
    BOOST_TEST(fill(20, 2) == 1);
}

// Guards against an endpoint that fails twice in a row and still attracts every request.
BOOST_AUTO_TEST_CASE(failingEndpointIsExcludedAndProbed)
{
    for (std::uint64_t i = 0; i < 2; ++i) {
        subject.enqueue(vm, request(i));
        const auto decisions = subject.run();
        finish(request(i), onlyDecision<::plantainpoint::placement>(decisions).decode);
    }
    subject.enqueue(vm, request(2));
    BOOST_TEST(subject.run().empty());
    clock.advance(std::chrono::milliseconds(300));
    BOOST_TEST(subject.run().size() == 1);
    subject.enqueue(vm, request(3));
    BOOST_TEST(subject.run().empty());
    subject.onProgress({{vm, 2}, 0, pool, placement_stage::DecodeStarted});
    BOOST_TEST(subject.run().size() == 1);
}

// Guards against a new scheduler that overfills the workers because it places requests before it knows the open attempts.
BOOST_AUTO_TEST_CASE(successorWaitsForOpenAttemptsOfMembers)
{
    const incarnation_id otherVm{vm_name{"vm-1"}, 1};
    subject.takeOver(pool, {vm, otherVm});
    subject.enqueue(vm, request(9));
    open_attempt firstAttempt{.label = {otherVm, 1}, .account = account_name{"a"}, .prefill = endpoint_name{"p0"}, .decode = endpoint_name{"d0"}};
    firstAttempt.promptTokens = 1'000;
    auto secondAttempt = firstAttempt;
    secondAttempt.label.sequence = 2;
    subject.onSync(otherVm, {pool, {firstAttempt, secondAttempt}});
    BOOST_TEST(subject.run().empty());
    subject.onSync(vm, {pool, {}});
    BOOST_TEST(subject.run().empty());
    subject.onVmRemoved(otherVm);
    BOOST_TEST(subject.run().size() == 1);
}

// Guards against a pool that stops placing requests because a member never reports its open attempts to a new scheduler.
BOOST_AUTO_TEST_CASE(successorStopsWaitingForSilentMember)
{
    subject.takeOver(pool, {vm});
    subject.enqueue(vm, request(9));
    BOOST_TEST(subject.run().empty());
    clock.advance(std::chrono::milliseconds(300));
    BOOST_TEST(subject.run().size() == 1);
}

// Guards against slots of a dead VM's requests that count as free before the engine reports them as free.
BOOST_AUTO_TEST_CASE(attemptsOfOtherVmsOccupySlots)
{
    load_report report{.endpoint = endpoint_name{"d0"}, .reachable = true};
    report.running = {{{{vm_name{"dead"}, 1}, 1}, 0}, {{{vm_name{"dead"}, 1}, 2}, 0}};
    report.kvBlocksUsed = 2;
    subject.onLoad(report);
    subject.enqueue(vm, request(0));
    BOOST_TEST(subject.run().empty());
    report.running.clear();
    subject.onLoad(report);
    BOOST_TEST(subject.run().size() == 1);
}

// Guards against a request that waits in a pool without endpoints instead of being refused at once.
BOOST_AUTO_TEST_CASE(requestWithoutEndpointIsRefused)
{
    subject.onEndpointRemoved(endpoint_name{"d0"});
    subject.enqueue(vm, request(0));
    BOOST_TEST((onlyDecision<placement_refusal>(subject.run()).reason == failure::NoEndpoint));
}

BOOST_AUTO_TEST_SUITE_END()
