#include "request_limit.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

// A change is repeated for this time, so that a lost message only delays it.
constexpr duration changeRepeatTime = std::chrono::milliseconds{700};
constexpr duration endRepeatTime = std::chrono::seconds{5}; // Refreshed messages tell the end of a limit for this time.
// Messages between VMs take less time than this. The age of a report does not contain it.
constexpr duration maxTransit = std::chrono::milliseconds{500};

} // namespace

bool request_limit::recordChange(const std::optional<double> &before, time_point now)
{
    if (before == perSecond()) {
        return false;
    }
    m_changedAt = now;
    return true;
}

bool request_limit::onAnswer(const endpoint_statement &statement, time_point sentAt, time_point now)
{
    if (!statement.limitKnown) {
        return false;
    }
    const auto before = perSecond();
    if (!statement.requestLimit) {
        m_unnamedAt = std::max(m_unnamedAt.value_or(sentAt), sentAt);
        return recordChange(before, now);
    }
    const auto value = *statement.requestLimit;
    if (!before || value <= m_perSecond || sentAt > m_valueAt) {
        m_perSecond = value;
        m_valueAt = now;
    }
    m_namedAt = now;
    return recordChange(before, now);
}

bool request_limit::onReport(const limit_report &report, time_point now)
{
    const auto before = perSecond();
    if (report.namedAge) {
        const auto namedAt = now - *report.namedAge;
        const bool isNewer = report.perSecond <= m_perSecond ? namedAt > m_valueAt : namedAt - maxTransit > m_valueAt;
        if (!m_namedAt || isNewer) {
            m_perSecond = report.perSecond;
            m_valueAt = namedAt;
        }
        m_namedAt = std::max(m_namedAt.value_or(namedAt), namedAt);
    }
    if (report.unnamedAge) {
        const auto unnamedAt = now - *report.unnamedAge - maxTransit;
        m_unnamedAt = std::max(m_unnamedAt.value_or(unnamedAt), unnamedAt);
    }
    return recordChange(before, now);
}

std::optional<limit_report> request_limit::report(bool refresh, time_point now) const
{
    const auto sinceChange = m_changedAt ? now - *m_changedAt : duration::max();
    const bool isCurrent = inForce() || sinceChange < endRepeatTime;
    if (!m_namedAt || !isCurrent || (!refresh && sinceChange >= changeRepeatTime)) {
        return std::nullopt;
    }
    limit_report result{.perSecond = m_perSecond, .namedAge = now - m_valueAt};
    if (!inForce()) {
        result.unnamedAge = now - *m_unnamedAt;
    }
    return result;
}

} // namespace plantainpoint
