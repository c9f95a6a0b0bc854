#include "plantainpoint/relay_core.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "relay_requests.hpp"

namespace plantainpoint {

namespace {

constexpr duration maxTickInterval = std::chrono::milliseconds{500};
constexpr duration fetchInterval = std::chrono::milliseconds{300}; // Pause between two transfers of state from other VMs.

} // namespace

struct relay_core::state {
    state(relay_settings settings, const clock_source &clock)
        : components(std::move(settings), clock)
        , requests(components)
    {
    }

    void on(const configuration_read &read);
    void on(const directory_read &read);
    void on(const directory_reachable &change);
    void on(const fleet_heartbeat &heartbeatMessage);
    void on(const members_read &read);
    void on(const shutdown_requested &message);
    void on(const order_log_read &read) { components.planner.on(read, components.clock.now(), components.commands); }
    void on(const order_appended &appended) { components.planner.on(appended, components.endpoints, components.clock.now(), components.commands); }
    void on(const role_order_answered &answer) { components.planner.on(answer, components.endpoints, components.clock.now(), components.commands); }
    template<class Message>
    void on(Message message)
    {
        requests.on(std::move(message));
    }

    void sendFleetHeartbeats(time_point now);
    void fetchWhenBehind(time_point now);
    void planRoles(time_point now);
    void stopWhenIdle(time_point now);

    relay_components components;
    relay_requests requests;
    std::uint64_t heartbeatSequence = 0;
    time_point nextHeartbeat{};
    time_point nextFetch{};
    std::optional<fleet_heartbeat> lastHeartbeat;
    time_point lastHeartbeatAt{};
    std::optional<time_point> shutdownAt;
    bool stopAcceptingSent = false;
    bool stoppedSent = false;
};

void relay_core::state::on(const configuration_read &read)
{
    if (components.routes && read.config->version <= components.routes->version()) {
        return;
    }
    const auto previousVersion = components.routes ? components.routes->version() : 0;
    components.routes = std::make_shared<route_table>(read.config);
    components.limiter.setAccounts(read.config->accounts, components.clock.now());
    components.logMessage(severity::Info,
                          log_component::Log,
                          "configuration applied version=" + std::to_string(read.config->version) + " before=" + std::to_string(previousVersion)
                              + " routes=" + std::to_string(read.config->routes.size()) + " accounts=" + std::to_string(read.config->accounts.size()));
}

void relay_core::state::on(const directory_read &read)
{
    const auto changed = components.endpoints.onRead(read, components.clock.now());
    for (const auto &name : changed) {
        const auto *const entry = components.endpoints.find(name);
        if (entry == nullptr) {
            continue;
        }
        const bool withdrawn = entry->withdrawnAt.has_value();
        components.logMessage(severity::Info,
                              log_component::Monitor,
                              "endpoint=" + name.value + " service=" + entry->info.service.value + " address=" + entry->info.address + " state="
                                  + (withdrawn                                            ? "withdrawn"
                                     : entry->info.condition == endpoint_condition::Ready ? "ready"
                                                                                          : "leaving")
                                  + " directory=" + std::to_string(read.position));
    }
}

void relay_core::state::on(const directory_reachable &change)
{
    if (change.reachable != components.endpoints.reachable()) {
        components.logMessage(severity::Warning, log_component::Log, change.reachable ? "the directory answers again" : "the directory does not answer");
    }
    components.endpoints.onReachable(change.reachable, components.clock.now());
}

void relay_core::state::on(const fleet_heartbeat &heartbeatMessage)
{
    const auto now = components.clock.now();
    const auto arrival = components.fleet.onFleetHeartbeat(heartbeatMessage, now);
    if (!arrival.fresh) {
        return;
    }
    ++components.metrics.heartbeatsReceived;
    if (arrival.fromNewVm) {
        components.logMessage(severity::Info, log_component::Member, "vm=" + heartbeatMessage.from.vm.value + " heard address=" + heartbeatMessage.address);
        nextHeartbeat = now;
        lastHeartbeat.reset();
    }
    components.limiter.onFleetHeartbeat(heartbeatMessage, arrival.resumed, now);
    components.endpoints.onRoleChange(heartbeatMessage.changingRole, now);
}

void relay_core::state::on(const members_read &read)
{
    components.fleet.onMembers(read, components.clock.now());
    nextHeartbeat = components.clock.now();
    lastHeartbeat.reset();
}

void relay_core::state::on(const shutdown_requested & /*message*/)
{
    if (shutdownAt) {
        return;
    }
    components.shuttingDown = true;
    shutdownAt = components.clock.now();
    lastHeartbeat.reset();
    nextHeartbeat = *shutdownAt;
    components.logMessage(severity::Info, log_component::Core, "shutdown requested open=" + std::to_string(requests.open()));
}

void relay_core::state::sendFleetHeartbeats(time_point now)
{
    if (now < nextHeartbeat) {
        return;
    }
    nextHeartbeat = now + fleetHeartbeatInterval;
    components.fleet.tick(now);
    components.limiter.setVisibility(components.fleet.heard(now), components.fleet.members(now));
    auto heartbeatMessage = std::make_shared<fleet_heartbeat>(fleet_heartbeat{.from = components.settings.self,
                                                                              .sequence = heartbeatSequence + 1,
                                                                              .address = components.settings.peerAddress,
                                                                              .configVersion = components.routes ? components.routes->version() : 0,
                                                                              .directoryPosition = components.endpoints.position(),
                                                                              .leaving = components.shuttingDown,
                                                                              .loads = components.endpoints.ownLoads(),
                                                                              .changingRole = components.planner.ordered(components.endpoints, now),
                                                                              .usage = components.limiter.usage()});
    // Fetches the state of another VM while the directory is unreachable here, as others may still follow it.
    if (lastHeartbeat && lastHeartbeat->loads == heartbeatMessage->loads && lastHeartbeat->changingRole == heartbeatMessage->changingRole
        && lastHeartbeat->usage == heartbeatMessage->usage && lastHeartbeat->configVersion == heartbeatMessage->configVersion
        && now - lastHeartbeatAt < idleFleetHeartbeatInterval) {
        return;
    }
    lastHeartbeat = *heartbeatMessage;
    lastHeartbeatAt = now;
    ++heartbeatSequence;
    for (auto &address : components.fleet.addresses()) {
        ++components.metrics.heartbeatsSent;
        components.commands.push_back(send_heartbeat{std::move(address), heartbeatMessage});
    }
}

// Requests the state of a VM that is ahead if the directory is unreachable, or no configuration or endpoints are known yet. Other VMs may
// still reach the directory.
void relay_core::state::fetchWhenBehind(time_point now)
{
    if (now < nextFetch || (components.endpoints.reachable() && components.routes && components.endpoints.known())) {
        return;
    }
    nextFetch = now + fetchInterval;
    const auto address = components.fleet.addressOfNewerPeer(components.routes ? components.routes->version() : 0, components.endpoints.position(), now);
    if (address) {
        components.commands.push_back(fetch_fleet_state{*address});
    }
}

void relay_core::state::planRoles(time_point now)
{
    if (components.routes && components.endpoints.known() && !components.shuttingDown) {
        components.planner.tick(*components.routes, components.endpoints, components.fleet, now, components.commands);
    }
}

void relay_core::state::stopWhenIdle(time_point now)
{
    if (!shutdownAt || stoppedSent || now - *shutdownAt < components.settings.drainTime) {
        return;
    }
    if (!stopAcceptingSent) {
        stopAcceptingSent = true;
        components.commands.push_back(stop_accepting{});
        return;
    }
    if (requests.open() > 0) {
        return;
    }
    stoppedSent = true;
    components.commands.push_back(stopped{});
}

relay_core::relay_core(relay_settings settings, const clock_source &clock)
    : m_state(std::make_unique<state>(std::move(settings), clock))
{
}

relay_core::~relay_core() = default;

void relay_core::handle(relay_input message)
{
    std::visit([this](auto &&content) { m_state->on(std::forward<decltype(content)>(content)); }, std::move(message));
    // The message may have freed a slot or changed what is known of the endpoints.
    if (m_state->requests.waiting() > 0) {
        m_state->requests.placeWaiting();
    }
}

void relay_core::tick()
{
    const auto now = m_state->components.clock.now();
    m_state->requests.tick(now);
    m_state->requests.placeWaiting();
    m_state->components.endpoints.tick(now);
    m_state->sendFleetHeartbeats(now);
    m_state->fetchWhenBehind(now);
    m_state->planRoles(now);
    m_state->stopWhenIdle(now);
}

std::vector<relay_command> relay_core::take()
{
    return std::exchange(m_state->components.commands, {});
}

time_point relay_core::nextTick() const
{
    const auto now = m_state->components.clock.now();
    auto next = std::min(m_state->nextHeartbeat, now + maxTickInterval);
    const auto wakeup = m_state->requests.nextWakeup();
    return wakeup ? std::min(next, *wakeup) : next;
}

bool relay_core::ready() const
{
    return m_state->components.routes && m_state->components.endpoints.known() && !m_state->components.shuttingDown;
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
    return {{"vm", components.settings.self.vm.value},
            {"config_version", configVersion()},
            {"directory_position", components.endpoints.position()},
            {"directory_reachable", components.endpoints.reachable()},
            {"endpoints", components.endpoints.size()},
            {"vms_heard", components.fleet.heard(now)},
            {"vms", components.fleet.members(now)},
            {"open_requests", m_state->requests.open()},
            {"waiting_requests", m_state->requests.waiting()},
            {"ready", ready()}};
}

nlohmann::json relay_core::metrics() const
{
    auto result = m_state->components.metrics.toJson();
    const auto now = m_state->components.clock.now();
    result["open_requests"] = m_state->requests.open();
    result["waiting_requests"] = m_state->requests.waiting();
    result["config_version"] = configVersion();
    result["directory_reachable"] = m_state->components.endpoints.reachable();
    result["vms_heard"] = m_state->components.fleet.heard(now);
    return result;
}

} // namespace plantainpoint
