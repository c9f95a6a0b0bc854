// a part of a client account's limit: a token bucket in integer micro-tokens
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "freshness.hpp"
#include "plantainpoint/clock.hpp"
#include "plantainpoint/config.hpp"

namespace plantainpoint {

// the whole of a limit. parts are counted in units of the limit, not in micro-tokens, so that a published change of the limit
// scales every part alike, whatever the order in which the VMs apply it.
inline constexpr std::int64_t limitUnits = 1'000'000'000'000;

// shares of rate and capacity that move together, with their fill
struct limit_share {
    std::int64_t rate = 0; // units
    std::int64_t capacity = 0; // units
    std::int64_t fill = 0; // micro-tokens

    bool empty() const { return rate == 0 && capacity == 0 && fill == 0; }
    // no amount is negative and none exceeds the whole
    bool valid() const { return rate >= 0 && capacity >= 0 && fill >= 0 && rate <= limitUnits && capacity <= limitUnits; }
};

// value * numerator / denominator, rounded down; for values and factors that are not negative
inline std::int64_t scaleDown(std::int64_t value, std::int64_t numerator, std::int64_t denominator)
{
    return denominator <= 0 ? 0 : static_cast<std::int64_t>(static_cast<__int128>(value) * numerator / denominator);
}

inline std::int64_t scaleUp(std::int64_t value, std::int64_t numerator, std::int64_t denominator)
{
    return denominator <= 0 ? 0 : static_cast<std::int64_t>((static_cast<__int128>(value) * numerator + denominator - 1) / denominator);
}

class token_bucket_share
{
public:
    // micro-tokens per second, rounded down
    std::int64_t rate() const { return scaleDown(m_limit.rate, m_rateUnits, limitUnits); }
    // micro-tokens, rounded down
    std::int64_t capacity() const { return scaleDown(m_limit.burst, m_capacityUnits, limitUnits); }
    std::int64_t fill() const { return m_fill; }
    std::int64_t rateUnits() const { return m_rateUnits; }
    std::int64_t capacityUnits() const { return m_capacityUnits; }
    bool empty() const { return m_rateUnits == 0 && m_capacityUnits == 0; }

    // the limit of which the units are parts; call accrue() before
    void setLimit(const rate_limit &limit)
    {
        m_limit = limit;
        clip();
    }

    // adds what has accrued since the last call. rounds down, and runs slower by the clock rate error, so that all bucket shares together
    // never gain more than the rate of the limit in real time.
    void accrue(time_point now)
    {
        const auto elapsed = std::max<std::int64_t>(0, (now - m_accruedAt).count());
        m_accruedAt = std::max(m_accruedAt, now);
        const __int128 gained = static_cast<__int128>(rate()) * elapsed * accrualPermille + m_remainder;
        const __int128 whole = gained / accrualDivisor;
        if (whole >= capacity() - m_fill) {
            m_fill = capacity();
            m_remainder = 0;
            return;
        }
        m_fill += static_cast<std::int64_t>(whole);
        m_remainder = static_cast<std::int64_t>(gained % accrualDivisor);
    }

    // takes an amount out of the fill; false when there is not enough
    bool take(std::int64_t amount)
    {
        if (m_fill < amount) {
            return false;
        }
        m_fill -= amount;
        return true;
    }

    // the fill is bounded by the part's own capacity: after a limit was lowered on the way, the rest of the bucket share must not take it up
    void add(const limit_share &part)
    {
        m_rateUnits += part.rate;
        m_capacityUnits += part.capacity;
        m_fill += std::min(part.fill, scaleDown(m_limit.burst, part.capacity, limitUnits));
        clip();
    }

    // fill beyond the capacity is lost
    void refill(std::int64_t fill)
    {
        m_fill += fill;
        clip();
    }

    // the part must be contained; fill that the rest cannot hold is lost
    void remove(const limit_share &part)
    {
        m_rateUnits -= part.rate;
        m_capacityUnits -= part.capacity;
        m_fill -= part.fill;
        clip();
    }

    // sets the units; fill beyond the capacity is lost
    void resize(std::int64_t rateUnits, std::int64_t capacityUnits)
    {
        m_rateUnits = rateUnits;
        m_capacityUnits = capacityUnits;
        clip();
    }

    void clear() { resize(0, 0); }

    // units that a rate makes out, at most those of the bucket share
    std::int64_t unitsOfRate(std::int64_t rate) const { return std::min(m_rateUnits, scaleDown(rate, limitUnits, m_limit.rate)); }

    // units that hold a fill, at most those of the bucket share
    std::int64_t unitsOfCapacity(std::int64_t capacity) const { return std::min(m_capacityUnits, scaleUp(capacity, limitUnits, m_limit.burst)); }

    // units of capacity that leave with a fill: as near to the wanted capacity as the rest of the fill allows. rounding goes against
    // the rest, so that a whole token that leaves arrives whole.
    std::int64_t shareCapacity(std::int64_t fill, std::int64_t wanted) const
    {
        const auto spare = m_capacityUnits - unitsOfCapacity(m_fill - fill);
        return std::max(unitsOfCapacity(fill), std::min(unitsOfCapacity(std::max<std::int64_t>(0, wanted)), spare));
    }

private:
    static constexpr std::int64_t accrualPermille = 1000 - static_cast<std::int64_t>(clockRateError * 1000);
    static constexpr std::int64_t accrualDivisor = 1'000'000'000LL * 1000;

    void clip() { m_fill = std::min(m_fill, capacity()); }

    rate_limit m_limit;
    std::int64_t m_rateUnits = 0;
    std::int64_t m_capacityUnits = 0;
    std::int64_t m_fill = 0;
    std::int64_t m_remainder = 0; // below one micro-token, in units of 1 / accrualDivisor
    time_point m_accruedAt{};
};

// recent requests per second, in micro-tokens; steers the policy only, never the bound
class demand_meter
{
public:
    void note(time_point now)
    {
        decay(now);
        m_rate += microTokensPerRequest / windowSeconds;
    }

    std::int64_t rate(time_point now)
    {
        decay(now);
        return static_cast<std::int64_t>(m_rate);
    }

private:
    void decay(time_point now)
    {
        const double elapsed = std::chrono::duration<double>(now - m_at).count();
        m_rate *= std::exp(-std::max(0.0, elapsed) / windowSeconds);
        m_at = now;
    }

    // with a second, the rate stayed so long at a VM whose callers had moved that 2% of their requests were refused
    static constexpr double windowSeconds = 0.25;

    double m_rate = 0;
    time_point m_at{};
};

} // namespace plantainpoint
