// Many relay cores in virtual time, with a network that delays and loses messages and a directory that may turn VMs away.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "fleet_codec.hpp"
#include "plantainpoint/relay_core.hpp"
#include "relay_fixture.hpp"

namespace plantainpoint::test {

// The log of endpoint entries and the newest configuration.
struct simulated_directory {
    struct record {
        endpoint_name name;
        std::optional<relay_endpoint> value;
        bool change = true; // A repeated entry is no change.
    };
    std::vector<record> log;
    std::vector<std::shared_ptr<const relay_config>> configs;
    std::map<std::vector<request_trait>, quarantined_requests> quarantined;
    std::vector<stream_record> streams;
    std::size_t streamsKept = 0; // Records before this one have been deleted.
    std::vector<stream_origin> defaults; // In the order in which they were set.
    std::uint64_t reads = 0;
    // Records of the operator: the data centre, and whether the record evacuates it or was deleted.
    std::vector<std::pair<data_centre_name, bool>> operatorLog;
    std::uint64_t operatorEra = 1;
};

class simulated_fleet
{
public:
    struct settings {
        int vmsPerDataCentre = 6;
        int dataCentres = 2;
        int largePerDataCentre = 0; // VMs with more capacity than the others.
        double loss = 0;
        unsigned seed = 1;
        double limitTolerance = 0;
        std::map<data_centre_name, region_name> regions = {};
    };

    struct vm {
        fleet_member info;
        std::unique_ptr<relay_core> core;
        time_point tickAt = time_point::max(); // Time of the next tick.
        bool frozen = false;
        bool cutFromDirectory = false;
        // What the VM's directory reader holds.
        std::uint64_t next = 0;
        std::uint64_t configNext = 0;
        std::uint64_t lastChange = 0;
        std::uint64_t changesFrom = 0;
        std::vector<std::uint64_t> changes;
        bool loaded = false;
        // Counts since the last resetCounts().
        std::uint64_t sentMessages = 0;
        std::uint64_t bytes = 0; // Sent and received.
        std::vector<relay_dispatch> dispatches;
        std::vector<answer_failure> failures;
        std::size_t streamsNext = 0; // Next record of a stream to read.
        struct known_evacuation {
            bool inForce = false;
            std::uint64_t position = 0;
            std::optional<time_point> since;
        };
        // What the VM's directory reader holds of the operator's records.
        std::map<data_centre_name, known_evacuation> evacuations;
        std::uint64_t operatorNext = 0;
        std::uint64_t operatorEra = 0; // Zero if none was read.
        time_point readStartedAt{};
        std::optional<time_point> operatorReadAt; // Start of the last read that succeeded.
    };

    explicit simulated_fleet(settings fleetSettings)
        : m_settings(fleetSettings)
        , m_random(fleetSettings.seed)
    {
        m_clock.advance(std::chrono::hours{1});
    }

    // Starts all VMs within 300 ms.
    void startAll()
    {
        for (int dc = 0; dc < m_settings.dataCentres; ++dc) {
            for (int i = 0; i < m_settings.vmsPerDataCentre; ++i) {
                vms.emplace_back();
                auto &each = vms.back();
                const auto number = vms.size();
                each.info = {{"vm-" + std::to_string(number)},
                             "10." + std::to_string(dc) + '.' + std::to_string(i / 250) + '.' + std::to_string(1 + i % 250) + ":7500",
                             {"dc-" + std::to_string(dc)},
                             i < m_settings.largePerDataCentre ? 500 : 120,
                             true};
                m_byAddress[each.info.address] = number - 1;
            }
        }
        for (std::size_t i = 0; i < vms.size(); ++i) {
            const auto delay = milliseconds{randomBelow(300)};
            schedule(delay, [this, i] { start(i); });
        }
    }

    void start(std::size_t index)
    {
        auto &each = vms[index];
        auto info = each.info;
        const bool cut = each.cutFromDirectory;
        each = {};
        each.info = std::move(info);
        each.cutFromDirectory = cut;
        each.core = std::make_unique<relay_core>(relay_settings{.self = {each.info.vm, ++m_incarnation},
                                                                .dataCentre = each.info.dataCentre,
                                                                .regions = m_settings.regions,
                                                                .peerAddress = each.info.address,
                                                                .capacity = each.info.capacity,
                                                                .evacuationsExpected = true,
                                                                .limitTolerance = m_settings.limitTolerance,
                                                                .directPrefillLimit = {}},
                                                 m_clock);
        // A VM announces itself and reads the others a moment later, so that VMs that start together find each other.
        schedule(milliseconds{210}, [this, index, core = each.core.get()] {
            if (vms[index].core.get() == core) {
                readMembers(index);
            }
        });
        tick(index);
    }

    void kill(std::size_t index) { vms[index].core.reset(); }

    void runFor(duration time)
    {
        const auto end = m_clock.now() + time;
        while (!m_events.empty() && m_events.top().at <= end) {
            auto event = m_events.top();
            m_events.pop();
            m_clock.advanceTo(event.at);
            event.run();
        }
        m_clock.advanceTo(end);
    }

    // Publishes a configuration and entries of endpoints.
    void publish(const relay_config &config) { directory.configs.push_back(std::make_shared<const relay_config>(config)); }
    void announce(const relay_endpoint &endpoint, bool change = true) { directory.log.push_back({endpoint.name, endpoint, change}); }
    void withdraw(const std::string &name) { directory.log.push_back({{name}, std::nullopt, true}); }

    // The directory loses its history.
    void forgetStreams() { directory.streamsKept = directory.streams.size(); }

    // Writes a record of the operator that evacuates a data centre, or deletes it.
    void evacuate(const std::string &dataCentre, bool inForce = true) { directory.operatorLog.emplace_back(data_centre_name{dataCentre}, inForce); }
    // The directory comes back from a copy that holds the first records of the operator.
    void restoreOperatorLog(std::size_t size)
    {
        directory.operatorLog.resize(size);
        ++directory.operatorEra;
    }

    // Hands a plain request to a VM.
    caller_id submit(std::size_t index, const std::string &target, const std::string &body = {}, const std::string &key = "k-acme")
    {
        auto payload = std::make_shared<relay_payload>();
        payload->id = "id-" + std::to_string(++m_lastCaller);
        payload->host = "shop.example";
        payload->method = "POST";
        payload->target = target;
        payload->body = body;
        vms[index].core->handle(relay_request{.caller = m_lastCaller, .payload = payload, .key = digestOf(key), .timeToDeadline = milliseconds{1000}});
        collect(index);
        return m_lastCaller;
    }
    // Hands a request for a stream to a VM: a new one, or one that goes on after an event of the stream that another request began.
    caller_id submitStream(std::size_t index, const std::string &target, const std::string &resumes, std::optional<std::uint64_t> resumeAfter)
    {
        auto payload = std::make_shared<relay_payload>();
        payload->id = idOf(++m_lastCaller);
        payload->host = "shop.example";
        payload->method = "POST";
        payload->target = target;
        const auto caller = m_lastCaller;
        vms[index].core->handle(relay_request{.caller = caller,
                                              .payload = payload,
                                              .key = digestOf("k-acme"),
                                              .timeToDeadline = std::chrono::seconds{14},
                                              .resumeAfter = resumeAfter,
                                              .resumes = resumes});
        collect(index);
        return caller;
    }
    static std::string idOf(caller_id caller) { return "id-" + std::to_string(caller); }
    // Hands a model request to a VM. The endpoints see the parts of its prompt in the payload's body.
    caller_id submitModel(std::size_t index, const std::string &target, const std::vector<std::string> &parts, duration timeToDeadline)
    {
        auto payload = std::make_shared<relay_payload>();
        payload->id = "id-" + std::to_string(++m_lastCaller);
        payload->host = "shop.example";
        payload->method = "POST";
        payload->target = target;
        relay_request request{
            .caller = m_lastCaller, .key = digestOf("k-acme"), .timeToDeadline = timeToDeadline, .tokens = token_count{500, 50, {}}, .parts = {}};
        for (const auto &part : parts) {
            request.parts.push_back({part});
            payload->body += part + ' ';
        }
        request.payload = payload;
        vms[index].core->handle(std::move(request));
        collect(index);
        return m_lastCaller;
    }
    // Hands a message to a VM whose process runs.
    void deliver(std::size_t index, relay_input message)
    {
        if (vms[index].core) {
            vms[index].core->handle(std::move(message));
            collect(index);
        }
    }
    // Sends a plain request and returns the endpoint that it was sent to within the time in which a hub answers, or nothing.
    std::optional<std::string> request(std::size_t index, const std::string &target)
    {
        const auto before = vms[index].dispatches.size();
        const auto refusedBefore = vms[index].failures.size();
        submit(index, target);
        // A VM places by itself when the ask or its answer is lost.
        for (int i = 0; i < 60 && vms[index].dispatches.size() == before && vms[index].failures.size() == refusedBefore; ++i) {
            runFor(milliseconds{1});
        }
        return vms[index].core && vms[index].dispatches.size() > before ? std::optional(vms[index].dispatches.back().endpoint.value) : std::nullopt;
    }
    void answer(std::size_t index, const relay_dispatch &dispatch)
    {
        if (vms[index].core) {
            vms[index].core->handle(relay_reply{.attempt = dispatch.attempt, .status = 200, .body = "b", .genuine = true});
            collect(index);
        }
    }

    // Returns the result of a connection of a VM to an endpoint, directly or through a proxy. The VM learns the proxies that are named.
    probe_result connect(std::size_t index, const endpoint_name &endpoint, std::int64_t startedAt, const std::string &proxy)
    {
        if (proxy.empty()) {
            return listens(endpoint) && reaches(index, endpoint) ? probe_result::Reached : probe_result::Unreachable;
        }
        const auto helper = m_byAddress.at(proxy);
        if (!vms[helper].core || vms[helper].frozen || cutLinks.contains({index, helper}) || cutLinks.contains({helper, index})) {
            return probe_result::ProxyFailed;
        }
        const auto admitted = vms[helper].core->admitProxied(endpoint, startedAt);
        if (!admitted.otherProxies.empty()) {
            schedule(milliseconds{1}, [this, index, named = admitted.otherProxies] { deliver(index, proxies_named{named}); });
        }
        if (!admitted.refusal.empty()) {
            return probe_result::ProxyFailed;
        }
        if (listens(endpoint) && reaches(helper, endpoint)) {
            return probe_result::Reached;
        }
        const bool reachesOthers = std::any_of(admitted.otherAddresses.begin(), admitted.otherAddresses.end(), [&](const auto &address) {
            const auto found =
                std::find_if(directory.log.begin(), directory.log.end(), [&](const auto &record) { return record.value && record.value->address == address; });
            return found != directory.log.end() && listens(found->name) && reaches(helper, found->name);
        });
        return reachesOthers ? probe_result::Unreachable : probe_result::ProxyFailed;
    }

    bool isHub(std::size_t index) const { return vms[index].core && vms[index].core->metrics().at("hub").get<bool>(); }
    std::string role(std::size_t index) const { return vms[index].core->status().at("role").get<std::string>(); }
    std::string follows(std::size_t index) const { return vms[index].core->status().at("follows").get<std::string>(); }
    std::int64_t heard(std::size_t index) const { return vms[index].core->status().at("vms_heard").get<std::int64_t>(); }
    std::optional<std::size_t> reader() const
    {
        for (std::size_t i = 0; i < vms.size(); ++i) {
            if (vms[i].core && !vms[i].frozen && role(i) == "reader") {
                return i;
            }
        }
        return std::nullopt;
    }
    void resetCounts()
    {
        directory.reads = 0;
        for (auto &each : vms) {
            each.sentMessages = 0;
            each.bytes = 0;
        }
    }
    void schedule(duration delay, std::function<void()> run) { m_events.push({m_clock.now() + delay, ++m_eventNumber, std::move(run)}); }
    std::mt19937 &random() { return m_random; }
    caller_id lastCaller() const { return m_lastCaller; }
    time_point now() const { return m_clock.now(); }
    int randomBelow(int count) { return std::uniform_int_distribution<int>(0, count - 1)(m_random); }

    std::deque<vm> vms;
    simulated_directory directory;
    bool directoryDown = false;
    std::function<void(std::size_t, const relay_dispatch &)> onDispatch;
    std::function<void(caller_id)> onAnswer;
    std::function<void(const answer_failure &)> onFailure;
    std::function<void(caller_id, const std::string &)> onStreamBytes;
    std::function<void(caller_id)> onAbort;
    std::function<void(std::size_t, attempt_number)> onAttemptAbort;
    std::function<bool(const endpoint_name &)> listens = [](const endpoint_name &) { return true; };
    // Whether a VM can connect to an endpoint that listens, and how long a connection that cannot be established takes to fail.
    std::function<bool(std::size_t, const endpoint_name &)> reaches = [](std::size_t, const endpoint_name &) { return true; };
    duration connectFailureTime = milliseconds{1};
    duration configurationReadTime{}; // Time by which a read of the configuration takes longer than one of the endpoints.
    std::set<std::pair<std::size_t, std::size_t>> cutLinks; // Messages from the first VM to the second one are lost.

private:
    struct event {
        time_point at;
        std::uint64_t number = 0;
        std::function<void()> run;
        bool operator<(const event &other) const { return at != other.at ? at > other.at : number > other.number; }
    };

    // Ticks the core when it asks for it. A tick of an earlier run of the VM is dropped.
    void tick(std::size_t index)
    {
        auto *const core = vms[index].core.get();
        if (core == nullptr) {
            return;
        }
        if (vms[index].frozen) {
            schedule(milliseconds{100}, [this, index, core] { tickIfCurrent(index, core); });
            return;
        }
        core->tick();
        vms[index].tickAt = time_point::max();
        collect(index);
    }
    // Schedules the next tick, which a message may have made earlier.
    void armTick(std::size_t index)
    {
        auto *const core = vms[index].core.get();
        const auto next = std::max(core->nextTick(), m_clock.now() + milliseconds{1});
        if (next < vms[index].tickAt) {
            vms[index].tickAt = next;
            schedule(next - m_clock.now(), [this, index, core] { tickIfCurrent(index, core); });
        }
    }
    void tickIfCurrent(std::size_t index, const relay_core *core)
    {
        if (vms[index].core.get() == core) {
            tick(index);
        }
    }

    void collect(std::size_t index)
    {
        if (!vms[index].core) {
            return;
        }
        for (auto &each : vms[index].core->take()) {
            std::visit([&](auto &command) { on(index, command); }, each);
        }
        armTick(index);
    }

    void on(std::size_t index, relay_dispatch &command)
    {
        vms[index].dispatches.push_back(command);
        if (onDispatch) {
            onDispatch(index, command);
        }
    }
    void on(std::size_t /*index*/, answer_plain &command)
    {
        if (onAnswer) {
            onAnswer(command.caller);
        }
    }
    void on(std::size_t index, answer_failure &command)
    {
        vms[index].failures.push_back(command);
        if (onFailure) {
            onFailure(command);
        }
    }
    void on(std::size_t /*index*/, answer_stream_bytes &command)
    {
        if (onStreamBytes) {
            onStreamBytes(command.caller, command.bytes);
        }
    }
    void on(std::size_t /*index*/, answer_stream_end &command)
    {
        if (onAnswer) {
            onAnswer(command.caller);
        }
    }
    void on(std::size_t /*index*/, abort_answer &command)
    {
        if (onAbort) {
            onAbort(command.caller);
        }
    }
    void on(std::size_t index, relay_abort &command)
    {
        if (onAttemptAbort) {
            onAttemptAbort(index, command.attempt);
        }
    }
    void on(std::size_t index, send_heartbeat &command)
    {
        transmit(index, command.address, encodeHeartbeat(*command.heartbeatMessage).size(), *command.heartbeatMessage);
    }
    void on(std::size_t index, send_summary &command)
    {
        auto summary = *command.summary;
        summary.receiverIncarnation = command.receiverIncarnation;
        summary.acknowledged = command.acknowledged;
        auto &cached = m_bodySizes[index][command.summary->scope];
        if (cached.first != command.summary) {
            cached = {command.summary, encodeSummary(encodeSummaryBody(*command.summary), 0, 0).size()};
        }
        transmit(index, command.address, cached.second, std::move(summary));
    }
    void on(std::size_t index, send_ask &command) { transmit(index, command.address, encodeAsk(command.ask).size(), std::move(command.ask)); }
    void on(std::size_t index, send_grant &command) { transmit(index, command.address, encodeGrant(command.grant).size(), std::move(command.grant)); }
    void on(std::size_t index, send_record_ask &command) { transmit(index, command.address, encodeRecordAsk(*command.ask).size(), *command.ask); }
    void on(std::size_t index, send_record_answer &command)
    {
        transmit(index, command.address, encodeRecordAnswer(command.answer).size(), std::move(command.answer));
    }
    void on(std::size_t index, send_origin_ask &command) { transmit(index, command.address, encodeOriginAsk(command.ask).size(), std::move(command.ask)); }
    void on(std::size_t index, send_origin_answer &command)
    {
        transmit(index, command.address, encodeOriginAnswer(command.answer).size(), std::move(command.answer));
    }
    void on(std::size_t index, read_directory &command)
    {
        ++directory.reads;
        ++directory.reads; // One call for the configuration and one for the endpoints.
        auto &each = vms[index];
        each.next = each.loaded ? std::max(each.next, command.position) : 0;
        each.readStartedAt = m_clock.now();
        schedule(milliseconds{4}, [this, index, core = each.core.get()] { finishRead(index, core); });
    }
    void on(std::size_t index, read_members & /*command*/)
    {
        ++directory.reads;
        schedule(milliseconds{4}, [this, index] { readMembers(index); });
    }
    void on(std::size_t index, import_directory_changes &command)
    {
        std::vector<std::uint64_t> offsets;
        std::size_t position = 0;
        while (position < command.changes->size()) {
            std::size_t used = 0;
            offsets.push_back(std::stoull(command.changes->substr(position), &used));
            position += used + 1;
        }
        apply(index, offsets, command.position, true);
    }
    void on(std::size_t index, fetch_fleet_state &command)
    {
        const auto sender = m_byAddress.at(command.address);
        schedule(milliseconds{5}, [this, index, sender] {
            const auto &from = vms[sender];
            auto &to = vms[index];
            const bool isBehind = from.next > to.next || from.configNext > to.configNext || to.operatorEra == 0;
            if (from.core && to.core && from.loaded && (!to.loaded || isBehind)) {
                importEvacuations(index, from);
                // The whole state weighs about 300 bytes an endpoint.
                constexpr std::uint64_t entrySize = 300;
                vms[index].bytes += entrySize * from.next;
                load(index, std::max(from.next, to.next), std::max(from.configNext, to.configNext), true);
            }
            deliver(index, fleet_state_fetched{});
        });
    }
    void on(std::size_t index, check_endpoint &command)
    {
        schedule(milliseconds{51}, [this, index, name = command.endpoint] { deliver(index, endpoint_checked{name, !listens(name)}); });
    }
    void on(std::size_t index, check_answer_end &command)
    {
        schedule(command.watchTime, [this, index, command] {
            deliver(index, answer_end_checked{command.attempt, listens(command.endpoint) ? end_check::Accepted : end_check::Refused, command.watchTime});
        });
    }
    void on(std::size_t index, probe_endpoint &command)
    {
        const auto result = connect(index, command.endpoint, command.startedAt, command.proxy);
        const auto delay = result == probe_result::Reached ? milliseconds{1} : connectFailureTime + milliseconds{1};
        schedule(delay, [this, index, command, result] { deliver(index, endpoint_probed{command.endpoint, command.proxy, result}); });
    }
    void on(std::size_t index, store_quarantine &command)
    {
        if (directoryDown || vms[index].cutFromDirectory) {
            return;
        }
        schedule(milliseconds{4}, [this, quarantined = command.quarantined] {
            if (quarantined.released || quarantined.left <= duration{}) {
                directory.quarantined.erase(quarantined.traits);
            } else {
                directory.quarantined[quarantined.traits] = quarantined;
            }
        });
    }
    // Runs the call when the directory has got it, and delivers its result, unless the directory does not answer.
    void callDirectory(std::size_t index, std::function<relay_input()> call, relay_input failed)
    {
        ++directory.reads;
        const bool answers = !directoryDown && !vms[index].cutFromDirectory;
        schedule(milliseconds{answers ? 2 : 600}, [this, index, answers, core = vms[index].core.get(), call = std::move(call), failed = std::move(failed)] {
            auto result = answers ? call() : failed;
            schedule(milliseconds{2}, [this, index, core, result = std::move(result)] {
                if (vms[index].core.get() == core && core != nullptr) {
                    deliver(index, result);
                }
            });
        });
    }
    void on(std::size_t index, read_stream_records &command)
    {
        const auto startedAt = m_clock.now();
        callDirectory(
            index,
            [this, index, startedAt, command] {
                stream_records_read read{.succeeded = true, .all = command.all, .age = m_clock.now() - startedAt + milliseconds{2}};
                auto &next = vms[index].streamsNext;
                if (command.all) {
                    next = directory.streamsKept;
                }
                read.lacksOlder = next < directory.streamsKept;
                next = std::max(next, directory.streamsKept);
                read.streams.assign(directory.streams.begin() + static_cast<std::ptrdiff_t>(std::min(next, directory.streams.size())), directory.streams.end());
                next = directory.streams.size();
                if (command.defaults) {
                    read.defaults = directory.defaults;
                    read.defaultsEnd = directory.defaults.size();
                }
                return read;
            },
            stream_records_read{});
    }
    void on(std::size_t index, append_stream_records &command)
    {
        callDirectory(
            index,
            [this, records = command.records] {
                directory.streams.insert(directory.streams.end(), records.begin(), records.end());
                return stream_records_appended{true};
            },
            stream_records_appended{});
    }
    void on(std::size_t index, set_default_versions &command)
    {
        callDirectory(
            index,
            [this, command] {
                if (command.end == directory.defaults.size()) {
                    directory.defaults.insert(directory.defaults.end(), command.origins.begin(), command.origins.end());
                }
                return default_versions_set{};
            },
            default_versions_set{});
    }
    template<class Command>
    void on(std::size_t /*index*/, Command & /*command*/)
    {
    }

    template<class Message>
    void transmit(std::size_t from, const std::string &address, std::size_t size, Message message)
    {
        const auto to = m_byAddress.at(address);
        ++vms[from].sentMessages;
        vms[from].bytes += size;
        const bool lost = std::uniform_real_distribution<double>(0, 1)(m_random) < m_settings.loss || cutLinks.contains({from, to});
        if (lost || !vms[to].core || vms[to].frozen) {
            return;
        }
        const auto delay = vms[from].info.dataCentre == vms[to].info.dataCentre ? std::chrono::microseconds{100} : std::chrono::microseconds{1400};
        schedule(delay, [this, to, size, message = std::move(message)] {
            if (vms[to].core && !vms[to].frozen) {
                vms[to].bytes += size;
                vms[to].core->handle(message);
                collect(to);
            }
        });
    }

    void finishRead(std::size_t index, const relay_core *core)
    {
        auto &each = vms[index];
        if (each.core.get() != core) {
            return;
        }
        const bool succeeded = !directoryDown && !each.cutFromDirectory;
        if (succeeded) {
            readOperatorLog(index);
        }
        if (succeeded && !each.loaded) {
            load(index, directory.log.size(), directory.configs.size(), false);
        } else if (succeeded) {
            std::vector<std::uint64_t> offsets;
            for (auto offset = each.next; offset < directory.log.size(); ++offset) {
                offsets.push_back(offset);
            }
            applyConfig(index, directory.configs.size());
            apply(index, offsets, directory.log.size(), false);
        }
        collect(index);
        // The read ends with the slower one of its parts, that of the configuration.
        schedule(succeeded ? configurationReadTime : duration{}, [this, index, core, succeeded] {
            if (vms[index].core.get() == core) {
                endRead(index, succeeded);
            }
        });
    }

    void endRead(std::size_t index, bool succeeded)
    {
        auto &each = vms[index];
        if (succeeded) {
            reportState(index);
            quarantine_read read;
            for (const auto &[traits, quarantined] : directory.quarantined) {
                read.quarantined.push_back(quarantined);
            }
            each.core->handle(std::move(read));
        }
        each.core->handle(directory_read_finished{succeeded});
        collect(index);
    }

    static std::uint64_t operatorPosition(std::uint64_t era, std::uint64_t offset) { return era << 40U | offset; }

    static void applyEvacuation(vm &each, const data_centre_name &dataCentre, bool inForce, std::uint64_t position, std::optional<time_point> since)
    {
        auto &known = each.evacuations[dataCentre];
        if (position < known.position) {
            return;
        }
        known.position = position;
        if (known.inForce != inForce) {
            known.inForce = inForce;
            known.since = since;
        }
    }

    void reportEvacuations(std::size_t index, std::uint64_t completeTo)
    {
        auto &each = vms[index];
        evacuations_read read{.completeFrom = completeTo > 0 ? operatorPosition(each.operatorEra, 0) : 0, .completeTo = completeTo};
        for (const auto &[dataCentre, known] : each.evacuations) {
            read.evacuations.push_back({dataCentre, known.inForce, known.position, known.since ? m_clock.now() - *known.since : duration::max()});
        }
        each.core->handle(std::move(read));
    }

    // Reads the operator's records as a whole at first and in a new era, and otherwise those that were written since.
    void readOperatorLog(std::size_t index)
    {
        auto &each = vms[index];
        const auto &log = directory.operatorLog;
        const auto era = directory.operatorEra;
        if (each.operatorEra != era) {
            std::map<data_centre_name, bool> newest;
            for (const auto &[dataCentre, inForce] : log) {
                newest[dataCentre] = inForce;
            }
            const auto end = operatorPosition(era, log.size());
            for (auto &[dataCentre, known] : each.evacuations) {
                if (known.inForce && known.position >> 40U == era && known.position < end && !newest[dataCentre]) {
                    known = {false, end, std::nullopt};
                }
            }
            each.operatorEra = era;
            for (const auto &[dataCentre, inForce] : newest) {
                if (inForce) {
                    applyEvacuation(each, dataCentre, true, end, each.operatorReadAt);
                }
            }
            each.operatorNext = log.size();
            reportEvacuations(index, end);
        } else if (each.operatorNext < log.size()) {
            for (; each.operatorNext < log.size(); ++each.operatorNext) {
                const auto &[dataCentre, inForce] = log[each.operatorNext];
                applyEvacuation(each, dataCentre, inForce, operatorPosition(era, each.operatorNext + 1), each.operatorReadAt);
            }
            reportEvacuations(index, 0);
        }
        each.operatorReadAt = each.readStartedAt;
    }

    // Takes over what the directory reader of another VM holds of the operator's records.
    void importEvacuations(std::size_t index, const vm &from)
    {
        auto &to = vms[index];
        for (const auto &[dataCentre, known] : from.evacuations) {
            applyEvacuation(to, dataCentre, known.inForce, known.position, known.since);
        }
        if (operatorPosition(from.operatorEra, from.operatorNext) > operatorPosition(to.operatorEra, to.operatorNext)) {
            to.operatorEra = from.operatorEra;
            to.operatorNext = from.operatorNext;
        }
        if (from.operatorEra > 0) {
            reportEvacuations(index, 0);
        }
    }

    void applyConfig(std::size_t index, std::uint64_t configNext)
    {
        auto &each = vms[index];
        if (configNext > each.configNext) {
            each.configNext = configNext;
            each.core->handle(configuration_read{directory.configs[configNext - 1]});
        }
    }

    void load(std::size_t index, std::uint64_t next, std::uint64_t configNext, bool imported)
    {
        auto &each = vms[index];
        std::map<endpoint_name, relay_endpoint> newest;
        for (std::uint64_t offset = 0; offset < next; ++offset) {
            const auto &record = directory.log[offset];
            newest.erase(record.name);
            if (record.value) {
                newest.emplace(record.name, *record.value);
            }
        }
        directory_read read{.whole = true, .position = next, .imported = imported};
        for (const auto &[name, value] : newest) {
            read.changed.push_back({name, value});
        }
        each.loaded = true;
        each.next = next;
        each.lastChange = next;
        each.changesFrom = next;
        each.changes.clear();
        applyConfig(index, configNext);
        each.core->handle(read);
        if (imported) {
            reportState(index);
        }
    }

    void apply(std::size_t index, const std::vector<std::uint64_t> &offsets, std::uint64_t next, bool imported)
    {
        auto &each = vms[index];
        directory_read read{.position = std::max(each.next, next), .imported = imported};
        for (const auto offset : offsets) {
            const auto &record = directory.log[offset];
            if (offset < each.next || !record.change) {
                continue;
            }
            read.changed.push_back({record.name, record.value});
            each.changes.push_back(offset);
            each.lastChange = offset + 1;
        }
        each.next = read.position;
        if (!read.changed.empty()) {
            each.core->handle(read);
        }
        if (imported) {
            reportState(index);
        }
    }

    void reportState(std::size_t index)
    {
        auto &each = vms[index];
        directory_state state{
            .configVersion = each.configNext, .configSize = 1000, .position = each.next, .lastChange = each.lastChange, .changesFrom = each.changesFrom};
        std::string text;
        for (const auto offset : each.changes) {
            text += std::to_string(offset) + ',';
        }
        state.changes = text.empty() ? nullptr : std::make_shared<const std::string>(std::move(text));
        each.core->handle(std::move(state));
        collect(index);
    }

    void readMembers(std::size_t index)
    {
        if (!vms[index].core || directoryDown || vms[index].cutFromDirectory) {
            return;
        }
        members_read read;
        for (const auto &each : vms) {
            read.members.push_back(each.info);
        }
        vms[index].core->handle(std::move(read));
        collect(index);
    }

    settings m_settings;
    std::mt19937 m_random;
    manual_clock m_clock;
    std::priority_queue<event> m_events;
    std::uint64_t m_eventNumber = 0;
    std::uint64_t m_incarnation = 0;
    caller_id m_lastCaller = 0;
    std::map<std::string, std::size_t> m_byAddress;
    std::map<std::size_t, std::map<summary_scope, std::pair<std::shared_ptr<const fleet_summary>, std::size_t>>> m_bodySizes;
};

} // namespace plantainpoint::test
