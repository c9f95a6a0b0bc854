// Software versions of streams: a stream goes on at the version that began it only, here and after its caller has taken it up again.
#include "relay_requests.hpp"

#include <algorithm>
#include <utility>

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

// Events wait for the record of their stream for this time. A directory that answers takes some milliseconds.
constexpr duration holdTime = milliseconds{1000};
constexpr duration unknownVersionRetry = milliseconds{300}; // The directory may answer again by then.
constexpr duration defaultsReadInterval = std::chrono::seconds{1};

} // namespace

// Binds a stream to the version of the endpoint that brings its first event. Returns false if that version is not certain.
bool relay_requests::bindVersion(relay_entry &entry)
{
    if (entry.version || !entry.route->resumable) {
        return true;
    }
    const auto now = m_components.clock.now();
    const auto &attempt = *entry.attempt;
    const auto *const endpoint = m_components.endpoints.find(attempt.endpoint);
    // The endpoint has started again with another version, and either run may have got the request.
    if (endpoint != nullptr && endpoint->info.startedAt != attempt.endpointStartedAt && endpoint->info.version != attempt.version) {
        return false;
    }
    entry.version = attempt.version;
    if (entry.request.payload->id.empty()) {
        return true;
    }
    const auto stream = streamKeyOf(entry.request.payload->id);
    if (m_components.versions.begin(stream, {entry.service, attempt.version}, now)) {
        entry.heldUntil = now + holdTime;
        m_held.emplace(stream, entry.request.caller);
    } else if (m_components.versions.findKnown(stream)) {
        m_components.logMessage(severity::Warning,
                                log_component::Place,
                                "request=" + entry.request.payload->id
                                    + " begins without a stored record, as the directory takes none version=" + attempt.version.value);
    }
    return true;
}

void relay_requests::releaseHeld(relay_entry &entry)
{
    if (!entry.heldUntil) {
        return;
    }
    entry.heldUntil.reset();
    if (auto bytes = std::exchange(entry.heldBytes, {}); !bytes.empty()) {
        m_components.commands.push_back(answer_stream_bytes{entry.request.caller, std::move(bytes)});
    }
}

void relay_requests::on(const stream_records_appended &appended)
{
    for (const auto stream : m_components.versions.on(appended, m_components.clock.now())) {
        const auto [begin, end] = m_held.equal_range(stream);
        for (auto it = begin; it != end; ++it) {
            if (const auto found = m_entries.find(it->second); found != m_entries.end()) {
                releaseHeld(*found->second);
                scheduleWakeup(*found->second);
            }
        }
        m_held.erase(begin, end);
    }
}

// Looks for the version that began the stream before the request is placed. What this VM has read before may lack a stream that began elsewhere.
void relay_requests::lookUpVersion(relay_entry &entry)
{
    const auto known = entry.request.resumes.empty() ? std::nullopt : m_components.versions.findKnown(streamKeyOf(entry.request.resumes));
    if (known) {
        entry.versionSource = version_source::Memory;
        onVersionFound(entry, known);
        return;
    }
    m_lookups.push_back(entry.request.caller);
    scheduleWakeup(entry);
}

void relay_requests::onVersionFound(relay_entry &entry, const std::optional<stream_origin> &origin)
{
    if (!origin) {
        failRequest(entry, failure::StreamVersionUnknown, outcome::NotRun, "the version that began the stream is not known", unknownVersionRetry);
        return;
    }
    const auto &services = entry.route->services;
    const bool isRouted = std::any_of(services.begin(), services.end(), [&](const auto &each) { return each.service == origin->service; });
    if (!isRouted || !m_components.endpoints.hasVersion(origin->service, origin->version, m_components.clock.now())) {
        failRequest(entry,
                    failure::StreamVersionGone,
                    outcome::NotRun,
                    "no endpoint of " + origin->service.value + " has version " + origin->version.value + ", which began the stream");
        return;
    }
    entry.service = origin->service;
    entry.version = origin->version;
    placeOrWait(entry);
}

void relay_requests::on(const stream_records_read &read)
{
    const auto now = m_components.clock.now();
    m_readOpen = false;
    m_components.versions.on(read, now);
    // Versions may have joined that a VM does not know which neither reads the directory nor hears all others.
    const bool mayLackVersions = !read.succeeded && m_components.fleet.heard(now) < m_components.fleet.members(now);
    for (const auto caller : std::exchange(m_openLookups, {})) {
        const auto found = m_entries.find(caller);
        if (found == m_entries.end()) {
            continue;
        }
        auto &entry = *found->second;
        const auto &resumes = entry.request.resumes;
        if (resumes.empty()) {
            onVersionFound(entry, m_components.versions.findWithoutId(entry.service, read.succeeded, now));
        } else if (mayLackVersions) {
            entry.versionSource = version_source::Record;
            onVersionFound(entry, m_components.versions.findKnown(streamKeyOf(resumes)));
        } else {
            const bool hasRecord = m_components.versions.findKnown(streamKeyOf(resumes)).has_value();
            entry.versionSource = hasRecord ? version_source::Record : read.succeeded ? version_source::Default : version_source::OnlyVersion;
            onVersionFound(entry, m_components.versions.find(streamKeyOf(resumes), entry.service, read.succeeded, now));
        }
    }
}

void relay_requests::on(const default_versions_set & /*message*/)
{
    // Another VM may have been first.
    m_readsDefaults = true;
}

void relay_requests::on(const stream_records_lost & /*message*/)
{
    m_components.versions.onLost(m_components.clock.now());
    m_nextDefaultsRead = {};
}

void relay_requests::refuseGoneVersions()
{
    std::vector<caller_id> found;
    for (const auto &[caller, entry] : m_entries) {
        const bool isBound = entry->version || homesOf(*entry).bind();
        if (entry->machine.stage() == relay_stage::Waiting && isBound && !isServed(*entry, entry->version)) {
            found.push_back(caller);
        }
    }
    for (const auto caller : found) {
        auto &entry = *m_entries.at(caller);
        if (refuseHomeless(entry)) {
            continue;
        }
        failRequest(entry, failure::StreamVersionGone, outcome::NotRun, "no endpoint has version " + entry.version->value + " any more");
    }
}

void relay_requests::exchangeVersions(time_point now)
{
    auto &versions = m_components.versions;
    if (auto records = versions.takeRecords(now)) {
        m_components.commands.push_back(std::move(*records));
    }
    const bool needsDefaults = m_components.fleet.isHub() || !m_held.empty() || !m_lookups.empty();
    if (needsDefaults && versions.isUncertain() && now >= m_nextDefaultsRead) {
        m_nextDefaultsRead = now + defaultsReadInterval;
        m_readsDefaults = true;
    }
    if (!m_readOpen && (m_readsDefaults || !m_lookups.empty())) {
        m_readOpen = true;
        m_openLookups = std::exchange(m_lookups, {});
        m_components.commands.push_back(read_stream_records{std::exchange(m_readsDefaults, false)});
    }
    if (m_components.fleet.leads(now)) {
        if (auto missing = versions.missingDefaults(now)) {
            m_components.commands.push_back(std::move(*missing));
        }
    }
}

} // namespace plantainpoint
