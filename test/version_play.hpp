// A fleet whose endpoints run two versions of their software, and callers that take up the streams that break off.
#pragma once

#include <map>
#include <set>

#include <boost/test/unit_test.hpp>

#include "simulated_fleet.hpp"

namespace plantainpoint::test {

using std::chrono::seconds;

inline constexpr std::uint64_t eventsPerStream = 14;
inline constexpr int maxTries = 4;
inline constexpr std::size_t joinedAllowed = 2;

struct version_play {
    version_play(int vmsPerDataCentre, int dataCentres, unsigned seed = 1)
        : fleet({.vmsPerDataCentre = vmsPerDataCentre, .dataCentres = dataCentres, .seed = seed})
    {
        fleet.onDispatch = [this](std::size_t index, const relay_dispatch &dispatch) { onDispatch(index, dispatch); };
        fleet.onStreamBytes = [this](caller_id caller, const std::string &bytes) { onBytes(caller, bytes); };
        fleet.onAnswer = [this](caller_id caller) { finish(caller); };
        fleet.onAbort = [this](caller_id caller) { tryAgain(caller, milliseconds{20}); };
        fleet.onFailure = [this](const answer_failure &failed) {
            ++failures[failed.reason];
            tryAgain(failed.caller, failed.retryAfter.value_or(milliseconds{200}));
        };
        fleet.onAttemptAbort = [this](std::size_t index, attempt_number attempt) { open.erase({fleet.vms[index].core.get(), attempt}); };
        fleet.listens = [this](const endpoint_name &name) { return !ended.contains(name); };
    }

    void start()
    {
        auto config = sampleRelayConfig();
        for (auto &route : config.routes) {
            route.timeout = seconds{14};
        }
        config.accounts.front().rate = 1e7;
        config.accounts.front().burst = 1e7;
        fleet.publish(config);
        for (int i = 1; i <= endpointsAtStart; ++i) {
            announce(i, i <= 2 ? firstVersion : "v1.1", 1);
        }
        fleet.startAll();
        fleet.runFor(seconds{6});
    }
    void announce(int number, const std::string &version, std::int64_t startedAt)
    {
        auto endpoint = endpointNamed("dec-" + std::to_string(number), "llm", endpoint_role::Decode);
        endpoint.dataCentre = {"dc-" + std::to_string(number % 2)};
        endpoint.address = "10.9.0." + std::to_string(number) + ":8000";
        endpoint.slots = 100;
        endpoint.version = {version};
        endpoint.startedAt = startedAt;
        versions[endpoint.name] = version;
        fleet.announce(endpoint);
    }
    void leave(int number)
    {
        const endpoint_name name{"dec-" + std::to_string(number)};
        versions.erase(name);
        fleet.withdraw(name.value);
    }

    // Ends an endpoint with its connections. It starts again under its name and address, and the directory has its new entry when it announces it.
    void crash(int number, const std::string &nextVersion, duration pause)
    {
        const endpoint_name name{"dec-" + std::to_string(number)};
        ended.insert(name);
        for (const auto &[core, attempt] : std::set(open)) {
            const auto found = dispatched.find({core, attempt});
            if (found != dispatched.end() && found->second.first == name) {
                open.erase({core, attempt});
                fleet.deliver(found->second.second, relay_attempt_ended{attempt, reply_outcome::Broken});
            }
        }
        versions[name] = nextVersion;
        fleet.schedule(pause, [this, name] { ended.erase(name); });
    }

    void onDispatch(std::size_t index, const relay_dispatch &dispatch)
    {
        const auto *const core = fleet.vms[index].core.get();
        open.insert({core, dispatch.attempt});
        if (ended.contains(dispatch.endpoint)) {
            schedule(index, core, dispatch.attempt, milliseconds{1}, [this, index, dispatch, core] {
                open.erase({core, dispatch.attempt});
                fleet.deliver(index, relay_attempt_ended{dispatch.attempt, reply_outcome::NotSent});
            });
            return;
        }
        dispatched[{core, dispatch.attempt}] = {dispatch.endpoint, index};
        const auto version = versions.contains(dispatch.endpoint) ? versions.at(dispatch.endpoint) : std::string("gone");
        const auto first = dispatch.resumeAfter.value_or(0) + 1;
        schedule(index, core, dispatch.attempt, milliseconds{8}, [this, index, dispatch] { fleet.deliver(index, stream_head{.attempt = dispatch.attempt}); });
        const auto breaksAfter = fleet.randomBelow(1000) < breakPermille ? first + static_cast<std::uint64_t>(fleet.randomBelow(6)) : eventsPerStream + 1;
        duration at = milliseconds{20};
        for (auto number = first; number <= eventsPerStream && number < breaksAfter; ++number, at += eventPause) {
            schedule(index, core, dispatch.attempt, at, [this, index, dispatch, number, version] {
                fleet.deliver(index, stream_part{dispatch.attempt, "id: " + std::to_string(number) + "\ndata: " + version + "\n\n"});
            });
        }
        const auto end = breaksAfter <= eventsPerStream ? reply_outcome::Broken : reply_outcome::Complete;
        schedule(index, core, dispatch.attempt, at, [this, index, dispatch, core, end] {
            open.erase({core, dispatch.attempt});
            fleet.deliver(index, relay_attempt_ended{dispatch.attempt, end});
        });
    }
    // Acts for an endpoint unless the VM has ended or closed the connection.
    void schedule(std::size_t index, const relay_core *core, attempt_number attempt, duration delay, const std::function<void()> &act)
    {
        fleet.schedule(delay, [this, index, core, attempt, act] {
            if (fleet.vms[index].core.get() == core && open.contains({core, attempt})) {
                act();
            }
        });
    }

    // A caller's stream over all of its tries.
    struct stream {
        std::string firstId; // Id of the try that brought the first event.
        std::uint64_t lastEvent = 0;
        std::set<std::string> versionsSeen;
        std::size_t vm = 0;
        int tries = 0;
        bool taken = false; // It was taken up after its first event.
        bool wentOn = false; // An event came after that.
        bool done = false;
        bool serving = false; // Endpoints of its version serve when it is taken up.
    };

    void send(std::size_t number)
    {
        auto &each = streams[number];
        if (std::none_of(fleet.vms.begin(), fleet.vms.end(), [](const auto &vm) { return vm.core != nullptr; })) {
            fleet.schedule(milliseconds{100}, [this, number] { send(number); });
            return;
        }
        if (++each.tries > maxTries) {
            return;
        }
        // Every second caller that takes a stream up comes to the VM that is out of step.
        each.vm = returnsTo && each.lastEvent > 0 && fleet.randomBelow(2) == 0 ? *returnsTo : randomRunning();
        if (each.lastEvent > 0) {
            each.taken = true;
            each.serving = std::any_of(versions.begin(), versions.end(), [&](const auto &item) { return each.versionsSeen.contains(item.second); });
        }
        if (fleet.vms[each.vm].frozen) {
            --each.tries;
            fleet.schedule(milliseconds{100}, [this, number] { send(number); }); // The request waits until the VM goes on.
            return;
        }
        // The VM may answer at once.
        current[fleet.lastCaller() + 1] = number;
        fleet.submitStream(each.vm, "/resume/1", each.firstId, each.lastEvent > 0 ? std::optional(each.lastEvent) : std::nullopt);
    }
    void onBytes(caller_id caller, const std::string &bytes)
    {
        const auto found = current.find(caller);
        if (found == current.end()) {
            return;
        }
        auto &each = streams[found->second];
        for (std::size_t position = 0; (position = bytes.find("id: ", position)) != std::string::npos; ++position) {
            const auto id = std::stoull(bytes.substr(position + 4));
            const auto data = bytes.find("data: ", position) + 6;
            if (each.lastEvent == 0) {
                each.firstId = simulated_fleet::idOf(caller);
            }
            each.wentOn = each.wentOn || each.taken;
            each.lastEvent = id;
            each.versionsSeen.insert(bytes.substr(data, bytes.find('\n', data) - data));
        }
    }
    void finish(caller_id caller)
    {
        if (const auto found = current.find(caller); found != current.end()) {
            streams[found->second].done = true;
            current.erase(found);
        }
    }
    void tryAgain(caller_id caller, duration delay)
    {
        const auto found = current.find(caller);
        if (found == current.end()) {
            return;
        }
        const auto number = found->second;
        current.erase(found);
        fleet.schedule(delay, [this, number] { send(number); });
    }
    // Ends all VMs and starts them again. Callers notice it at once.
    void killAll(duration pause)
    {
        for (std::size_t i = 0; i < fleet.vms.size(); ++i) {
            fleet.kill(i);
            fleet.schedule(pause + milliseconds{fleet.randomBelow(300)}, [this, i] { fleet.start(i); });
        }
        auto cut = std::move(current);
        current.clear();
        for (const auto &[caller, number] : cut) {
            fleet.schedule(pause + milliseconds{900 + fleet.randomBelow(1500)}, [this, number = number] { send(number); });
        }
    }
    // Ends a VM and starts it again. Its callers come to other VMs.
    void killOne(std::size_t index, duration pause)
    {
        fleet.kill(index);
        std::erase_if(current, [&](const auto &item) {
            const bool isCut = streams[item.second].vm == index;
            if (isCut) {
                fleet.schedule(milliseconds{50 + fleet.randomBelow(50)}, [this, number = item.second] { send(number); });
            }
            return isCut;
        });
        fleet.schedule(pause, [this, index] { fleet.start(index); });
    }
    std::size_t whole() const
    {
        return static_cast<std::size_t>(std::count_if(streams.begin(), streams.end(), [](const auto &each) { return each.done; }));
    }
    std::size_t randomRunning()
    {
        if (busyVm && fleet.vms[*busyVm].core && fleet.randomBelow(2) == 0) {
            return *busyVm;
        }
        for (;;) {
            const auto index = static_cast<std::size_t>(fleet.randomBelow(static_cast<int>(fleet.vms.size())));
            if (fleet.vms[index].core) {
                return index;
            }
        }
    }
    void load(duration time, int perSecond)
    {
        for (const auto end = fleet.now() + time; fleet.now() < end;) {
            fleet.runFor(std::chrono::microseconds{1'000'000 / perSecond});
            streams.emplace_back();
            send(streams.size() - 1);
        }
    }

    std::size_t joined() const
    {
        return static_cast<std::size_t>(std::count_if(streams.begin(), streams.end(), [](const auto &each) { return each.versionsSeen.size() > 1; }));
    }
    void check() const
    {
        BOOST_TEST(joined() <= joinedAllowed, joined() << " of " << streams.size() << " streams hold events of two versions; allowed " << joinedAllowed);
        const auto count = [this](auto predicate) { return static_cast<double>(std::count_if(streams.begin(), streams.end(), predicate)); };
        const auto taken = count([](const auto &each) { return each.taken && each.serving; });
        const auto wentOn = count([](const auto &each) { return each.taken && each.serving && each.wentOn; });
        const auto begun = count([](const auto &each) { return each.lastEvent > 0; });
        const auto share = begun / static_cast<double>(streams.size());
        BOOST_TEST_MESSAGE(taken << " taken up, " << wentOn << " went on, " << share << " of new ones began");
        BOOST_TEST((taken < 12 || wentOn / taken >= share / 2),
                   "of " << taken << " streams taken up " << wentOn << " went on, while " << share << " of new ones began");
    }

    simulated_fleet fleet;
    std::string firstVersion = "v1";
    int endpointsAtStart = 4;
    std::map<endpoint_name, std::string> versions;
    std::set<std::pair<const relay_core *, attempt_number>> open;
    std::map<std::pair<const relay_core *, attempt_number>, std::pair<endpoint_name, std::size_t>> dispatched;
    std::set<endpoint_name> ended;
    std::vector<stream> streams;
    std::map<caller_id, std::size_t> current;
    std::map<failure, int> failures;
    int breakPermille = 0;
    std::optional<std::size_t> returnsTo;
    std::optional<std::size_t> busyVm; // Gets half of the requests.
    duration eventPause = milliseconds{40};
};

} // namespace plantainpoint::test
