// Plays fleets whose endpoints run two versions of their software while streams break off, and looks for streams that are joined from both.
#include <map>
#include <set>

#include <boost/test/unit_test.hpp>

#include "simulated_fleet.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

using std::chrono::seconds;

constexpr std::uint64_t eventsPerStream = 14;
constexpr int maxTries = 4;
constexpr std::size_t joinedAllowed = 2;

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

} // namespace

BOOST_AUTO_TEST_SUITE(joined_stream_versions)

BOOST_AUTO_TEST_CASE(endpointsThatBreakOff)
{
    version_play play(7, 1);
    play.breakPermille = 400;
    play.start();
    play.load(seconds{6}, 20);
    play.fleet.runFor(seconds{6});
    play.check();
}

void playKills(int vmsPerDataCentre, int dataCentres, int perSecond)
{
    version_play play(vmsPerDataCentre, dataCentres);
    play.breakPermille = 100;
    play.start();
    for (int kill = 0; kill < 3; ++kill) {
        play.load(seconds{3}, perSecond);
        play.killAll(milliseconds{600});
        play.fleet.runFor(milliseconds{1600});
    }
    play.load(seconds{3}, perSecond);
    play.fleet.runFor(seconds{8});
    play.check();
}

BOOST_AUTO_TEST_CASE(allVmsKilledAt7Vms)
{
    playKills(7, 1, 20);
}

BOOST_AUTO_TEST_CASE(allVmsKilledAt60Vms)
{
    playKills(20, 3, 30);
}

BOOST_AUTO_TEST_CASE(allVmsKilledAt295Vms)
{
    playKills(59, 5, 40);
}

// The second version appears while streams run, and the first one leaves before the VMs are killed.
BOOST_AUTO_TEST_CASE(theFirstVersionLeaves)
{
    version_play play(7, 1);
    play.firstVersion = "v1.1";
    play.start();
    play.load(seconds{3}, 20);
    play.announce(5, "v1.2", 1);
    play.announce(6, "v1.2", 1);
    play.load(seconds{3}, 20);
    for (int i = 1; i <= 4; ++i) {
        play.leave(i);
    }
    play.fleet.runFor(milliseconds{200});
    play.killAll(milliseconds{600});
    play.fleet.runFor(milliseconds{1600});
    play.load(seconds{3}, 20);
    play.fleet.runFor(seconds{8});
    play.check();
    BOOST_TEST(play.failures[failure::StreamVersionGone] > 0);
}

// An endpoint starts again under its name with a newer version.
BOOST_AUTO_TEST_CASE(anEndpointStartsAgainWithAnotherVersion)
{
    version_play play(7, 1);
    play.firstVersion = "v1.1";
    play.start();
    play.load(seconds{2}, 20);
    for (int i = 1; i <= 4; ++i) {
        play.announce(i, "v1.2", 2);
        play.load(seconds{1}, 20);
    }
    play.killAll(milliseconds{600});
    play.fleet.runFor(milliseconds{1600});
    play.load(seconds{2}, 20);
    play.fleet.runFor(seconds{8});
    play.check();
}

// Guards against a VM that is out of step for some seconds while endpoints of a new version join: streams that began on them through other VMs are taken up
// at it and go on at the only version that it knows.
void playOutOfStep(bool frozen, int vmsPerDataCentre, int dataCentres)
{
    version_play play(vmsPerDataCentre, dataCentres);
    play.endpointsAtStart = 2;
    play.breakPermille = 300;
    play.start();
    play.load(seconds{2}, 40);
    const std::size_t outOfStep = 3;
    for (std::size_t i = 0; i < play.fleet.vms.size() && !frozen; ++i) {
        play.fleet.cutLinks.insert({i, outOfStep});
        play.fleet.cutLinks.insert({outOfStep, i});
    }
    play.fleet.vms[outOfStep].frozen = frozen;
    play.fleet.vms[outOfStep].cutFromDirectory = !frozen;
    for (int i = 3; i <= 6; ++i) {
        play.announce(i, "v1.1", 1);
    }
    play.returnsTo = outOfStep;
    play.load(seconds{5}, 40);
    play.fleet.cutLinks.clear();
    play.fleet.vms[outOfStep].frozen = false;
    play.fleet.vms[outOfStep].cutFromDirectory = false;
    play.load(seconds{2}, 40);
    play.fleet.runFor(seconds{8});
    BOOST_TEST(play.joined() <= joinedAllowed, play.joined() << " of " << play.streams.size() << " streams hold events of two versions");
}

BOOST_AUTO_TEST_CASE(aVmIsCutOffWhileAVersionJoins)
{
    playOutOfStep(false, 7, 1);
    playOutOfStep(false, 20, 3);
}

BOOST_AUTO_TEST_CASE(aVmStandsStillWhileAVersionJoins)
{
    playOutOfStep(true, 7, 1);
    playOutOfStep(true, 20, 3);
}

BOOST_AUTO_TEST_CASE(theDirectoryIsDownWhileVmsStart)
{
    version_play play(7, 1);
    play.breakPermille = 100;
    play.start();
    play.load(seconds{3}, 20);
    play.fleet.directoryDown = true;
    play.load(seconds{2}, 20);
    play.killAll(milliseconds{600});
    play.fleet.runFor(milliseconds{1600});
    play.load(seconds{2}, 20);
    play.fleet.directoryDown = false;
    play.load(seconds{3}, 20);
    play.fleet.runFor(seconds{8});
    BOOST_TEST(play.joined() <= joinedAllowed);
}

BOOST_AUTO_TEST_CASE(aPartitionKeepsVmsFromEachOtherAndFromTheDirectory)
{
    version_play play(7, 1);
    play.breakPermille = 300;
    play.start();
    play.load(seconds{2}, 20);
    for (std::size_t a = 0; a < 7; ++a) {
        for (std::size_t b = 0; b < 7; ++b) {
            if (a % 2 != b % 2) {
                play.fleet.cutLinks.insert({a, b});
            }
        }
        play.fleet.vms[a].cutFromDirectory = a % 2 == 0;
    }
    play.load(seconds{5}, 20);
    play.fleet.runFor(seconds{8});
    BOOST_TEST(play.joined() <= joinedAllowed, play.joined() << " streams hold events of two versions");
}

// Guards against streams of a VM that is partitioned from the directory going on at another version after the VM has ended: their first events reached
// their callers without a record, and other VMs took the lack of one for the default version.
void playCutAndKill(int vmsPerDataCentre, int dataCentres, duration killAfter)
{
    version_play play(vmsPerDataCentre, dataCentres);
    play.eventPause = milliseconds{200};
    play.busyVm = 0;
    play.start();
    for (int round = 0; round < 3; ++round) {
        play.load(seconds{3}, 40);
        play.fleet.vms[0].cutFromDirectory = true;
        play.load(killAfter, 40);
        play.killOne(0, milliseconds{300});
        play.load(milliseconds{5500} - killAfter, 40);
        play.fleet.vms[0].cutFromDirectory = false;
    }
    play.load(seconds{3}, 40);
    play.fleet.runFor(seconds{12});
    play.check();
    BOOST_TEST(play.whole() == play.streams.size(), play.whole() << " of " << play.streams.size() << " streams are whole");
}

BOOST_AUTO_TEST_CASE(aVmIsKilledWhileItIsCutFromTheDirectoryAt3Vms)
{
    playCutAndKill(1, 3, milliseconds{1700});
}

BOOST_AUTO_TEST_CASE(aVmIsKilledWhileItIsCutFromTheDirectoryAt7Vms)
{
    playCutAndKill(7, 1, milliseconds{1700});
}

BOOST_AUTO_TEST_CASE(aVmIsKilledWhileItIsCutFromTheDirectoryAt60Vms)
{
    playCutAndKill(20, 3, milliseconds{1200});
}

BOOST_AUTO_TEST_CASE(aVmIsKilledWhileItIsCutFromTheDirectoryAt295Vms)
{
    playCutAndKill(59, 5, milliseconds{1700});
}

// Guards against the same where two of three VMs are partitioned from the directory, so that only one can store records for them.
BOOST_AUTO_TEST_CASE(twoOfThreeVmsAreCutFromTheDirectoryAndKilled)
{
    version_play play(1, 3);
    play.eventPause = milliseconds{200};
    play.start();
    for (int round = 0; round < 3; ++round) {
        play.load(seconds{3}, 40);
        play.fleet.vms[0].cutFromDirectory = true;
        play.fleet.vms[1].cutFromDirectory = true;
        play.load(milliseconds{1700}, 40);
        play.killOne(0, milliseconds{300});
        play.killOne(1, milliseconds{300});
        play.load(milliseconds{3800}, 40);
        play.fleet.vms[0].cutFromDirectory = false;
        play.fleet.vms[1].cutFromDirectory = false;
    }
    play.load(seconds{3}, 40);
    play.fleet.runFor(seconds{12});
    play.check();
}

// Guards against the records of a lost VM being gone from the directory, so that its streams are taken for ones at the default version.
void playLossOfHistory(int vmsPerDataCentre, int dataCentres)
{
    version_play play(vmsPerDataCentre, dataCentres);
    play.eventPause = milliseconds{200};
    play.busyVm = 0;
    play.start();
    for (int round = 0; round < 3; ++round) {
        play.load(seconds{4}, 40);
        play.fleet.forgetStreams();
        play.load(milliseconds{500}, 40);
        play.killOne(0, milliseconds{500});
        play.load(seconds{4}, 40);
    }
    play.fleet.runFor(seconds{12});
    play.check();
    BOOST_TEST(play.whole() == play.streams.size(), play.whole() << " of " << play.streams.size() << " streams are whole");
}

BOOST_AUTO_TEST_CASE(theDirectoryForgetsItsHistoryAndAVmIsKilledAt3Vms)
{
    playLossOfHistory(1, 3);
}

BOOST_AUTO_TEST_CASE(theDirectoryForgetsItsHistoryAndAVmIsKilledAt60Vms)
{
    playLossOfHistory(20, 3);
}

BOOST_AUTO_TEST_CASE(theDirectoryForgetsItsHistoryAndAVmIsKilledAt295Vms)
{
    playLossOfHistory(59, 5);
}

// Guards against refusals of streams that are taken up while the directory cannot be read, although other VMs know where they began.
BOOST_AUTO_TEST_CASE(streamsAreTakenUpWhileTheDirectoryIsDown)
{
    version_play play(1, 3);
    play.eventPause = milliseconds{200};
    play.breakPermille = 300;
    play.start();
    play.load(seconds{20}, 20);
    play.fleet.directoryDown = true;
    play.load(milliseconds{4500}, 20);
    play.fleet.directoryDown = false;
    play.load(seconds{2}, 20);
    play.fleet.runFor(seconds{12});
    play.check();
    BOOST_TEST(play.failures[failure::StreamVersionUnknown] == 0);
}

// Guards against the same where no VM stores records, and one is lost: the others keep its records.
BOOST_AUTO_TEST_CASE(aVmIsKilledWhileTheDirectoryIsDown)
{
    version_play play(1, 3);
    play.eventPause = milliseconds{200};
    play.busyVm = 0;
    play.start();
    for (int round = 0; round < 3; ++round) {
        play.load(seconds{3}, 40);
        play.fleet.directoryDown = true;
        play.load(milliseconds{1700}, 40);
        play.killOne(0, milliseconds{300});
        play.load(milliseconds{1800}, 40);
        play.fleet.directoryDown = false;
    }
    play.load(seconds{3}, 40);
    play.fleet.runFor(seconds{12});
    play.check();
}

// Guards against streams going on at an endpoint that is back under its id with another version while the directory cannot show its new entry.
void playCrashesInAnOutage(int vmsPerDataCentre, int dataCentres)
{
    version_play play(vmsPerDataCentre, dataCentres);
    play.firstVersion = "v1.1";
    play.eventPause = milliseconds{200};
    play.start();
    play.load(seconds{4}, 34);
    play.fleet.directoryDown = true;
    play.crash(1, "v1.2", seconds{1});
    play.load(milliseconds{3200}, 34);
    play.crash(2, "v1.2", seconds{2});
    play.load(milliseconds{1300}, 34);
    play.fleet.directoryDown = false;
    play.announce(1, "v1.2", 2);
    play.load(milliseconds{700}, 34);
    play.announce(2, "v1.2", 2);
    play.load(seconds{3}, 34);
    play.fleet.runFor(seconds{12});
    play.check();
}

BOOST_AUTO_TEST_CASE(anEndpointIsBackWithAnotherVersionInAnOutageAt3Vms)
{
    playCrashesInAnOutage(1, 3);
}

BOOST_AUTO_TEST_CASE(anEndpointIsBackWithAnotherVersionInAnOutageAt60Vms)
{
    playCrashesInAnOutage(20, 3);
}

BOOST_AUTO_TEST_SUITE_END()
