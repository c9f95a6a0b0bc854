// Plays fleets whose endpoints run two versions of their software while streams break off, and looks for streams that are joined from both.
#include <boost/test/unit_test.hpp>

#include "version_play.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

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

// Plays losses of records while a VM that is no hub, which gets half of the streams, is killed. The hubs of its data centre are in trouble meanwhile.
struct hub_trouble_play : version_play {
    hub_trouble_play(int vmsPerDataCentre, int dataCentres)
        : version_play(vmsPerDataCentre, dataCentres)
    {
        eventPause = milliseconds{200};
        start();
        load(seconds{15}, 20);
        chooseVms();
    }
    // Chooses the hubs of the first data centre, and a VM there that is none.
    void chooseVms()
    {
        hubs.clear();
        for (std::size_t i = 0; i < fleet.vms.size(); ++i) {
            const bool isFirst = fleet.vms[i].info.dataCentre.value == "dc-0";
            if (isFirst && fleet.isHub(i)) {
                hubs.push_back(i);
            } else if (isFirst) {
                busyVm = i;
            }
        }
        BOOST_REQUIRE(hubs.size() == 2U);
        BOOST_REQUIRE(busyVm.has_value());
    }
    void freezeHubs(bool frozen)
    {
        for (const auto hub : hubs) {
            fleet.vms[hub].frozen = frozen;
        }
    }
    void finishPlay()
    {
        load(seconds{4}, 40);
        fleet.runFor(seconds{12});
        check();
        for (const auto &[reason, count] : failures) {
            BOOST_TEST_MESSAGE(nameOf(reason) << ' ' << count);
        }
        BOOST_TEST_MESSAGE(whole() << " of " << streams.size() << " streams are whole, " << failures[failure::StreamVersionUnknown]
                                   << " tries were refused as the version was not known");
    }

    std::vector<std::size_t> hubs;
};

// Guards against the silence of hubs being taken for the default version: they stand still when streams are taken up whose records the directory has lost.
void playSilentHubs(int vmsPerDataCentre, int dataCentres, duration silence)
{
    hub_trouble_play play(vmsPerDataCentre, dataCentres);
    play.load(seconds{3}, 40);
    play.fleet.forgetStreams();
    play.load(milliseconds{500}, 40);
    play.freezeHubs(true);
    play.killOne(*play.busyVm, milliseconds{500});
    play.load(silence, 40);
    play.freezeHubs(false);
    play.finishPlay();
}

BOOST_AUTO_TEST_CASE(theHubsAreSilentAfterALossOfRecords)
{
    playSilentHubs(5, 1, milliseconds{700});
    playSilentHubs(5, 1, milliseconds{3000});
}

// Guards against the same where hubs of another data centre answer: they have not been sent the records.
BOOST_AUTO_TEST_CASE(theHubsOfOneDataCentreAreSilentAfterALossOfRecords)
{
    playSilentHubs(5, 2, milliseconds{700});
    playSilentHubs(20, 3, milliseconds{3000});
}

// Guards against the same where the hubs of a data centre have ended.
BOOST_AUTO_TEST_CASE(theHubsAreKilledAfterALossOfRecords)
{
    hub_trouble_play play(5, 1);
    play.load(seconds{3}, 40);
    play.fleet.forgetStreams();
    play.load(milliseconds{300}, 40);
    for (const auto hub : play.hubs) {
        play.killOne(hub, milliseconds{200});
    }
    play.killOne(*play.busyVm, milliseconds{500});
    play.load(seconds{4}, 40);
    play.fleet.runFor(seconds{12});
    // No VM knows where these streams began. In touch, a loss of acknowledged records does not occur.
    BOOST_TEST(play.joined() <= joinedAllowed, play.joined() << " of " << play.streams.size() << " streams hold events of two versions");
    BOOST_TEST(play.failures[failure::StreamVersionUnknown] > 0);
}

// Guards against denials of a hub that has not been sent the records, as it has just started or stood still.
BOOST_AUTO_TEST_CASE(aNewHubDeniesLostRecords)
{
    hub_trouble_play play(5, 1);
    play.load(seconds{3}, 40);
    play.fleet.forgetStreams();
    play.killOne(play.hubs.front(), milliseconds{100});
    play.load(milliseconds{1300}, 40);
    play.fleet.vms[play.hubs.back()].frozen = true;
    play.killOne(*play.busyVm, milliseconds{500});
    play.load(milliseconds{1000}, 40);
    play.fleet.vms[play.hubs.back()].frozen = false;
    play.finishPlay();
}

BOOST_AUTO_TEST_CASE(aHubThatStoodStillDeniesLostRecords)
{
    hub_trouble_play play(5, 1);
    play.fleet.vms[play.hubs.front()].frozen = true;
    play.load(seconds{3}, 40);
    play.fleet.vms[play.hubs.front()].frozen = false;
    play.fleet.forgetStreams();
    play.load(milliseconds{100}, 40);
    for (std::size_t i = 0; i < play.fleet.vms.size(); ++i) {
        play.fleet.vms[i].frozen = i != play.hubs.front() && i != *play.busyVm && play.fleet.isHub(i);
    }
    play.killOne(*play.busyVm, milliseconds{500});
    play.load(milliseconds{700}, 40);
    for (auto &vm : play.fleet.vms) {
        vm.frozen = false;
    }
    play.finishPlay();
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

// Guards against the use of a request that the decision on its version has refused: it waited for other VMs, and no endpoint has its version any more.
BOOST_AUTO_TEST_CASE(aStreamOfAVersionThatIsGoneIsRefusedAfterALossOfHistory)
{
    version_play play(1, 3);
    play.start();
    play.load(seconds{3}, 20);
    play.leave(1);
    play.leave(2);
    play.fleet.runFor(seconds{15}); // Hubs can deny the record when they have run for as long as the route allows.
    play.fleet.forgetStreams();
    for (std::size_t vm = 0; vm < play.fleet.vms.size(); ++vm) {
        play.fleet.submitStream(vm, "/resume/1", "id-of-a-stream-without-a-record", 3);
    }
    play.fleet.runFor(seconds{1});
    BOOST_TEST(play.failures[failure::StreamVersionGone] == 3);
}

BOOST_AUTO_TEST_SUITE_END()
