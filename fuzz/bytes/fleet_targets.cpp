// Targets for what the VMs of a fleet send to each other: datagrams, and the state that one VM takes over from another one.
#include <nlohmann/json.hpp>

#include "deflate.hpp"
#include "fleet_codec.hpp"
#include "relay_fixture.hpp"
#include "shell_support.hpp"
#include "store_codec.hpp"
#include "store_reader.hpp"
#include "targets.hpp"

namespace plantainpoint::bytes {

namespace {

std::string encode(const fleet_message &message)
{
    if (const auto *const heartbeatMessage = std::get_if<fleet_heartbeat>(&message)) {
        return encodeHeartbeat(*heartbeatMessage);
    }
    if (const auto *const summary = std::get_if<fleet_summary>(&message)) {
        return encodeSummary(encodeSummaryBody(*summary), summary->receiverIncarnation, summary->acknowledged);
    }
    if (const auto *const ask = std::get_if<placement_ask>(&message)) {
        return encodeAsk(*ask);
    }
    return encodeGrant(std::get<placement_grant>(message));
}

// An accepted message must survive encoding and decoding, and must not break a core that serves requests.
std::string checkFleetMessage(std::string_view bytes)
{
    const auto message = decodeFleetMessage(bytes);
    if (!message.ok()) {
        return message.status().message().empty() ? "a message was refused without a reason" : "";
    }
    const auto encoded = encode(*message);
    const auto decodedAgain = decodeFleetMessage(encoded);
    if (!decodedAgain.ok() || encode(*decodedAgain) != encoded) {
        return "an encoded message decodes to another one";
    }
    test::relay_fixture relay;
    relay.configureDesks();
    std::visit([&](const auto &each) { relay.core.handle(each); }, *message);
    relay.sendRequest("/lookup/1");
    relay.advance(std::chrono::milliseconds{100});
    relay.sendModelRequest("/draft/1");
    relay.advance(std::chrono::seconds{3});
    (void)relay.core.status().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return {};
}

std::vector<std::string> fleetMessageSeeds()
{
    const fleet_heartbeat heartbeatMessage{.from = {{"vm-2"}, 3},
                                           .sequence = 4,
                                           .address = "127.0.0.1:7001",
                                           .dataCentre = {"dc-a"},
                                           .knowledge = {.configVersion = 1, .position = 2, .proofAge = std::chrono::milliseconds{20}},
                                           .loads = {{{"desk-1"}, 1, 2, 3}},
                                           .waiting = {{{"desk"}, 2}},
                                           .changingRole = {{"desk-2"}},
                                           .usage = {{{"acme"}, 4.5, 6}},
                                           .outcomes = {{{"desk-1"}, 1, 2}}};
    const fleet_summary summary{.from = {{"vm-2"}, 3},
                                .sequence = 4,
                                .address = "127.0.0.1:7001",
                                .dataCentre = {"dc-a"},
                                .scope = summary_scope::Fleet,
                                .knowledge = {.configVersion = 1, .position = 2, .lastChange = 2},
                                .changes = std::make_shared<const std::string>("x"),
                                .heardVms = 2,
                                .memberVms = 2,
                                .candidates = {heartbeatMessage.member()},
                                .loads = {{{"desk-1"}, 1, 2, 3}},
                                .usage = {{{"acme"}, 4.5, 6}}};
    const placement_ask ask{.from = {{"vm-2"}, 3},
                            .address = "127.0.0.1:7001",
                            .number = 7,
                            .service = {"desk"},
                            .tokens = token_count{100, 20, 15},
                            .objective = std::chrono::milliseconds{400},
                            .timeLeft = std::chrono::seconds{1},
                            .excluded = {{"desk-1"}},
                            .account = {"acme"},
                            .units = 3};
    const placement_grant grant{.from = {{"vm-2"}, 3}, .receiverIncarnation = 1, .number = 1, .serving = {"desk-1"}};
    return {encode(heartbeatMessage), encode(summary), encode(ask), encode(grant)};
}

const std::string workerEntry = R"({"service":"desk","addr":"10.0.0.9:8080","zone":"z-a","slots":12,"state":"ready","seq":4,"born":1767225600000})";

std::string stateBytes(const nlohmann::json &state)
{
    std::string bytes;
    nlohmann::json::to_cbor(state, bytes);
    return bytes;
}

struct state_reader {
    state_reader()
        : http(io)
        , reader(
              io, http, options, [](const relay_input &) {}, test::quietLogger())
    {
    }

    std::string exported(const std::string &further = {}) const { return reader.exportState("config_version=0&config_from=0&workers_from=0" + further); }

    boost::asio::io_context io;
    http_client http;
    relay_options options;
    platform::store_reader reader;
};

// What a VM has taken over must be the same at the VM that takes it over from there.
std::string checkFleetState(std::string_view bytes)
{
    state_reader first;
    first.reader.importState(stateBytes({{"config", R"({"version":3,"routes":[],"services":[]})"}, {"config_next", 2}}));
    first.reader.importState(stateBytes({{"workers", {{"w-1", workerEntry}}}, {"workers_next", 3}}));
    first.reader.importState(std::string(bytes));
    if (first.reader.missingState().starts_with("config_version=0&")) {
        return {}; // Version 0 stands for no configuration.
    }
    const auto exported = first.exported();
    for (const auto &state : {exported, first.exported("&deflate=1")}) {
        state_reader second;
        second.reader.importState(state);
        if (second.exported() != exported) {
            return "exported state is imported as another one";
        }
    }
    return {};
}

std::vector<std::string> fleetStateSeeds()
{
    const std::string config = R"({"version":9,"routes":[],"services":[]})";
    const auto deflated = deflate(config);
    const auto changes = platform::encodeChanges({{3, {"w-2", workerEntry}}, {4, {"w-1", std::nullopt}}});
    return {stateBytes({{"workers", {{"w-1", workerEntry}, {"w-2", workerEntry}}}, {"workers_next", 7}, {"workers_end", 9}}),
            stateBytes({{"config", config}, {"config_next", 4}}),
            stateBytes({{"config_deflated", nlohmann::json::binary({deflated.begin(), deflated.end()})}, {"config_size", config.size()}}),
            stateBytes({{"changes", changes}, {"workers_next", 5}})};
}

} // namespace

std::vector<target> fleetTargets()
{
    return {{"fleet_message", checkFleetMessage, fleetMessageSeeds, 5'000}, {"fleet_state", checkFleetState, fleetStateSeeds, 2'000}};
}

} // namespace plantainpoint::bytes
