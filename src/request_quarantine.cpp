#include "request_quarantine.hpp"

#include <algorithm>
#include <utility>

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

constexpr duration quarantineTime = std::chrono::minutes{10};
constexpr duration maxQuarantineTime = std::chrono::hours{24};
// Traits that crash an endpoint within this time after their quarantine are quarantined again at once.
constexpr duration probationTime = std::chrono::hours{1};
constexpr duration releaseMemoryTime = std::chrono::minutes{1}; // VMs that were cut off may tell of a released request for this time.
constexpr duration checkTimeout = milliseconds{2000}; // A check without a result by then tells nothing.
// An endpoint that restarts at once announces itself within this time. A loss before it says nothing of the run that has ended.
constexpr duration restartTime = milliseconds{5000};
constexpr duration storeRetryTime = milliseconds{1000};
constexpr duration reportDelay = milliseconds{50}; // Differences in the age of the same change that two VMs tell.
constexpr std::size_t maxEntries = 256;

} // namespace

bool request_quarantine::onLost(const relay_endpoint &endpoint, const request_traits &request, time_point now)
{
    // Answers that broke off in the same crash may be noticed one after the other.
    if (m_evidence.knows(endpoint.name, endpoint.startedAt)) {
        m_evidence.onCrash(endpoint.name, endpoint.startedAt, {request}, now, now);
        m_changed = true;
        return false;
    }
    auto &lost = m_lost[endpoint.name];
    const bool isOpen = lost.startedAt == endpoint.startedAt && !lost.checked && now - lost.at < checkTimeout && lost.at != time_point{};
    if (!isOpen) {
        lost = {.startedAt = endpoint.startedAt, .address = endpoint.address, .at = now};
    }
    lost.requests.push_back(request);
    return !isOpen;
}

bool request_quarantine::onChecked(const endpoint_checked &checked, time_point now)
{
    const auto it = m_lost.find(checked.endpoint);
    if (it == m_lost.end()) {
        return false;
    }
    auto &lost = it->second;
    if (!checked.refused || now - lost.at >= checkTimeout) {
        lost.checked = true;
        return false;
    }
    m_evidence.onCrash(checked.endpoint, lost.startedAt, lost.requests, lost.at, now);
    m_lost.erase(it);
    m_changed = true;
    return true;
}

std::vector<endpoint_name> request_quarantine::onAnnounced(const relay_endpoint &endpoint, time_point now)
{
    std::vector<endpoint_name> ended;
    for (const auto &[name, lost] : m_lost) {
        if (endpoint.startedAt > lost.startedAt && (name == endpoint.name || lost.address == endpoint.address)) {
            m_evidence.onCrash(name, lost.startedAt, lost.requests, lost.at, now);
            ended.push_back(name);
        }
    }
    for (const auto &name : ended) {
        m_lost.erase(name);
        m_changed = true;
    }
    return ended;
}

void request_quarantine::onEvidence(const crash_report &evidence, time_point now)
{
    for (const auto &crash : evidence.crashes) {
        std::vector<request_traits> requests;
        for (const auto &request : crash.requests) {
            requests.push_back(sortedTraits(request));
        }
        m_evidence.onCrash(crash.endpoint, crash.startedAt, requests, now - crash.age, now);
        m_changed = true;
    }
    for (const auto &answered : evidence.answered) {
        m_evidence.onAnswered({answered.trait}, now - answered.age, now);
        m_changed = true;
    }
    m_evidence.onDigest(evidence.digest, now);
    for (auto told : evidence.quarantined) {
        told.traits = sortedTraits(std::move(told.traits));
        if (told.traits.empty()) {
            continue; // It would stand for every request.
        }
        const auto changedAt = now - told.age;
        const auto [it, added] = m_entries.try_emplace(told.traits);
        auto &item = it->second;
        item.fromDirectory = false;
        if (!added && changedAt <= item.changedAt + reportDelay) {
            continue;
        }
        const bool differs = added || item.released != told.released;
        item.changedAt = changedAt;
        item.until = now + told.left;
        item.time = std::max(item.time, told.left + told.age);
        item.crashes = told.crashes;
        item.released = told.released;
        if (differs && !(added && told.released)) {
            m_adopted.push_back(told);
        }
    }
}

void request_quarantine::onStored(std::vector<quarantined_requests> requests, time_point now)
{
    for (auto &each : requests) {
        each.traits = sortedTraits(std::move(each.traits));
    }
    for (auto &known : m_entries) {
        const auto &traits = known.first;
        auto &item = known.second;
        const bool listed = std::any_of(requests.begin(), requests.end(), [&](const auto &each) { return each.traits == traits; });
        // The VM that released it could not tell this one.
        if (item.stored && !listed && item.fromDirectory && item.isActive(now)) {
            item.released = true;
            item.changedAt = now;
            m_adopted.push_back(describe(traits, item, now));
        }
        item.stored = listed;
    }
    for (const auto &each : requests) {
        if (each.traits.empty()) {
            continue;
        }
        const auto [it, added] = m_entries.try_emplace(each.traits);
        auto &item = it->second;
        item.stored = true;
        if (added) {
            item = {.changedAt = now - each.age,
                    .until = now + each.left,
                    .time = each.left,
                    .crashes = each.crashes,
                    .released = each.left <= duration{},
                    .stored = true,
                    .fromDirectory = true};
            if (item.isActive(now)) {
                m_adopted.push_back(describe(each.traits, item, now));
            }
        }
    }
}

bool request_quarantine::isActive(time_point now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &each) { return each.second.isActive(now); });
}

std::optional<duration> request_quarantine::timeLeft(const request_traits &traits, time_point now) const
{
    for (const auto &[quarantined, item] : m_entries) {
        if (item.isActive(now) && containsAll(traits, quarantined)) {
            return item.until - now;
        }
    }
    return std::nullopt;
}

std::vector<quarantined_requests> request_quarantine::update(time_point now)
{
    auto changes = std::exchange(m_adopted, {});
    if (!std::exchange(m_changed, false)) {
        return changes;
    }
    releaseRefuted(now, changes);
    while (m_entries.size() < maxEntries) {
        std::vector<request_traits> explained;
        std::set<request_trait> onProbation;
        for (const auto &[traits, item] : m_entries) {
            if (item.isActive(now)) {
                explained.push_back(traits);
            } else if (!item.released) {
                onProbation.insert(traits.begin(), traits.end());
            }
        }
        const auto found = m_evidence.findSuspect(explained, onProbation);
        if (!found || std::find(explained.begin(), explained.end(), found->traits) != explained.end()) {
            break;
        }
        quarantine(*found, now, changes);
    }
    return changes;
}

void request_quarantine::quarantine(const crash_evidence::suspect &found, time_point now, std::vector<quarantined_requests> &changes)
{
    // A smaller set of traits covers the requests of a larger one.
    std::erase_if(m_entries, [&](const auto &each) { return each.first != found.traits && containsAll(each.first, found.traits) && !each.second.stored; });
    auto &item = m_entries[found.traits];
    const bool again = item.time > duration{} && !item.released;
    item.time = again ? std::min(item.time * 2, maxQuarantineTime) : quarantineTime;
    item.changedAt = now;
    item.until = now + item.time;
    item.crashes = found.crashes;
    item.released = false;
    item.fromDirectory = false;
    changes.push_back(describe(found.traits, item, now));
}

void request_quarantine::releaseRefuted(time_point now, std::vector<quarantined_requests> &changes)
{
    for (auto &[traits, item] : m_entries) {
        if (item.isActive(now) && m_evidence.isRefuted(traits, item.changedAt)) {
            item.released = true;
            item.changedAt = now;
            changes.push_back(describe(traits, item, now));
        }
    }
}

quarantined_requests request_quarantine::describe(const request_traits &traits, const entry &item, time_point now)
{
    return {.traits = traits,
            .left = item.released ? duration{} : std::max<duration>(item.until - now, duration{}),
            .age = std::max<duration>(now - item.changedAt, duration{}),
            .crashes = item.crashes,
            .released = item.released};
}

crash_report request_quarantine::evidence(time_point now) const
{
    crash_report result;
    m_evidence.addTold(result, now);
    result.digest = m_evidence.digest(now);
    for (const auto &[traits, item] : m_entries) {
        if (item.isActive(now) || (item.released && now - item.changedAt < releaseMemoryTime)) {
            result.quarantined.push_back(describe(traits, item, now));
        }
    }
    return result;
}

std::vector<quarantined_requests> request_quarantine::takeUnstored(time_point now)
{
    std::vector<quarantined_requests> result;
    for (auto &[traits, item] : m_entries) {
        if (item.stored != item.isActive(now) && now - item.storeTriedAt >= storeRetryTime) {
            item.storeTriedAt = now;
            result.push_back(describe(traits, item, now));
        }
    }
    return result;
}

std::vector<quarantined_requests> request_quarantine::active(time_point now) const
{
    std::vector<quarantined_requests> result;
    for (const auto &[traits, item] : m_entries) {
        if (item.isActive(now)) {
            result.push_back(describe(traits, item, now));
        }
    }
    return result;
}

void request_quarantine::tick(time_point now)
{
    m_evidence.tick(now);
    std::erase_if(m_entries, [&](const auto &each) {
        const auto &item = each.second;
        // The VM that leads the fleet removes a stored one from the directory before.
        const auto forgottenAt = (item.released ? item.changedAt + releaseMemoryTime : item.until + probationTime) + (item.stored ? probationTime : duration{});
        return now >= forgottenAt;
    });
    std::erase_if(m_lost, [&](const auto &each) { return now - each.second.at >= restartTime; });
}

} // namespace plantainpoint
