#include "vm_list_client.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "address.hpp"
#include "endpoint_replies.hpp"

namespace plantainpoint {

namespace http = boost::beast::http;
using nlohmann::json;

namespace {

constexpr auto listTimeout = std::chrono::milliseconds{2000};

vm_entry entryOf(const json &item)
{
    vm_entry entry;
    entry.vm.value = item.at("vm").get<std::string>();
    entry.peerAddress = item.at("peer_address").get<std::string>();
    entry.dataCentre.value = item.at("data_centre").get<std::string>();
    entry.condition = item.at("state") == "leaving" ? vm_condition::Leaving : vm_condition::Live;
    return entry;
}

} // namespace

vm_list_client::vm_list_client(http_client &http, std::string address, std::vector<vm_entry> seeds, input_sink sink)
    : m_http(http)
    , m_address(std::move(address))
    , m_seeds(std::move(seeds))
    , m_sink(std::move(sink))
{
}

void vm_list_client::run(const read_vm_list & /*command*/)
{
    http_call call{.request = makeRequest(http::verb::get, "/v1/vms"), .timeout = listTimeout};
    m_http.start(m_address, std::move(call), collectResponse([this](transfer_end end, bool, int status, const http_fields &, const std::string &body) {
                     onReply(end, status, body);
                 }));
}

void vm_list_client::onReply(transfer_end end, int status, const std::string &body)
{
    auto list = end == transfer_end::Complete && status == statusOk ? parseVmList(body) : std::nullopt;
    if (list) {
        m_listReceived = true;
        m_sink(std::move(*list));
    } else if (!m_listReceived && !m_seeds.empty()) {
        m_sink(vm_list{m_seeds});
    }
}

std::optional<vm_list> parseVmList(std::string_view body)
{
    try {
        vm_list result;
        const auto reply = json::parse(body.begin(), body.end());
        for (const auto &item : reply.at("vms")) {
            auto entry = entryOf(item);
            // Skips a VM whose address cannot be parsed, as it cannot be a peer.
            if (parseAddress(entry.peerAddress)) {
                result.vms.push_back(std::move(entry));
            }
        }
        return result;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace plantainpoint
