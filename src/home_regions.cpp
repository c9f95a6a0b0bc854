#include "home_regions.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

bool contains(const std::vector<region_name> &homes, const region_name &region)
{
    return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
}

std::string listText(const std::vector<region_name> &homes)
{
    std::string out;
    for (const auto &home : homes) {
        out += (out.empty() ? "" : ",") + home.value;
    }
    return out;
}

} // namespace

bool home_regions::allow(const data_centre_name &dataCentre) const
{
    if (!bind()) {
        return true;
    }
    const auto region = m_regions.find(dataCentre);
    return region != m_regions.end() && contains(m_route, region->second) && contains(m_account, region->second);
}

std::string home_regions::text() const
{
    std::string out = m_route.empty() ? std::string{} : listText(m_route) + " of the route";
    if (!m_account.empty()) {
        out += (out.empty() ? "" : " and ") + listText(m_account) + " of the account";
    }
    return out;
}

} // namespace plantainpoint
