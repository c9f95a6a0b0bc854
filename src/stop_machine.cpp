#include "stop_machine.hpp"

#include <array>

#include "machine_support.hpp"

namespace plantainpoint {

namespace {

using serving = stage_state<stop_stage::Serving>;
using draining = stage_state<stop_stage::Draining>;
using receiving = stage_state<stop_stage::Receiving>;
using finishing = stage_state<stop_stage::Finishing>;
using closing = stage_state<stop_stage::Closing>;
using ending = stage_state<stop_stage::Ending>;
using stopped = stage_state<stop_stage::Stopped>;

struct stop_definition : staged_definition<stop_definition, stop_stage> {
    using initial_state = serving;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        // From       Event                        To
        transition<serving,   stop_event::requested,       draining>,
        transition<draining,  stop_event::drained,         receiving>,
        transition<receiving, stop_event::received,        finishing>,
        transition<finishing, stop_event::last_part_begun, closing>,
        transition<finishing, stop_event::answered,        stopped>,
        transition<closing,   stop_event::time_expired,    ending>,
        transition<closing,   stop_event::answered,        stopped>,
        transition<ending,    stop_event::answered,        stopped>
    > {};
    // clang-format on
};

} // namespace

struct stop_machine::machine : boost::msm::back::state_machine<stop_definition> {
};

stop_machine::stop_machine()
    : m_machine(std::make_unique<machine>())
{
    m_machine->start();
}

stop_machine::~stop_machine() = default;
stop_machine::stop_machine(stop_machine &&) noexcept = default;
stop_machine &stop_machine::operator=(stop_machine &&) noexcept = default;

template<class Event>
bool stop_machine::apply(const Event &event)
{
    return applyTo(*m_machine, event);
}

template bool stop_machine::apply(const stop_event::requested &);
template bool stop_machine::apply(const stop_event::drained &);
template bool stop_machine::apply(const stop_event::received &);
template bool stop_machine::apply(const stop_event::last_part_begun &);
template bool stop_machine::apply(const stop_event::time_expired &);
template bool stop_machine::apply(const stop_event::answered &);

stop_stage stop_machine::stage() const
{
    return m_machine->stage;
}

std::string_view nameOf(stop_stage stage)
{
    constexpr std::array<std::string_view, 7> names{"serving", "draining", "receiving", "finishing", "closing", "ending", "stopped"};
    return names[static_cast<std::size_t>(stage)];
}

} // namespace plantainpoint
