#include "core_metrics.hpp"

#include <array>

#include <nlohmann/json.hpp>

namespace plantainpoint {

namespace {

namespace ac = boost::accumulators;

constexpr std::array<double, 3> quantileProbabilities{0.5, 0.95, 0.99};

} // namespace

latency_summary::latency_summary()
    : m_values(ac::tag::extended_p_square::probabilities = quantileProbabilities)
{
}

void latency_summary::add(duration value)
{
    m_values(std::chrono::duration<double>(value).count());
}

nlohmann::json latency_summary::toJson() const
{
    const auto quantiles = ac::extended_p_square(m_values);
    return {{"count", ac::count(m_values)}, {"sum", ac::sum(m_values)}, {"p50", quantiles[0]}, {"p95", quantiles[1]}, {"p99", quantiles[2]}};
}

void core_metrics::admitted(const request &entry)
{
    ++m_accounts[entry.account].admitted;
}

void core_metrics::answered(const request &entry, time_point now, std::int32_t outputTokens)
{
    auto &account = m_accounts[entry.account];
    ++account.answered;
    if (!entry.model) {
        m_plainAnswer.add(now - entry.arrivedAt);
        ++account.withinTargets;
        return;
    }
    const auto firstToken = entry.model->firstTokenAt - entry.arrivedAt;
    const auto interval = outputTokens > 1 ? (now - entry.model->firstTokenAt) / (outputTokens - 1) : duration{};
    m_firstToken.add(firstToken);
    m_tokenInterval.add(interval);
    if (firstToken <= entry.model->firstTokenTarget && interval <= entry.model->tokenIntervalTarget) {
        ++account.withinTargets;
    }
}

void core_metrics::failed(const request &entry, failure reason, outcome result, bool wasAdmitted)
{
    ++m_failures[reason];
    auto &account = m_accounts[entry.account];
    if (reason == failure::RateExceeded) {
        ++account.refusedOverRate;
    } else if (wasAdmitted && result == outcome::NotRun) {
        ++account.refusedWithinRate;
    } else {
        ++account.failed;
    }
}

nlohmann::json core_metrics::toJson() const
{
    nlohmann::json failures = nlohmann::json::object();
    for (const auto &[reason, count] : m_failures) {
        failures[std::string(nameOf(reason))] = count;
    }
    nlohmann::json accounts = nlohmann::json::object();
    for (const auto &[name, counters] : m_accounts) {
        accounts[name.value] = {{"admitted", counters.admitted},
                                {"answered", counters.answered},
                                {"within_targets", counters.withinTargets},
                                {"failed", counters.failed},
                                {"refused_within_rate", counters.refusedWithinRate},
                                {"refused_over_rate", counters.refusedOverRate}};
    }
    return {{"requests_received", m_received},
            {"tokens", m_tokens},
            {"retries", m_retries},
            {"hedges", m_hedges},
            {"resumes", m_resumes},
            {"cancels", m_cancels},
            {"orphans_freed", m_orphansFreed},
            {"prefill_tokens", m_prefillTokens},
            {"wasted_prefill_tokens", m_wastedPrefillTokens},
            {"dropped_messages", m_droppedMessages},
            {"failures", std::move(failures)},
            {"accounts", std::move(accounts)},
            {"first_token_seconds", m_firstToken.toJson()},
            {"token_interval_seconds", m_tokenInterval.toJson()},
            {"plain_answer_seconds", m_plainAnswer.toJson()}};
}

} // namespace plantainpoint
