// Prefill and decode workers of a pool, indexed so that a selection costs O(log workers).
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
    time_point interactiveBusyUntil{}; // Expected end of the interactive work that was sent.
    time_point allBusyUntil{}; // Expected end of all work that was sent, with batch work.
    duration pendingInteractiveWork{}; // Interactive work that was sent and has not finished.
    duration pendingWork{}; // All work that was sent and has not finished.
    duration pendingTransferTime{}; // Expected time of the transfers that have not finished.
    double slowdown = 1.0; // Ratio of the observed to the expected duration.
    std::int32_t openPrefills = 0; // Prefills that were sent and have not finished.

    duration prefillTimeOf(double tokens) const { return secondsToDuration(tokens * slowdown / static_cast<double>(config.prefillTokensPerSecond)); }
    duration transferTimeOf(std::int32_t tokens) const
    {
        return secondsToDuration(static_cast<double>(tokens) * static_cast<double>(config.kvBytesPerToken) / static_cast<double>(config.linkBytesPerSecond));
    }
};

struct decode_worker {
    endpoint config;
    endpoint_health health;
    std::int32_t slotLimit = 0; // Number of requests that can run within the token interval target.
    std::int32_t reservedSlots = 0; // Slots reserved by this scheduler.
    std::int32_t reservedKvBlocks = 0;
    std::int32_t slotsHeldByOthers = 0; // Slots held by others according to the last load report.
    std::int32_t kvBlocksHeldByOthers = 0;
    std::int32_t running = 0; // Requests whose decode has started.
    duration pendingTransferTime{};
    double runningRequestSeconds = 0; // Integral of the running requests over time, in seconds.
    time_point runningSince{};

    std::int32_t freeSlots() const { return slotLimit - reservedSlots - slotsHeldByOthers; }
    std::int32_t freeKvBlocks() const { return config.kvBlocks - reservedKvBlocks - kvBlocksHeldByOthers; }

    double runningIntegral(time_point now) const { return runningRequestSeconds + running * toSeconds(now - runningSince); }
    void addRunning(std::int32_t change, time_point now)
    {
        runningRequestSeconds = runningIntegral(now);
        runningSince = now;
        running += change;
    }
};

// Base of both tables, which maps endpoint names to worker indices.
template<class Worker>
class worker_table
{
public:
    std::optional<worker_index> find(const endpoint_name &name) const
    {
        const auto it = m_byName.find(name);
        return it == m_byName.end() ? std::nullopt : std::optional{it->second};
    }

    const Worker &operator[](worker_index index) const { return m_workers[index]; }
    Worker &edit(worker_index index) { return m_workers[index]; }
    std::size_t size() const { return m_workers.size(); }
    const std::vector<Worker> &all() const { return m_workers; }

protected:
    worker_index insert(const endpoint &config)
    {
        const auto [it, added] = m_byName.try_emplace(config.name, static_cast<worker_index>(m_workers.size()));
        if (added) {
            m_workers.emplace_back();
        }
        return it->second;
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

    // Updates the index after a worker was edited or its exclusion ended.
    void refresh(worker_index index, time_point now)
    {
        const auto &worker = m_workers[index];
        auto &key = m_keys[index];
        if (key) {
            m_byBusyUntil.erase({*key, index});
            key.reset();
        }
        if (worker.health.usable(now, worker.openPrefills)) {
            key = worker.interactiveBusyUntil;
            m_byBusyUntil.emplace(*key, index);
        }
    }

    // Returns the usable workers, those with the least queued interactive work first.
    const std::set<std::pair<time_point, worker_index>> &byBusyUntil() const { return m_byBusyUntil; }
    bool usable(worker_index index) const { return m_keys[index].has_value(); }

private:
    std::vector<std::optional<time_point>> m_keys;
    std::set<std::pair<time_point, worker_index>> m_byBusyUntil;
};

// Workers with a free slot, grouped into levels of relative load and ordered by free KV blocks within a level.
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
        if (!worker.health.usable(now, worker.reservedSlots)) {
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
        m_nonEmptyLevels |= std::uint64_t{1} << entry.level;
    }

    // Returns the accepted worker with the least relative load that has enough free KV blocks.
    template<class Accept>
    std::optional<worker_index> leastLoaded(std::int32_t kvBlocks, Accept accept) const
    {
        for (auto mask = m_nonEmptyLevels; mask != 0; mask &= mask - 1) {
            const auto &level = m_levels[std::countr_zero(mask)];
            std::int32_t tried = 0;
            for (auto it = level.rbegin(); it != level.rend() && it->first >= kvBlocks && tried < maxTriesPerLevel; ++it, ++tried) {
                if (accept(it->second)) {
                    return it->second;
                }
            }
        }
        return std::nullopt;
    }

    std::int32_t freeSlots() const { return m_freeSlots; }
    std::int32_t totalSlots() const { return m_totalSlots; }
    bool usable(worker_index index) const { return m_entries[index].limit > 0; }

private:
    static constexpr int levelCount = 64;
    // A request avoids only a few endpoints, so that a few tries find another one.
    static constexpr std::int32_t maxTriesPerLevel = 4;

    struct entry {
        int level = -1;
        std::int32_t kvBlocks = 0;
        std::int32_t limit = 0;
        std::int32_t free = 0;
    };

    static int levelOf(const decode_worker &worker)
    {
        return std::clamp((worker.reservedSlots + worker.slotsHeldByOthers) * levelCount / std::max(1, worker.slotLimit), 0, levelCount - 1);
    }

    void remove(entry &removed, worker_index index)
    {
        m_totalSlots -= removed.limit;
        m_freeSlots -= removed.free;
        if (removed.level >= 0) {
            auto &level = m_levels[removed.level];
            level.erase({removed.kvBlocks, index});
            if (level.empty()) {
                m_nonEmptyLevels &= ~(std::uint64_t{1} << removed.level);
            }
        }
        removed = entry{};
    }

    std::vector<entry> m_entries;
    std::array<std::set<std::pair<std::int32_t, worker_index>>, levelCount> m_levels;
    std::uint64_t m_nonEmptyLevels = 0;
    std::int32_t m_freeSlots = 0;
    std::int32_t m_totalSlots = 0;
};

} // namespace plantainpoint
