#include "report.hpp"

#include <cstdio>
#include <map>
#include <set>
#include <sstream>

#include <nlohmann/json.hpp>

namespace plantainpoint::bench {

namespace {

struct figure_column {
    const char *name;
    double run_figures::*figure;
};

constexpr figure_column figureColumns[]{
    {"goodput", &run_figures::goodput},
    {"bound", &run_figures::bound},
    {"good_requests", &run_figures::goodRequests},
    {"goodput_ratio", &run_figures::goodputRatio},
    {"wasted_prefill", &run_figures::wastedPrefill},
    {"worst_account", &run_figures::worstAccount},
    {"wrongful_refusals", &run_figures::wrongfulRefusals},
    {"refused", &run_figures::refused},
    {"first_token_p95", &run_figures::firstTokenP95},
    {"interval_p95", &run_figures::intervalP95},
    {"decision_p50", &run_figures::decisionP50},
    {"decision_p99", &run_figures::decisionP99},
    {"message_p99", &run_figures::messageP99},
    {"recovery", &run_figures::recovery},
};

std::string format(const char *pattern, double value)
{
    char text[64];
    std::snprintf(text, sizeof text, pattern, value);
    return text;
}

// Returns the mean over the seeds, followed by the minimum and maximum in brackets.
std::string withSpread(const spread &value, const char *pattern, double scale = 1)
{
    return format(pattern, value.mean * scale) + " (" + format(pattern, value.minimum * scale) + "-" + format(pattern, value.maximum * scale) + ")";
}

nlohmann::json toJson(const spread &value)
{
    return {{"mean", value.mean}, {"least", value.minimum}, {"most", value.maximum}};
}

} // namespace

nlohmann::json toJson(const std::vector<cell> &cells, const std::vector<target_result> &targets, const std::string &commit)
{
    nlohmann::json out{{"commit", commit}, {"cells", nlohmann::json::array()}, {"targets", nlohmann::json::array()}};
    for (const auto &entry : cells) {
        nlohmann::json row{{"scenario", entry.scenarioName}, {"router", entry.router}, {"load", entry.load}, {"seeds", entry.runs.size()}};
        for (const auto &column : figureColumns) {
            row[column.name] = toJson(entry.of(column.figure));
        }
        if (!entry.othersKept.empty()) {
            row["others_kept"] = toJson(spreadOf(entry.othersKept));
        }
        out["cells"].push_back(row);
    }
    for (const auto &entry : targets) {
        out["targets"].push_back(
            {{"scenario", entry.scenarioName}, {"target", entry.target}, {"wanted", entry.wanted}, {"measured", entry.measured}, {"met", entry.met}});
    }
    return out;
}

std::string toMarkdown(const std::vector<cell> &cells, const std::vector<target_result> &targets, const std::string &commit)
{
    std::ostringstream out;
    out << "# Placement bench\n\nMade with commit " << commit << ". Figures are means over the seeds, with the least and the most in brackets.\n\n";
    out << "| scenario | target | wanted | measured | met |\n|---|---|---|---|---|\n";
    for (const auto &entry : targets) {
        out << "| " << entry.scenarioName << " | " << entry.target << " | " << format("%.4g", entry.wanted) << " | " << format("%.4g", entry.measured) << " | "
            << (entry.met ? "yes" : "**no**") << " |\n";
    }
    out << "\n| scenario | router | load | goodput / bound | good requests/s | wasted prefill % | worst account | wrongful refusals % | refused % | first "
           "token p95 s | "
           "interval p95 ms | recovery | decision p99 us | message p99 us |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const auto &entry : cells) {
        out << "| " << entry.scenarioName << " | " << entry.router << " | " << format("%.2f", entry.load) << " | "
            << withSpread(entry.of(&run_figures::goodputRatio), "%.3f") << " | " << format("%.1f", entry.of(&run_figures::goodRequests).mean) << " | "
            << withSpread(entry.of(&run_figures::wastedPrefill), "%.2f", 100) << " | " << withSpread(entry.of(&run_figures::worstAccount), "%.2f") << " | "
            << withSpread(entry.of(&run_figures::wrongfulRefusals), "%.2f", 100) << " | " << format("%.1f", entry.of(&run_figures::refused).mean * 100) << " | "
            << format("%.2f", entry.of(&run_figures::firstTokenP95).mean) << " | " << format("%.1f", entry.of(&run_figures::intervalP95).mean * 1000) << " | "
            << withSpread(entry.of(&run_figures::recovery), "%.3f") << " | " << format("%.1f", entry.of(&run_figures::decisionP99).mean * 1e6) << " | "
            << format("%.1f", entry.of(&run_figures::messageP99).mean * 1e6) << " |\n";
    }
    return out.str();
}

std::string toGoodputTable(const std::vector<cell> &cells, const std::string &scenarioName)
{
    std::map<double, std::map<std::string, double>> rows;
    std::vector<std::string> routers;
    std::map<double, double> bounds;
    for (const auto &entry : cells) {
        if (entry.scenarioName != scenarioName) {
            continue;
        }
        if (std::find(routers.begin(), routers.end(), entry.router) == routers.end()) {
            routers.push_back(entry.router);
        }
        rows[entry.load][entry.router] = entry.of(&run_figures::goodput).mean;
        bounds[entry.load] = entry.of(&run_figures::bound).mean;
    }
    if (rows.size() < 2 || routers.size() < 2) {
        return {};
    }
    std::ostringstream out;
    out << "load";
    for (const auto &router : routers) {
        out << '\t' << router;
    }
    out << "\tbound\n";
    for (const auto &[load, row] : rows) {
        out << load;
        for (const auto &router : routers) {
            out << '\t' << row.at(router);
        }
        out << '\t' << bounds[load] << '\n';
    }
    return out.str();
}

} // namespace plantainpoint::bench
