// State that the share table keeps per client account.
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

// The amounts that the owner has granted to one holder.
struct granted_share {
    std::int64_t rate = 0; // Units of the limit.
    std::int64_t capacity = 0; // Units of the limit.
    std::int64_t demand = 0; // Micro-tokens per second, as last reported by the holder.
};

// A request that the owner could not serve at once.
struct pending_share_request {
    incarnation_id from; // May be this VM itself.
    std::int64_t needed = 0; // Micro-tokens.
};

// A request to the owner that has not been answered yet.
struct open_share_request {
    time_point firstSent{};
    time_point lastSent{};
    std::int64_t needed = 0; // Micro-tokens.
};

struct share_account {
    // The limit from the published configuration. It is zero if the account is not published.
    rate_limit limit;

    token_bucket_share bucketShare;
    demand_meter demand;
    time_point backoffUntil{}; // No request is sent and no share is recalled before this time.
    time_point aheadBackoffUntil{}; // No request ahead of need is sent before this time.

    // State of a holder.
    std::int64_t waiting = 0; // Micro-tokens that callers wait for.
    std::optional<open_share_request> openRequest;
    time_point ownerSilentUntil{}; // The owner did not answer, so no request is sent to it before this time.

    // State of the owner.
    std::optional<incarnation_id> ownerId;
    bool complete = false; // The bucket share is the full limit minus the ledger.
    std::int64_t handedOver = 0; // Micro-tokens received from leaving VMs whose units are not reclaimed yet.
    std::map<incarnation_id, granted_share> ledger;
    std::vector<pending_share_request> pending;
    std::set<incarnation_id> recalled; // Holders that have not answered a recall.
    time_point recallDeadline{};

    std::int64_t grantedRate() const
    {
        std::int64_t sum = 0;
        for (const auto &[id, granted] : ledger) {
            sum += granted.rate;
        }
        return sum;
    }

    std::int64_t grantedCapacity() const
    {
        std::int64_t sum = 0;
        for (const auto &[id, granted] : ledger) {
            sum += granted.capacity;
        }
        return sum;
    }
};

} // namespace plantainpoint
