// Waiting requests of a pool: one queue per client account, ordered by slack. A replaceable rule holds back accounts that are ahead.
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

// Returns the number of KV blocks that hold this many tokens.
inline std::int32_t kvBlocksFor(std::int32_t tokens)
{
    return (tokens + tokensPerKvBlock - 1) / tokensPerKvBlock;
}

struct waiting_request {
    incarnation_id from;
    place_request message;
    account_index account = 0;
    std::int32_t kvBlocks = 0;
    time_point latestStart{}; // Latest start of the prefill that meets the first-token target.
    time_point refuseAt{}; // Time at which the request is refused when it is still waiting.
    failure refusal = failure::Overloaded;
    bool background = false; // Uses only the capacity that interactive work leaves free.
    bool overShare = false; // The account has received more than its share. Set before each placement attempt.
};

// Decides whether an account may go first although others have received less. lead and requestSeconds are in seconds of virtual time.
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
        if (account >= m_accountQueues.size()) {
            m_accountQueues.resize(account + 1);
        }
        if (m_accountQueues[account].waiting.empty()) {
            m_accounts.activate(account);
        }
        m_accountQueues[account].waiting.emplace(latestStart, index);
        ++m_size;
        refreshKeys(account);
    }

    void remove(request_index index, account_index account, time_point latestStart)
    {
        m_size -= m_accountQueues[account].waiting.erase({latestStart, index});
        refreshKeys(account);
    }

    // Reinserts an account whose first request or virtual time has changed.
    void refreshKeys(account_index account)
    {
        if (account >= m_accountQueues.size()) {
            return;
        }
        auto &queue = m_accountQueues[account];
        if (queue.key) {
            m_byKey.erase({*queue.key, account});
            m_byVirtualTime.erase({queue.virtualTime, account});
            queue.key.reset();
        }
        if (queue.waiting.empty()) {
            return;
        }
        queue.virtualTime = m_accounts.virtualTime(account);
        queue.key = queue.waiting.begin()->first;
        m_byKey.emplace(*queue.key, account);
        m_byVirtualTime.emplace(queue.virtualTime, account);
    }

    // Passes the first requests to visit() in order until it returns true or the limits are reached.
    // An account beyond the allowed lead is skipped as long as others wait.
    template<class Visit>
    bool visitInOrder(std::int32_t accounts, std::int32_t requestsPerAccount, double requestTokens, Visit visit)
    {
        if (m_byKey.empty()) {
            return false;
        }
        const auto [least, leastServed] = *m_byVirtualTime.begin();
        std::int32_t skips = maxSkips;
        for (auto it = m_byKey.begin(); it != m_byKey.end() && accounts > 0 && skips > 0; ++it) {
            const auto account = it->second;
            if (account != leastServed && !m_order.mayLead(m_accountQueues[account].virtualTime - least, m_accounts.secondsFor(account, requestTokens))) {
                --skips;
                continue;
            }
            --accounts;
            if (visitAccount(account, requestsPerAccount, visit)) {
                return true;
            }
        }
        return skips == 0 && visitAccount(leastServed, requestsPerAccount, visit);
    }

    // Returns the waiting account that has received least, or nothing when no account waits.
    std::optional<account_index> leastServed() const { return m_byVirtualTime.empty() ? std::nullopt : std::optional{m_byVirtualTime.begin()->second}; }

    // Returns the account that goes first, or nothing when no account waits.
    std::optional<account_index> firstAccount() const { return m_byKey.empty() ? std::nullopt : std::optional{m_byKey.begin()->second}; }

    // Returns the request that goes first within a waiting account.
    request_index firstOf(account_index account) const { return m_accountQueues[account].waiting.begin()->second; }

    std::size_t size() const { return m_size; }
    bool empty() const { return m_size == 0; }

private:
    // Bounds the cost of a decision when many accounts are ahead.
    static constexpr std::int32_t maxSkips = 16;

    struct account_queue {
        std::set<std::pair<time_point, request_index>> waiting;
        std::optional<time_point> key; // Latest start of the first request.
        double virtualTime = 0;
    };

    template<class Visit>
    bool visitAccount(account_index account, std::int32_t requestsPerAccount, Visit &visit)
    {
        const auto &waiting = m_accountQueues[account].waiting;
        for (auto request = waiting.begin(); request != waiting.end() && requestsPerAccount > 0; ++request, --requestsPerAccount) {
            if (visit(request->second)) {
                return true;
            }
        }
        return false;
    }

    account_table &m_accounts;
    Order m_order{};
    std::vector<account_queue> m_accountQueues;
    std::set<std::pair<time_point, account_index>> m_byKey;
    std::set<std::pair<double, account_index>> m_byVirtualTime;
    std::size_t m_size = 0;
};

} // namespace plantainpoint
