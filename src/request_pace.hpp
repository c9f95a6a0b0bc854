// The pace at which this VM sends requests to an endpoint that limits them.
#pragma once

#include <cstdint>
#include <optional>

#include "plantainpoint/clock.hpp"

namespace plantainpoint {

// Grants permits at a rate. Every VM that sends holds one, with its part of the endpoint's limit as the rate, so that the sum over all of them stays within
// the limit whatever they hear of each other.
//
// Permits that are not used add up to half a second's worth and one more. Below one a second, a permit lapses a second after it was granted: hundreds of VMs
// with a small part each would otherwise collect a permit each and use them all at once.
class request_pace
{
public:
    // The seed spreads the first permits of VMs with a low rate over time.
    void setRate(std::optional<double> perSecond, std::uint64_t seed, time_point now);

    // Returns permits a second, or nothing if the pace is not limited.
    std::optional<double> rate() const { return m_rate; }
    bool allows(time_point now) const { return !m_rate || levelAt(now) >= 1; }
    // Uses a permit.
    void take(time_point now);

private:
    double levelAt(time_point now) const;

    std::optional<double> m_rate;
    double m_level = 0; // Permits at `m_setAt`.
    time_point m_setAt{};
};

} // namespace plantainpoint
