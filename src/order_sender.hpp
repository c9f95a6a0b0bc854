// Sends the orders in the log to the endpoints of this region, with at most two weight loads at a time.
// A single VM, chosen by rendezvous hashing, sends for the whole region, since monitors of single endpoints could not limit the number of loads
// in the region together.
#pragma once

#include <map>

#include "core_components.hpp"
#include "order_machine.hpp"

namespace plantainpoint {

class order_sender
{
public:
    explicit order_sender(core_components &components);

    // Reads the orders from the log. Must be called when orders, endpoints or live VMs have changed.
    void refresh();
    void onAnswer(const order_answer &message);
    void onState(const endpoint_state_answer &message);
    void tick();
    std::optional<time_point> nextTick() const;

    nlohmann::json status() const;

private:
    struct pending {
        order_state orderState;
        order_machine machine;
        bool stateRead = false; // Whether the endpoint's state was read and differs from a planned order.
        time_point sentAt{};
    };

    void addOrder(const order_state &orderState);
    void readState(const endpoint &destination);
    void sendNext();
    bool mustWaitForPredecessor(const endpoint &destination) const;
    bool isOpen(const pending &entry) const;

    core_components &m_components;
    bool m_responsible = false;
    time_point m_responsibleSince{};
    time_point m_nextRound{};
    std::map<endpoint_name, pending> m_orders;
};

} // namespace plantainpoint
