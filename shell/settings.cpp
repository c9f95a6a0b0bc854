#include "settings.hpp"

#include <fstream>
#include <iterator>

#include "yaml_reader.hpp"

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = kilobyte * kilobyte;
// Shorter keys can be found by brute force from one recorded handshake.
constexpr std::size_t minFleetKeySize = 16;

std::optional<tls_files> readTls(settings_section &&section)
{
    tls_files files{section.text("certificate"), section.text("key")};
    section.finish();
    return files;
}

server_limits readLimits(settings_section &&section)
{
    server_limits limits;
    limits.headerSize = section.size("header_size", limits.headerSize, kilobyte, megabyte);
    limits.bodySize = section.size("body_size", limits.bodySize, kilobyte, 256 * megabyte);
    limits.idleTime = section.time("idle_time", limits.idleTime, milliseconds{100}, milliseconds{3'600'000});
    limits.connectionsPerAccount = static_cast<std::int32_t>(section.integer("connections_per_account", limits.connectionsPerAccount, 1, 1'000'000));
    limits.openRequests = static_cast<std::int32_t>(section.integer("open_requests", limits.openRequests, 1, 1'000'000));
    limits.outputBuffer = section.size("output_buffer", limits.outputBuffer, 4 * kilobyte, 64 * megabyte);
    section.finish();
    return limits;
}

void readLogging(settings_section &&section, entry_settings &settings)
{
    settings.logLevel = static_cast<severity>(section.choice("level", static_cast<std::size_t>(severity::Info), {"debug", "info", "warning", "error"}));
    settings.logFormat = static_cast<log_format>(section.choice("format", static_cast<std::size_t>(log_format::Text), {"text", "json"}));
    section.finish();
}

std::vector<vm_entry> readSeedPeers(std::vector<settings_section> &&sections)
{
    std::vector<vm_entry> seedPeers;
    for (auto &section : sections) {
        vm_entry entry;
        entry.vm.value = section.text("vm");
        entry.peerAddress = section.address("address");
        entry.dataCentre.value = section.text("data_centre");
        section.finish();
        seedPeers.push_back(std::move(entry));
    }
    return seedPeers;
}

// Returns the content of the file without the line end that editors append.
std::string readKeyFile(const std::string &path, settings_errors &errors)
{
    if (path.empty()) {
        return {};
    }
    std::ifstream file(path, std::ios::binary);
    std::string key{std::istreambuf_iterator<char>{file}, {}};
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
        key.pop_back();
    }
    if (!file.good() && !file.eof()) {
        errors.add(-1, "fleet_key_file", "the file cannot be read");
    } else if (key.size() < minFleetKeySize) {
        errors.add(-1, "fleet_key_file", "the file must hold at least 16 bytes");
    }
    return key;
}

void readVmIdentity(settings_section &root, entry_settings &settings, settings_errors &errors)
{
    settings.vm.value = root.text("vm");
    if (settings.vm.value.find('/') != std::string::npos) {
        errors.add(-1, "vm", "must not contain '/', which separates the fields of a label");
    }
    settings.dataCentre.value = root.text("data_centre");
    settings.region.value = root.text("region");
}

} // namespace

absl::StatusOr<entry_settings> loadEntrySettings(const std::string &file)
{
    settings_errors errors(file);
    settings_section root(loadYaml(file, errors), "", errors);
    if (!errors.status().ok()) {
        return errors.status();
    }
    entry_settings settings;
    readVmIdentity(root, settings, errors);
    settings.listenAddress = root.address("listen");
    settings.adminAddress = root.address("admin");
    settings.peerAddress = root.address("peer");
    settings.logAddress = root.address("log");
    settings.vmListAddress = root.address("vm_list");
    const std::string keyFile = root.text("fleet_key_file");
    if (root.has("tls")) {
        settings.tls = readTls(root.section("tls"));
    }
    settings.limits = readLimits(root.section("limits"));
    readProcessLimits(root, settings.process);
    settings.limits.connections = settings.process.callerConnections();
    settings.limits.receiveBuffer = process_limits::receiveBuffer;
    readLogging(root.section("logging"), settings);
    settings.seedPeers = readSeedPeers(root.list("seed_peers"));
    root.section("tls");
    root.finish();
    settings.fleetKey = readKeyFile(keyFile, errors);
    if (!errors.status().ok()) {
        return errors.status();
    }
    return settings;
}

} // namespace plantainpoint
