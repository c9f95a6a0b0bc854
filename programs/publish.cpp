// collects the operators' files, checks them and publishes what has changed
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
constexpr int exitNotSent = 1; // certainly nothing was appended
constexpr int exitInvalid = 2;
constexpr int exitConflict = 3;
constexpr int exitUnknown = 4;
constexpr std::chrono::milliseconds callTimeout{2000};
constexpr std::chrono::milliseconds retryPause{100};
// void records may be lost too
constexpr std::chrono::milliseconds voidInterval{1000};

struct options {
    std::string log;
    std::string author;
    bool check = false;
    bool dryRun = false;
    std::optional<std::uint64_t> base;
    std::chrono::seconds timeout{10};
    std::vector<std::string> folders;
};

// the log as one reader that is not in a hurry
class log_reader
{
public:
    explicit log_reader(const log_session &session)
        : m_session(session)
    {
    }

    // applies everything up to the head; false when the log cannot be read
    bool readOn()
    {
        for (;;) {
            const auto answer = m_session.read(m_scan ? m_scan->next() : m_state.applied());
            if (const auto *const failed = std::get_if<log_read_failed>(&answer)) {
                if (!failed->expired || failed->first <= m_state.applied()) {
                    return false;
                }
                m_scan.emplace(failed->first);
                continue;
            }
            const auto &read = std::get<log_read>(answer);
            const bool atHead = m_scan ? scan(read) : applyEntry(read);
            if (atHead) {
                return !m_scan;
            }
        }
    }

    const log_state &state() const { return m_state; }
    const std::map<record_id, refused_record> &refused() const { return m_refused; }

private:
    bool applyEntry(const log_read &read)
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

    bool scan(const log_read &read)
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

enum class verdict : std::uint8_t {
    Accepted,
    Conflict,
    Invalid, // refused by the rules on services that stand beside each other
    NotSent,
    Unknown,
};

struct service_result {
    service_name service;
    verdict answer = verdict::Unknown;
    std::string text;
};

int exitCodeOf(const std::vector<service_result> &results)
{
    const auto any = [&](verdict wanted) {
        return std::any_of(results.begin(), results.end(), [&](const service_result &result) { return result.answer == wanted; });
    };
    if (any(verdict::Unknown)) {
        return exitUnknown;
    }
    if (any(verdict::Conflict)) {
        return exitConflict;
    }
    if (any(verdict::Invalid)) {
        return exitInvalid;
    }
    return any(verdict::NotSent) ? exitNotSent : exitAccepted;
}

void showDifference(const configuration &config, const service_config &wanted)
{
    const auto present = config.services().find(wanted.name);
    if (present == config.services().end()) {
        std::cout << wanted.name.value << ": new service with " << wanted.routes.size() << " routes, " << wanted.endpoints.size() << " endpoints, "
                  << wanted.accounts.size() << " accounts, " << wanted.keys.size() << " keys\n";
        return;
    }
    nlohmann::json before;
    nlohmann::json after;
    toJson(before, present->second);
    toJson(after, wanted);
    for (const auto &change : nlohmann::json::diff(before, after)) {
        const auto path = change["path"].get<std::string>();
        std::cout << wanted.name.value << ": " << change["op"].get<std::string>() << " " << path;
        if (change.contains("value") && path.find("digest") == std::string::npos) {
            std::cout << " " << change["value"].dump();
        }
        std::cout << '\n';
    }
}

class publisher
{
public:
    explicit publisher(const options &wanted)
        : m_options(wanted)
        , m_session(wanted.log, callTimeout)
        , m_reader(m_session)
        , m_deadline(steady::now() + wanted.timeout)
        , m_self{vm_name{"publish-" + std::to_string(std::random_device{}())}, nowMillis()}
    {
    }

    int run(const std::vector<service_config> &services)
    {
        if (!retry([&] { return m_reader.readOn(); })) {
            std::cout << "not published: the log cannot be read; nothing was sent\n";
            return exitNotSent;
        }
        for (const auto &service : services) {
            showDifference(m_reader.state().config(), service);
            prepare(service);
        }
        while (!m_options.dryRun && !m_open.empty()) {
            publish();
            publishVoidedAgain();
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
        const auto since = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
    }

    template<class Step>
    bool retry(Step step) const
    {
        while (!step()) {
            if (steady::now() >= m_deadline) {
                return false;
            }
            std::this_thread::sleep_for(retryPause);
        }
        return true;
    }

    void add(const service_name &service, verdict answer, std::string text) { m_results.push_back({service, answer, std::move(text)}); }

    // decides what the present state of the log decides already
    void prepare(const service_config &service)
    {
        const auto &state = m_reader.state();
        const auto version = state.config().versionOf(service.name);
        publication record{service, m_options.base.value_or(version), m_options.author, {}, false, static_cast<wall_millis>(nowMillis())};
        record.digest = contentDigest(record);
        const auto *const last = state.lastPublication(service.name);
        const bool same = last && last->digest == record.digest && (!m_options.base || last->base == record.base);
        if (same) {
            add(service.name, verdict::Accepted, "accepted, version " + std::to_string(version) + ", unchanged");
        } else if (record.base != version) {
            add(service.name, verdict::Conflict, conflictText(record.base, version));
        } else if (const auto clash = m_options.dryRun ? state.config().conflictOf(service) : std::string{}; !clash.empty()) {
            add(service.name, verdict::Invalid, "invalid, " + clash);
        } else if (m_options.dryRun) {
            add(service.name, verdict::Accepted, "would become version " + std::to_string(version + 1));
        } else {
            m_open.emplace(nextId(), std::move(record));
        }
    }

    static std::string conflictText(std::uint64_t base, std::uint64_t version)
    {
        return "conflict, made from version " + std::to_string(base) + ", the present version is " + std::to_string(version);
    }

    record_id nextId() { return {m_self, ++m_sequence}; }

    void publish()
    {
        std::vector<log_record> batch;
        for (const auto &[id, record] : m_open) {
            batch.push_back({id, record});
        }
        const auto payload = encodeBatch(batch);
        append_answer answer;
        // a refusal before writing may be tried again under the same ids
        const bool sent = retry([&] {
            answer = m_session.append(payload);
            return answer.offset || answer.mayBeCommitted;
        });
        if (!sent) {
            giveUp(verdict::NotSent, "not published, the log does not take appends; nothing was written");
            return;
        }
        const bool settled = retry([&] { return settle(answer.offset.has_value()); });
        if (!settled) {
            giveUp(verdict::Unknown, "unknown, the log does not tell; publish again to find out");
        }
    }

    // one round of reading, and of void records for what is absent; true when nothing is open
    bool settle(bool answered)
    {
        if (!m_reader.readOn()) {
            return false;
        }
        std::vector<log_record> voids;
        for (auto item = m_open.begin(); item != m_open.end();) {
            const auto recordStatus = m_reader.state().recordStatusOf(item->first);
            if (recordStatus == record_status::Absent) {
                voids.push_back({nextId(), void_record{item->first}});
                ++item;
                continue;
            }
            conclude(item->first, item->second, recordStatus);
            item = m_open.erase(item);
        }
        if (!voids.empty() && !answered && steady::now() >= m_nextVoid) {
            m_session.append(encodeBatch(voids));
            m_nextVoid = steady::now() + voidInterval;
        }
        return m_open.empty();
    }

    void conclude(const record_id &id, const publication &record, record_status recordStatus)
    {
        const auto &name = record.service.name;
        if (recordStatus == record_status::Void) {
            m_voided.push_back(record);
            return;
        }
        const auto refusal = m_reader.refused().find(id);
        if (refusal == m_reader.refused().end()) {
            add(name, verdict::Accepted, "accepted, version " + std::to_string(record.base + 1));
        } else if (refusal->second.reason == failure::Conflict) {
            add(name, verdict::Conflict, "conflict, made from version " + std::to_string(record.base) + ", " + refusal->second.detail);
        } else {
            add(name, verdict::Invalid, "invalid, " + refusal->second.detail);
        }
    }

    // a void record proves that the publication never takes effect
    void publishVoidedAgain()
    {
        for (auto &record : std::exchange(m_voided, {})) {
            if (steady::now() < m_deadline) {
                m_open.emplace(nextId(), std::move(record));
            } else {
                add(record.service.name, verdict::NotSent, "not published, the append was lost and is void; publish again");
            }
        }
    }

    void giveUp(verdict answer, const std::string &text)
    {
        for (const auto &[id, record] : m_open) {
            add(record.service.name, answer, text);
        }
        m_open.clear();
    }

    const options &m_options;
    log_session m_session;
    log_reader m_reader;
    steady::time_point m_deadline;
    incarnation_id m_self;
    std::uint64_t m_sequence = 0;
    open_records m_open;
    std::vector<publication> m_voided;
    steady::time_point m_nextVoid{};
    std::vector<service_result> m_results;
};

int run(const options &wanted)
{
    const auto files = loadServiceFiles(wanted.folders);
    for (const auto &problem : files.problems) {
        std::cerr << toString(problem) << '\n';
    }
    if (!files.problems.empty()) {
        return exitInvalid;
    }
    if (wanted.check) {
        std::cout << files.services.size() << " services are valid\n";
        return exitAccepted;
    }
    if (wanted.base && files.services.size() != 1) {
        std::cerr << "--base needs exactly one folder\n";
        return exitInvalid;
    }
    return publisher(wanted).run(files.services);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line(
            "publishes service files; exit codes: 0 accepted, 1 nothing sent, 2 invalid files, 3 conflict, 4 unknown", ' ', std::string(version()));
        const TCLAP::ValueArg<std::string> log("", "log", "address of the log", false, "", "IP:PORT", line);
        const TCLAP::ValueArg<std::string> author("", "author", "name for the audit trail", false, "operator", "NAME", line);
        const TCLAP::SwitchArg check("", "check", "only check the files", line);
        const TCLAP::SwitchArg dryRun("", "dry-run", "show what would change", line);
        const TCLAP::ValueArg<std::uint64_t> base("", "base", "version that the files were made from", false, 0, "N", line);
        const TCLAP::ValueArg<int> timeout("", "timeout", "how long to try, in seconds", false, 10, "S", line);
        const TCLAP::UnlabeledMultiArg<std::string> folders("folders", "one folder per service", true, "DIR", line);
        line.parse(argc, argv);
        options wanted{
            log.getValue(), author.getValue(), check.getValue(), dryRun.getValue(), {}, std::chrono::seconds(timeout.getValue()), folders.getValue()};
        if (base.isSet()) {
            wanted.base = base.getValue();
        }
        if (wanted.log.empty() && !wanted.check) {
            std::cerr << "plantainpoint-publish: --log is needed without --check\n";
            return exitInvalid;
        }
        return run(wanted);
    } catch (const std::exception &error) {
        // an append may have landed before the error
        std::cerr << "plantainpoint-publish: unknown, " << error.what() << '\n';
        return exitUnknown;
    }
}
