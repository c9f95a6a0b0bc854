// Checks that the core cancels attempts of dead VMs, monitors drains and orders, and shuts down without interrupting a request.
#include <boost/test/unit_test.hpp>

#include "core_fixture.hpp"

using namespace plantainpoint;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(core_watch, core_fixture)

// Guards against engine memory that stays allocated to attempts of a VM that no longer exists.
BOOST_AUTO_TEST_CASE(attemptsOfDeadVmsAreCancelled)
{
    start();
    const attempt_label orphan{request_label{incarnation_id{vm_name{"vm-0"}, 3}, 9}, 0};
    reportedAttempts[endpoint_name{"decode-1"}].insert(orphan);
    advance(10s);
    BOOST_REQUIRE(lastCommandOf<cancel_attempt>());
    BOOST_TEST((lastCommandOf<cancel_attempt>()->attempt == orphan));
    BOOST_TEST(lastCommandOf<cancel_attempt>()->endpoint.value == "decode-1");
}

// Guards against the cancellation of a request whose caller still waits for it.
BOOST_AUTO_TEST_CASE(runningAttemptsAreNotCancelled)
{
    start();
    requestCompletion();
    const auto attempt = lastCommandOf<dispatch_prefill>()->attempt;
    reportedAttempts[lastCommandOf<dispatch_prefill>()->endpoint].insert(attempt);
    advance(5s);
    BOOST_TEST(commandsOf<cancel_attempt>().empty());
}

// Guards against new work on a leaving endpoint, and against a drain that is never reported as finished.
BOOST_AUTO_TEST_CASE(drainingEndpointGetsNoNewWork)
{
    start();
    auto config = pressConfig();
    for (auto &worker : config.endpoints) {
        if (worker.name.value == "prefill-1") {
            worker.condition = endpoint_condition::Leaving;
        }
    }
    reportedAttempts[endpoint_name{"prefill-1"}].insert(attempt_label{request_label{core.self(), 999}, 0});
    publish(config);
    advance(1s);
    BOOST_TEST(core.status()["drains"].size() == 1U);
    for (int i = 0; i < 5; ++i) {
        requestCompletion();
        BOOST_TEST(lastCommandOf<dispatch_prefill>()->endpoint.value == "prefill-2");
        deliver(prefill_done{lastCommandOf<dispatch_prefill>()->attempt, "kv"});
    }
    reportedAttempts.clear();
    advance(2s);
    BOOST_TEST(core.status()["drains"][0]["finished"] == true);
    const auto audit = recordsOf<audit_event>();
    BOOST_TEST((std::any_of(audit.begin(), audit.end(), [](const audit_event &event) { return event.kind == audit_kind::DrainFinished; })));
}

// Guards against an order without its fencing number, and against an order that is sent while a predecessor of the sender may still send.
BOOST_AUTO_TEST_CASE(orderCarriesTheOffsetOfItsRecord)
{
    start();
    endpointState.model = model_name{"juice"};
    endpointState.version = "1";
    const order_record order{endpoint_name{"decode-1"}, model_name{"juice"}, {}, "2", endpoint_role::Decode};
    entries.push_back(encodeBatch({log_record{record_id{incarnation_id{vm_name{"ctl"}, 1}, 1}, order}}));
    const auto offset = entries.size() - 1;
    advance(3s);
    BOOST_REQUIRE(commandsOf<send_order>().size() == 1U);
    BOOST_TEST(lastCommandOf<send_order>()->fencing == offset);
    BOOST_TEST(core.status()["orders"]["decode-1"]["state"] == "sent");
    endpointState.version = "2";
    advance(3s);
    BOOST_TEST(core.status()["orders"]["decode-1"]["state"] == "confirmed");
    BOOST_TEST(commandsOf<send_order>().size() == 1U);
}

// Guards against a process that keeps a CPU core busy: a tick that is due but does nothing makes the next one due at once.
BOOST_AUTO_TEST_CASE(idleCoreTicksAtTheRateOfItsTimers)
{
    start();
    clock.timePerReading = 100ns;
    // The shortest interval of an idle core is 20 ms, after which the fixture answers a read.
    BOOST_TEST(tickWhenDue(2s) <= 200U);
}

// Guards against a shutdown that interrupts a request or never ends.
BOOST_AUTO_TEST_CASE(shutdownWaitsForOpenRequests)
{
    start();
    requestCompletion();
    const auto attempt = lastCommandOf<dispatch_prefill>()->attempt;
    deliver(shutdown_requested{});
    BOOST_TEST(!core.ready());
    requestCompletion();
    BOOST_TEST((lastCommandOf<answer_failure>()->reason == failure::ShuttingDown));
    BOOST_TEST((lastCommandOf<answer_failure>()->result == outcome::NotRun));
    advance(5s);
    BOOST_TEST(commandsOf<stopped>().empty());
    deliver(prefill_done{attempt, "kv"});
    deliver(decoded_token{attempt, 0, "a"});
    deliver(decode_done{attempt, "stop", 1});
    BOOST_TEST(commandsOf<answer_done>().size() == 1U);
    advance(15s);
    BOOST_TEST(commandsOf<stopped>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
