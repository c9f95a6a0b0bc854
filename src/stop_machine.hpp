// Stages of the planned stop of a relay VM, from the shutdown request to its last answer.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace plantainpoint {

enum class stop_stage : std::uint8_t {
    Serving,
    Draining, // The VM is not ready, but takes connections and requests.
    Receiving, // No new connections. Requests that are being received may still arrive.
    Finishing, // No new requests.
    Closing, // The last sixth of the grace period. Requests that no endpoint has had are refused.
    Ending, // Every request that is still open gets its answer.
    Stopped, // No request is open.
};

std::string_view nameOf(stop_stage stage);

namespace stop_event {

struct requested {
};
struct drained {
};
struct received {
};
struct last_part_begun {
};
struct time_expired {
};
struct answered {
};

} // namespace stop_event

class stop_machine
{
public:
    stop_machine();
    ~stop_machine();
    stop_machine(stop_machine &&) noexcept;
    stop_machine &operator=(stop_machine &&) noexcept;
    stop_machine(const stop_machine &) = delete;
    stop_machine &operator=(const stop_machine &) = delete;

    // Returns false when the current stage has no transition for the event. The stage is then unchanged.
    template<class Event>
    bool apply(const Event &event);

    stop_stage stage() const;

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
};

} // namespace plantainpoint
