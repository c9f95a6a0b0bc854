#include "order_machine.hpp"

#include <array>

#include "machine_support.hpp"

namespace plantainpoint {

namespace {

using planned = stage_state<order_stage::Planned>;
using sent = stage_state<order_stage::Sent>;
using confirmed = stage_state<order_stage::Confirmed>;
using superseded = stage_state<order_stage::Superseded>;

struct order_definition : staged_definition<order_definition, order_stage> {
    using initial_state = planned;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        // From                Event                       To
        transition<planned,   order_event::dispatched,    sent>,
        transition<planned,   order_event::state_matches, confirmed>,
        transition<planned,   order_event::replaced,      superseded>,
        transition<sent,      order_event::state_matches, confirmed>,
        transition<sent,      order_event::state_differs, planned>,
        transition<sent,      order_event::replaced,      superseded>,
        transition<confirmed, order_event::state_differs, planned>,
        transition<confirmed, order_event::replaced,      superseded>
    > {};
    // clang-format on
};

} // namespace

struct order_machine::machine : boost::msm::back::state_machine<order_definition> {
};

order_machine::order_machine()
    : m_machine(std::make_unique<machine>())
{
    m_machine->start();
}

order_machine::~order_machine() = default;
order_machine::order_machine(order_machine &&) noexcept = default;
order_machine &order_machine::operator=(order_machine &&) noexcept = default;

template<class Event>
bool order_machine::apply(const Event &event)
{
    return applyTo(*m_machine, event);
}

template bool order_machine::apply(const order_event::dispatched &);
template bool order_machine::apply(const order_event::state_matches &);
template bool order_machine::apply(const order_event::state_differs &);
template bool order_machine::apply(const order_event::replaced &);

order_stage order_machine::stage() const
{
    return m_machine->stage;
}

std::string_view nameOf(order_stage stage)
{
    constexpr std::array<std::string_view, 4> names{"planned", "sent", "confirmed", "superseded"};
    return names[static_cast<std::size_t>(stage)];
}

} // namespace plantainpoint
