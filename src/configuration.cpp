#include <algorithm>
#include <cstring>

#include "log_state.hpp"

namespace plantainpoint {

namespace {

std::uint64_t indexOf(const key_digest &digest)
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
auto pointerIn(const Map &map, const Key &key) -> decltype(map.begin()->second.second)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : found->second.second;
}

// name of the other service that defines the entry; empty: none does
template<class Map, class Key>
std::string otherOwner(const Map &map, const Key &key, const service_name &self)
{
    const auto found = map.find(key);
    return found == map.end() || found->second.first->name == self ? std::string{} : found->second.first->name.value;
}

std::string clashText(std::string_view kind, const std::string &name, const std::string &owner)
{
    return std::string{kind} + " " + name + " is defined by service " + owner;
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
    const auto [first, last] = m_keys.equal_range(indexOf(digest));
    for (auto item = first; item != last; ++item) {
        const auto &candidate = *item->second.second;
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
        const auto found = index.find(std::string{key});
        if (found == index.end()) {
            return false;
        }
        const auto &entries = found->second;
        const auto entry = std::find_if(entries.begin(), entries.end(), [&](const route_entry &item) { return item.entry->method == method; });
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
    return pointerIn(m_accounts, name);
}

const endpoint *configuration::findEndpoint(const endpoint_name &name) const
{
    return pointerIn(m_endpoints, name);
}

std::pair<const service_config *, const model_entry *> configuration::findModel(const model_name &name) const
{
    const auto found = m_models.find(name);
    return found == m_models.end() ? std::pair<const service_config *, const model_entry *>{} : found->second;
}

bool configuration::mayCall(const account_name &account, const service_config &service) const
{
    if (!service.clients.empty()) {
        return std::find(service.clients.begin(), service.clients.end(), account) != service.clients.end();
    }
    const auto found = m_accounts.find(account);
    return found != m_accounts.end() && found->second.first->name == service.name;
}

std::uint64_t configuration::versionOf(const service_name &service) const
{
    const auto found = m_versions.find(service);
    return found == m_versions.end() ? 0 : found->second;
}

std::string configuration::conflictOf(const service_config &service) const
{
    for (const auto &entry : service.accounts) {
        if (const auto owner = otherOwner(m_accounts, entry.name, service.name); !owner.empty()) {
            return clashText("account", entry.name.value, owner);
        }
    }
    for (const auto &entry : service.endpoints) {
        if (const auto owner = otherOwner(m_endpoints, entry.name, service.name); !owner.empty()) {
            return clashText("endpoint", entry.name.value, owner);
        }
    }
    for (const auto &entry : service.models) {
        if (const auto owner = otherOwner(m_models, entry.name, service.name); !owner.empty()) {
            return clashText("model", entry.name.value, owner);
        }
    }
    for (const auto &entry : service.keys) {
        const auto [first, last] = m_keys.equal_range(indexOf(entry.digest));
        for (auto item = first; item != last; ++item) {
            const auto &[owner, key] = item->second;
            if (owner->name != service.name && equalInConstantTime(key->digest, entry.digest)) {
                return clashText("key", entry.id, owner->name.value);
            }
        }
    }
    return routeConflictOf(service);
}

// two services may share a model route: the model of a request tells them apart
std::string configuration::routeConflictOf(const service_config &service) const
{
    for (const auto &entry : service.routes) {
        const bool pattern = isPattern(entry.path);
        const auto &index = pattern ? m_prefixRoutes : m_exactRoutes;
        const auto found = index.find(entry.path.substr(0, entry.path.size() - (pattern ? 1 : 0)));
        if (found == index.end()) {
            continue;
        }
        for (const auto &other : found->second) {
            const bool bothModel = other.entry->kind == route_kind::Model && entry.kind == route_kind::Model;
            if (other.service->name != service.name && other.entry->method == entry.method && !bothModel) {
                return clashText("route", entry.method + " " + entry.path, other.service->name.value);
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
            m_keys.emplace(indexOf(entry.digest), std::pair{&service, &entry});
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
