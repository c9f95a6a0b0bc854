#include "relay_options.hpp"

#include <random>

#include "yaml_reader.hpp"

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

// Returns a random incarnation that tells the runs of a VM apart, as a VM keeps no state and its wall clock may step back.
std::uint64_t randomIncarnation()
{
    std::random_device random;
    constexpr unsigned halfWidth = 31; // The sign bit stays clear in every codec.
    return (static_cast<std::uint64_t>(random()) << halfWidth) | random();
}

// The region of the own data centre counts unless the table states another one.
void readRegions(settings_section &root, relay_settings &out)
{
    if (const auto region = root.renderedText("region"); !region.empty()) {
        out.regions[out.dataCentre] = {region};
    }
    for (auto &[name, region] : root.renderedTable("regions", "region")) {
        out.regions[{name}] = {region};
    }
}

void readRetries(settings_section &&section, relay_settings &out)
{
    out.retryRatio = section.number("ratio", out.retryRatio, 0, 1);
    out.retrySlack = section.number("slack", out.retrySlack, 0, 1'000'000);
    section.finish();
}

void readLimits(settings_section &&section, relay_settings &out)
{
    constexpr double percent = 100;
    const auto tolerance = section.number("tolerance", 0, 0, 1'000'000'000);
    // The rest of the tolerance covers admissions that other VMs have not been notified of yet.
    out.limitTolerance = tolerance * section.number("tolerance_used_percent", 50, 0, percent) / percent;
    section.finish();
}

void readDirectory(settings_section &&section, relay_settings &out)
{
    constexpr double minBound = 500;
    constexpr double maxBound = 600'000;
    const auto defaultBound = std::chrono::duration<double, std::milli>(out.directoryBound).count();
    const std::chrono::duration<double, std::milli> bound(section.number("bound_ms", defaultBound, minBound, maxBound));
    out.directoryBound = std::chrono::duration_cast<duration>(bound);
    out.directoryInterval = section.time("interval", milliseconds{400}, milliseconds{10}, milliseconds{10'000});
    section.finish();
}

void readEvacuation(settings_section &&section, relay_settings &out)
{
    constexpr double minBound = 500;
    constexpr double maxBound = 600'000;
    const std::chrono::duration<double, std::milli> bound(section.number("bound_ms", 0, minBound, maxBound));
    out.evacuationsExpected = bound.count() > 0;
    if (out.evacuationsExpected) {
        out.evacuationBound = std::chrono::duration_cast<duration>(bound);
    }
    section.finish();
}

void readEngines(settings_section &&section, relay_settings &out)
{
    constexpr std::int64_t maxTokensPerMs = 1'000'000;
    out.prefillTokensPerMs = static_cast<double>(section.integer("prefill_tokens_per_ms", 55, 1, maxTokensPerMs));
    out.decodePrefillTokensPerMs = static_cast<double>(section.integer("decode_prefill_tokens_per_ms", 27, 1, maxTokensPerMs));
    constexpr double percent = 100;
    out.memoryFill = static_cast<double>(section.integer("memory_fill_percent", 95, 1, 100)) / percent;
    out.heldOutputFraction = static_cast<double>(section.integer("output_held_percent", 60, 0, 100)) / percent;
    out.prefillShare = static_cast<double>(section.integer("prefill_share_percent", 0, 0, 100)) / percent;
    out.orderLease = section.time("order_lease", milliseconds{3000}, milliseconds{100}, milliseconds{600'000});
    out.directPrefillLimit = section.time("direct_limit", milliseconds{350}, milliseconds{0}, milliseconds{60'000});
    section.finish();
}

void readLogging(settings_section &&section, relay_options &out)
{
    out.logLevel = static_cast<severity>(section.choice("level", static_cast<std::size_t>(severity::Info), {"debug", "info", "warning", "error"}));
    out.logLinesPerSecond = static_cast<std::uint32_t>(section.integer("lines_per_second", out.logLinesPerSecond, 1, 1'000'000));
    out.logFormat = static_cast<log_format>(section.choice("format", static_cast<std::size_t>(log_format::Text), {"text", "json"}));
    section.finish();
}

} // namespace

absl::StatusOr<relay_options> loadRelayOptions(const std::string &file)
{
    settings_errors errors(file);
    settings_section root(loadYaml(file, errors), "", errors);
    if (!errors.status().ok()) {
        return errors.status();
    }
    relay_options out;
    out.core.self = {vm_name{root.text("vm")}, randomIncarnation()};
    out.core.dataCentre.value = root.text("data_centre");
    readRegions(root, out.core);
    out.listenAddress = root.address("listen");
    out.readyAddress = root.address("ready");
    out.peerAddress = root.address("peer");
    out.directoryAddress = root.address("directory");
    out.core.peerAddress = out.peerAddress;
    out.core.drainTime = root.time("drain_time", milliseconds{2500}, milliseconds{0}, milliseconds{60'000});
    constexpr double minGrace = 1;
    constexpr double maxGrace = 3600;
    const std::chrono::duration<double> grace(root.number("grace_s", std::chrono::duration<double>(out.core.grace).count(), minGrace, maxGrace));
    out.core.grace = std::chrono::duration_cast<duration>(grace);
    readProcessLimits(root, out.process);
    constexpr double thousandthsPerCore = 1000;
    constexpr double maxCores = 10'000;
    out.core.capacity = static_cast<std::int64_t>(root.number("processor_cores", 0, 0, maxCores) * thousandthsPerCore);
    readDirectory(root.section("reading"), out.core);
    readEvacuation(root.section("evacuation"), out.core);
    readRetries(root.section("retries"), out.core);
    readLimits(root.section("limits"), out.core);
    readEngines(root.section("engines"), out.core);
    readLogging(root.section("logging"), out);
    root.finish();
    if (!errors.status().ok()) {
        return errors.status();
    }
    return out;
}

} // namespace plantainpoint
