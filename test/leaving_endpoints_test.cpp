// Plays fleets whose endpoints say in their answers that they leave, or want a pause, and counts what they get afterwards.
#include <map>
#include <set>

#include <boost/test/unit_test.hpp>

#include "leaving_runs.hpp"
#include "simulated_fleet.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

using std::chrono::seconds;

constexpr duration drainTime = seconds{2}; // From the first answer that says so until a VM may send no more.
constexpr int requestsPerSecond = 90;

struct leaving_play {
    leaving_play(int vmsPerDataCentre, int dataCentres)
        : fleet({.vmsPerDataCentre = vmsPerDataCentre, .dataCentres = dataCentres, .seed = 1})
        , dataCentreCount(dataCentres)
    {
        fleet.onDispatch = [this](std::size_t index, const relay_dispatch &dispatch) { onDispatch(index, dispatch); };
        fleet.onFailure = [this](const answer_failure &failed) { failures.push_back(failed); };
    }

    // Starts the VMs, which know three endpoints in different data centres.
    void start()
    {
        auto config = sampleRelayConfig();
        config.accounts.front().rate = 1e7;
        config.accounts.front().burst = 1e7;
        fleet.publish(config);
        for (int i = 1; i <= 3; ++i) {
            fleet.announce(desk(i));
        }
        fleet.startAll();
        fleet.runFor(seconds{6});
    }

    relay_endpoint desk(int number, std::int64_t startedAt = 1) const
    {
        auto endpoint = endpointNamed("desk-" + std::to_string(number), "desk");
        endpoint.dataCentre = {"dc-" + std::to_string(number % dataCentreCount)};
        endpoint.address = "10.9.0." + std::to_string(number) + ":8000";
        endpoint.slots = 40;
        endpoint.startedAt = startedAt;
        return endpoint;
    }

    void onDispatch(std::size_t index, const relay_dispatch &dispatch)
    {
        if (dispatch.endpoint == leaving) {
            lastArrival = fleet.now();
            const auto told = toldAt.find(fleet.vms[index].info.vm);
            if (told != toldAt.end() && fleet.now() - told->second > drainTime) {
                ++late;
            }
        }
        fleet.schedule(milliseconds{5 + fleet.randomBelow(40)}, [this, index, dispatch] {
            relay_reply reply{.attempt = dispatch.attempt, .status = 200, .body = "b", .genuine = true, .statement = endpoint_statement{}};
            if (dispatch.endpoint == leaving && saysSo) {
                reply.statement->leaving = true;
                toldAt.emplace(fleet.vms[index].info.vm, fleet.now());
            }
            fleet.deliver(index, std::move(reply));
        });
    }

    void load(duration time)
    {
        const auto end = fleet.now() + time;
        while (fleet.now() < end) {
            fleet.runFor(std::chrono::microseconds{1'000'000 / requestsPerSecond});
            const auto index = static_cast<std::size_t>(fleet.randomBelow(static_cast<int>(fleet.vms.size())));
            if (fleet.vms[index].core && !fleet.vms[index].frozen) {
                fleet.submit(index, "/lookup/1");
            }
        }
    }

    // Lets the first endpoint leave and returns when it has said so first.
    time_point leave()
    {
        leaving = {"desk-1"};
        load(seconds{1});
        BOOST_REQUIRE(!toldAt.empty());
        auto first = fleet.now();
        for (const auto &[vm, time] : toldAt) {
            first = std::min(first, time);
        }
        return first;
    }

    simulated_fleet fleet;
    int dataCentreCount;
    endpoint_name leaving;
    bool saysSo = true; // In its answers.
    std::map<vm_name, time_point> toldAt; // Time of the first answer that said so at each VM.
    time_point lastArrival{};
    std::size_t late = 0; // Requests that a VM sent later than the rule allows.
    std::vector<answer_failure> failures;
};

// The entry of the endpoint stays ready in the directory.
void playReadyEntry(int vmsPerDataCentre, int dataCentres)
{
    leaving_play play(vmsPerDataCentre, dataCentres);
    play.start();
    const auto first = play.leave();
    play.load(seconds{6});
    BOOST_TEST(play.late == 0U);
    BOOST_TEST(play.fleet.vms.size() == static_cast<std::size_t>(vmsPerDataCentre * dataCentres));
    BOOST_TEST((play.lastArrival - first <= drainTime),
               "a VM sent a request " << std::chrono::duration_cast<milliseconds>(play.lastArrival - first).count()
                                      << " ms after the first answer that said so");
    BOOST_TEST(play.failures.empty());
}

} // namespace

BOOST_AUTO_TEST_SUITE(leaving_endpoints)

BOOST_AUTO_TEST_CASE(entryStaysReadyAt7Vms)
{
    playReadyEntry(7, 1);
}

BOOST_AUTO_TEST_CASE(entryStaysReadyAt60Vms)
{
    playReadyEntry(20, 3);
}

BOOST_AUTO_TEST_CASE(entryStaysReadyAt295Vms)
{
    playReadyEntry(59, 5);
}

// Guards against VMs that forget what an endpoint has said: hubs that are lost, restarts of VMs, and an older copy of the directory.
BOOST_AUTO_TEST_CASE(hubsKilledAndDirectoryRestored)
{
    leaving_play play(20, 3);
    play.start();
    play.leave();
    play.load(seconds{2});
    for (int kill = 0; kill < 6; ++kill) {
        for (std::size_t i = 0; i < play.fleet.vms.size(); ++i) {
            if (play.fleet.isHub(i)) {
                play.fleet.kill(i);
                play.toldAt.erase(play.fleet.vms[i].info.vm);
                play.fleet.schedule(milliseconds{400}, [&play, i] { play.fleet.start(i); });
                break;
            }
        }
        play.load(seconds{2});
    }
    play.fleet.withdraw("desk-1");
    play.load(seconds{1});
    play.fleet.announce(play.desk(1));
    play.load(seconds{3});
    BOOST_TEST(play.late == 0U);
}

BOOST_AUTO_TEST_CASE(threePartsOfAPartition)
{
    leaving_play play(20, 3);
    play.start();
    for (std::size_t a = 0; a < play.fleet.vms.size(); ++a) {
        for (std::size_t b = 0; b < play.fleet.vms.size(); ++b) {
            if (a % 3 != b % 3) {
                play.fleet.cutLinks.insert({a, b});
            }
        }
    }
    play.load(seconds{2});
    play.leave();
    play.load(seconds{6});
    play.fleet.cutLinks.clear();
    play.load(seconds{4});
    BOOST_TEST(play.late == 0U);
}

// Guards against one VM whose reads of the directory fail and that takes this for an outage of the directory: entries that are withdrawn afterwards would
// count as lapsed in the outage at all VMs, and their endpoints would get requests for two further seconds.
BOOST_AUTO_TEST_CASE(aVmThatCannotReadTheDirectoryIsNoOutage)
{
    // The first read that succeeds has to meet a moment at which the one before has failed.
    for (int phase = 0; phase < 3; ++phase) {
        leaving_play play(5, 3);
        play.start();
        const auto reader = play.fleet.reader();
        BOOST_REQUIRE(reader.has_value());
        play.saysSo = false;
        play.leaving = {"desk-1"};
        play.fleet.vms[*reader].cutFromDirectory = true;
        play.load(seconds{3} + phase * milliseconds{250});
        play.fleet.withdraw("desk-1");
        const auto withdrawnAt = play.fleet.now();
        play.fleet.vms[*reader].cutFromDirectory = false;
        play.load(seconds{3});
        const auto after = std::chrono::duration_cast<milliseconds>(play.lastArrival - withdrawnAt).count();
        BOOST_TEST(after <= 1800, "phase " << phase << ": a VM sent a request " << after << " ms after the entry had been withdrawn");
    }
}

// Guards against a VM that tells others of a position of the directory before it tells them of the changes up to it: VMs that take the position over miss
// the changes for good.
BOOST_AUTO_TEST_CASE(aSlowReadOfTheConfigurationHidesNoWithdrawal)
{
    leaving_play play(20, 3);
    play.start();
    play.fleet.configurationReadTime = milliseconds{500};
    play.load(seconds{2});
    play.fleet.withdraw("desk-1");
    const auto withdrawnAt = play.fleet.now();
    play.saysSo = false;
    play.leaving = {"desk-1"};
    play.load(seconds{5});
    const auto after = std::chrono::duration_cast<milliseconds>(play.lastArrival - withdrawnAt).count();
    BOOST_TEST_MESSAGE("last request " << after << " ms after the withdrawal");
    BOOST_TEST(after <= 1800, "a VM sent a request " << after << " ms after the entry had been withdrawn");
}

// Endpoints whose entries lapse in an outage of the directory are used until they have had time to write them again.
BOOST_AUTO_TEST_CASE(entriesThatLapseInAnOutageStay)
{
    leaving_play play(20, 3);
    play.start();
    play.fleet.directoryDown = true;
    play.load(seconds{5});
    for (int i = 1; i <= 3; ++i) {
        play.fleet.withdraw("desk-" + std::to_string(i));
    }
    play.fleet.directoryDown = false;
    play.load(milliseconds{1200});
    for (int i = 1; i <= 3; ++i) {
        play.fleet.announce(play.desk(i));
    }
    play.load(seconds{4});
    BOOST_TEST(play.failures.empty());
}

BOOST_AUTO_TEST_CASE(theNextRunGetsRequestsAgain)
{
    leaving_play play(7, 1);
    play.start();
    play.leave();
    play.load(seconds{3});
    play.leaving = {};
    play.fleet.announce(play.desk(1, 2));
    const auto count = [&] {
        std::size_t sent = 0;
        for (const auto &vm : play.fleet.vms) {
            sent += static_cast<std::size_t>(
                std::count_if(vm.dispatches.begin(), vm.dispatches.end(), [](const auto &each) { return each.endpoint.value == "desk-1"; }));
        }
        return sent;
    };
    const auto before = count();
    play.load(seconds{3});
    BOOST_TEST(count() - before > 30U);
}

// Guards against an older run's word that ends what is known of a newer one, and against a table that grows without end.
BOOST_AUTO_TEST_CASE(runsAreToldApart)
{
    leaving_runs runs;
    const time_point start{std::chrono::hours{1}};
    BOOST_TEST(runs.add({{"desk-1"}, 5}, start));
    BOOST_TEST(!runs.add({{"desk-1"}, 5}, start));
    BOOST_TEST(!runs.add({{"desk-1"}, 4}, start));
    BOOST_TEST(runs.contains({"desk-1"}, 5));
    BOOST_TEST(!runs.contains({"desk-1"}, 4));
    BOOST_TEST(runs.add({{"desk-1"}, 6}, start + seconds{1}));
    BOOST_TEST(!runs.contains({"desk-1"}, 5));
    runs.tick(start + std::chrono::minutes{11});
    BOOST_TEST(runs.size() == 0U);
    for (int i = 0; i < 10'000; ++i) {
        runs.add({{"desk-" + std::to_string(i)}, 1}, start + milliseconds{i});
    }
    BOOST_TEST(runs.size() <= 4096U);
    BOOST_TEST(runs.contains({"desk-9999"}, 1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(paused_endpoints, relay_fixture)

// Guards against requests to an endpoint that has turned requests away for a stated time.
BOOST_AUTO_TEST_CASE(aPausedEndpointGetsNothing)
{
    configureDesks();
    const auto answerWithPause = [&](const relay_dispatch &dispatch, duration pause) {
        core.handle(relay_reply{.attempt = dispatch.attempt, .status = 503, .notRun = true, .statement = endpoint_statement{.pause = pause}});
        collect();
    };
    sendRequest("/lookup/1");
    const auto paused = dispatches.back().endpoint;
    answerWithPause(dispatches.back(), seconds{2});
    BOOST_REQUIRE(dispatches.size() == 2U);
    BOOST_TEST((dispatches.back().endpoint != paused));
    reply(dispatches.back(), 200);
    for (int i = 0; i < 20; ++i) {
        advance(milliseconds{90});
        sendRequest("/lookup/1");
        BOOST_TEST((dispatches.back().endpoint != paused));
        reply(dispatches.back(), 200);
    }
    // Its entry is dropped and listed again, as an older copy of the directory may do.
    withdraw(paused.value);
    advance(milliseconds{10});
    announce({endpointNamed("desk-1", "desk"), endpointNamed("desk-2", "desk")});
    sendRequest("/lookup/1");
    BOOST_TEST((dispatches.back().endpoint != paused));
    // Both pause: callers are refused at once and told when to come back.
    answerWithPause(dispatches.back(), milliseconds{800});
    BOOST_REQUIRE(failures.size() == 1U);
    BOOST_TEST(static_cast<int>(failures.back().result) == static_cast<int>(outcome::NotRun));
    const auto before = dispatches.size();
    sendRequest("/lookup/1");
    BOOST_REQUIRE(failures.size() == 2U);
    BOOST_TEST((failures.back().retryAfter.value_or(duration{}) >= milliseconds{100}));
    BOOST_TEST((failures.back().retryAfter.value_or(duration{}) <= milliseconds{1200}));
    BOOST_TEST(dispatches.size() == before);
    advance(milliseconds{900});
    sendRequest("/lookup/1");
    BOOST_TEST(dispatches.size() == before + 1);
}

// Guards against a pause that ends late because the endpoint has started again, and against one of an earlier run.
BOOST_AUTO_TEST_CASE(aPauseBelongsToOneRun)
{
    configure(sampleRelayConfig());
    auto desk = endpointNamed("desk-1", "desk");
    announce({desk});
    sendRequest("/lookup/1");
    const auto first = dispatches.back();
    desk.startedAt = 2;
    announce({desk});
    core.handle(relay_reply{.attempt = first.attempt, .status = 503, .genuine = true, .statement = endpoint_statement{.pause = seconds{5}}});
    collect();
    const auto before = dispatches.size();
    sendRequest("/lookup/1");
    BOOST_TEST(dispatches.size() == before + 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(failed_directory_reads, relay_fixture)

// Guards against two reads that fail by chance, or at one VM only, and that count as an outage of the directory: an entry that is withdrawn afterwards would
// be used for two further seconds, as if it had lapsed in the outage.
BOOST_AUTO_TEST_CASE(failedReadsAreNoOutage)
{
    configureDesks();
    const auto read = [&](bool succeeded) {
        const auto before = directoryReads;
        for (int i = 0; i < 80 && directoryReads == before; ++i) {
            advance(milliseconds{50});
        }
        BOOST_REQUIRE(directoryReads > before);
        core.handle(directory_read_finished{succeeded});
        collect();
    };
    for (int i = 0; i < 8; ++i) {
        read(true);
    }
    read(false);
    read(false);
    withdraw("desk-1");
    for (int i = 0; i < 10; ++i) {
        sendRequest("/lookup/1");
        BOOST_TEST(dispatches.back().endpoint.value == "desk-2");
        reply(dispatches.back(), 200);
    }
}

BOOST_AUTO_TEST_SUITE_END()
