#include "plantainpoint/relay_core.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "directory_follower.hpp"
#include "relay_requests.hpp"
#include "stop_sequence.hpp"

namespace plantainpoint {

namespace {

constexpr duration maxTickInterval = std::chrono::milliseconds{500};
constexpr duration suspensionTime = std::chrono::seconds{1}; // A VM without a tick for this time was suspended.
constexpr duration fetchInterval = std::chrono::milliseconds{300}; // Pause between two transfers of state from other VMs.
constexpr duration reportInterval = std::chrono::milliseconds{4}; // Changes of work within this time share a heartbeat.
constexpr duration membersReadInterval = std::chrono::seconds{3}; // Longer than the search for a hub among the known VMs.
// Changes are repeated for this time, so that a lost summary delays them only.
constexpr duration changesRepeatTime = std::chrono::milliseconds{700};
constexpr duration refreshInterval = std::chrono::seconds{1}; // Hubs tell all known limits and default versions of endpoints once in this time.
constexpr duration refreshTime = std::chrono::milliseconds{160}; // Longer than fleetMessageInterval, so that every receiver gets a message within it.
constexpr duration versionsUpdateInterval = std::chrono::seconds{1}; // Pause between two looks for endpoints that are not listed any more.
// A VM that was suspended has read the messages that arrived meanwhile within this time. What they state of ages is out of date.
constexpr duration lateMessagesTime = std::chrono::milliseconds{500};
constexpr duration shutdownRetry = std::chrono::milliseconds{100}; // Another VM takes the request at once.
constexpr std::size_t maxFetchedEntries = 256; // Entries of endpoints that a VM that has just started gets from a hub.

// Returns the age in milliseconds, or null without a proof.
nlohmann::json proofAgeOf(const directory_follower &follower, time_point now)
{
    const auto age = follower.proofAge(now);
    return age ? nlohmann::json(std::chrono::duration_cast<std::chrono::milliseconds>(*age).count()) : nlohmann::json();
}

// Returns this VM's open attempts at the endpoint and the time since it last sent one there.
std::string workText(const endpoint_entry &entry, time_point now)
{
    const auto age = entry.lastSentAt ? std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - *entry.lastSentAt).count()) : "-";
    return " open=" + std::to_string(entry.open.size()) + " last_sent_ms=" + age;
}

// Returns the time until the endpoint is warm, or nothing if it is.
std::string coldText(const endpoint_entry &entry, time_point now)
{
    return entry.warmup.isCold(now) ? " cold_ms=" + millisText(entry.warmup.coldUntil() - now) : std::string{};
}

} // namespace

struct relay_core::state {
    state(relay_settings settings, const clock_source &clock)
        : components(std::move(settings), clock)
        , requests(components)
        , follower(components.settings.directoryInterval, components.settings.directoryBound, stableHash(components.settings.self.vm.value))
        , stop({components.settings.drainTime, components.settings.grace})
    {
    }

    void on(const configuration_read &read);
    void on(const evacuations_read &read);
    void on(const directory_read &read);
    void on(const directory_read_finished &finished);
    void on(const fleet_state_fetched & /*message*/) { fetchOpen = false; }
    void on(const directory_state &state)
    {
        directoryState = state;
        components.endpoints.onUnchanged(state.position);
    }
    void on(const fleet_heartbeat &heartbeatMessage);
    void on(const fleet_summary &summary);
    void on(const members_read &read);
    void on(const shutdown_requested &message);
    void on(const reception_finished & /*message*/) { stop.onReceptionFinished(); }
    void on(relay_request request);
    void on(const order_log_read &read) { components.planner.on(read, components.clock.now(), components.commands); }
    void on(const order_appended &appended) { components.planner.on(appended, components.endpoints, components.clock.now(), components.commands); }
    void on(const quarantine_read &read) { components.quarantine.onStored(read.quarantined, components.clock.now()); }
    void on(const role_order_answered &answer) { components.planner.on(answer, components.endpoints, components.clock.now(), components.commands); }
    template<class Message>
    void on(Message message)
    {
        requests.on(std::move(message));
    }

    template<class Message>
    void onMessage(const fleet_view::message_arrival &arrival, const Message &message);
    void updateVersions();
    void placeHeld(time_point now);
    void applyEvacuations(const std::vector<evacuation> &known, const std::string &from);
    void closeEvacuated(time_point now);
    void onResumed(time_point now);
    void onLevels(const fleet_view::message_arrival &arrival, const fleet_summary &summary);
    void onKnowledge(const directory_knowledge &knowledge, const std::string &address);
    bool fetchState(const std::string &address, time_point now);
    void onSummaryOfDirectory(const fleet_summary &summary);
    own_report report(time_point now);
    std::uint64_t reportedPosition() const;
    void reportChangedWork(time_point now);
    void exchangeFleetMessages(time_point now);
    void readDirectory(time_point now);
    directory_role directoryRole(time_point now) const;
    void applyQuarantine(time_point now);
    void storeQuarantine(time_point now);
    void planRoles(time_point now);
    void advanceStop(time_point now);

    relay_components components;
    relay_requests requests;
    directory_follower follower;
    directory_state directoryState;
    time_point lastChangeAt{}; // Time at which this VM learned of the newest change of an endpoint.
    std::uint64_t lastChange = 0; // The position after that change.
    directory_role lastRole = directory_role::Follower;
    time_point nextExchange{};
    std::uint64_t newestVersionHeard = 0; // Newest configuration that another VM has told of.
    std::uint64_t reportedWork = 0; // Version of the work that the last heartbeat reported.
    time_point lastReportAt{};
    time_point lastFleetCheckAt = time_point::max(); // Time of the last tick, or of a first message after a suspension.
    time_point nextFetch{};
    bool fetchOpen = false; // A second transfer would take its share of the link from the first one.
    bool wasHeld = false;
    std::optional<time_point> evacuationsProvedAt; // All evacuations up to this time are known.
    std::optional<time_point> catchUpReadAt; // Start of the read that shows what a suspended VM has missed.
    time_point nextMembersRead{};
    time_point nextVersionsUpdate{};
    stop_sequence stop;
};

void relay_core::state::on(const configuration_read &read)
{
    if (components.routes && read.config->version <= components.routes->version()) {
        return;
    }
    const auto previousVersion = components.routes ? components.routes->version() : 0;
    components.routes = std::make_shared<route_table>(read.config);
    components.limiter.setAccounts(read.config->accounts, components.clock.now());
    components.endpoints.setColdTerms(read.config->services, components.clock.now());
    updateVersions();
    components.logMessage(severity::Info,
                          log_component::Log,
                          "configuration applied version=" + std::to_string(read.config->version) + " before=" + std::to_string(previousVersion)
                              + " routes=" + std::to_string(read.config->routes.size()) + " accounts=" + std::to_string(read.config->accounts.size()));
}

void relay_core::state::on(const evacuations_read &read)
{
    const auto now = components.clock.now();
    auto known = read.evacuations;
    for (auto &each : known) {
        // The reader knows the time since its own last read only, which is long at a VM that has taken the reading over.
        if (evacuationsProvedAt && now - *evacuationsProvedAt < each.age) {
            each.age = now - *evacuationsProvedAt;
        }
    }
    const auto ended = components.evacuated.missingFrom(read, now);
    known.insert(known.end(), ended.begin(), ended.end());
    applyEvacuations(known, "the directory");
    for (const auto &each : known) {
        if (!components.evacuated.hasRoomFor(each.dataCentre)) {
            ++components.metrics.evacuationsIgnored;
            components.logMessage(severity::Warning,
                                  log_component::Monitor,
                                  "evacuation data_centre=" + each.dataCentre.value + " ignored, as " + std::to_string(maxEvacuations)
                                      + " data centres have a record");
        }
    }
    components.evacuated.setKnown();
}

void relay_core::state::applyEvacuations(const std::vector<evacuation> &known, const std::string &from)
{
    const auto now = components.clock.now();
    bool changed = false;
    for (const auto &each : known) {
        if (!components.evacuated.update(each, now)) {
            continue;
        }
        changed = true;
        if (!each.inForce) {
            components.endpoints.onMayBeCold(each.dataCentre, now);
        }
        const auto [endpoints, open] = components.endpoints.countIn(each.dataCentre);
        std::string text = "evacuation data_centre=" + each.dataCentre.value + (each.inForce ? " begins" : " ends");
        text += " position=" + std::to_string(each.position);
        if (each.inForce) {
            text += " age_ms=" + (each.age == duration::max() ? std::string("-") : millisText(each.age));
        }
        text += " endpoints=" + std::to_string(endpoints) + " open=" + std::to_string(open) + " from=\"" + from + '"';
        components.logMessage(severity::Warning, log_component::Monitor, std::move(text));
    }
    if (changed) {
        components.endpoints.setEvacuated(components.evacuated.closing());
        closeEvacuated(now);
    }
}

// Refuses what waits for endpoints that get no requests from now on.
void relay_core::state::closeEvacuated(time_point now)
{
    const auto closed = components.evacuated.takeClosed(now);
    for (const auto &dataCentre : closed) {
        const auto [endpoints, open] = components.endpoints.countIn(dataCentre);
        components.logMessage(severity::Warning,
                              log_component::Monitor,
                              "evacuation data_centre=" + dataCentre.value + " gets no requests any more endpoints=" + std::to_string(endpoints)
                                  + " open=" + std::to_string(open));
    }
    if (!closed.empty()) {
        requests.refuseEvacuated();
    }
}

// A VM that was suspended for long may have missed an evacuation that is in force by now. Its requests wait until a read has shown what it has missed, or
// until the messages of the others must have arrived. A shorter suspension and the age of what it knew before fit into the bound together.
void relay_core::state::onResumed(time_point now)
{
    const auto suspendedFor = now - lastFleetCheckAt;
    if (suspendedFor <= suspensionTime) {
        return;
    }
    components.resumedAt = now;
    const auto &settings = components.settings;
    const bool mayHaveMissed = suspendedFor > settings.evacuationBound - settings.directoryBound - lateMessagesTime;
    if (settings.evacuationsExpected && mayHaveMissed && components.fleet.members(now) > 1) {
        components.endpoints.hold(now + lateMessagesTime);
        wasHeld = true;
        catchUpReadAt.reset();
        follower.expedite();
    }
}

void relay_core::state::on(const directory_read &read)
{
    // Entries that lapsed in an outage arrive with the first read after it.
    if (!read.imported && !components.endpoints.reachable()) {
        components.endpoints.onReachable(true, follower.hasGap(components.clock.now()), components.clock.now());
    }
    if (read.restored) {
        components.endpoints.onRestored(components.clock.now());
    }
    const auto changed = components.endpoints.onRead(read, components.clock.now());
    if (!read.changed.empty() || read.whole) {
        updateVersions();
    }
    for (const auto &name : changed) {
        const auto *const entry = components.endpoints.find(name);
        if (entry == nullptr) {
            continue;
        }
        const bool withdrawn = entry->withdrawnAt.has_value();
        if (!withdrawn) {
            requests.onAnnounced(entry->info);
            components.metrics.coldUnknown += entry->warmup.isPaced() && !entry->info.coldLeft ? 1 : 0;
        }
        components.logMessage(severity::Info,
                              log_component::Monitor,
                              "endpoint=" + name.value + " service=" + entry->info.service.value + " address=" + entry->info.address
                                  + " version=" + entry->info.version.value + " state="
                                  + (withdrawn                                            ? "withdrawn"
                                     : entry->info.condition == endpoint_condition::Ready ? "ready"
                                                                                          : "leaving")
                                  + coldText(*entry, components.clock.now()) + " directory=" + std::to_string(read.position)
                                  + workText(*entry, components.clock.now()));
    }
}

void relay_core::state::on(const directory_read_finished &finished)
{
    const auto now = components.clock.now();
    const bool before = components.endpoints.reachable();
    follower.onReadFinished(finished.succeeded, now);
    if (finished.succeeded && catchUpReadAt) {
        catchUpReadAt.reset();
        components.endpoints.hold(now);
        placeHeld(now);
    }
    const bool reachable = finished.succeeded || follower.reachable(now);
    components.endpoints.onReachable(reachable, follower.hasGap(now), now);
    if (reachable != before) {
        components.logMessage(severity::Warning, log_component::Log, reachable ? "the directory answers again" : "the directory does not answer");
    }
}

// Takes over the versions of the endpoints that are listed now.
void relay_core::state::updateVersions()
{
    const auto now = components.clock.now();
    nextVersionsUpdate = now + versionsUpdateInterval;
    requests.forgetRecords(now);
    if (components.routes) {
        components.versions.onEndpoints(*components.routes, components.endpoints, now);
        requests.refuseGoneVersions();
    }
}

template<class Message>
void relay_core::state::onMessage(const fleet_view::message_arrival &arrival, const Message &message)
{
    const auto now = components.clock.now();
    ++components.metrics.heartbeatsReceived;
    components.limiter.debit(arrival.admitted, now);
    components.quarantine.onEvidence(message.evidence, now);
    components.endpoints.onLimits(message.limits, now);
    // They come before the proof of the directory's age in the same message, which holds only with them.
    auto known = message.evacuations;
    for (auto &each : known) {
        each.age = now - components.resumedAt < lateMessagesTime ? duration::max() : each.age;
    }
    applyEvacuations(known, "vm=" + message.from.vm.value);
    components.endpoints.onColdReports(message.coldEndpoints, now);
    for (const auto &endpoint : message.leavingEndpoints) {
        if (components.endpoints.onLeaving(endpoint, now)) {
            components.logMessage(severity::Info,
                                  log_component::Monitor,
                                  "endpoint=" + endpoint.name.value + " leaves as vm=" + message.from.vm.value
                                      + " has heard started_at=" + std::to_string(endpoint.startedAt));
        }
    }
    for (const auto &crash : message.evidence.crashes) {
        components.endpoints.onCrash(crash, now);
    }
    if (arrival.fromNewVm) {
        components.logMessage(severity::Info, log_component::Member, "vm=" + message.from.vm.value + " heard address=" + message.address);
    }
}

void relay_core::state::on(const fleet_heartbeat &heartbeatMessage)
{
    const auto arrival = components.fleet.on(heartbeatMessage, components.clock.now());
    if (!arrival.fresh) {
        return;
    }
    onMessage(arrival, heartbeatMessage);
    components.endpoints.onRoleChange(heartbeatMessage.changingRole, components.clock.now());
    for (const auto &outcomes : heartbeatMessage.outcomes) {
        if (auto *const endpoint = components.endpoints.find(outcomes.endpoint)) {
            endpoint->endpointStatistics.onOutcomes(outcomes.successes, outcomes.failures, components.clock.now());
        }
    }
    onKnowledge(heartbeatMessage.knowledge, heartbeatMessage.address);
}

void relay_core::state::on(const fleet_summary &summary)
{
    const auto arrival = components.fleet.on(summary, components.clock.now());
    if (!arrival.fresh) {
        return;
    }
    onMessage(arrival, summary);
    onLevels(arrival, summary);
    if (summary.defaults) {
        components.versions.onDefaults(*summary.defaults, components.clock.now());
    }
    components.endpoints.onRoleChange(summary.changingRole, components.clock.now());
    onSummaryOfDirectory(summary);
    onKnowledge(summary.knowledge, summary.address);
}

// Takes over the levels of the limits from the followed hub. A VM that has no levels yet takes those of any hub that has been one for a while.
void relay_core::state::onLevels(const fleet_view::message_arrival &arrival, const fleet_summary &summary)
{
    const auto now = components.clock.now();
    if (arrival.ownIncluded) {
        components.limiter.copyLevels(summary.usage, *arrival.ownIncluded, now);
        components.setLimitShare(components.fleet.limitShare(now));
    } else if (summary.settled && summary.hasUsage()) {
        components.limiter.learnLevels(summary.usage, now);
    }
}

// Applies changes of endpoints that came with the summary if no earlier change is missing here.
void relay_core::state::onSummaryOfDirectory(const fleet_summary &summary)
{
    const auto &endpoints = components.endpoints;
    const auto position = endpoints.position();
    if (summary.changes && endpoints.known() && position < summary.knowledge.lastChange && position >= summary.changesFrom) {
        components.commands.push_back(import_directory_changes{summary.changes, summary.knowledge.position});
    }
}

// Takes over the sender's proof of the directory if nothing is missing here, and fetches what is missing otherwise.
void relay_core::state::onKnowledge(const directory_knowledge &knowledge, const std::string &address)
{
    auto &endpoints = components.endpoints;
    const auto now = components.clock.now();
    if (follower.hasGap(now)) {
        endpoints.onReannouncing(knowledge.reannounceLeft, now);
    }
    newestVersionHeard = std::max(newestVersionHeard, knowledge.configVersion);
    const bool configBehind = knowledge.configVersion > directoryState.configVersion;
    const bool endpointsBehind = knowledge.lastChange > endpoints.position();
    if (!configBehind && !endpointsBehind && endpoints.known() && !components.evacuated.known()) {
        // The state came from a VM of an earlier version, which does not know the evacuations.
        if (fetchState(address, now)) {
            follower.expedite();
        }
        return;
    }
    if (!configBehind && !endpointsBehind) {
        if (knowledge.proofAge && endpoints.known()) {
            endpoints.onUnchanged(knowledge.position);
            if (now - components.resumedAt >= lateMessagesTime) {
                evacuationsProvedAt = std::max(evacuationsProvedAt.value_or(time_point{}), now - *knowledge.proofAge);
            }
            if (follower.onProof(now - *knowledge.proofAge, now)) {
                endpoints.onReadElsewhere();
            }
        }
        return;
    }
    // A hub cannot send the entries of many endpoints to all of its VMs in time. It can send a large configuration, as that is compressed.
    const bool manyEntries = !endpoints.known() && knowledge.endpointEntries > maxFetchedEntries;
    if (manyEntries && endpoints.reachable()) {
        follower.expedite();
    } else {
        fetchState(address, now);
    }
}

// Fetches the state of another VM, unless a transfer is open or ended lately. Returns whether it does.
bool relay_core::state::fetchState(const std::string &address, time_point now)
{
    if (fetchOpen || now < nextFetch) {
        return false;
    }
    fetchOpen = true;
    nextFetch = now + fetchInterval;
    components.commands.push_back(fetch_fleet_state{address});
    return true;
}

// Places the requests that waited for the end of the hold, by the hub where there is one.
void relay_core::state::placeHeld(time_point now)
{
    const bool isHeld = components.endpoints.isHeld(now);
    if (std::exchange(wasHeld, isHeld) && !isHeld) {
        requests.placeHeld();
    }
}

void relay_core::state::on(const members_read &read)
{
    components.fleet.onMembers(read, components.clock.now());
    nextExchange = components.clock.now();
}

void relay_core::state::on(const shutdown_requested & /*message*/)
{
    const auto now = components.clock.now();
    if (!stop.begin(now)) {
        return;
    }
    components.shuttingDown = true;
    components.fleet.setLeaving();
    nextExchange = now;
    components.logMessage(severity::Info, log_component::Core, "shutdown requested open=" + std::to_string(requests.open()));
}

// Returns the position that others are told. It must not lie past a change of which the directory's reader has not told yet: they would take it over
// without the change.
std::uint64_t relay_core::state::reportedPosition() const
{
    const auto &endpoints = components.endpoints;
    return endpoints.changedPosition() > directoryState.position ? directoryState.position : endpoints.position();
}

own_report relay_core::state::report(time_point now)
{
    // The VMs that follow a hub know what it knows of endpoints. Hubs tell it again to VMs that have started.
    const bool refreshes = components.fleet.isHub() && now.time_since_epoch() % refreshInterval < refreshTime;
    own_report result{.knowledge = {.configVersion = directoryState.configVersion,
                                    .configSize = directoryState.configSize,
                                    .endpointEntries = directoryState.endpointEntries,
                                    .position = reportedPosition(),
                                    .lastChange = directoryState.lastChange,
                                    .proofAge = follower.proofAge(now),
                                    .reannounceLeft = components.endpoints.reannounceLeft(now)},
                      .loads = components.endpoints.ownLoads(now),
                      .waiting = requests.waitingByService(),
                      .changingRole = components.planner.ordered(components.endpoints, now),
                      .usage = components.limiter.usage(),
                      .outcomes = components.endpoints.takeOutcomes(),
                      .evidence = components.quarantine.evidence(now),
                      .limits = components.endpoints.limitReports(refreshes, now),
                      .leavingEndpoints = components.endpoints.leavingReports(refreshes, now),
                      .evacuations = components.evacuated.all(now),
                      .coldEndpoints = components.endpoints.coldReports(now),
                      .defaults = refreshes ? components.versions.defaults(now) : std::nullopt};
    if (now - lastChangeAt < changesRepeatTime) {
        result.changesFrom = directoryState.changesFrom;
        result.changes = directoryState.changes;
    }
    return result;
}

void relay_core::state::exchangeFleetMessages(time_point now)
{
    if (directoryState.lastChange != lastChange) {
        lastChange = directoryState.lastChange;
        lastChangeAt = now;
        nextExchange = now;
    }
    if (now < nextExchange) {
        return;
    }
    nextExchange = now + (components.fleet.isHub() ? placingHubInterval : fleetMessageInterval);
    reportedWork = requests.workVersion();
    const bool wasHub = components.fleet.isHub();
    const auto before = components.commands.size();
    components.fleet.exchange(report(now), now, components.commands);
    if (components.fleet.isHub() && !wasHub) {
        components.limiter.forgetLevels();
    }
    components.setLimitShare(components.fleet.limitShare(now));
    components.endpoints.setLimitShare(components.fleet.placingShare(now).fraction(), now);
    components.metrics.heartbeatsSent += components.commands.size() - before;
}

// Tells the hub of changed work at once, as it places the requests of the other VMs by it.
void relay_core::state::reportChangedWork(time_point now)
{
    if (requests.workVersion() == reportedWork || components.fleet.placingHub(now) == nullptr || now - lastReportAt < reportInterval) {
        return;
    }
    reportedWork = requests.workVersion();
    lastReportAt = now;
    components.fleet.reportChange(report(now), now, components.commands);
}

directory_role relay_core::state::directoryRole(time_point now) const
{
    if (!components.fleet.isHub()) {
        return directory_role::Follower;
    }
    return components.fleet.leads(now) ? directory_role::Reader : directory_role::StandBy;
}

void relay_core::state::readDirectory(time_point now)
{
    const auto role = directoryRole(now);
    if (role != lastRole) {
        lastRole = role;
        components.logMessage(severity::Info, log_component::Member, "role=" + std::string(nameOf(role)));
    }
    if (follower.startRead(role, now)) {
        components.commands.push_back(read_directory{components.endpoints.position()});
        if (components.endpoints.isHeld(now)) {
            catchUpReadAt = now;
        }
    }
    // The known VMs of this data centre may all have been replaced.
    if (!components.fleet.hasHub(now) && now >= nextMembersRead) {
        const bool firstCall = nextMembersRead == time_point{};
        nextMembersRead = now + membersReadInterval;
        if (!firstCall) {
            components.commands.push_back(read_members{});
        }
    }
}

// Logs what has been quarantined or released, and ends requests that wait with quarantined requests.
void relay_core::state::applyQuarantine(time_point now)
{
    bool isNew = false;
    for (const auto &change : components.quarantine.update(now)) {
        isNew = isNew || !change.released;
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(change.left).count();
        components.logMessage(severity::Warning,
                              log_component::Monitor,
                              "request traits=" + traitsText(change.traits) + (change.released ? " released" : " quarantined for_s=" + std::to_string(seconds))
                                  + " crashes=" + std::to_string(change.crashes));
    }
    if (isNew) {
        requests.refuseQuarantined();
    }
}

// One VM stores the quarantined requests. They outlast the loss of all VMs, and VMs that hear no other one read them.
void relay_core::state::storeQuarantine(time_point now)
{
    components.quarantine.tick(now);
    if (!components.fleet.leads(now)) {
        return;
    }
    for (auto &request : components.quarantine.takeUnstored(now)) {
        components.commands.push_back(store_quarantine{std::move(request)});
    }
}

void relay_core::state::planRoles(time_point now)
{
    if (components.routes && components.endpoints.known() && !components.shuttingDown) {
        components.planner.tick(*components.routes, components.endpoints, components.fleet, now, components.commands);
    }
}

void relay_core::state::on(relay_request request)
{
    if (stop.takesRequests()) {
        requests.on(std::move(request));
        return;
    }
    components.logMessage(
        severity::Info, log_component::Http, "request=" + request.payload->id + " refused reason=" + std::string(nameOf(failure::ShuttingDown)));
    components.commands.push_back(answer_failure{request.caller, {}, failure::ShuttingDown, outcome::NotRun, "this VM is shutting down", shutdownRetry});
}

// Enters the stages of the stop that are due, in order, also after a suspension of the VM.
void relay_core::state::advanceStop(time_point now)
{
    while (stop.advance(now, requests.open())) {
        components.logMessage(
            severity::Info, log_component::Core, "shutdown stage=" + std::string(nameOf(stop.stage())) + " open=" + std::to_string(requests.open()));
        switch (stop.stage()) {
        case stop_stage::Receiving:
            components.commands.push_back(stop_accepting{});
            break;
        case stop_stage::Finishing:
            components.commands.push_back(refuse_arriving{});
            break;
        case stop_stage::Closing:
            requests.refuseWaiting("this VM is shutting down");
            break;
        case stop_stage::Ending:
            requests.failAll("this VM is shutting down");
            break;
        case stop_stage::Stopped:
            components.commands.push_back(stopped{});
            break;
        case stop_stage::Serving:
        case stop_stage::Draining:
            break;
        }
    }
}

relay_core::relay_core(relay_settings settings, const clock_source &clock)
    : m_state(std::make_unique<state>(std::move(settings), clock))
{
}

relay_core::~relay_core() = default;

void relay_core::handle(relay_input message)
{
    // A VM that was suspended notices first which other VMs it has not heard since. Its requests wait for the tick, as their answers may have arrived.
    const auto now = m_state->components.clock.now();
    m_state->onResumed(now);
    if (now - m_state->lastFleetCheckAt > suspensionTime) {
        m_state->lastFleetCheckAt = now;
        m_state->exchangeFleetMessages(now);
    }
    std::visit([this](auto &&content) { m_state->on(std::forward<decltype(content)>(content)); }, std::move(message));
    m_state->applyQuarantine(m_state->components.clock.now());
    // The message may have freed a slot or changed what is known of the endpoints.
    m_state->requests.placeWaiting();
    m_state->requests.exchangeVersions(m_state->components.clock.now());
    m_state->reportChangedWork(m_state->components.clock.now());
    m_state->advanceStop(m_state->components.clock.now());
}

void relay_core::tick()
{
    const auto now = m_state->components.clock.now();
    m_state->onResumed(now);
    m_state->lastFleetCheckAt = now;
    m_state->closeEvacuated(now);
    m_state->placeHeld(now);
    m_state->requests.tick(now);
    m_state->requests.placeWaiting();
    m_state->components.endpoints.tick(now);
    if (now >= m_state->nextVersionsUpdate) {
        m_state->updateVersions();
    }
    m_state->requests.exchangeVersions(now);
    m_state->exchangeFleetMessages(now);
    m_state->reportChangedWork(now);
    m_state->requests.probeWays(now);
    m_state->readDirectory(now);
    m_state->storeQuarantine(now);
    m_state->planRoles(now);
    m_state->advanceStop(now);
}

std::vector<relay_command> relay_core::take()
{
    return std::exchange(m_state->components.commands, {});
}

time_point relay_core::nextTick() const
{
    const auto now = m_state->components.clock.now();
    auto next = std::min(m_state->nextExchange, now + maxTickInterval);
    if (m_state->requests.workVersion() != m_state->reportedWork && m_state->components.fleet.placingHub(now) != nullptr) {
        next = std::min(next, m_state->lastReportAt + reportInterval);
    }
    if (const auto closing = m_state->components.evacuated.nextClosing(now)) {
        next = std::min(next, *closing);
    }
    if (m_state->components.endpoints.isHeld(now)) {
        next = std::min(next, m_state->components.endpoints.heldUntil());
    }
    if (const auto change = m_state->stop.nextChange()) {
        next = std::min(next, *change);
    }
    if (const auto probe = m_state->components.ways.nextProbe()) {
        next = std::min(next, *probe);
    }
    if (const auto check = m_state->requests.silenceCheckAt()) {
        next = std::min(next, *check);
    }
    const auto wakeup = m_state->requests.nextWakeup();
    return wakeup ? std::min(next, *wakeup) : next;
}

bool relay_core::ready() const
{
    const auto &components = m_state->components;
    // VMs of an earlier version know no evacuations. While the directory does not answer either, their state is all that can be known.
    const bool knowsEvacuations = components.evacuated.known() || !components.endpoints.reachable();
    return components.routes && components.endpoints.known() && knowsEvacuations && !components.shuttingDown;
}

std::optional<time_point> relay_core::endsAt() const
{
    return m_state->components.shuttingDown ? std::optional(m_state->stop.endsAt()) : std::nullopt;
}

bool relay_core::maySend(attempt_number attempt) const
{
    return m_state->requests.maySend(attempt);
}

proxy_admission relay_core::admitProxied(const endpoint_name &endpoint, std::int64_t startedAt) const
{
    constexpr std::size_t maxAddresses = 2;
    constexpr std::size_t maxProxies = 4;
    auto &components = m_state->components;
    const auto now = components.clock.now();
    proxy_admission out;
    for (const auto &member : components.fleet.otherMembers()) {
        if (member.dataCentre == components.settings.dataCentre && out.otherProxies.size() < maxProxies) {
            out.otherProxies.push_back(member.address);
        }
    }
    const auto *const entry = components.endpoints.find(endpoint);
    if (components.shuttingDown) {
        out.refusal = "this VM is shutting down";
    } else if (entry == nullptr || entry->info.startedAt != startedAt || !entry->usable(now) || entry->pausedUntil > now) {
        out.refusal = "the endpoint takes no requests as far as this VM knows";
    } else if (components.ways.isLost(*entry)) {
        out.refusal = "this VM does not reach the endpoint either";
    } else {
        out.address = entry->info.address;
    }
    for (const auto *each : components.endpoints.all()) {
        if (entry != nullptr && each->info.address != entry->info.address && each->usable(now) && out.otherAddresses.size() < maxAddresses) {
            out.otherAddresses.push_back(each->info.address);
        }
    }
    return out;
}

std::size_t relay_core::openRequests() const
{
    return m_state->requests.open();
}

std::uint64_t relay_core::configVersion() const
{
    return m_state->components.routes ? m_state->components.routes->version() : 0;
}

caller_bounds relay_core::bounds() const
{
    return m_state->components.routes ? m_state->components.routes->config().bounds : caller_bounds{};
}

nlohmann::json relay_core::status() const
{
    const auto &components = m_state->components;
    const auto now = components.clock.now();
    auto quarantined = nlohmann::json::array();
    for (const auto &request : components.quarantine.active(now)) {
        quarantined.push_back({{"traits", traitsText(request.traits)},
                               {"crashes", request.crashes},
                               {"left_s", std::chrono::duration_cast<std::chrono::seconds>(request.left).count()}});
    }
    auto evacuated = nlohmann::json::array();
    for (const auto &each : components.evacuated.all(now)) {
        const auto [endpoints, open] = components.endpoints.countIn(each.dataCentre);
        const bool closed = components.endpoints.isClosed(each.dataCentre, now);
        evacuated.push_back({{"data_centre", each.dataCentre.value},
                             {"state",
                              !each.inForce ? "ended"
                              : closed      ? "closed"
                                            : "moving"},
                             {"position", each.position},
                             {"endpoints", endpoints},
                             {"open", open}});
    }
    return {{"vm", components.settings.self.vm.value},
            {"config_version", configVersion()},
            {"config_version_heard", m_state->newestVersionHeard},
            {"directory_position", components.endpoints.position()},
            {"directory_reachable", components.endpoints.reachable()},
            {"endpoints", components.endpoints.size()},
            {"limited_endpoints", components.endpoints.limitedEndpoints()},
            {"leaving_endpoints", components.endpoints.leavingEndpoints()},
            {"evacuations", std::move(evacuated)},
            {"cold_endpoints", components.endpoints.coldEndpoints(now)},
            {"endpoints_through_proxies", components.ways.lostWays()},
            {"cut_off", components.ways.isCutOff()},
            {"vms_heard", components.fleet.heard(now)},
            {"vms", components.fleet.members(now)},
            {"role", nameOf(m_state->directoryRole(now))},
            {"follows", components.fleet.followed().value},
            {"directory_proof_age_ms", proofAgeOf(m_state->follower, now)},
            {"open_requests", m_state->requests.open()},
            {"waiting_requests", m_state->requests.waiting()},
            {"quarantined_requests", std::move(quarantined)},
            {"ready", ready()}};
}

nlohmann::json relay_core::metrics() const
{
    auto result = m_state->components.metrics.toJson();
    const auto now = m_state->components.clock.now();
    result["open_requests"] = m_state->requests.open();
    result["waiting_requests"] = m_state->requests.waiting();
    result["config_version"] = configVersion();
    result["config_version_heard"] = m_state->newestVersionHeard;
    result["directory_reachable"] = m_state->components.endpoints.reachable();
    result["vms_heard"] = m_state->components.fleet.heard(now);
    result["vms"] = m_state->components.fleet.members(now);
    result["quarantined_requests"] = m_state->components.quarantine.active(now).size();
    result["cold_endpoints"] = m_state->components.endpoints.coldEndpoints(now);
    result["hub"] = m_state->components.fleet.isHub();
    result["evacuations"] = m_state->components.evacuated.inForce();
    return result;
}

} // namespace plantainpoint
