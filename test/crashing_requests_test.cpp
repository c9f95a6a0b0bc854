// Tests what a fleet does about a request that crashes every endpoint which begins to run it and that comes again with the same content.
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

// The operator's bounds: a fleet has this time after the third crash, and the request may be sent three more times afterwards.
constexpr auto stableTime = seconds{3};
constexpr std::size_t toleratedCrashes = 3;
constexpr std::size_t toleratedSends = 3;

struct content {
    std::string target;
    std::string body;
    std::string key = "k-acme";

    bool operator==(const content &) const = default;
};

// Endpoints of a booking service. One that runs the crashing request ends with everything that it runs, and another one starts at another address some
// seconds later.
class crash_replay
{
public:
    explicit crash_replay(unsigned seed, content crashing, int vmsPerDataCentre = 2, int dataCentres = 3)
        : fleet({.vmsPerDataCentre = vmsPerDataCentre, .dataCentres = dataCentres, .largePerDataCentre = 2, .loss = 0.005, .seed = seed})
        , m_crashing(std::move(crashing))
    {
        auto config = sampleRelayConfig(1);
        config.accounts[0].rate = 0;
        config.accounts.push_back({.name = {"other"}, .keys = {digestOf("k-other")}, .rate = 0, .burst = 0});
        for (auto &route : config.routes) {
            route.timeout = milliseconds{1000};
            route.objective = milliseconds{100};
        }
        fleet.publish(config);
        for (int i = 0; i < dataCentres; ++i) {
            addEndpoint(i);
        }
        fleet.onDispatch = [this](std::size_t vm, const relay_dispatch &dispatch) {
            if (isCrashing(dispatch)) {
                m_crashingSent.push_back(fleet.now());
            }
            fleet.schedule(milliseconds{1}, [this, vm, dispatch] { onArrival(vm, dispatch); });
        };
        fleet.onAnswer = [this](caller_id caller) { m_answered.insert(caller); };
        fleet.onFailure = [this](const answer_failure &failed) { onFailure(failed); };
        fleet.listens = [this](const endpoint_name &name) { return m_endpoints.at(name).running; };
        fleet.startAll();
        fleet.runFor(seconds{4});
    }

    // Sends sound lookups and bookings for a time, and the crashing request at a rate, each to any VM that runs.
    void run(duration time, double crashingPerSecond, double soundPerSecond = 60)
    {
        const auto end = fleet.now() + time;
        std::exponential_distribution<double> pause(crashingPerSecond + soundPerSecond);
        while (true) {
            const auto next = std::chrono::duration_cast<duration>(std::chrono::duration<double>(pause(fleet.random())));
            if (fleet.now() + next >= end) {
                fleet.runFor(end - fleet.now());
                return;
            }
            fleet.runFor(next);
            const bool crashing = std::uniform_real_distribution<double>(0, crashingPerSecond + soundPerSecond)(fleet.random()) < crashingPerSecond;
            send(crashing ? m_crashing : soundContent(), true);
        }
    }
    // Sends a request to any VM and returns its caller, or nothing if that VM does not run.
    std::optional<caller_id> send(const content &request, bool again)
    {
        return sendTo(static_cast<std::size_t>(fleet.randomBelow(static_cast<int>(fleet.vms.size()))), request, again);
    }
    std::optional<caller_id> sendTo(std::size_t vm, const content &request, bool again)
    {
        if (!fleet.vms[vm].core || !fleet.vms[vm].core->ready()) {
            return std::nullopt;
        }
        const auto caller = fleet.lastCaller() + 1;
        m_sent[caller] = {request, fleet.now(), again};
        return fleet.submit(vm, request.target, request.body, request.key);
    }
    bool isAnswered(caller_id caller) const { return m_answered.contains(caller); }

    void crash(const endpoint_name &name)
    {
        const auto found = m_endpoints.find(name);
        if (found == m_endpoints.end() || !found->second.running) {
            return;
        }
        found->second.running = false;
        crashes.push_back(fleet.now());
        for (const auto &[vm, attempt] : std::exchange(found->second.open, {})) {
            fleet.deliver(vm, relay_attempt_ended{attempt, reply_outcome::Broken});
        }
        fleet.schedule(milliseconds{2600}, [this, name, place = found->second.dataCentre] {
            fleet.withdraw(name.value);
            addEndpoint(place);
        });
    }
    std::vector<endpoint_name> runningEndpoints() const
    {
        std::vector<endpoint_name> names;
        for (const auto &[name, endpoint] : m_endpoints) {
            if (endpoint.running) {
                names.push_back(name);
            }
        }
        return names;
    }

    // Returns the part of the sound requests sent within a time that were answered.
    double soundServed(time_point from, time_point to) const
    {
        std::size_t sent = 0;
        std::size_t served = 0;
        for (const auto &[caller, each] : m_sent) {
            if (each.at >= from && each.at < to && each.request != m_crashing) {
                ++sent;
                served += m_answered.contains(caller) ? 1 : 0;
            }
        }
        return sent == 0 ? 1 : static_cast<double>(served) / static_cast<double>(sent);
    }
    std::size_t soundQuarantined() const { return m_soundQuarantined; }

    // Checks the operator's bounds. The crashing request comes until now.
    void check(const std::string &text) const
    {
        BOOST_REQUIRE(!crashes.empty());
        const auto last = crashes[std::min(crashes.size(), toleratedCrashes) - 1];
        const auto sentLate = [&] {
            return static_cast<std::size_t>(std::count_if(m_crashingSent.begin(), m_crashingSent.end(), [&](const auto at) { return at > last + stableTime; }));
        };
        const auto sent = crashes.size() < toleratedCrashes ? 0 : sentLate();
        const auto before = soundServed({}, crashes.front() - seconds{1});
        const auto after = soundServed(last + 2 * stableTime, fleet.now() - seconds{1});
        BOOST_TEST_MESSAGE(text << ": " << crashes.size() << " crashes, " << sent << " sent afterwards, sound requests served before " << before
                                << " and afterwards " << after << ", " << m_soundQuarantined << " of them quarantined");
        BOOST_TEST(sent <= toleratedSends, text << ": the crashing request was sent " << sent << " times, " << crashes.size() << " endpoints ended");
        BOOST_TEST(after >= 0.5 * before, text << ": sound requests are not served: " << after << " of " << before);
    }

    simulated_fleet fleet;
    std::vector<time_point> crashes;

private:
    struct endpoint_state {
        int dataCentre = 0;
        bool running = true;
        std::set<std::pair<std::size_t, attempt_number>> open;
    };
    struct sent_request {
        content request;
        time_point at{};
        bool again = false; // The caller sends it once more after a failure.
    };

    void addEndpoint(int dataCentre)
    {
        const auto number = std::to_string(++m_lastEndpoint);
        auto endpoint = endpointNamed("desk-" + number, "desk");
        endpoint.address = "10.9.0." + number + ":8000";
        endpoint.dataCentre.value = "dc-" + std::to_string(dataCentre);
        endpoint.slots = 6;
        m_endpoints[endpoint.name] = {dataCentre};
        fleet.announce(endpoint);
    }

    content soundContent()
    {
        const auto number = std::to_string(fleet.randomBelow(2000));
        return fleet.randomBelow(3) == 0 ? content{"/lookup/" + number, ""} : content{"/book/" + number, "crates " + std::to_string(fleet.lastCaller())};
    }

    bool isCrashing(const relay_dispatch &dispatch) const
    {
        return dispatch.payload->target == m_crashing.target && dispatch.payload->body == m_crashing.body
               && (dispatch.account.value == "acme") == (m_crashing.key == "k-acme");
    }

    void onArrival(std::size_t vm, const relay_dispatch &dispatch)
    {
        auto &endpoint = m_endpoints.at(dispatch.endpoint);
        if (!endpoint.running) {
            fleet.deliver(vm, relay_attempt_ended{dispatch.attempt, reply_outcome::NotSent});
            return;
        }
        endpoint.open.emplace(vm, dispatch.attempt);
        fleet.schedule(isCrashing(dispatch) ? milliseconds{90} : milliseconds{15}, [this, vm, dispatch] { onRun(vm, dispatch); });
    }

    // An endpoint goes on running a request whose sender has left.
    void onRun(std::size_t vm, const relay_dispatch &dispatch)
    {
        auto &endpoint = m_endpoints.at(dispatch.endpoint);
        if (!endpoint.running) {
            return;
        }
        if (isCrashing(dispatch)) {
            crash(dispatch.endpoint);
            return;
        }
        endpoint.open.erase({vm, dispatch.attempt});
        fleet.answer(vm, dispatch);
    }

    void onFailure(const answer_failure &failed)
    {
        const auto found = m_sent.find(failed.caller);
        if (found == m_sent.end()) {
            return;
        }
        const auto sent = found->second;
        if (sent.request != m_crashing && nameOf(failed.reason) == "quarantined") {
            ++m_soundQuarantined;
        }
        // Callers repeat a booking only when it has not run.
        const bool isLookup = sent.request.target.starts_with("/lookup/");
        if (sent.again && (isLookup || failed.result == outcome::NotRun)) {
            const auto delay = std::max<duration>(failed.retryAfter.value_or(milliseconds{30}), milliseconds{30});
            if (delay < milliseconds{500}) {
                fleet.schedule(delay, [this, request = sent.request] { send(request, false); });
            }
        }
    }

    content m_crashing;
    std::map<endpoint_name, endpoint_state> m_endpoints;
    int m_lastEndpoint = 0;
    std::vector<time_point> m_crashingSent;
    std::map<caller_id, sent_request> m_sent;
    std::set<caller_id> m_answered;
    std::size_t m_soundQuarantined = 0;
};

const content crashingLookup{"/lookup/crash", ""};
const content crashingBooking{"/book/crash", "crates of the wrong kind"};

void forSeeds(const std::function<void(unsigned)> &scenario)
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        scenario(seed);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_requests)

// Guards against a lookup that crashes endpoint after endpoint because its callers and this system send it again and again (incident second1 of issue 34).
BOOST_AUTO_TEST_CASE(aLookupThatCrashesEndpointsIsNotSentOn)
{
    forSeeds([](unsigned seed) {
        crash_replay replay(seed, crashingLookup);
        replay.run(seconds{3}, 0);
        replay.run(seconds{25}, 3);
        replay.check("seed " + std::to_string(seed));
    });
}

// Guards against a booking that crashes endpoints and is recognised only when it is repeated by this system.
BOOST_AUTO_TEST_CASE(aBookingThatCrashesEndpointsIsNotSentOn)
{
    forSeeds([](unsigned seed) {
        crash_replay replay(seed, crashingBooking);
        replay.run(seconds{3}, 0);
        replay.run(seconds{25}, 3);
        replay.check("seed " + std::to_string(seed));
    });
}

// Guards against a request that is recognised only if its crashes come within a moment.
BOOST_AUTO_TEST_CASE(rareCrashesAreLinkedAsWell)
{
    forSeeds([](unsigned seed) {
        crash_replay replay(seed, crashingLookup);
        replay.run(seconds{90}, 0.2, 30);
        replay.check("seed " + std::to_string(seed));
    });
}

// Guards against a crashing request that each VM has to find out by itself in a large fleet.
BOOST_AUTO_TEST_CASE(aLargeFleetActsTogether)
{
    crash_replay replay(3, crashingLookup, 20, 3);
    replay.run(seconds{3}, 0);
    replay.run(seconds{25}, 3);
    replay.check("60 VMs");
}

// Guards against a VM that hears no other VM and goes on sending what the others have learnt to refuse.
BOOST_AUTO_TEST_CASE(cutOffVmsLearnOfACrashingRequest)
{
    forSeeds([](unsigned seed) {
        crash_replay replay(seed, crashingLookup);
        for (std::size_t other = 0; other < replay.fleet.vms.size(); ++other) {
            replay.fleet.cutLinks.insert({1, other});
            replay.fleet.cutLinks.insert({other, 1});
        }
        replay.run(seconds{3}, 0);
        replay.run(seconds{25}, 3);
        replay.check("seed " + std::to_string(seed));
    });
}

// Guards against crashes that each part of a partition has seen and that are never linked after it. The store answers nobody meanwhile.
BOOST_AUTO_TEST_CASE(crashesSeenInPartsOfAPartitionAreLinkedAfterIt)
{
    forSeeds([](unsigned seed) {
        crash_replay replay(seed, crashingLookup);
        const auto partOf = [](std::size_t vm) { return vm % 3; };
        replay.fleet.directoryDown = true;
        for (std::size_t from = 0; from < replay.fleet.vms.size(); ++from) {
            for (std::size_t to = 0; to < replay.fleet.vms.size(); ++to) {
                if (partOf(from) != partOf(to)) {
                    replay.fleet.cutLinks.insert({from, to});
                }
            }
        }
        replay.run(seconds{3}, 0);
        for (std::size_t vm = 0; vm < 3; ++vm) {
            replay.sendTo(vm, crashingLookup, false);
            replay.run(seconds{2}, 0);
        }
        const auto crashesBefore = replay.crashes.size();
        BOOST_TEST_REQUIRE(crashesBefore >= 3U);
        replay.fleet.cutLinks.clear();
        replay.fleet.directoryDown = false;
        replay.run(seconds{8}, 0);
        replay.run(seconds{10}, 3);
        BOOST_TEST(replay.crashes.size() == crashesBefore,
                   "seed " << seed << ": " << replay.crashes.size() - crashesBefore << " endpoints ended after the partition");
    });
}

// Guards against crashes that are not linked because some VMs were cut off while they were told, for too short a time to count as silent.
BOOST_AUTO_TEST_CASE(crashesDuringShortCutsAreLinked)
{
    forSeeds([](unsigned seed) {
        crash_replay replay(seed, crashingLookup);
        replay.run(seconds{3}, 0);
        for (std::size_t part = 0; part < 3; ++part) {
            for (std::size_t from = 0; from < replay.fleet.vms.size(); ++from) {
                for (std::size_t to = 0; to < replay.fleet.vms.size(); ++to) {
                    if (from % 3 != to % 3) {
                        replay.fleet.cutLinks.insert({from, to});
                    }
                }
            }
            replay.sendTo(part, crashingLookup, false);
            replay.run(milliseconds{1400}, 0);
            replay.fleet.cutLinks.clear();
            replay.run(seconds{8}, 0);
        }
        const auto crashesBefore = replay.crashes.size();
        BOOST_TEST_REQUIRE(crashesBefore >= 3U);
        replay.run(seconds{10}, 3);
        BOOST_TEST(replay.crashes.size() == crashesBefore,
                   "seed " << seed << ": " << replay.crashes.size() - crashesBefore << " endpoints ended after the cuts");
    });
}

// Guards against a fleet that forgets a crashing request when all of its VMs are killed.
BOOST_AUTO_TEST_CASE(aCrashingRequestIsRememberedWhenAllVmsAreKilled)
{
    forSeeds([](unsigned seed) {
        crash_replay replay(seed, crashingLookup);
        replay.run(seconds{3}, 0);
        replay.run(seconds{12}, 3);
        const auto crashesBefore = replay.crashes.size();
        for (std::size_t i = 0; i < replay.fleet.vms.size(); ++i) {
            replay.fleet.kill(i);
        }
        replay.fleet.runFor(seconds{1});
        for (std::size_t i = 0; i < replay.fleet.vms.size(); ++i) {
            replay.fleet.start(i);
        }
        replay.run(seconds{15}, 3);
        replay.check("seed " + std::to_string(seed));
        BOOST_TEST(replay.crashes.size() <= crashesBefore + 1, "seed " << seed << ": " << replay.crashes.size() - crashesBefore << " more crashes");
    });
}

// Guards against requests that are refused for what another account, another body or another path did.
BOOST_AUTO_TEST_CASE(onlyTheSameContentIsRefused)
{
    forSeeds([](unsigned seed) {
        crash_replay replay(seed, crashingBooking);
        replay.run(seconds{3}, 0);
        replay.run(seconds{20}, 3);
        for (const auto &sound : {content{crashingBooking.target, crashingBooking.body, "k-other"},
                                  content{crashingBooking.target, "other"},
                                  content{"/book/1", crashingBooking.body}}) {
            const auto caller = replay.send(sound, false);
            BOOST_REQUIRE(caller.has_value());
            replay.fleet.runFor(milliseconds{300});
            BOOST_TEST(replay.isAnswered(*caller), "seed " << seed << ": " << sound.target << ' ' << sound.body << ' ' << sound.key);
        }
        BOOST_TEST(replay.soundQuarantined() == 0U, "seed " << seed);
    });
}

// Guards against sound requests that are refused because they were lost in crashes that have nothing to do with them, although callers repeat them.
BOOST_AUTO_TEST_CASE(ordinaryCrashesQuarantineNothing)
{
    forSeeds([](unsigned seed) {
        crash_replay replay(seed, crashingLookup);
        replay.run(seconds{3}, 0);
        for (int n = 0; n < 12; ++n) {
            const auto endpoints = replay.runningEndpoints();
            const auto count = std::min<std::size_t>(n % 4 == 3 ? 3 : 1, endpoints.size());
            for (std::size_t i = 0; i < count; ++i) {
                replay.crash(endpoints[i]);
            }
            replay.run(seconds{2}, 0, 120);
        }
        BOOST_TEST(replay.soundQuarantined() == 0U, "seed " << seed << ": " << replay.soundQuarantined() << " sound requests were refused");
    });
}

BOOST_AUTO_TEST_SUITE_END()
