// Time for which requests hold their places at an endpoint, as the VM sees it that places them.
#pragma once

#include <cstdint>

#include "plantainpoint/clock.hpp"

namespace plantainpoint {

// The mean follows from Little's law: the requests that are counted there over time, divided by those that were placed there. It needs no message, and a
// hub learns it from the work of all its VMs.
class hold_time_estimate
{
public:
    // Records the requests of this VM's placements that are open there now.
    void observe(std::int32_t counted, time_point now);
    void onPlaced(time_point now);

    // Seconds in which places were held, and placed requests, both of the last time.
    double heldSeconds() const { return m_heldSeconds; }
    double placed() const { return m_placed; }

    // Returns the mean time as a multiple of the usual one. It differs from 1 only as far as chance does not explain it.
    double slowness(double usualSeconds) const;

private:
    void decay(time_point now);

    double m_heldSeconds = 0;
    double m_placed = 0;
    std::int32_t m_counted = 0;
    time_point m_observedAt{};
};

} // namespace plantainpoint
