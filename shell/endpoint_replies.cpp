#include "endpoint_replies.hpp"

#include <algorithm>
#include <iterator>

#include <nlohmann/json.hpp>

namespace plantainpoint {

using nlohmann::json;

namespace {

constexpr int statusAccepted = 202;
constexpr int statusConflict = 409;

struct known_refusal {
    int status;
    std::string_view code;
};

// refusals that an engine sends before any work
constexpr known_refusal beforeWork[]{{503, "queue_full"}, {503, "memory_full"}, {409, "cancelled"}, {410, "kv_evicted"}, {504, "transfer_stalled"}};

// an object, or null on anything else
json parseObject(std::string_view body)
{
    auto value = json::parse(body.begin(), body.end(), nullptr, false);
    return value.is_object() ? value : json{};
}

// runs a reader whose fields may be missing or of another type
template<class Reader>
bool readFields(Reader &&reader)
{
    try {
        reader();
        return true;
    } catch (const json::exception &) {
        return false;
    }
}

endpoint_role roleOf(std::string_view name)
{
    for (const auto role : {endpoint_role::Prefill, endpoint_role::Decode, endpoint_role::Plain}) {
        if (nameOf(role) == name) {
            return role;
        }
    }
    return endpoint_role::Plain;
}

// labels of other systems are left out: no attempt of ours matches them
std::vector<attempt_label> labelsOf(const json &list)
{
    std::vector<attempt_label> out;
    for (const auto &each : list) {
        if (auto label = parseAttemptLabel(each.get_ref<const std::string &>())) {
            out.push_back(std::move(*label));
        }
    }
    return out;
}

duration milliseconds(const json &value)
{
    return std::chrono::milliseconds{value.get<std::int64_t>()};
}

} // namespace

std::string_view codeOf(transfer_end end)
{
    switch (end) {
    case transfer_end::ConnectFailed:
        return "connect";
    case transfer_end::TimedOut:
        return "timeout";
    case transfer_end::Malformed:
        return "malformed";
    case transfer_end::Complete:
    case transfer_end::Closed:
        break;
    }
    return "closed";
}

engine_refusal engineRefusal(int status, std::string_view body)
{
    std::string code = parseObject(body).value("error", std::string{});
    const bool early =
        std::any_of(std::begin(beforeWork), std::end(beforeWork), [&](const known_refusal &each) { return each.status == status && each.code == code; });
    if (code.empty()) {
        code = "status_" + std::to_string(status);
    }
    return {std::move(code), !early};
}

std::optional<prefill_done> prefillReply(const attempt_label &attempt, std::string_view body)
{
    const auto reply = parseObject(body);
    prefill_done done{.attempt = attempt};
    const bool read = readFields([&] {
        done.kvId = reply.at("kv_id").get<std::string>();
        done.cachedTokens = reply.value("cached_tokens", 0);
    });
    return read ? std::optional{std::move(done)} : std::nullopt;
}

std::optional<cache_events> cacheEventsReply(const endpoint_name &endpoint, std::string_view body)
{
    const auto reply = parseObject(body);
    cache_events out{.endpoint = endpoint};
    const bool read = readFields([&] {
        out.next = reply.at("next").get<std::uint64_t>();
        for (const auto &each : reply.at("events")) {
            out.events.push_back({each.at("sequence").get<std::uint64_t>(),
                                  each.at("prefix").get<std::uint64_t>(),
                                  each.at("tokens").get<std::int32_t>(),
                                  each.at("kind") == "stored"});
        }
    });
    return read ? std::optional{std::move(out)} : std::nullopt;
}

load_report loadReply(const endpoint_name &endpoint, std::string_view body)
{
    const auto reply = parseObject(body);
    load_report out{.endpoint = endpoint};
    out.reachable = readFields([&] {
        out.role = roleOf(reply.at("role").get_ref<const std::string &>());
        out.models = reply.value("models", std::vector<std::string>{});
        out.running = labelsOf(reply.value("running", json::array()));
        out.held = labelsOf(reply.value("held", json::array()));
        out.queued = reply.value("queued", 0);
        out.queueTime = milliseconds(reply.value("queue_ms", json(0)));
        out.kvBlocksTotal = reply.value("pieces_total", 0);
        out.kvBlocksUsed = reply.value("pieces_used", 0);
        out.slotsTotal = reply.value("slots_total", 0);
        out.slotsUsed = reply.value("slots_used", 0);
        out.age = milliseconds(reply.value("report_age_ms", json(0)));
    });
    return out.reachable ? out : load_report{.endpoint = endpoint};
}

endpoint_state_answer stateReply(const endpoint_name &endpoint, std::string_view body)
{
    const auto reply = parseObject(body);
    endpoint_state_answer out{.endpoint = endpoint};
    out.reachable = readFields([&] {
        out.model.value = reply.at("model").get<std::string>();
        out.adapter = reply.value("adapter", std::string{});
        out.version = reply.value("version", std::string{});
        out.role = roleOf(reply.at("role").get_ref<const std::string &>());
        out.fencing = reply.value("fencing", log_offset{0});
        out.loading = reply.value("loading", false);
    });
    return out.reachable ? out : endpoint_state_answer{.endpoint = endpoint};
}

std::optional<failure> orderRefusal(transfer_end end, int status)
{
    if (end != transfer_end::Complete) {
        return failure::EndpointFailed;
    }
    if (status == statusConflict) {
        return failure::StaleFencing;
    }
    return status == statusAccepted || status == statusOk ? std::nullopt : std::optional{failure::EndpointFailed};
}

} // namespace plantainpoint
