// Measures the cost of the control plane as the fleet grows, with production cores in virtual time and without faults.
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <iomanip>
#include <iostream>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "mutants.hpp"
#include "world.hpp"

namespace {

using namespace plantainpoint;
using namespace plantainpoint::fuzz;

// Returns the resident memory of this process in bytes.
std::uint64_t residentBytes()
{
    std::ifstream in("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

struct fleet_size {
    int vms = 7;
    int workers = 11;
    int accounts = 5;
};

struct measurement {
    fleet_size size;
    double seconds = 0;
    double messages = 0; // Sent per VM and second.
    double bytes = 0; // Sent per VM and second.
    double reads = 0; // Reads of load reports per VM and second.
    double coreFraction = 0; // Fraction of a processor core per VM.
    double appends = 0; // Appends of all VMs per second.
    double memory = 0; // Bytes per VM.
    std::map<std::string, double> byMethod; // Messages of each method per VM and second.
};

std::optional<measurement> measure(const fleet_size &size, duration time)
{
    const auto memoryBefore = residentBytes();
    world_settings settings;
    settings.vms = size.vms;
    settings.dataCentres = std::max(3, std::min(17, size.vms / 18));
    settings.prefillWorkers = std::max(1, size.workers / 3);
    settings.decodeWorkers = std::max(1, size.workers - settings.prefillWorkers);
    settings.plainWorkers = 3;
    settings.accounts = size.accounts;
    settings.skewClocks = false;
    settings.measure = true;
    world fleet(settings, factoryOf<no_mutation>());
    if (!fleet.start()) {
        return std::nullopt;
    }
    const auto before = fleet.traffic();
    fleet.run(time);
    const auto after = fleet.traffic();
    measurement out;
    out.size = size;
    out.seconds = std::chrono::duration<double>(time).count();
    const double perVm = 1.0 / (out.seconds * size.vms);
    out.messages = static_cast<double>(after.peerMessages - before.peerMessages) * perVm;
    out.bytes = static_cast<double>(after.peerBytes - before.peerBytes) * perVm;
    out.reads = static_cast<double>(after.loadReads - before.loadReads) * perVm;
    out.coreFraction = std::chrono::duration<double>(after.processorTime - before.processorTime).count() * perVm;
    out.appends = static_cast<double>(after.appends - before.appends) / out.seconds;
    out.memory = static_cast<double>(residentBytes() - memoryBefore) / size.vms;
    for (const auto &[method, count] : after.byMethod) {
        const auto countBefore = before.byMethod.find(method);
        out.byMethod[method] = static_cast<double>(count - (countBefore == before.byMethod.end() ? 0 : countBefore->second)) * perVm;
    }
    return out;
}

void printRow(const measurement &row)
{
    std::cout << std::fixed << std::setprecision(2) << "| " << row.size.vms << " | " << row.size.workers << " | " << row.size.accounts << " | " << row.messages
              << " | " << row.bytes / 1000 << " | " << row.reads << " | " << row.coreFraction * 100 << " | " << row.appends << " | " << row.memory / 1e6 << " |"
              << std::endl;
}

std::vector<int> parseList(const std::string &text)
{
    std::vector<int> out;
    std::istringstream in(text);
    for (std::string number; std::getline(in, number, ',');) {
        out.push_back(std::stoi(number));
    }
    return out;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line("cost of the control plane by fleet size", ' ', "0.1.0");
        TCLAP::ValueArg<std::string> vms("", "vms", "comma-separated fleet sizes", false, "7,20,80", "N,N,...", line);
        TCLAP::ValueArg<double> workers("", "workers-per-vm", "language-model workers per VM", false, 9.06, "X", line);
        TCLAP::ValueArg<double> accounts("", "accounts-per-vm", "client accounts per VM", false, 6.56, "X", line);
        TCLAP::ValueArg<int> time("", "seconds", "virtual time of each measurement", false, 10, "S", line);
        TCLAP::SwitchArg methods("", "methods", "also print the messages by method", line);
        line.parse(argc, argv);
        std::cout << "| VMs | workers | accounts | messages/s/VM | KB/s/VM | load reads/s/VM | core/VM % | appends/s | MB/VM |\n"
                  << "|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n";
        for (const int count : parseList(vms.getValue())) {
            const fleet_size size{count, static_cast<int>(count * workers.getValue()), std::max(2, static_cast<int>(count * accounts.getValue()))};
            const auto measured = measure(size, seconds(time.getValue()));
            if (!measured) {
                std::cerr << "a fleet of " << count << " VMs did not become ready in time\n";
                return 1;
            }
            printRow(*measured);
            if (methods.getValue()) {
                std::cout << nlohmann::json(measured->byMethod).dump() << std::endl;
            }
        }
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "fleet-capacity: " << error.what() << '\n';
        return 2;
    }
}
