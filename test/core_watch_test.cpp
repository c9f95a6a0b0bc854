// the core frees what dead VMs left, follows drains and orders, and leaves without interrupting a request
#include <boost/test/unit_test.hpp>

#include "core_fixture.hpp"

using namespace plantainpoint;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(core_watch, core_fixture)

// guards against engine memory that is held for a VM that no longer exists
BOOST_AUTO_TEST_CASE(labelsOfDeadVmsAreCancelled)
{
    start();
    const attempt_label orphan{request_label{incarnation_id{vm_name{"vm-0"}, 3}, 9}, 0};
    running[endpoint_name{"decode-1"}].insert(orphan);
    advance(10s);
    BOOST_REQUIRE(last<cancel_attempt>());
    BOOST_TEST((last<cancel_attempt>()->attempt == orphan));
    BOOST_TEST(last<cancel_attempt>()->endpoint.value == "decode-1");
}

// guards against the cancel of a request that is still wanted
BOOST_AUTO_TEST_CASE(runningLabelsAreLeftAlone)
{
    start();
    complete();
    const auto attempt = last<dispatch_prefill>()->attempt;
    running[last<dispatch_prefill>()->endpoint].insert(attempt);
    advance(5s);
    BOOST_TEST(all<cancel_attempt>().empty());
}

// guards against new work on a leaving endpoint, and a drain that is never reported as finished
BOOST_AUTO_TEST_CASE(drainingEndpointGetsNoNewWork)
{
    start();
    auto config = press();
    for (auto &worker : config.endpoints) {
        if (worker.name.value == "prefill-1") {
            worker.condition = endpoint_condition::Leaving;
        }
    }
    running[endpoint_name{"prefill-1"}].insert(attempt_label{request_label{core.self(), 999}, 0});
    publish(config);
    advance(1s);
    BOOST_TEST(core.status()["drains"].size() == 1U);
    for (int i = 0; i < 5; ++i) {
        complete();
        BOOST_TEST(last<dispatch_prefill>()->endpoint.value == "prefill-2");
        give(prefill_done{last<dispatch_prefill>()->attempt, "kv"});
    }
    running.clear();
    advance(2s);
    BOOST_TEST(core.status()["drains"][0]["finished"] == true);
    const auto audit = recorded<audit_event>();
    BOOST_TEST((std::any_of(audit.begin(), audit.end(), [](const audit_event &event) { return event.kind == audit_kind::DrainFinished; })));
}

// guards against an order without its fencing number, and one that is sent while a predecessor may still send
BOOST_AUTO_TEST_CASE(orderCarriesTheOffsetOfItsRecord)
{
    start();
    endpointState.model = model_name{"juice"};
    endpointState.version = "1";
    const order_record order{endpoint_name{"decode-1"}, model_name{"juice"}, {}, "2", endpoint_role::Decode};
    entries.push_back(encodeBatch({log_record{record_id{incarnation_id{vm_name{"ctl"}, 1}, 1}, order}}));
    const auto offset = entries.size() - 1;
    advance(3s);
    BOOST_REQUIRE(all<send_order>().size() == 1U);
    BOOST_TEST(last<send_order>()->fencing == offset);
    BOOST_TEST(core.status()["orders"]["decode-1"]["state"] == "sent");
    endpointState.version = "2";
    advance(3s);
    BOOST_TEST(core.status()["orders"]["decode-1"]["state"] == "confirmed");
    BOOST_TEST(all<send_order>().size() == 1U);
}

// guards against a process that takes a whole core: a tick that is due and does nothing is asked for again at once
BOOST_AUTO_TEST_CASE(idleCoreTicksAtTheRateOfItsTimers)
{
    start();
    clock.perReading = 100ns;
    // the shortest interval of an idle core is the 20 ms in which the fixture answers a read
    BOOST_TEST(tickWhenDue(2s) <= 200U);
}

// guards against a shutdown that interrupts a request or never ends
BOOST_AUTO_TEST_CASE(shutdownWaitsForOpenRequests)
{
    start();
    complete();
    const auto attempt = last<dispatch_prefill>()->attempt;
    give(shutdown_requested{});
    BOOST_TEST(!core.ready());
    complete();
    BOOST_TEST((last<answer_failure>()->reason == failure::ShuttingDown));
    BOOST_TEST((last<answer_failure>()->result == outcome::NotRun));
    advance(5s);
    BOOST_TEST(all<stopped>().empty());
    give(prefill_done{attempt, "kv"});
    give(decoded_token{attempt, 0, "a"});
    give(decode_done{attempt, "stop", 1});
    BOOST_TEST(all<answer_done>().size() == 1U);
    advance(15s);
    BOOST_TEST(all<stopped>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
