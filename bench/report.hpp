// Writes the results as JSON, Markdown and tables for gnuplot.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "metrics.hpp"

namespace plantainpoint::bench {

nlohmann::json toJson(const std::vector<cell> &cells, const std::vector<target_result> &targets, const std::string &commit);

std::string toMarkdown(const std::vector<cell> &cells, const std::vector<target_result> &targets, const std::string &commit);

// Returns the goodput of one scenario with a line per load, a column per router and the bound last. The result is empty for a single load or router.
std::string toGoodputTable(const std::vector<cell> &cells, const std::string &scenarioName);

} // namespace plantainpoint::bench
