// Measurements of the load generator.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

namespace plantainpoint::load {

using steady = std::chrono::steady_clock;

// Stores all measured times in milliseconds, so that quantiles are exact.
class samples
{
public:
    void add(steady::duration value) { m_values.push_back(std::chrono::duration<double, std::milli>(value).count()); }
    std::size_t count() const { return m_values.size(); }
    // Returns the value at a quantile, or 0 if there are no samples.
    double quantile(double fraction)
    {
        if (m_values.empty()) {
            return 0;
        }
        std::sort(m_values.begin(), m_values.end());
        const auto lastIndex = static_cast<double>(m_values.size() - 1);
        return m_values[static_cast<std::size_t>(std::lround(fraction * lastIndex))];
    }

private:
    std::vector<double> m_values;
};

struct results {
    std::size_t started = 0;
    std::size_t finished = 0;
    std::size_t tokens = 0;
    samples firstToken; // Time to the first token, or to the end of the answer of a plain call.
    samples tokenInterval;
    samples completeAnswer;
    std::map<std::string, std::size_t> failures; // Number of failures by type.
};

inline void printSamples(const char *name, const char *metric, samples &values)
{
    std::printf("%s %s: count %zu, median %.3f ms, p95 %.3f ms, p99 %.3f ms, max %.3f ms\n",
                name,
                metric,
                values.count(),
                values.quantile(0.5),
                values.quantile(0.95),
                values.quantile(0.99),
                values.quantile(1));
}

inline void printResults(const char *name, results &values)
{
    std::printf("%s requests: started %zu, finished %zu, tokens %zu\n", name, values.started, values.finished, values.tokens);
    printSamples(name, "first answer", values.firstToken);
    printSamples(name, "token interval", values.tokenInterval);
    printSamples(name, "whole answer", values.completeAnswer);
    for (const auto &[type, count] : values.failures) {
        std::printf("%s failures: %s %zu\n", name, type.c_str(), count);
    }
}

} // namespace plantainpoint::load
