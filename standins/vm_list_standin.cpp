// Stand-in for the platform's list of VMs. Changes become visible after a lag.
#include <deque>
#include <map>

#include "standin_main.hpp"

namespace {

using namespace plantainpoint::standin;
using clock_type = std::chrono::steady_clock;

struct pending_change {
    clock_type::time_point visibleAt;
    std::string vm;
    std::optional<nlohmann::json> entry; // If it is empty, the VM is removed.
};

class vm_list_service
{
public:
    explicit vm_list_service(milliseconds lag)
        : m_lag(lag)
    {
    }

    void addRoutes(http_service &service)
    {
        service.route("GET", "/v1/vms", [this](exchange &call) { return list(call); });
        service.route("PUT", "/v1/vms/", [this](exchange &call) { return put(call); });
        service.route("DELETE", "/v1/vms/", [this](exchange &call) { return remove(call); });
    }

private:
    static std::string vmName(const exchange &call) { return std::string(call.path().substr(std::string_view("/v1/vms/").size())); }

    void applyVisible()
    {
        while (!m_pending.empty() && m_pending.front().visibleAt <= clock_type::now()) {
            auto &change = m_pending.front();
            if (change.entry) {
                m_vms[change.vm] = std::move(*change.entry);
            } else {
                m_vms.erase(change.vm);
            }
            m_pending.pop_front();
        }
    }

    asio::awaitable<void> list(exchange &call)
    {
        applyVisible();
        nlohmann::json response{{"vms", nlohmann::json::array()}};
        for (const auto &[name, entry] : m_vms) {
            response["vms"].push_back(entry);
        }
        co_await call.reply(200, response);
    }

    asio::awaitable<void> put(exchange &call)
    {
        const auto body = call.jsonBody();
        if (!body.contains("peer_address") || !body.contains("data_centre")) {
            co_await call.replyError(400, "missing_field");
            co_return;
        }
        nlohmann::json entry{
            {"vm", vmName(call)}, {"peer_address", body["peer_address"]}, {"data_centre", body["data_centre"]}, {"state", body.value("state", "live")}};
        m_pending.push_back({clock_type::now() + m_lag, vmName(call), std::move(entry)});
        co_await call.reply(200, nlohmann::json::object());
    }

    asio::awaitable<void> remove(exchange &call)
    {
        m_pending.push_back({clock_type::now() + m_lag, vmName(call), std::nullopt});
        co_await call.reply(200, nlohmann::json::object());
    }

    milliseconds m_lag;
    std::map<std::string, nlohmann::json> m_vms;
    std::deque<pending_change> m_pending;
};

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Stand-in for the platform's list of VMs", ' ', std::string(plantainpoint::version()));
    TCLAP::ValueArg<int> lag("", "lag", "time until a change is visible", false, 2000, "MS", commandLine);
    std::unique_ptr<vm_list_service> vms;
    return runStandin(commandLine, argc, argv, [&](asio::io_context &, http_service &service) {
        vms = std::make_unique<vm_list_service>(milliseconds(lag.getValue()));
        vms->addRoutes(service);
    });
}
