// Decisions taken for the latest requests, which show operators how each request was handled.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/ids.hpp"

namespace plantainpoint {

class decision_log
{
public:
    explicit decision_log(const clock_source &clock);

    void record(const request_label &label, std::string text);

    // Returns the decisions for a request, oldest first, or an empty array if none is recorded.
    nlohmann::json explain(const request_label &label) const;

private:
    struct decision {
        time_point takenAt{};
        std::string text;
    };

    const clock_source &m_clock;
    std::unordered_map<request_label, std::vector<decision>> m_decisions;
    std::deque<request_label> m_recordedRequests;
};

} // namespace plantainpoint
