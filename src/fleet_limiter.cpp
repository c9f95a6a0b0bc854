#include "fleet_limiter.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

constexpr auto minRetryDelay = std::chrono::milliseconds{50}; // A refused caller that retries sooner finds the bucket nearly unchanged.
constexpr double minFraction = 0.01; // Bounds the time to wait at a VM that hears nearly nobody.
// Part of a full bucket that a VM has when it starts. It serves small requests until the VM hears others; a large one has to wait.
constexpr double startFraction = 0.02;
constexpr double takeUpCredit = 0.5; // Seconds of refill by which streams that are taken up may bring a bucket below zero.
constexpr auto firstContactTime = std::chrono::milliseconds{250}; // A VM that starts learns of the others within this time.

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
            // Nobody has used an account that a new configuration adds.
            entry.level = m_configured ? account.burst * m_share.fraction() : (account.burst + m_tolerance) * startFraction;
            entry.refilledAt = now;
        } else {
            refill(entry, now);
        }
        entry.rate = account.rate;
        entry.burst = account.burst + m_tolerance;
        entry.level = std::min(entry.level, entry.burst);
    }
    m_configured = true;
}

void fleet_limiter::setShare(const limit_share &share, time_point now)
{
    if (share == m_share) {
        return;
    }
    const bool reduced = share.fraction() < m_share.fraction();
    for (auto &[name, entry] : m_buckets) {
        refill(entry, now);
        if (reduced) {
            entry.level = std::min(entry.level, entry.burst * share.fraction());
        }
    }
    m_share = share;
}

void fleet_limiter::refill(bucket &entry, time_point now) const
{
    const auto elapsed = std::max(now - entry.refilledAt, duration{});
    entry.level = std::min(entry.burst, entry.level + entry.rate * m_share.fraction() * toSeconds(elapsed));
    entry.refilledAt = std::max(entry.refilledAt, now);
}

std::optional<duration> fleet_limiter::take(bucket &entry, double units, request_purpose purpose, time_point now) const
{
    refill(entry, now);
    const double credit = purpose == request_purpose::TakesUp ? entry.rate * m_share.fraction() * takeUpCredit : 0;
    // A request larger than the burst is admitted when the bucket is full.
    const double needed = std::min(units, entry.burst) - credit;
    if (entry.level < needed && m_share.heardVms == 0) {
        return firstContactTime;
    }
    if (entry.level < needed) {
        const std::chrono::duration<double> wait((needed - entry.level) / (entry.rate * std::max(m_share.fraction(), minFraction)));
        return std::max<duration>(std::chrono::duration_cast<duration>(wait), minRetryDelay);
    }
    entry.level -= units;
    return std::nullopt;
}

std::optional<duration> fleet_limiter::admit(const account_name &account, double units, request_purpose purpose, time_point now)
{
    const auto it = m_buckets.find(account);
    if (it == m_buckets.end() || it->second.rate <= 0) {
        return std::nullopt;
    }
    const auto wait = take(it->second, units, purpose, now);
    if (!wait) {
        it->second.admitted += units;
    }
    return wait;
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

std::optional<duration> fleet_limiter::reserve(const account_name &account, double units, request_purpose purpose, time_point now)
{
    const auto it = m_buckets.find(account);
    return it == m_buckets.end() || it->second.rate <= 0 ? std::nullopt : take(it->second, units, purpose, now);
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

// Sets each level to the listed one, and to the burst if it is not listed.
void fleet_limiter::setLevels(const std::vector<account_usage> &levels, time_point now)
{
    for (auto &[name, entry] : m_buckets) {
        entry.level = entry.burst;
        entry.refilledAt = std::max(entry.refilledAt, now);
    }
    for (const auto &each : levels) {
        const auto it = m_buckets.find(each.account);
        if (it != m_buckets.end()) {
            it->second.level = std::min(it->second.burst, each.level);
        }
    }
    m_levelsKnown = true;
}

void fleet_limiter::copyLevels(const std::vector<account_usage> &levels, const std::vector<account_usage> &ownIncluded, time_point now)
{
    setLevels(levels, now);
    for (auto &[name, entry] : m_buckets) {
        entry.level -= entry.admitted;
    }
    for (const auto &each : ownIncluded) {
        const auto it = m_buckets.find(each.account);
        if (it != m_buckets.end()) {
            it->second.level = std::min(it->second.burst, it->second.level + each.admitted);
        }
    }
}

void fleet_limiter::learnLevels(const std::vector<account_usage> &levels, time_point now)
{
    if (!m_levelsKnown) {
        setLevels(levels, now);
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
