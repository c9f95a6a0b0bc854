// Runs one core in virtual time with a log, a VM list and engines that answer at once.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "plantainpoint/vm_core.hpp"
#include "sample_config.hpp"

namespace plantainpoint {

class fixed_wall_clock final : public wall_clock_source
{
public:
    wall_millis now() const override { return 1'700'000'000'000; }
};

// Advances virtual time by timePerReading with each reading, as real time passes between two readings in one call.
class auto_advancing_clock final : public clock_source
{
public:
    time_point now() const override { return m_now += timePerReading; }
    void advanceTo(time_point target) { m_now = std::max(m_now, target); }

    duration timePerReading{};

private:
    mutable time_point m_now{};
};

class core_fixture
{
public:
    core_fixture()
        : core(vm_settings{incarnation_id{vm_name{"vm-1"}, 1}, data_centre_name{"dc-a"}, region_name{"reykjanes"}, "127.0.0.1:7001"}, clock, wallClock)
    {
    }

    // Makes the core a member that has the configuration and capacity for every account.
    void start(const service_config &config = pressConfig())
    {
        publish(config);
        advance(std::chrono::seconds(15));
        sentCommands.clear();
    }

    // Returns a configuration with lookup, booking, model and open routes, and with two prefill, two decode and two plain endpoints.
    static service_config pressConfig()
    {
        auto config = sample::service("press");
        config.routes.push_back({"POST", "/v1/completions", route_kind::Model, route_access::Keyed, std::chrono::milliseconds(10'000)});
        config.routes.push_back({"GET", "/open", route_kind::Lookup, route_access::Open, std::chrono::milliseconds(1'000)});
        config.endpoints.push_back(sample::plainEndpoint("press-other", 9001));
        config.models.push_back(model_entry{model_name{"juice"}, "1", {}, 8'000, 100, urgency::Interactive});
        for (const auto *name : {"prefill-1", "prefill-2", "decode-1", "decode-2"}) {
            auto worker = sample::plainEndpoint(name, 9100 + static_cast<int>(config.endpoints.size()));
            worker.role = std::string(name).starts_with("prefill") ? endpoint_role::Prefill : endpoint_role::Decode;
            worker.model = model_name{"juice"};
            config.endpoints.push_back(worker);
        }
        return config;
    }

    void publish(const service_config &config)
    {
        const auto record = sample::publish(config, m_publicationCount++);
        entries.push_back(encodeBatch({log_record{record_id{incarnation_id{vm_name{"publisher"}, 1}, m_publicationCount}, record}}));
    }

    caller_id request(const std::string &method, const std::string &path, const std::string &secret = "press-secret", const std::string &idempotencyKey = {})
    {
        caller_request message{++m_lastCaller, method, path};
        if (!secret.empty()) {
            message.key = digestOf(secret);
        }
        message.idempotencyKey = idempotencyKey;
        deliver(std::move(message));
        return m_lastCaller;
    }

    caller_id requestCompletion(std::int32_t promptTokens = 100, const std::string &model = "juice")
    {
        caller_request message{++m_lastCaller, "POST", "/v1/completions"};
        message.key = digestOf("press-secret");
        message.completion = completion_call{model_name{model}, "log", promptTokens, 4, true};
        deliver(std::move(message));
        return m_lastCaller;
    }

    void deliver(input inputMessage)
    {
        core.handle(std::move(inputMessage));
        executeCommands();
    }

    void advance(duration interval)
    {
        const auto end = clock.now() + interval;
        while (clock.now() < end) {
            clock.advanceTo(std::min({end, std::max(core.nextTick(), clock.now() + std::chrono::milliseconds(1)), m_readDueAt}));
            core.tick();
            executeCommands();
        }
    }

    // Ticks exactly when the core is due, as core_loop does. Returns the number of ticks.
    std::size_t tickWhenDue(duration interval)
    {
        std::size_t ticks = 0;
        const auto end = clock.now() + interval;
        while (clock.now() < end) {
            clock.advanceTo(std::min({end, core.nextTick(), m_readDueAt}));
            core.tick();
            executeCommands();
            ++ticks;
        }
        return ticks;
    }

    // Returns the commands of one type since sentCommands was last cleared.
    template<class Command>
    std::vector<Command> commandsOf() const
    {
        std::vector<Command> matches;
        for (const auto &entry : sentCommands) {
            if (const auto *const match = std::get_if<Command>(&entry)) {
                matches.push_back(*match);
            }
        }
        return matches;
    }

    template<class Command>
    std::optional<Command> lastCommandOf() const
    {
        const auto matches = commandsOf<Command>();
        return matches.empty() ? std::nullopt : std::optional(matches.back());
    }

    // Returns the records of one type in the log, in order.
    template<class Record>
    std::vector<Record> recordsOf() const
    {
        std::vector<Record> matches;
        for (const auto &entry : entries) {
            const auto batch = decodeBatch(entry);
            for (const auto &record : batch.value()) {
                if (const auto *const match = std::get_if<Record>(&record.body)) {
                    matches.push_back(*match);
                }
            }
        }
        return matches;
    }

    auto_advancing_clock clock;
    fixed_wall_clock wallClock;
    vm_core core;
    std::vector<command> sentCommands;
    std::vector<std::string> entries;
    bool logDown = false;
    std::map<endpoint_name, std::set<attempt_label>> reportedAttempts; // Attempts that the engines report as running.
    std::set<endpoint_name> unreachable;
    endpoint_state_answer endpointState;

private:
    void executeCommands()
    {
        for (auto commands = core.take(); !commands.empty(); commands = core.take()) {
            for (auto &entry : commands) {
                std::visit([&](auto &body) { answer(body); }, entry);
                sentCommands.push_back(std::move(entry));
            }
        }
        if (m_pendingRead && (entries.size() > m_pendingRead->from || clock.now() >= m_readDueAt)) {
            const auto read = *std::exchange(m_pendingRead, std::nullopt);
            m_readDueAt = time_point::max();
            finishRead(read);
        }
    }

    template<class Command>
    void answer(const Command & /*other*/)
    {
    }

    void answer(const append_log &command)
    {
        append_answer reply{command.append, std::nullopt, false};
        if (!logDown) {
            entries.push_back(command.payload);
            reply = {command.append, entries.size() - 1, true};
        }
        core.handle(reply);
    }

    void answer(const read_log &command)
    {
        m_readSentAt = clock.now();
        m_pendingRead = command;
        m_readDueAt = clock.now() + std::max<duration>(command.wait, std::chrono::milliseconds(20));
    }

    void finishRead(const read_log &command)
    {
        if (logDown) {
            deliver(log_read_failed{m_readSentAt});
            return;
        }
        log_read reply{m_readSentAt, 0, entries.size(), {}};
        for (auto offset = command.from; offset < entries.size(); ++offset) {
            reply.entries.push_back(log_entry{offset, entries[offset]});
        }
        deliver(std::move(reply));
    }

    void answer(const read_vm_list & /*command*/)
    {
        core.handle(vm_list{{vm_entry{vm_name{"vm-1"}, "127.0.0.1:7001", data_centre_name{"dc-a"}, vm_condition::Live}}});
    }

    void answer(const read_load &command)
    {
        load_report report{command.endpoint, !unreachable.contains(command.endpoint)};
        const auto &labels = reportedAttempts[command.endpoint];
        if (report.reachable) {
            report.running.assign(labels.begin(), labels.end());
            report.models = {"juice"};
            report.kvBlocksTotal = 160;
            report.slotsTotal = 20;
        }
        report.role = command.endpoint.value.starts_with("prefill") ? endpoint_role::Prefill : endpoint_role::Decode;
        core.handle(std::move(report));
    }

    void answer(const read_cache_events &command) { core.handle(cache_events{command.endpoint, command.from, {}}); }

    void answer(const read_endpoint_state &command)
    {
        auto reply = endpointState;
        reply.endpoint = command.endpoint;
        reply.reachable = true;
        core.handle(reply);
    }

    std::uint64_t m_publicationCount = 0;
    caller_id m_lastCaller = 0;
    std::optional<read_log> m_pendingRead;
    time_point m_readSentAt{};
    time_point m_readDueAt = time_point::max();
};

} // namespace plantainpoint
