#include "plantainpoint/relay_core.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "relay_requests.hpp"

namespace plantainpoint {

namespace {

constexpr duration longestTick = std::chrono::milliseconds{500};
constexpr duration fetchPause = std::chrono::milliseconds{300}; // between two transfers of state from other VMs

} // namespace

struct relay_core::state {
    state(relay_settings settings, const clock_source &clock)
        : parts(std::move(settings), clock)
        , requests(parts)
    {
    }

    void on(const configuration_read &read);
    void on(const directory_read &read);
    void on(const directory_reachable &change);
    void on(const fleet_beat &beat);
    void on(const members_read &read);
    void on(const shutdown_requested &message);
    void on(const order_log_read &read) { parts.planner.on(read, parts.clock.now(), parts.out); }
    void on(const order_appended &appended) { parts.planner.on(appended, parts.endpoints, parts.clock.now(), parts.out); }
    void on(const role_order_answered &answer) { parts.planner.on(answer, parts.endpoints, parts.clock.now(), parts.out); }
    template<class Message>
    void on(Message message)
    {
        requests.on(std::move(message));
    }

    void sendBeats(time_point now);
    void fetchWhenBehind(time_point now);
    void planRoles(time_point now);
    void stopWhenIdle(time_point now);

    relay_parts parts;
    relay_requests requests;
    std::uint64_t beatSequence = 0;
    time_point nextBeat{};
    time_point nextFetch{};
    std::optional<fleet_beat> lastBeat;
    time_point lastBeatAt{};
    std::optional<time_point> shutdownAt;
    bool closedToCallers = false;
    bool stoppedSent = false;
};

void relay_core::state::on(const configuration_read &read)
{
    if (parts.routes && read.config->version <= parts.routes->version()) {
        return;
    }
    const auto before = parts.routes ? parts.routes->version() : 0;
    parts.routes = std::make_shared<route_table>(read.config);
    parts.limiter.setAccounts(read.config->accounts, parts.clock.now());
    parts.say(severity::Info,
              part::Log,
              "configuration applied version=" + std::to_string(read.config->version) + " before=" + std::to_string(before)
                  + " routes=" + std::to_string(read.config->routes.size()) + " accounts=" + std::to_string(read.config->accounts.size()));
}

void relay_core::state::on(const directory_read &read)
{
    const auto changed = parts.endpoints.onRead(read, parts.clock.now());
    for (const auto &name : changed) {
        const auto *const entry = parts.endpoints.find(name);
        if (entry == nullptr) {
            continue;
        }
        const bool withdrawn = entry->withdrawnAt.has_value();
        parts.say(severity::Info,
                  part::Watch,
                  "endpoint=" + name.value + " service=" + entry->info.service.value + " address=" + entry->info.address + " state="
                      + (withdrawn                                            ? "withdrawn"
                         : entry->info.condition == endpoint_condition::Ready ? "ready"
                                                                              : "leaving")
                      + " directory=" + std::to_string(read.position));
    }
}

void relay_core::state::on(const directory_reachable &change)
{
    if (change.reachable != parts.endpoints.reachable()) {
        parts.say(severity::Warning, part::Log, change.reachable ? "the directory answers again" : "the directory does not answer");
    }
    parts.endpoints.onReachable(change.reachable, parts.clock.now());
}

void relay_core::state::on(const fleet_beat &beat)
{
    const auto now = parts.clock.now();
    const auto arrival = parts.fleet.onBeat(beat, now);
    if (!arrival.fresh) {
        return;
    }
    ++parts.metrics.beatsReceived;
    if (arrival.fromNewVm) {
        parts.say(severity::Info, part::Member, "vm=" + beat.from.vm.value + " heard address=" + beat.address);
        nextBeat = now;
        lastBeat.reset();
    }
    parts.limiter.onBeat(beat, arrival.resumed, now);
    parts.endpoints.onSwitching(beat.switching, now);
}

void relay_core::state::on(const members_read &read)
{
    parts.fleet.onMembers(read, parts.clock.now());
    nextBeat = parts.clock.now();
    lastBeat.reset();
}

void relay_core::state::on(const shutdown_requested & /*message*/)
{
    if (shutdownAt) {
        return;
    }
    parts.shuttingDown = true;
    shutdownAt = parts.clock.now();
    lastBeat.reset();
    nextBeat = *shutdownAt;
    parts.say(severity::Info, part::Core, "shutdown requested open=" + std::to_string(requests.open()));
}

void relay_core::state::sendBeats(time_point now)
{
    if (now < nextBeat) {
        return;
    }
    nextBeat = now + beatInterval;
    parts.fleet.tick(now);
    parts.limiter.setVisibility(parts.fleet.heard(now), parts.fleet.members(now));
    auto beat = std::make_shared<fleet_beat>(fleet_beat{.from = parts.settings.self,
                                                        .sequence = beatSequence + 1,
                                                        .address = parts.settings.peerAddress,
                                                        .configVersion = parts.routes ? parts.routes->version() : 0,
                                                        .directoryPosition = parts.endpoints.position(),
                                                        .leaving = parts.shuttingDown,
                                                        .loads = parts.endpoints.ownLoads(),
                                                        .switching = parts.planner.ordered(parts.endpoints, now),
                                                        .usage = parts.limiter.usage()});
    // an unchanged beat only shows that the VM lives
    if (lastBeat && lastBeat->loads == beat->loads && lastBeat->switching == beat->switching && lastBeat->usage == beat->usage
        && lastBeat->configVersion == beat->configVersion && now - lastBeatAt < idleBeatInterval) {
        return;
    }
    lastBeat = *beat;
    lastBeatAt = now;
    ++beatSequence;
    for (auto &address : parts.fleet.addresses()) {
        ++parts.metrics.beatsSent;
        parts.out.push_back(send_beat{std::move(address), beat});
    }
}

// while the directory is out of reach, other VMs may still follow it
void relay_core::state::fetchWhenBehind(time_point now)
{
    if (now < nextFetch || (parts.endpoints.reachable() && parts.routes && parts.endpoints.known())) {
        return;
    }
    nextFetch = now + fetchPause;
    const auto address = parts.fleet.aheadOf(parts.routes ? parts.routes->version() : 0, parts.endpoints.position(), now);
    if (address) {
        parts.out.push_back(fetch_fleet_state{*address});
    }
}

void relay_core::state::planRoles(time_point now)
{
    if (parts.routes && parts.endpoints.known() && !parts.shuttingDown) {
        parts.planner.tick(*parts.routes, parts.endpoints, parts.fleet, now, parts.out);
    }
}

void relay_core::state::stopWhenIdle(time_point now)
{
    if (!shutdownAt || stoppedSent || now - *shutdownAt < parts.settings.drainTime) {
        return;
    }
    if (!closedToCallers) {
        closedToCallers = true;
        parts.out.push_back(close_to_callers{});
        return;
    }
    if (requests.open() > 0) {
        return;
    }
    stoppedSent = true;
    parts.out.push_back(stopped{});
}

relay_core::relay_core(relay_settings settings, const clock_source &clock)
    : m_state(std::make_unique<state>(std::move(settings), clock))
{
}

relay_core::~relay_core() = default;

void relay_core::handle(relay_input message)
{
    std::visit([this](auto &&each) { m_state->on(std::forward<decltype(each)>(each)); }, std::move(message));
    // an ended attempt has freed a place, or the directory or a beat has changed what is known of places
    if (m_state->requests.waiting() > 0) {
        m_state->requests.placeWaiting();
    }
}

void relay_core::tick()
{
    const auto now = m_state->parts.clock.now();
    m_state->requests.tick(now);
    m_state->requests.placeWaiting();
    m_state->parts.endpoints.tick(now);
    m_state->sendBeats(now);
    m_state->fetchWhenBehind(now);
    m_state->planRoles(now);
    m_state->stopWhenIdle(now);
}

std::vector<relay_command> relay_core::take()
{
    return std::exchange(m_state->parts.out, {});
}

time_point relay_core::nextTick() const
{
    const auto now = m_state->parts.clock.now();
    auto next = std::min(m_state->nextBeat, now + longestTick);
    const auto wake = m_state->requests.nextWake();
    return wake ? std::min(next, *wake) : next;
}

bool relay_core::ready() const
{
    return m_state->parts.routes && m_state->parts.endpoints.known() && !m_state->parts.shuttingDown;
}

std::uint64_t relay_core::configVersion() const
{
    return m_state->parts.routes ? m_state->parts.routes->version() : 0;
}

caller_bounds relay_core::bounds() const
{
    return m_state->parts.routes ? m_state->parts.routes->config().bounds : caller_bounds{};
}

nlohmann::json relay_core::status() const
{
    const auto &parts = m_state->parts;
    const auto now = parts.clock.now();
    return {{"vm", parts.settings.self.vm.value},
            {"config_version", configVersion()},
            {"directory_position", parts.endpoints.position()},
            {"directory_reachable", parts.endpoints.reachable()},
            {"endpoints", parts.endpoints.size()},
            {"vms_heard", parts.fleet.heard(now)},
            {"vms", parts.fleet.members(now)},
            {"open_requests", m_state->requests.open()},
            {"waiting_requests", m_state->requests.waiting()},
            {"ready", ready()}};
}

nlohmann::json relay_core::metrics() const
{
    auto out = m_state->parts.metrics.toJson();
    const auto now = m_state->parts.clock.now();
    out["open_requests"] = m_state->requests.open();
    out["waiting_requests"] = m_state->requests.waiting();
    out["config_version"] = configVersion();
    out["directory_reachable"] = m_state->parts.endpoints.reachable();
    out["vms_heard"] = m_state->parts.fleet.heard(now);
    return out;
}

} // namespace plantainpoint
