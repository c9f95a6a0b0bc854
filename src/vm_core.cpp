#include "plantainpoint/vm_core.hpp"

#include <nlohmann/json.hpp>

#include "core_components.hpp"
#include "core_status.hpp"
#include "dispatcher.hpp"

namespace plantainpoint {

struct vm_core::state {
    state(vm_settings settings, const clock_source &clock, const wall_clock_source &wallClock)
        : components(std::move(settings), clock, wallClock)
        , inputDispatcher(components)
    {
    }

    core_components components;
    dispatcher inputDispatcher;
    std::uint64_t peerSequence = 0;
};

vm_core::vm_core(vm_settings settings, const clock_source &clock, const wall_clock_source &wallClock)
    : m_state(std::make_unique<state>(std::move(settings), clock, wallClock))
{
}

vm_core::~vm_core() = default;

void vm_core::handle(input message)
{
    m_state->inputDispatcher.handle(std::move(message));
}

void vm_core::tick()
{
    m_state->inputDispatcher.tick();
}

std::vector<command> vm_core::take()
{
    auto commands = m_state->components.out.take();
    for (auto &entry : commands) {
        if (auto *const sent = std::get_if<send_peer>(&entry)) {
            sent->message.sequence = ++m_state->peerSequence;
            sent->address = sent->address.empty() ? m_state->components.members.addressOf(sent->to) : std::move(sent->address);
        }
    }
    return commands;
}

time_point vm_core::nextTick() const
{
    return m_state->inputDispatcher.nextTick();
}

const incarnation_id &vm_core::self() const
{
    return m_state->components.self();
}

bool vm_core::ready() const
{
    return m_state->inputDispatcher.ready();
}

nlohmann::json vm_core::status() const
{
    return statusOf(m_state->components, m_state->inputDispatcher);
}

nlohmann::json vm_core::audit() const
{
    return auditOf(m_state->components.log);
}

nlohmann::json vm_core::explain(const request_label &label) const
{
    return m_state->components.decisions.explain(label);
}

nlohmann::json vm_core::metrics() const
{
    return m_state->components.metrics.toJson();
}

} // namespace plantainpoint
