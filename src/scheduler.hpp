// Interface of the scheduler, which places the requests of the pools that this VM is responsible for.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/config.hpp"
#include "plantainpoint/messages.hpp"
#include "plantainpoint/peer.hpp"

namespace plantainpoint {

// Settings of a pool, taken from the published configuration.
struct pool_settings {
    pool_id pool;
    fairness_weight fairness = 0.2;
    std::chrono::milliseconds firstTokenTarget{930};
    std::chrono::milliseconds tokenIntervalTarget{36};
    // Relative claims under overload, usually the accounts' rates. An account that is not listed has the weight 1.
    std::map<account_name, double> accountWeights;
};

// A decision that is sent to the VM that requested the placement.
struct placement_decision {
    incarnation_id to;
    std::variant<placement, placement_refusal> body;
    std::string reason; // Goes into the record of decisions.
};

// Places requests on the endpoints of its pools. The replaceable parts of the policy are template parameters of pool_scheduler.
class scheduler
{
public:
    explicit scheduler(const clock_source &clock);
    ~scheduler();

    // Adds or changes a pool and its prefill and decode endpoints. Endpoints that are no longer listed get no new work.
    void setPool(const pool_settings &settings, const std::vector<endpoint> &endpoints);
    void removePool(const pool_id &pool);
    bool owns(const pool_id &pool) const;

    // Takes over a pool that this VM has become responsible for. Nothing is placed before all members have synced or the wait has timed out.
    void takeOver(const pool_id &pool, const std::vector<incarnation_id> &members);
    void onSync(const incarnation_id &from, const ledger_sync &message);

    void enqueue(const incarnation_id &from, const place_request &message);
    void onProgress(const placement_progress &message);
    // Closes a finished attempt, or withdraws a request that is still queued.
    void onDone(const placement_done &message);
    void onLoad(const load_report &report);
    void onCacheEvents(const cache_events &events);
    void onEndpointRemoved(const endpoint_name &name);
    // Removes the queue entries and reservations of an incarnation that has ended.
    void onVmRemoved(const incarnation_id &id);

    // Returns the decisions that can be taken now.
    std::vector<placement_decision> run();
    // Returns the time at which run() is due.
    time_point nextRun() const;

    nlohmann::json status() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace plantainpoint
