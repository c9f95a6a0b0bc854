// Prompt prefixes that prefill workers may have cached. Cache events arrive late and can be lost, so the entries are only hints.
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
    void add(worker_index worker, std::uint64_t prefix, std::int32_t tokens)
    {
        auto &holders = m_holders[prefix];
        const auto it = std::find_if(holders.begin(), holders.end(), [&](const prefix_hint &hint) { return hint.worker == worker; });
        if (it != holders.end()) {
            it->tokens = tokens;
            return;
        }
        if (holders.size() >= holdersPerPrefix) {
            holders.erase(holders.begin());
        }
        holders.push_back({worker, tokens});
        trackRecent(worker, prefix);
    }

    // Returns whether the prefix was requested recently, and records this request. A prefix of a single request is not worth an entry.
    bool wasRequestedBefore(std::uint64_t prefix)
    {
        auto &lastRequested = m_requestedPrefixes[prefix % requestedPrefixesKept];
        const bool requested = lastRequested == prefix;
        lastRequested = prefix;
        return requested;
    }

    void remove(worker_index worker, std::uint64_t prefix)
    {
        const auto it = m_holders.find(prefix);
        if (it == m_holders.end()) {
            return;
        }
        std::erase_if(it->second, [&](const prefix_hint &hint) { return hint.worker == worker; });
        if (it->second.empty()) {
            m_holders.erase(it);
        }
    }

    // Returns the holders of the longest known prefix, or null. The prefix hashes are ordered by length.
    const std::vector<prefix_hint> *longestMatch(const std::vector<std::uint64_t> &prefixes) const
    {
        for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
            const auto it = m_holders.find(*prefix);
            if (it != m_holders.end()) {
                return &it->second;
            }
        }
        return nullptr;
    }

    // Removes the hints of a worker whose cache is lost or unknown.
    void removeWorker(worker_index worker)
    {
        if (worker >= m_recent.size()) {
            return;
        }
        for (const auto prefix : m_recent[worker]) {
            remove(worker, prefix);
        }
        m_recent[worker].clear();
    }

    std::size_t size() const { return m_holders.size(); }

private:
    // More holders would make a selection slower without improving it.
    static constexpr std::size_t holdersPerPrefix = 6;
    // When the event of an eviction is lost, its hint stays until the worker has got this many newer ones.
    static constexpr std::size_t prefixesPerWorker = 512;

    // Covers about one second of prefixes at 6,000 requests per second.
    static constexpr std::size_t requestedPrefixesKept = 32'768;

    void trackRecent(worker_index worker, std::uint64_t prefix)
    {
        if (worker >= m_recent.size()) {
            m_recent.resize(worker + 1);
        }
        auto &recent = m_recent[worker];
        recent.push_back(prefix);
        if (recent.size() > prefixesPerWorker) {
            remove(worker, recent.front());
            recent.pop_front();
        }
    }

    std::unordered_map<std::uint64_t, std::vector<prefix_hint>> m_holders;
    std::vector<std::deque<std::uint64_t>> m_recent;
    std::vector<std::uint64_t> m_requestedPrefixes = std::vector<std::uint64_t>(requestedPrefixesKept);
};

} // namespace plantainpoint
