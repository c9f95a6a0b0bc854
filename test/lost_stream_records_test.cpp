// Plays losses after which no VM knows which streams began elsewhere than at the default version.
#include <boost/test/unit_test.hpp>

#include "version_play.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

BOOST_AUTO_TEST_SUITE(lost_stream_records)

// Guards against streams whose records only VMs kept being taken for ones at the default version after all of these VMs have ended.
BOOST_AUTO_TEST_CASE(allVmsAreKilledInAnOutageOfTheDirectory)
{
    version_play play(1, 3);
    play.eventPause = milliseconds{200};
    play.start();
    for (int round = 0; round < 3; ++round) {
        play.load(seconds{3}, 40);
        play.fleet.directoryDown = true;
        play.load(milliseconds{1000}, 40);
        play.killAll(milliseconds{600});
        play.fleet.runFor(milliseconds{1000});
        play.fleet.directoryDown = false;
        play.load(seconds{3}, 40);
    }
    play.fleet.runFor(seconds{12});
    play.check();
}

// Guards against streams going on at an endpoint that has started again with another version before a VM has found its listener closed.
BOOST_AUTO_TEST_CASE(anEndpointStartsAgainAtOnceInAnOutageOfTheDirectory)
{
    version_play play(1, 3);
    play.firstVersion = "v1.1";
    play.eventPause = milliseconds{200};
    play.start();
    play.load(seconds{4}, 34);
    play.fleet.directoryDown = true;
    play.crash(1, "v1.2", milliseconds{10});
    play.load(seconds{3}, 34);
    play.crash(2, "v1.2", milliseconds{10});
    play.load(milliseconds{1500}, 34);
    play.fleet.directoryDown = false;
    play.announce(1, "v1.2", 2);
    play.announce(2, "v1.2", 2);
    play.load(seconds{3}, 34);
    play.fleet.runFor(seconds{12});
    play.check();
}

BOOST_AUTO_TEST_SUITE_END()
