#include "log_client.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "endpoint_replies.hpp"
#include "plantainpoint/cbor.hpp"

namespace plantainpoint {

namespace http = boost::beast::http;
using nlohmann::json;

namespace {

constexpr int statusGone = 410;
constexpr int statusUnavailable = 503;
// Added to the wait time of a read, which ends when no byte of the answer arrives for this time. How long a page takes depends on its size and the link.
constexpr auto readTimeout = std::chrono::milliseconds{1500};
constexpr auto appendTimeout = std::chrono::milliseconds{3000};
constexpr std::uint64_t maxReadReply = 256 * 1024UL * 1024UL; // Bytes.

log_entry entryOf(const json &item)
{
    const auto &payload = item.at(1);
    log_entry entry{.offset = item.at(0).get<log_offset>()};
    if (payload.is_binary()) {
        const auto &bytes = payload.get_binary();
        entry.payload.assign(bytes.begin(), bytes.end());
    } else {
        entry.payload = payload.get<std::string>();
    }
    return entry;
}

log_read_failed parseExpiredRead(time_point sentAt, std::string_view body)
{
    const auto reply = json::parse(body.begin(), body.end(), nullptr, false);
    const bool hasFirst = reply.is_object() && reply.contains("first") && reply["first"].is_number_unsigned();
    return {sentAt, true, hasFirst ? reply["first"].get<log_offset>() : 0};
}

} // namespace

log_client::log_client(http_client &http, std::string address, const clock_source &clock, input_sink sink)
    : m_http(http)
    , m_address(std::move(address))
    , m_clock(clock)
    , m_sink(std::move(sink))
{
}

void log_client::run(append_log command)
{
    http_call call{.request = makeRequest(http::verb::post, "/v1/append", std::move(command.payload), "application/octet-stream"), .timeout = appendTimeout};
    m_http.start(
        m_address,
        std::move(call),
        collectResponse([this, append = command.append](transfer_end end, bool requestMaybeSent, int status, const http_fields &, const std::string &body) {
            m_sink(parseAppendReply(append, end, requestMaybeSent, status, body));
        }));
}

void log_client::run(const read_log &command)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(command.wait);
    const auto path =
        "/v1/read?from=" + std::to_string(command.from) + "&max=" + std::to_string(command.maxEntries) + "&wait_ms=" + std::to_string(wait.count());
    http_call call{.request = makeRequest(http::verb::get, path), .timeout = wait + readTimeout, .kind = timeout_kind::Inactivity, .maxBody = maxReadReply};
    const auto sentAt = m_clock.now();
    m_http.start(m_address, std::move(call), collectResponse([this, sentAt](transfer_end end, bool, int status, const http_fields &, const std::string &body) {
                     m_sink(end == transfer_end::Complete ? parseReadReply(sentAt, status, body) : input{log_read_failed{.sentAt = sentAt}});
                 }));
}

input parseReadReply(time_point sentAt, int status, std::string_view body)
{
    if (status == statusGone) {
        return parseExpiredRead(sentAt, body);
    }
    if (status != statusOk) {
        return log_read_failed{.sentAt = sentAt};
    }
    const auto document = parseCbor(body, failure::MalformedMessage);
    if (!document.ok()) {
        return log_read_failed{.sentAt = sentAt};
    }
    const auto &reply = *document;
    try {
        log_read result{.sentAt = sentAt, .first = reply.at("first").get<log_offset>(), .head = reply.at("head").get<log_offset>()};
        for (const auto &item : reply.at("entries")) {
            result.entries.push_back(entryOf(item));
        }
        return result;
    } catch (const json::exception &) {
        return log_read_failed{.sentAt = sentAt};
    }
}

append_answer parseAppendReply(std::uint64_t append, transfer_end end, bool requestMaybeSent, int status, std::string_view body)
{
    append_answer answer{.append = append};
    if (end != transfer_end::Complete) {
        answer.mayBeCommitted = requestMaybeSent;
        return answer;
    }
    if (status == statusUnavailable) {
        answer.mayBeCommitted = false;
        return answer;
    }
    const auto reply = json::parse(body.begin(), body.end(), nullptr, false);
    if (status == statusOk && reply.is_object() && reply.contains("offset") && reply["offset"].is_number_unsigned()) {
        answer.offset = reply["offset"].get<log_offset>();
    }
    return answer;
}

} // namespace plantainpoint
