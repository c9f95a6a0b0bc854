// prefill and decode workers of a pool, indexed so that a choice costs O(log workers)
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "plantainpoint/config.hpp"
#include "scheduler_health.hpp"

namespace plantainpoint {

using worker_index = std::uint32_t;

inline duration secondsToDuration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

inline double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

struct prefill_worker {
    endpoint config;
    endpoint_health health;
    time_point busyUntil{}; // expected end of the interactive work sent
    time_point allBusyUntil{}; // batch work included
    duration interactiveWork{}; // sent and not finished
    duration allWork{};
    duration transfers{}; // expected time of the transfers that are not finished
    double slowness = 1.0; // observed over expected duration
    std::int32_t open = 0; // prefills sent and not finished

    duration workOf(double tokens) const { return secondsToDuration(tokens * slowness / static_cast<double>(config.prefillTokensPerSecond)); }
    duration transferOf(std::int32_t tokens) const
    {
        return secondsToDuration(static_cast<double>(tokens) * static_cast<double>(config.kvBytesPerToken) / static_cast<double>(config.linkBytesPerSecond));
    }
};

struct decode_worker {
    endpoint config;
    endpoint_health health;
    std::int32_t slotLimit = 0; // requests that run within the token interval target
    std::int32_t used = 0; // reserved by this scheduler
    std::int32_t usedKvBlocks = 0;
    std::int32_t foreignSlots = 0; // held by others, by the last load report
    std::int32_t foreignKvBlocks = 0;
    std::int32_t running = 0; // requests whose decode has started
    duration transfers{};
    double runningSeconds = 0; // integral of running over time
    time_point runningSince{};

    std::int32_t freeSlots() const { return slotLimit - used - foreignSlots; }
    std::int32_t freeKvBlocks() const { return config.kvBlocks - usedKvBlocks - foreignKvBlocks; }

    double runningIntegral(time_point now) const { return runningSeconds + running * toSeconds(now - runningSince); }
    void addRunning(std::int32_t change, time_point now)
    {
        runningSeconds = runningIntegral(now);
        runningSince = now;
        running += change;
    }
};

// common part: names to indices, and endpoints that return after an exclusion
template<class Worker>
class worker_table
{
public:
    std::optional<worker_index> find(const endpoint_name &name) const
    {
        const auto found = m_byName.find(name);
        return found == m_byName.end() ? std::nullopt : std::optional{found->second};
    }

    const Worker &operator[](worker_index index) const { return m_workers[index]; }
    Worker &edit(worker_index index) { return m_workers[index]; }
    std::size_t size() const { return m_workers.size(); }
    const std::vector<Worker> &all() const { return m_workers; }

protected:
    worker_index insert(const endpoint &config)
    {
        const auto [at, added] = m_byName.try_emplace(config.name, static_cast<worker_index>(m_workers.size()));
        if (added) {
            m_workers.emplace_back();
        }
        return at->second;
    }

    std::vector<Worker> m_workers;
    std::unordered_map<endpoint_name, worker_index> m_byName;
};

class prefill_table : public worker_table<prefill_worker>
{
public:
    worker_index configure(const endpoint &config, time_point now)
    {
        const auto index = insert(config);
        m_workers[index].config = config;
        m_workers[index].health.setConfigured(config.condition == endpoint_condition::Ready);
        m_keys.resize(m_workers.size());
        refresh(index, now);
        return index;
    }

    // brings the index up to date after an edit
    void refresh(worker_index index, time_point now)
    {
        const auto &worker = m_workers[index];
        auto &key = m_keys[index];
        if (key) {
            m_byBusy.erase({*key, index});
            key.reset();
        }
        if (worker.health.usable(now, worker.open)) {
            key = worker.busyUntil;
            m_byBusy.emplace(*key, index);
        }
    }

    // usable workers, least queued interactive work first
    const std::set<std::pair<time_point, worker_index>> &byBusy() const { return m_byBusy; }
    bool usable(worker_index index) const { return m_keys[index].has_value(); }

private:
    std::vector<std::optional<time_point>> m_keys;
    std::set<std::pair<time_point, worker_index>> m_byBusy;
};

// workers with a free slot, in classes of relative load; within a class by free KV blocks
class decode_table : public worker_table<decode_worker>
{
public:
    worker_index configure(const endpoint &config, time_point now)
    {
        const auto index = insert(config);
        auto &worker = m_workers[index];
        if (worker.slotLimit == 0 || worker.config.slots != config.slots) {
            worker.slotLimit = config.slots;
        }
        worker.config = config;
        worker.health.setConfigured(config.condition == endpoint_condition::Ready);
        m_entries.resize(m_workers.size());
        refresh(index, now);
        return index;
    }

    void refresh(worker_index index, time_point now)
    {
        const auto &worker = m_workers[index];
        auto &entry = m_entries[index];
        remove(entry, index);
        if (!worker.health.usable(now, worker.used)) {
            return;
        }
        entry.limit = worker.slotLimit;
        entry.free = std::max(0, worker.freeSlots());
        m_totalSlots += entry.limit;
        m_freeSlots += entry.free;
        if (entry.free == 0) {
            return;
        }
        entry.level = levelOf(worker);
        entry.kvBlocks = worker.freeKvBlocks();
        m_levels[entry.level].emplace(entry.kvBlocks, index);
        m_nonEmpty |= std::uint64_t{1} << entry.level;
    }

    // the worker of least relative load whose KV blocks fit
    template<class Accept>
    std::optional<worker_index> leastLoaded(std::int32_t kvBlocks, Accept accept) const
    {
        for (auto mask = m_nonEmpty; mask != 0; mask &= mask - 1) {
            const auto &level = m_levels[std::countr_zero(mask)];
            std::int32_t tried = 0;
            for (auto at = level.rbegin(); at != level.rend() && at->first >= kvBlocks && tried < triesPerLevel; ++at, ++tried) {
                if (accept(at->second)) {
                    return at->second;
                }
            }
        }
        return std::nullopt;
    }

    std::int32_t freeSlots() const { return m_freeSlots; }
    std::int32_t totalSlots() const { return m_totalSlots; }
    bool usable(worker_index index) const { return m_entries[index].limit > 0; }

private:
    static constexpr int levels = 64;
    // a request avoids few endpoints, so that a handful of tries finds another one
    static constexpr std::int32_t triesPerLevel = 4;

    struct entry {
        int level = -1;
        std::int32_t kvBlocks = 0;
        std::int32_t limit = 0;
        std::int32_t free = 0;
    };

    static int levelOf(const decode_worker &worker)
    {
        return std::clamp((worker.used + worker.foreignSlots) * levels / std::max(1, worker.slotLimit), 0, levels - 1);
    }

    void remove(entry &at, worker_index index)
    {
        m_totalSlots -= at.limit;
        m_freeSlots -= at.free;
        if (at.level >= 0) {
            auto &level = m_levels[at.level];
            level.erase({at.kvBlocks, index});
            if (level.empty()) {
                m_nonEmpty &= ~(std::uint64_t{1} << at.level);
            }
        }
        at = entry{};
    }

    std::vector<entry> m_entries;
    std::array<std::set<std::pair<std::int32_t, worker_index>>, levels> m_levels;
    std::uint64_t m_nonEmpty = 0;
    std::int32_t m_freeSlots = 0;
    std::int32_t m_totalSlots = 0;
};

} // namespace plantainpoint
