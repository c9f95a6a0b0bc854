// Fair queueing among client accounts: the virtual time of each account shows what it has received from a pool.
#pragma once

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "plantainpoint/ids.hpp"

namespace plantainpoint {

using account_index = std::uint32_t;

// Start-time fair queueing (Goyal, Vin, Cheng 1996). The virtual time of an account advances by the cost of what it received,
// divided by its share. The pool's virtual time is the smallest one of the waiting accounts, but advances no faster than real time,
// so that use beyond the share still counts after other accounts were idle.
class account_table
{
public:
    account_index indexOf(const account_name &name)
    {
        const auto [it, added] = m_byName.try_emplace(name, static_cast<account_index>(m_accounts.size()));
        if (added) {
            m_accounts.push_back({1, m_virtualNow});
            m_totalWeight += 1;
        }
        return it->second;
    }

    void setWeight(const account_name &name, double weight)
    {
        auto &entry = m_accounts[indexOf(name)];
        m_totalWeight += weight - entry.weight;
        entry.weight = weight;
    }

    // Returns the virtual time in seconds.
    double virtualTime(account_index index) const { return m_accounts[index].virtualTime; }

    // Returns the use beyond the account's share, in seconds of virtual time.
    double lead(account_index index) const { return m_accounts[index].virtualTime - m_virtualNow; }

    // Marks an account as waiting. Unused virtual time of an idle account is not kept as credit.
    void activate(account_index index) { m_accounts[index].virtualTime = std::max(m_accounts[index].virtualTime, m_virtualNow); }

    // Charges tokens to an account. The number is negative when less was used than charged in advance.
    void charge(account_index index, double tokens)
    {
        auto &entry = m_accounts[index];
        entry.virtualTime = std::min(entry.virtualTime + secondsFor(index, tokens), m_virtualNow + maxLead);
        m_windowTokens += tokens;
    }

    // Returns the seconds in which the account's share of the pool yields this many tokens.
    double secondsFor(account_index index, double tokens) const
    {
        return tokens * m_totalWeight / (std::max(m_accounts[index].weight, minWeight) * std::max(m_tokensPerSecond, 1.0));
    }

    // Advances the pool's virtual time. leastWaiting is the smallest virtual time of the waiting accounts, or the largest number when none
    // waits.
    void advance(double leastWaiting, double nowSeconds)
    {
        const double limit = m_virtualNow + nowSeconds - m_advancedAt;
        m_virtualNow = std::max(m_virtualNow, std::min(limit, leastWaiting));
        m_advancedAt = nowSeconds;
        measureRate(nowSeconds);
    }

    // Sets the first estimate of the tokens that the pool yields per second.
    void expectRate(double tokensPerSecond) { m_tokensPerSecond = std::max(m_tokensPerSecond, tokensPerSecond); }

private:
    // Seconds. With a longer memory, an account would be penalized for a burst that ended long ago.
    static constexpr double maxLead = 60;
    static constexpr double minWeight = 1e-9;
    // The pool's rate is the largest recent rate, so that a period of low load does not lower it.
    static constexpr double rateWindowSeconds = 5;
    static constexpr double rateDecay = 0.98;

    struct entry {
        double weight = 1;
        double virtualTime = 0;
    };

    void measureRate(double nowSeconds)
    {
        if (nowSeconds < m_windowEnd) {
            return;
        }
        const double elapsed = nowSeconds - m_windowEnd + rateWindowSeconds;
        m_tokensPerSecond = std::max(m_tokensPerSecond * rateDecay, m_windowTokens / elapsed);
        m_windowTokens = 0;
        m_windowEnd = nowSeconds + rateWindowSeconds;
    }

    std::unordered_map<account_name, account_index> m_byName;
    std::vector<entry> m_accounts;
    double m_totalWeight = 0;
    double m_virtualNow = 0;
    double m_advancedAt = 0;
    double m_tokensPerSecond = 0;
    double m_windowTokens = 0;
    double m_windowEnd = 0;
};

} // namespace plantainpoint
