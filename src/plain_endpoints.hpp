// choice among the endpoints of plain services, and what this VM has seen of their health
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

    // the endpoint with the fewest open attempts of this VM, of the own data centre among equals. null when the service has none left.
    const endpoint *choose(const service_config &service, const std::vector<endpoint_name> &exclude);

    void opened(const endpoint_name &name);
    void succeeded(const endpoint_name &name);
    // the endpoint is at fault: it is excluded after failures in a row, and then probed with single requests
    void failed(const endpoint_name &name);
    // the attempt ended for another reason
    void closed(const endpoint_name &name);
    bool excluded(const endpoint_name &name) const;

private:
    struct health {
        std::int32_t open = 0;
        std::int32_t failuresInRow = 0;
        time_point excludedUntil{};
    };

    bool usable(const endpoint &candidate) const;

    data_centre_name m_localDataCentre;
    const clock_source &m_clock;
    std::mt19937_64 m_random;
    std::unordered_map<endpoint_name, health> m_health;
};

} // namespace plantainpoint
