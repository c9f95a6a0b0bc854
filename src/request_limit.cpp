#include "request_limit.hpp"

#include <algorithm>

namespace plantainpoint {

bool request_limit::onAnswer(const endpoint_statement &statement, time_point sentAt, time_point now)
{
    const auto before = perSecond();
    if (!statement.requestLimit) {
        m_unnamedAt = std::max(m_unnamedAt.value_or(sentAt), sentAt);
        return before != perSecond();
    }
    const auto value = *statement.requestLimit;
    if (!before || value <= m_perSecond || sentAt > m_valueAt) {
        m_perSecond = value;
        m_valueAt = now;
    }
    m_namedAt = now;
    return before != perSecond();
}

} // namespace plantainpoint
