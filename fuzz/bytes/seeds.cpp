// Writes the seed corpora of the fuzz targets, which are valid inputs, to FOLDER/records, FOLDER/peer and FOLDER/service_files.
#include <filesystem>
#include <fstream>
#include <iostream>

#include <nlohmann/json.hpp>

#include "log_state.hpp"
#include "plantainpoint/peer.hpp"
#include "sample_config.hpp"

using namespace plantainpoint;

namespace {

void write(const std::filesystem::path &path, const std::string &bytes)
{
    std::filesystem::create_directories(path.parent_path());
    std::ofstream(path, std::ios::binary) << bytes;
}

template<std::size_t... Index>
std::vector<record_body> emptyRecords(std::index_sequence<Index...>)
{
    return {record_body(std::in_place_index<Index>)...};
}

template<std::size_t... Index>
std::vector<peer_body> emptyMessages(std::index_sequence<Index...>)
{
    return {peer_body(std::in_place_index<Index>)...};
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: seeds FOLDER\n";
        return 2;
    }
    const std::filesystem::path folder(argv[1]);
    auto records = emptyRecords(std::make_index_sequence<std::variant_size_v<record_body>>{});
    records.push_back(sample::publish(sample::service("desk"), 0));
    log_state state;
    for (std::size_t i = 0; i < records.size(); ++i) {
        const auto batch = encodeBatch({{sample::recordId(i + 1), records[i]}});
        write(folder / "records" / std::to_string(i), batch);
        (void)state.applyEntry({i, batch});
    }
    write(folder / "records" / "snapshot", state.snapshot());
    const auto messages = emptyMessages(std::make_index_sequence<std::variant_size_v<peer_body>>{});
    for (std::size_t i = 0; i < messages.size(); ++i) {
        const auto params = toJson({incarnation_id{vm_name{"vm-1"}, 1}, 1, messages[i]});
        write(folder / "peer" / std::to_string(i), std::string(1, static_cast<char>(i)) + params.dump());
    }
    const std::string service = "name: desk\nfairness: 0.5\nroutes:\n  - {method: GET, path: /s, kind: lookup, deadline: 2s}\n";
    const std::string accounts = "accounts:\n  - {name: crew, rate: 20/s, burst: 40}\n";
    const std::string keys = "keys:\n  - {id: k1, account: crew, key: secret}\n";
    write(folder / "service_files" / "1", service + '\0' + accounts + '\0' + keys);
    return 0;
}
