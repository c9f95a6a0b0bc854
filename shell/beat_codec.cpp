#include "beat_codec.hpp"

#include <cmath>

#include <nlohmann/json.hpp>

#include "address.hpp"
#include "plantainpoint/failure.hpp"

namespace plantainpoint {

using json = nlohmann::json;

namespace {

constexpr int format = 2; // of the message; VMs of another one are not understood

json loadsOf(const fleet_beat &beat)
{
    json out = json::array();
    for (const auto &load : beat.loads) {
        out.push_back({load.endpoint.value, load.running, load.prefillTokens, load.kvTokens});
    }
    return out;
}

json switchingOf(const fleet_beat &beat)
{
    json out = json::array();
    for (const auto &name : beat.switching) {
        out.push_back(name.value);
    }
    return out;
}

json usageOf(const fleet_beat &beat)
{
    json out = json::array();
    for (const auto &used : beat.usage) {
        out.push_back({used.account.value, used.admitted});
    }
    return out;
}

fleet_beat beatOf(const json &in)
{
    fleet_beat beat;
    beat.from = {vm_name{in.at(1).get<std::string>()}, in.at(2).get<std::uint64_t>()};
    beat.sequence = in.at(3).get<std::uint64_t>();
    beat.address = in.at(4).get<std::string>();
    beat.configVersion = in.at(5).get<std::uint64_t>();
    beat.directoryPosition = in.at(6).get<std::uint64_t>();
    beat.leaving = in.at(7).get<bool>();
    for (const auto &load : in.at(8)) {
        beat.loads.push_back(
            {endpoint_name{load.at(0).get<std::string>()}, load.at(1).get<std::int32_t>(), load.at(2).get<std::int64_t>(), load.at(3).get<std::int64_t>()});
    }
    for (const auto &name : in.at(9)) {
        beat.switching.push_back({name.get<std::string>()});
    }
    for (const auto &used : in.at(10)) {
        beat.usage.push_back({account_name{used.at(0).get<std::string>()}, used.at(1).get<double>()});
    }
    return beat;
}

} // namespace

std::string encodeBeat(const fleet_beat &beat)
{
    const json out{format,
                   beat.from.vm.value,
                   beat.from.number,
                   beat.sequence,
                   beat.address,
                   beat.configVersion,
                   beat.directoryPosition,
                   beat.leaving,
                   loadsOf(beat),
                   switchingOf(beat),
                   usageOf(beat)};
    std::string bytes;
    json::to_cbor(out, bytes);
    return bytes;
}

absl::StatusOr<fleet_beat> decodeBeat(std::string_view bytes)
{
    try {
        const auto in = json::from_cbor(bytes);
        if (!in.is_array() || in.empty() || in[0] != format) {
            return makeStatus(failure::MalformedMessage, "the beat is of another format");
        }
        auto beat = beatOf(in);
        if (beat.from.vm.empty() || !parseAddress(beat.address)) {
            return makeStatus(failure::MalformedMessage, "the beat names no VM or no address");
        }
        for (const auto &used : beat.usage) {
            if (!std::isfinite(used.admitted)) {
                return makeStatus(failure::MalformedMessage, "the beat holds a usage that is no number");
            }
        }
        return beat;
    } catch (const json::exception &error) {
        return makeStatus(failure::MalformedMessage, error.what());
    }
}

} // namespace plantainpoint
