// Targets for the connections between the VMs of the entry program: parameters of messages, and frames.
#include <array>

#include <nlohmann/json.hpp>

#include "peer_age.hpp"
#include "peer_frames.hpp"
#include "peer_handshake.hpp"
#include "plantainpoint/peer.hpp"
#include "rpc_codec.hpp"
#include "targets.hpp"

namespace plantainpoint::bytes {

namespace {

template<std::size_t... Index>
std::vector<std::string> methodsOf(std::index_sequence<Index...>)
{
    return {std::string(methodOf(peer_body(std::in_place_index<Index>)))...};
}

template<std::size_t... Index>
std::vector<peer_body> emptyMessages(std::index_sequence<Index...>)
{
    return {peer_body(std::in_place_index<Index>)...};
}

const std::vector<std::string> &methods()
{
    static const auto all = methodsOf(std::make_index_sequence<std::variant_size_v<peer_body>>{});
    return all;
}

// An accepted message must survive encoding and decoding.
std::string checkParameters(std::string_view method, const nlohmann::json &parameters)
{
    const auto message = peerFromJson(method, parameters);
    if (!message.ok()) {
        return message.status().message().empty() ? "a message was refused without a reason" : "";
    }
    const auto encoded = toJson(*message);
    auto decodedAgain = peerFromJson(method, encoded);
    if (!decodedAgain.ok() || toJson(*decodedAgain) != encoded) {
        return "an encoded message decodes to another one";
    }
    (void)addTransitTime(*decodedAgain, std::chrono::milliseconds{500});
    return {};
}

// The first byte selects the method.
std::string checkPeer(std::string_view bytes)
{
    if (bytes.empty()) {
        return {};
    }
    const auto method = methods()[static_cast<unsigned char>(bytes.front()) % methods().size()];
    return checkParameters(method, nlohmann::json::parse(bytes.begin() + 1, bytes.end(), nullptr, false));
}

std::vector<std::string> peerSeeds()
{
    std::vector<std::string> seeds;
    for (const auto &body : emptyMessages(std::make_index_sequence<std::variant_size_v<peer_body>>{})) {
        const auto parameters = toJson({incarnation_id{vm_name{"vm-1"}, 1}, 1, body});
        seeds.push_back(std::string(1, static_cast<char>(body.index())) + parameters.dump());
    }
    return seeds;
}

std::string checkPayload(std::string_view payload)
{
    if (const auto hello = parseHello(payload)) {
        const auto again = parseHello(helloText(*hello));
        if (!again || again->vm != hello->vm || again->nonce != hello->nonce) {
            return "an encoded hello decodes to another one";
        }
    }
    if (const auto mark = parseMark(payload); mark && parseMark(markText(*mark)) != mark) {
        return "an encoded mark decodes to another one";
    }
    if (const auto mark = parseHeldMark(payload)) {
        const auto again = parseHeldMark(heldMarkText(*mark));
        if (!again || again->number != mark->number || again->held != mark->held) {
            return "an encoded held mark decodes to another one";
        }
        message_age age(time_point{});
        age.sendMark(time_point{});
        age.onHeldMark(*mark);
        if (age.bound(time_point{std::chrono::seconds{1}}) < duration{}) {
            return "a held mark gives a negative age";
        }
    }
    static rpc_codec codec(methods());
    std::string problem;
    codec.dispatch(std::string{payload}, [&problem](const std::string &method, const std::string &parameters) {
        problem += checkParameters(method, nlohmann::json::parse(parameters, nullptr, false));
    });
    return problem;
}

std::string checkFrames(std::string_view bytes)
{
    std::vector<std::string> payloads;
    auto problem = compareSplits(bytes, [&payloads](const pieces &split) {
        frame_reader reader;
        payloads.clear();
        bool accepted = true;
        for (const auto piece : split) {
            accepted = accepted && reader.feed(piece, [&](std::string_view payload) {
                payloads.emplace_back(payload);
                reader.limit(maxFrameSize); // As after the handshake.
                return true;
            });
        }
        std::string result = accepted ? "" : "refused";
        for (const auto &payload : payloads) {
            result += '|' + payload;
        }
        return result;
    });
    for (const auto &payload : payloads) {
        problem += checkPayload(payload);
    }
    return problem;
}

std::vector<std::string> frameSeeds()
{
    rpc_codec codec(methods());
    std::string handshake;
    appendFrame(handshake, helloText({vm_name{"vm-2"}, std::string(64, 'a')}));
    appendFrame(handshake, markText(4));
    appendFrame(handshake, heldMarkText({4, std::chrono::milliseconds{2}}));
    std::vector<std::string> seeds{handshake};
    for (const auto &body : emptyMessages(std::make_index_sequence<std::variant_size_v<peer_body>>{})) {
        const auto parameters = toJson({incarnation_id{vm_name{"vm-1"}, 1}, 1, body});
        std::string frame;
        appendFrame(frame, codec.build(std::string(methodOf(body)), parameters.dump()));
        seeds.push_back(frame);
    }
    return seeds;
}

} // namespace

std::vector<target> peerTargets()
{
    return {{"peer", checkPeer, peerSeeds, 10'000}, {"peer_frames", checkFrames, frameSeeds, 4'000}};
}

} // namespace plantainpoint::bytes
