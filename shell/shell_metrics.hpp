// Counters and latency distributions of the HTTP server and the peer links.
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

#include "close_reason.hpp"
#include "plantainpoint/clock.hpp"

namespace plantainpoint {

inline constexpr std::array quantiles{0.5, 0.95, 0.99};

// Estimates the quantiles of a stream of durations.
class time_distribution
{
public:
    time_distribution();

    void add(duration value);
    std::size_t count() const;
    double sum() const; // Seconds.
    double quantile(std::size_t index) const; // Seconds. The index is the position in quantiles.

private:
    using quantile_tag = boost::accumulators::tag::extended_p_square;
    boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum, quantile_tag>>
        m_values;
};

struct shell_metrics {
    std::map<int, std::uint64_t> responses; // By status. A started stream counts as 200.
    std::uint64_t tokens = 0; // Written to callers.
    std::uint64_t callersDisconnected = 0;
    std::uint64_t slowCallers = 0; // Closed because their output buffer was full or made no progress.
    std::uint64_t connections = 0; // Currently open.
    std::array<std::uint64_t, closeReasonNames.size()> closedConnections{}; // By close_reason.
    std::uint64_t connectionsCut = 0; // Closed by this VM with an open request, unread input or unwritten output.
    std::uint64_t heldBytes = 0; // Bytes held for callers and endpoints.
    std::uint64_t heldBytesLimit = 0;
    std::uint64_t bodiesPaused = 0; // Bodies that were not read for a while, as too many bytes were held.
    std::uint64_t bodiesRefused = 0; // Bodies that were refused, as too many bytes were held.
    std::uint64_t slowBodiesRefused = 0; // Bodies that arrived slowly and made room for others.
    std::uint64_t connectionsRefused = 0; // Connections of callers beyond their bound.
    std::uint64_t peerMessagesDropped = 0; // Messages to peers that were dropped because their queue was full or outdated.
    std::uint64_t peerConnectionsRefused = 0; // Connections of peers that failed the handshake or sent a malformed frame.
    time_distribution firstToken; // Time from the complete request to the first token.
    time_distribution plainAnswer; // Time from the complete request to its answer.
};

// Appends a sample in the Prometheus text format.
void appendSample(std::string &out, std::string_view name, std::string_view labels, double value);
// Appends the quantiles, the sum and the count of a distribution as a summary.
void appendDistribution(std::string &out, std::string_view name, const time_distribution &values);

// Returns all metrics in the Prometheus text format.
std::string metricsText(const shell_metrics &metrics);

} // namespace plantainpoint
