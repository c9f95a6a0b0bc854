#include "stream_versions.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

constexpr duration appendTimeout = milliseconds{400}; // The directory does not take records if an append takes longer.
constexpr duration appendRetry = milliseconds{150};
constexpr duration removalInterval = std::chrono::seconds{10}; // Pause between two appends that only remove records.
constexpr duration storedElsewhereTime = std::chrono::seconds{1}; // Other VMs count as storing records for this time after they last have.
constexpr duration defaultsRetry = milliseconds{1500}; // Pause between two attempts to set default versions.
// Defaults change so rarely that the first list of endpoints that a VM gets may be this much newer than the defaults that it knows.
constexpr duration startSlack = std::chrono::seconds{10};
constexpr duration maxTransit = milliseconds{500}; // Messages between VMs take less time than this.

bool isEmpty(const append_stream_records &append)
{
    return append.records.empty() && append.expired.empty();
}

} // namespace

std::uint64_t streamKeyOf(std::string_view requestId)
{
    return stableHash(requestId);
}

void stream_versions::onEndpoints(const route_table &routes, const endpoint_directory &endpoints, time_point now)
{
    std::set<service_name> services;
    for (const auto &route : routes.config().routes) {
        if (route.policy != repeat_policy::Stream || !route.resumable) {
            continue;
        }
        for (const auto &each : route.services) {
            services.insert(each.service);
        }
    }
    for (const auto &service : services) {
        const auto [it, added] = m_services.try_emplace(service);
        auto &known = it->second;
        std::map<software_version, int> listed;
        for (const auto *endpoint : endpoints.entriesOf(service)) {
            ++listed[endpoint->info.version];
        }
        // A version that was listed until now is seen until now.
        for (const auto &[version, count] : known.listed) {
            known.seenAt[version] = now;
        }
        for (const auto &[version, count] : listed) {
            known.seenAt[version] = now;
        }
        const auto sameVersions = [](const auto &a, const auto &b) { return a.first == b.first; };
        if (!std::equal(listed.begin(), listed.end(), known.listed.begin(), known.listed.end(), sameVersions)) {
            known.changedAt = known.listed.empty() ? now - startSlack : now;
        }
        known.listed = std::move(listed);
    }
}

bool stream_versions::isCertain(const service_name &service, const known_service &known) const
{
    return m_defaults.contains(service) && m_defaultsAsOf && *m_defaultsAsOf >= known.changedAt;
}

std::optional<software_version> stream_versions::defaultVersion(const service_name &service) const
{
    const auto it = m_defaults.find(service);
    return it == m_defaults.end() ? std::nullopt : std::optional(it->second);
}

record_need stream_versions::begin(std::uint64_t stream, const stream_origin &origin, time_point now)
{
    const auto service = m_services.find(origin.service);
    const bool isDefault = service != m_services.end() && isCertain(origin.service, service->second) && m_defaults.at(origin.service) == origin.version;
    const bool isExpected = isDefault && !m_streams.contains(stream);
    const bool mayBeOther = !isExpected || onlyVersion(service->second, now) != origin.version;
    // After a loss, the lack of a record does not tell the default.
    const bool isStoredToo = !isExpected || !isComplete(streamLifetime, now);
    if (mayBeOther || isStoredToo) {
        m_streams[stream] = {.origin = origin, .at = now, .isOwn = true, .isWriter = isStoredToo};
    }
    if (isStoredToo) {
        m_unsent.records.push_back({stream, origin});
    }
    return !isExpected ? record_need::Record : mayBeOther ? record_need::Copies : record_need::None;
}

void stream_versions::keep(const stream_record &record, bool stores, time_point now)
{
    auto &known = m_streams.try_emplace(record.stream, known_stream{record.origin, now}).first->second;
    known.isOwn = true;
    if (stores && !known.isStored && !known.isWriter) {
        known.isWriter = true;
        m_unsent.records.push_back(record);
    }
}

void stream_versions::onStoredElsewhere(const std::vector<std::uint64_t> &streams, time_point now)
{
    m_storedElsewhereAt = now;
    markStored(streams);
}

void stream_versions::markStored(const std::vector<std::uint64_t> &streams)
{
    for (const auto stream : streams) {
        if (const auto it = m_streams.find(stream); it != m_streams.end()) {
            it->second.isStored = true;
        }
    }
}

bool stream_versions::isStored(std::uint64_t stream) const
{
    const auto it = m_streams.find(stream);
    return it != m_streams.end() && it->second.isStored;
}

bool stream_versions::isAppendFailing(time_point now) const
{
    return m_failing || (!isEmpty(m_sent) && now - m_sentAt >= appendTimeout);
}

bool stream_versions::canRecord(time_point now) const
{
    return !isAppendFailing(now) || (m_storedElsewhereAt && now - *m_storedElsewhereAt < storedElsewhereTime);
}

std::optional<stream_origin> stream_versions::findKnown(std::uint64_t stream) const
{
    const auto it = m_streams.find(stream);
    return it == m_streams.end() ? std::nullopt : std::optional(it->second.origin);
}

std::optional<software_version> stream_versions::onlyVersion(const known_service &known, time_point now)
{
    std::optional<software_version> only;
    for (const auto &[version, seenAt] : known.seenAt) {
        if (!known.listed.contains(version) && now - seenAt >= streamLifetime) {
            continue;
        }
        if (only) {
            return std::nullopt;
        }
        only = version;
    }
    return only;
}

std::optional<stream_origin> stream_versions::find(std::uint64_t stream, const service_name &service, bool readSucceeded, time_point now) const
{
    if (auto origin = findKnown(stream)) {
        return origin;
    }
    const auto known = m_services.find(service);
    if (known == m_services.end()) {
        return std::nullopt;
    }
    if (readSucceeded && isCertain(service, known->second)) {
        return stream_origin{service, m_defaults.at(service)};
    }
    // Without a record or a default, a stream can have begun at no other version than the only one.
    const auto only = onlyVersion(known->second, now);
    return only ? std::optional(stream_origin{service, *only}) : std::nullopt;
}

std::optional<stream_origin> stream_versions::findWithoutId(const service_name &service, bool readSucceeded, time_point now) const
{
    const auto known = m_services.find(service);
    if (known == m_services.end() || !readSucceeded || !isCertain(service, known->second)) {
        return std::nullopt;
    }
    const stream_origin origin{service, m_defaults.at(service)};
    const bool onlyDefault = onlyVersion(known->second, now) == origin.version && std::all_of(m_streams.begin(), m_streams.end(), [&](const auto &item) {
                                 return item.second.origin.service != service || item.second.origin == origin;
                             });
    return onlyDefault ? std::optional(origin) : std::nullopt;
}

std::optional<append_stream_records> stream_versions::takeRecords(time_point now)
{
    const bool isDue = !m_unsent.records.empty() || (!m_unsent.expired.empty() && now >= m_removeAt);
    if (!isEmpty(m_sent) || !isDue || now < m_retryAt) {
        return std::nullopt;
    }
    m_sent = std::exchange(m_unsent, {});
    m_sentAt = now;
    m_removeAt = now + removalInterval;
    return m_sent;
}

std::vector<std::uint64_t> stream_versions::on(const stream_records_appended &appended, time_point now)
{
    m_failing = !appended.succeeded;
    std::vector<std::uint64_t> stored;
    if (appended.succeeded) {
        std::transform(m_sent.records.begin(), m_sent.records.end(), std::back_inserter(stored), [](const auto &record) { return record.stream; });
        m_sent = {};
        markStored(stored);
        return stored;
    }
    // Older records go first: of two records of a stream the last one holds.
    m_sent.records.insert(m_sent.records.end(), m_unsent.records.begin(), m_unsent.records.end());
    m_sent.expired.insert(m_sent.expired.end(), m_unsent.expired.begin(), m_unsent.expired.end());
    m_unsent = std::exchange(m_sent, {});
    m_retryAt = now + appendRetry;
    return stored;
}

void stream_versions::on(const stream_records_read &read, time_point now)
{
    m_wasRestored = m_wasRestored || read.restored;
    if (read.lacksOlder) {
        m_lostAt = now;
    }
    for (const auto &record : read.streams) {
        auto &known = m_streams.try_emplace(record.stream, known_stream{record.origin, now}).first->second;
        known.origin = record.origin;
        known.isStored = true;
        // The VM that has to remove the record has ended.
        if (read.all && !known.isWriter && now - known.at >= streamLifetime) {
            m_unsent.expired.push_back(record.stream);
        }
    }
    if (read.succeeded && read.defaults) {
        m_defaults.clear();
        for (const auto &origin : *read.defaults) {
            m_defaults[origin.service] = origin.version;
            m_lostDefaults.erase(origin.service);
        }
        m_defaultsEnd = read.defaultsEnd;
        m_defaultsAsOf = now - read.age;
    }
}

void stream_versions::onLost(time_point now)
{
    m_lostAt = now;
    for (const auto &[service, version] : m_defaults) {
        m_lostDefaults[service] = version;
    }
    m_defaults.clear();
    m_defaultsAsOf.reset();
    for (auto &[stream, known] : m_streams) {
        known.isStored = false;
        if (known.isOwn && now - known.at < streamLifetime) {
            known.isWriter = true;
            m_unsent.records.push_back({stream, known.origin});
        }
    }
}

void stream_versions::onDefaults(const default_versions &defaults, time_point now)
{
    const auto asOf = now - defaults.age - maxTransit;
    if (m_defaultsAsOf && asOf <= *m_defaultsAsOf) {
        return;
    }
    m_defaultsAsOf = asOf;
    m_defaults.clear();
    for (const auto &origin : defaults.origins) {
        m_defaults[origin.service] = origin.version;
    }
}

std::optional<default_versions> stream_versions::defaults(time_point now) const
{
    if (!m_defaultsAsOf || m_defaults.empty()) {
        return std::nullopt;
    }
    default_versions out{.age = now - *m_defaultsAsOf};
    for (const auto &[service, version] : m_defaults) {
        out.origins.push_back({service, version});
    }
    return out;
}

bool stream_versions::isUncertain() const
{
    return std::any_of(
        m_services.begin(), m_services.end(), [&](const auto &item) { return !item.second.listed.empty() && !isCertain(item.first, item.second); });
}

std::optional<set_default_versions> stream_versions::missingDefaults(time_point now)
{
    if (!m_defaultsAsOf || now < m_nextDefaultsAt) {
        return std::nullopt;
    }
    set_default_versions out{.end = m_defaultsEnd};
    for (const auto &[service, known] : m_services) {
        if (known.listed.empty() || *m_defaultsAsOf < known.changedAt) {
            continue;
        }
        const auto most = std::max_element(known.listed.begin(), known.listed.end(), [](const auto &a, const auto &b) { return a.second < b.second; })->first;
        const auto current = m_defaults.find(service);
        if (const auto lost = m_lostDefaults.find(service); current == m_defaults.end() && lost != m_lostDefaults.end()) {
            out.origins.push_back({service, lost->second});
            continue;
        }
        const bool isSettled = now - m_startedAt >= streamLifetime && onlyVersion(known, now) == most;
        // Without a default, all streams have been recorded.
        if (current == m_defaults.end() || (current->second != most && isSettled)) {
            out.origins.push_back({service, most});
        }
    }
    if (out.origins.empty()) {
        return std::nullopt;
    }
    m_nextDefaultsAt = now + defaultsRetry;
    return out;
}

void stream_versions::tick(time_point now)
{
    for (auto &[stream, known] : m_streams) {
        if (known.isWriter && known.isStored && now - known.at >= streamLifetime) {
            known.isWriter = false;
            m_unsent.expired.push_back(stream);
        }
    }
    std::erase_if(m_streams, [&](const auto &item) { return now - item.second.at >= 2 * streamLifetime; });
}

} // namespace plantainpoint
