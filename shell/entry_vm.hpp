// Runs the decision core of an entry VM in one event loop.
#pragma once

#include <memory>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "admin_server.hpp"
#include "clocks.hpp"
#include "core_loop.hpp"
#include "endpoint_client.hpp"
#include "http_client.hpp"
#include "http_server.hpp"
#include "log_client.hpp"
#include "logging.hpp"
#include "peer_link.hpp"
#include "plantainpoint/vm_core.hpp"
#include "settings.hpp"
#include "shell_metrics.hpp"
#include "vm_list_client.hpp"

namespace plantainpoint {

class entry_vm
{
public:
    // The I/O context has to outlive the VM.
    entry_vm(boost::asio::io_context &io, entry_settings settings);
    ~entry_vm();
    entry_vm(const entry_vm &) = delete;
    entry_vm &operator=(const entry_vm &) = delete;

    // Binds the addresses and starts the core. Returns InvalidSettings with the address that cannot be bound.
    absl::Status start();

    std::uint16_t port() const { return m_server.port(); }
    std::uint16_t adminPort() const { return m_admin.port(); }

    // Completes open requests, then stops the event loop.
    void shutDown();

private:
    void deliver(input message) { m_loop.deliver(std::move(message)); }
    void execute();
    void waitForSignal();
    vm_settings coreSettings() const;
    admin_views adminViews();

    void run(const stopped &command);
    void run(const log_line &command) { m_logger.write(command); }

    boost::asio::io_context &m_io;
    entry_settings m_settings;
    line_logger m_logger;
    boot_time_source m_clock;
    system_time_source m_wallClock;
    shell_metrics m_metrics;
    vm_core m_core;
    http_client m_http;
    http_client m_logHttp; // A separate client, so that other connections do not evict the idle ones to the log.
    endpoint_client m_endpoints;
    log_client m_log;
    vm_list_client m_vmList;
    peer_link m_peers;
    http_server m_server;
    admin_server m_admin;
    core_loop<vm_core, input> m_loop;
    boost::asio::signal_set m_signals;
    bool m_shuttingDown = false;
};

} // namespace plantainpoint
