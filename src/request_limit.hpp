// The limit that an endpoint names in its answers: the requests per second that it takes from all VMs together.
#pragma once

#include <optional>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

// Decides which of the answers of an endpoint, here and at other VMs, is its newest word. Answers on different connections overtake each other: an answer was
// written at some time between the dispatch of its request and its arrival. As long as two answers may have been written in either order, the stricter one
// holds. The state is independent of the endpoint's run, as the first answer of a new run that names no limit ends that of the run before.
class request_limit
{
public:
    // Records an answer. Returns whether the limit has changed.
    bool onAnswer(const endpoint_statement &statement, time_point sentAt, time_point now);
    // Records what another VM knows. Returns whether the limit has changed.
    bool onReport(const limit_report &report, time_point now);

    // Returns the requests per second that the endpoint takes, or nothing if it names no limit.
    std::optional<double> perSecond() const { return inForce() ? std::optional(m_perSecond) : std::nullopt; }
    // Returns what other VMs are told, or nothing if no limit is in force and none ended lately. It is told again after each change, and in every message
    // when it is to be refreshed.
    std::optional<limit_report> report(bool refresh, time_point now) const;

private:
    bool inForce() const { return m_namedAt && (!m_unnamedAt || *m_unnamedAt <= *m_namedAt); }
    bool recordChange(const std::optional<double> &before, time_point now);

    double m_perSecond = 0;
    time_point m_valueAt{}; // Arrival of the newest answer with this value.
    std::optional<time_point> m_namedAt; // Arrival of the newest answer that names a limit.
    std::optional<time_point> m_unnamedAt; // Dispatch of the newest request whose answer names none.
    std::optional<time_point> m_changedAt; // Time of the last change of the limit.
};

} // namespace plantainpoint
