#include "heartbeat_codec.hpp"

#include <cmath>

#include <nlohmann/json.hpp>

#include "address.hpp"
#include "plantainpoint/failure.hpp"

namespace plantainpoint {

using json = nlohmann::json;

namespace {

constexpr int format = 2; // Version of the message format. Heartbeats in another format are rejected.

json loadsOf(const fleet_heartbeat &heartbeatMessage)
{
    json out = json::array();
    for (const auto &load : heartbeatMessage.loads) {
        out.push_back({load.endpoint.value, load.running, load.prefillTokens, load.kvTokens});
    }
    return out;
}

json changingRoleOf(const fleet_heartbeat &heartbeatMessage)
{
    json out = json::array();
    for (const auto &name : heartbeatMessage.changingRole) {
        out.push_back(name.value);
    }
    return out;
}

json usageOf(const fleet_heartbeat &heartbeatMessage)
{
    json out = json::array();
    for (const auto &used : heartbeatMessage.usage) {
        out.push_back({used.account.value, used.admitted});
    }
    return out;
}

fleet_heartbeat heartbeatOf(const json &in)
{
    fleet_heartbeat heartbeatMessage;
    heartbeatMessage.from = {vm_name{in.at(1).get<std::string>()}, in.at(2).get<std::uint64_t>()};
    heartbeatMessage.sequence = in.at(3).get<std::uint64_t>();
    heartbeatMessage.address = in.at(4).get<std::string>();
    heartbeatMessage.configVersion = in.at(5).get<std::uint64_t>();
    heartbeatMessage.directoryPosition = in.at(6).get<std::uint64_t>();
    heartbeatMessage.leaving = in.at(7).get<bool>();
    for (const auto &load : in.at(8)) {
        heartbeatMessage.loads.push_back(
            {endpoint_name{load.at(0).get<std::string>()}, load.at(1).get<std::int32_t>(), load.at(2).get<std::int64_t>(), load.at(3).get<std::int64_t>()});
    }
    for (const auto &name : in.at(9)) {
        heartbeatMessage.changingRole.push_back({name.get<std::string>()});
    }
    for (const auto &used : in.at(10)) {
        heartbeatMessage.usage.push_back({account_name{used.at(0).get<std::string>()}, used.at(1).get<double>()});
    }
    return heartbeatMessage;
}

} // namespace

std::string encodeHeartbeat(const fleet_heartbeat &heartbeatMessage)
{
    const json out{format,
                   heartbeatMessage.from.vm.value,
                   heartbeatMessage.from.number,
                   heartbeatMessage.sequence,
                   heartbeatMessage.address,
                   heartbeatMessage.configVersion,
                   heartbeatMessage.directoryPosition,
                   heartbeatMessage.leaving,
                   loadsOf(heartbeatMessage),
                   changingRoleOf(heartbeatMessage),
                   usageOf(heartbeatMessage)};
    std::string bytes;
    json::to_cbor(out, bytes);
    return bytes;
}

absl::StatusOr<fleet_heartbeat> decodeHeartbeat(std::string_view bytes)
{
    try {
        const auto in = json::from_cbor(bytes);
        if (!in.is_array() || in.empty() || in[0] != format) {
            return makeStatus(failure::MalformedMessage, "heartbeat: expected an array that starts with format number 2");
        }
        auto heartbeatMessage = heartbeatOf(in);
        if (heartbeatMessage.from.vm.empty() || !parseAddress(heartbeatMessage.address)) {
            return makeStatus(failure::MalformedMessage, "heartbeat: expected a VM name that is not empty and an address of the form IP:PORT");
        }
        for (const auto &used : heartbeatMessage.usage) {
            if (!std::isfinite(used.admitted)) {
                return makeStatus(failure::MalformedMessage, "heartbeat: expected a finite number as the usage of an account");
            }
        }
        return heartbeatMessage;
    } catch (const json::exception &error) {
        return makeStatus(failure::MalformedMessage, error.what());
    }
}

} // namespace plantainpoint
