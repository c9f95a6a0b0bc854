#include "service_files.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "log_state.hpp"
#include "service_yaml.hpp"

namespace plantainpoint {

namespace {

const std::vector<unit_factor> requestRateUnits{{"/s", microTokensPerRequest}};
const std::vector<unit_factor> requestUnits{{"", microTokensPerRequest}};
const std::vector<unit_factor> tokenRateUnits{{"/s", 1}};
const std::vector<unit_factor> byteUnits{{"B", 1}, {"kB", 1000}, {"MB", 1'000'000}, {"GB", 1'000'000'000}};
const std::vector<unit_factor> byteRateUnits{{"B/s", 1}, {"kB/s", 1000}, {"MB/s", 1'000'000}, {"GB/s", 1'000'000'000}};

route readRoute(service_yaml &in)
{
    route entry;
    entry.method = in.text("method");
    entry.path = in.text("path");
    entry.kind = in.choice<route_kind>("kind", std::nullopt, {route_kind::Model, route_kind::Lookup, route_kind::Booking});
    entry.access = in.choice<route_access>("access", entry.access, {route_access::Keyed, route_access::Open});
    entry.deadline = in.time("deadline", entry.deadline, "deadline_ms");
    return entry;
}

model_entry readModel(service_yaml &in)
{
    model_entry entry;
    entry.name.value = in.text("name");
    entry.version = in.text("version", false);
    entry.adapter = in.text("adapter", false);
    entry.maxPromptTokens = in.integer32("max_prompt_tokens", entry.maxPromptTokens);
    entry.maxOutputTokens = in.integer32("max_output_tokens", entry.maxOutputTokens);
    entry.kind = in.choice<urgency>("urgency", entry.kind, {urgency::Interactive, urgency::Batch});
    return entry;
}

endpoint readEndpoint(service_yaml &in)
{
    endpoint entry;
    entry.name.value = in.text("name");
    entry.address = in.text("address");
    entry.dataCentre.value = in.text("data_centre");
    entry.region.value = in.text("region");
    entry.role = in.choice<endpoint_role>("role", entry.role, {endpoint_role::Prefill, endpoint_role::Decode, endpoint_role::Plain});
    entry.condition = in.choice<endpoint_condition>("condition", entry.condition, {endpoint_condition::Ready, endpoint_condition::Leaving});
    entry.model.value = in.text("model", false);
    entry.checksFencing = in.boolean("checks_fencing", entry.checksFencing);
    entry.slots = in.integer32("slots", entry.slots);
    entry.kvBlocks = in.integer32("pieces", entry.kvBlocks);
    entry.prefillTokensPerSecond = in.quantity("prefill_tokens", entry.prefillTokensPerSecond, tokenRateUnits, "prefill_tokens_per_second");
    entry.linkBytesPerSecond = in.quantity("link", entry.linkBytesPerSecond, byteRateUnits, "link_bytes_per_second");
    entry.kvBytesPerToken = in.quantity("kv_per_token", entry.kvBytesPerToken, byteUnits, "kv_bytes_per_token");
    return entry;
}

client_account readAccount(service_yaml &in)
{
    client_account entry;
    entry.name.value = in.text("name");
    entry.limit.rate = in.quantity("rate", std::nullopt, requestRateUnits, "limit.rate");
    entry.limit.burst = in.quantity("burst", std::nullopt, requestUnits, "limit.burst");
    entry.maxConnections = in.integer32("connections", entry.maxConnections, "max_connections");
    return entry;
}

// Returns the first line of a key file, or an empty string if the file cannot be read.
std::string readKeyFile(const std::filesystem::path &path)
{
    std::ifstream in(path);
    std::string line;
    std::getline(in, line);
    while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
        line.pop_back();
    }
    return line;
}

// Reads the digest of a key. A key is given in plain text, in a file of its own or as its digest.
key_digest readDigest(service_yaml &in, const std::filesystem::path &folder)
{
    const auto plain = in.text("key", false, "digest");
    const auto file = in.text("file", false, "digest");
    const auto hex = in.text("digest", false);
    if (in.has("key") + in.has("file") + in.has("digest") != 1) {
        in.fail("key", "exactly one of 'key', 'file' and 'digest' must be given");
        return {};
    }
    if (in.has("digest")) {
        const auto digest = parseDigest(hex);
        if (!digest.ok()) {
            in.fail("digest", "is not a SHA-256 digest of 64 hexadecimal digits");
        }
        return digest.value_or(key_digest{});
    }
    const auto key = in.has("file") ? readKeyFile(folder / file) : plain;
    if (key.empty()) {
        in.fail(in.has("file") ? "file" : "key", in.has("file") ? "the key file cannot be read or is empty" : "is empty");
    }
    return digestOf(key);
}

account_key readKey(service_yaml &in, const std::filesystem::path &folder)
{
    account_key entry;
    entry.id = in.text("id");
    entry.account.value = in.text("account");
    entry.digest = readDigest(in, folder);
    return entry;
}

void readService(service_yaml &in, service_config &service)
{
    service.name.value = in.text("name");
    service.fairness = in.number("fairness", service.fairness);
    service.firstTokenTarget = in.time("first_token", service.firstTokenTarget, "first_token_target_ms");
    service.tokenIntervalTarget = in.time("token_interval", service.tokenIntervalTarget, "token_interval_target_ms");
    for (auto &name : in.textList("clients")) {
        service.clients.push_back(account_name{std::move(name)});
    }
    in.forEachItem("routes", [&](service_yaml &item) { service.routes.push_back(readRoute(item)); });
    in.forEachItem("models", [&](service_yaml &item) { service.models.push_back(readModel(item)); });
    in.forEachItem("endpoints", [&](service_yaml &item) { service.endpoints.push_back(readEndpoint(item)); });
    in.finish();
}

// Returns the location of the field, or of the innermost enclosing element if the field is absent.
field_location locationOf(const service_diagnostics &diagnostics, std::string field)
{
    while (!diagnostics.locations.contains(field) && !field.empty()) {
        field.resize(std::min(field.find_last_of(".["), field.size() - 1));
    }
    const auto found = diagnostics.locations.find(field);
    return found == diagnostics.locations.end() ? field_location{} : found->second;
}

service_config loadService(const std::filesystem::path &folder, service_diagnostics &diagnostics)
{
    service_config service;
    const auto accounts = folder / "accounts.yaml";
    const auto keys = folder / "keys.yaml";
    if (std::filesystem::exists(accounts)) {
        service_yaml root(loadServiceYaml(accounts.string(), diagnostics), accounts.string(), {}, diagnostics);
        root.forEachItem("accounts", [&](service_yaml &item) { service.accounts.push_back(readAccount(item)); });
        root.finish();
    }
    if (std::filesystem::exists(keys)) {
        service_yaml root(loadServiceYaml(keys.string(), diagnostics), keys.string(), {}, diagnostics);
        root.forEachItem("keys", [&](service_yaml &item) { service.keys.push_back(readKey(item, folder)); });
        root.finish();
    }
    const auto file = (folder / "service.yaml").string();
    service_yaml root(loadServiceYaml(file, diagnostics), file, {}, diagnostics);
    readService(root, service);
    return service;
}

void addConfigProblems(const service_config &service, service_diagnostics &diagnostics)
{
    for (const auto &problem : findProblems(service)) {
        const auto location = locationOf(diagnostics, problem.field);
        // A field that could not be parsed has been reported already.
        const bool reported = std::any_of(diagnostics.problems.begin(), diagnostics.problems.end(), [&](const file_problem &earlier) {
            return earlier.file == location.file && earlier.line == location.line;
        });
        if (!reported) {
            diagnostics.problems.push_back({location.file, location.line, problem.field, problem.text});
        }
    }
}

} // namespace

service_files loadServiceFiles(const std::vector<std::string> &folders)
{
    service_files files;
    configuration combined;
    for (const auto &folder : folders) {
        service_diagnostics diagnostics;
        auto service = loadService(folder, diagnostics);
        addConfigProblems(service, diagnostics);
        const auto location = locationOf(diagnostics, "name");
        if (combined.services().contains(service.name)) {
            diagnostics.problems.push_back({location.file, location.line, "name", "is already the name of another service"});
        } else if (const auto conflict = combined.conflictOf(service); !conflict.empty()) {
            diagnostics.problems.push_back({location.file, location.line, "name", conflict});
        }
        combined.install(service.name, service, 1);
        std::move(diagnostics.problems.begin(), diagnostics.problems.end(), std::back_inserter(files.problems));
        files.services.push_back(std::move(service));
    }
    return files;
}

} // namespace plantainpoint
