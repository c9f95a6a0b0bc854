// what every client account has received of a pool, as virtual time
#pragma once

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "plantainpoint/ids.hpp"

namespace plantainpoint {

using account_index = std::uint32_t;

// start-time fair queueing (Goyal, Vin, Cheng 1996): the virtual time of an account advances by the cost of what it was given,
// divided by its share. the pool's virtual time is the least of the accounts that wait, but advances no faster than real time:
// what an account took beyond its share is remembered when others were idle meanwhile.
class account_table
{
public:
    account_index indexOf(const account_name &name)
    {
        const auto [at, added] = m_byName.try_emplace(name, static_cast<account_index>(m_accounts.size()));
        if (added) {
            m_accounts.push_back({1, m_virtualNow});
            m_totalWeight += 1;
        }
        return at->second;
    }

    void setWeight(const account_name &name, double weight)
    {
        auto &entry = m_accounts[indexOf(name)];
        m_totalWeight += weight - entry.weight;
        entry.weight = weight;
    }

    // seconds
    double virtualTime(account_index index) const { return m_accounts[index].virtualTime; }

    // seconds beyond the account's share
    double lead(account_index index) const { return m_accounts[index].virtualTime - m_virtualNow; }

    // an account that was idle does not keep credit
    void activate(account_index index) { m_accounts[index].virtualTime = std::max(m_accounts[index].virtualTime, m_virtualNow); }

    // negative when less was used than charged in advance
    void charge(account_index index, double tokens)
    {
        auto &entry = m_accounts[index];
        entry.virtualTime = std::min(entry.virtualTime + secondsFor(index, tokens), m_virtualNow + longestLead);
        m_bucket += tokens;
    }

    // time in which the account's share of the pool yields this many tokens
    double secondsFor(account_index index, double tokens) const
    {
        return tokens * m_totalWeight / (std::max(m_accounts[index].weight, smallestWeight) * std::max(m_tokensPerSecond, 1.0));
    }

    // leastWaiting: smallest virtual time of the accounts that wait, or the largest number when none does
    void advance(double leastWaiting, double nowSeconds)
    {
        const double limit = m_virtualNow + nowSeconds - m_advancedAt;
        m_virtualNow = std::max(m_virtualNow, std::min(limit, leastWaiting));
        m_advancedAt = nowSeconds;
        measureRate(nowSeconds);
    }

    // first estimate of the tokens that the pool yields
    void expectRate(double tokensPerSecond) { m_tokensPerSecond = std::max(m_tokensPerSecond, tokensPerSecond); }

private:
    // longer memory would punish an account for a burst that is long over
    static constexpr double longestLead = 60;
    static constexpr double smallestWeight = 1e-9;
    // the pool's rate is the largest of recent ones, so that a calm period does not lower it
    static constexpr double bucketSeconds = 5;
    static constexpr double rateDecay = 0.98;

    struct entry {
        double weight = 1;
        double virtualTime = 0;
    };

    void measureRate(double nowSeconds)
    {
        if (nowSeconds < m_bucketEnds) {
            return;
        }
        const double lasted = nowSeconds - m_bucketEnds + bucketSeconds;
        m_tokensPerSecond = std::max(m_tokensPerSecond * rateDecay, m_bucket / lasted);
        m_bucket = 0;
        m_bucketEnds = nowSeconds + bucketSeconds;
    }

    std::unordered_map<account_name, account_index> m_byName;
    std::vector<entry> m_accounts;
    double m_totalWeight = 0;
    double m_virtualNow = 0;
    double m_advancedAt = 0;
    double m_tokensPerSecond = 0;
    double m_bucket = 0;
    double m_bucketEnds = 0;
};

} // namespace plantainpoint
