// Indexes of a configuration by host, key and service for the lookups of requests.
#pragma once

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "plantainpoint/relay_config.hpp"

namespace plantainpoint {

class route_table
{
public:
    explicit route_table(std::shared_ptr<const relay_config> config);

    std::uint64_t version() const { return m_config->version; }
    const relay_config &config() const { return *m_config; }

    // Returns the route of the host with the longest matching path prefix, or null when no route matches.
    const relay_route *find(std::string_view host, std::string_view target) const;
    // Returns the account that a key belongs to, or null for an unknown key.
    const relay_account *accountOf(const key_digest &key) const;
    const relay_service *service(const service_name &name) const;
    bool keyed() const { return !m_config->accounts.empty(); }

private:
    std::shared_ptr<const relay_config> m_config;
    std::unordered_map<std::string, std::vector<const relay_route *>> m_byHost; // Routes by host, with the longest path prefix first.
    std::map<key_digest, const relay_account *> m_byKey;
    std::unordered_map<service_name, const relay_service *> m_services;
};

// Chooses the service of a request. Requests are spread according to the weights.
const service_name &chooseService(const relay_route &route, std::string_view requestId);

} // namespace plantainpoint
