// rows of the share table
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "plantainpoint/config.hpp"
#include "plantainpoint/ids.hpp"
#include "token_slice.hpp"

namespace plantainpoint {

// what the home has granted to one holder
struct granted_part {
    std::int64_t rate = 0; // units
    std::int64_t capacity = 0; // units
    std::int64_t demand = 0; // micro-tokens per second, as the holder last told
};

// a request that the home could not serve at once
struct pending_share {
    incarnation_id from; // this VM itself included
    std::int64_t needed = 0;
};

// a request to the home that is not answered yet
struct open_ask {
    time_point firstSent{};
    time_point lastSent{};
    std::int64_t needed = 0;
};

struct share_account {
    // from the published configuration; without it the limit is zero
    rate_limit limit;

    token_slice slice;
    demand_meter demand;
    time_point backoffUntil{}; // no request is sent, and no recall made, before
    time_point earlyBackoffUntil{}; // the same for requests ahead of need

    // as a holder
    std::int64_t waiting = 0; // micro-tokens that callers wait for
    std::optional<open_ask> ask;
    time_point silentUntil{}; // the home did not answer

    // as the home
    std::optional<incarnation_id> home;
    bool complete = false; // the slice is the whole minus the ledger
    std::int64_t handedOver = 0; // micro-tokens of leaving VMs, until their units are reclaimed
    std::map<incarnation_id, granted_part> ledger;
    std::vector<pending_share> pending;
    std::set<incarnation_id> recalled; // holders that have not answered a recall
    time_point recallDeadline{};

    std::int64_t grantedRate() const
    {
        std::int64_t sum = 0;
        for (const auto &[id, part] : ledger) {
            sum += part.rate;
        }
        return sum;
    }

    std::int64_t grantedCapacity() const
    {
        std::int64_t sum = 0;
        for (const auto &[id, part] : ledger) {
            sum += part.capacity;
        }
        return sum;
    }
};

} // namespace plantainpoint
