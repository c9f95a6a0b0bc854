#include "relay_machine.hpp"

#include <array>

#include "machine_support.hpp"

namespace plantainpoint {

namespace {

using waiting = stage_state<relay_stage::Waiting>;
using prefilling = stage_state<relay_stage::Prefilling>;
using forwarded = stage_state<relay_stage::Forwarded>;
using streaming = stage_state<relay_stage::Streaming>;
using ended = stage_state<relay_stage::Ended>;

struct relay_definition : staged_definition<relay_definition, relay_stage> {
    using initial_state = waiting;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        // From        Event                        To
        transition<waiting,    relay_event::prefill_sent,   prefilling>,
        transition<waiting,    relay_event::sent,           forwarded>,
        transition<waiting,    relay_event::ended,          ended>,

        transition<prefilling, relay_event::sent,           forwarded>,
        transition<prefilling, relay_event::requeued,       waiting>,
        transition<prefilling, relay_event::ended,          ended>,

        transition<forwarded,  relay_event::streaming,      streaming>,
        transition<forwarded,  relay_event::requeued,       waiting>,
        transition<forwarded,  relay_event::ended,          ended>,

        transition<streaming,  relay_event::requeued,       waiting>,
        transition<streaming,  relay_event::ended,          ended>
    > {};
    // clang-format on
};

} // namespace

struct relay_machine::machine : boost::msm::back::state_machine<relay_definition> {
};

relay_machine::relay_machine()
    : m_machine(std::make_unique<machine>())
{
    m_machine->start();
}

relay_machine::~relay_machine() = default;
relay_machine::relay_machine(relay_machine &&) noexcept = default;
relay_machine &relay_machine::operator=(relay_machine &&) noexcept = default;

template<class Event>
bool relay_machine::apply(const Event &event)
{
    return applyTo(*m_machine, event);
}

template bool relay_machine::apply(const relay_event::prefill_sent &);
template bool relay_machine::apply(const relay_event::sent &);
template bool relay_machine::apply(const relay_event::streaming &);
template bool relay_machine::apply(const relay_event::requeued &);
template bool relay_machine::apply(const relay_event::ended &);

relay_stage relay_machine::stage() const
{
    return m_machine->stage;
}

std::string_view nameOf(relay_stage stage)
{
    constexpr std::array<std::string_view, 5> names{"waiting", "prefilling", "forwarded", "streaming", "ended"};
    return names[static_cast<std::size_t>(stage)];
}

} // namespace plantainpoint
