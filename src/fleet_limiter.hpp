// Enforces the limits of client accounts over all VMs. Hubs and VMs that hear no hub keep a token bucket for each account; every other VM
// copies the levels of its hub.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

// The part of every limit that a VM grants: the VMs whose admissions it knows, of those that may be running.
struct limit_share {
    std::size_t heardVms = 1;
    std::size_t memberVms = 1;

    double fraction() const { return memberVms == 0 ? 1 : std::min(1.0, static_cast<double>(heardVms) / static_cast<double>(memberVms)); }
    bool operator==(const limit_share &) const = default;
};

// What a request does for its caller.
enum class request_purpose : std::uint8_t {
    New,
    TakesUp, // Goes on with a stream of which the caller has a part.
};

constexpr std::string_view nameOf(request_purpose value)
{
    constexpr std::array names{std::string_view{"new"}, std::string_view{"takes_up"}};
    return names.at(static_cast<std::size_t>(value));
}

// Keeps a token bucket with the limit of each account and debits what the other VMs have admitted. Two hubs may admit the same units while a
// summary is in transit. The level then becomes negative, and nothing is admitted until the excess has been refilled.
//
// A VM that does not hear all others grants its share only: the rate is reduced to it, and so is the level when the share falls. A VM that has
// just started begins with nearly empty buckets, as all VMs may have been lost after an account had used its limit.
//
// Streams that are taken up may bring a bucket below zero by a part of a second's refill, so that they come before new requests of their account when it is
// empty. New requests wait until the bucket has been refilled.
class fleet_limiter
{
public:
    // The tolerance is the number of units that each account may use beyond its burst.
    explicit fleet_limiter(double tolerance = 0)
        : m_tolerance(tolerance)
    {
    }

    void setAccounts(const std::vector<relay_account> &accounts, time_point now);
    void setShare(const limit_share &share, time_point now);
    const limit_share &share() const { return m_share; }

    // Returns nothing if the request is admitted, otherwise the time after which it can be admitted.
    std::optional<duration> admit(const account_name &account, double units, request_purpose purpose, time_point now);
    // Returns the units of an admitted request that has not run and never will.
    void refund(const account_name &account, double units);
    // Debits a request that another VM admits. Returns nothing if the limit allows it, otherwise the time after which it does.
    std::optional<duration> reserve(const account_name &account, double units, request_purpose purpose, time_point now);

    // Returns the units that this VM would still admit, as of the last request or report. It is 0 for an unknown account.
    double level(const account_name &account) const;
    // Returns the units that this VM has admitted since its start and the levels, for accounts that are in use.
    std::vector<account_usage> usage() const;

    // Replaces the levels by those of the hub, less what this VM has admitted since the heartbeat that they include. Accounts that the hub does
    // not list have their full level.
    void copyLevels(const std::vector<account_usage> &levels, const std::vector<account_usage> &ownIncluded, time_point now);
    // Takes over the levels of another hub when this VM has no levels of its own yet.
    void learnLevels(const std::vector<account_usage> &levels, time_point now);
    // Makes the next call of learnLevels take effect.
    void forgetLevels() { m_levelsKnown = false; }
    // Debits what other VMs have admitted since the last call. Refunds are negative.
    void debit(const std::vector<account_usage> &admitted, time_point now);

private:
    struct bucket {
        double rate = 0; // Units per second.
        double burst = 0;
        double level = 0;
        time_point refilledAt{};
        double admitted = 0; // Units admitted by this VM.
    };
    void refill(bucket &entry, time_point now) const;
    // Debits the units if the level allows it, and returns the time to wait otherwise.
    std::optional<duration> take(bucket &entry, double units, request_purpose purpose, time_point now) const;
    void setLevels(const std::vector<account_usage> &levels, time_point now);

    std::unordered_map<account_name, bucket> m_buckets;
    double m_tolerance;
    limit_share m_share{.heardVms = 0, .memberVms = 1}; // No VM is known.
    bool m_levelsKnown = false;
    bool m_configured = false;
};

} // namespace plantainpoint
