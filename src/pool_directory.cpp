#include "pool_directory.hpp"

namespace plantainpoint {

namespace {

// Returns the key from which the owner is chosen. It is the same on every VM, so that all choose the same owner.
std::string ownerKey(const pool_id &pool)
{
    return "pool/" + pool.model.value + "/" + pool.region.value;
}

} // namespace

void pool_directory::onConfiguration(const configuration &config)
{
    std::map<pool_id, pool_entry> pools;
    for (const auto &[name, service] : config.services()) {
        for (const auto &worker : service.endpoints) {
            if (worker.role == endpoint_role::Plain || worker.model.empty()) {
                continue;
            }
            const pool_id id{worker.model, worker.region};
            auto &entry = pools[id];
            entry.settings = pool_settings{id, service.fairness, service.firstTokenTarget, service.tokenIntervalTarget};
            entry.endpoints.push_back(worker);
        }
    }
    for (auto &[id, entry] : pools) {
        const auto *const previous = find(id);
        if (previous != nullptr) {
            entry.owner = previous->owner;
        }
    }
    m_pools = std::move(pools);
}

std::vector<pool_id> pool_directory::onMembersChanged(const membership &members)
{
    std::vector<pool_id> changedPools;
    for (auto &[id, entry] : m_pools) {
        auto owner = members.ownerOf(ownerKey(id));
        const bool sameOwner = owner.has_value() == entry.owner.has_value() && (!owner || owner->id == entry.owner->id);
        entry.owner = std::move(owner);
        if (!sameOwner) {
            changedPools.push_back(id);
        }
    }
    return changedPools;
}

const pool_entry *pool_directory::find(const pool_id &pool) const
{
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? nullptr : &it->second;
}

std::optional<pool_id> pool_directory::poolFor(const model_name &model, const region_name &region) const
{
    pool_id regionalPool{model, region};
    if (m_pools.contains(regionalPool)) {
        return regionalPool;
    }
    const auto first = m_pools.lower_bound(pool_id{model, region_name{}});
    if (first == m_pools.end() || first->first.model != model) {
        return std::nullopt;
    }
    return first->first;
}

} // namespace plantainpoint
