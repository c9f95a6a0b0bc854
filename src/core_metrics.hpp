// Counters and distributions of one VM, for the metrics page.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <nlohmann/json_fwd.hpp>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/failure.hpp"
#include "plantainpoint/ids.hpp"
#include "request_table.hpp"

namespace plantainpoint {

// Count, sum and estimated percentiles of latencies, in seconds.
class latency_summary
{
public:
    latency_summary();
    void add(duration value);
    nlohmann::json toJson() const;

private:
    using statistics = boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum, boost::accumulators::tag::extended_p_square>;

    boost::accumulators::accumulator_set<double, statistics> m_values;
};

struct account_counters {
    std::uint64_t admitted = 0;
    std::uint64_t answered = 0;
    std::uint64_t withinTargets = 0; // Answers that met both latency targets.
    std::uint64_t failed = 0;
    std::uint64_t refusedWithinRate = 0; // Requests refused although the account's limit had admitted them.
    std::uint64_t refusedOverRate = 0;
};

class core_metrics
{
public:
    void received() { ++m_received; }
    void admitted(const request &entry);
    void answered(const request &entry, time_point now, std::int32_t outputTokens);
    void failed(const request &entry, failure reason, outcome result, bool wasAdmitted);
    void token() { ++m_tokens; }
    void retried() { ++m_retries; }
    void hedged() { ++m_hedges; }
    void resumed() { ++m_resumes; }
    void cancelSent() { ++m_cancels; }
    void orphanFreed() { ++m_orphansFreed; }
    void prefillDone(std::int32_t tokens) { m_prefillTokens += static_cast<std::uint64_t>(tokens); }
    // Counts the tokens of a prefill whose result was not used.
    void prefillWasted(std::int32_t tokens) { m_wastedPrefillTokens += static_cast<std::uint64_t>(tokens); }
    void droppedMessage() { ++m_droppedMessages; }

    nlohmann::json toJson() const;

private:
    std::uint64_t m_received = 0;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_hedges = 0;
    std::uint64_t m_resumes = 0;
    std::uint64_t m_cancels = 0;
    std::uint64_t m_orphansFreed = 0;
    std::uint64_t m_prefillTokens = 0;
    std::uint64_t m_wastedPrefillTokens = 0;
    std::uint64_t m_droppedMessages = 0;
    std::map<failure, std::uint64_t> m_failures;
    std::map<account_name, account_counters> m_accounts;
    latency_summary m_firstToken;
    latency_summary m_tokenInterval; // Mean interval of each answer.
    latency_summary m_plainAnswer;
};

} // namespace plantainpoint
