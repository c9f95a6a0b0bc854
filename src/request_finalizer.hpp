// Sends the single terminal answer of each request.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core_components.hpp"

namespace plantainpoint {

class request_finalizer
{
public:
    explicit request_finalizer(core_components &components);

    // Each of refuse, fail, respond, complete and forget ends a request and removes it, which invalidates references to it. The open attempts
    // of the request must have been ended before.
    void refuse(request &entry, failure reason, std::string detail, std::optional<duration> retryAfter = std::nullopt);
    void fail(request &entry, failure reason, outcome result, std::string detail, std::optional<duration> retryAfter = std::nullopt);
    void respond(request &entry, int status, std::vector<header> headers, std::string body);
    void complete(request &entry, std::string finishReason, std::int32_t outputTokens);
    // Removes the request of a caller that disconnected, without an answer.
    void forget(request &entry, std::string_view why);

    // Answers the caller with a failure while a dispatched booking is left to finish. The later answer to the booking is only recorded.
    void detach(request &entry, failure reason, std::string detail);

private:
    void sendFailure(request &entry, failure reason, outcome result, std::string detail, std::optional<duration> retryAfter);

    core_components &m_components;
};

} // namespace plantainpoint
