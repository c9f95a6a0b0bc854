#include "shell_metrics.hpp"

#include <array>
#include <charconv>

namespace plantainpoint {

namespace acc = boost::accumulators;

time_distribution::time_distribution()
    : m_values(acc::extended_p_square_probabilities = quantiles)
{
}

void time_distribution::add(duration value)
{
    m_values(std::chrono::duration<double>(value).count());
}

std::size_t time_distribution::count() const
{
    return acc::count(m_values);
}

double time_distribution::sum() const
{
    return acc::sum(m_values);
}

double time_distribution::quantile(std::size_t index) const
{
    return acc::extended_p_square(m_values)[static_cast<std::ptrdiff_t>(index)];
}

void appendSample(std::string &out, std::string_view name, std::string_view labels, double value)
{
    constexpr std::size_t maxNumberSize = 32;
    std::array<char, maxNumberSize> digits{};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value);
    out += "plantainpoint_";
    out += name;
    if (!labels.empty()) {
        out += '{';
        out += labels;
        out += '}';
    }
    out += ' ';
    out.append(digits.data(), end);
    out += '\n';
}

void appendDistribution(std::string &out, std::string_view name, const time_distribution &values)
{
    out += "# TYPE plantainpoint_" + std::string{name} + " summary\n";
    if (values.count() > 0) {
        constexpr std::array<std::string_view, quantiles.size()> labels{R"(quantile="0.5")", R"(quantile="0.95")", R"(quantile="0.99")"};
        for (std::size_t i = 0; i < quantiles.size(); ++i) {
            appendSample(out, name, labels[i], values.quantile(i));
        }
    }
    appendSample(out, std::string{name} + "_sum", "", values.sum());
    appendSample(out, std::string{name} + "_count", "", static_cast<double>(values.count()));
}

std::string metricsText(const shell_metrics &metrics)
{
    std::string out = "# TYPE plantainpoint_http_responses_total counter\n";
    for (const auto &[status, count] : metrics.responses) {
        appendSample(out, "http_responses_total", "status=\"" + std::to_string(status) + '"', static_cast<double>(count));
    }
    const auto appendMetric = [&out](std::string_view name, std::uint64_t value, std::string_view type) {
        out += "# TYPE plantainpoint_" + std::string{name} + ' ' + std::string{type} + '\n';
        appendSample(out, name, "", static_cast<double>(value));
    };
    appendMetric("http_tokens_total", metrics.tokens, "counter");
    appendMetric("http_callers_gone_total", metrics.callersDisconnected, "counter");
    appendMetric("http_slow_callers_total", metrics.slowCallers, "counter");
    appendMetric("http_connections", metrics.connections, "gauge");
    appendMetric("http_connections_cut_total", metrics.connectionsCut, "counter");
    out += "# TYPE plantainpoint_http_connections_closed_total counter\n";
    for (std::size_t i = 0; i < closeReasonNames.size(); ++i) {
        appendSample(
            out, "http_connections_closed_total", "reason=\"" + std::string(closeReasonNames[i]) + '"', static_cast<double>(metrics.closedConnections[i]));
    }
    appendMetric("held_bytes", metrics.heldBytes, "gauge");
    appendMetric("held_bytes_limit", metrics.heldBytesLimit, "gauge");
    appendMetric("http_bodies_paused_total", metrics.bodiesPaused, "counter");
    appendMetric("http_bodies_refused_total", metrics.bodiesRefused, "counter");
    appendMetric("http_slow_bodies_refused_total", metrics.slowBodiesRefused, "counter");
    appendMetric("http_connections_refused_total", metrics.connectionsRefused, "counter");
    appendMetric("peer_messages_dropped_total", metrics.peerMessagesDropped, "counter");
    appendMetric("peer_connections_refused_total", metrics.peerConnectionsRefused, "counter");
    appendDistribution(out, "http_first_token_seconds", metrics.firstToken);
    appendDistribution(out, "http_plain_answer_seconds", metrics.plainAnswer);
    return out;
}

} // namespace plantainpoint
