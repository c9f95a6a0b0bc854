// which prefill workers may hold which prompt prefixes; late and with gaps, so never more than a hint
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "scheduler_workers.hpp"

namespace plantainpoint {

struct prefix_hint {
    worker_index worker = 0;
    std::int32_t tokens = 0;
};

class prefix_hints
{
public:
    void stored(worker_index worker, std::uint64_t prefix, std::int32_t tokens)
    {
        auto &holders = m_holders[prefix];
        const auto at = std::find_if(holders.begin(), holders.end(), [&](const prefix_hint &hint) { return hint.worker == worker; });
        if (at != holders.end()) {
            at->tokens = tokens;
            return;
        }
        if (holders.size() >= holdersPerPrefix) {
            holders.erase(holders.begin());
        }
        holders.push_back({worker, tokens});
        remember(worker, prefix);
    }

    // whether the prefix was asked for recently; one of a single request is not worth an entry
    bool seenBefore(std::uint64_t prefix)
    {
        auto &slot = m_asked[prefix % askedKept];
        const bool seen = slot == prefix;
        slot = prefix;
        return seen;
    }

    void evicted(worker_index worker, std::uint64_t prefix)
    {
        const auto found = m_holders.find(prefix);
        if (found == m_holders.end()) {
            return;
        }
        std::erase_if(found->second, [&](const prefix_hint &hint) { return hint.worker == worker; });
        if (found->second.empty()) {
            m_holders.erase(found);
        }
    }

    // holders of the longest known prefix; hashes are in order of length
    const std::vector<prefix_hint> *longest(const std::vector<std::uint64_t> &prefixes) const
    {
        for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
            const auto found = m_holders.find(*prefix);
            if (found != m_holders.end()) {
                return &found->second;
            }
        }
        return nullptr;
    }

    // the worker's cache is lost or unknown
    void forget(worker_index worker)
    {
        if (worker >= m_recent.size()) {
            return;
        }
        for (const auto prefix : m_recent[worker]) {
            evicted(worker, prefix);
        }
        m_recent[worker].clear();
    }

    std::size_t size() const { return m_holders.size(); }

private:
    // more holders would lengthen a choice without improving it
    static constexpr std::size_t holdersPerPrefix = 6;
    // an eviction whose event was lost leaves the hint in place until this many newer ones
    static constexpr std::size_t prefixesPerWorker = 512;

    // about a second of prefixes at 6,000 requests a second
    static constexpr std::size_t askedKept = 32'768;

    void remember(worker_index worker, std::uint64_t prefix)
    {
        if (worker >= m_recent.size()) {
            m_recent.resize(worker + 1);
        }
        auto &recent = m_recent[worker];
        recent.push_back(prefix);
        if (recent.size() > prefixesPerWorker) {
            evicted(worker, recent.front());
            recent.pop_front();
        }
    }

    std::unordered_map<std::uint64_t, std::vector<prefix_hint>> m_holders;
    std::vector<std::deque<std::uint64_t>> m_recent;
    std::vector<std::uint64_t> m_asked = std::vector<std::uint64_t>(askedKept);
};

} // namespace plantainpoint
