// Bound of retries and hedges to a fraction of the requests, so that they cannot amplify an overload.
#pragma once

#include <algorithm>
#include <cstdint>

namespace plantainpoint {

class retry_budget
{
public:
    static constexpr std::int64_t thousandthsPerRetry = 1000;

    retry_budget() = default;
    // Takes thousandths of a retry: the amount earned per request, the most that is kept and the initial amount.
    retry_budget(std::int64_t perRequest, std::int64_t limit, std::int64_t initial)
        : m_perRequest(perRequest)
        , m_limit(limit)
        , m_thousandths(initial)
    {
    }

    // Adds to the budget for an admitted request.
    void earn() { m_thousandths = std::min(m_thousandths + m_perRequest, m_limit); }

    // Returns false when the budget is used up.
    bool spend()
    {
        if (m_thousandths < thousandthsPerRetry) {
            return false;
        }
        m_thousandths -= thousandthsPerRetry;
        return true;
    }

    // Returns a retry that was not used.
    void refund() { m_thousandths = std::min(m_thousandths + thousandthsPerRetry, m_limit); }

    // Returns whether a part of the budget is left for failures that are certain when one retry is spent on a suspicion.
    bool hasReserve() const { return m_thousandths - thousandthsPerRetry >= m_limit / reserveParts; }

    std::int64_t left() const { return m_thousandths / thousandthsPerRetry; }

private:
    static constexpr std::int64_t reserveParts = 2; // One part of so many is the reserve.

    std::int64_t m_perRequest = 100; // One retry for every tenth request.
    std::int64_t m_limit = 100 * thousandthsPerRetry;
    // A VM that has just started can retry its first requests.
    std::int64_t m_thousandths = 10 * thousandthsPerRetry;
};

} // namespace plantainpoint
