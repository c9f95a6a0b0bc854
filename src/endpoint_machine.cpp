#include "endpoint_machine.hpp"

#include <array>

#include "machine_support.hpp"

namespace plantainpoint {

namespace {

using joining = stage_state<endpoint_stage::Joining>;
using ready = stage_state<endpoint_stage::Ready>;
using draining = stage_state<endpoint_stage::Draining>;
using gone = stage_state<endpoint_stage::Gone>;

struct endpoint_definition : staged_definition<endpoint_definition, endpoint_stage> {
    using initial_state = joining;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        // From               Event                       To
        transition<joining,  endpoint_event::reported,   ready>,
        transition<joining,  endpoint_event::drained,    draining>,
        transition<joining,  endpoint_event::missed,     gone>,
        transition<joining,  endpoint_event::removed,    gone>,
        transition<ready,    endpoint_event::drained,    draining>,
        transition<ready,    endpoint_event::missed,     gone>,
        transition<ready,    endpoint_event::removed,    gone>,
        transition<draining, endpoint_event::reinstated, ready>,
        transition<draining, endpoint_event::emptied,    gone>,
        transition<draining, endpoint_event::missed,     gone>,
        transition<draining, endpoint_event::removed,    gone>,
        transition<gone,     endpoint_event::reported,   ready>,
        transition<gone,     endpoint_event::drained,    draining>,
        transition<gone,     endpoint_event::reinstated, joining>
    > {};
    // clang-format on
};

} // namespace

struct endpoint_machine::machine : boost::msm::back::state_machine<endpoint_definition> {
};

endpoint_machine::endpoint_machine()
    : m_machine(std::make_unique<machine>())
{
    m_machine->start();
}

endpoint_machine::~endpoint_machine() = default;
endpoint_machine::endpoint_machine(endpoint_machine &&) noexcept = default;
endpoint_machine &endpoint_machine::operator=(endpoint_machine &&) noexcept = default;

template<class Event>
bool endpoint_machine::apply(const Event &event)
{
    return applyTo(*m_machine, event);
}

template bool endpoint_machine::apply(const endpoint_event::reported &);
template bool endpoint_machine::apply(const endpoint_event::drained &);
template bool endpoint_machine::apply(const endpoint_event::reinstated &);
template bool endpoint_machine::apply(const endpoint_event::missed &);
template bool endpoint_machine::apply(const endpoint_event::removed &);
template bool endpoint_machine::apply(const endpoint_event::emptied &);

endpoint_stage endpoint_machine::stage() const
{
    return m_machine->stage;
}

std::string_view nameOf(endpoint_stage stage)
{
    constexpr std::array<std::string_view, 4> names{"joining", "ready", "draining", "gone"};
    return names[static_cast<std::size_t>(stage)];
}

} // namespace plantainpoint
