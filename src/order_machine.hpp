// Defines the states of an order to an endpoint, from its record in the log to the endpoint's confirmed state.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace plantainpoint {

enum class order_stage : std::uint8_t {
    Planned,
    Sent,
    Confirmed,
    Superseded,
};

std::string_view nameOf(order_stage stage);

namespace order_event {

struct dispatched {
};
struct state_matches {
};
struct state_differs {
};
struct replaced {
};

} // namespace order_event

class order_machine
{
public:
    order_machine();
    ~order_machine();
    order_machine(order_machine &&) noexcept;
    order_machine &operator=(order_machine &&) noexcept;
    order_machine(const order_machine &) = delete;
    order_machine &operator=(const order_machine &) = delete;

    // Returns false and leaves the stage unchanged if the current stage has no transition for the event.
    template<class Event>
    bool apply(const Event &event);

    order_stage stage() const;

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
};

} // namespace plantainpoint
