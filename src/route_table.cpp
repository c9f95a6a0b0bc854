#include "route_table.hpp"

#include <algorithm>
#include <utility>

namespace plantainpoint {

namespace {

std::string toLowerCase(std::string_view text)
{
    std::string out{text};
    std::transform(out.begin(), out.end(), out.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; });
    return out;
}

// Returns the host name in lower case and without the port.
std::string hostKey(std::string_view host)
{
    return toLowerCase(host.substr(0, host.rfind(':') == std::string_view::npos ? host.size() : host.rfind(':')));
}

} // namespace

route_table::route_table(std::shared_ptr<const relay_config> config)
    : m_config(std::move(config))
{
    for (const auto &route : m_config->routes) {
        m_byHost[hostKey(route.host)].push_back(&route);
    }
    for (auto &[host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const auto *a, const auto *b) { return a->pathPrefix.size() > b->pathPrefix.size(); });
    }
    for (const auto &account : m_config->accounts) {
        for (const auto &key : account.keys) {
            m_byKey.emplace(key, &account);
        }
    }
    for (const auto &service : m_config->services) {
        m_services.emplace(service.name, &service);
    }
}

const relay_route *route_table::find(std::string_view host, std::string_view target) const
{
    const auto it = m_byHost.find(hostKey(host));
    if (it == m_byHost.end()) {
        return nullptr;
    }
    const auto path = target.substr(0, target.find('?'));
    const auto &routes = it->second;
    const auto match = std::find_if(routes.begin(), routes.end(), [&](const auto *route) { return path.starts_with(route->pathPrefix); });
    return match == routes.end() ? nullptr : *match;
}

const relay_account *route_table::accountOf(const key_digest &key) const
{
    // The map compares digests, so the time of its comparisons reveals nothing about the key itself.
    const auto it = m_byKey.find(key);
    return it == m_byKey.end() || !equalInConstantTime(it->first, key) ? nullptr : it->second;
}

const relay_service *route_table::service(const service_name &name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : it->second;
}

const service_name &chooseService(const relay_route &route, std::string_view requestId)
{
    std::int64_t total = 0;
    for (const auto &candidate : route.services) {
        total += candidate.weight;
    }
    auto offset = total > 0 ? static_cast<std::int64_t>(stableHash(requestId) % static_cast<std::uint64_t>(total)) : 0;
    for (const auto &candidate : route.services) {
        if (offset < candidate.weight) {
            return candidate.service;
        }
        offset -= candidate.weight;
    }
    return route.services.front().service;
}

} // namespace plantainpoint
