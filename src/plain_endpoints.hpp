// Selects endpoints of plain services, based on the health that this VM observed.
#pragma once

#include <random>
#include <unordered_map>
#include <vector>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/config.hpp"

namespace plantainpoint {

class plain_endpoints
{
public:
    plain_endpoints(data_centre_name localDataCentre, std::uint64_t seed, const clock_source &clock);

    // Returns the usable endpoint with the fewest consecutive failures, then the fewest open attempts of this VM, preferring the local data
    // centre among equals. Returns null if the service has none left.
    const endpoint *choose(const service_config &service, const std::vector<endpoint_name> &exclude);

    void opened(const endpoint_name &name);
    void succeeded(const endpoint_name &name);
    // Records a fault of the endpoint, which is excluded after several consecutive failures and then probed with single requests.
    void failed(const endpoint_name &name);
    // Records that an attempt ended for another reason.
    void closed(const endpoint_name &name);
    bool excluded(const endpoint_name &name) const;

private:
    struct health {
        std::int32_t open = 0;
        std::int32_t consecutiveFailures = 0;
        time_point excludedUntil{};
    };

    bool usable(const endpoint &candidate) const;

    data_centre_name m_localDataCentre;
    const clock_source &m_clock;
    std::mt19937_64 m_random;
    std::unordered_map<endpoint_name, health> m_health;
};

} // namespace plantainpoint
