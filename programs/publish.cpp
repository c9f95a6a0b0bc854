// Main program that reads the operators' service files, validates them and publishes the changed services.
#include <iostream>
#include <random>
#include <thread>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "log_session.hpp"
#include "log_state.hpp"
#include "service_files.hpp"
#include "snapshot_scan.hpp"
#include "version.hpp"

using namespace plantainpoint;
using steady = std::chrono::steady_clock;

namespace {

constexpr int exitAccepted = 0;
constexpr int exitNotSent = 1; // It is certain that nothing was appended.
constexpr int exitInvalid = 2;
constexpr int exitConflict = 3;
constexpr int exitUnknown = 4;
constexpr std::chrono::milliseconds callTimeout{2000};
constexpr std::chrono::milliseconds retryPause{100};
// Void records are sent again after this interval, since their appends may be lost too.
constexpr std::chrono::milliseconds voidInterval{1000};

struct publish_options {
    std::string log;
    std::string author;
    bool check = false;
    bool dryRun = false;
    std::optional<std::uint64_t> base;
    std::chrono::seconds timeout{10};
    std::vector<std::string> folders;
};

// Reads the log with blocking calls.
class log_reader
{
public:
    explicit log_reader(const log_session &session)
        : m_session(session)
    {
    }

    // Applies all entries up to the head of the log. Returns false if the log cannot be read.
    bool readToHead()
    {
        for (;;) {
            const auto answer = m_session.read(m_scan ? m_scan->next() : m_state.applied());
            if (const auto *const failedRead = std::get_if<log_read_failed>(&answer)) {
                if (!failedRead->expired || failedRead->first <= m_state.applied()) {
                    return false;
                }
                m_scan.emplace(failedRead->first);
                continue;
            }
            const auto &read = std::get<log_read>(answer);
            const bool atHead = m_scan ? scanForSnapshot(read) : applyEntries(read);
            if (atHead) {
                return !m_scan;
            }
        }
    }

    const log_state &state() const { return m_state; }
    const std::map<record_id, refused_record> &refused() const { return m_refused; }

private:
    bool applyEntries(const log_read &read)
    {
        for (const auto &entry : read.entries) {
            const auto change = m_state.applyEntry(entry);
            if (!change.ok()) {
                continue;
            }
            for (const auto &refusal : change->refused) {
                m_refused[refusal.id] = refusal;
            }
        }
        return m_state.applied() >= read.head || read.entries.empty();
    }

    bool scanForSnapshot(const log_read &read)
    {
        for (const auto &entry : read.entries) {
            const auto snapshot = m_scan->feed(entry);
            if (snapshot && m_state.install(*snapshot).ok()) {
                m_scan.reset();
                return false;
            }
        }
        return read.entries.empty();
    }

    const log_session &m_session;
    log_state m_state;
    std::optional<snapshot_scan> m_scan;
    std::map<record_id, refused_record> m_refused;
};

enum class publish_outcome : std::uint8_t {
    Accepted,
    Conflict,
    Invalid, // The service conflicts with other published services.
    NotSent,
    Unknown,
};

struct service_result {
    service_name service;
    publish_outcome outcome = publish_outcome::Unknown;
    std::string text;
};

int exitCodeOf(const std::vector<service_result> &results)
{
    const auto contains = [&](publish_outcome outcome) {
        return std::any_of(results.begin(), results.end(), [&](const service_result &result) { return result.outcome == outcome; });
    };
    if (contains(publish_outcome::Unknown)) {
        return exitUnknown;
    }
    if (contains(publish_outcome::Conflict)) {
        return exitConflict;
    }
    if (contains(publish_outcome::Invalid)) {
        return exitInvalid;
    }
    return contains(publish_outcome::NotSent) ? exitNotSent : exitAccepted;
}

void printDifference(const configuration &config, const service_config &service)
{
    const auto current = config.services().find(service.name);
    if (current == config.services().end()) {
        std::cout << service.name.value << ": new service with " << service.routes.size() << " routes, " << service.endpoints.size() << " endpoints, "
                  << service.accounts.size() << " accounts, " << service.keys.size() << " keys\n";
        return;
    }
    nlohmann::json before;
    nlohmann::json after;
    toJson(before, current->second);
    toJson(after, service);
    for (const auto &change : nlohmann::json::diff(before, after)) {
        const auto path = change["path"].get<std::string>();
        std::cout << service.name.value << ": " << change["op"].get<std::string>() << " " << path;
        if (change.contains("value") && path.find("digest") == std::string::npos) {
            std::cout << " " << change["value"].dump();
        }
        std::cout << '\n';
    }
}

class publisher
{
public:
    explicit publisher(const publish_options &options)
        : m_options(options)
        , m_session(options.log, callTimeout)
        , m_reader(m_session)
        , m_deadline(steady::now() + options.timeout)
        , m_incarnation{vm_name{"publish-" + std::to_string(std::random_device{}())}, nowMillis()}
    {
    }

    int run(const std::vector<service_config> &services)
    {
        if (!retry([&] { return m_reader.readToHead(); })) {
            std::cout << "not published: the log cannot be read; nothing was sent\n";
            return exitNotSent;
        }
        for (const auto &service : services) {
            printDifference(m_reader.state().config(), service);
            prepareRecord(service);
        }
        while (!m_options.dryRun && !m_openRecords.empty()) {
            publishOpenRecords();
            republishVoidedRecords();
        }
        for (const auto &result : m_results) {
            std::cout << result.service.value << ": " << result.text << '\n';
        }
        return exitCodeOf(m_results);
    }

private:
    using open_records = std::map<record_id, publication>;

    static std::uint64_t nowMillis()
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
    }

    template<class Operation>
    bool retry(Operation operation) const
    {
        while (!operation()) {
            if (steady::now() >= m_deadline) {
                return false;
            }
            std::this_thread::sleep_for(retryPause);
        }
        return true;
    }

    void addResult(const service_name &service, publish_outcome outcome, std::string text) { m_results.push_back({service, outcome, std::move(text)}); }

    // Records the result of a service if the current state of the log already determines it, or queues the service for publication.
    void prepareRecord(const service_config &service)
    {
        const auto &state = m_reader.state();
        const auto version = state.config().versionOf(service.name);
        publication record{service, m_options.base.value_or(version), m_options.author, {}, false, static_cast<wall_millis>(nowMillis())};
        record.digest = contentDigest(record);
        const auto *const previous = state.lastPublication(service.name);
        const bool unchanged = previous && previous->digest == record.digest && (!m_options.base || previous->base == record.base);
        if (unchanged) {
            addResult(service.name, publish_outcome::Accepted, "accepted, version " + std::to_string(version) + ", unchanged");
        } else if (record.base != version) {
            addResult(service.name, publish_outcome::Conflict, conflictText(record.base, version));
        } else if (const auto conflict = m_options.dryRun ? state.config().conflictOf(service) : std::string{}; !conflict.empty()) {
            addResult(service.name, publish_outcome::Invalid, "invalid, " + conflict);
        } else if (m_options.dryRun) {
            addResult(service.name, publish_outcome::Accepted, "would become version " + std::to_string(version + 1));
        } else {
            m_openRecords.emplace(nextId(), std::move(record));
        }
    }

    static std::string conflictText(std::uint64_t base, std::uint64_t version)
    {
        return "conflict, made from version " + std::to_string(base) + ", the present version is " + std::to_string(version);
    }

    record_id nextId() { return {m_incarnation, ++m_sequence}; }

    void publishOpenRecords()
    {
        std::vector<log_record> batch;
        for (const auto &[id, record] : m_openRecords) {
            batch.push_back({id, record});
        }
        const auto payload = encodeBatch(batch);
        append_answer answer;
        // An append that the log refused before writing may be retried with the same record ids.
        const bool appendSent = retry([&] {
            answer = m_session.append(payload);
            return answer.offset || answer.mayBeCommitted;
        });
        if (!appendSent) {
            closeOpenRecords(publish_outcome::NotSent, "not published, the log does not accept appends; nothing was written");
            return;
        }
        const bool resolved = retry([&] { return resolveOpenRecords(answer.offset.has_value()); });
        if (!resolved) {
            closeOpenRecords(publish_outcome::Unknown, "unknown, the log does not show whether the publication was committed; publish again to find out");
        }
    }

    // Reads the log once and records the results of the open records. After a doubtful append, also appends void records for those that are absent.
    // Returns true if no record is open.
    bool resolveOpenRecords(bool appendAnswered)
    {
        if (!m_reader.readToHead()) {
            return false;
        }
        std::vector<log_record> voids;
        for (auto it = m_openRecords.begin(); it != m_openRecords.end();) {
            const auto recordStatus = m_reader.state().recordStatusOf(it->first);
            if (recordStatus == record_status::Absent) {
                voids.push_back({nextId(), void_record{it->first}});
                ++it;
                continue;
            }
            recordResult(it->first, it->second, recordStatus);
            it = m_openRecords.erase(it);
        }
        if (!voids.empty() && !appendAnswered && steady::now() >= m_nextVoidTime) {
            m_session.append(encodeBatch(voids));
            m_nextVoidTime = steady::now() + voidInterval;
        }
        return m_openRecords.empty();
    }

    void recordResult(const record_id &id, const publication &record, record_status recordStatus)
    {
        const auto &name = record.service.name;
        if (recordStatus == record_status::Void) {
            m_voidedRecords.push_back(record);
            return;
        }
        const auto refusal = m_reader.refused().find(id);
        if (refusal == m_reader.refused().end()) {
            addResult(name, publish_outcome::Accepted, "accepted, version " + std::to_string(record.base + 1));
        } else if (refusal->second.reason == failure::Conflict) {
            addResult(name, publish_outcome::Conflict, "conflict, made from version " + std::to_string(record.base) + ", " + refusal->second.detail);
        } else {
            addResult(name, publish_outcome::Invalid, "invalid, " + refusal->second.detail);
        }
    }

    // Queues voided publications again under new ids. A void record guarantees that the old one never takes effect.
    void republishVoidedRecords()
    {
        for (auto &record : std::exchange(m_voidedRecords, {})) {
            if (steady::now() < m_deadline) {
                m_openRecords.emplace(nextId(), std::move(record));
            } else {
                addResult(record.service.name, publish_outcome::NotSent, "not published, the append was lost and its records are void; publish again");
            }
        }
    }

    void closeOpenRecords(publish_outcome outcome, const std::string &text)
    {
        for (const auto &[id, record] : m_openRecords) {
            addResult(record.service.name, outcome, text);
        }
        m_openRecords.clear();
    }

    const publish_options &m_options;
    log_session m_session;
    log_reader m_reader;
    steady::time_point m_deadline;
    incarnation_id m_incarnation;
    std::uint64_t m_sequence = 0;
    open_records m_openRecords;
    std::vector<publication> m_voidedRecords;
    steady::time_point m_nextVoidTime{};
    std::vector<service_result> m_results;
};

int run(const publish_options &options)
{
    const auto serviceFiles = loadServiceFiles(options.folders);
    for (const auto &problem : serviceFiles.problems) {
        std::cerr << toString(problem) << '\n';
    }
    if (!serviceFiles.problems.empty()) {
        return exitInvalid;
    }
    if (options.check) {
        std::cout << serviceFiles.services.size() << " services are valid\n";
        return exitAccepted;
    }
    if (options.base && serviceFiles.services.size() != 1) {
        std::cerr << "--base requires exactly one folder\n";
        return exitInvalid;
    }
    return publisher(options).run(serviceFiles.services);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine commandLine(
            "publishes service files; exit codes: 0 accepted, 1 nothing sent, 2 invalid files, 3 conflict, 4 unknown", ' ', std::string(version()));
        const TCLAP::ValueArg<std::string> log("", "log", "address of the log service", false, "", "IP:PORT", commandLine);
        const TCLAP::ValueArg<std::string> author("", "author", "name of the author in the audit trail", false, "operator", "NAME", commandLine);
        const TCLAP::SwitchArg check("", "check", "only validate the files", commandLine);
        const TCLAP::SwitchArg dryRun("", "dry-run", "show the changes without publishing them", commandLine);
        const TCLAP::ValueArg<std::uint64_t> base("", "base", "version that the files were made from", false, 0, "N", commandLine);
        const TCLAP::ValueArg<int> timeout("", "timeout", "time after which attempts end, in seconds", false, 10, "S", commandLine);
        const TCLAP::UnlabeledMultiArg<std::string> folders("folders", "one folder per service", true, "DIR", commandLine);
        commandLine.parse(argc, argv);
        publish_options options{
            log.getValue(), author.getValue(), check.getValue(), dryRun.getValue(), {}, std::chrono::seconds(timeout.getValue()), folders.getValue()};
        if (base.isSet()) {
            options.base = base.getValue();
        }
        if (options.log.empty() && !options.check) {
            std::cerr << "plantainpoint-publish: --log is required unless --check is given\n";
            return exitInvalid;
        }
        return run(options);
    } catch (const std::exception &error) {
        // An append may have been committed before the error.
        std::cerr << "plantainpoint-publish: unknown, " << error.what() << '\n';
        return exitUnknown;
    }
}
