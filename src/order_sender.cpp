#include "order_sender.hpp"

#include <algorithm>
#include <vector>

#include <nlohmann/json.hpp>

namespace plantainpoint {

namespace {

constexpr std::int32_t maxLoadsPerRegion = 2;
constexpr duration stateReadInterval = std::chrono::seconds(1);
// An order that shows no effect after this time is sent again.
constexpr duration resendAfter = std::chrono::seconds(10);
// A predecessor may send until its admission lease ends, and its last order may still be in flight after that.
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
            const auto *const orderState = m_components.log.findOrder(config.name);
            if (config.region == m_components.settings.region && orderState != nullptr) {
                addOrder(*orderState);
            }
        }
    }
    std::erase_if(m_orders, [&](const auto &item) { return m_components.log.config().findEndpoint(item.first) == nullptr; });
}

void order_sender::addOrder(const order_state &orderState)
{
    const auto it = m_orders.find(orderState.order.target);
    if (it != m_orders.end() && it->second.orderState.fencing >= orderState.fencing) {
        return;
    }
    if (it != m_orders.end()) {
        it->second.machine.apply(order_event::replaced{});
        m_orders.erase(it);
    }
    m_orders[orderState.order.target].orderState = orderState;
    m_nextRound = m_components.clock.now();
}

bool order_sender::isOpen(const pending &entry) const
{
    return entry.machine.stage() == order_stage::Planned || entry.machine.stage() == order_stage::Sent;
}

bool order_sender::mustWaitForPredecessor(const endpoint &destination) const
{
    return !destination.checksFencing && m_components.clock.now() < m_responsibleSince + predecessorWait;
}

void order_sender::readState(const endpoint &destination)
{
    m_components.out.push(read_endpoint_state{destination.name, destination.address});
}

void order_sender::tick()
{
    const auto now = m_components.clock.now();
    const auto next = nextTick();
    if (!next || now < *next) {
        return;
    }
    m_nextRound = now + stateReadInterval;
    for (auto &[name, entry] : m_orders) {
        const auto *const destination = m_components.log.config().findEndpoint(name);
        if (destination != nullptr && isOpen(entry) && !mustWaitForPredecessor(*destination)) {
            readState(*destination);
        }
    }
}

void order_sender::onState(const endpoint_state_answer &message)
{
    const auto it = m_orders.find(message.endpoint);
    if (it == m_orders.end() || !message.reachable || !isOpen(it->second)) {
        return;
    }
    auto &entry = it->second;
    if (message.fencing > entry.orderState.fencing) {
        entry.machine.apply(order_event::replaced{});
    } else if (matches(entry.orderState.order, message) && !message.loading) {
        entry.machine.apply(order_event::state_matches{});
    } else if (entry.machine.stage() == order_stage::Sent && !message.loading && m_components.clock.now() > entry.sentAt + resendAfter) {
        entry.machine.apply(order_event::state_differs{});
    }
    entry.stateRead = true;
    sendNext();
}

void order_sender::sendNext()
{
    // A VM without an admission lease may have been replaced as the order sender of this region.
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
    std::sort(planned.begin(), planned.end(), [](const pending *a, const pending *b) { return a->orderState.fencing < b->orderState.fencing; });
    for (auto *const entry : planned) {
        const auto *const destination = m_components.log.config().findEndpoint(entry->orderState.order.target);
        if (destination == nullptr || mustWaitForPredecessor(*destination)) {
            continue;
        }
        if (loads++ >= maxLoadsPerRegion) {
            return;
        }
        entry->machine.apply(order_event::dispatched{});
        entry->sentAt = m_components.clock.now();
        m_components.out.push(send_order{destination->name, destination->address, entry->orderState.fencing, entry->orderState.order});
        m_components.audit(audit_kind::OrderSent, destination->name.value, entry->orderState.order.model.value + " " + entry->orderState.order.version);
    }
}

void order_sender::onAnswer(const order_answer &message)
{
    const auto it = m_orders.find(message.endpoint);
    if (it == m_orders.end() || it->second.orderState.fencing != message.fencing || !message.refused) {
        return;
    }
    if (*message.refused == failure::StaleFencing) {
        it->second.machine.apply(order_event::replaced{});
        return;
    }
    it->second.machine.apply(order_event::state_differs{});
    it->second.stateRead = false;
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
                           {"fencing", entry.orderState.fencing},
                           {"model", entry.orderState.order.model.value},
                           {"version", entry.orderState.order.version}};
    }
    return out;
}

} // namespace plantainpoint
