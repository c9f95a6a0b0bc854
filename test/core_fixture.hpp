// one core with a log, a VM list and engines that answer at once, in virtual time
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

// virtual time that passes with each reading by `perReading`, as a real clock does between two readings in one call
class reading_clock final : public clock_source
{
public:
    time_point now() const override { return m_now += perReading; }
    void advanceTo(time_point to) { m_now = std::max(m_now, to); }

    duration perReading{};

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

    // a member with the configuration, and capacity for every account
    void start(const service_config &config = press())
    {
        publish(config);
        advance(std::chrono::seconds(15));
        seen.clear();
    }

    // lookup, booking and open route; two prefill, two decode and two plain endpoints
    static service_config press()
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
        const auto record = sample::publish(config, m_published++);
        entries.push_back(encodeBatch({log_record{record_id{incarnation_id{vm_name{"publisher"}, 1}, m_published}, record}}));
    }

    caller_id request(const std::string &method, const std::string &path, const std::string &secret = "press-secret", const std::string &idempotencyKey = {})
    {
        caller_request call{++m_lastCaller, method, path};
        if (!secret.empty()) {
            call.key = digestOf(secret);
        }
        call.idempotencyKey = idempotencyKey;
        give(std::move(call));
        return m_lastCaller;
    }

    caller_id complete(std::int32_t promptTokens = 100, const std::string &model = "juice")
    {
        caller_request call{++m_lastCaller, "POST", "/v1/completions"};
        call.key = digestOf("press-secret");
        call.completion = completion_call{model_name{model}, "log", promptTokens, 4, true};
        give(std::move(call));
        return m_lastCaller;
    }

    void give(input message)
    {
        core.handle(std::move(message));
        pump();
    }

    void advance(duration by)
    {
        const auto until = clock.now() + by;
        while (clock.now() < until) {
            clock.advanceTo(std::min({until, std::max(core.nextTick(), clock.now() + std::chrono::milliseconds(1)), m_nextRead}));
            core.tick();
            pump();
        }
    }

    // ticks exactly when the core asks for it, as core_loop does; returns the number of ticks
    std::size_t tickWhenDue(duration by)
    {
        std::size_t ticks = 0;
        const auto until = clock.now() + by;
        while (clock.now() < until) {
            clock.advanceTo(std::min({until, core.nextTick(), m_nextRead}));
            core.tick();
            pump();
            ++ticks;
        }
        return ticks;
    }

    // commands of one type since the last call of seen.clear()
    template<class Command>
    std::vector<Command> all() const
    {
        std::vector<Command> found;
        for (const auto &entry : seen) {
            if (const auto *const match = std::get_if<Command>(&entry)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    template<class Command>
    std::optional<Command> last() const
    {
        const auto found = all<Command>();
        return found.empty() ? std::nullopt : std::optional(found.back());
    }

    // records of one type in the log, in order
    template<class Record>
    std::vector<Record> recorded() const
    {
        std::vector<Record> found;
        for (const auto &entry : entries) {
            const auto batch = decodeBatch(entry);
            for (const auto &record : batch.value()) {
                if (const auto *const match = std::get_if<Record>(&record.body)) {
                    found.push_back(*match);
                }
            }
        }
        return found;
    }

    reading_clock clock;
    fixed_wall_clock wallClock;
    vm_core core;
    std::vector<command> seen;
    std::vector<std::string> entries;
    bool logDown = false;
    std::map<endpoint_name, std::set<attempt_label>> running; // what the engines report
    std::set<endpoint_name> unreachable;
    endpoint_state_answer endpointState;

private:
    void pump()
    {
        for (auto commands = core.take(); !commands.empty(); commands = core.take()) {
            for (auto &entry : commands) {
                std::visit([&](auto &body) { answer(body); }, entry);
                seen.push_back(std::move(entry));
            }
        }
        if (m_heldRead && (entries.size() > m_heldRead->from || clock.now() >= m_nextRead)) {
            const auto read = *std::exchange(m_heldRead, std::nullopt);
            m_nextRead = time_point::max();
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
        m_heldRead = command;
        m_nextRead = clock.now() + std::max<duration>(command.wait, std::chrono::milliseconds(20));
    }

    void finishRead(const read_log &command)
    {
        if (logDown) {
            give(log_read_failed{m_readSentAt});
            return;
        }
        log_read reply{m_readSentAt, 0, entries.size(), {}};
        for (auto at = command.from; at < entries.size(); ++at) {
            reply.entries.push_back(log_entry{at, entries[at]});
        }
        give(std::move(reply));
    }

    void answer(const read_vm_list & /*command*/)
    {
        core.handle(vm_list{{vm_entry{vm_name{"vm-1"}, "127.0.0.1:7001", data_centre_name{"dc-a"}, vm_condition::Live}}});
    }

    void answer(const read_load &command)
    {
        load_report report{command.endpoint, !unreachable.contains(command.endpoint)};
        const auto &labels = running[command.endpoint];
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

    std::uint64_t m_published = 0;
    caller_id m_lastCaller = 0;
    std::optional<read_log> m_heldRead;
    time_point m_readSentAt{};
    time_point m_nextRead = time_point::max();
};

} // namespace plantainpoint
