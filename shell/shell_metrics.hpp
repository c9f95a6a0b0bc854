// counters and distributions of the shell
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "plantainpoint/clock.hpp"

namespace plantainpoint {

inline constexpr std::array quantiles{0.5, 0.95, 0.99};

// times in seconds with their quantiles
class time_distribution
{
public:
    time_distribution();

    void add(duration value);
    std::size_t count() const;
    double sum() const; // seconds
    double quantile(std::size_t index) const; // seconds

private:
    using tags = boost::accumulators::tag::extended_p_square;
    boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum, tags>> m_values;
};

struct shell_metrics {
    std::map<int, std::uint64_t> responses; // by status; a started stream counts as 200
    std::uint64_t tokens = 0; // written to callers
    std::uint64_t callersDisconnected = 0;
    std::uint64_t slowCallers = 0; // closed because their output buffer was full or stood still
    std::uint64_t connections = 0; // open now
    std::uint64_t peerDropped = 0; // messages to peers that were dropped from a full or old queue
    std::uint64_t peerRefused = 0; // connections of peers that failed the handshake or sent a malformed frame
    time_distribution firstToken; // from the whole request to the first token
    time_distribution plainAnswer; // from the whole request to its answer
};

// a sample in the usual text format
void appendSample(std::string &out, std::string_view name, std::string_view labels, double value);
void appendDistribution(std::string &out, std::string_view name, const time_distribution &values);

// everything above
std::string metricsText(const shell_metrics &metrics);

} // namespace plantainpoint
