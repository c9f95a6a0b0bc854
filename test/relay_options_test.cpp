// Tests how the relay reads the numbers that a platform renders into its settings.
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

#include "memory_budget.hpp"
#include "relay_options.hpp"

using namespace plantainpoint;
using std::chrono::milliseconds;

namespace {

struct relay_options_file {
    ~relay_options_file() { std::filesystem::remove(file); }

    absl::StatusOr<relay_options> load(const std::string &extra)
    {
        std::ofstream(file) << "vm: vm-1\ndata_centre: a\nlisten: 127.0.0.1:8080\nready: 127.0.0.1:8081\npeer: 127.0.0.1:8082\ndirectory: 127.0.0.1:8083\n"
                            << extra;
        return loadRelayOptions(file.string());
    }
    duration graceOf(const std::string &value)
    {
        const auto options = load("grace_s: " + value + '\n');
        return options.ok() ? options->core.grace : duration{};
    }

    std::filesystem::path file = std::filesystem::temp_directory_path() / ("plantainpoint-relay-options-" + std::to_string(::getpid()) + ".yaml");
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(relay_settings_file, relay_options_file)

// Guards against a grace period in another unit, and against one that is longer or shorter than what the platform gives.
BOOST_AUTO_TEST_CASE(graceIsReadInSeconds)
{
    BOOST_TEST((graceOf("12") == milliseconds{12'000}));
    BOOST_TEST((graceOf("\"12\"") == milliseconds{12'000}));
    BOOST_TEST((graceOf("2.5") == milliseconds{2500}));
    BOOST_TEST((graceOf("0") == milliseconds{1000}));
    BOOST_TEST((load("grace_s: soon\n").status().message().find("grace_s: must be a number") != absl::string_view::npos));
}

// Guards against a VM that does not start because the platform has no value for the placeholder.
BOOST_AUTO_TEST_CASE(graceWithoutAValueHasItsDefault)
{
    const relay_settings defaults;
    for (const auto *value : {"", "\"\"", "\"null\"", "null", "\"{{bounds.grace_s|json}}\""}) {
        BOOST_TEST((graceOf(value) == defaults.grace), value);
    }
    BOOST_TEST((load("")->core.grace == milliseconds{8000}));
}

// Guards against bounds of another unit, and against a VM that does not start because the platform has no value for the placeholders.
BOOST_AUTO_TEST_CASE(memoryAndDescriptorsHaveDefaults)
{
    for (const auto *value : {"", "\"null\"", "null", "\"{{limits.memory_mb|json}}\""}) {
        const auto options = load("memory_mb: " + std::string(value) + "\nmax_descriptors: " + value + '\n');
        BOOST_REQUIRE(options.ok());
        BOOST_TEST(options->process.memory == 110'000'000U);
        BOOST_TEST(options->process.descriptors == 3075U);
    }
    const auto options = load("memory_mb: 88\nmax_descriptors: \"10250\"\n");
    BOOST_REQUIRE(options.ok());
    BOOST_TEST(options->process.heldBytes() == 44'000'000U);
    BOOST_TEST(load("memory_mb: 1000\nmax_descriptors: \"10250\"\n")->process.callerConnections() == 5025U);
    BOOST_TEST(load("max_descriptors: 0\n")->process.callerConnections() == 28U);
}

// Guards against connections whose unread bytes take the memory that the program and the bytes held for others need.
BOOST_AUTO_TEST_CASE(connectionsAreBoundByTheirUnreadBytes)
{
    for (const auto *memory : {"32", "88", "110", "512"}) {
        const auto options = load("memory_mb: " + std::string(memory) + "\nmax_descriptors: 1000000\n");
        BOOST_REQUIRE(options.ok());
        const auto &process = options->process;
        const auto unread = process.callerConnections() * process_limits::receiveBuffer;
        BOOST_TEST(unread + process.heldBytes() <= process.memory / 10 * 8, memory);
        BOOST_TEST(unread >= process.memory / 10 * 3 - process_limits::receiveBuffer, memory);
    }
}

// Guards against a budget in which the largest body of a request within the limits has no place.
BOOST_AUTO_TEST_CASE(theLargestBodyFitsIntoTheSmallestMemory)
{
    const auto options = load("memory_mb: 1\n");
    BOOST_REQUIRE(options.ok());
    BOOST_TEST(memory_budget(options->process.heldBytes()).largeBodyLimit() > 4U * 1024 * 1024);
}

// Guards against a bound in another unit, and against a VM that does not start because the platform has no value for the placeholder.
BOOST_AUTO_TEST_CASE(theBoundOfEvacuationsIsReadInMilliseconds)
{
    const auto boundOf = [&](const std::string &value) {
        const auto options = load("evacuation:\n  bound_ms: " + value + '\n');
        return options.ok() ? options->core.evacuationBound : duration{};
    };
    BOOST_TEST((boundOf("7000") == milliseconds{7000}));
    BOOST_TEST((boundOf("\"7000\"") == milliseconds{7000}));
    for (const auto *value : {"", "\"\"", "\"null\"", "null", "\"{{bounds.evac_ms|json}}\""}) {
        BOOST_TEST((boundOf(value) == milliseconds{5000}), value);
    }
    BOOST_TEST((load("")->core.evacuationBound == milliseconds{5000}));
    BOOST_TEST(!load("")->core.evacuationsExpected);
    BOOST_TEST(load("evacuation:\n  bound_ms: 5000\n")->core.evacuationsExpected);
}

// Guards against a VM that knows no regions, or does not start, because of the way in which the platform renders them.
BOOST_AUTO_TEST_CASE(regionsAreReadAsAPlatformRendersThem)
{
    using table = std::map<data_centre_name, region_name>;
    const auto regionsOf = [&](const std::string &settings) {
        const auto options = load(settings);
        BOOST_TEST(options.ok(), settings);
        return options.ok() ? options->core.regions : table{{{"failed"}, {"failed"}}};
    };
    const table both{{{"a"}, {"north"}}, {{"b"}, {"south"}}};
    BOOST_TEST((regionsOf("region: \"north\"\nregions: [{\"name\":\"a\",\"region\":\"north\"},{\"name\":\"b\",\"region\":\"south\",\"x\":[1]}]\n") == both));
    BOOST_TEST((regionsOf("regions: {\"a\":\"north\",\"b\":\"south\"}\n") == both));
    BOOST_TEST((regionsOf("regions: {\"a\":{\"region\":\"north\"},\"b\":{\"region\":\"south\"}}\n") == both));
    BOOST_TEST((regionsOf("region: north\n") == table{{{"a"}, {"north"}}}));
    for (const auto *settings : {"",
                                 "region: \"\"\nregions: []\n",
                                 "region:\nregions:\n",
                                 "region: null\nregions: null\n",
                                 "region: \"null\"\nregions: \"\"\n",
                                 "region: \"{{region}}\"\nregions: \"{{zones|json}}\"\n",
                                 "region: \"{{region}}\"\nregions: {{zones|json}}\n",
                                 "regions: 7\n",
                                 "regions: [1, {\"name\":[]}, {\"name\":\"b\"}, {\"name\":\"b\",\"region\":\"\"}, {\"name\":\"b\",\"region\":null}]\n"}) {
        BOOST_TEST(regionsOf(settings).empty(), settings);
    }
}

BOOST_AUTO_TEST_SUITE_END()
