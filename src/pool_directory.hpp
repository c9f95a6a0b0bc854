// pools of the accepted configuration, and the VM that places and watches for each
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
    std::vector<endpoint> endpoints; // prefill and decode
    std::optional<epoch_member> owner;
};

class pool_directory
{
public:
    // takes the pools of the configuration; owners are set by onLive()
    void onConfiguration(const configuration &config);
    // pools whose owner differs from before
    std::vector<pool_id> onLive(const membership &members);

    const pool_entry *find(const pool_id &pool) const;
    // the model's pool in this region, else in the first region that has one
    std::optional<pool_id> poolFor(const model_name &model, const region_name &region) const;
    const std::map<pool_id, pool_entry> &pools() const { return m_pools; }

private:
    std::map<pool_id, pool_entry> m_pools;
};

} // namespace plantainpoint
