// Enforces the limits of client accounts over all VMs, based on the admissions that every VM reports.
#pragma once

#include <unordered_map>
#include <vector>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

// Keeps a token bucket with the full limit of each account and debits what the other VMs have admitted. Two VMs may admit the same units
// while a heartbeat is in transit. The bucket level then becomes negative, and nothing is admitted until the excess has been refilled.
class fleet_limiter
{
public:
    // The tolerance is the number of units that each account may use beyond its burst.
    explicit fleet_limiter(double tolerance = 0)
        : m_tolerance(tolerance)
    {
    }

    void setAccounts(const std::vector<relay_account> &accounts, time_point now);

    // Sets the fraction of the fleet whose admissions are known to this VM. The rate is reduced to this fraction, so that VMs that receive
    // no heartbeats from each other admit no more than the limit together.
    void setVisibility(std::size_t heardVms, std::size_t memberVms);

    // Returns nothing if the request is admitted, otherwise the time after which it can be admitted.
    std::optional<duration> admit(const account_name &account, double units, time_point now);
    // Returns the units of an admitted request that has not run and never will.
    void refund(const account_name &account, double units);

    // Returns the units that this VM would still admit, as of the last request or report. It is 0 for an unknown account.
    double level(const account_name &account) const;
    // Returns the units that this VM has admitted since its start and the levels, for accounts that are in use.
    std::vector<account_usage> usage() const;
    // Lowers the levels to those of another VM. A VM that has just started would grant the burst once more.
    void adoptLevels(const std::vector<account_usage> &usage, time_point now);
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

    std::unordered_map<account_name, bucket> m_buckets;
    double m_tolerance;
    double m_heardFraction = 1;
};

} // namespace plantainpoint
