// Independent check of the rate and burst of a client account: one exact token bucket that starts full.
#pragma once

#include <algorithm>
#include <cstdint>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/config.hpp"

namespace plantainpoint::fuzz {

class rate_oracle
{
public:
    explicit rate_oracle(rate_limit limit)
        : m_limit(limit)
        , m_level(static_cast<__int128>(limit.burst) * unitsPerMicroToken)
    {
    }

    // Sets the limit that holds from now on.
    void setLimit(rate_limit limit, time_point now)
    {
        refill(now);
        m_limit = limit;
        limitToBurst();
    }

    // Returns whether an ideal limiter in one place would admit a request now.
    bool wouldAdmit(time_point now)
    {
        refill(now);
        return m_level >= unitsPerRequest;
    }

    // Counts an admitted request. Returns false if a window of some length t that ends now holds more than rate * t + burst.
    bool admit(time_point now)
    {
        refill(now);
        m_level -= unitsPerRequest;
        return m_level >= 0;
    }

    const rate_limit &limit() const { return m_limit; }

private:
    void refill(time_point now)
    {
        m_level += static_cast<__int128>(m_limit.rate) * (now - m_updatedAt).count();
        m_updatedAt = now;
        limitToBurst();
    }

    void limitToBurst() { m_level = std::min(m_level, static_cast<__int128>(m_limit.burst) * unitsPerMicroToken); }

    // At a rate of one micro-token per second, the level gains one unit per nanosecond.
    static constexpr std::int64_t unitsPerMicroToken = 1'000'000'000;
    static constexpr __int128 unitsPerRequest = static_cast<__int128>(microTokensPerRequest) * unitsPerMicroToken;

    rate_limit m_limit;
    __int128 m_level;
    time_point m_updatedAt{};
};

} // namespace plantainpoint::fuzz
