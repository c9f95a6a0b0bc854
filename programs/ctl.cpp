// Read-only command line tool that shows the state of an entry VM, or what the logs of several VMs state about a request.
#include <fstream>
#include <iostream>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "address.hpp"
#include "log_session.hpp"
#include "plantainpoint/failure.hpp"
#include "plantainpoint/ids.hpp"
#include "request_timeline.hpp"
#include "text_table.hpp"
#include "version.hpp"

using namespace plantainpoint;

namespace {

constexpr std::chrono::milliseconds adminTimeout{5'000};
constexpr int exitFailed = 1;
constexpr int exitInvalidArguments = 2;

absl::StatusOr<nlohmann::json> fetchJson(const std::string &admin, const std::string &target)
{
    if (!parseAddress(admin)) {
        return makeStatus(failure::MalformedRequest, "admin address: expected IP:PORT, got '" + admin + "'");
    }
    const auto answer = callBlocking(admin, "GET", target, {}, adminTimeout);
    if (answer.status == 0) {
        return answer.sent ? makeStatus(failure::OutcomeUnknown, "incomplete answer from " + admin)
                           : makeStatus(failure::NotFound, "cannot connect to " + admin);
    }
    if (answer.status == entryOf(failure::NotFound).httpStatus) {
        return makeStatus(failure::NotFound, "the VM has no record of the requested object");
    }
    auto document = nlohmann::json::parse(answer.body, nullptr, false);
    if (document.is_discarded()) {
        return makeStatus(failure::MalformedMessage, "the answer of the admin port is not valid JSON");
    }
    return document;
}

// Returns the fields of the status that describe the fleet.
nlohmann::json fleetFields(const nlohmann::json &status)
{
    nlohmann::json out = nlohmann::json::object();
    for (const auto *key : {"members", "configuration", "pools", "endpoints", "drains"}) {
        if (status.contains(key)) {
            out[key] = status.at(key);
        }
    }
    return out;
}

int printAnswer(const absl::StatusOr<nlohmann::json> &answer, bool json)
{
    if (!answer.ok()) {
        std::cerr << "plantainpoint-ctl: " << nameOf(failureOf(answer.status())) << ": " << answer.status().message() << '\n';
        return exitFailed;
    }
    if (json) {
        std::cout << answer->dump(2) << '\n';
    } else {
        printTables(std::cout, *answer);
    }
    return 0;
}

int explainFromLogs(const std::string &requestId, const std::vector<std::string> &files, bool json)
{
    request_timeline timeline(requestId);
    for (const auto &file : files) {
        std::ifstream in(file);
        if (!in) {
            std::cerr << "plantainpoint-ctl: cannot read " << file << '\n';
            return exitFailed;
        }
        timeline.read(in, file);
    }
    if (timeline.skipped() > 0) {
        std::cerr << "plantainpoint-ctl: " << timeline.skipped() << " lines are not valid log lines and were skipped\n";
    }
    const auto lines = timeline.lines();
    if (lines.empty()) {
        std::cerr << "plantainpoint-ctl: no log line mentions request " << requestId << '\n';
        return exitFailed;
    }
    auto entries = nlohmann::json::array();
    for (const auto &line : lines) {
        entries.push_back({{"time", line.time}, {"vm", line.vm}, {"part", line.part}, {"text", line.text}});
        if (!json) {
            std::cout << line.time << ' ' << line.vm << ' ' << line.part << ": " << line.text << '\n';
        }
    }
    if (json) {
        std::cout << entries.dump(2) << '\n';
    }
    return 0;
}

int run(const std::string &admin, const std::string &command, const std::string &label, bool json)
{
    if (command == "status") {
        return printAnswer(fetchJson(admin, "/status"), json);
    }
    if (command == "audit") {
        return printAnswer(fetchJson(admin, "/audit"), json);
    }
    if (command == "fleet") {
        auto status = fetchJson(admin, "/status");
        return printAnswer(status.ok() ? absl::StatusOr<nlohmann::json>(fleetFields(*status)) : status, json);
    }
    if (!parseRequestLabel(label)) {
        std::cerr << "plantainpoint-ctl: explain requires a request label in the form VM/INCARNATION/SEQUENCE\n";
        return exitInvalidArguments;
    }
    return printAnswer(fetchJson(admin, "/explain?request=" + label), json);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine commandLine("shows the state of an entry VM; use plantainpoint-publish to change the configuration", ' ', std::string(version()));
        const TCLAP::ValueArg<std::string> admin("", "admin", "admin port of an entry VM; required unless --logs is given", false, "", "IP:PORT", commandLine);
        const TCLAP::MultiArg<std::string> logs(
            "", "logs", "log file of a VM; used by explain together with the caller's id of a request", false, "FILE", commandLine);
        TCLAP::SwitchArg json("", "json", "print JSON", commandLine);
        std::vector<std::string> commands{"status", "fleet", "audit", "explain"};
        TCLAP::ValuesConstraint<std::string> commandConstraint(commands);
        const TCLAP::UnlabeledValueArg<std::string> command("command", "status, fleet, audit or explain", true, "", &commandConstraint, commandLine);
        const TCLAP::UnlabeledValueArg<std::string> label(
            "request", "for explain: label of a request, or its id if --logs is given", false, "", "REQUEST", commandLine);
        commandLine.parse(argc, argv);
        if (!logs.getValue().empty()) {
            if (command.getValue() != "explain" || label.getValue().empty()) {
                std::cerr << "plantainpoint-ctl: --logs requires the command explain and the id of a request\n";
                return exitInvalidArguments;
            }
            return explainFromLogs(label.getValue(), logs.getValue(), json.getValue());
        }
        return run(admin.getValue(), command.getValue(), label.getValue(), json.getValue());
    } catch (const std::exception &error) {
        std::cerr << "plantainpoint-ctl: " << error.what() << '\n';
        return exitInvalidArguments;
    }
}
