#include "fleet_limiter.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

constexpr auto minRetryDelay = std::chrono::milliseconds{50}; // A refused caller that retries sooner finds the bucket nearly unchanged.

double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void fleet_limiter::setAccounts(const std::vector<relay_account> &accounts, time_point now)
{
    for (const auto &account : accounts) {
        const auto [it, added] = m_buckets.try_emplace(account.name);
        auto &entry = it->second;
        if (added) {
            // The tolerance is not available at once: all VMs may have restarted after the account has used it.
            entry.level = account.burst;
            entry.refilledAt = now;
        } else {
            refill(entry, now);
        }
        entry.rate = account.rate;
        entry.burst = account.burst + m_tolerance;
        entry.level = std::min(entry.level, entry.burst);
    }
}

void fleet_limiter::setVisibility(std::size_t heardVms, std::size_t memberVms)
{
    m_heardFraction = memberVms == 0 ? 1 : std::min(1.0, static_cast<double>(heardVms) / static_cast<double>(memberVms));
}

void fleet_limiter::refill(bucket &entry, time_point now) const
{
    const auto elapsed = std::max(now - entry.refilledAt, duration{});
    entry.level = std::min(entry.burst, entry.level + entry.rate * m_heardFraction * toSeconds(elapsed));
    entry.refilledAt = std::max(entry.refilledAt, now);
}

std::optional<duration> fleet_limiter::admit(const account_name &account, double units, time_point now)
{
    const auto it = m_buckets.find(account);
    if (it == m_buckets.end() || it->second.rate <= 0) {
        return std::nullopt;
    }
    auto &entry = it->second;
    refill(entry, now);
    // A request larger than the burst is admitted when the bucket is full.
    const double needed = std::min(units, entry.burst);
    if (entry.level < needed) {
        const std::chrono::duration<double> wait((needed - entry.level) / (entry.rate * std::max(m_heardFraction, 0.01)));
        return std::max<duration>(std::chrono::duration_cast<duration>(wait), minRetryDelay);
    }
    entry.level -= units;
    entry.admitted += units;
    return std::nullopt;
}

void fleet_limiter::refund(const account_name &account, double units)
{
    const auto it = m_buckets.find(account);
    if (it == m_buckets.end() || it->second.rate <= 0) {
        return;
    }
    it->second.level = std::min(it->second.burst, it->second.level + units);
    it->second.admitted -= units;
}

double fleet_limiter::level(const account_name &account) const
{
    const auto it = m_buckets.find(account);
    return it == m_buckets.end() ? 0 : it->second.level;
}

std::vector<account_usage> fleet_limiter::usage() const
{
    std::vector<account_usage> usages;
    for (const auto &[name, entry] : m_buckets) {
        if (entry.admitted != 0 || entry.level < entry.burst) {
            usages.push_back({name, entry.admitted, entry.level});
        }
    }
    return usages;
}

void fleet_limiter::adoptLevels(const std::vector<account_usage> &usage, time_point now)
{
    for (const auto &each : usage) {
        const auto it = m_buckets.find(each.account);
        if (it != m_buckets.end()) {
            refill(it->second, now);
            it->second.level = std::min(it->second.level, each.level);
        }
    }
}

void fleet_limiter::debit(const std::vector<account_usage> &admitted, time_point now)
{
    for (const auto &each : admitted) {
        const auto it = m_buckets.find(each.account);
        if (it != m_buckets.end()) {
            refill(it->second, now);
            it->second.level = std::min(it->second.burst, it->second.level - each.admitted);
        }
    }
}

} // namespace plantainpoint
