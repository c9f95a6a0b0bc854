// Runs the relay core of a VM in one event loop.
#pragma once

#include <algorithm>
#include <concepts>
#include <csignal>
#include <string>
#include <utility>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "admin_server.hpp"
#include "clocks.hpp"
#include "core_loop.hpp"
#include "endpoint_check.hpp"
#include "endpoint_probe.hpp"
#include "endpoint_proxy.hpp"
#include "fleet_link.hpp"
#include "http_server.hpp"
#include "log_limiter.hpp"
#include "memory_budget.hpp"
#include "plantainpoint/relay_core.hpp"
#include "relay_client.hpp"
#include "relay_options.hpp"
#include "shell_metrics.hpp"

namespace plantainpoint {

// Requirements of a relay VM on the system that it runs on.
// clang-format off
template<class T>
concept relay_platform = endpoint_dialect<typename T::endpoints>
    && requires(caller_request &request, typename T::directory &directory, const std::string &state, const read_order_log &read, const append_order &append,
                const read_directory &readDirectory, const read_members &readMembers, const import_directory_changes &changes,
                const store_quarantine &quarantine, const read_stream_records &readStreams, const append_stream_records &appendStreams,
                const set_default_versions &defaults) {
    { T::decodeRequest(request) } -> std::same_as<relay_request>;
    { T::readyPath() } -> std::convertible_to<std::string>;
    directory.start();
    directory.leave(); // Deregisters this VM, so that other VMs stop contacting it.
    { directory.missingState() } -> std::same_as<std::string>; // The query for what this VM lacks.
    { directory.exportState(state) } -> std::same_as<std::string>;
    directory.importState(state);
    directory.run(read);
    directory.run(append);
    directory.run(readDirectory);
    directory.run(readMembers);
    directory.run(changes);
    directory.run(quarantine);
    directory.run(readStreams);
    directory.run(appendStreams);
    directory.run(defaults);
};
// clang-format on

template<relay_platform Platform>
class relay_vm
{
public:
    // The I/O context has to outlive the VM.
    relay_vm(boost::asio::io_context &io, std::string settingsFile, relay_options options);
    ~relay_vm() { m_loop.ignoreInputs(); }
    relay_vm(const relay_vm &) = delete;
    relay_vm &operator=(const relay_vm &) = delete;

    // Binds the addresses and starts the core. Returns InvalidSettings with the address that cannot be bound.
    absl::Status start();

private:
    static constexpr const char *statePath = "/fleet/state";
    static constexpr auto fetchPauseLimit = std::chrono::milliseconds{800}; // Ends a transfer of state in which no byte arrives for this time.
    static constexpr auto receptionCheckInterval = std::chrono::milliseconds{20};
    // A read that has completed is handled before the second of two checks, so that its bytes are not missed.
    static constexpr int quietChecks = 2;
    static constexpr auto storeOptions =
        http_client_options{.connectTimeout = std::chrono::milliseconds{300}, .unacknowledgedTimeout = std::chrono::milliseconds{900}, .maxIdlePerAddress = 2};
    // An endpoint that does not accept a connection within this time would miss the latency objective anyway. A sound endpoint may read nothing for a
    // second or so; requests that may be repeated are sent to another one earlier.
    static constexpr auto endpointOptions = http_client_options{.connectTimeout = std::chrono::milliseconds{250},
                                                                .proxyConnectTimeout = std::chrono::milliseconds{500},
                                                                .unacknowledgedTimeout = std::chrono::milliseconds{3000},
                                                                .maxIdlePerAddress = 6};

    void deliver(relay_input message) { m_loop.deliver(std::move(message)); }
    void onCallerInput(input message);
    void execute();
    void waitForSignal();
    void reload();
    void shutDown();
    admin_views adminViews();

    void run(const send_heartbeat &command) { m_fleetLink.send(command); }
    void run(const send_summary &command) { m_fleetLink.send(command); }
    void run(const send_ask &command) { m_fleetLink.send(command); }
    void run(const send_grant &command) { m_fleetLink.send(command); }
    void run(const send_record_ask &command) { m_fleetLink.send(command); }
    void run(const send_record_answer &command) { m_fleetLink.send(command); }
    void run(const send_origin_ask &command) { m_fleetLink.send(command); }
    void run(const send_origin_answer &command) { m_fleetLink.send(command); }
    void run(const read_directory &command) { m_directory.run(command); }
    void run(const read_members &command) { m_directory.run(command); }
    void run(const import_directory_changes &command) { m_directory.run(command); }
    void run(const fetch_fleet_state &command);
    void run(const log_line &command);
    void run(const read_order_log &command) { m_directory.run(command); }
    void run(const append_order &command) { m_directory.run(command); }
    void run(const store_quarantine &command) { m_directory.run(command); }
    void run(const read_stream_records &command) { m_directory.run(command); }
    void run(const append_stream_records &command) { m_directory.run(command); }
    void run(const set_default_versions &command) { m_directory.run(command); }
    void run(const check_endpoint &command)
    {
        checkEndpoint(m_io, command, [this](endpoint_checked result) { deliver(std::move(result)); });
    }
    void run(const probe_endpoint &command)
    {
        probeEndpoint(
            m_io,
            command,
            [this](std::vector<std::string> addresses) { deliver(proxies_named{std::move(addresses)}); },
            [this](endpoint_probed result) { deliver(std::move(result)); });
    }
    void run(const check_answer_end &command);
    static end_check resultOf(const endpoint_checked &checked);
    static end_check resultOf(const endpoint_probed &probed);
    void run(const stop_accepting &command);
    void run(const refuse_arriving & /*command*/) { m_server.refuseArriving(); }
    void run(const stopped &command);
    void checkReception();

    boost::asio::io_context &m_io;
    std::string m_settingsFile;
    relay_options m_options;
    line_logger m_logger;
    log_limiter m_logLimiter;
    boot_time_source m_clock;
    shell_metrics m_metrics;
    std::shared_ptr<memory_budget> m_memory;
    relay_core m_core;
    http_client m_http;
    http_client m_directoryHttp;
    relay_client<typename Platform::endpoints> m_endpoints;
    typename Platform::directory m_directory;
    fleet_link m_fleetLink;
    endpoint_proxy m_proxy;
    http_server m_server;
    admin_server m_ready;
    admin_server m_admin;
    core_loop<relay_core, relay_input> m_loop;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_receptionTimer;
    int m_quietChecks = 0; // Consecutive checks that found no request being received.
    std::uint64_t m_boundsVersion = 0;
    bool m_shuttingDown = false;
};

template<relay_platform Platform>
relay_vm<Platform>::relay_vm(boost::asio::io_context &io, std::string settingsFile, relay_options options)
    : m_io(io)
    , m_settingsFile(std::move(settingsFile))
    , m_options(std::move(options))
    , m_logger(m_options.logLevel, m_options.logFormat)
    , m_logLimiter(m_options.logLinesPerSecond)
    , m_memory(std::make_shared<memory_budget>(m_options.process.heldBytes()))
    , m_core(m_options.core, m_clock)
    , m_http(io, endpointOptions)
    , m_directoryHttp(io, storeOptions)
    , m_endpoints(
          m_http,
          typename Platform::endpoints{},
          [this](relay_input message) { deliver(std::move(message)); },
          [this](attempt_number attempt) { return m_core.maySend(attempt); },
          m_memory,
          [this](const endpoint_name &endpoint, const std::string &requestId, const std::string &status) {
              run(log_line{severity::Warning,
                           log_component::Http,
                           std::nullopt,
                           "request=" + requestId + " endpoint=" + endpoint.value + " answered with the invalid status " + status});
          })
    , m_directory(
          io, m_directoryHttp, m_options, [this](relay_input message) { deliver(std::move(message)); }, m_logger)
    , m_fleetLink(
          io, [this](fleet_message message) { std::visit([this](auto &content) { deliver(std::move(content)); }, message); }, m_logger)
    , m_proxy(
          io, [this](const endpoint_name &endpoint, std::int64_t startedAt) { return m_core.admitProxied(endpoint, startedAt); }, m_logger, m_memory)
    , m_server(
          io,
          {server_limits{
               .connectionsPerAccount = 1'000'000, .connections = m_options.process.callerConnections(), .receiveBuffer = process_limits::receiveBuffer},
           {},
           request_handling::Opaque,
           m_memory},
          [this](input message) { onCallerInput(std::move(message)); },
          m_logger,
          m_metrics)
    , m_ready(io, adminViews())
    , m_admin(io, adminViews())
    , m_loop(io, m_clock, m_core, [this] { execute(); })
    , m_signals(io)
    , m_receptionTimer(io)
{
    // A signal that arrives before the start is handled after it. The default action would end the process.
    m_signals.add(SIGTERM);
    m_signals.add(SIGINT);
    m_signals.add(SIGHUP);
    waitForSignal();
}

template<relay_platform Platform>
admin_views relay_vm<Platform>::adminViews()
{
    const auto ready = [this] { return !m_shuttingDown && m_core.ready(); };
    admin_views views{.metrics = [this] { return metricsText(m_metrics) + samplesOf(m_core.metrics()); },
                      .status = [this] { return m_core.status(); },
                      .audit = [] { return nlohmann::json::array(); },
                      .explain = [](const request_label &) { return nlohmann::json{}; },
                      .ready = ready};
    views.pages[Platform::readyPath()] = [ready](std::string_view /*query*/) -> std::optional<std::string> {
        return ready() ? std::optional<std::string>("ready") : std::nullopt;
    };
    views.connect = [this](boost::asio::ip::tcp::socket socket, endpoint_proxy::request_type request) {
        return m_proxy.serve(std::move(socket), std::move(request));
    };
    views.pages[statePath] = [this](std::string_view query) -> std::optional<std::string> { return m_directory.exportState(query); };
    return views;
}

template<relay_platform Platform>
absl::Status relay_vm<Platform>::start()
{
    if (auto bindStatus = m_fleetLink.listen(m_options.peerAddress); !bindStatus.ok()) {
        return bindStatus;
    }
    if (auto bindStatus = m_admin.listen(m_options.peerAddress); !bindStatus.ok()) {
        return bindStatus;
    }
    if (auto bindStatus = m_ready.listen(m_options.readyAddress); !bindStatus.ok()) {
        return bindStatus;
    }
    if (auto bindStatus = m_server.listen(m_options.listenAddress); !bindStatus.ok()) {
        return bindStatus;
    }
    m_logger.setNonBlocking();
    m_logger.write(severity::Info, log_component::Core, "Started vm=" + m_options.core.self.vm.value + " listen=" + m_options.listenAddress + '.');
    m_directory.start();
    m_loop.tick();
    return absl::OkStatus();
}

template<relay_platform Platform>
void relay_vm<Platform>::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
        } else if (!m_shuttingDown) {
            shutDown();
        }
        waitForSignal();
    });
}

// Reloads the log level. All other settings take effect at the next start, but the whole file is checked, so that an operator sees an error at once.
template<relay_platform Platform>
void relay_vm<Platform>::reload()
{
    const auto options = loadRelayOptions(m_settingsFile);
    if (!options.ok()) {
        const auto text = options.status().message();
        m_logger.write(severity::Error, log_component::Core, "Settings were not reloaded: " + std::string(text.data(), text.size()) + '.');
        return;
    }
    m_logger.setLevel(options->logLevel);
    m_logger.write(severity::Info, log_component::Core, "Settings were reloaded.");
}

template<relay_platform Platform>
void relay_vm<Platform>::shutDown()
{
    m_shuttingDown = true;
    m_server.beginClosing();
    m_directory.leave();
    deliver(shutdown_requested{});
}

template<relay_platform Platform>
void relay_vm<Platform>::onCallerInput(input message)
{
    if (auto *const request = std::get_if<caller_request>(&message)) {
        deliver(Platform::decodeRequest(*request));
    } else if (auto *const disconnected = std::get_if<caller_disconnected>(&message)) {
        deliver(*disconnected);
    }
}

template<relay_platform Platform>
void relay_vm<Platform>::execute()
{
    const auto runCommand = [this](auto &command) {
        if constexpr (requires { m_server.run(command); }) {
            m_server.run(command);
        } else if constexpr (requires { m_endpoints.run(command); }) {
            m_endpoints.run(command);
        } else {
            run(command);
        }
    };
    auto commands = m_core.take();
    for (auto &each : commands) {
        std::visit(runCommand, each);
    }
    if (const auto version = m_core.configVersion(); version != m_boundsVersion) {
        m_boundsVersion = version;
        m_server.setBounds(m_core.bounds());
    }
}

template<relay_platform Platform>
void relay_vm<Platform>::run(const fetch_fleet_state &command)
{
    auto handler = [this, address = command.address, startedAt = m_clock.now()](transfer_end end, bool, int status, const http_fields &, std::string body) {
        constexpr int statusOk = 200;
        if (end != transfer_end::Complete || status != statusOk) {
            m_logger.write(severity::Warning,
                           log_component::Peer,
                           "The fleet state of " + address + " could not be read: end=" + std::string(nameOf(end)) + " status=" + std::to_string(status)
                               + " bytes=" + std::to_string(body.size())
                               + " ms=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - startedAt).count())
                               + " config_version=" + std::to_string(m_core.configVersion()) + '.');
        } else {
            m_directory.importState(body);
        }
        deliver(fleet_state_fetched{});
    };
    http_call call{.request = makeRequest(boost::beast::http::verb::get, statePath + ("?" + m_directory.missingState())),
                   .timeout = fetchPauseLimit,
                   .kind = timeout_kind::Inactivity};
    m_directoryHttp.start(command.address, std::move(call), collectResponse(std::move(handler)));
}

template<relay_platform Platform>
void relay_vm<Platform>::run(const log_line &command)
{
    if (!command.isRequired && !m_logLimiter.pass(command.level, command.from, m_clock.now())) {
        return;
    }
    if (const auto report = m_logLimiter.report(command.from)) {
        m_logger.write(severity::Warning, command.from, *report);
    }
    m_logger.write(command);
}

template<relay_platform Platform>
end_check relay_vm<Platform>::resultOf(const endpoint_checked &checked)
{
    if (checked.refused) {
        return end_check::Refused;
    }
    return checked.accepted ? end_check::Accepted : end_check::Unreached;
}

template<relay_platform Platform>
end_check relay_vm<Platform>::resultOf(const endpoint_probed &probed)
{
    switch (probed.result) {
    case probe_result::Reached:
        return end_check::Accepted;
    case probe_result::Unreachable:
        return end_check::Refused;
    case probe_result::ProxyFailed:
        break;
    }
    return end_check::Unreached;
}

// Where this VM has lost its way to the endpoint, the proxy connects to it.
template<relay_platform Platform>
void relay_vm<Platform>::run(const check_answer_end &command)
{
    const auto report = [this, attempt = command.attempt, startedAt = m_clock.now()](end_check result) {
        deliver(answer_end_checked{attempt, result, m_clock.now() - startedAt});
    };
    if (command.proxy.empty()) {
        constexpr int connections = 4; // Some may be left unanswered while the endpoint ends.
        const auto connectTime = command.watchTime / connections;
        checkEndpoint(m_io,
                      {command.endpoint, command.address},
                      [report](const endpoint_checked &checked) { report(resultOf(checked)); },
                      {.delay = {}, .watch = command.watchTime, .connect = connectTime, .retry = connectTime / 2});
        return;
    }
    probeEndpoint(
        m_io,
        {command.endpoint, command.startedAt, command.address, command.proxy},
        [this](std::vector<std::string> addresses) { deliver(proxies_named{std::move(addresses)}); },
        [report](const endpoint_probed &probed) { report(resultOf(probed)); });
}

template<relay_platform Platform>
void relay_vm<Platform>::run(const stop_accepting & /*command*/)
{
    m_server.closeIdle();
    checkReception();
}

// Tells the core when no request is being received any more.
template<relay_platform Platform>
void relay_vm<Platform>::checkReception()
{
    m_receptionTimer.expires_after(receptionCheckInterval);
    m_receptionTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        m_quietChecks = m_server.isReceiving() ? 0 : m_quietChecks + 1;
        if (m_quietChecks == quietChecks) {
            deliver(reception_finished{});
        } else {
            checkReception();
        }
    });
}

// Ends the process when the callers have their answers.
template<relay_platform Platform>
void relay_vm<Platform>::run(const stopped & /*command*/)
{
    m_receptionTimer.cancel();
    m_server.refuseArriving();
    const auto timeLeft = std::max(m_core.endsAt().value_or(time_point{}) - m_clock.now(), duration{});
    const auto flushed = [this] {
        m_proxy.closeQuiet();
        return m_server.flushed() && m_proxy.openTunnels() == 0;
    };
    m_loop.stop(flushed, timeLeft, [this] { m_logger.write(severity::Info, log_component::Core, "Stopped."); });
}

} // namespace plantainpoint
