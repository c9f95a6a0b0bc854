// Pools of the accepted configuration, and for each the VM that places its requests and monitors its endpoints.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "log_state.hpp"
#include "membership.hpp"
#include "scheduler.hpp"

namespace plantainpoint {

struct pool_entry {
    pool_settings settings;
    std::vector<endpoint> endpoints; // Prefill and decode endpoints.
    std::optional<epoch_member> owner;
};

class pool_directory
{
public:
    // Replaces the pools by those of the configuration. onMembersChanged() sets the owners of new pools.
    void onConfiguration(const configuration &config);
    // Updates the owners and returns the pools whose owner has changed.
    std::vector<pool_id> onMembersChanged(const membership &members);

    const pool_entry *find(const pool_id &pool) const;
    // Returns the model's pool in this region, or else in the first region that has one.
    std::optional<pool_id> poolFor(const model_name &model, const region_name &region) const;
    const std::map<pool_id, pool_entry> &pools() const { return m_pools; }

private:
    std::map<pool_id, pool_entry> m_pools;
};

} // namespace plantainpoint
