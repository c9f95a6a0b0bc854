#include "order_sender.hpp"

#include <algorithm>
#include <vector>

#include <nlohmann/json.hpp>

namespace plantainpoint {

namespace {

constexpr std::int32_t maxLoadsPerRegion = 2;
constexpr duration stateInterval = std::chrono::seconds(1);
// an order that shows no effect after this time is sent again
constexpr duration resendAfter = std::chrono::seconds(10);
// a predecessor may send until its admission lease ends, and its last order may be in flight
constexpr duration predecessorWait = admissionLeaseTime + std::chrono::seconds(2);

bool matches(const order_record &order, const endpoint_state_answer &state)
{
    return state.model == order.model && state.adapter == order.adapter && state.version == order.version && state.role == order.role;
}

} // namespace

order_sender::order_sender(core_components &components)
    : m_components(components)
{
}

void order_sender::refresh()
{
    const auto owner = m_components.members.ownerOf("orders/" + m_components.settings.region.value);
    const bool responsible = owner && owner->id == m_components.self();
    if (!responsible) {
        m_orders.clear();
        m_responsible = false;
        return;
    }
    if (!m_responsible) {
        m_responsible = true;
        m_responsibleSince = m_components.clock.now();
    }
    for (const auto &[name, service] : m_components.log.config().services()) {
        for (const auto &config : service.endpoints) {
            const auto *const wanted = m_components.log.findOrder(config.name);
            if (config.region == m_components.settings.region && wanted != nullptr) {
                takeUp(*wanted);
            }
        }
    }
    std::erase_if(m_orders, [&](const auto &item) { return m_components.log.config().findEndpoint(item.first) == nullptr; });
}

void order_sender::takeUp(const order_state &wanted)
{
    const auto at = m_orders.find(wanted.order.target);
    if (at != m_orders.end() && at->second.wanted.fencing >= wanted.fencing) {
        return;
    }
    if (at != m_orders.end()) {
        at->second.machine.apply(order_event::replaced{});
        m_orders.erase(at);
    }
    m_orders[wanted.order.target].wanted = wanted;
    m_nextRound = m_components.clock.now();
}

bool order_sender::isOpen(const pending &entry) const
{
    return entry.machine.stage() == order_stage::Planned || entry.machine.stage() == order_stage::Sent;
}

bool order_sender::mustHold(const endpoint &to) const
{
    return !to.checksFencing && m_components.clock.now() < m_responsibleSince + predecessorWait;
}

void order_sender::readState(const endpoint &to)
{
    m_components.out.push(read_endpoint_state{to.name, to.address});
}

void order_sender::tick()
{
    const auto now = m_components.clock.now();
    const auto next = nextTick();
    if (!next || now < *next) {
        return;
    }
    m_nextRound = now + stateInterval;
    for (auto &[name, entry] : m_orders) {
        const auto *const to = m_components.log.config().findEndpoint(name);
        if (to != nullptr && isOpen(entry) && !mustHold(*to)) {
            readState(*to);
        }
    }
}

void order_sender::onState(const endpoint_state_answer &message)
{
    const auto at = m_orders.find(message.endpoint);
    if (at == m_orders.end() || !message.reachable || !isOpen(at->second)) {
        return;
    }
    auto &entry = at->second;
    if (message.fencing > entry.wanted.fencing) {
        entry.machine.apply(order_event::replaced{});
    } else if (matches(entry.wanted.order, message) && !message.loading) {
        entry.machine.apply(order_event::state_matches{});
    } else if (entry.machine.stage() == order_stage::Sent && !message.loading && m_components.clock.now() > entry.sentAt + resendAfter) {
        entry.machine.apply(order_event::state_differs{});
    }
    entry.stateRead = true;
    sendNext();
}

void order_sender::sendNext()
{
    // a VM without an admission lease may have been replaced as the sender of this region
    if (!m_components.fresh.holdsLease()) {
        return;
    }
    auto loads = std::count_if(m_orders.begin(), m_orders.end(), [](const auto &item) { return item.second.machine.stage() == order_stage::Sent; });
    std::vector<pending *> planned;
    for (auto &[name, entry] : m_orders) {
        if (entry.machine.stage() == order_stage::Planned && entry.stateRead) {
            planned.push_back(&entry);
        }
    }
    std::sort(planned.begin(), planned.end(), [](const pending *a, const pending *b) { return a->wanted.fencing < b->wanted.fencing; });
    for (auto *const entry : planned) {
        const auto *const to = m_components.log.config().findEndpoint(entry->wanted.order.target);
        if (to == nullptr || mustHold(*to)) {
            continue;
        }
        if (loads++ >= maxLoadsPerRegion) {
            return;
        }
        entry->machine.apply(order_event::dispatched{});
        entry->sentAt = m_components.clock.now();
        m_components.out.push(send_order{to->name, to->address, entry->wanted.fencing, entry->wanted.order});
        m_components.audit(audit_kind::OrderSent, to->name.value, entry->wanted.order.model.value + " " + entry->wanted.order.version);
    }
}

void order_sender::onAnswer(const order_answer &message)
{
    const auto at = m_orders.find(message.endpoint);
    if (at == m_orders.end() || at->second.wanted.fencing != message.fencing || !message.refused) {
        return;
    }
    if (*message.refused == failure::StaleFencing) {
        at->second.machine.apply(order_event::replaced{});
        return;
    }
    at->second.machine.apply(order_event::state_differs{});
    at->second.stateRead = false;
}

std::optional<time_point> order_sender::nextTick() const
{
    const bool open = std::any_of(m_orders.begin(), m_orders.end(), [&](const auto &item) { return isOpen(item.second); });
    return open ? std::optional(m_nextRound) : std::nullopt;
}

nlohmann::json order_sender::status() const
{
    nlohmann::json out = nlohmann::json::object();
    for (const auto &[name, entry] : m_orders) {
        out[name.value] = {{"state", std::string(nameOf(entry.machine.stage()))},
                           {"fencing", entry.wanted.fencing},
                           {"model", entry.wanted.order.model.value},
                           {"version", entry.wanted.order.version}};
    }
    return out;
}

} // namespace plantainpoint
