#include "route_table.hpp"

#include <algorithm>
#include <utility>

namespace plantainpoint {

namespace {

std::string lowered(std::string_view text)
{
    std::string out{text};
    std::transform(out.begin(), out.end(), out.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; });
    return out;
}

// host names compare without case and without port
std::string hostKey(std::string_view host)
{
    return lowered(host.substr(0, host.rfind(':') == std::string_view::npos ? host.size() : host.rfind(':')));
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
    const auto found = m_byHost.find(hostKey(host));
    if (found == m_byHost.end()) {
        return nullptr;
    }
    const auto path = target.substr(0, target.find('?'));
    const auto &routes = found->second;
    const auto match = std::find_if(routes.begin(), routes.end(), [&](const auto *route) { return path.starts_with(route->pathPrefix); });
    return match == routes.end() ? nullptr : *match;
}

const relay_account *route_table::accountOf(const key_digest &key) const
{
    // the tree orders by digest, so its comparisons say nothing about the key itself
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() || !equalInConstantTime(found->first, key) ? nullptr : found->second;
}

const relay_service *route_table::service(const service_name &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

const service_name &chooseService(const relay_route &route, std::string_view requestId)
{
    std::int64_t total = 0;
    for (const auto &each : route.services) {
        total += each.weight;
    }
    auto at = total > 0 ? static_cast<std::int64_t>(stableHash(requestId) % static_cast<std::uint64_t>(total)) : 0;
    for (const auto &each : route.services) {
        if (at < each.weight) {
            return each.service;
        }
        at -= each.weight;
    }
    return route.services.front().service;
}

} // namespace plantainpoint
