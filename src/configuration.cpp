#include <algorithm>
#include <cstring>

#include "log_state.hpp"

namespace plantainpoint {

namespace {

std::uint64_t digestPrefix(const key_digest &digest)
{
    std::uint64_t index = 0;
    std::memcpy(&index, digest.data(), sizeof index);
    return index;
}

bool isPattern(std::string_view path)
{
    return path.ends_with('*');
}

template<class Map, class Key>
auto findPointer(const Map &map, const Key &key) -> decltype(map.begin()->second.second)
{
    const auto it = map.find(key);
    return it == map.end() ? nullptr : it->second.second;
}

// Returns the name of the other service that defines the entry, or an empty string if no other service does.
template<class Map, class Key>
std::string otherDefiningService(const Map &map, const Key &key, const service_name &serviceName)
{
    const auto it = map.find(key);
    return it == map.end() || it->second.first->name == serviceName ? std::string{} : it->second.first->name.value;
}

std::string conflictText(std::string_view kind, const std::string &name, const std::string &definingService)
{
    return std::string{kind} + " " + name + " is defined by service " + definingService;
}

} // namespace

configuration::configuration(const configuration &other)
    : m_services(other.m_services)
    , m_versions(other.m_versions)
{
    rebuild();
}

configuration &configuration::operator=(const configuration &other)
{
    configuration copy(other);
    return *this = std::move(copy);
}

std::optional<account_key> configuration::findKey(const key_digest &digest) const
{
    std::optional<account_key> match;
    const auto [first, last] = m_keys.equal_range(digestPrefix(digest));
    for (auto it = first; it != last; ++it) {
        const auto &candidate = *it->second.second;
        if (equalInConstantTime(candidate.digest, digest)) {
            match = candidate;
        }
    }
    return match;
}

route_match configuration::findRoute(std::string_view method, std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    route_match match;
    const auto search = [&](const route_index &index, std::string_view key) {
        const auto it = index.find(std::string{key});
        if (it == index.end()) {
            return false;
        }
        const auto &entries = it->second;
        const auto entry = std::find_if(entries.begin(), entries.end(), [&](const route_entry &candidate) { return candidate.entry->method == method; });
        match.methodMismatch = match.methodMismatch || entry == entries.end();
        if (entry == entries.end()) {
            return false;
        }
        match = {entry->service, entry->entry, false};
        return true;
    };
    if (search(m_exactRoutes, path)) {
        return match;
    }
    for (const auto length : m_prefixLengths) {
        if (length <= path.size() && search(m_prefixRoutes, path.substr(0, length))) {
            return match;
        }
    }
    return match;
}

const client_account *configuration::findAccount(const account_name &name) const
{
    return findPointer(m_accounts, name);
}

const endpoint *configuration::findEndpoint(const endpoint_name &name) const
{
    return findPointer(m_endpoints, name);
}

std::pair<const service_config *, const model_entry *> configuration::findModel(const model_name &name) const
{
    const auto it = m_models.find(name);
    return it == m_models.end() ? std::pair<const service_config *, const model_entry *>{} : it->second;
}

bool configuration::mayCall(const account_name &account, const service_config &service) const
{
    if (!service.clients.empty()) {
        return std::find(service.clients.begin(), service.clients.end(), account) != service.clients.end();
    }
    const auto it = m_accounts.find(account);
    return it != m_accounts.end() && it->second.first->name == service.name;
}

std::uint64_t configuration::versionOf(const service_name &service) const
{
    const auto it = m_versions.find(service);
    return it == m_versions.end() ? 0 : it->second;
}

std::string configuration::conflictOf(const service_config &service) const
{
    for (const auto &entry : service.accounts) {
        if (const auto definingService = otherDefiningService(m_accounts, entry.name, service.name); !definingService.empty()) {
            return conflictText("account", entry.name.value, definingService);
        }
    }
    for (const auto &entry : service.endpoints) {
        if (const auto definingService = otherDefiningService(m_endpoints, entry.name, service.name); !definingService.empty()) {
            return conflictText("endpoint", entry.name.value, definingService);
        }
    }
    for (const auto &entry : service.models) {
        if (const auto definingService = otherDefiningService(m_models, entry.name, service.name); !definingService.empty()) {
            return conflictText("model", entry.name.value, definingService);
        }
    }
    for (const auto &entry : service.keys) {
        const auto [first, last] = m_keys.equal_range(digestPrefix(entry.digest));
        for (auto it = first; it != last; ++it) {
            const auto &[definingService, key] = it->second;
            if (definingService->name != service.name && equalInConstantTime(key->digest, entry.digest)) {
                return conflictText("key", entry.id, definingService->name.value);
            }
        }
    }
    return routeConflictOf(service);
}

// Two services may share a model route, as the model that a request names determines the service.
std::string configuration::routeConflictOf(const service_config &service) const
{
    for (const auto &entry : service.routes) {
        const bool pattern = isPattern(entry.path);
        const auto &index = pattern ? m_prefixRoutes : m_exactRoutes;
        const auto it = index.find(entry.path.substr(0, entry.path.size() - (pattern ? 1 : 0)));
        if (it == index.end()) {
            continue;
        }
        for (const auto &existing : it->second) {
            const bool bothModel = existing.entry->kind == route_kind::Model && entry.kind == route_kind::Model;
            if (existing.service->name != service.name && existing.entry->method == entry.method && !bothModel) {
                return conflictText("route", entry.method + " " + entry.path, existing.service->name.value);
            }
        }
    }
    return {};
}

void configuration::install(const service_name &name, std::optional<service_config> service, std::uint64_t version)
{
    if (service) {
        m_services[name] = std::move(*service);
    } else {
        m_services.erase(name);
    }
    m_versions[name] = version;
    rebuild();
}

void configuration::restore(std::map<service_name, service_config> services, std::map<service_name, std::uint64_t> versions)
{
    m_services = std::move(services);
    m_versions = std::move(versions);
    rebuild();
}

void configuration::rebuild()
{
    m_keys.clear();
    m_accounts.clear();
    m_endpoints.clear();
    m_models.clear();
    m_exactRoutes.clear();
    m_prefixRoutes.clear();
    m_prefixLengths.clear();
    for (const auto &[name, service] : m_services) {
        for (const auto &entry : service.keys) {
            m_keys.emplace(digestPrefix(entry.digest), std::pair{&service, &entry});
        }
        for (const auto &entry : service.accounts) {
            m_accounts.emplace(entry.name, std::pair{&service, &entry});
        }
        for (const auto &entry : service.endpoints) {
            m_endpoints.emplace(entry.name, std::pair{&service, &entry});
        }
        for (const auto &entry : service.models) {
            m_models.emplace(entry.name, std::pair{&service, &entry});
        }
        for (const auto &entry : service.routes) {
            if (isPattern(entry.path)) {
                m_prefixRoutes[entry.path.substr(0, entry.path.size() - 1)].push_back({&service, &entry});
                m_prefixLengths.insert(entry.path.size() - 1);
            } else {
                m_exactRoutes[entry.path].push_back({&service, &entry});
            }
        }
    }
}

} // namespace plantainpoint
