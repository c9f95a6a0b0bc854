// Placement by the hub: a VM asks the hub that it follows, and a hub answers from its own view of its data centre.
#include "relay_requests.hpp"

#include <algorithm>
#include <utility>

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

// A hub answers within a millisecond unless it is lost or out of processor time. The request is then placed here.
constexpr duration askTimeout = milliseconds{40};
constexpr duration queuedAskCheck = milliseconds{300}; // Pause between two checks that the hub of a queued request is alive.
constexpr duration hubDoubtTime = milliseconds{300}; // A hub is not asked for this time after an ask without an answer.

} // namespace

time_point askDueAt(const open_ask &ask)
{
    if (!ask.queued) {
        return ask.sentAt + askTimeout;
    }
    return std::min(ask.sentAt + queuedAskCheck, ask.avoidsUntil.value_or(time_point::max()));
}

// Asks the hub for a place. Returns false if this VM has to place the request itself.
bool relay_requests::askHub(relay_entry &entry)
{
    const auto now = m_components.clock.now();
    const auto hubs = m_components.fleet.placingHubs(now);
    const auto trusted = std::find_if(hubs.begin(), hubs.end(), [&](const auto *each) { return now >= m_doubtedHubs[each->info.vm]; });
    // A VM that stops places by itself, but for endpoints whose limits only the hub may use.
    const bool placesAlone = m_components.shuttingDown && !m_components.endpoints.hasLimits(entry.service, now);
    if (trusted == hubs.end() || placesAlone || m_components.endpoints.isHeld(now)) {
        return false;
    }
    const auto *const hub = *trusted;
    const auto request = placementRequestOf(entry);
    auto avoided = m_components.endpoints.notAccepting(request.service, now);
    placement_ask ask{.from = m_components.settings.self,
                      .address = m_components.settings.peerAddress,
                      .number = ++m_lastAsk,
                      .heartbeat = m_components.fleet.lastHeartbeat(),
                      .service = request.service,
                      .tokens = request.tokens,
                      .mayPrefill = request.mayPrefill,
                      .priority = request.priority,
                      .age = now - request.arrivedAt,
                      .objective = request.objective,
                      .timeLeft = request.latest - now,
                      .maxEventGap = request.maxEventGap,
                      .holdTime = request.holdTime,
                      .excluded = avoided,
                      .seed = request.seed,
                      .begun = request.begun,
                      .version = request.version,
                      .bound = request.bound};
    if (entry.account != nullptr && !entry.limitChecked) {
        ask.account = entry.account->name;
        ask.units = entry.units;
    }
    ask.excluded.insert(ask.excluded.end(), request.excluded.begin(), request.excluded.end());
    entry.ask = open_ask{.number = ask.number, .hub = hub->info.vm, .hubAddress = hub->info.address, .sentAt = now, .avoided = std::move(avoided)};
    entry.ask->avoidsUntil = avoidsUntil(*entry.ask);
    m_asks.emplace(ask.number, entry.request.caller);
    ++m_components.metrics.asks;
    m_components.commands.push_back(send_ask{hub->info.address, std::move(ask)});
    scheduleWakeup(entry);
    return true;
}

// Forgets the ask of a request that needs no place any more, or that is placed here.
void relay_requests::withdrawAsk(relay_entry &entry)
{
    if (!entry.ask) {
        return;
    }
    m_asks.erase(entry.ask->number);
    m_components.commands.push_back(
        send_ask{entry.ask->hubAddress,
                 {.from = m_components.settings.self, .address = m_components.settings.peerAddress, .number = entry.ask->number, .cancelled = true}});
    entry.ask.reset();
}

// Returns the time at which the first of the endpoints that the ask avoids takes work again, or nothing if none is known to.
std::optional<time_point> relay_requests::avoidsUntil(const open_ask &ask) const
{
    const auto now = m_components.clock.now();
    std::optional<time_point> first;
    for (const auto &name : ask.avoided) {
        const auto *const endpoint = m_components.endpoints.find(name);
        if (endpoint != nullptr && endpoint->acceptsWorkFrom() > now) {
            first = std::min(first.value_or(time_point::max()), endpoint->acceptsWorkFrom());
        }
    }
    return first;
}

// Returns whether endpoints take the request by now, and the hub keeps it from all of them, as they took no work when it was asked. While the hub may use
// another one, the request keeps its place in the hub's order.
bool relay_requests::isKeptFromWork(const relay_entry &entry) const
{
    const auto now = m_components.clock.now();
    const auto &avoided = entry.ask->avoided;
    if (avoided.empty()) {
        return false;
    }
    const auto request = placementRequestOf(entry);
    bool anyAvoided = false;
    for (const auto *endpoint : m_components.endpoints.entriesOf(entry.service)) {
        const auto &info = endpoint->info;
        const bool serves = info.role != endpoint_role::Prefill && endpoint->serves(request.version);
        if (!serves || !endpoint->acceptsWork(now) || endpoint->isClosed(now) || request.excluded.contains(info.name)) {
            continue;
        }
        if (std::find(avoided.begin(), avoided.end(), info.name) == avoided.end()) {
            return false;
        }
        anyAvoided = true;
    }
    return anyAvoided;
}

// Asks another hub for a request whose hub does not answer or places it here, or lets it wait on at a hub that is alive. It is asked again for an endpoint
// that took no work when it was asked before.
void relay_requests::onAskOverdue(relay_entry &entry)
{
    const auto now = m_components.clock.now();
    const auto hubs = m_components.fleet.placingHubs(now);
    const bool isAlive = std::any_of(hubs.begin(), hubs.end(), [&](const auto *hub) { return hub->info.vm == entry.ask->hub; });
    if (entry.ask->queued && isAlive && !isKeptFromWork(entry)) {
        entry.ask->sentAt = now;
        entry.ask->avoidsUntil = avoidsUntil(*entry.ask);
        scheduleWakeup(entry);
        return;
    }
    if (!entry.ask->queued) {
        ++m_components.metrics.asksUnanswered;
        m_doubtedHubs[entry.ask->hub] = now + hubDoubtTime;
    }
    withdrawAsk(entry);
    placeOrWait(entry);
}

void relay_requests::on(const placement_grant &grant)
{
    const auto found = m_asks.find(grant.number);
    if (grant.receiverIncarnation != m_components.settings.self.number || found == m_asks.end()) {
        return;
    }
    auto &entry = *m_entries.at(found->second);
    const auto now = m_components.clock.now();
    if (grant.result == placement_result::LimitReached) {
        m_asks.erase(found);
        entry.ask.reset();
        m_components.limiter.refund(entry.account->name, std::exchange(entry.units, 0));
        waitForLimitOrRefuse(entry, grant.expectedWait, "the hub " + grant.from.vm.value + " has no units left");
        return;
    }
    entry.limitChecked = true;
    if (grant.result == placement_result::Queued) {
        entry.ask->queued = true;
        entry.ask->sentAt = now;
        scheduleWakeup(entry);
        return;
    }
    m_asks.erase(found);
    entry.ask.reset();
    if (grant.result == placement_result::Refused) {
        refuseOverloaded(entry, grant.expectedWait, "the hub " + grant.from.vm.value + " expects a wait of " + millisText(grant.expectedWait) + " ms");
        return;
    }
    const auto homes = homesOf(entry);
    const auto usable = [&](const endpoint_name &name) {
        auto *const endpoint = m_components.endpoints.find(name);
        const bool isUsable = endpoint != nullptr && endpoint->acceptsWork(now) && !entry.triedEndpoints.contains(name);
        return isUsable && homes.allow(endpoint->info.dataCentre) ? endpoint : nullptr;
    };
    const model_placement placement{usable(grant.prefill), usable(grant.serving), {}};
    m_components.metrics.placementWait.add(now - entry.arrivedAt);
    const bool hasVersion = placement.decode != nullptr && placement.decode->serves(entry.version);
    // The hub may know an endpoint that this VM does not. It would grant it again and again to a request that has to stay in its homes.
    for (const auto &name : {grant.prefill, grant.serving}) {
        const auto *const endpoint = m_components.endpoints.find(name);
        if (homes.bind() && !name.empty() && (endpoint == nullptr || !homes.allow(endpoint->info.dataCentre))) {
            entry.triedEndpoints.insert(name);
        }
    }
    if (now < entry.deadline && !isIsolated(entry) && !m_components.endpoints.isHeld(now) && hasVersion
        && (grant.prefill.empty() || placement.prefill != nullptr)) {
        entry.knowledge = "hub";
        apply(entry, placement);
        scheduleWakeup(entry);
    } else if (place(entry)) {
        scheduleWakeup(entry);
    } else {
        enqueueOrRefuse(entry);
    }
}

void relay_requests::on(const placement_ask &ask)
{
    const auto now = m_components.clock.now();
    placement_request request{
        .owner = {.vm = ask.from.vm, .incarnation = ask.from.number, .address = ask.address, .number = ask.number, .heartbeat = ask.heartbeat},
        .service = ask.service,
        .tokens = ask.tokens,
        .mayPrefill = ask.mayPrefill,
        .begun = ask.begun,
        .priority = ask.priority,
        .arrivedAt = now - ask.age,
        .objective = ask.objective,
        .latest = now + ask.timeLeft,
        .maxEventGap = ask.maxEventGap,
        .holdTime = ask.holdTime,
        .excluded = {ask.excluded.begin(), ask.excluded.end()},
        .bound = ask.bound,
        .version = ask.version,
        .seed = ask.seed};
    if (ask.cancelled) {
        m_components.placement.remove(request.owner);
        return;
    }
    // A VM that does not know the service or its endpoints leaves the ask without an answer, and the sender places by itself.
    const auto *const service = m_components.routes ? m_components.routes->service(ask.service) : nullptr;
    if (service == nullptr || !m_components.endpoints.hasService(ask.service, now) || m_components.shuttingDown) {
        return;
    }
    request.engine = service->engine;
    ++m_components.metrics.asksAnswered;
    if (!ask.account.empty()) {
        const auto purpose = ask.begun ? request_purpose::TakesUp : request_purpose::New;
        if (const auto wait = m_components.limiter.reserve(ask.account, ask.units, purpose, now)) {
            answerAsk(request.owner, {.result = placement_result::LimitReached, .expectedWait = *wait});
            return;
        }
        m_components.fleet.onReservation({request.owner.vm, request.owner.number, request.owner.heartbeat}, ask.account, ask.units);
    }
    if (m_components.placement.waitsForPermits(request.service, now)) {
        placeWaiting();
    }
    if (const auto placement = m_components.placement.choose(request, now)) {
        grant(request, *placement);
        return;
    }
    const auto owner = request.owner;
    const auto refusal = m_components.placement.enqueueOrRefuse(std::move(request), now);
    if (refusal) {
        m_components.logMessage(severity::Info,
                                log_component::Place,
                                "ask vm=" + owner.vm.value + " number=" + std::to_string(owner.number) + " refused service=" + ask.service.value + ' '
                                    + refusal->text());
    }
    answerAsk(owner, {.result = refusal ? placement_result::Refused : placement_result::Queued, .expectedWait = refusal ? refusal->expected : duration{}});
}

// Grants a place to another VM and counts the work until that VM reports it.
void relay_requests::grant(const placement_request &request, const model_placement &placement)
{
    const bool isModel = request.engine && request.tokens;
    const auto memory = isModel ? expectedMemory(*request.tokens, m_components.speeds) : 0;
    const auto prompt = isModel ? request.tokens->prompt : 0;
    std::vector<endpoint_load> loads{{placement.decode->info.name, 1, placement.prefill == nullptr ? prompt : 0, memory}};
    placement_grant answer{.result = placement_result::Granted, .serving = placement.decode->info.name};
    if (placement.prefill != nullptr) {
        loads.push_back({placement.prefill->info.name, 1, prompt, memory});
        answer.prefill = placement.prefill->info.name;
    }
    placement.takePermits(m_components.clock.now());
    recordChoice(placement);
    m_components.fleet.onGrant({request.owner.vm, request.owner.number, request.owner.heartbeat}, loads);
    answerAsk(request.owner, std::move(answer));
}

void relay_requests::answerAsk(const place_owner &owner, placement_grant answer)
{
    answer.from = m_components.settings.self;
    answer.receiverIncarnation = owner.incarnation;
    answer.number = owner.number;
    m_components.commands.push_back(send_grant{owner.address, std::move(answer)});
}

} // namespace plantainpoint
