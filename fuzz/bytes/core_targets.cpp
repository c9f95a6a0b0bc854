// Target for batches and snapshots of the log.
#include "log_state.hpp"
#include "sample_config.hpp"
#include "targets.hpp"

namespace plantainpoint::bytes {

namespace {

// An accepted batch must survive encoding and decoding, and the snapshot of a state must restore it.
std::string checkRecords(std::string_view bytes)
{
    const auto records = decodeBatch(bytes);
    if (records.ok()) {
        const auto decodedAgain = decodeBatch(encodeBatch(*records));
        if (!decodedAgain.ok() || *decodedAgain != *records) {
            return "an encoded batch decodes to another one";
        }
    } else if (records.status().message().empty()) {
        return "a batch was refused without a reason";
    }
    log_state state;
    (void)state.applyEntry({0, std::string(bytes)});
    const auto snapshot = state.snapshot();
    log_state restored;
    if (!restored.install(snapshot).ok() || restored.snapshot() != snapshot) {
        return "a snapshot does not restore the state";
    }
    log_state fromBytes;
    (void)fromBytes.install(bytes);
    return {};
}

template<std::size_t... Index>
std::vector<record_body> emptyRecords(std::index_sequence<Index...>)
{
    return {record_body(std::in_place_index<Index>)...};
}

std::vector<std::string> recordSeeds()
{
    std::vector<std::string> seeds;
    auto records = emptyRecords(std::make_index_sequence<std::variant_size_v<record_body>>{});
    records.push_back(sample::publish(sample::service("desk"), 0));
    log_state state;
    for (std::size_t i = 0; i < records.size(); ++i) {
        seeds.push_back(encodeBatch({{sample::recordId(i + 1), records[i]}}));
        (void)state.applyEntry({i, seeds.back()});
    }
    seeds.push_back(state.snapshot());
    return seeds;
}

} // namespace

std::vector<target> coreTargets()
{
    return {{"records", checkRecords, recordSeeds, 20'000}};
}

} // namespace plantainpoint::bytes
