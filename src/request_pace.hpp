// The pace at which this VM sends requests to an endpoint that limits them.
#pragma once

#include <cstdint>
#include <optional>

#include "plantainpoint/clock.hpp"

namespace plantainpoint {

// How permits that are not used at once add up. The defaults are those of an endpoint that states its limit itself.
struct pace_terms {
    double savedSeconds = 0.5; // Permits of this time, and one more, are kept, so that requests that arrive unevenly use the rate up.
    double slowRate = 1; // Permits a second. Below it, permits lapse.
    double permitLifetime = 1; // Seconds.
    // Permits a second below which many VMs hold a part each. Their permits fall at random times, and at some times more than usual.
    double sparseRate = 0.1;
    double sparseFactor = 0.6;
};

// Grants permits at a rate. Every VM that sends holds one, with its part of the endpoint's limit as the rate, so that the sum over all of them stays within
// the limit whatever they hear of each other.
//
// By default, permits that are not used add up to half a second's worth and one more. Below one a second, a permit lapses a second after it was granted:
// hundreds of VMs with a small part each would otherwise collect a permit each and use them all at once.
class request_pace
{
public:
    explicit request_pace(const pace_terms &terms = {})
        : m_terms(terms)
    {
    }

    // The seed spreads the first permits of VMs with a low rate over time.
    void setRate(std::optional<double> perSecond, std::uint64_t seed, time_point now);

    // Returns permits a second, or nothing if the pace is not limited.
    std::optional<double> rate() const { return m_rate; }
    bool allows(time_point now) const { return !m_rate || levelAt(now) >= 1; }
    // Uses a permit.
    void take(time_point now);

private:
    double levelAt(time_point now) const;

    pace_terms m_terms;
    std::optional<double> m_rate;
    double m_level = 0; // Permits at `m_setAt`.
    time_point m_setAt{};
};

} // namespace plantainpoint
