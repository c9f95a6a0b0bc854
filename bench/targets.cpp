// Checks of the benchmark results against the targets of the design.
#include <algorithm>
#include <cmath>

#include "metrics.hpp"

namespace plantainpoint::bench {

namespace {

constexpr double nominalLoad = 0.9;
constexpr double fullLoad = 1.0;
constexpr double overload = 1.3;

const cell *findCell(const std::vector<cell> &cells, const std::string &name, const std::string &router, double load)
{
    const auto found = std::find_if(cells.begin(), cells.end(), [&](const cell &entry) {
        return entry.scenarioName == name && entry.router == router && std::abs(entry.load - load) < 1e-9;
    });
    return found == cells.end() ? nullptr : &*found;
}

class target_list
{
public:
    explicit target_list(std::string name)
        : m_name(std::move(name))
    {
    }

    void atLeast(const std::string &target, double bound, double measured) { m_results.push_back({m_name, target, bound, measured, measured >= bound}); }
    void atMost(const std::string &target, double bound, double measured) { m_results.push_back({m_name, target, bound, measured, measured <= bound}); }
    std::vector<target_result> take() { return std::move(m_results); }

private:
    std::string m_name;
    std::vector<target_result> m_results;
};

void checkLoads(const scenario &setting, const std::vector<cell> &cells, target_list &out)
{
    if (const auto *result = findCell(cells, setting.name, "placer", nominalLoad)) {
        out.atLeast("load 0.9: goodput over bound", 0.97, result->of(&run_figures::goodputRatio).mean);
        out.atMost("load 0.9: wrongful refusals", 0.001, result->of(&run_figures::wrongfulRefusals).mean);
        out.atMost("load 0.9: wasted prefill", 0.005, result->of(&run_figures::wastedPrefill).mean);
    }
    const auto *result = findCell(cells, setting.name, "placer", overload);
    if (result == nullptr) {
        return;
    }
    out.atLeast("load 1.3: goodput over bound", 0.9, result->of(&run_figures::goodputRatio).mean);
    out.atMost("load 1.3: wasted prefill", 0.01, result->of(&run_figures::wastedPrefill).mean);
    if (const auto *fullLoadResult = findCell(cells, setting.name, "placer", fullLoad)) {
        out.atLeast("load 1.3: goodput over goodput at 1.0", 1, result->of(&run_figures::goodput).mean / fullLoadResult->of(&run_figures::goodput).mean);
    }
}

void checkFlood(const scenario &setting, const std::vector<cell> &cells, target_list &out)
{
    for (const double load : setting.loads) {
        if (const auto *result = findCell(cells, setting.name, "placer", load)) {
            out.atLeast("flood: least part kept by another account", 0.95, spreadOf(result->othersKept).mean);
        }
    }
}

void checkRecovery(const scenario &setting, const std::vector<cell> &cells, target_list &out)
{
    for (const double load : setting.loads) {
        if (const auto *result = findCell(cells, setting.name, "placer", load)) {
            out.atLeast("recovery: goodput over bound of what remains after 5 s", 0.95, result->of(&run_figures::recovery).mean);
        }
    }
}

void checkBaselines(const scenario &setting, const std::vector<cell> &cells, target_list &out)
{
    for (const double load : setting.loads) {
        const auto *schedulerResult = findCell(cells, setting.name, "placer", load);
        double bestBaseline = 0;
        for (const auto &router : setting.routers) {
            if (const auto *result = findCell(cells, setting.name, router, load); result != nullptr && router != "placer") {
                bestBaseline = std::max(bestBaseline, result->of(&run_figures::goodput).mean);
            }
        }
        if (schedulerResult != nullptr && bestBaseline > 0) {
            char loadText[16];
            std::snprintf(loadText, sizeof loadText, "%.1f", load);
            out.atLeast(
                std::string("load ") + loadText + ": goodput over the best baseline", 1, schedulerResult->of(&run_figures::goodput).mean / bestBaseline);
        }
    }
}

void checkDecision(const scenario &setting, const std::vector<cell> &cells, target_list &out)
{
    for (const auto &result : cells) {
        if (result.scenarioName == setting.name && result.router == "placer") {
            out.atMost("decision time p99 (s)", 20e-6, result.of(&run_figures::decisionP99).mean);
        }
    }
}

} // namespace

std::vector<target_result> checkTargets(const std::vector<scenario> &scenarios, const std::vector<cell> &cells)
{
    std::vector<target_result> allResults;
    for (const auto &setting : scenarios) {
        target_list out(setting.name);
        for (const auto &check : setting.checks) {
            if (check == "loads") {
                checkLoads(setting, cells, out);
            } else if (check == "flood") {
                checkFlood(setting, cells, out);
            } else if (check == "recovery") {
                checkRecovery(setting, cells, out);
            } else if (check == "baselines") {
                checkBaselines(setting, cells, out);
            } else if (check == "decision") {
                checkDecision(setting, cells, out);
            }
        }
        auto results = out.take();
        allResults.insert(allResults.end(), results.begin(), results.end());
    }
    return allResults;
}

} // namespace plantainpoint::bench
