// Common base of the Boost.MSM state machines: states that record themselves, and rejection of events without a transition.
#pragma once

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <boost/msm/front/states.hpp>

namespace plantainpoint {

// A row of a transition table.
template<class Source, class Event, class Target>
using transition = boost::msm::front::Row<Source, Event, Target>;

// A state that records itself in the machine when it is entered.
template<auto Stage>
struct stage_state : boost::msm::front::state<> {
    template<class Event, class Machine>
    void on_entry(const Event &, Machine &machine)
    {
        machine.stage = Stage;
    }
};

// The front end of a machine whose present stage can be read.
template<class Derived, class Stage>
struct staged_definition : boost::msm::front::state_machine_def<Derived> {
    // The machines need no message queue, as none posts events to itself.
    using no_message_queue = int;
    using no_exception_thrown = int;

    // Ignores an event without a transition, which apply() then rejects.
    template<class Machine, class Event>
    void no_transition(const Event &, Machine &, int)
    {
    }

    Stage stage{};
};

// Applies an event, and returns whether it had a transition.
template<class Machine, class Event>
bool applyTo(Machine &machine, const Event &event)
{
    return machine.process_event(event) == boost::msm::back::HANDLED_TRUE;
}

} // namespace plantainpoint
