// limits of client accounts over all VMs, from what every VM says it has admitted
#pragma once

#include <unordered_map>
#include <vector>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

// each VM keeps a token bucket of the whole limit and takes off what the others have admitted. two VMs may admit the same units while
// a heartbeat is on its way; the bucket then goes below zero and the excess is paid back before anything else is admitted.
class fleet_limiter
{
public:
    // tolerance: units that each account may have beyond its burst
    explicit fleet_limiter(double tolerance = 0)
        : m_tolerance(tolerance)
    {
    }

    void setAccounts(const std::vector<relay_account> &accounts, time_point now);

    // parts of the fleet whose admissions are known here; the rate shrinks to that part, so that VMs that cannot hear each other
    // together admit no more than the limit
    void setVisibility(std::size_t heard, std::size_t members);

    // empty: admitted. otherwise the time after which the request fits.
    std::optional<duration> admit(const account_name &account, double units, time_point now);
    // the admitted request has not run and never will
    void refund(const account_name &account, double units);

    // what this VM has admitted since its start
    std::vector<account_usage> usage() const;
    // resume: the VM was silent, and its part of the rate was left out meanwhile; only what it admits from now on is taken off
    void onFleetHeartbeat(const fleet_heartbeat &heartbeatMessage, bool resume, time_point now);

private:
    struct bucket {
        double rate = 0; // units per second
        double burst = 0;
        double level = 0;
        time_point refilledAt{};
        double admitted = 0; // by this VM
    };
    struct peer_usage {
        std::uint64_t incarnation = 0;
        std::unordered_map<account_name, double> admitted;
    };

    void refill(bucket &entry, time_point now) const;

    std::unordered_map<account_name, bucket> m_buckets;
    std::unordered_map<vm_name, peer_usage> m_peers;
    double m_tolerance;
    double m_visibility = 1;
};

} // namespace plantainpoint
