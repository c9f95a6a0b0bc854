// Blocking HTTP calls and blocking access to the log, for programs without an event loop.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include <absl/status/status.h>

#include "plantainpoint/messages.hpp"
#include "plantainpoint/records.hpp"

namespace plantainpoint {

// Answer to an HTTP call. Status 0 means that no whole answer arrived.
struct blocking_reply {
    int status = 0;
    std::string body;
    bool sent = false; // A byte of the request may have reached the peer.
};

// Makes an HTTP call on a new connection. The address has the form IP:PORT.
blocking_reply
callBlocking(const std::string &address, const std::string &method, const std::string &target, std::string body, std::chrono::milliseconds timeout);

class log_session
{
public:
    log_session(std::string address, std::chrono::milliseconds callTimeout);

    // Reads up to 1000 entries from an offset on. The field sentAt of the result is not set.
    input read(log_offset from) const;
    append_answer append(std::string payload) const;

private:
    std::string m_address;
    std::chrono::milliseconds m_timeout;
};

} // namespace plantainpoint
