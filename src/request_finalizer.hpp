// the one terminal answer of each request
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

    // every function ends the request and forgets it; references to it end. open attempts have been given up before.
    void refuse(request &entry, failure reason, std::string detail, std::optional<duration> retryAfter = std::nullopt);
    void fail(request &entry, failure reason, outcome result, std::string detail, std::optional<duration> retryAfter = std::nullopt);
    void plain(request &entry, int status, std::vector<header> headers, std::string body);
    void done(request &entry, std::string finishReason, std::int32_t outputTokens);
    // the caller is gone and nothing is left to do
    void forget(request &entry, std::string_view why);

    // answers the caller while a dispatched booking is left to finish; its later answer is only recorded
    void detach(request &entry, failure reason, std::string detail);

private:
    void sendFailure(request &entry, failure reason, outcome result, std::string detail, std::optional<duration> retryAfter);

    core_components &m_components;
};

} // namespace plantainpoint
