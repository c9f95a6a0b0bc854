// dispatches to plain services, common to lookups and bookings
#pragma once

#include <optional>

#include "core_components.hpp"
#include "plain_endpoints.hpp"

namespace plantainpoint {

class plain_dispatch
{
public:
    explicit plain_dispatch(core_components &components);

    // opens an attempt on an endpoint that this request has not tried; false when there is none
    bool send(request &entry);
    // takes an attempt out of the request's open ones; empty when it is not open
    std::optional<plain_attempt> take(request &entry, std::uint32_t number);
    // closes every open attempt without waiting for its answer
    void closeAll(request &entry);

    plain_endpoints &endpoints() { return m_endpoints; }

private:
    core_components &m_components;
    plain_endpoints m_endpoints;
};

} // namespace plantainpoint
