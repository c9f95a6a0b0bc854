// Defines the states of an endpoint as seen by its endpoint monitor.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace plantainpoint {

enum class endpoint_stage : std::uint8_t {
    Joining,
    Ready,
    Draining,
    Gone,
};

std::string_view nameOf(endpoint_stage stage);

namespace endpoint_event {

struct reported {
};
struct drained {
};
struct reinstated {
};
struct missed {
};
struct removed {
};
struct emptied {
};

} // namespace endpoint_event

class endpoint_machine
{
public:
    endpoint_machine();
    ~endpoint_machine();
    endpoint_machine(endpoint_machine &&) noexcept;
    endpoint_machine &operator=(endpoint_machine &&) noexcept;
    endpoint_machine(const endpoint_machine &) = delete;
    endpoint_machine &operator=(const endpoint_machine &) = delete;

    // Returns false and leaves the stage unchanged if the current stage has no transition for the event.
    template<class Event>
    bool apply(const Event &event);

    endpoint_stage stage() const;

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
};

} // namespace plantainpoint
