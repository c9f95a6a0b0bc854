#include "plain_dispatch.hpp"

#include <algorithm>

namespace plantainpoint {

plain_dispatch::plain_dispatch(core_components &components)
    : m_components(components)
    , m_endpoints(components.settings.dataCentre, components.settings.seed, components.clock)
{
}

bool plain_dispatch::send(request &entry)
{
    const auto &services = m_components.log.config().services();
    const auto service = services.find(entry.service);
    if (service == services.end()) {
        return false;
    }
    const auto *const target = m_endpoints.choose(service->second, entry.tried);
    if (target == nullptr) {
        return false;
    }
    const auto now = m_components.clock.now();
    const attempt_label attempt{entry.label, entry.nextAttempt++};
    dispatch_plain command{attempt, target->name, target->address, entry.call.method, entry.call.path, entry.call.headers, entry.call.body};
    command.timeout = entry.deadline - now;
    m_endpoints.opened(target->name);
    entry.attempts.push_back(plain_attempt{attempt.attempt, target->name, now});
    entry.tried.push_back(target->name);
    ++entry.dispatches;
    m_components.decisions.record(entry.label, "dispatched to " + target->name.value);
    m_components.out.push(std::move(command));
    return true;
}

std::optional<plain_attempt> plain_dispatch::takeAttempt(request &entry, std::uint32_t number)
{
    const auto it = std::find_if(entry.attempts.begin(), entry.attempts.end(), [&](const plain_attempt &attempt) { return attempt.number == number; });
    if (it == entry.attempts.end()) {
        m_components.metrics.droppedMessage();
        return std::nullopt;
    }
    auto attempt = std::move(*it);
    entry.attempts.erase(it);
    return attempt;
}

void plain_dispatch::closeAttempts(request &entry)
{
    for (const auto &attempt : entry.attempts) {
        m_endpoints.closed(attempt.endpoint);
        m_components.out.push(close_attempt{{entry.label, attempt.number}});
    }
    entry.attempts.clear();
}

} // namespace plantainpoint
