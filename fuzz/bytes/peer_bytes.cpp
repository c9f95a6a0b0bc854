// Fuzz target for the parameters of peer messages. The decoder must not throw, and an accepted message must survive encoding and decoding.
#include <array>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include <nlohmann/json.hpp>

#include "plantainpoint/peer.hpp"

using namespace plantainpoint;

namespace {

template<std::size_t... Index>
std::array<std::string_view, sizeof...(Index)> methodsOf(std::index_sequence<Index...>)
{
    return {methodOf(peer_body(std::in_place_index<Index>))...};
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const auto methods = methodsOf(std::make_index_sequence<std::variant_size_v<peer_body>>{});
    if (size == 0) {
        return 0;
    }
    const auto method = methods[data[0] % methods.size()];
    const auto params = nlohmann::json::parse(data + 1, data + size, nullptr, false);
    if (params.is_discarded()) {
        return 0;
    }
    const auto message = peerFromJson(method, params);
    if (!message.ok()) {
        return 0;
    }
    const auto encoded = toJson(*message);
    const auto decodedAgain = peerFromJson(method, encoded);
    if (!decodedAgain.ok() || toJson(*decodedAgain) != encoded) {
        std::abort();
    }
    return 0;
}
