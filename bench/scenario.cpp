#include "scenario.hpp"

#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include <yaml-cpp/yaml.h>

#include "plantainpoint/failure.hpp"

namespace plantainpoint::bench {

namespace {

// Error at a position in the file.
struct settings_error {
    YAML::Mark position;
    std::string text;
};

using reader = std::function<void(const YAML::Node &)>;

template<class Value>
reader valueReader(Value &target)
{
    return [&target](const YAML::Node &node) { target = node.as<Value>(); };
}

// Reads every key with its reader. Unknown keys are errors.
void readMap(const YAML::Node &node, const std::map<std::string, reader> &fields)
{
    if (!node.IsMap()) {
        throw settings_error{node.Mark(), "expected a map"};
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
            throw settings_error{entry.second.Mark(), "wrong value type of \"" + key + "\""};
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
             {"at_s", valueReader(out.atSeconds)},
             {"for_s", valueReader(out.forSeconds)},
             {"worker", valueReader(out.worker)},
             {"index", valueReader(out.index)},
             {"factor", valueReader(out.factor)}});
    return out;
}

void readSizes(const YAML::Node &node, deployment_sizes &out)
{
    readMap(node,
            {{"vms", valueReader(out.vms)},
             {"prefill_workers", valueReader(out.prefillWorkers)},
             {"decode_workers", valueReader(out.decodeWorkers)},
             {"network_ms", valueReader(out.networkMs)},
             {"fairness", valueReader(out.fairness)}});
    if (out.vms < 1 || out.prefillWorkers < 1 || out.decodeWorkers < 1) {
        throw settings_error{node.Mark(), "a deployment needs at least one VM and one worker of each kind"};
    }
}

void readEngine(const YAML::Node &node, engine_model &out)
{
    readMap(node,
            {{"prefill_tokens_per_second", valueReader(out.prefillTokensPerSecond)},
             {"chunk_tokens", valueReader(out.chunkTokens)},
             {"cache_tokens", valueReader(out.cacheTokens)},
             {"max_queue_s", valueReader(out.maxQueueSeconds)},
             {"eviction_ms", valueReader(out.evictionMs)},
             {"link_bytes_per_second", valueReader(out.linkBytesPerSecond)},
             {"kv_bytes_per_token", valueReader(out.kvBytesPerToken)},
             {"slots", valueReader(out.slots)},
             {"pieces", valueReader(out.kvBlocks)},
             {"interval_base_ms", valueReader(out.intervalBaseMs)},
             {"interval_per_request_ms", valueReader(out.intervalPerRequestMs)},
             {"report_interval_ms", valueReader(out.reportIntervalMs)},
             {"report_lag_ms", valueReader(out.reportLagMs)},
             {"event_lag_ms", valueReader(out.eventLagMs)},
             {"event_loss", valueReader(out.eventLoss)}});
}

void readWorkload(const YAML::Node &node, workload_model &out)
{
    readMap(node,
            {{"account_shares", valueReader(out.accountShares)},
             {"batch_share", valueReader(out.batchShare)},
             {"prompt_median", valueReader(out.promptMedian)},
             {"prompt_sigma", valueReader(out.promptSigma)},
             {"prompt_min", valueReader(out.promptMin)},
             {"interactive_prompt_max", valueReader(out.interactivePromptMax)},
             {"batch_prompt_max", valueReader(out.batchPromptMax)},
             {"output_median", valueReader(out.outputMedian)},
             {"output_sigma", valueReader(out.outputSigma)},
             {"output_max", valueReader(out.outputMax)},
             {"prefix_share", valueReader(out.prefixShare)},
             {"prefixes_per_account", valueReader(out.prefixesPerAccount)},
             {"prefix_pieces", valueReader(out.prefixKvBlocks)},
             {"burst_factor", valueReader(out.burstFactor)},
             {"burst_s", valueReader(out.burstSeconds)},
             {"burst_share", valueReader(out.burstShare)},
             {"cancel_share", valueReader(out.cancelShare)},
             {"interactive_patience_s", valueReader(out.interactiveTimeoutSeconds)},
             {"batch_patience_s", valueReader(out.batchTimeoutSeconds)},
             {"account_burst_s", valueReader(out.accountBurstSeconds)}});
    if (out.burstShare * out.burstFactor >= 1) {
        throw settings_error{node.Mark(), "burst_share * burst_factor must be below 1"};
    }
}

void readScenario(const YAML::Node &node, scenario &out)
{
    readMap(node,
            {{"name", valueReader(out.name)},
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
             {"loads", valueReader(out.loads)},
             {"seeds", valueReader(out.seeds)},
             {"routers", valueReader(out.routers)},
             {"warmup_s", valueReader(out.warmupSeconds)},
             {"window_s", valueReader(out.windowSeconds)},
             {"drain_s", valueReader(out.drainSeconds)},
             {"checks", valueReader(out.checks)}});
}

} // namespace

absl::StatusOr<std::vector<scenario>> parseScenarios(const std::string &text, const std::string &origin)
{
    const auto fail = [&](const YAML::Mark &position, const std::string &message) {
        return makeStatus(failure::InvalidSettings, origin + ":" + std::to_string(position.line + 1) + ": " + message);
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
        return fail(error.position, error.text);
    } catch (const YAML::Exception &error) {
        return fail(error.mark, error.msg);
    }
}

absl::StatusOr<std::vector<scenario>> readScenarios(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return makeStatus(failure::InvalidSettings, path + ": cannot open the file");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseScenarios(text.str(), path);
}

} // namespace plantainpoint::bench
