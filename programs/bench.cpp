// Main program of the placement benchmark, which runs scenarios in virtual time and writes the results.
#include <algorithm>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "report.hpp"
#include "scenario.hpp"

namespace {

using namespace plantainpoint::bench;

struct bench_options {
    std::string scenarios;
    std::string out;
    std::string commit;
    std::string only;
    unsigned threads = 1;
};

bench_options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Runs the scheduler and its baselines in virtual time.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> scenarios("s", "scenarios", "YAML file with the scenarios", true, "", "FILE", commandLine);
    TCLAP::ValueArg<std::string> out("o", "out", "directory for the result files; none are written if it is not given", false, "", "DIRECTORY", commandLine);
    TCLAP::ValueArg<std::string> commit("c", "commit", "commit that the results are labelled with", false, "unknown", "COMMIT", commandLine);
    TCLAP::ValueArg<std::string> only("n", "only", "runs only the scenario of this name", false, "", "NAME", commandLine);
    TCLAP::ValueArg<unsigned> threads(
        "t", "threads", "number of runs at the same time", false, std::max(1U, std::thread::hardware_concurrency()), "N", commandLine);
    commandLine.parse(argc, argv);
    return {scenarios.getValue(), out.getValue(), commit.getValue(), only.getValue(), std::max(1U, threads.getValue())};
}

void writeFile(const std::filesystem::path &path, const std::string &text)
{
    std::ofstream(path) << text;
}

void writeResults(const bench_options &options,
                  const std::vector<scenario> &scenarios,
                  const std::vector<cell> &cells,
                  const std::vector<target_result> &targets)
{
    const std::filesystem::path directory(options.out);
    std::filesystem::create_directories(directory);
    writeFile(directory / "results.json", toJson(cells, targets, options.commit).dump(1) + "\n");
    writeFile(directory / "results.md", toMarkdown(cells, targets, options.commit));
    for (const auto &entry : scenarios) {
        if (const auto table = toGoodputTable(cells, entry.name); !table.empty()) {
            writeFile(directory / ("goodput-" + entry.name + ".tsv"), table);
        }
    }
}

// Runs all scenarios, those with a "decision" check one at a time. They measure decision times, which parallel runs on the same cores would distort.
std::vector<cell> runScenarios(const std::vector<scenario> &scenarios, unsigned threads)
{
    const auto progress = [](std::size_t done, std::size_t total) { std::fprintf(stderr, "\r%zu of %zu runs", done, total); };
    std::vector<scenario> parallelScenarios;
    std::vector<scenario> sequentialScenarios;
    for (const auto &entry : scenarios) {
        const bool measuresTime = std::find(entry.checks.begin(), entry.checks.end(), "decision") != entry.checks.end();
        (measuresTime ? sequentialScenarios : parallelScenarios).push_back(entry);
    }
    auto cells = runAll(parallelScenarios, threads, progress);
    std::fprintf(stderr, "\n");
    auto sequentialCells = runAll(sequentialScenarios, 1, progress);
    std::fprintf(stderr, "\n");
    cells.insert(cells.end(), sequentialCells.begin(), sequentialCells.end());
    return cells;
}

int run(int argc, char **argv)
{
    const auto options = parseOptions(argc, argv);
    auto scenarios = readScenarios(options.scenarios);
    if (!scenarios.ok()) {
        std::fprintf(stderr, "%s\n", std::string(scenarios.status().message()).c_str());
        return 2;
    }
    if (!options.only.empty()) {
        std::erase_if(*scenarios, [&](const scenario &entry) { return entry.name != options.only; });
    }
    const auto cells = runScenarios(*scenarios, options.threads);
    const auto targets = checkTargets(*scenarios, cells);
    std::printf("%s", toMarkdown(cells, targets, options.commit).c_str());
    if (!options.out.empty()) {
        writeResults(options, *scenarios, cells, targets);
    }
    const auto missed = std::count_if(targets.begin(), targets.end(), [](const target_result &entry) { return !entry.met; });
    std::printf("\n%zu targets, %td missed\n", targets.size(), missed);
    return missed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}
