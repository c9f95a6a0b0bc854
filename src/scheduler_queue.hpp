// waiting requests of a pool: one queue per client account, by slack; a replaceable rule holds accounts back that are ahead of others
#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "plantainpoint/peer.hpp"
#include "scheduler_accounts.hpp"
#include "scheduler_workers.hpp"

namespace plantainpoint {

using request_index = std::uint64_t;

// KV blocks of engine memory that hold this many tokens
inline std::int32_t kvBlocksFor(std::int32_t tokens)
{
    return (tokens + tokensPerKvBlock - 1) / tokensPerKvBlock;
}

struct waiting_request {
    incarnation_id from;
    place_request message;
    account_index account = 0;
    std::int32_t kvBlocks = 0;
    time_point latestStart{}; // last start of the prefill that meets the first-token target
    time_point refuseAt{}; // refused when still waiting
    failure refusal = failure::Overloaded;
    bool background = false; // runs in what interactive work leaves
    bool overShare = false; // of an account that has received more than its share; set before each try
};

// whether an account may go first although others have received less; lead and requestSeconds are in seconds of virtual time
template<class T>
concept queue_order = requires(const T &order, double lead, double requestSeconds)
{
    {
        order.mayLead(lead, requestSeconds)
        } -> std::same_as<bool>;
};

template<queue_order Order>
class fair_queue
{
public:
    explicit fair_queue(account_table &accounts)
        : m_accounts(accounts)
    {
    }

    void setOrder(Order order) { m_order = order; }
    const Order &order() const { return m_order; }

    void push(request_index index, account_index account, time_point latestStart)
    {
        if (account >= m_lines.size()) {
            m_lines.resize(account + 1);
        }
        if (m_lines[account].waiting.empty()) {
            m_accounts.activate(account);
        }
        m_lines[account].waiting.emplace(latestStart, index);
        ++m_size;
        rekey(account);
    }

    void remove(request_index index, account_index account, time_point latestStart)
    {
        m_size -= m_lines[account].waiting.erase({latestStart, index});
        rekey(account);
    }

    // the account's first request or its virtual time has changed
    void rekey(account_index account)
    {
        if (account >= m_lines.size()) {
            return;
        }
        auto &line = m_lines[account];
        if (line.key) {
            m_byKey.erase({*line.key, account});
            m_byVirtualTime.erase({line.virtualTime, account});
            line.key.reset();
        }
        if (line.waiting.empty()) {
            return;
        }
        line.virtualTime = m_accounts.virtualTime(account);
        line.key = line.waiting.begin()->first;
        m_byKey.emplace(*line.key, account);
        m_byVirtualTime.emplace(line.virtualTime, account);
    }

    // offers the first requests to visit() in order until it returns true or the limits are reached.
    // an account beyond the allowed lead is passed over as long as others wait.
    template<class Visit>
    bool visitFirst(std::int32_t accounts, std::int32_t perAccount, double requestTokens, Visit visit)
    {
        if (m_byKey.empty()) {
            return false;
        }
        const auto [least, leastServed] = *m_byVirtualTime.begin();
        std::int32_t skips = mostSkips;
        for (auto at = m_byKey.begin(); at != m_byKey.end() && accounts > 0 && skips > 0; ++at) {
            const auto account = at->second;
            if (account != leastServed && !m_order.mayLead(m_lines[account].virtualTime - least, m_accounts.secondsFor(account, requestTokens))) {
                --skips;
                continue;
            }
            --accounts;
            if (visitLine(account, perAccount, visit)) {
                return true;
            }
        }
        return skips == 0 && visitLine(leastServed, perAccount, visit);
    }

    // waiting account that has received least; empty when nothing waits
    std::optional<account_index> leastServed() const { return m_byVirtualTime.empty() ? std::nullopt : std::optional{m_byVirtualTime.begin()->second}; }

    // account that goes first
    std::optional<account_index> firstAccount() const { return m_byKey.empty() ? std::nullopt : std::optional{m_byKey.begin()->second}; }

    // request that goes first within an account that waits
    request_index firstOf(account_index account) const { return m_lines[account].waiting.begin()->second; }

    std::size_t size() const { return m_size; }
    bool empty() const { return m_size == 0; }

private:
    // bounds the cost of a decision when many accounts are ahead
    static constexpr std::int32_t mostSkips = 16;

    struct line {
        std::set<std::pair<time_point, request_index>> waiting;
        std::optional<time_point> key; // latest start of the first request
        double virtualTime = 0;
    };

    template<class Visit>
    bool visitLine(account_index account, std::int32_t perAccount, Visit &visit)
    {
        const auto &waiting = m_lines[account].waiting;
        for (auto request = waiting.begin(); request != waiting.end() && perAccount > 0; ++request, --perAccount) {
            if (visit(request->second)) {
                return true;
            }
        }
        return false;
    }

    account_table &m_accounts;
    Order m_order{};
    std::vector<line> m_lines;
    std::set<std::pair<time_point, account_index>> m_byKey;
    std::set<std::pair<double, account_index>> m_byVirtualTime;
    std::size_t m_size = 0;
};

} // namespace plantainpoint
