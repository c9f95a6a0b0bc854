#include "log_session.hpp"

#include <boost/asio/io_context.hpp>

#include "http_client.hpp"
#include "log_client.hpp"

namespace plantainpoint {

namespace {

struct call_result {
    transfer_end end = transfer_end::ConnectFailed;
    blocking_reply reply;
};

call_result callOnce(const std::string &address, const std::string &method, const std::string &target, std::string body, std::chrono::milliseconds timeout)
{
    constexpr std::uint64_t maxBody = 256'000'000;
    boost::asio::io_context io(1);
    http_client http(io);
    call_result result;
    http_call call{.request = makeRequest(boost::beast::http::string_to_verb(method), target, std::move(body), "application/octet-stream"),
                   .timeout = timeout,
                   .maxBody = maxBody};
    http.start(
        address, std::move(call), collectResponse([&](transfer_end end, bool requestMaybeSent, int status, const http_fields &, const std::string &text) {
            result.end = end;
            result.reply = {end == transfer_end::Complete ? status : 0, text, requestMaybeSent};
            io.stop();
        }));
    io.run();
    return result;
}

} // namespace

blocking_reply
callBlocking(const std::string &address, const std::string &method, const std::string &target, std::string body, std::chrono::milliseconds timeout)
{
    return callOnce(address, method, target, std::move(body), timeout).reply;
}

log_session::log_session(std::string address, std::chrono::milliseconds callTimeout)
    : m_address(std::move(address))
    , m_timeout(callTimeout)
{
}

input log_session::read(log_offset from) const
{
    const auto target = "/v1/read?from=" + std::to_string(from) + "&max=1000&wait_ms=0";
    const auto reply = callBlocking(m_address, "GET", target, {}, m_timeout);
    return parseReadReply(time_point{}, reply.status, reply.body);
}

append_answer log_session::append(std::string payload) const
{
    const auto result = callOnce(m_address, "POST", "/v1/append", std::move(payload), m_timeout);
    return parseAppendReply(0, result.end, result.reply.sent, result.reply.status, result.reply.body);
}

} // namespace plantainpoint
