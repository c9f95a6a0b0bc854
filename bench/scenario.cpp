#include "scenario.hpp"

#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include <yaml-cpp/yaml.h>

#include "plantainpoint/failure.hpp"

namespace plantainpoint::bench {

namespace {

// error of one place in the file
struct settings_error {
    YAML::Mark at;
    std::string text;
};

using reader = std::function<void(const YAML::Node &)>;

template<class Value>
reader into(Value &target)
{
    return [&target](const YAML::Node &node) { target = node.as<Value>(); };
}

// reads every key by its reader; unknown keys are errors
void readMap(const YAML::Node &node, const std::map<std::string, reader> &fields)
{
    if (!node.IsMap()) {
        throw settings_error{node.Mark(), "a map is expected"};
    }
    for (const auto &entry : node) {
        const auto key = entry.first.as<std::string>();
        const auto found = fields.find(key);
        if (found == fields.end()) {
            throw settings_error{entry.first.Mark(), "unknown key \"" + key + "\""};
        }
        try {
            found->second(entry.second);
        } catch (const YAML::Exception &) {
            throw settings_error{entry.second.Mark(), "wrong type of \"" + key + "\""};
        }
    }
}

const std::map<std::string, fault_kind> faultNames{
    {"worker_lost", fault_kind::WorkerLost},
    {"worker_slow", fault_kind::WorkerSlow},
    {"transfers_stall", fault_kind::TransfersStall},
    {"early_eviction", fault_kind::EarlyEviction},
    {"engine_refuses", fault_kind::EngineRefuses},
    {"reports_frozen", fault_kind::ReportsFrozen},
    {"vm_lost", fault_kind::VmLost},
    {"log_down", fault_kind::LogDown},
    {"account_flood", fault_kind::AccountFlood},
};

fault readFault(const YAML::Node &node)
{
    fault out;
    const auto kind = [&](const YAML::Node &value) {
        const auto found = faultNames.find(value.as<std::string>());
        if (found == faultNames.end()) {
            throw settings_error{value.Mark(), "unknown fault \"" + value.as<std::string>() + "\""};
        }
        out.kind = found->second;
    };
    readMap(node,
            {{"kind", kind},
             {"at_s", into(out.atSeconds)},
             {"for_s", into(out.forSeconds)},
             {"worker", into(out.worker)},
             {"index", into(out.index)},
             {"factor", into(out.factor)}});
    return out;
}

void readSizes(const YAML::Node &node, deployment_sizes &out)
{
    readMap(node,
            {{"vms", into(out.vms)},
             {"prefill_workers", into(out.prefillWorkers)},
             {"decode_workers", into(out.decodeWorkers)},
             {"network_ms", into(out.networkMs)},
             {"fairness", into(out.fairness)}});
    if (out.vms < 1 || out.prefillWorkers < 1 || out.decodeWorkers < 1) {
        throw settings_error{node.Mark(), "a deployment needs at least one VM and one worker of each kind"};
    }
}

void readEngine(const YAML::Node &node, engine_model &out)
{
    readMap(node,
            {{"prefill_tokens_per_second", into(out.prefillTokensPerSecond)},
             {"chunk_tokens", into(out.chunkTokens)},
             {"cache_tokens", into(out.cacheTokens)},
             {"max_queue_s", into(out.maxQueueSeconds)},
             {"eviction_ms", into(out.evictionMs)},
             {"link_bytes_per_second", into(out.linkBytesPerSecond)},
             {"kv_bytes_per_token", into(out.kvBytesPerToken)},
             {"slots", into(out.slots)},
             {"pieces", into(out.kvBlocks)},
             {"interval_base_ms", into(out.intervalBaseMs)},
             {"interval_per_request_ms", into(out.intervalPerRequestMs)},
             {"report_interval_ms", into(out.reportIntervalMs)},
             {"report_lag_ms", into(out.reportLagMs)},
             {"event_lag_ms", into(out.eventLagMs)},
             {"event_loss", into(out.eventLoss)}});
}

void readWorkload(const YAML::Node &node, workload_model &out)
{
    readMap(node,
            {{"account_shares", into(out.accountShares)},
             {"batch_share", into(out.batchShare)},
             {"prompt_median", into(out.promptMedian)},
             {"prompt_sigma", into(out.promptSigma)},
             {"prompt_min", into(out.promptMin)},
             {"interactive_prompt_max", into(out.interactivePromptMax)},
             {"batch_prompt_max", into(out.batchPromptMax)},
             {"output_median", into(out.outputMedian)},
             {"output_sigma", into(out.outputSigma)},
             {"output_max", into(out.outputMax)},
             {"prefix_share", into(out.prefixShare)},
             {"prefixes_per_account", into(out.prefixesPerAccount)},
             {"prefix_pieces", into(out.prefixKvBlocks)},
             {"burst_factor", into(out.burstFactor)},
             {"burst_s", into(out.burstSeconds)},
             {"burst_share", into(out.burstShare)},
             {"cancel_share", into(out.cancelShare)},
             {"interactive_patience_s", into(out.interactiveTimeoutSeconds)},
             {"batch_patience_s", into(out.batchTimeoutSeconds)},
             {"account_burst_s", into(out.accountBurstSeconds)}});
    if (out.burstShare * out.burstFactor >= 1) {
        throw settings_error{node.Mark(), "burst_share * burst_factor has to be below 1"};
    }
}

void readScenario(const YAML::Node &node, scenario &out)
{
    readMap(node,
            {{"name", into(out.name)},
             {"sizes", [&](const YAML::Node &value) { readSizes(value, out.sizes); }},
             {"engine", [&](const YAML::Node &value) { readEngine(value, out.engine); }},
             {"workload", [&](const YAML::Node &value) { readWorkload(value, out.workload); }},
             {"faults",
              [&](const YAML::Node &value) {
                  out.faults.clear();
                  for (const auto &entry : value) {
                      out.faults.push_back(readFault(entry));
                  }
              }},
             {"loads", into(out.loads)},
             {"seeds", into(out.seeds)},
             {"routers", into(out.routers)},
             {"warmup_s", into(out.warmupSeconds)},
             {"window_s", into(out.windowSeconds)},
             {"drain_s", into(out.drainSeconds)},
             {"checks", into(out.checks)}});
}

} // namespace

absl::StatusOr<std::vector<scenario>> parseScenarios(const std::string &text, const std::string &origin)
{
    const auto fail = [&](const YAML::Mark &at, const std::string &what) {
        return makeStatus(failure::InvalidSettings, origin + ":" + std::to_string(at.line + 1) + ": " + what);
    };
    try {
        const auto root = YAML::Load(text);
        scenario defaults;
        std::vector<scenario> out;
        const auto readAll = [&](const YAML::Node &list) {
            for (const auto &entry : list) {
                out.push_back(defaults);
                readScenario(entry, out.back());
            }
        };
        if (root["defaults"]) {
            readScenario(root["defaults"], defaults);
        }
        readMap(root, {{"defaults", [](const YAML::Node &) {}}, {"scenarios", readAll}});
        return out;
    } catch (const settings_error &error) {
        return fail(error.at, error.text);
    } catch (const YAML::Exception &error) {
        return fail(error.mark, error.msg);
    }
}

absl::StatusOr<std::vector<scenario>> readScenarios(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return makeStatus(failure::InvalidSettings, path + ": cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseScenarios(text.str(), path);
}

} // namespace plantainpoint::bench
