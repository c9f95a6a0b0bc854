// Checks that the state machines accept only the transitions in their tables.
#include <boost/test/unit_test.hpp>

#include "endpoint_machine.hpp"
#include "order_machine.hpp"
#include "request_machine.hpp"
#include "vm_machine.hpp"

using namespace plantainpoint;

BOOST_AUTO_TEST_SUITE(core_machines)

// Guards against a second terminal answer, which a request sends if it accepts an event after its end.
BOOST_AUTO_TEST_CASE(endedRequestAcceptsNoEvent)
{
    request_machine machine;
    BOOST_TEST(!machine.apply(request_event::finished{}));
    BOOST_TEST(machine.apply(request_event::parsed{}));
    BOOST_TEST(machine.apply(request_event::placement_requested{}));
    BOOST_TEST(machine.apply(request_event::placed{}));
    BOOST_TEST(machine.apply(request_event::prefilled{}));
    BOOST_TEST(machine.apply(request_event::finished{}));
    BOOST_TEST((machine.stage() == request_stage::Answered));
    BOOST_TEST(!machine.apply(request_event::finished{}));
    BOOST_TEST(!machine.apply(request_event::failed{}));
    BOOST_TEST(!machine.apply(request_event::placement_requested{}));
    BOOST_TEST((machine.stage() == request_stage::Answered));
}

// Guards against a VM that serves again after its shutdown started, and against an endpoint that gets work while it drains.
BOOST_AUTO_TEST_CASE(leavingStagesAreFinal)
{
    vm_machine vm;
    BOOST_TEST(vm.apply(vm_event::admitted{}));
    BOOST_TEST(vm.apply(vm_event::shutdown_started{}));
    BOOST_TEST(!vm.apply(vm_event::admitted{}));
    BOOST_TEST(vm.apply(vm_event::idle{}));
    BOOST_TEST((vm.stage() == vm_stage::Stopped));
    endpoint_machine endpoint;
    BOOST_TEST(endpoint.apply(endpoint_event::reported{}));
    BOOST_TEST(endpoint.apply(endpoint_event::drained{}));
    BOOST_TEST(!endpoint.apply(endpoint_event::reported{}));
    BOOST_TEST((endpoint.stage() == endpoint_stage::Draining));
}

// Guards against an order that is sent after a later one has replaced it.
BOOST_AUTO_TEST_CASE(supersededOrderIsNotSent)
{
    order_machine order;
    BOOST_TEST(order.apply(order_event::dispatched{}));
    BOOST_TEST(order.apply(order_event::replaced{}));
    BOOST_TEST(!order.apply(order_event::dispatched{}));
    BOOST_TEST((order.stage() == order_stage::Superseded));
}

BOOST_AUTO_TEST_SUITE_END()
