// Tests what a fleet does about a part of a prompt that crashes every engine which begins to write an answer on it.
#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include <boost/test/unit_test.hpp>

#include "simulated_fleet.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;
using std::chrono::seconds;

namespace {

// The operator's bounds: a fleet has this time after the fifth crash, and three more requests with the part may be sent afterwards.
constexpr auto stableTime = seconds{3};
constexpr std::size_t toleratedCrashes = 5;
constexpr std::size_t toleratedSends = 3;
constexpr double toleratedBytesPerSecond = 11'000; // Control traffic that the operators allow a VM at the largest size (design.md, section 1).

const std::string poison = "bad0bad0";

// What comes after the end of an engine.
enum class engine_end : std::uint8_t {
    Replaced, // Nothing listens, and another engine starts at another address some seconds later.
    Restarted, // The engine listens again at once and announces a new run.
    Renamed, // The same under another name at the same address.
};

// Engines of a model service. An engine that begins to write on the crashing part ends with everything that it runs, and another one starts at
// another address some seconds later.
class crash_replay
{
public:
    explicit crash_replay(unsigned seed, int vmsPerDataCentre = 2, int dataCentres = 3, engine_end end = engine_end::Replaced)
        : fleet({.vmsPerDataCentre = vmsPerDataCentre, .dataCentres = dataCentres, .largePerDataCentre = 2, .loss = 0.005, .seed = seed})
        , m_end(end)
    {
        auto config = sampleRelayConfig(1);
        config.accounts[0].rate = 0;
        config.services[1].engine = engine_profile{.slots = 12, .kvTokens = 80'000};
        for (auto &route : config.routes) {
            route.timeout = seconds{14};
            route.objective = milliseconds{900};
            route.gapObjective = milliseconds{300};
        }
        fleet.publish(config);
        for (int i = 0; i < 3; ++i) {
            addEngine(endpoint_role::Prefill, i % dataCentres);
        }
        for (int i = 0; i < 8; ++i) {
            addEngine(endpoint_role::Decode, i % dataCentres);
        }
        fleet.onDispatch = [this](std::size_t vm, const relay_dispatch &dispatch) {
            const auto time = dispatch.kind == dispatch_kind::Prefill ? milliseconds{30} : milliseconds{1};
            onSent(dispatch);
            fleet.schedule(time, [this, vm, dispatch] { onArrival(vm, dispatch); });
        };
        fleet.listens = [this](const endpoint_name &name) { return m_end != engine_end::Replaced || m_engines.at(name).running; };
        fleet.startAll();
        fleet.runFor(seconds{4});
    }

    // Sends requests for a time, each to any VM that runs. The parts of each prompt come from the function.
    void run(duration time, double perSecond, const std::function<std::vector<std::string>()> &parts, const std::string &target = "/draft/1")
    {
        std::exponential_distribution<double> pause(perSecond);
        const auto end = fleet.now() + time;
        while (true) {
            const auto next = std::chrono::duration_cast<duration>(std::chrono::duration<double>(pause(fleet.random())));
            if (fleet.now() + next >= end) {
                fleet.runFor(end - fleet.now());
                return;
            }
            fleet.runFor(next);
            const auto vm = static_cast<std::size_t>(fleet.randomBelow(static_cast<int>(fleet.vms.size())));
            if (!fleet.vms[vm].core || !fleet.vms[vm].core->ready()) {
                continue;
            }
            const auto content = parts();
            const bool sound = std::find(content.begin(), content.end(), poison) == content.end();
            const auto id = "id-" + std::to_string(fleet.lastCaller() + 1);
            if (sound) {
                m_soundSentAt[id] = fleet.now();
            }
            fleet.submitModel(vm, target, content, seconds{14});
        }
    }

    void crash(const endpoint_name &name)
    {
        const auto found = m_engines.find(name);
        if (found == m_engines.end() || !found->second.running) {
            return;
        }
        auto &engine = found->second;
        engine.running = false;
        crashes.push_back(fleet.now());
        for (const auto &[vm, attempt] : std::exchange(engine.open, {})) {
            fleet.deliver(vm, relay_attempt_ended{attempt, reply_outcome::Broken});
        }
        replace(name);
    }
    void replace(const endpoint_name &name)
    {
        auto &engine = m_engines.at(name);
        constexpr milliseconds announceTime{300};
        constexpr milliseconds withdrawTime{2600};
        if (m_end == engine_end::Restarted) {
            engine.running = true;
            ++engine.info.startedAt;
            fleet.schedule(announceTime, [this, info = engine.info] { fleet.announce(info); });
            return;
        }
        if (m_end == engine_end::Renamed) {
            auto info = engine.info;
            info.name.value += '+';
            ++info.startedAt;
            fleet.schedule(announceTime, [this, info] { addEngine(info); });
        }
        fleet.schedule(withdrawTime, [this, name] {
            fleet.withdraw(name.value);
            if (m_end == engine_end::Replaced) {
                addEngine(m_engines.at(name).info.role, m_engines.at(name).dataCentre);
            }
        });
    }
    std::vector<endpoint_name> runningDecodes() const
    {
        std::vector<endpoint_name> names;
        for (const auto &[name, engine] : m_engines) {
            if (engine.running && engine.info.role == endpoint_role::Decode) {
                names.push_back(name);
            }
        }
        return names;
    }

    // Returns the requests with the crashing part that were sent to engines after a time.
    std::size_t crashingSentAfter(time_point time) const
    {
        return static_cast<std::size_t>(std::count_if(m_crashingSent.begin(), m_crashingSent.end(), [&](const auto at) { return at > time; }));
    }
    // Returns the part of the sound requests sent within a time that began to be answered at their first attempt.
    double soundServed(time_point from, time_point to) const
    {
        std::size_t sent = 0;
        std::size_t begun = 0;
        for (const auto &[id, at] : m_soundSentAt) {
            if (at >= from && at < to) {
                ++sent;
                begun += m_begun.contains(id) ? 1 : 0;
            }
        }
        return sent == 0 ? 1 : static_cast<double>(begun) / static_cast<double>(sent);
    }
    std::size_t refusedAsQuarantined() const
    {
        std::size_t count = 0;
        for (const auto &each : fleet.vms) {
            count += static_cast<std::size_t>(
                std::count_if(each.failures.begin(), each.failures.end(), [](const auto &failed) { return nameOf(failed.reason) == "quarantined"; }));
        }
        return count;
    }

    struct traffic {
        double average = 0; // Bytes a second that a VM sends and receives.
        double most = 0; // Of the VM with the most.
    };
    // Measures the messages between VMs while sound requests come.
    traffic measureTraffic(const std::string &text, seconds time)
    {
        fleet.resetCounts();
        run(time, 8, [&] { return std::vector{"first" + std::to_string(fleet.randomBelow(3))}; });
        traffic result;
        for (const auto &each : fleet.vms) {
            const auto rate = static_cast<double>(each.bytes) / static_cast<double>(time.count());
            result.average += rate / static_cast<double>(fleet.vms.size());
            result.most = std::max(result.most, rate);
        }
        BOOST_TEST_MESSAGE(text << ": a VM sends and receives " << result.average << " bytes a second, the one with the most " << result.most);
        return result;
    }

    // Checks the operator's bounds. The crashing part comes until now.
    void check(const std::string &text) const
    {
        BOOST_REQUIRE(!crashes.empty());
        const auto last = crashes[std::min(crashes.size(), toleratedCrashes) - 1];
        const auto sent = crashes.size() < toleratedCrashes ? 0 : crashingSentAfter(last + stableTime);
        BOOST_TEST_MESSAGE(text << ": " << crashes.size() << " crashes, " << sent << " sent afterwards, sound requests served before "
                                << soundServed({}, crashes.front()) << " and afterwards " << soundServed(last + 2 * stableTime, fleet.now()));
        BOOST_TEST(sent <= toleratedSends, text << ": " << sent << " requests with the crashing part were sent, " << crashes.size() << " engines ended");
        BOOST_TEST(soundServed(last + 2 * stableTime, fleet.now()) >= 0.5 * soundServed({}, crashes.front()), text << ": sound requests are not served");
    }

    simulated_fleet fleet;
    std::vector<time_point> crashes;
    bool isPoisonous = true;

private:
    struct engine {
        relay_endpoint info;
        int dataCentre = 0;
        bool running = true;
        std::set<std::pair<std::size_t, attempt_number>> open;
    };

    void addEngine(endpoint_role role, int dataCentre)
    {
        const auto number = std::to_string(++m_lastEngine);
        auto endpoint = endpointNamed((role == endpoint_role::Prefill ? "pre-" : "dec-") + number, "llm", role);
        endpoint.address = "10.9.0." + number + ":8000";
        endpoint.dataCentre.value = "dc-" + std::to_string(dataCentre);
        endpoint.slots = 12;
        m_engines[endpoint.name].dataCentre = dataCentre;
        addEngine(endpoint);
    }
    void addEngine(const relay_endpoint &endpoint)
    {
        m_engines[endpoint.name].info = endpoint;
        fleet.announce(endpoint);
    }

    static bool isCrashing(const relay_dispatch &dispatch) { return dispatch.payload->body.find(poison) != std::string::npos; }

    void onSent(const relay_dispatch &dispatch)
    {
        if (isCrashing(dispatch)) {
            m_crashingSent.push_back(fleet.now());
        }
    }

    void onArrival(std::size_t vm, const relay_dispatch &dispatch)
    {
        auto &engine = m_engines.at(dispatch.endpoint);
        if (!engine.running) {
            fleet.deliver(vm, relay_attempt_ended{dispatch.attempt, reply_outcome::NotSent});
            return;
        }
        if (dispatch.kind == dispatch_kind::Prefill) {
            fleet.deliver(vm, prefill_reply{dispatch.attempt, "handle"});
            return;
        }
        engine.open.emplace(vm, dispatch.attempt);
        fleet.schedule(milliseconds{5}, [this, vm, dispatch] {
            if (isOpen(vm, dispatch)) {
                fleet.deliver(vm, stream_head{.attempt = dispatch.attempt});
            }
        });
        fleet.schedule(milliseconds{80}, [this, vm, dispatch] { beginAnswer(vm, dispatch); });
    }

    bool isOpen(std::size_t vm, const relay_dispatch &dispatch) { return m_engines.at(dispatch.endpoint).open.contains({vm, dispatch.attempt}); }

    void beginAnswer(std::size_t vm, const relay_dispatch &dispatch)
    {
        if (!isOpen(vm, dispatch)) {
            return;
        }
        if (isPoisonous && isCrashing(dispatch)) {
            crash(dispatch.endpoint);
            return;
        }
        m_begun.insert(dispatch.payload->id);
        sendEvent(vm, dispatch, 1);
    }

    // An answer has 20 events, one every 50 ms.
    void sendEvent(std::size_t vm, const relay_dispatch &dispatch, int number)
    {
        constexpr int events = 20;
        if (!isOpen(vm, dispatch)) {
            return;
        }
        fleet.deliver(vm, stream_part{dispatch.attempt, "id: " + std::to_string(number) + "\ndata: a\n\n"});
        if (number == events) {
            m_engines.at(dispatch.endpoint).open.erase({vm, dispatch.attempt});
            fleet.deliver(vm, relay_attempt_ended{dispatch.attempt, reply_outcome::Complete});
            return;
        }
        fleet.schedule(milliseconds{50}, [this, vm, dispatch, number] { sendEvent(vm, dispatch, number + 1); });
    }

    engine_end m_end;
    std::map<endpoint_name, engine> m_engines;
    int m_lastEngine = 0;
    std::vector<time_point> m_crashingSent;
    std::map<std::string, time_point> m_soundSentAt;
    std::set<std::string> m_begun;
};

std::string anyOf(crash_replay &replay, const std::string &prefix, int count)
{
    return prefix + std::to_string(replay.fleet.randomBelow(count));
}

void forSeeds(const std::function<void(unsigned)> &scenario)
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        scenario(seed);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_prompts)

// Guards against endpoints that crash one after the other because requests with the same part of a prompt go on being sent (incident second1).
// Sound requests share the first part of the crashing ones.
BOOST_AUTO_TEST_CASE(aPartThatCrashesEnginesIsNotSentOn)
{
    forSeeds([](unsigned seed) {
        crash_replay replay(seed);
        replay.run(seconds{3}, 8, [&] { return std::vector{std::string("first")}; });
        replay.run(seconds{20}, 14, [&] {
            return replay.fleet.randomBelow(14) < 6 ? std::vector{std::string("first"), poison} : std::vector{std::string("first")};
        });
        replay.check("seed " + std::to_string(seed));
    });
}

// Guards against a part that is recognised only when everything else in its prompts is the same.
BOOST_AUTO_TEST_CASE(otherPartsOfTheCrashingPromptsMayDiffer)
{
    forSeeds([](unsigned seed) {
        crash_replay replay(seed);
        const auto sound = [&] { return std::vector{anyOf(replay, "first", 6), anyOf(replay, "second", 40)}; };
        replay.run(seconds{3}, 8, sound);
        replay.run(seconds{20}, 14, [&] {
            auto parts = sound();
            if (replay.fleet.randomBelow(14) < 6) {
                parts.insert(parts.begin() + replay.fleet.randomBelow(3), poison);
            }
            return parts;
        });
        replay.check("seed " + std::to_string(seed));
    });
}

// Guards against a part that is recognised only if all crashes come within a moment.
BOOST_AUTO_TEST_CASE(rareCrashesAreLinkedAsWell)
{
    forSeeds([](unsigned seed) {
        crash_replay replay(seed);
        replay.run(seconds{60}, 8, [&] {
            auto parts = std::vector{anyOf(replay, "first", 3)};
            if (replay.fleet.randomBelow(8 * 3) == 0) { // One in three seconds.
                parts.push_back(poison);
            }
            return parts;
        });
        replay.check("seed " + std::to_string(seed));
    });
}

// Guards against crashes that are overlooked because the endpoint listens again before it is checked.
BOOST_AUTO_TEST_CASE(endpointsThatRestartAtOnceCountAsCrashed)
{
    for (const auto end : {engine_end::Restarted, engine_end::Renamed}) {
        forSeeds([end](unsigned seed) {
            crash_replay replay(seed, 2, 3, end);
            replay.run(seconds{3}, 8, [&] { return std::vector{anyOf(replay, "first", 3)}; });
            replay.run(seconds{20}, 14, [&] {
                return replay.fleet.randomBelow(14) < 3 ? std::vector{anyOf(replay, "first", 3), poison} : std::vector{anyOf(replay, "first", 3)};
            });
            replay.check("seed " + std::to_string(seed));
        });
    }
}

// Guards against a crashing part that each VM has to find out by itself in a large fleet.
BOOST_AUTO_TEST_CASE(aLargeFleetActsTogether)
{
    crash_replay replay(3, 20, 3);
    replay.run(seconds{3}, 8, [&] { return std::vector{anyOf(replay, "first", 3)}; });
    replay.run(seconds{20}, 14, [&] {
        auto parts = std::vector{anyOf(replay, "first", 3)};
        if (replay.fleet.randomBelow(14) < 6) {
            parts.push_back(poison);
        }
        return parts;
    });
    replay.check("60 VMs");
}

// Guards against evidence of crashes that every VM repeats for as long as it is remembered, although all VMs know it.
BOOST_AUTO_TEST_CASE(evidenceThatAllVmsKnowIsNotRepeated)
{
    crash_replay replay(3, 20, 3);
    replay.measureTraffic("before the crashes", seconds{3});
    replay.run(seconds{20}, 14, [&] {
        auto parts = std::vector{anyOf(replay, "first", 3)};
        if (replay.fleet.randomBelow(14) < 6) {
            parts.push_back(poison);
        }
        return parts;
    });
    replay.check("60 VMs");
    const auto after = replay.measureTraffic("after " + std::to_string(replay.crashes.size()) + " crashes", seconds{20});
    BOOST_TEST(after.average <= toleratedBytesPerSecond, "a VM sends and receives " << after.average << " bytes a second on average");
}

// Guards against a VM that hears no other VM and goes on sending what the others have learnt to refuse, and the other way round. Both reach the
// directory.
BOOST_AUTO_TEST_CASE(cutOffVmsLearnOfACrashingPart)
{
    forSeeds([](unsigned seed) {
        crash_replay replay(seed);
        const auto mixed = [&] {
            auto parts = std::vector{anyOf(replay, "first", 3)};
            if (replay.fleet.randomBelow(14) < 3) {
                parts.push_back(poison);
            }
            return parts;
        };
        for (std::size_t other = 0; other < replay.fleet.vms.size(); ++other) {
            replay.fleet.cutLinks.insert({1, other});
            replay.fleet.cutLinks.insert({other, 1});
        }
        replay.run(seconds{3}, 8, [&] { return std::vector{anyOf(replay, "first", 3)}; });
        replay.run(seconds{20}, 14, mixed);
        replay.check("seed " + std::to_string(seed));
    });
}

// Guards against a fleet that forgets a crashing part when all of its VMs are killed.
BOOST_AUTO_TEST_CASE(aCrashingPartIsRememberedWhenAllVmsAreKilled)
{
    forSeeds([](unsigned seed) {
        crash_replay replay(seed);
        const auto mixed = [&] {
            auto parts = std::vector{anyOf(replay, "first", 3)};
            if (replay.fleet.randomBelow(14) < 4) {
                parts.push_back(poison);
            }
            return parts;
        };
        replay.run(seconds{3}, 8, [&] { return std::vector{anyOf(replay, "first", 3)}; });
        replay.run(seconds{10}, 14, mixed);
        const auto crashesBefore = replay.crashes.size();
        for (std::size_t i = 0; i < replay.fleet.vms.size(); ++i) {
            replay.fleet.kill(i);
        }
        replay.fleet.runFor(seconds{1});
        for (std::size_t i = 0; i < replay.fleet.vms.size(); ++i) {
            replay.fleet.start(i);
        }
        replay.run(seconds{12}, 14, mixed);
        replay.check("seed " + std::to_string(seed));
        BOOST_TEST(replay.crashes.size() <= crashesBefore + 1, "seed " << seed << ": " << replay.crashes.size() - crashesBefore << " more crashes");
    });
}

// Guards against a request that may have crashed an endpoint and is sent to the next one by this system.
BOOST_AUTO_TEST_CASE(requestsThatMayHaveCrashedEndpointsAreNotRepeated)
{
    forSeeds([](unsigned seed) {
        crash_replay replay(seed);
        replay.run(
            seconds{3}, 8, [&] { return std::vector{anyOf(replay, "first", 3)}; }, "/resume/1");
        replay.run(
            seconds{20},
            14,
            [&] {
                auto parts = std::vector{anyOf(replay, "first", 3)};
                if (replay.fleet.randomBelow(14) < 3) {
                    parts.push_back(poison);
                }
                return parts;
            },
            "/resume/1");
        replay.check("seed " + std::to_string(seed));
    });
}

// Guards against sound requests that are refused because they were lost in crashes that have nothing to do with them: endpoints that end one by
// one, and several that end at the same moment.
BOOST_AUTO_TEST_CASE(ordinaryCrashesQuarantineNothing)
{
    forSeeds([](unsigned seed) {
        crash_replay replay(seed);
        const auto sound = [&] { return std::vector{anyOf(replay, "first", 2), anyOf(replay, "second", 12)}; };
        replay.run(seconds{3}, 10, sound);
        for (int n = 0; n < 12; ++n) {
            const auto engines = replay.runningDecodes();
            const auto count = n % 4 == 3 ? std::min<std::size_t>(4, engines.size()) : std::min<std::size_t>(1, engines.size());
            for (std::size_t i = 0; i < count; ++i) {
                replay.crash(engines[i]);
            }
            replay.run(seconds{2}, 10, sound);
        }
        BOOST_TEST(replay.refusedAsQuarantined() == 0, "seed " << seed << ": " << replay.refusedAsQuarantined() << " sound requests were refused");
    });
}

BOOST_AUTO_TEST_SUITE_END()
