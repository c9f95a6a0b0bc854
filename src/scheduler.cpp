#include "scheduler.hpp"

#include <algorithm>
#include <unordered_map>

#include "scheduler_pool.hpp"

namespace plantainpoint {

using production_pool = pool_scheduler<production_policy>;

struct scheduler::state {
    explicit state(const clock_source &clock)
        : clock(clock)
    {
    }

    production_pool *find(const pool_id &pool)
    {
        const auto it = pools.find(pool);
        return it == pools.end() ? nullptr : it->second.get();
    }

    // Returns the pool of an endpoint, or null when no pool has it.
    production_pool *findByEndpoint(const endpoint_name &name)
    {
        const auto it = poolByEndpoint.find(name);
        return it == poolByEndpoint.end() ? nullptr : find(it->second);
    }

    const clock_source &clock;
    std::map<pool_id, std::unique_ptr<production_pool>> pools;
    std::unordered_map<endpoint_name, pool_id> poolByEndpoint;
    std::vector<placement_decision> decisions;
};

scheduler::scheduler(const clock_source &clock)
    : m_state(std::make_unique<state>(clock))
{
}

scheduler::~scheduler() = default;

void scheduler::setPool(const pool_settings &settings, const std::vector<endpoint> &endpoints)
{
    auto &pool = m_state->pools[settings.pool];
    if (!pool) {
        pool = std::make_unique<production_pool>();
    }
    for (const auto &config : endpoints) {
        m_state->poolByEndpoint[config.name] = settings.pool;
    }
    pool->configure(settings, endpoints, m_state->clock.now());
}

void scheduler::removePool(const pool_id &pool)
{
    m_state->pools.erase(pool);
    std::erase_if(m_state->poolByEndpoint, [&](const auto &entry) { return entry.second == pool; });
}

bool scheduler::owns(const pool_id &pool) const
{
    return m_state->pools.contains(pool);
}

void scheduler::takeOver(const pool_id &pool, const std::vector<incarnation_id> &members)
{
    if (auto *const poolScheduler = m_state->find(pool)) {
        poolScheduler->takeOver(members, m_state->clock.now());
    }
}

void scheduler::onSync(const incarnation_id &from, const ledger_sync &message)
{
    if (auto *const poolScheduler = m_state->find(message.pool)) {
        poolScheduler->onSync(from, message, m_state->clock.now());
    }
}

void scheduler::enqueue(const incarnation_id &from, const place_request &message)
{
    if (auto *const poolScheduler = m_state->find(message.pool)) {
        poolScheduler->enqueue(from, message, m_state->clock.now(), m_state->decisions);
        return;
    }
    m_state->decisions.push_back(
        {from, placement_refusal{message.label, message.attempt, failure::NoEndpoint, std::chrono::seconds(1)}, "this VM is not the scheduler of the pool"});
}

void scheduler::onProgress(const placement_progress &message)
{
    if (auto *const poolScheduler = m_state->find(message.pool)) {
        poolScheduler->onProgress(message, m_state->clock.now());
    }
}

void scheduler::onDone(const placement_done &message)
{
    if (auto *const poolScheduler = m_state->find(message.pool)) {
        poolScheduler->onDone(message, m_state->clock.now());
    }
}

void scheduler::onLoad(const load_report &report)
{
    if (auto *const poolScheduler = m_state->findByEndpoint(report.endpoint)) {
        poolScheduler->onLoad(report, m_state->clock.now());
    }
}

void scheduler::onCacheEvents(const cache_events &events)
{
    if (auto *const poolScheduler = m_state->findByEndpoint(events.endpoint)) {
        poolScheduler->onCacheEvents(events);
    }
}

void scheduler::onEndpointRemoved(const endpoint_name &name)
{
    if (auto *const poolScheduler = m_state->findByEndpoint(name)) {
        poolScheduler->onEndpointRemoved(name, m_state->clock.now());
    }
}

void scheduler::onVmRemoved(const incarnation_id &id)
{
    for (auto &[name, pool] : m_state->pools) {
        pool->onVmRemoved(id, m_state->clock.now());
    }
}

std::vector<placement_decision> scheduler::run()
{
    for (auto &[name, pool] : m_state->pools) {
        pool->run(m_state->clock.now(), m_state->decisions);
    }
    return std::exchange(m_state->decisions, {});
}

time_point scheduler::nextRun() const
{
    if (!m_state->decisions.empty()) {
        return m_state->clock.now();
    }
    auto next = time_point::max();
    for (const auto &[name, pool] : m_state->pools) {
        next = std::min(next, pool->nextRun());
    }
    return next;
}

nlohmann::json scheduler::status() const
{
    auto out = nlohmann::json::object();
    for (const auto &[name, pool] : m_state->pools) {
        out[name.model.value + "@" + name.region.value] = pool->status();
    }
    return out;
}

} // namespace plantainpoint
