// Dispatches requests to plain services, for both lookups and bookings.
#pragma once

#include <optional>

#include "core_components.hpp"
#include "plain_endpoints.hpp"

namespace plantainpoint {

class plain_dispatch
{
public:
    explicit plain_dispatch(core_components &components);

    // Opens an attempt on an endpoint that this request has not tried. Returns false if there is none.
    bool send(request &entry);
    // Removes an attempt from the open attempts of the request and returns it, or nothing if it is not open.
    std::optional<plain_attempt> takeAttempt(request &entry, std::uint32_t number);
    // Closes every open attempt without waiting for its answer.
    void closeAttempts(request &entry);

    plain_endpoints &endpoints() { return m_endpoints; }

private:
    core_components &m_components;
    plain_endpoints m_endpoints;
};

} // namespace plantainpoint
