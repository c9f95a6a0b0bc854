// Regions that a request, its body on the way and its KV cache may not leave.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "plantainpoint/relay_config.hpp"

namespace plantainpoint {

// The homes of one request: those of its route and those of its account. Where both have homes, a data centre has to be in a home of each.
class home_regions
{
public:
    // Neither the route nor the regions may be destroyed before this object. The account may be null.
    home_regions(const relay_route &route, const relay_account *account, const std::map<data_centre_name, region_name> &regions)
        : m_route(route.homes)
        , m_account(account != nullptr ? account->homes : noHomes)
        , m_regions(regions)
    {
    }

    // Returns whether the request may go to some regions only.
    bool bind() const { return !m_route.empty() || !m_account.empty(); }
    // Returns whether the request may go to a data centre. One whose region is not known is in no home.
    bool allow(const data_centre_name &dataCentre) const;
    // Returns the homes for a message, such as "a,b of the route and b,c of the account".
    std::string text() const;

private:
    static inline const std::vector<region_name> noHomes;

    const std::vector<region_name> &m_route;
    const std::vector<region_name> &m_account;
    const std::map<data_centre_name, region_name> &m_regions;
};

} // namespace plantainpoint
