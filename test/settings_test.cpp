// Tests that invalid settings are refused with file, line and key.
#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>

#include "settings.hpp"

using namespace plantainpoint;

namespace {

struct settings_file {
    settings_file()
    {
        directory = std::filesystem::temp_directory_path() / ("plantainpoint-settings-" + std::to_string(::getpid()));
        std::filesystem::create_directory(directory);
        std::ofstream(directory / "key") << "0123456789abcdef0123456789abcdef\n";
    }
    ~settings_file() { std::filesystem::remove_all(directory); }

    absl::StatusOr<entry_settings> load(const std::string &extra, const std::string &vm = "vm-1")
    {
        const auto file = (directory / "entry.yaml").string();
        std::ofstream(file) << "vm: " << vm << "\ndata_centre: a\nregion: r\nlisten: 127.0.0.1:8080\nadmin: 127.0.0.1:8081\npeer: 127.0.0.1:8082\n"
                            << "log: 127.0.0.1:8083\nvm_list: 127.0.0.1:8084\nfleet_key_file: " << (directory / "key").string() << '\n'
                            << extra;
        return loadEntrySettings(file);
    }
    std::string error(const std::string &extra) { return std::string{load(extra).status().message()}; }

    std::filesystem::path directory;
};

bool contains(const std::string &text, const std::string &substring)
{
    return text.find(substring) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(settings, settings_file)

// Guards against values whose unit is ignored, and against a fleet key that includes the line end of its file.
BOOST_AUTO_TEST_CASE(unitsAreApplied)
{
    const auto loaded = load("limits:\n  body_size: 64KB\n  idle_time: 10s\nlogging:\n  format: json\n  level: debug\n");
    BOOST_REQUIRE(loaded.ok());
    BOOST_TEST(loaded->limits.bodySize == 64U * 1024U);
    BOOST_TEST(loaded->limits.idleTime.count() == 10'000);
    BOOST_TEST((loaded->logFormat == log_format::Json));
    BOOST_TEST((loaded->logLevel == severity::Debug));
    BOOST_TEST(loaded->fleetKey.size() == 32U);
    BOOST_TEST(loaded->limits.outputBuffer == 256U * 1024U);
}

// Guards against a misspelt key that silently leaves the default in force.
BOOST_AUTO_TEST_CASE(unknownKeyIsReportedWithItsLine)
{
    const auto text = error("limits:\n  bodysize: 64KB\n");
    BOOST_TEST(contains(text, "entry.yaml:11: limits.bodysize: is not a known key"), text);
}

// Guards against values of the wrong type or unit or out of range that are accepted.
BOOST_AUTO_TEST_CASE(invalidValuesAreReportedWithTheirKey)
{
    BOOST_TEST(contains(error("limits:\n  body_size: 64\n"), ":11: limits.body_size: must be a number with the unit"));
    BOOST_TEST(contains(error("limits:\n  body_size: 64kb\n"), "limits.body_size: must be a number with the unit"));
    BOOST_TEST(contains(error("limits:\n  body_size: 1B\n"), "limits.body_size: must be from"));
    BOOST_TEST(contains(error("limits:\n  idle_time: 99999999999999999m\n"), "limits.idle_time: must be a number"));
    BOOST_TEST(contains(error("limits:\n  open_requests: many\n"), "limits.open_requests: must be a whole number"));
    BOOST_TEST(contains(error("limits: 3\n"), ":10: limits: must be a mapping"));
    BOOST_TEST(contains(error("logging:\n  level: loud\n"), "logging.level: must be one of"));
    BOOST_TEST(contains(error("seed_peers:\n  - vm: vm-2\n    address: nowhere\n    data_centre: a\n"), "seed_peers[0].address: must be IP:PORT"));
    BOOST_TEST(contains(error("tls:\n  certificate: a.pem\n"), "tls.key: is required"));
}

// Guards against VM names that make labels ambiguous, files that are missing or not valid YAML, and fleet keys that are too short.
BOOST_AUTO_TEST_CASE(unusableFilesAreRefused)
{
    BOOST_TEST(!load("", "vm/1").ok());
    BOOST_TEST(contains(error("limits: [\n"), "entry.yaml:"));
    BOOST_TEST((failureOf(loadEntrySettings((directory / "absent").string()).status()) == failure::InvalidSettings));
    std::ofstream(directory / "key") << "short\n";
    BOOST_TEST(contains(error(""), "fleet_key_file"));
}

BOOST_AUTO_TEST_SUITE_END()
