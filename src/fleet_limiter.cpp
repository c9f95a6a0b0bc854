#include "fleet_limiter.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

constexpr auto shortestRetry = std::chrono::milliseconds{50}; // a refused caller that returns sooner meets the same bucket

double secondsOf(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void fleet_limiter::setAccounts(const std::vector<relay_account> &accounts, time_point now)
{
    for (const auto &account : accounts) {
        const auto [found, added] = m_buckets.try_emplace(account.name);
        auto &entry = found->second;
        if (added) {
            entry.level = account.burst + m_tolerance;
            entry.refilledAt = now;
        } else {
            refill(entry, now);
        }
        entry.rate = account.rate;
        entry.burst = account.burst + m_tolerance;
        entry.level = std::min(entry.level, entry.burst);
    }
}

void fleet_limiter::setVisibility(std::size_t heard, std::size_t members)
{
    m_visibility = members == 0 ? 1 : std::min(1.0, static_cast<double>(heard) / static_cast<double>(members));
}

void fleet_limiter::refill(bucket &entry, time_point now) const
{
    const auto elapsed = std::max(now - entry.refilledAt, duration{});
    entry.level = std::min(entry.burst, entry.level + entry.rate * m_visibility * secondsOf(elapsed));
    entry.refilledAt = std::max(entry.refilledAt, now);
}

std::optional<duration> fleet_limiter::admit(const account_name &account, double units, time_point now)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end() || found->second.rate <= 0) {
        return std::nullopt;
    }
    auto &entry = found->second;
    refill(entry, now);
    // a request larger than the burst passes when the bucket is full
    const double needed = std::min(units, entry.burst);
    if (entry.level < needed) {
        const std::chrono::duration<double> wait((needed - entry.level) / (entry.rate * std::max(m_visibility, 0.01)));
        return std::max<duration>(std::chrono::duration_cast<duration>(wait), shortestRetry);
    }
    entry.level -= units;
    entry.admitted += units;
    return std::nullopt;
}

void fleet_limiter::refund(const account_name &account, double units)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end() || found->second.rate <= 0) {
        return;
    }
    found->second.level = std::min(found->second.burst, found->second.level + units);
    found->second.admitted -= units;
}

std::vector<account_usage> fleet_limiter::usage() const
{
    std::vector<account_usage> out;
    for (const auto &[name, entry] : m_buckets) {
        if (entry.admitted != 0) {
            out.push_back({name, entry.admitted});
        }
    }
    return out;
}

void fleet_limiter::onFleetHeartbeat(const fleet_heartbeat &heartbeatMessage, bool resume, time_point now)
{
    auto &peer = m_peers[heartbeatMessage.from.vm];
    // a restarted VM counts from zero
    if (peer.incarnation != heartbeatMessage.from.number) {
        peer = {heartbeatMessage.from.number, {}};
    }
    for (const auto &used : heartbeatMessage.usage) {
        auto &known = peer.admitted[used.account];
        const double delta = used.admitted - known;
        known = used.admitted;
        if (resume) {
            continue;
        }
        const auto found = m_buckets.find(used.account);
        if (found == m_buckets.end()) {
            continue;
        }
        refill(found->second, now);
        found->second.level = std::min(found->second.burst, found->second.level - delta);
    }
}

} // namespace plantainpoint
