// The limit that an endpoint names in its answers: the requests per second that it takes from all VMs together.
#pragma once

#include <optional>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

// Decides which of the answers of an endpoint is its newest word. Answers on different connections overtake each other: an answer was written at some time
// between the dispatch of its request and its arrival. As long as two answers may have been written in either order, the stricter one holds.
class request_limit
{
public:
    // Records an answer. Returns whether the limit has changed.
    bool onAnswer(const endpoint_statement &statement, time_point sentAt, time_point now);

    // Returns the requests per second that the endpoint takes, or nothing if it names no limit.
    std::optional<double> perSecond() const { return inForce() ? std::optional(m_perSecond) : std::nullopt; }

private:
    bool inForce() const { return m_namedAt && (!m_unnamedAt || *m_unnamedAt <= *m_namedAt); }

    double m_perSecond = 0;
    time_point m_valueAt{}; // Arrival of the newest answer with this value.
    std::optional<time_point> m_namedAt; // Arrival of the newest answer that names a limit.
    std::optional<time_point> m_unnamedAt; // Dispatch of the newest request whose answer names none.
};

} // namespace plantainpoint
