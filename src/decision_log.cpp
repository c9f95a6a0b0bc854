#include "decision_log.hpp"

#include <nlohmann/json.hpp>

namespace plantainpoint {

namespace {

// Bounds the memory of the log. At 20 requests per second on a VM, the log covers about the last 100 s.
constexpr std::size_t maxRecordedRequests = 2'000;
constexpr std::size_t maxDecisionsPerRequest = 64;

} // namespace

decision_log::decision_log(const clock_source &clock)
    : m_clock(clock)
{
}

void decision_log::record(const request_label &label, std::string text)
{
    const auto [it, added] = m_decisions.try_emplace(label);
    if (added) {
        m_recordedRequests.push_back(label);
    }
    if (it->second.size() < maxDecisionsPerRequest) {
        it->second.push_back(decision{m_clock.now(), std::move(text)});
    }
    if (m_recordedRequests.size() > maxRecordedRequests) {
        m_decisions.erase(m_recordedRequests.front());
        m_recordedRequests.pop_front();
    }
}

nlohmann::json decision_log::explain(const request_label &label) const
{
    auto out = nlohmann::json::array();
    const auto it = m_decisions.find(label);
    if (it == m_decisions.end()) {
        return out;
    }
    const auto firstTakenAt = it->second.front().takenAt;
    for (const auto &entry : it->second) {
        const auto sinceFirst = std::chrono::duration_cast<std::chrono::microseconds>(entry.takenAt - firstTakenAt);
        out.push_back({{"after_us", sinceFirst.count()}, {"decision", entry.text}});
    }
    return out;
}

} // namespace plantainpoint
