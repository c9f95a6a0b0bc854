// States of a VM from its start to the end of its graceful shutdown.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace plantainpoint {

enum class vm_stage : std::uint8_t {
    Starting,
    Serving,
    Leaving,
    Stopped,
};

std::string_view nameOf(vm_stage stage);

namespace vm_event {

struct admitted {
};
struct dropped {
};
struct shutdown_started {
};
struct idle {
};

} // namespace vm_event

class vm_machine
{
public:
    vm_machine();
    ~vm_machine();
    vm_machine(vm_machine &&) noexcept;
    vm_machine &operator=(vm_machine &&) noexcept;
    vm_machine(const vm_machine &) = delete;
    vm_machine &operator=(const vm_machine &) = delete;

    // Applies an event. Returns false, and keeps the stage, if the present stage has no transition for the event.
    template<class Event>
    bool apply(const Event &event);

    vm_stage stage() const;

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
};

} // namespace plantainpoint
