// A token bucket in integer micro-tokens that holds a share of a client account's limit.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "freshness.hpp"
#include "plantainpoint/clock.hpp"
#include "plantainpoint/config.hpp"

namespace plantainpoint {

// The number of units in the full limit. Shares are counted in units of the limit and not in micro-tokens, so that a published change
// of the limit scales every share alike, in whatever order the VMs apply it.
inline constexpr std::int64_t limitUnits = 1'000'000'000'000;

// An amount of rate and capacity that moves between VMs together with its fill.
struct limit_share {
    std::int64_t rate = 0; // Units of the limit.
    std::int64_t capacity = 0; // Units of the limit.
    std::int64_t fill = 0; // Micro-tokens.

    bool empty() const { return rate == 0 && capacity == 0 && fill == 0; }
    // Returns whether no amount is negative and neither rate nor capacity exceeds the full limit.
    bool valid() const { return rate >= 0 && capacity >= 0 && fill >= 0 && rate <= limitUnits && capacity <= limitUnits; }
};

// Returns value * numerator / denominator, rounded down, or 0 if the denominator is not positive. Values and factors must not be negative.
inline std::int64_t scaleDown(std::int64_t value, std::int64_t numerator, std::int64_t denominator)
{
    return denominator <= 0 ? 0 : static_cast<std::int64_t>(static_cast<__int128>(value) * numerator / denominator);
}

// Returns the same as scaleDown(), but rounded up.
inline std::int64_t scaleUp(std::int64_t value, std::int64_t numerator, std::int64_t denominator)
{
    return denominator <= 0 ? 0 : static_cast<std::int64_t>((static_cast<__int128>(value) * numerator + denominator - 1) / denominator);
}

class token_bucket_share
{
public:
    // Returns micro-tokens per second, rounded down.
    std::int64_t rate() const { return scaleDown(m_limit.rate, m_rateUnits, limitUnits); }
    // Returns micro-tokens, rounded down.
    std::int64_t capacity() const { return scaleDown(m_limit.burst, m_capacityUnits, limitUnits); }
    std::int64_t fill() const { return m_fill; }
    std::int64_t rateUnits() const { return m_rateUnits; }
    std::int64_t capacityUnits() const { return m_capacityUnits; }
    bool empty() const { return m_rateUnits == 0 && m_capacityUnits == 0; }

    // Sets the full limit that the units refer to. accrue() must be called first, so that elapsed time counts at the old rate.
    void setLimit(const rate_limit &limit)
    {
        m_limit = limit;
        clampFill();
    }

    // Adds the micro-tokens that have accrued since the last call. Accrual rounds down and runs slower by the clock rate error, so that
    // all bucket shares together never gain more than the rate of the limit in real time.
    void accrue(time_point now)
    {
        const auto elapsed = std::max<std::int64_t>(0, (now - m_accruedAt).count());
        m_accruedAt = std::max(m_accruedAt, now);
        const __int128 gained = static_cast<__int128>(rate()) * elapsed * accrualPermille + m_remainder;
        const __int128 wholeMicroTokens = gained / accrualDivisor;
        if (wholeMicroTokens >= capacity() - m_fill) {
            m_fill = capacity();
            m_remainder = 0;
            return;
        }
        m_fill += static_cast<std::int64_t>(wholeMicroTokens);
        m_remainder = static_cast<std::int64_t>(gained % accrualDivisor);
    }

    // Takes an amount out of the fill. Returns false if the fill is too small.
    bool take(std::int64_t amount)
    {
        if (m_fill < amount) {
            return false;
        }
        m_fill -= amount;
        return true;
    }

    // Adds a share. Its fill is bounded by its own capacity: if the limit was lowered while the share was in transit, the excess must not
    // fill up the rest of the bucket share.
    void add(const limit_share &share)
    {
        m_rateUnits += share.rate;
        m_capacityUnits += share.capacity;
        m_fill += std::min(share.fill, scaleDown(m_limit.burst, share.capacity, limitUnits));
        clampFill();
    }

    // Adds to the fill. Fill beyond the capacity is lost.
    void refill(std::int64_t fill)
    {
        m_fill += fill;
        clampFill();
    }

    // Removes a share, which must be contained. Fill beyond the remaining capacity is lost.
    void remove(const limit_share &share)
    {
        m_rateUnits -= share.rate;
        m_capacityUnits -= share.capacity;
        m_fill -= share.fill;
        clampFill();
    }

    // Sets the units. Fill beyond the capacity is lost.
    void resize(std::int64_t rateUnits, std::int64_t capacityUnits)
    {
        m_rateUnits = rateUnits;
        m_capacityUnits = capacityUnits;
        clampFill();
    }

    void clear() { resize(0, 0); }

    // Returns the units that correspond to a rate, at most those of the bucket share.
    std::int64_t unitsOfRate(std::int64_t rate) const { return std::min(m_rateUnits, scaleDown(rate, limitUnits, m_limit.rate)); }

    // Returns the units that are needed to hold a capacity, at most those of the bucket share.
    std::int64_t unitsOfCapacity(std::int64_t capacity) const { return std::min(m_capacityUnits, scaleUp(capacity, limitUnits, m_limit.burst)); }

    // Returns the units of capacity that leave together with a fill: as close to the wanted capacity as the remaining fill allows.
    // Rounding is at the expense of the remaining share, so that a whole token that leaves is still whole when it arrives.
    std::int64_t shareCapacity(std::int64_t fill, std::int64_t wantedCapacity) const
    {
        const auto spareCapacity = m_capacityUnits - unitsOfCapacity(m_fill - fill);
        return std::max(unitsOfCapacity(fill), std::min(unitsOfCapacity(std::max<std::int64_t>(0, wantedCapacity)), spareCapacity));
    }

private:
    static constexpr std::int64_t accrualPermille = 1000 - static_cast<std::int64_t>(clockRateError * 1000);
    static constexpr std::int64_t accrualDivisor = 1'000'000'000LL * 1000;

    void clampFill() { m_fill = std::min(m_fill, capacity()); }

    rate_limit m_limit;
    std::int64_t m_rateUnits = 0;
    std::int64_t m_capacityUnits = 0;
    std::int64_t m_fill = 0;
    std::int64_t m_remainder = 0; // The fraction of a micro-token, in units of 1 / accrualDivisor.
    time_point m_accruedAt{};
};

// Measures the recent request rate in micro-tokens per second. It affects only the borrowing policy, never the bound on admissions.
class demand_meter
{
public:
    void recordRequest(time_point now)
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
        const double elapsed = std::chrono::duration<double>(now - m_updatedAt).count();
        m_rate *= std::exp(-std::max(0.0, elapsed) / windowSeconds);
        m_updatedAt = now;
    }

    // With a window of one second, a VM whose callers had moved kept its rate so long that 2% of their requests were refused.
    static constexpr double windowSeconds = 0.25;

    double m_rate = 0;
    time_point m_updatedAt{};
};

} // namespace plantainpoint
