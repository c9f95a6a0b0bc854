// shows what an entry VM knows, or what the logs of VMs say about a request; changes nothing
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

absl::StatusOr<nlohmann::json> fetch(const std::string &admin, const std::string &target)
{
    if (!parseAddress(admin)) {
        return makeStatus(failure::MalformedRequest, "address '" + admin + "' is not IP:PORT");
    }
    const auto answer = callBlocking(admin, "GET", target, {}, adminTimeout);
    if (answer.status == 0) {
        return answer.sent ? makeStatus(failure::OutcomeUnknown, "no whole answer from " + admin)
                           : makeStatus(failure::NotFound, "nothing answers at " + admin);
    }
    if (answer.status == entryOf(failure::NotFound).httpStatus) {
        return makeStatus(failure::NotFound, "the VM keeps no record of it");
    }
    auto parsed = nlohmann::json::parse(answer.body, nullptr, false);
    if (parsed.is_discarded()) {
        return makeStatus(failure::MalformedMessage, "the admin port answered with text that is no JSON");
    }
    return parsed;
}

// the part of the status that describes the fleet
nlohmann::json fleetOf(const nlohmann::json &status)
{
    nlohmann::json out = nlohmann::json::object();
    for (const auto *key : {"members", "configuration", "pools", "endpoints", "drains"}) {
        if (status.contains(key)) {
            out[key] = status.at(key);
        }
    }
    return out;
}

int show(const absl::StatusOr<nlohmann::json> &answer, bool json)
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
        std::cerr << "plantainpoint-ctl: " << timeline.skipped() << " lines are no log lines\n";
    }
    const auto lines = timeline.lines();
    if (lines.empty()) {
        std::cerr << "plantainpoint-ctl: no line names request " << requestId << '\n';
        return exitFailed;
    }
    auto all = nlohmann::json::array();
    for (const auto &line : lines) {
        all.push_back({{"time", line.time}, {"vm", line.vm}, {"part", line.part}, {"text", line.text}});
        if (!json) {
            std::cout << line.time << ' ' << line.vm << ' ' << line.part << ": " << line.text << '\n';
        }
    }
    if (json) {
        std::cout << all.dump(2) << '\n';
    }
    return 0;
}

int run(const std::string &admin, const std::string &command, const std::string &label, bool json)
{
    if (command == "status") {
        return show(fetch(admin, "/status"), json);
    }
    if (command == "audit") {
        return show(fetch(admin, "/audit"), json);
    }
    if (command == "fleet") {
        auto status = fetch(admin, "/status");
        return show(status.ok() ? absl::StatusOr<nlohmann::json>(fleetOf(*status)) : status, json);
    }
    if (!parseRequestLabel(label)) {
        std::cerr << "plantainpoint-ctl: explain needs a request label VM/INCARNATION/SEQUENCE\n";
        return exitInvalidArguments;
    }
    return show(fetch(admin, "/explain?request=" + label), json);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line("shows what an entry VM knows; operators change the system by publishing", ' ', std::string(version()));
        const TCLAP::ValueArg<std::string> admin("", "admin", "admin port of an entry VM; needed without --logs", false, "", "IP:PORT", line);
        const TCLAP::MultiArg<std::string> logs("", "logs", "log of a VM, with explain and the caller's id of a request", false, "FILE", line);
        TCLAP::SwitchArg json("", "json", "print JSON", line);
        std::vector<std::string> commands{"status", "fleet", "audit", "explain"};
        TCLAP::ValuesConstraint<std::string> allowed(commands);
        const TCLAP::UnlabeledValueArg<std::string> command("command", "status, fleet, audit or explain", true, "", &allowed, line);
        const TCLAP::UnlabeledValueArg<std::string> label("request", "with explain: label of a request, or its id with --logs", false, "", "REQUEST", line);
        line.parse(argc, argv);
        if (!logs.getValue().empty()) {
            if (command.getValue() != "explain" || label.getValue().empty()) {
                std::cerr << "plantainpoint-ctl: --logs needs explain and the id of a request\n";
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
