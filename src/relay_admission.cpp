// Admission and placement of relayed requests.
#include "relay_requests.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

constexpr duration configurationRetry = milliseconds{500}; // A VM that has just started learns its configuration in this time.
constexpr duration noEndpointRetry = milliseconds{300}; // Endpoints announce themselves about once a second.
constexpr duration shortestOverloadRetry = milliseconds{200};
constexpr duration longestLimitRetry = std::chrono::seconds{30}; // Endpoints change their limits within such a time.
// Callers leave a stream without an event after this multiple of its objective.
constexpr std::int64_t abandonFactor = 4;
constexpr std::int64_t abandonGapFactor = 8; // Multiple of the objective for the pause between events.
constexpr duration stallMargin = milliseconds{300};
constexpr duration minAbandonTime = milliseconds{2000};
constexpr double budgetFraction = 0.75; // Fraction of the retries that the operator allows.
// Multiple of the objective: about the time in which a full engine finishes its requests.
constexpr std::int64_t overloadRetryFactor = 3;
// Fraction of the time to the deadline. A caller that is refused later cannot retry in time.
constexpr double maxWaitFraction = 0.6;

// Fraction of the objective for which a request may wait for its account's limit. The rest is left for its place and its answer.
constexpr double limitWaitFraction = 0.5;

constexpr std::string_view quarantineDetail = "requests like this one have crashed endpoints";

// Spreads the returns of refused callers over a further half of the time.
duration addJitter(duration base, std::string_view id)
{
    constexpr std::uint64_t steps = 64;
    return base + base * static_cast<std::int64_t>(stableHash(id) % steps) / static_cast<std::int64_t>(2 * steps);
}

} // namespace

std::string millisText(duration value)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(value).count());
}

relay_components::relay_components(relay_settings relaySettings, const clock_source &clockSource)
    : settings(std::move(relaySettings))
    , clock(clockSource)
    , speeds{.prefillTokensPerMs = settings.prefillTokensPerMs,
             .decodePrefillTokensPerMs = settings.decodePrefillTokensPerMs,
             .memoryFill = settings.memoryFill,
             .heldOutputFraction = settings.heldOutputFraction,
             .directPrefillLimit = settings.directPrefillLimit}
    , endpoints(stableHash(settings.self.vm.value))
    , evacuated(settings.evacuationBound)
    , fleet({settings.self.vm, settings.peerAddress, settings.dataCentre, settings.capacity, true}, settings.self.number)
    , ways(endpoints, fleet, stableHash(settings.self.vm.value))
    , limiter(settings.limitTolerance)
    , versions(clock.now())
    , planner(settings.self.vm, {settings.prefillShare, settings.orderLease})
    , placement(endpoints, fleet, speeds, settings.dataCentre)
{
}

void relay_components::setLimitShare(const limit_share &share)
{
    if (share == limiter.share()) {
        return;
    }
    limiter.setShare(share, clock.now());
    logMessage(severity::Info,
               log_component::Member,
               "limits share=" + std::to_string(share.heardVms) + '/' + std::to_string(share.memberVms)
                   + " follows=" + (fleet.followed().empty() ? std::string("-") : fleet.followed().value));
}

relay_requests::relay_requests(relay_components &components)
    : m_components(components)
{
}

void relay_requests::refuse(caller_id caller, const relay_payload &payload, failure reason, std::optional<duration> retryAfter, std::string_view detail)
{
    ++m_components.metrics.failures[reason];
    ++m_components.metrics.results["refused"];
    m_components.logMessage(severity::Info,
                            log_component::Http,
                            "request=" + payload.id + " refused reason=" + std::string(nameOf(reason))
                                + " retry_after_ms=" + millisText(retryAfter.value_or(duration{})) + " config="
                                + std::to_string(m_components.routes ? m_components.routes->version() : 0) + " detail=\"" + std::string(detail) + '"');
    m_components.commands.push_back(answer_failure{caller, {}, reason, outcome::NotRun, std::string(detail), retryAfter});
}

const relay_account *relay_requests::authorise(const relay_request &request, const relay_route &route)
{
    const auto *const account = request.key ? m_components.routes->accountOf(*request.key) : nullptr;
    if (account == nullptr && m_components.routes->keyed() && !route.open) {
        const auto reason = request.key ? failure::UnknownKey : failure::MissingKey;
        refuse(request.caller, *request.payload, reason, std::nullopt, "the route requires a valid key");
    }
    return account;
}

// Returns the units of its account's limit that a request takes.
double relay_requests::unitsOf(const relay_entry &entry)
{
    if (entry.account == nullptr) {
        return 0;
    }
    if (entry.account->unit == limit_unit::Requests) {
        return 1;
    }
    return entry.request.tokens ? static_cast<double>(entry.request.tokens->total()) : entry.account->plainCost;
}

// Takes the units of a request from its account's limit. Returns the time after which they can be taken if the limit does not allow it now.
std::optional<duration> relay_requests::admit(relay_entry &entry)
{
    if (entry.account == nullptr) {
        return std::nullopt;
    }
    const auto units = unitsOf(entry);
    const auto wait = m_components.limiter.admit(entry.account->name, units, entry.purpose(), m_components.clock.now());
    entry.units = wait ? 0 : units;
    return wait;
}

// Callers of an account send in bursts, and a bucket that lacks a few units is refilled within a part of their objective: such a request is served in time
// without a refusal. Requests that would be late because of the limit are refused at once.
bool relay_requests::mayWaitForLimit(const relay_entry &entry, duration wait) const
{
    const auto latest = entry.arrivedAt + std::chrono::duration_cast<duration>(entry.route->objective * limitWaitFraction);
    return !entry.headSent && !m_components.shuttingDown && m_components.clock.now() + wait <= std::min(latest, entry.deadline);
}

// Returns the time in which the limit of its account refills what other requests wait for here.
duration relay_requests::waitBehindOthers(const relay_entry &entry) const
{
    const auto found = m_unitsWaitedFor.find(entry.account->name);
    const auto units = found == m_unitsWaitedFor.end() ? 0.0 : found->second;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(units / std::max(entry.account->rate, 1.0)));
}

void relay_requests::waitForLimit(relay_entry &entry, duration wait)
{
    m_unitsWaitedFor[entry.account->name] += unitsOf(entry);
    entry.limitRetryAt = m_components.clock.now() + wait;
    ++m_components.metrics.limitWaits;
    m_components.logMessage(severity::Info,
                            log_component::Place,
                            "request=" + entry.request.payload->id + " waits for limit account=" + entry.account->name.value
                                + " units=" + std::to_string(std::llround(unitsOf(entry)))
                                + " left=" + std::to_string(std::llround(m_components.limiter.level(entry.account->name))) + " wait_ms=" + millisText(wait));
    scheduleWakeup(entry);
}

void relay_requests::endLimitWait(relay_entry &entry)
{
    if (!entry.limitRetryAt) {
        return;
    }
    entry.limitRetryAt.reset();
    const auto found = m_unitsWaitedFor.find(entry.account->name);
    if (found == m_unitsWaitedFor.end()) {
        return; // The others that wait take no units.
    }
    found->second -= unitsOf(entry);
    if (found->second <= 0) {
        m_unitsWaitedFor.erase(found);
    }
}

void relay_requests::onLimitDue(relay_entry &entry)
{
    endLimitWait(entry);
    if (const auto wait = admit(entry)) {
        waitForLimitOrRefuse(entry, *wait, "its bucket has not been refilled in time");
    } else {
        begin(entry);
    }
}

// Handles a request whose units were given back, or were not taken.
void relay_requests::waitForLimitOrRefuse(relay_entry &entry, duration wait, std::string_view detail)
{
    if (mayWaitForLimit(entry, wait)) {
        entry.limitChecked = false;
        waitForLimit(entry, wait);
    } else {
        refuseOverLimit(entry, wait, detail);
    }
}

// Checks the limit of a request that no hub has checked although this VM follows one. Nobody can tell it what the others admit, so it grants its
// own share only.
bool relay_requests::admitAlone(relay_entry &entry)
{
    if (entry.account == nullptr || std::exchange(entry.limitChecked, true) || m_components.fleet.followed().empty() || m_components.shuttingDown) {
        return true;
    }
    const auto now = m_components.clock.now();
    m_components.limiter.refund(entry.account->name, entry.units);
    m_components.setLimitShare({.heardVms = 1, .memberVms = m_components.fleet.members(now)});
    const auto wait = m_components.limiter.admit(entry.account->name, entry.units, entry.purpose(), now);
    if (!wait) {
        return true;
    }
    entry.units = 0;
    waitForLimitOrRefuse(entry, *wait, "no hub answers, and the share of this VM is used up");
    return false;
}

// Refuses a request that has an entry. Its units go back to the account.
void relay_requests::refuseOverLimit(relay_entry &entry, duration wait, std::string_view detail)
{
    const auto text = "account " + entry.account->name.value + " is over its limit: " + std::string(detail);
    failRequest(entry, failure::RateExceeded, outcome::NotRun, text, addJitter(wait, entry.request.payload->id));
}

// Refuses a new request that crashes endpoints.
bool relay_requests::refuseQuarantined(const relay_entry &entry)
{
    const auto now = m_components.clock.now();
    if (!m_components.quarantine.isActive(now)) {
        return false;
    }
    const auto left = m_components.quarantine.timeLeft(traitsOf(entry), now);
    if (left) {
        refuse(entry.request.caller, *entry.request.payload, failure::Quarantined, *left, quarantineDetail);
    }
    return left.has_value();
}

void relay_requests::refuseQuarantined()
{
    const auto now = m_components.clock.now();
    std::vector<std::pair<caller_id, duration>> found;
    for (const auto &[caller, entry] : m_entries) {
        const bool isAnswered = entry->attempt && entry->attempt->firstEventAt;
        if (const auto left = m_components.quarantine.timeLeft(traitsOf(*entry), now); left && !isAnswered) {
            found.emplace_back(caller, *left);
        }
    }
    for (const auto &[caller, left] : found) {
        failRequest(*m_entries.at(caller), failure::Quarantined, outcome::NotRun, quarantineDetail, left);
    }
}

void relay_requests::on(relay_request request)
{
    ++m_components.metrics.received;
    if (!m_components.routes) {
        refuse(request.caller, *request.payload, failure::StaleConfiguration, configurationRetry, "no configuration is known yet");
        return;
    }
    const auto *const route = m_components.routes->find(request.payload->host, request.payload->target);
    if (route == nullptr) {
        refuse(request.caller, *request.payload, failure::UnknownRoute, std::nullopt, "no route matches the host and path");
        return;
    }
    const auto *const account = authorise(request, *route);
    if (account == nullptr && m_components.routes->keyed() && !route->open) {
        return;
    }
    auto entry = std::make_unique<relay_entry>();
    entry->table = m_components.routes;
    entry->route = route;
    entry->account = account;
    // A stream that is taken up goes on at the service that began it.
    entry->service = chooseService(*route, request.resumes.empty() ? request.payload->id : request.resumes);
    entry->arrivedAt = m_components.clock.now();
    entry->deadline = entry->arrivedAt + std::min<duration>(request.timeToDeadline, route->timeout);
    entry->lastEventId = request.resumeAfter;
    std::transform(request.parts.begin(), request.parts.end(), std::back_inserter(entry->partTraits), traitOf);
    entry->partTraits = sortedTraits(std::move(entry->partTraits));
    entry->request = std::move(request);
    if (refuseQuarantined(*entry)) {
        return;
    }
    auto wait = admit(*entry);
    if (wait) {
        *wait += waitBehindOthers(*entry);
    }
    if (wait && !mayWaitForLimit(*entry, *wait)) {
        const auto detail = "account " + entry->account->name.value + " is over its limit: " + std::to_string(std::llround(unitsOf(*entry))) + " units asked, "
                            + std::to_string(std::llround(m_components.limiter.level(entry->account->name))) + " left here";
        const auto &payload = *entry->request.payload;
        refuse(entry->request.caller, payload, failure::RateExceeded, addJitter(*wait, payload.id), detail);
        return;
    }
    auto &stored = *entry;
    const auto caller = stored.request.caller;
    m_entries.emplace(caller, std::move(entry));
    budgetOf(stored.service).earn();
    if (wait) {
        waitForLimit(stored, *wait);
    } else {
        begin(stored);
    }
}

// Goes on with a request whose units have been taken from its account's limit.
void relay_requests::begin(relay_entry &entry)
{
    if (entry.takesUpStream()) {
        lookUpVersion(entry);
    } else {
        placeOrWait(entry);
    }
}

// Returns the retry budget of this VM for a service: its share of the fleet's retries. A quarter stays free for VMs that start meanwhile.
retry_budget &relay_requests::budgetOf(const service_name &service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end()) {
        return found->second;
    }
    constexpr std::size_t assumedFleetSize = 8; // A VM that has just started has not heard the others.
    const auto members = static_cast<double>(std::max(m_components.fleet.members(m_components.clock.now()), assumedFleetSize));
    const auto scale = budgetFraction * static_cast<double>(retry_budget::thousandthsPerRetry);
    const auto limit = static_cast<std::int64_t>(m_components.settings.retrySlack * scale / members);
    const auto perRequest = static_cast<std::int64_t>(m_components.settings.retryRatio * scale);
    return m_budgets.emplace(service, retry_budget(perRequest, limit, limit / 2)).first->second;
}

bool relay_requests::isModelRequest(const relay_entry &entry)
{
    const auto *const service = entry.table->service(entry.service);
    return service != nullptr && service->engine && entry.request.tokens;
}

placement_request relay_requests::placementRequestOf(const relay_entry &entry) const
{
    const auto *const service = entry.table->service(entry.service);
    const auto homes = homesOf(entry);
    duration holdTime{};
    auto excluded = entry.triedEndpoints;
    for (const auto *endpoint : m_components.endpoints.entriesOf(entry.service)) {
        holdTime = std::max(holdTime, endpoint->endpointStatistics.meanHoldTime());
        if (!homes.allow(endpoint->info.dataCentre)) {
            excluded.insert(endpoint->info.name);
        }
    }
    auto version = entry.version;
    // While the directory takes no records, streams begin where they need none.
    if (!version && entry.isStream() && entry.route->resumable && !m_components.versions.canRecord(m_components.clock.now())) {
        version = m_components.versions.defaultVersion(entry.service);
        if (version && !isServed(entry, version)) {
            version.reset();
        }
    }
    return {.owner = {.number = entry.request.caller},
            .service = entry.service,
            .engine = service != nullptr ? service->engine : std::nullopt,
            .tokens = entry.request.tokens,
            // A request gets only one separate prefill, as further ones would count as repeats.
            .mayPrefill = !entry.prefillTried && !entry.headSent,
            .begun = entry.headSent || entry.takesUpStream(),
            .priority = entry.account != nullptr && entry.account->priority ? *entry.account->priority : entry.route->priority,
            .arrivedAt = entry.arrivedAt,
            .objective = entry.route->objective,
            .latest = callerDeadlineOf(entry),
            .maxEventGap = entry.route->gapObjective,
            .holdTime = holdTime,
            .excluded = std::move(excluded),
            .bound = homes.bind(),
            .version = std::move(version),
            .seed = stableHash(entry.request.payload->id)};
}

bool relay_requests::place(relay_entry &entry)
{
    const auto now = m_components.clock.now();
    if (now >= entry.deadline || isIsolated(entry) || m_components.endpoints.isHeld(now)) {
        return false; // After the deadline, the tick that ends the request is late.
    }
    const auto request = placementRequestOf(entry);
    if (entry.source) {
        const placement_context context{m_components.fleet,
                                        m_components.settings.dataCentre,
                                        m_components.speeds,
                                        now,
                                        request.excluded,
                                        request.maxEventGap,
                                        request.version,
                                        true,
                                        request.seed};
        const auto decodes = m_components.endpoints.candidates(entry.service, endpoint_role::Decode, now);
        auto *decode = chooseDecode(withoutEvacuated(decodes), *request.engine, *request.tokens, context);
        if (decode == nullptr) {
            decode = chooseDecode(decodes, *request.engine, *request.tokens, context);
        }
        if (decode != nullptr) {
            decode->takePermit(now);
            send(entry, *decode, dispatch_kind::Decode, 0);
            return true;
        }
        releaseSource(entry);
    }
    const auto placement = m_components.placement.choose(request, now);
    if (placement) {
        placement->takePermits(now);
        recordChoice(*placement);
        entry.knowledge = nameOf(placement->knowledge);
        apply(entry, *placement);
    }
    return placement.has_value();
}

// Sends a request to the endpoints that were chosen for it.
void relay_requests::apply(relay_entry &entry, const model_placement &placement)
{
    if (!isModelRequest(entry)) {
        send(entry, *placement.decode, entry.isStream() ? dispatch_kind::Decode : dispatch_kind::Plain, 0);
        return;
    }
    if (placement.prefill == nullptr) {
        send(entry, *placement.decode, dispatch_kind::Decode, entry.request.tokens->prompt);
        return;
    }
    entry.prefillTried = true;
    entry.reservation = ++m_lastAttempt;
    entry.reservationEndpoint = placement.decode->info.name;
    entry.reservationWasCold = placement.decode->warmup.isCold(m_components.clock.now());
    const auto memory = expectedMemory(*entry.request.tokens, m_components.speeds);
    placement.decode->open.emplace(*entry.reservation, open_work{m_components.clock.now(), 0, memory, true});
    send(entry, *placement.prefill, dispatch_kind::Prefill, entry.request.tokens->prompt);
}

// Refuses a request at once if all endpoints want no requests, and tells its caller when one takes them again. A stream that has begun waits.
bool relay_requests::refusePaused(relay_entry &entry)
{
    const auto now = m_components.clock.now();
    const auto until = m_components.endpoints.pausedUntil(entry.service, now, filterOf(entry));
    if (!until || entry.headSent) {
        return false;
    }
    failRequest(entry,
                failure::Overloaded,
                outcome::NotRun,
                "all endpoints of " + entry.service.value + " want a pause of " + millisText(*until - now) + " ms",
                addJitter(std::max(*until - now, shortestOverloadRetry), entry.request.payload->id));
    return true;
}

// Refuses a request at once if this VM reaches no endpoint, with or without a proxy.
bool relay_requests::refuseIsolated(relay_entry &entry)
{
    if (!isIsolated(entry)) {
        return false;
    }
    const auto *const detail = homesOf(entry).bind() ? "neither this VM nor any other one in the homes that it can ask reaches the endpoints"
                                                     : "neither this VM nor any other one that it can ask reaches the endpoints";
    failRequest(entry, failure::NoEndpoint, outcome::NotRun, detail);
    return true;
}

data_centre_filter relay_requests::filterOf(const relay_entry &entry) const
{
    const auto homes = homesOf(entry);
    return homes.bind() ? data_centre_filter([homes](const data_centre_name &dataCentre) { return homes.allow(dataCentre); }) : data_centre_filter{};
}

bool relay_requests::isServed(const relay_entry &entry, const std::optional<software_version> &version) const
{
    const auto now = m_components.clock.now();
    const auto homes = homesOf(entry);
    const auto endpoints = m_components.endpoints.entriesOf(entry.service);
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const auto *endpoint) {
        const auto &info = endpoint->info;
        return info.role != endpoint_role::Prefill && endpoint->usable(now) && homes.allow(info.dataCentre) && endpoint->serves(version);
    });
}

bool relay_requests::isIsolated(const relay_entry &entry) const
{
    return m_components.ways.isCutOff() && !m_components.ways.chooseProxy(0, m_components.clock.now(), filterOf(entry));
}

// Refuses a request at once if its service has no endpoint in its homes.
bool relay_requests::refuseHomeless(relay_entry &entry)
{
    const auto homes = homesOf(entry);
    if (!homes.bind() || isServed(entry, std::nullopt)) {
        return false;
    }
    ++m_components.metrics.homeRefusals;
    failRequest(entry, failure::NoEndpoint, outcome::NotRun, "no endpoint of " + entry.service.value + " is in the homes " + homes.text());
    return true;
}

// Refuses a request at once if the endpoints that could serve it are in evacuated data centres.
bool relay_requests::refuseEvacuated(relay_entry &entry)
{
    if (!m_components.endpoints.onlyClosed(entry.service, entry.version, m_components.clock.now())) {
        return false;
    }
    failRequest(entry, failure::NoEndpoint, outcome::NotRun, "the data centres of all endpoints of " + entry.service.value + " are evacuated");
    return true;
}

void relay_requests::refuseEvacuated()
{
    std::vector<relay_entry *> waiting;
    for (const auto &[caller, entry] : m_entries) {
        if (entry->machine.stage() == relay_stage::Waiting) {
            waiting.push_back(entry.get());
        }
    }
    for (auto *entry : waiting) {
        refuseEvacuated(*entry);
    }
}

void relay_requests::placeHeld()
{
    std::vector<relay_entry *> waiting;
    for (const auto &[caller, entry] : m_entries) {
        if (entry->machine.stage() == relay_stage::Waiting && entry->queuedAt != time_point{} && !entry->ask && !entry->limitRetryAt
            && !entry->waitsForProof()) {
            waiting.push_back(entry.get());
        }
    }
    for (auto *entry : waiting) {
        if (entry->machine.stage() == relay_stage::Waiting) { // Placing another request may have placed this one.
            removeFromQueue(*entry);
            placeOrWait(*entry);
        }
    }
}

// Places a new request, or lets it wait in the order of the hub.
void relay_requests::placeOrWait(relay_entry &entry)
{
    if (refuseHomeless(entry) || refuseIsolated(entry) || refusePaused(entry) || refuseEvacuated(entry) || askHub(entry)) {
        return;
    }
    if (!admitAlone(entry)) {
        return;
    }
    if (m_components.placement.waitsForPermits(entry.service, m_components.clock.now())) {
        placeWaiting();
    }
    if (place(entry)) {
        scheduleWakeup(entry);
    } else {
        enqueueOrRefuse(entry);
    }
}

// Refuses a request that would have to wait too long for a place. Where the limits of the endpoints decide, the caller is told when a place is expected.
void relay_requests::refuseOverloaded(relay_entry &entry, duration expected, std::string_view detail)
{
    std::optional<duration> retryAfter;
    if (m_components.endpoints.onlyLimited(entry.service, m_components.clock.now())) {
        retryAfter = addJitter(std::clamp(expected, shortestOverloadRetry, longestLimitRetry), entry.request.payload->id);
    }
    failRequest(entry, failure::Overloaded, outcome::NotRun, detail, retryAfter);
}

// Refuses at once a request that cannot be served in time, and queues any other by its priority.
void relay_requests::enqueueOrRefuse(relay_entry &entry)
{
    const auto now = m_components.clock.now();
    if (refuseEvacuated(entry)) {
        return;
    }
    if (!m_components.endpoints.hasService(entry.service, now)) {
        failRequest(entry, failure::NoEndpoint, outcome::NotRun, "no endpoint of " + entry.service.value + " is known");
        return;
    }
    if (refuseHomeless(entry)) {
        return;
    }
    if (entry.version && !isServed(entry, entry.version)) {
        failRequest(entry, failure::StreamVersionGone, outcome::NotRun, "no endpoint has version " + entry.version->value);
        return;
    }
    if (refuseIsolated(entry) || refusePaused(entry)) {
        return;
    }
    entry.queuedAt = now;
    // Only the hub uses limits of endpoints. Other streams that have broken off wait here.
    if ((!entry.headSent || m_components.endpoints.hasLimits(entry.service, now)) && askHub(entry)) {
        return;
    }
    if (const auto refusal = m_components.placement.enqueueOrRefuse(placementRequestOf(entry), now)) {
        refuseOverloaded(entry, refusal->expected, "no endpoint has a place in time " + refusal->text());
        return;
    }
    m_components.logMessage(severity::Info,
                            log_component::Place,
                            "request=" + entry.request.payload->id + " waits service=" + entry.service.value + " queue="
                                + std::to_string(m_components.placement.waiting()) + " directory=" + std::to_string(m_components.endpoints.position()));
    scheduleWakeup(entry);
}

void relay_requests::removeFromQueue(const relay_entry &entry)
{
    m_components.placement.remove({.number = entry.request.caller});
}

void relay_requests::placeWaiting()
{
    m_components.placement.placeWaiting(m_components.clock.now(), [this](const placement_request &request, const model_placement &placement) {
        if (!request.owner.isLocal()) {
            grant(request, placement);
            return true;
        }
        auto &entry = *m_entries.at(request.owner.number);
        if (!place(entry)) {
            return false;
        }
        m_components.metrics.placementWait.add(m_components.clock.now() - entry.arrivedAt);
        scheduleWakeup(entry);
        return true;
    });
}

// Returns the time since which the caller has had nothing of its answer, or nothing more.
time_point relay_requests::waitingSince(const relay_entry &entry)
{
    return entry.firstEventAt ? entry.lastPartAt : entry.arrivedAt;
}

// Returns the time until which a request waits for a place. A stream that has broken off has no use for an early refusal and waits from that moment on.
time_point relay_requests::waitEndsAt(const relay_entry &entry) const
{
    const auto since = entry.headSent ? entry.queuedAt : entry.arrivedAt;
    return since + std::chrono::duration_cast<duration>((callerDeadlineOf(entry) - since) * maxWaitFraction);
}

// Returns the time at which the caller gives up unless more of the answer arrives.
time_point relay_requests::callerDeadlineOf(const relay_entry &entry) const
{
    if (!entry.isStream()) {
        return entry.deadline;
    }
    const auto gap = std::max<duration>({entry.route->objective * abandonFactor, entry.route->gapObjective * abandonGapFactor, minAbandonTime});
    return std::min(entry.deadline, waitingSince(entry) + gap);
}

// Returns the time at which a stream without a further event is given up: later than its caller would leave.
time_point relay_requests::stalledAt(const relay_entry &entry) const
{
    return callerDeadlineOf(entry) + stallMargin;
}

std::vector<waiting_count> relay_requests::waitingByService() const
{
    auto counts = m_components.placement.waitingByService();
    for (const auto &[number, caller] : m_asks) {
        addWaiting(counts, {{m_entries.at(caller)->service, 1}});
    }
    return counts;
}

void relay_requests::failRequest(relay_entry &entry, failure reason, outcome result, std::string_view detail, std::optional<duration> retryAfter)
{
    const auto caller = entry.request.caller;
    if (entry.headSent) {
        abortStream(entry, detail);
        return;
    }
    if (result == outcome::NotRun && entry.runs > 0) {
        reason = failure::EndpointFailed;
        result = outcome::Unknown;
    }
    // No later try finds the version of a stream that no endpoint has any more.
    if (result == outcome::NotRun && !retryAfter && reason != failure::StreamVersionGone) {
        auto base = reason == failure::NoEndpoint ? noEndpointRetry : shortestOverloadRetry;
        // The objective is missed already. A later retry meets a shorter queue.
        if (entry.isStream() && reason == failure::Overloaded) {
            base = std::max(base, std::min<duration>(entry.route->objective * overloadRetryFactor, (entry.deadline - m_components.clock.now()) / 4));
        }
        retryAfter = addJitter(base, entry.request.payload->id);
    }
    if (result != outcome::NotRun) {
        retryAfter.reset();
    } else if (entry.account != nullptr) {
        m_components.limiter.refund(entry.account->name, entry.units);
    }
    ++m_components.metrics.failures[reason];
    m_components.commands.push_back(answer_failure{caller, {}, reason, result, std::string(detail), retryAfter});
    finish(entry, std::string(nameOf(reason)) + " detail=\"" + std::string(detail) + '"', entryOf(reason).httpStatus);
}

// Schedules the next time at which a decision about the entry is due.
void relay_requests::scheduleWakeup(relay_entry &entry)
{
    auto wakeupTime = entry.deadline;
    if (entry.machine.stage() == relay_stage::Waiting && !entry.waitsForProof() && !entry.lookup) {
        wakeupTime = std::min(wakeupTime, waitEndsAt(entry));
    }
    if (entry.attempt && entry.attempt->failoverAt) {
        wakeupTime = std::min(wakeupTime, *entry.attempt->failoverAt);
    }
    if (const auto endsAt = overdueAttemptEndsAt(entry)) {
        wakeupTime = std::min(wakeupTime, *endsAt);
    }
    if (entry.ask) {
        wakeupTime = std::min(wakeupTime, askDueAt(*entry.ask));
    }
    if (entry.limitRetryAt) {
        wakeupTime = std::min(wakeupTime, *entry.limitRetryAt);
    }
    if (entry.waitsForProof()) {
        wakeupTime = std::min(wakeupTime, *entry.unmarkedEnd->dueAt);
    }
    if (entry.heldUntil) {
        wakeupTime = std::min(wakeupTime, *entry.heldUntil);
    }
    if (entry.lookup && entry.lookup->answersUntil) {
        wakeupTime = std::min(wakeupTime, *entry.lookup->answersUntil);
    }
    if (entry.isStream() && entry.firstEventAt && entry.attempt) {
        wakeupTime = std::min(wakeupTime, stalledAt(entry));
    }
    const auto caller = entry.request.caller;
    const auto [found, added] = m_wakeupOf.try_emplace(caller, wakeupTime);
    if (!added) {
        if (found->second == wakeupTime) {
            return;
        }
        m_wakeups.erase({found->second, caller});
        found->second = wakeupTime;
    }
    m_wakeups.emplace(wakeupTime, caller);
}

std::optional<time_point> relay_requests::nextWakeup() const
{
    return m_wakeups.empty() ? std::nullopt : std::optional(m_wakeups.begin()->first);
}

} // namespace plantainpoint
