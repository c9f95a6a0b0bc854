// Software versions of streams: a stream goes on at the version that began it only, here and after its caller has taken it up again.
#include "relay_requests.hpp"

#include <algorithm>
#include <utility>

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

// Events wait for the record of their stream for this time at most. A directory that answers takes some milliseconds.
constexpr duration holdTime = milliseconds{1000};
constexpr duration holdCheckInterval = milliseconds{100};
constexpr std::size_t copiesPerRecord = 2; // Beside the record in the directory.
constexpr duration originAnswerTime = milliseconds{100}; // Other VMs answer within some milliseconds. Those that do not are asked again.
constexpr duration lookupTime = milliseconds{1800}; // Callers give a stream up after a gap of two seconds or more.
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
    const stream_origin origin{entry.service, attempt.version};
    const auto need = m_components.versions.begin(stream, origin, now);
    if (need != record_need::None) {
        sendCopies({stream, origin}, now);
    }
    if (need == record_need::Record) {
        m_keepers.add({stream, origin}, now);
        entry.heldSince = now;
        entry.heldUntil = now + holdCheckInterval;
        m_held.emplace(stream, entry.request.caller);
    }
    return true;
}

// Returns whether no VM can take the stream for one at the default version: its record is stored, or other VMs keep it while nobody can store it.
bool relay_requests::isSafelyRecorded(const relay_entry &entry) const
{
    const auto now = m_components.clock.now();
    const auto stream = streamKeyOf(entry.request.payload->id);
    if (m_keepers.isStored(stream)) {
        return true;
    }
    const auto others = m_components.fleet.members(now) - 1;
    return !m_components.versions.canRecord(now) && m_keepers.copiesOf(stream) >= std::min(others, record_keepers::wantedCopies);
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

// Passes on what is held of streams that are recorded by now.
void relay_requests::releaseRecorded(const std::vector<std::uint64_t> &streams)
{
    for (const auto stream : streams) {
        const auto [begin, end] = m_held.equal_range(stream);
        for (auto it = begin; it != end;) {
            const auto found = m_entries.find(it->second);
            if (found != m_entries.end() && found->second->heldUntil && !isSafelyRecorded(*found->second)) {
                ++it;
                continue;
            }
            if (found != m_entries.end()) {
                releaseHeld(*found->second);
                scheduleWakeup(*found->second);
            }
            it = m_held.erase(it);
        }
    }
}

// Decides on events whose record is overdue. Without a record anywhere, another VM would take the stream for one at the default version. Its caller has
// nothing of it and is better off at a VM that can record it.
void relay_requests::onHoldDue(relay_entry &entry)
{
    const auto now = m_components.clock.now();
    const auto stream = streamKeyOf(entry.request.payload->id);
    if (!isSafelyRecorded(entry) && now - entry.heldSince < holdTime) {
        entry.heldUntil = now + holdCheckInterval;
        scheduleWakeup(entry);
        return;
    }
    const auto copies = m_keepers.copiesOf(stream);
    const auto defaultVersion = m_components.versions.defaultVersion(entry.service);
    const bool mayBeJoined = defaultVersion && defaultVersion != entry.version && isServed(entry, defaultVersion);
    const bool isAlone = m_components.fleet.members(now) == 1;
    if (!isSafelyRecorded(entry) && copies == 0 && mayBeJoined && !isAlone) {
        abortStream(entry, "neither the directory nor another VM takes the record of the stream");
        return;
    }
    m_components.logMessage(severity::Warning,
                            log_component::Place,
                            "request=" + entry.request.payload->id + " begins without a stored record version=" + entry.version->value
                                + " copies=" + std::to_string(copies));
    releaseHeld(entry);
    scheduleWakeup(entry);
}

void relay_requests::on(const stream_records_appended &appended)
{
    const auto stored = m_components.versions.on(appended, m_components.clock.now());
    m_keepers.onStored(stored);
    releaseRecorded(stored);
    for (auto &[address, answer] : m_keptRecords.onStored(stored)) {
        answer.from = m_components.settings.self;
        m_components.commands.push_back(send_record_answer{address, answer});
    }
}

void relay_requests::on(const record_keeping_ask &ask)
{
    if (m_components.shuttingDown) {
        return;
    }
    const auto now = m_components.clock.now();
    auto &versions = m_components.versions;
    for (const auto &record : ask.records) {
        versions.keep(record, ask.stores, now);
    }
    auto answer = m_keptRecords.add(
        ask, [&](std::uint64_t stream) { return versions.isStored(stream); }, now);
    answer.from = m_components.settings.self;
    ++m_components.metrics.recordAsksAnswered;
    m_components.commands.push_back(send_record_answer{ask.address, answer});
}

void relay_requests::on(const record_keeping_answer &answer)
{
    if (answer.receiverIncarnation != m_components.settings.self.number) {
        return;
    }
    const auto streams = m_keepers.on(answer);
    if (answer.stored && !streams.empty()) {
        m_components.versions.onStoredElsewhere(streams, m_components.clock.now());
    }
    releaseRecorded(streams);
}

// Forgets records that nobody needs any more.
void relay_requests::forgetRecords(time_point now)
{
    m_components.versions.tick(now);
    m_keepers.forgetBefore(now - stream_versions::streamLifetime);
    m_keptRecords.forgetBefore(now - stream_versions::streamLifetime);
}

// Asks other VMs to keep and store the records that the directory does not take from this VM.
void relay_requests::askKeepers(time_point now)
{
    auto records = m_keepers.takeDue(m_components.versions.isAppendFailing(now), now);
    if (records.empty()) {
        return;
    }
    const record_keeping_ask ask{
        .from = m_components.settings.self, .address = m_components.settings.peerAddress, .number = ++m_lastRecordAsk, .records = std::move(records)};
    const auto shared = std::make_shared<const record_keeping_ask>(ask);
    for (const auto &receiver : m_keepers.sendTo(ask.number, ask.records, m_components.fleet.runningMembers(now), now)) {
        ++m_components.metrics.recordAsks;
        m_components.commands.push_back(send_record_ask{receiver.address, shared});
    }
}

// Has hubs keep copies of a record, as the directory may lose it.
void relay_requests::sendCopies(const stream_record &record, time_point now)
{
    auto hubs = m_components.fleet.liveHubs(now);
    hubs.resize(std::min(hubs.size(), copiesPerRecord));
    if (hubs.empty()) {
        return;
    }
    const auto ask = std::make_shared<const record_keeping_ask>(record_keeping_ask{
        .from = m_components.settings.self, .address = m_components.settings.peerAddress, .number = ++m_lastRecordAsk, .stores = false, .records = {record}});
    m_keepers.onAsked(ask->number, ask->records, now);
    for (const auto &hub : hubs) {
        ++m_components.metrics.recordAsks;
        m_components.commands.push_back(send_record_ask{hub.address, ask});
    }
}

// Looks for the version that began the stream before the request is placed. What this VM has read before may lack a stream that began elsewhere.
void relay_requests::lookUpVersion(relay_entry &entry)
{
    const auto stream = streamKeyOf(entry.request.resumes);
    const auto known = entry.request.resumes.empty() ? std::nullopt : m_components.versions.findKnown(stream);
    if (known) {
        onVersionFound(entry, known, version_source::Memory);
        return;
    }
    m_lookups.push_back(entry.request.caller);
    entry.lookup = version_lookup{.ask = ++m_lastOriginAsk, .asksUntil = m_components.clock.now() + lookupTime};
    if (!entry.request.resumes.empty()) {
        m_originAsks.emplace(entry.lookup->ask, entry.request.caller);
        askOrigin(entry, stream);
    }
    scheduleWakeup(entry);
}

// Asks the hubs that keep copies of records. Their answers count while the directory cannot be read, or has lost records.
void relay_requests::askOrigin(relay_entry &entry, std::uint64_t stream)
{
    const auto now = m_components.clock.now();
    const auto &fleet = m_components.fleet;
    auto &lookup = *entry.lookup;
    lookup.answersUntil = now + originAnswerTime;
    if (fleet.isHub()) {
        const auto shared = fleet.sharedDataCentres(now);
        lookup.shared = std::set(shared.begin(), shared.end());
        if (fleet.reachedFor(now) >= entry.route->timeout) {
            lookup.deniedBy.insert(m_components.settings.dataCentre);
        }
    }
    for (const auto &hub : fleet.liveHubs(now)) {
        ++m_components.metrics.originAsks;
        m_components.commands.push_back(send_origin_ask{hub.address,
                                                        {.from = m_components.settings.self,
                                                         .address = m_components.settings.peerAddress,
                                                         .number = lookup.ask,
                                                         .stream = stream,
                                                         .isForHubs = !fleet.isHub()}});
    }
}

void relay_requests::on(const stream_origin_ask &ask)
{
    const auto now = m_components.clock.now();
    const auto &versions = m_components.versions;
    m_components.commands.push_back(send_origin_answer{ask.address,
                                                       {.from = m_components.settings.self,
                                                        .receiverIncarnation = ask.from.number,
                                                        .number = ask.number,
                                                        .origin = versions.findKnown(ask.stream),
                                                        .keepsFor = m_components.fleet.reachedFor(now),
                                                        .dataCentre = m_components.settings.dataCentre,
                                                        .shared = m_components.fleet.sharedDataCentres(now)}});
    if (!ask.isForHubs || !m_components.fleet.isHub()) {
        return;
    }
    auto passedOn = ask;
    passedOn.isForHubs = false;
    for (const auto &hub : m_components.fleet.liveHubs(now)) {
        if (hub.dataCentre != m_components.settings.dataCentre) {
            m_components.commands.push_back(send_origin_ask{hub.address, passedOn});
        }
    }
}

void relay_requests::on(const stream_origin_answer &answer)
{
    const auto found = m_originAsks.find(answer.number);
    if (answer.receiverIncarnation != m_components.settings.self.number || found == m_originAsks.end()) {
        return;
    }
    auto &entry = *m_entries.at(found->second);
    if (answer.origin) {
        m_components.versions.keep({streamKeyOf(entry.request.resumes), *answer.origin}, false, m_components.clock.now());
        onVersionFound(entry, answer.origin, version_source::OtherVm);
        return;
    }
    auto &lookup = *entry.lookup;
    if (answer.dataCentre == m_components.settings.dataCentre && !m_components.fleet.isHub()) {
        if (!lookup.shared) {
            lookup.shared.emplace();
        }
        lookup.shared->insert(answer.shared.begin(), answer.shared.end());
    }
    // Nobody takes a stream up that began longer ago than its route allows.
    if (answer.keepsFor >= entry.route->timeout) {
        lookup.deniedBy.insert(answer.dataCentre);
    }
}

void relay_requests::onAnswersDue(relay_entry &entry)
{
    const auto caller = entry.request.caller;
    entry.lookup->answersUntil.reset();
    decideVersion(entry);
    // The decision may have ended the request.
    if (const auto found = m_entries.find(caller); found != m_entries.end() && found->second->lookup) {
        scheduleWakeup(*found->second);
    }
}

// Decides where the stream began, unless what is still awaited may tell.
void relay_requests::decideVersion(relay_entry &entry)
{
    const auto now = m_components.clock.now();
    const auto &versions = m_components.versions;
    const auto &lookup = *entry.lookup;
    const auto stream = streamKeyOf(entry.request.resumes);
    if (const auto known = versions.findKnown(stream)) {
        onVersionFound(entry, known, version_source::Record);
        return;
    }
    const bool readSucceeded = lookup.readSucceeded.value_or(false);
    const bool isAwaited = lookup.answersUntil.has_value();
    if (readSucceeded && versions.isComplete(entry.route->timeout, now) && !(isAwaited && versions.mayHaveLostBefore(entry.route->timeout, now))) {
        onVersionFound(entry, versions.find(stream, entry.service, true, now), version_source::Default);
        return;
    }
    if (isAwaited) {
        return;
    }
    if (const auto origin = lookup.isDenied() ? versions.find(stream, entry.service, true, now) : std::nullopt) {
        onVersionFound(entry, origin, version_source::DefaultOfVms);
        return;
    }
    if (!lookup.readSucceeded) {
        return;
    }
    // Versions may have joined that a VM does not know which neither reads the directory nor hears all others.
    const bool mayLackVersions = !readSucceeded && m_components.fleet.heard(now) < m_components.fleet.members(now);
    const auto origin = mayLackVersions ? std::nullopt : versions.find(stream, entry.service, false, now);
    if (!origin && now < lookup.asksUntil) {
        lookUpAgain(entry);
        return;
    }
    onVersionFound(entry, origin, version_source::OnlyVersion);
}

void relay_requests::lookUpAgain(relay_entry &entry)
{
    entry.lookup->readSucceeded.reset();
    m_lookups.push_back(entry.request.caller);
    askOrigin(entry, streamKeyOf(entry.request.resumes));
    scheduleWakeup(entry);
}

void relay_requests::onVersionFound(relay_entry &entry, const std::optional<stream_origin> &origin, version_source source)
{
    if (entry.lookup) {
        m_originAsks.erase(entry.lookup->ask);
        entry.lookup.reset();
    }
    entry.versionSource = source;
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
    if (read.all && m_components.fleet.hasOlderBuilds()) {
        m_components.versions.onIncomplete(now); // The directory does not retain the records of older builds.
    }
    for (const auto caller : std::exchange(m_openLookups, {})) {
        const auto found = m_entries.find(caller);
        if (found == m_entries.end() || !found->second->lookup) {
            continue; // Another VM has told the version.
        }
        auto &entry = *found->second;
        entry.lookup->readSucceeded = read.succeeded;
        if (entry.request.resumes.empty()) {
            onVersionFound(entry, m_components.versions.findWithoutId(entry.service, read.succeeded, now), version_source::Default);
        } else {
            decideVersion(entry);
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
    askKeepers(now);
    const bool needsDefaults = m_components.fleet.isHub() || !m_held.empty() || !m_lookups.empty();
    if (needsDefaults && versions.isUncertain() && now >= m_nextDefaultsRead) {
        m_nextDefaultsRead = now + defaultsReadInterval;
        m_readsDefaults = true;
    }
    const bool leads = m_components.fleet.leads(now);
    if (!leads || !m_nextFullRead) {
        m_nextFullRead = now + stream_versions::streamLifetime;
    }
    const bool readsAll = now >= *m_nextFullRead;
    if (!m_readOpen && (m_readsDefaults || readsAll || !m_lookups.empty())) {
        m_readOpen = true;
        m_openLookups = std::exchange(m_lookups, {});
        m_components.commands.push_back(read_stream_records{.defaults = std::exchange(m_readsDefaults, false), .all = readsAll});
        if (readsAll) {
            m_nextFullRead.reset();
        }
    }
    if (leads) {
        if (auto missing = versions.missingDefaults(now)) {
            m_components.commands.push_back(std::move(*missing));
        }
    }
}

} // namespace plantainpoint
