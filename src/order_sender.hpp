// carries out the orders of the log for the endpoints of this region, at most two weight loads at a time.
// one VM sends for the whole region, chosen by rendezvous hashing: watchers of single endpoints could not bound the loads of the region together.
#pragma once

#include <map>

#include "core_components.hpp"
#include "order_machine.hpp"

namespace plantainpoint {

class order_sender
{
public:
    explicit order_sender(core_components &components);

    // takes the orders of the log; called when orders, endpoints or live VMs have changed
    void refresh();
    void onAnswer(const order_answer &message);
    void onState(const endpoint_state_answer &message);
    void tick();
    std::optional<time_point> nextTick() const;

    nlohmann::json status() const;

private:
    struct pending {
        order_state wanted;
        order_machine machine;
        bool stateRead = false; // and differs from the order
        time_point sentAt{};
    };

    void takeUp(const order_state &wanted);
    void readState(const endpoint &to);
    void sendNext();
    bool mustHold(const endpoint &to) const;
    bool isOpen(const pending &entry) const;

    core_components &m_components;
    bool m_responsible = false;
    time_point m_responsibleSince{};
    time_point m_nextRound{};
    std::map<endpoint_name, pending> m_orders;
};

} // namespace plantainpoint
