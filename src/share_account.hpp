// rows of the share table
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "plantainpoint/config.hpp"
#include "plantainpoint/ids.hpp"
#include "token_bucket_share.hpp"

namespace plantainpoint {

// what the owner has granted to one holder
struct granted_share {
    std::int64_t rate = 0; // units
    std::int64_t capacity = 0; // units
    std::int64_t demand = 0; // micro-tokens per second, as the holder last told
};

// a request that the owner could not serve at once
struct pending_share {
    incarnation_id from; // this VM itself included
    std::int64_t needed = 0;
};

// a request to the owner that is not answered yet
struct open_share_request {
    time_point firstSent{};
    time_point lastSent{};
    std::int64_t needed = 0;
};

struct share_account {
    // from the published configuration; without it the limit is zero
    rate_limit limit;

    token_bucket_share bucketShare;
    demand_meter demand;
    time_point backoffUntil{}; // no request is sent, and no recall made, before
    time_point aheadBackoffUntil{}; // the same for requests ahead of need

    // as a holder
    std::int64_t waiting = 0; // micro-tokens that callers wait for
    std::optional<open_share_request> openRequest;
    time_point silentUntil{}; // the owner did not answer

    // as the owner
    std::optional<incarnation_id> ownerId;
    bool complete = false; // the bucket share is the whole minus the ledger
    std::int64_t handedOver = 0; // micro-tokens of leaving VMs, until their units are reclaimed
    std::map<incarnation_id, granted_share> ledger;
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
