// the state machines accept the transitions of their tables and nothing else
#include <boost/test/unit_test.hpp>

#include "endpoint_machine.hpp"
#include "order_machine.hpp"
#include "request_machine.hpp"
#include "vm_machine.hpp"

using namespace plantainpoint;

BOOST_AUTO_TEST_SUITE(core_machines)

// guards against a second terminal answer: an ended request accepts no further event
BOOST_AUTO_TEST_CASE(endedRequestAcceptsNothing)
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

// guards against a stopped VM that serves again, and an endpoint that gets work while it drains
BOOST_AUTO_TEST_CASE(leavingIsFinal)
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

// guards against an order that is sent after a later one has replaced it
BOOST_AUTO_TEST_CASE(supersededOrderIsNotSent)
{
    order_machine order;
    BOOST_TEST(order.apply(order_event::dispatched{}));
    BOOST_TEST(order.apply(order_event::replaced{}));
    BOOST_TEST(!order.apply(order_event::dispatched{}));
    BOOST_TEST((order.stage() == order_stage::Superseded));
}

BOOST_AUTO_TEST_SUITE_END()
