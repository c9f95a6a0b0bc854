#include "entry_vm.hpp"

#include <csignal>
#include <random>
#include <utility>

#include <nlohmann/json.hpp>

namespace plantainpoint {

namespace {

constexpr auto flushTime = std::chrono::seconds{2}; // Time for answers that are still being written when the core has stopped.

} // namespace

entry_vm::entry_vm(boost::asio::io_context &io, entry_settings settings)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_logger(m_settings.logLevel, m_settings.logFormat)
    , m_core(coreSettings(), m_clock, m_wallClock)
    , m_http(io)
    , m_logHttp(io)
    , m_endpoints(io, m_http, [this](input message) { deliver(std::move(message)); })
    , m_log(m_logHttp, m_settings.logAddress, m_clock, [this](input message) { deliver(std::move(message)); })
    , m_vmList(m_http, m_settings.vmListAddress, m_settings.seedPeers, [this](input message) { deliver(std::move(message)); })
    , m_peers(
          io, m_settings.vm, m_settings.fleetKey, m_clock, [this](input message) { deliver(std::move(message)); }, m_logger, m_metrics)
    , m_server(
          io,
          {m_settings.limits, m_settings.tls, request_handling::Completion, std::make_shared<memory_budget>(m_settings.process.heldBytes())},
          [this](input message) { deliver(std::move(message)); },
          m_logger,
          m_metrics)
    , m_admin(io, adminViews())
    , m_loop(io, m_clock, m_core, [this] { execute(); })
    , m_signals(io)
{
}

entry_vm::~entry_vm()
{
    m_loop.ignoreInputs();
}

vm_settings entry_vm::coreSettings() const
{
    std::random_device random;
    constexpr unsigned halfWidth = 32;
    // A VM keeps no state across restarts. The wall clock makes the incarnation number of a later run larger.
    return {.self = {m_settings.vm, static_cast<std::uint64_t>(m_wallClock.now())},
            .dataCentre = m_settings.dataCentre,
            .region = m_settings.region,
            .peerAddress = m_settings.peerAddress,
            .seed = (static_cast<std::uint64_t>(random()) << halfWidth) | random(),
            .maxOpenRequests = m_settings.limits.openRequests};
}

admin_views entry_vm::adminViews()
{
    return {.metrics = [this] { return metricsText(m_metrics) + samplesOf(m_core.metrics()); },
            .status = [this] { return m_core.status(); },
            .audit = [this] { return m_core.audit(); },
            .explain = [this](const request_label &label) { return m_core.explain(label); },
            .ready = [this] { return !m_shuttingDown && m_core.ready(); }};
}

absl::Status entry_vm::start()
{
    if (auto bindStatus = m_peers.listen(m_settings.peerAddress); !bindStatus.ok()) {
        return bindStatus;
    }
    if (auto bindStatus = m_admin.listen(m_settings.adminAddress); !bindStatus.ok()) {
        return bindStatus;
    }
    if (auto bindStatus = m_server.listen(m_settings.listenAddress); !bindStatus.ok()) {
        return bindStatus;
    }
    m_signals.add(SIGTERM);
    m_signals.add(SIGINT);
    waitForSignal();
    m_logger.write(severity::Info, log_component::Http, "Listening on " + m_settings.listenAddress + (m_settings.tls ? " with TLS." : "."));
    m_loop.tick();
    return absl::OkStatus();
}

// Waits for a termination signal. A second signal ends the program at once.
void entry_vm::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int /*signal*/) {
        if (error) {
            return;
        }
        if (m_shuttingDown) {
            m_logger.write(severity::Warning, log_component::Core, "Received a second signal; open requests are aborted.");
            m_io.stop();
            return;
        }
        shutDown();
        waitForSignal();
    });
}

void entry_vm::shutDown()
{
    m_shuttingDown = true;
    m_logger.write(severity::Info, log_component::Core, "Graceful shutdown: open requests are completed.");
    m_server.beginClosing();
    deliver(shutdown_requested{});
}

void entry_vm::execute()
{
    const auto runCommand = [this](auto &command) {
        using type = std::decay_t<decltype(command)>;
        if constexpr (std::is_same_v<type, dispatch_prefill> || std::is_same_v<type, dispatch_decode> || std::is_same_v<type, dispatch_plain>) {
            m_endpoints.run(std::move(command));
        } else if constexpr (std::is_same_v<type, append_log>) {
            m_log.run(std::move(command));
        } else if constexpr (std::is_same_v<type, read_log>) {
            m_log.run(command);
        } else if constexpr (std::is_same_v<type, read_vm_list>) {
            m_vmList.run(command);
        } else if constexpr (std::is_same_v<type, send_peer>) {
            m_peers.run(command);
        } else if constexpr (std::is_same_v<type, log_line> || std::is_same_v<type, stopped>) {
            run(command);
        } else if constexpr (requires { m_server.run(command); }) {
            m_server.run(command);
        } else {
            m_endpoints.run(command);
        }
    };
    auto commands = m_core.take();
    for (auto &each : commands) {
        std::visit(runCommand, each);
    }
}

void entry_vm::run(const stopped & /*command*/)
{
    if (m_loop.isStopping()) {
        return;
    }
    m_server.closeIdle();
    m_server.refuseArriving();
    m_loop.stop([this] { return m_server.flushed(); }, flushTime, [this] { m_logger.write(severity::Info, log_component::Core, "Stopped."); });
}

} // namespace plantainpoint
