#include "endpoint_directory.hpp"

#include <algorithm>
#include <cmath>

namespace plantainpoint {

namespace {

constexpr double statisticsWindowSeconds = 2.5; // time constant: an endpoint that recovers is trusted again after a few seconds
constexpr double priorAnswers = 3; // answers that a new endpoint is credited with
constexpr duration roleChangeNoticeTime = std::chrono::milliseconds{700}; // the VM that gave the order repeats it in its heartbeats
constexpr duration firstDownTime = std::chrono::milliseconds{250};
constexpr duration longestDownTime = std::chrono::seconds{2}; // an endpoint that restarts is back in use within this time
constexpr double newTimeWeight = 0.15; // of the newest sample in the mean time

} // namespace

void endpoint_statistics::decay(time_point now)
{
    const double elapsed = std::chrono::duration<double>(std::max(now - m_decayedAt, duration{})).count();
    const double kept = std::exp(-elapsed / statisticsWindowSeconds);
    m_good *= kept;
    m_bad *= kept;
    m_decayedAt = std::max(m_decayedAt, now);
}

void endpoint_statistics::onSuccess(duration time, time_point now)
{
    decay(now);
    m_good += 1;
    m_meanTime = weighted(m_meanTime, time);
}

duration endpoint_statistics::weighted(duration mean, duration sample)
{
    return mean == duration{} ? sample : mean + std::chrono::duration_cast<duration>((sample - mean) * newTimeWeight);
}

void endpoint_statistics::onFailure(time_point now)
{
    decay(now);
    m_bad += 1;
}

double endpoint_statistics::failurePart(time_point now) const
{
    const double elapsed = std::chrono::duration<double>(std::max(now - m_decayedAt, duration{})).count();
    const double kept = std::exp(-elapsed / statisticsWindowSeconds);
    return m_bad * kept / ((m_good + m_bad) * kept + priorAnswers);
}

bool endpoint_entry::usable(time_point now) const
{
    return !gone && info.condition == endpoint_condition::Ready && (!withdrawnAt || now < *withdrawnAt);
}

bool endpoint_entry::acceptsWork(time_point now) const
{
    return usable(now) && fullUntil <= now && downUntil <= now && roleChangeUntil <= now;
}

// an endpoint without a listener refuses within a round trip; one request at a time finds out whether it is back
void endpoint_entry::onUnreachable(time_point now)
{
    downTime = downTime == duration{} ? firstDownTime : std::min(downTime * 2, longestDownTime);
    downUntil = now + downTime;
}

duration endpoint_entry::longestSilence(time_point now) const
{
    duration longest{};
    for (const auto &[attempt, work] : open) {
        if (!work.answered) {
            longest = std::max(longest, now - work.since);
        }
    }
    return longest;
}

endpoint_load endpoint_entry::ownLoad() const
{
    endpoint_load load{.endpoint = info.name};
    for (const auto &[attempt, work] : open) {
        ++load.running;
        load.prefillTokens += work.answered ? 0 : work.prefillTokens;
        load.kvTokens += work.kvTokens;
    }
    return load;
}

bool endpoint_directory::accept(const relay_endpoint &info)
{
    auto &entry = m_entries[info.name];
    // an announcement of an earlier run that arrives late
    if (info.startedAt < entry.info.startedAt) {
        return false;
    }
    const bool restarted = info.startedAt != entry.info.startedAt;
    const bool changed = restarted || entry.info != info || entry.withdrawnAt || entry.gone;
    if (restarted) {
        entry.endpointStatistics = {};
        entry.downUntil = {};
        entry.downTime = {};
        entry.gone = false;
    }
    // the new role is in force
    if (entry.info.role != info.role) {
        entry.roleChangeUntil = {};
    }
    entry.info = info;
    entry.withdrawnAt.reset();
    return changed;
}

bool endpoint_directory::withdraw(endpoint_entry &entry, time_point now) const
{
    if (entry.withdrawnAt) {
        return false;
    }
    // entries lapse during an outage although their endpoints live
    const bool afterOutage = m_hadOutage && now - m_reachableSince < reannounceTime;
    entry.withdrawnAt = afterOutage ? m_reachableSince + reannounceTime : now;
    return true;
}

std::vector<endpoint_name> endpoint_directory::onRead(const directory_read &read, time_point now)
{
    std::vector<endpoint_name> changed;
    std::set<endpoint_name> named;
    for (const auto &each : read.changed) {
        named.insert(each.name);
        if (each.value) {
            if (accept(*each.value)) {
                changed.push_back(each.name);
            }
            continue;
        }
        const auto found = m_entries.find(each.name);
        if (found != m_entries.end() && withdraw(found->second, now)) {
            changed.push_back(each.name);
        }
    }
    if (read.whole) {
        for (auto &[name, entry] : m_entries) {
            if (!named.contains(name) && withdraw(entry, now)) {
                changed.push_back(name);
            }
        }
    }
    m_position = std::max(m_position, read.position);
    m_known = true;
    return changed;
}

void endpoint_directory::onReachable(bool reachable, time_point now)
{
    if (reachable && !m_reachable) {
        m_reachableSince = now;
        m_hadOutage = true;
    }
    m_reachable = reachable;
}

void endpoint_directory::tick(time_point now)
{
    std::erase_if(m_entries, [&](const auto &each) { return each.second.withdrawnAt && now >= *each.second.withdrawnAt && each.second.open.empty(); });
}

endpoint_entry *endpoint_directory::find(const endpoint_name &name)
{
    const auto found = m_entries.find(name);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<endpoint_entry *> endpoint_directory::candidates(const service_name &service, endpoint_role role, time_point now)
{
    std::vector<endpoint_entry *> out;
    for (auto &[name, entry] : m_entries) {
        if (entry.info.service == service && entry.info.role == role && entry.usable(now)) {
            out.push_back(&entry);
        }
    }
    return out;
}

bool endpoint_directory::hasService(const service_name &service, time_point now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &each) { return each.second.info.service == service && each.second.usable(now); });
}

std::vector<endpoint_name> endpoint_directory::changingRole(time_point now) const
{
    std::vector<endpoint_name> out;
    for (const auto &[name, entry] : m_entries) {
        if (entry.roleChangeUntil > now) {
            out.push_back(name);
        }
    }
    return out;
}

void endpoint_directory::onRoleChange(const std::vector<endpoint_name> &names, time_point now)
{
    for (const auto &name : names) {
        if (auto *const entry = find(name)) {
            entry->roleChangeUntil = std::max(entry->roleChangeUntil, now + roleChangeNoticeTime);
        }
    }
}

std::vector<endpoint_load> endpoint_directory::ownLoads() const
{
    std::vector<endpoint_load> out;
    for (const auto &[name, entry] : m_entries) {
        if (!entry.open.empty()) {
            out.push_back(entry.ownLoad());
        }
    }
    return out;
}

} // namespace plantainpoint
