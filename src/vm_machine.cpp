#include "vm_machine.hpp"

#include <array>

#include "machine_support.hpp"

namespace plantainpoint {

namespace {

using starting = stage_state<vm_stage::Starting>;
using serving = stage_state<vm_stage::Serving>;
using leaving = stage_state<vm_stage::Leaving>;
using stopped = stage_state<vm_stage::Stopped>;

struct vm_definition : staged_definition<vm_definition, vm_stage> {
    using initial_state = starting;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        // From      Event                       To
        transition<starting, vm_event::admitted,         serving>,
        transition<starting, vm_event::shutdown_started, leaving>,
        transition<serving,  vm_event::dropped,          starting>,
        transition<serving,  vm_event::shutdown_started, leaving>,
        transition<leaving,  vm_event::idle,             stopped>
    > {};
    // clang-format on
};

} // namespace

struct vm_machine::machine : boost::msm::back::state_machine<vm_definition> {
};

vm_machine::vm_machine()
    : m_machine(std::make_unique<machine>())
{
    m_machine->start();
}

vm_machine::~vm_machine() = default;
vm_machine::vm_machine(vm_machine &&) noexcept = default;
vm_machine &vm_machine::operator=(vm_machine &&) noexcept = default;

template<class Event>
bool vm_machine::apply(const Event &event)
{
    return applyTo(*m_machine, event);
}

template bool vm_machine::apply(const vm_event::admitted &);
template bool vm_machine::apply(const vm_event::dropped &);
template bool vm_machine::apply(const vm_event::shutdown_started &);
template bool vm_machine::apply(const vm_event::idle &);

vm_stage vm_machine::stage() const
{
    return m_machine->stage;
}

std::string_view nameOf(vm_stage stage)
{
    constexpr std::array<std::string_view, 4> names{"starting", "serving", "leaving", "stopped"};
    return names[static_cast<std::size_t>(stage)];
}

} // namespace plantainpoint
