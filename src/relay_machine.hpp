// Stages of a relayed request, from its arrival to its one final answer.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace plantainpoint {

enum class relay_stage : std::uint8_t {
    Waiting, // The request waits for a place at an endpoint.
    Prefilling,
    Forwarded, // An endpoint has the request and has not answered.
    Streaming, // The caller has the head of the answer.
    Ended,
};

std::string_view nameOf(relay_stage stage);

namespace relay_event {

struct prefill_sent {
};
struct sent {
};
struct streaming {
};
struct requeued {
};
struct ended {
};

} // namespace relay_event

class relay_machine
{
public:
    relay_machine();
    ~relay_machine();
    relay_machine(relay_machine &&) noexcept;
    relay_machine &operator=(relay_machine &&) noexcept;
    relay_machine(const relay_machine &) = delete;
    relay_machine &operator=(const relay_machine &) = delete;

    // Returns false when the current stage has no transition for the event. The stage is then unchanged.
    template<class Event>
    bool apply(const Event &event);

    relay_stage stage() const;

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
};

} // namespace plantainpoint
