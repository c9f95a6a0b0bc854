// Client of the platform's log.
#pragma once

#include "endpoint_client.hpp"
#include "http_client.hpp"
#include "plantainpoint/clock.hpp"
#include "plantainpoint/commands.hpp"

namespace plantainpoint {

class log_client
{
public:
    // The HTTP client, the clock and the objects that the sink uses have to outlive this client.
    log_client(http_client &http, std::string address, const clock_source &clock, input_sink sink);

    void run(append_log command);
    void run(const read_log &command);

private:
    http_client &m_http;
    std::string m_address;
    const clock_source &m_clock;
    input_sink m_sink;
};

// Parses the reply to a read. Returns log_read, or log_read_failed for anything that is not a reply of the protocol.
input parseReadReply(time_point sentAt, int status, std::string_view body);

// Parses the result of an append.
append_answer parseAppendReply(std::uint64_t append, transfer_end end, bool requestMaybeSent, int status, std::string_view body);

} // namespace plantainpoint
