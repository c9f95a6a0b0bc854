// Targets for files: the settings of the programs and the files of services.
#include <filesystem>
#include <fstream>

#include <unistd.h>

#include "relay_options.hpp"
#include "service_files.hpp"
#include "settings.hpp"
#include "targets.hpp"
#include "yaml_reader.hpp"

namespace plantainpoint::bytes {

namespace {

class temporary_folder
{
public:
    temporary_folder()
        : m_path(std::filesystem::temp_directory_path() / ("plantainpoint-bytes-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_path);
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    temporary_folder(const temporary_folder &) = delete;
    temporary_folder &operator=(const temporary_folder &) = delete;

    std::string path() const { return m_path.string(); }
    std::string write(const char *name, std::string_view content) const
    {
        std::ofstream(m_path / name, std::ios::binary) << content;
        return (m_path / name).string();
    }

private:
    std::filesystem::path m_path;
};

const temporary_folder &folder()
{
    static const temporary_folder instance;
    return instance;
}

// The input holds three files, separated by zero bytes. Files without problems must give a valid service.
std::string checkServiceFiles(std::string_view bytes)
{
    for (const auto *name : {"service.yaml", "accounts.yaml", "keys.yaml"}) {
        const auto content = bytes.substr(0, bytes.find('\0'));
        folder().write(name, content);
        bytes.remove_prefix(std::min(content.size() + 1, bytes.size()));
    }
    const auto files = loadServiceFiles({folder().path()});
    if (files.problems.empty() && (files.services.size() != 1 || !validate(files.services.front()).ok())) {
        return "files without problems give no valid service";
    }
    return {};
}

std::vector<std::string> serviceFileSeeds()
{
    const std::string service = "name: desk\nfairness: 0.5\nroutes:\n  - {method: GET, path: /s, kind: lookup, deadline: 2s}\n";
    const std::string accounts = "accounts:\n  - {name: crew, rate: 20/s, burst: 40}\n";
    const std::string keys = "keys:\n  - {id: k1, account: crew, key: secret}\n";
    return {service + '\0' + accounts + '\0' + keys};
}

// Refused settings must name the file, and accepted ones lie in their ranges.
std::string checkRelaySettings(std::string_view bytes)
{
    const auto file = folder().write("relay.yaml", bytes);
    const auto options = loadRelayOptions(file);
    if (!options.ok()) {
        return std::string(options.status().message()).starts_with(file) ? "" : "the error does not name the file";
    }
    const auto &core = options->core;
    const bool addresses =
        isAddress(options->listenAddress) && isAddress(options->readyAddress) && isAddress(options->peerAddress) && isAddress(options->directoryAddress);
    const bool times = core.directoryInterval > duration{} && core.directoryBound > duration{} && core.drainTime >= duration{} && core.orderLease > duration{};
    const bool numbers = core.retryRatio >= 0 && core.retrySlack >= 0 && core.limitTolerance >= 0 && core.memoryFill > 0 && core.capacity >= 0;
    return addresses && times && numbers && !core.self.vm.empty() ? "" : "accepted settings are out of range";
}

std::vector<std::string> relaySettingsSeeds()
{
    return {"vm: vm-1\ndata_centre: dc-a\nlisten: 127.0.0.1:1\nready: 127.0.0.1:2\npeer: 127.0.0.1:3\ndirectory: 127.0.0.1:4\ndrain_time: 2500ms\n"
            "processor_cores: 0.25\nreading: {bound_ms: 2000, interval: 400ms}\nretries: {ratio: 0.2, slack: 54}\nlimits: {tolerance: 120000}\n"
            "engines: {prefill_tokens_per_ms: 55, memory_fill_percent: 95, order_lease: 3s}\nlogging: {level: info, lines_per_second: 500, format: text}\n"};
}

std::string checkEntrySettings(std::string_view bytes)
{
    folder().write("fleet.key", "0123456789abcdef");
    const auto file = folder().write("entry.yaml", bytes);
    const auto settings = loadEntrySettings(file);
    if (!settings.ok()) {
        return std::string(settings.status().message()).starts_with(file) ? "" : "the error does not name the file";
    }
    const auto &limits = settings->limits;
    const bool inRange = limits.headerSize > 0 && limits.bodySize > 0 && limits.idleTime.count() > 0 && limits.connectionsPerAccount > 0;
    return inRange && isAddress(settings->listenAddress) && !settings->vm.empty() ? "" : "accepted settings are out of range";
}

std::vector<std::string> entrySettingsSeeds()
{
    return {"vm: vm-1\ndata_centre: dc-a\nregion: r\nlisten: 127.0.0.1:1\nadmin: 127.0.0.1:2\npeer: 127.0.0.1:3\nfleet_key_file: " + folder().path()
            + "/fleet.key\nlog: 127.0.0.1:4\nvm_list: 127.0.0.1:5\nlimits: {header_size: 16KB, body_size: 4MB, idle_time: 60s}\nlogging: {level: info}\n"};
}

} // namespace

std::vector<target> fileTargets()
{
    return {{"service_files", checkServiceFiles, serviceFileSeeds, 1'000},
            {"relay_settings", checkRelaySettings, relaySettingsSeeds, 2'000},
            {"entry_settings", checkEntrySettings, entrySettingsSeeds, 2'000}};
}

} // namespace plantainpoint::bytes
