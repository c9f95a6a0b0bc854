#include "endpoint_directory.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace plantainpoint {

namespace {

constexpr double decayTimeSeconds = 2.5; // Time constant. An endpoint that recovers gets work again after a few seconds.
constexpr double priorAnswers = 3; // Successful answers that a new endpoint is credited with.
constexpr duration roleChangeNoticeTime = std::chrono::milliseconds{700}; // The VM that sent the order repeats it in its heartbeats.
constexpr duration initialDownTime = std::chrono::milliseconds{250};
constexpr duration maxDownTime = std::chrono::seconds{2}; // A restarted endpoint is used again within this time.
// The directory removes the entry of an ended endpoint after three check-in intervals of silence (3.6 s in the deployment's settings). An endpoint that is
// listed for longer than this is alive.
constexpr duration initialMisdirectedTime = std::chrono::seconds{5};
constexpr duration maxMisdirectedTime = std::chrono::seconds{60};
constexpr double newSampleWeight = 0.15; // Weight of the newest sample in a mean time.
constexpr double overdueFactor = 4; // Multiple of the mean time after which an answer is overdue.
constexpr duration minSilence = std::chrono::milliseconds{200}; // Scheduling delays of a busy machine are shorter.
// Requests a second of all VMs at an endpoint that names a lower limit. Only an answer shows that the limit has ended.
constexpr double lowestLimit = 0.1;

} // namespace

void endpoint_statistics::decay(time_point now)
{
    const double elapsed = std::chrono::duration<double>(std::max(now - m_decayedAt, duration{})).count();
    const double decayFactor = std::exp(-elapsed / decayTimeSeconds);
    m_successes *= decayFactor;
    m_failures *= decayFactor;
    m_decayedAt = std::max(m_decayedAt, now);
}

void endpoint_statistics::onSuccess(duration time, time_point now)
{
    decay(now);
    m_successes += 1;
    m_meanTime = updatedMean(m_meanTime, time);
}

duration endpoint_statistics::updatedMean(duration mean, duration sample)
{
    return mean == duration{} ? sample : mean + std::chrono::duration_cast<duration>((sample - mean) * newSampleWeight);
}

void endpoint_statistics::onFailure(time_point now)
{
    decay(now);
    m_failures += 1;
}

void endpoint_statistics::onOutcomes(std::int32_t successes, std::int32_t failures, time_point now)
{
    decay(now);
    m_successes += successes;
    m_failures += failures;
}

double endpoint_statistics::failureRatio(time_point now) const
{
    const double elapsed = std::chrono::duration<double>(std::max(now - m_decayedAt, duration{})).count();
    const double decayFactor = std::exp(-elapsed / decayTimeSeconds);
    return m_failures * decayFactor / ((m_successes + m_failures) * decayFactor + priorAnswers);
}

bool endpoint_entry::isListed(time_point now) const
{
    return !misdirectedSince && info.condition == endpoint_condition::Ready && (!withdrawnAt || now < *withdrawnAt);
}

bool endpoint_entry::isLeaving(time_point now) const
{
    return leaving || info.condition != endpoint_condition::Ready || (withdrawnAt && now >= *withdrawnAt);
}

bool endpoint_entry::acceptsWorkOfOthers(time_point now) const
{
    return usable(now) && fullUntil <= now && downUntil <= now && roleChangeUntil <= now;
}

// Excludes the endpoint for a time that doubles with each failed connection. An endpoint without a listener refuses a connection within
// a round trip, so that a single request afterwards shows whether it is available again.
void endpoint_entry::onUnreachable(time_point now)
{
    downTime = downTime == duration{} ? initialDownTime : std::min(downTime * 2, maxDownTime);
    downUntil = now + downTime;
    warmup.onMayBeCold(downUntil, now); // Its next run may answer before the directory shows it.
}

void endpoint_entry::takePermit(time_point now)
{
    pace.take(now);
    warmup.take(now);
}

std::optional<double> endpoint_entry::permitRate(time_point now) const
{
    const auto limit = pace.rate();
    const auto cold = warmup.rate(now);
    return limit && cold ? std::min(limit, cold) : limit ? limit : cold;
}

// The refusal means that another endpoint has the address, or that this one has another role by now. Only the directory tells the two apart.
void endpoint_entry::onMisdirected(std::uint64_t knownAnnouncements, time_point now)
{
    if (knownAnnouncements != announcements) {
        return; // The refusal concerns the run or the role before.
    }
    misdirectedTime = misdirectedTime == duration{} ? initialMisdirectedTime : std::min(misdirectedTime * 2, maxMisdirectedTime);
    misdirectedSince = now;
}

duration endpoint_entry::longestUnansweredWait(time_point now) const
{
    duration longest{};
    for (const auto &[attempt, work] : open) {
        if (!work.answered) {
            longest = std::max(longest, now - work.since);
        }
    }
    return longest;
}

bool endpoint_entry::isSilent(time_point now) const
{
    const auto expected = std::chrono::duration_cast<duration>(endpointStatistics.meanTime() * overdueFactor);
    const auto longest = std::max<duration>(expected, minSilence);
    return now - heardAt > longest && longestUnansweredWait(now) > longest;
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

double endpoint_entry::throughput(duration holdTime, time_point now) const
{
    const auto seconds = std::max(std::chrono::duration<double>(holdTime).count(), std::numeric_limits<double>::min());
    const auto bySlots = info.slots / seconds;
    return std::min(bySlots, permitRate(now).value_or(bySlots));
}

software_version endpoint_entry::currentVersion() const
{
    return runEndedAt ? software_version{"unknown:" + info.name.value + '/' + std::to_string(info.startedAt)} : info.version;
}

bool endpoint_directory::applyAnnouncement(const relay_endpoint &info, bool isChange, time_point now)
{
    const auto [found, isNew] = m_entries.try_emplace(info.name);
    auto &entry = found->second;
    // This is a late announcement of an earlier run.
    if (info.startedAt < entry.info.startedAt) {
        return false;
    }
    const bool restarted = info.startedAt != entry.info.startedAt;
    const bool changed = restarted || entry.info != info || entry.withdrawnAt;
    if (restarted) {
        entry.endpointStatistics = {};
        entry.loadEstimate.onRestarted();
        entry.holdTime = {};
        entry.downUntil = {};
        entry.downTime = {};
        entry.wayLost = false;
        entry.connectFailedAt.reset();
        entry.endRefutedAt.reset();
        entry.runEndedAt.reset();
    }
    if (isNew || entry.info.service != info.service) {
        const auto terms = m_coldTerms.find(info.service);
        entry.warmup.setTerms(terms == m_coldTerms.end() ? std::nullopt : std::optional(terms->second), now);
        entry.warmup.setShare(m_limitShare, stableHash(info.name.value, m_paceSeed), now);
    }
    if (isNew || restarted) {
        entry.warmup.onRun(info.coldLeft, isChange || !isNew, now);
    } else if (entry.info.coldLeft != info.coldLeft) {
        entry.warmup.onListed(info.coldLeft, now);
    }
    // The endpoint itself has written its entry again, so it is alive.
    if (changed) {
        ++entry.announcements;
        entry.misdirectedSince.reset();
        entry.misdirectedTime = {};
    }
    // An endpoint that announces another role has completed its role change, so it may receive work again.
    if (entry.info.role != info.role) {
        entry.roleChangeUntil = {};
    }
    entry.info = info;
    entry.leaving = m_leavingRuns.contains(info.name, info.startedAt);
    const auto pause = m_pauses.find(info.name);
    entry.pausedUntil = pause != m_pauses.end() && pause->second.startedAt == info.startedAt ? pause->second.until : time_point{};
    entry.withdrawnAt.reset();
    updateClosing(entry);
    return changed;
}

bool endpoint_directory::withdraw(endpoint_entry &entry, time_point now) const
{
    if (entry.withdrawnAt) {
        return false;
    }
    // Entries expire during an outage of the directory although their endpoints are alive.
    const bool afterOutage = m_hadOutage && now - m_reachableSince < reannounceTime;
    entry.withdrawnAt = afterOutage ? m_reachableSince + reannounceTime : now;
    return true;
}

std::vector<endpoint_name> endpoint_directory::onRead(const directory_read &read, time_point now)
{
    std::vector<endpoint_name> changedNames;
    std::set<endpoint_name> listedNames;
    for (const auto &change : read.changed) {
        listedNames.insert(change.name);
        if (change.value) {
            if (applyAnnouncement(*change.value, !read.whole, now)) {
                changedNames.push_back(change.name);
            }
            continue;
        }
        const auto it = m_entries.find(change.name);
        if (it != m_entries.end() && withdraw(it->second, now)) {
            changedNames.push_back(change.name);
        }
    }
    if (read.whole) {
        for (auto &[name, entry] : m_entries) {
            if (!listedNames.contains(name) && withdraw(entry, now)) {
                changedNames.push_back(name);
            }
        }
    }
    m_position = std::max(m_position, read.position);
    m_changedPosition = std::max(m_changedPosition, read.position);
    m_known = true;
    return changedNames;
}

void endpoint_directory::onReachable(bool reachable, bool afterOutage, time_point now)
{
    if (reachable && !m_reachable && afterOutage) {
        m_reachableSince = now;
        m_hadOutage = true;
    }
    m_reachable = reachable;
}

void endpoint_directory::onRestored(time_point now)
{
    m_reachableSince = now;
    m_hadOutage = true;
}

void endpoint_directory::onReannouncing(duration reannounceLeft, time_point now)
{
    if (reannounceLeft > duration{}) {
        m_reachableSince = std::max(m_reachableSince, now + reannounceLeft - reannounceTime);
        m_hadOutage = true;
    }
}

duration endpoint_directory::reannounceLeft(time_point now) const
{
    return m_hadOutage ? std::max<duration>(m_reachableSince + reannounceTime - now, duration{}) : duration{};
}

void endpoint_directory::tick(time_point now)
{
    std::erase_if(m_entries, [&](const auto &item) { return item.second.withdrawnAt && now >= *item.second.withdrawnAt && item.second.open.empty(); });
    m_leavingRuns.tick(now);
    std::erase_if(m_pauses, [&](const auto &item) { return item.second.until <= now; });
    for (auto &[name, entry] : m_entries) {
        if (entry.runEndedAt && !m_reachable) {
            entry.runEndedAt = now;
        } else if (entry.runEndedAt && now - *entry.runEndedAt >= reannounceTime) {
            entry.runEndedAt.reset(); // A next run would have written its entry by now.
        }
        if (entry.misdirectedSince && !m_reachable) {
            // Entries of ended endpoints stay while the directory does not answer.
            entry.misdirectedSince = now;
        } else if (entry.misdirectedSince && now - *entry.misdirectedSince >= entry.misdirectedTime) {
            entry.misdirectedSince.reset();
        }
    }
}

endpoint_entry *endpoint_directory::find(const endpoint_name &name)
{
    const auto it = m_entries.find(name);
    return it == m_entries.end() ? nullptr : &it->second;
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

std::vector<endpoint_entry *> endpoint_directory::all()
{
    std::vector<endpoint_entry *> out;
    for (auto &[name, entry] : m_entries) {
        out.push_back(&entry);
    }
    return out;
}

std::vector<const endpoint_entry *> endpoint_directory::entriesOf(const service_name &service) const
{
    std::vector<const endpoint_entry *> out;
    for (const auto &[name, entry] : m_entries) {
        if (entry.info.service == service) {
            out.push_back(&entry);
        }
    }
    return out;
}

bool endpoint_directory::hasService(const service_name &service, time_point now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &item) { return item.second.info.service == service && item.second.usable(now); });
}

bool endpoint_directory::hasVersion(const service_name &service, const software_version &version, time_point now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &item) {
        const auto &info = item.second.info;
        return info.service == service && item.second.serves(version) && info.role != endpoint_role::Prefill && item.second.usable(now);
    });
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

void endpoint_directory::onCrash(const endpoint_crash &crash, time_point now)
{
    auto *const entry = find(crash.endpoint);
    if (entry == nullptr || entry->info.startedAt != crash.startedAt) {
        return;
    }
    const bool isNew = crash.age < maxDownTime;
    if (isNew || !m_reachable) {
        entry->runEndedAt = now;
    }
    if (isNew && entry->downUntil <= now) {
        entry->onUnreachable(now);
    }
}

std::vector<endpoint_outcomes> endpoint_directory::takeOutcomes()
{
    std::vector<endpoint_outcomes> out;
    for (auto &[name, entry] : m_entries) {
        if (entry.unreported.successes > 0 || entry.unreported.failures > 0) {
            out.push_back(std::exchange(entry.unreported, {}));
            out.back().endpoint = name;
        }
    }
    return out;
}

std::vector<endpoint_name> endpoint_directory::notAccepting(const service_name &service, time_point now) const
{
    std::vector<endpoint_name> out;
    for (const auto &[name, entry] : m_entries) {
        if (entry.info.service == service && entry.isListed(now) && !entry.isClosed(now) && !entry.acceptsWork(now)) {
            out.push_back(name); // The hub knows the evacuations itself.
        }
    }
    return out;
}

std::vector<endpoint_load> endpoint_directory::ownLoads(time_point now) const
{
    std::vector<endpoint_load> out;
    for (const auto &[name, entry] : m_entries) {
        const auto &workTime = entry.loadEstimate.workTime();
        const auto percent = workTime ? workTime->shared(now) : std::nullopt;
        if (!entry.open.empty() || percent) {
            out.push_back(entry.ownLoad());
            out.back().workTimePercent = percent;
        }
    }
    return out;
}

bool endpoint_directory::onStatement(const endpoint_name &name, const endpoint_statement &statement, time_point sentAt, time_point now)
{
    auto *const entry = find(name);
    if (entry == nullptr || !entry->limit.onAnswer(statement, sentAt, now)) {
        return false;
    }
    updatePace(*entry, now);
    return true;
}

void endpoint_directory::onLimits(const std::vector<limit_report> &reports, time_point now)
{
    for (const auto &report : reports) {
        auto *const entry = find(report.endpoint);
        if (entry != nullptr && entry->limit.onReport(report, now)) {
            updatePace(*entry, now);
        }
    }
}

std::vector<limit_report> endpoint_directory::limitReports(bool refresh, time_point now) const
{
    std::vector<limit_report> out;
    for (const auto &[name, entry] : m_entries) {
        if (auto report = entry.limit.report(refresh, now)) {
            report->endpoint = name;
            out.push_back(std::move(*report));
        }
    }
    return out;
}

bool endpoint_directory::onLeaving(const leaving_endpoint &endpoint, time_point now)
{
    if (!m_leavingRuns.add(endpoint, now)) {
        return false;
    }
    if (auto *const entry = find(endpoint.name)) {
        entry->leaving = entry->info.startedAt == endpoint.startedAt;
    }
    return true;
}

bool endpoint_directory::onPause(const endpoint_name &name, std::int64_t startedAt, duration time, time_point now)
{
    auto &pause = m_pauses[name];
    if (startedAt < pause.startedAt) {
        return false;
    }
    const bool isNew = startedAt != pause.startedAt || pause.until <= now;
    pause = {startedAt, std::max(isNew ? time_point{} : pause.until, now + time)};
    auto *const entry = find(name);
    if (entry != nullptr && entry->info.startedAt == startedAt) {
        entry->pausedUntil = pause.until;
    }
    return isNew;
}

std::optional<time_point> endpoint_directory::pausedUntil(const service_name &service, time_point now, const data_centre_filter &allowed) const
{
    std::optional<time_point> earliest;
    for (const auto &[name, entry] : m_entries) {
        const bool isAllowed = !allowed || allowed(entry.info.dataCentre);
        if (entry.info.service != service || entry.info.role == endpoint_role::Prefill || !entry.usable(now) || !isAllowed) {
            continue;
        }
        if (entry.pausedUntil <= now) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(entry.pausedUntil), entry.pausedUntil);
    }
    return earliest;
}

std::vector<leaving_endpoint> endpoint_directory::leavingReports(bool refresh, time_point now) const
{
    auto reports = m_leavingRuns.all();
    std::erase_if(reports, [&](const leaving_endpoint &endpoint) {
        const auto entry = m_entries.find(endpoint.name);
        const bool isListed = entry != m_entries.end() && entry->second.leaving && entry->second.isListed(now);
        return !m_leavingRuns.isRecent(endpoint.name, now) && !(refresh && isListed);
    });
    return reports;
}

void endpoint_directory::updateClosing(endpoint_entry &entry) const
{
    const auto found = m_closedFrom.find(entry.info.dataCentre);
    entry.closedFrom = found == m_closedFrom.end() ? std::nullopt : std::optional(found->second);
}

void endpoint_directory::setEvacuated(std::map<data_centre_name, time_point> closedFrom)
{
    m_closedFrom = std::move(closedFrom);
    for (auto &[name, entry] : m_entries) {
        updateClosing(entry);
    }
}

bool endpoint_directory::onlyClosed(const service_name &service, const std::optional<software_version> &version, time_point now) const
{
    if (m_closedFrom.empty()) {
        return false;
    }
    bool anyClosed = false;
    for (const auto &[name, entry] : m_entries) {
        const bool mayServe = entry.info.service == service && entry.info.role != endpoint_role::Prefill && entry.serves(version);
        if (mayServe && entry.usable(now)) {
            return false;
        }
        anyClosed = anyClosed || (mayServe && !entry.leaving && entry.isClosed(now) && entry.isListed(now));
    }
    return anyClosed;
}

bool endpoint_directory::isClosedAddress(const std::string &address, time_point now) const
{
    return !m_closedFrom.empty() && std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &item) {
        return item.second.info.address == address && item.second.isClosed(now);
    });
}

std::pair<std::size_t, std::size_t> endpoint_directory::countIn(const data_centre_name &dataCentre) const
{
    std::pair<std::size_t, std::size_t> counts;
    for (const auto &[name, entry] : m_entries) {
        if (entry.info.dataCentre == dataCentre) {
            ++counts.first;
            counts.second += entry.open.size();
        }
    }
    return counts;
}

void endpoint_directory::updatePace(endpoint_entry &entry, time_point now) const
{
    const auto limit = entry.limit.perSecond();
    const auto rate = limit ? std::optional(std::max(*limit, lowestLimit) * m_limitShare) : std::nullopt;
    entry.pace.setRate(rate, stableHash(entry.info.name.value, m_paceSeed), now);
}

void endpoint_directory::setLimitShare(double share, time_point now)
{
    if (share == m_limitShare) {
        return;
    }
    m_limitShare = share;
    for (auto &[name, entry] : m_entries) {
        updatePace(entry, now);
        entry.warmup.setShare(share, stableHash(name.value, m_paceSeed), now);
    }
}

bool endpoint_directory::hasLimits(const service_name &service, time_point now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &item) {
        return item.second.info.service == service && item.second.permitRate(now) && item.second.usable(now);
    });
}

bool endpoint_directory::onlyLimited(const service_name &service, time_point now) const
{
    return hasLimits(service, now) && std::none_of(m_entries.begin(), m_entries.end(), [&](const auto &item) {
               const auto &entry = item.second;
               return entry.info.service == service && entry.info.role != endpoint_role::Prefill && !entry.permitRate(now) && entry.usable(now);
           });
}

std::size_t endpoint_directory::limitedEndpoints() const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [](const auto &item) { return item.second.pace.rate().has_value(); }));
}

void endpoint_directory::setColdTerms(const std::vector<relay_service> &services, time_point now)
{
    m_coldTerms.clear();
    for (const auto &service : services) {
        if (service.coldRate > 0) {
            m_coldTerms[service.name] = {service.coldTime, service.coldRate};
        }
    }
    for (auto &[name, entry] : m_entries) {
        const auto terms = m_coldTerms.find(entry.info.service);
        entry.warmup.setTerms(terms == m_coldTerms.end() ? std::nullopt : std::optional(terms->second), now);
    }
}

void endpoint_directory::onMayBeCold(const data_centre_name &dataCentre, time_point now)
{
    for (auto &[name, entry] : m_entries) {
        if (entry.info.dataCentre == dataCentre) {
            entry.warmup.onMayBeCold(now, now);
        }
    }
}

bool endpoint_directory::onColdStatement(
    const endpoint_name &name, std::int64_t startedAt, const endpoint_statement &statement, time_point sentAt, time_point now)
{
    auto *const entry = find(name);
    if (entry == nullptr || entry->info.startedAt != startedAt) {
        return false;
    }
    if (!statement.coldKnown) {
        return entry->warmup.onUnreadable(now);
    }
    return statement.coldLeft && entry->warmup.onStated(*statement.coldLeft, sentAt, now);
}

void endpoint_directory::onColdReports(const std::vector<cold_endpoint> &reports, time_point now)
{
    for (const auto &report : reports) {
        auto *const entry = find(report.name);
        if (entry != nullptr && entry->info.startedAt == report.startedAt) {
            entry->warmup.onReported(report.left, now);
        }
    }
}

std::vector<cold_endpoint> endpoint_directory::coldReports(time_point now) const
{
    std::vector<cold_endpoint> out;
    for (const auto &[name, entry] : m_entries) {
        if (const auto left = entry.warmup.report(now)) {
            out.push_back({name, entry.info.startedAt, *left});
        }
    }
    return out;
}

std::size_t endpoint_directory::coldEndpoints(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto &item) { return item.second.warmup.isCold(now); }));
}

} // namespace plantainpoint
