// Defines the states of a request from its arrival to its single terminal answer.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace plantainpoint {

enum class request_stage : std::uint8_t {
    Received,
    Authorising,
    AwaitingShare,
    Queued,
    Prefilling,
    Decoding,
    Forwarding,
    Claiming,
    Answered,
    Refused,
};

std::string_view nameOf(request_stage stage);

namespace request_event {

struct parsed {
};
struct share_requested {
};
struct placement_requested {
};
struct placed {
};
struct prefilled {
};
struct forwarded {
};
struct claim_requested {
};
struct finished {
};
struct failed {
};

} // namespace request_event

class request_machine
{
public:
    request_machine();
    ~request_machine();
    request_machine(request_machine &&) noexcept;
    request_machine &operator=(request_machine &&) noexcept;
    request_machine(const request_machine &) = delete;
    request_machine &operator=(const request_machine &) = delete;

    // Returns false and leaves the stage unchanged if the current stage has no transition for the event.
    template<class Event>
    bool apply(const Event &event);

    request_stage stage() const;
    bool ended() const { return stage() == request_stage::Answered || stage() == request_stage::Refused; }

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
};

} // namespace plantainpoint
