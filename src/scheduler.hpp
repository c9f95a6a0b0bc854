// places the requests of the pools that this VM is responsible for
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

// per pool, from the published configuration
struct pool_settings {
    pool_id pool;
    fairness_weight fairness = 0.2;
    std::chrono::milliseconds firstTokenTarget{930};
    std::chrono::milliseconds tokenIntervalTarget{36};
    std::map<account_name, double> accountWeights; // relative claims under overload, usually the accounts' rates; unlisted accounts weigh 1
};

// a decision to be sent to the VM that asked
struct placement_decision {
    incarnation_id to;
    std::variant<placement, placement_refusal> body;
    std::string reason; // for the record of decisions
};

// replaceable parts of the policy are template parameters of the implementation; see scheduler.cpp
class scheduler
{
public:
    explicit scheduler(const clock_source &clock);
    ~scheduler();

    // adds or changes a pool and its prefill and decode endpoints; endpoints that are missing get no new work
    void setPool(const pool_settings &settings, const std::vector<endpoint> &endpoints);
    void removePool(const pool_id &pool);
    bool owns(const pool_id &pool) const;

    // this VM has newly become responsible: nothing is placed before the members have synced or the wait is over
    void takeOver(const pool_id &pool, const std::vector<incarnation_id> &members);
    void onSync(const incarnation_id &from, const ledger_sync &message);

    void enqueue(const incarnation_id &from, const place_request &message);
    void onProgress(const placement_progress &message);
    // also withdraws a request that is still queued
    void onDone(const placement_done &message);
    void onLoad(const load_report &report);
    void onCacheEvents(const cache_events &events);
    void onEndpointGone(const endpoint_name &name);
    // the incarnation has died: its queue entries and reservations end
    void onVmGone(const incarnation_id &id);

    // decides what can be decided now
    std::vector<placement_decision> run();
    time_point nextRun() const;

    nlohmann::json status() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace plantainpoint
