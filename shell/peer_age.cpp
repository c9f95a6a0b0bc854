#include "peer_age.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace plantainpoint {

using nlohmann::json;

namespace {

constexpr std::size_t maxSentMarks = 16;
// The clock rates of two VMs differ by at most 1 part in 1,000.
constexpr int clockRateToleranceDivisor = 1000;
// A heartbeat is sent every 500 ms, so two later ones are due before this age.
constexpr auto maxHeartbeatAge = std::chrono::milliseconds{1000};

std::optional<std::int64_t> integerField(const json &value, const char *name)
{
    if (!value.is_object() || !value.contains(name) || !value[name].is_number_integer()) {
        return std::nullopt;
    }
    return value[name].get<std::int64_t>();
}

} // namespace

std::string markText(std::uint64_t number)
{
    return R"({"mark":)" + std::to_string(number) + '}';
}

std::string heldMarkText(const held_mark &mark)
{
    return R"({"held":)" + std::to_string(mark.number) + R"(,"ns":)" + std::to_string(mark.held.count()) + '}';
}

std::optional<std::uint64_t> parseMark(std::string_view text)
{
    const auto number = integerField(json::parse(text.begin(), text.end(), nullptr, false), "mark");
    return number && *number > 0 ? std::optional{static_cast<std::uint64_t>(*number)} : std::nullopt;
}

std::optional<held_mark> parseHeldMark(std::string_view text)
{
    if (!text.starts_with(R"({"held":)")) {
        return std::nullopt;
    }
    const auto value = json::parse(text.begin(), text.end(), nullptr, false);
    const auto number = integerField(value, "held");
    const auto held = integerField(value, "ns");
    if (!number || !held || *number <= 0 || *held < 0) {
        return std::nullopt;
    }
    return held_mark{static_cast<std::uint64_t>(*number), duration{*held}};
}

message_age::message_age(time_point now)
    : m_origin(now)
{
}

std::uint64_t message_age::sendMark(time_point now)
{
    m_sent.push_back({++m_last, now});
    if (m_sent.size() > maxSentMarks) {
        m_sent.pop_front();
    }
    return m_last;
}

void message_age::onHeldMark(const held_mark &mark)
{
    const auto it = std::find_if(m_sent.begin(), m_sent.end(), [&](const sent_mark &each) { return each.number == mark.number; });
    if (it != m_sent.end()) {
        m_origin = std::max(m_origin, it->at + mark.held - mark.held / clockRateToleranceDivisor);
    }
}

duration message_age::bound(time_point now) const
{
    return std::max(now - m_origin, duration{});
}

bool addTransitTime(peer_message &message, duration transitTime)
{
    if (auto *relay = std::get_if<log_relay>(&message.body)) {
        relay->proofAge += transitTime;
        return true;
    }
    auto *heartbeatMessage = std::get_if<heartbeat>(&message.body);
    if (heartbeatMessage == nullptr) {
        return true;
    }
    if (transitTime > maxHeartbeatAge) {
        return false;
    }
    if (heartbeatMessage->proofAge) {
        *heartbeatMessage->proofAge += transitTime;
    }
    for (auto &heard : heartbeatMessage->heard) {
        heard.age += transitTime;
    }
    return true;
}

} // namespace plantainpoint
