#include <boost/test/unit_test.hpp>

#include "scheduler.hpp"

using namespace plantainpoint;

namespace {

const pool_id pool{model_name{"m"}, region_name{"r"}};
const incarnation_id vm{vm_name{"vm-0"}, 1};

endpoint worker(const std::string &name, endpoint_role role, std::int32_t slots = 2)
{
    endpoint out;
    out.name = endpoint_name{name};
    out.role = role;
    out.model = pool.model;
    out.slots = slots;
    return out;
}

struct fixture {
    fixture()
    {
        subject.setPool({.pool = pool}, {worker("p0", endpoint_role::Prefill), worker("p1", endpoint_role::Prefill), worker("d0", endpoint_role::Decode)});
    }

    place_request request(std::uint64_t sequence, std::int32_t prompt = 1'000)
    {
        place_request out{.label = {vm, sequence}, .account = account_name{"a"}, .pool = pool, .promptTokens = prompt, .maxOutputTokens = 100};
        out.timeToDeadline = std::chrono::seconds(10);
        return out;
    }

    void finish(const place_request &of, std::optional<endpoint_name> failed = {}) { subject.onDone({of.label, of.attempt, pool, 50, std::move(failed)}); }

    // places requests until one waits; returns how many were placed
    std::size_t fill(std::uint64_t from, std::size_t most)
    {
        std::size_t placed = 0;
        for (std::size_t i = 0; i < most; ++i) {
            const auto next = request(from + i);
            subject.enqueue(vm, next);
            placed += subject.run().size();
            subject.onProgress({next.label, 0, pool, placement_stage::PrefillDone});
            placed += subject.run().size();
        }
        return placed;
    }

    manual_clock clock;
    scheduler subject{clock};
};

template<class Body>
const Body &body(const std::vector<placement_decision> &answers)
{
    BOOST_REQUIRE_EQUAL(answers.size(), 1);
    return std::get<Body>(answers.front().body);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(placement, fixture)

// a prefill without a decode slot would be evicted before its import
BOOST_AUTO_TEST_CASE(prefill_waits_for_a_decode_slot)
{
    BOOST_TEST(fill(0, 3) == 2);
    finish(request(0));
    BOOST_TEST(body<::plantainpoint::placement>(subject.run()).label.sequence == 2);
}

// memory is reserved in KV blocks, so that a long prompt does not overfill a worker that has slots
BOOST_AUTO_TEST_CASE(kv_blocks_have_to_fit)
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

// a caller that cannot get its first token in time is told at once, not after its work was done in vain
BOOST_AUTO_TEST_CASE(late_interactive_request_is_refused)
{
    fill(0, 2);
    subject.enqueue(vm, request(7));
    BOOST_TEST(subject.run().empty());
    clock.advance(std::chrono::seconds(1));
    const auto answers = subject.run();
    const auto &refusal = body<placement_refusal>(answers);
    BOOST_TEST((refusal.reason == failure::Overloaded));
    BOOST_TEST((refusal.retryAfter > duration::zero()));
    finish(request(0));
    BOOST_TEST(subject.run().empty());
}

// batch work may wait for longer than the first-token target
BOOST_AUTO_TEST_CASE(batch_waits)
{
    fill(0, 2);
    auto batch = request(7);
    batch.kind = urgency::Batch;
    subject.enqueue(vm, batch);
    clock.advance(std::chrono::seconds(2));
    BOOST_TEST(subject.run().empty());
    finish(request(0));
    finish(request(1));
    BOOST_TEST(body<::plantainpoint::placement>(subject.run()).label.sequence == 7);
}

// work goes to the worker that has the prefix, as long as it can start there at once
BOOST_AUTO_TEST_CASE(prefix_hint_is_used)
{
    subject.onCacheEvents({endpoint_name{"p1"}, 1, {{0, 42, 4'000, true}}});
    auto hinted = request(0, 5'000);
    hinted.prefix = {41, 42};
    subject.enqueue(vm, hinted);
    const auto answers = subject.run();
    BOOST_TEST(body<::plantainpoint::placement>(answers).prefill.value == "p1");
}

// a caller that left must neither be placed nor keep its slot
BOOST_AUTO_TEST_CASE(withdrawn_requests_free_everything)
{
    fill(0, 2);
    subject.enqueue(vm, request(7));
    finish(request(7));
    finish(request(0));
    finish(request(0));
    BOOST_TEST(subject.run().empty());
    BOOST_TEST(fill(20, 2) == 1);
}

// an endpoint that fails twice in a row would otherwise take every request
BOOST_AUTO_TEST_CASE(failing_endpoint_is_excluded_and_probed)
{
    for (std::uint64_t i = 0; i < 2; ++i) {
        subject.enqueue(vm, request(i));
        const auto answers = subject.run();
        finish(request(i), body<::plantainpoint::placement>(answers).decode);
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

// a successor that places before it knows the open attempts would overfill the workers
BOOST_AUTO_TEST_CASE(successor_waits_for_the_members)
{
    const incarnation_id other{vm_name{"vm-1"}, 1};
    subject.takeOver(pool, {vm, other});
    subject.enqueue(vm, request(9));
    open_attempt open{.label = {other, 1}, .account = account_name{"a"}, .prefill = endpoint_name{"p0"}, .decode = endpoint_name{"d0"}};
    open.promptTokens = 1'000;
    auto second = open;
    second.label.sequence = 2;
    subject.onSync(other, {pool, {open, second}});
    BOOST_TEST(subject.run().empty());
    subject.onSync(vm, {pool, {}});
    BOOST_TEST(subject.run().empty());
    subject.onVmRemoved(other);
    BOOST_TEST(subject.run().size() == 1);
}

// a member that never answers must not stop the pool
BOOST_AUTO_TEST_CASE(successor_stops_waiting)
{
    subject.takeOver(pool, {vm});
    subject.enqueue(vm, request(9));
    BOOST_TEST(subject.run().empty());
    clock.advance(std::chrono::milliseconds(300));
    BOOST_TEST(subject.run().size() == 1);
}

// slots held by requests of a dead VM are not free until the engine says so
BOOST_AUTO_TEST_CASE(foreign_requests_count)
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

// a pool without endpoints answers at once
BOOST_AUTO_TEST_CASE(no_endpoint)
{
    subject.onEndpointRemoved(endpoint_name{"d0"});
    subject.enqueue(vm, request(0));
    BOOST_TEST((body<placement_refusal>(subject.run()).reason == failure::NoEndpoint));
}

BOOST_AUTO_TEST_SUITE_END()
