#include "endpoint_replies.hpp"

#include <algorithm>
#include <iterator>

#include <nlohmann/json.hpp>

namespace plantainpoint {

using nlohmann::json;

namespace {

constexpr int statusAccepted = 202;
constexpr int statusConflict = 409;

struct refusal_code {
    int status;
    std::string_view code;
};

// Refusals that an engine sends before any work.
constexpr refusal_code refusalsBeforeWork[]{{503, "queue_full"}, {503, "memory_full"}, {409, "cancelled"}, {410, "kv_evicted"}, {504, "transfer_stalled"}};

// Returns a JSON object, which is empty for anything else. No part of it is copied, as copies of deeply nested values use up the stack.
json parseObject(std::string_view body)
{
    auto value = json::parse(body.begin(), body.end(), nullptr, false);
    return value.is_object() ? std::move(value) : json::object();
}

// Runs a reader of JSON fields. Returns false if a field is missing or has another type.
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

// Labels that cannot be parsed belong to other systems and are left out, as no attempt of this router matches them.
std::vector<attempt_label> labelsOf(const json &reply, const char *field)
{
    std::vector<attempt_label> labels;
    const auto texts = reply.find(field);
    if (texts == reply.end()) {
        return labels;
    }
    for (const auto &text : *texts) {
        if (auto label = parseAttemptLabel(text.get_ref<const std::string &>())) {
            labels.push_back(std::move(*label));
        }
    }
    return labels;
}

duration milliseconds(const json &reply, const char *field)
{
    constexpr double maxTime = 86'400'000; // A day. Larger numbers need not fit into a duration.
    return std::chrono::milliseconds{static_cast<std::int64_t>(std::clamp(reply.value(field, 0.0), 0.0, maxTime))};
}

} // namespace

std::string_view codeOf(transfer_end end)
{
    switch (end) {
    case transfer_end::ConnectFailed:
    case transfer_end::ProxyFailed:
    case transfer_end::Withheld:
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

engine_refusal parseEngineRefusal(int status, std::string_view body)
{
    const auto reply = parseObject(body);
    std::string code;
    if (const auto error = reply.find("error"); error != reply.end() && error->is_string()) {
        code = error->get<std::string>();
    }
    const bool refusedBeforeWork = std::any_of(std::begin(refusalsBeforeWork), std::end(refusalsBeforeWork), [&](const refusal_code &refusal) {
        return refusal.status == status && refusal.code == code;
    });
    if (code.empty()) {
        code = "status_" + std::to_string(status);
    }
    return {std::move(code), !refusedBeforeWork};
}

std::optional<prefill_done> parsePrefillReply(const attempt_label &attempt, std::string_view body)
{
    const auto reply = parseObject(body);
    prefill_done done{.attempt = attempt};
    const bool allFieldsRead = readFields([&] {
        done.kvId = reply.at("kv_id").get<std::string>();
        done.cachedTokens = reply.value("cached_tokens", 0);
    });
    return allFieldsRead ? std::optional{std::move(done)} : std::nullopt;
}

std::optional<cache_events> parseCacheEvents(const endpoint_name &endpoint, std::string_view body)
{
    const auto reply = parseObject(body);
    cache_events result{.endpoint = endpoint};
    const bool allFieldsRead = readFields([&] {
        result.next = reply.at("next").get<std::uint64_t>();
        for (const auto &event : reply.at("events")) {
            result.events.push_back({event.at("sequence").get<std::uint64_t>(),
                                     event.at("prefix").get<std::uint64_t>(),
                                     event.at("tokens").get<std::int32_t>(),
                                     event.at("kind") == "stored"});
        }
    });
    return allFieldsRead ? std::optional{std::move(result)} : std::nullopt;
}

load_report parseLoadReport(const endpoint_name &endpoint, std::string_view body)
{
    const auto reply = parseObject(body);
    load_report report{.endpoint = endpoint};
    report.reachable = readFields([&] {
        report.role = roleOf(reply.at("role").get_ref<const std::string &>());
        report.models = reply.value("models", std::vector<std::string>{});
        report.running = labelsOf(reply, "running");
        report.held = labelsOf(reply, "held");
        report.queued = reply.value("queued", 0);
        report.queueTime = milliseconds(reply, "queue_ms");
        report.kvBlocksTotal = reply.value("pieces_total", 0);
        report.kvBlocksUsed = reply.value("pieces_used", 0);
        report.slotsTotal = reply.value("slots_total", 0);
        report.slotsUsed = reply.value("slots_used", 0);
        report.age = milliseconds(reply, "report_age_ms");
    });
    return report.reachable ? report : load_report{.endpoint = endpoint};
}

endpoint_state_answer parseEndpointState(const endpoint_name &endpoint, std::string_view body)
{
    const auto reply = parseObject(body);
    endpoint_state_answer answer{.endpoint = endpoint};
    answer.reachable = readFields([&] {
        answer.model.value = reply.at("model").get<std::string>();
        answer.adapter = reply.value("adapter", std::string{});
        answer.version = reply.value("version", std::string{});
        answer.role = roleOf(reply.at("role").get_ref<const std::string &>());
        answer.fencing = reply.value("fencing", log_offset{0});
        answer.loading = reply.value("loading", false);
    });
    return answer.reachable ? answer : endpoint_state_answer{.endpoint = endpoint};
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
