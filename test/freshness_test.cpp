// Checks that admission leases end when the evidence for them is too old.
#include <boost/test/unit_test.hpp>

#include "freshness.hpp"

using namespace plantainpoint;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(freshness_permits)

namespace {

const incarnation_id self{vm_name{"a"}, 1};
const incarnation_id peer{vm_name{"b"}, 1};
const data_centre_name dataCentre{"dc"};

// Returns a heartbeat of the peer that answers the heartbeat sent by this VM at the given time.
heartbeat heartbeatAnswering(time_point ownSendTime, std::optional<duration> proofAge)
{
    heartbeat heartbeatMessage;
    heartbeatMessage.epoch = 1;
    heartbeatMessage.proofAge = proofAge;
    heartbeatMessage.proofOffset = 4;
    heartbeatMessage.heard.push_back({self, dataCentre, static_cast<std::uint64_t>(ownSendTime.time_since_epoch().count()), 0ns, 1, false});
    return heartbeatMessage;
}

} // namespace

// Guards against a VM that serves a withdrawn key because its log head proof never expires.
BOOST_AUTO_TEST_CASE(ownProofExpires)
{
    manual_clock clock;
    freshness tracker(self, dataCentre, clock);
    tracker.onOwnProof({clock.now(), 3});
    clock.advance(admissionLeaseTime - 1ns);
    BOOST_TEST((tracker.leaseBasis() == lease_basis::OwnProof));
    clock.advance(1ns);
    BOOST_TEST(!tracker.holdsLease());
}

// Guards against a heartbeat that counts as recent although it waited in a buffer while the VM was paused.
BOOST_AUTO_TEST_CASE(bufferedHeartbeatGivesNoLease)
{
    manual_clock clock;
    freshness tracker(self, dataCentre, clock);
    const auto heartbeatMessage = heartbeatAnswering(clock.now(), 0ns);
    clock.advance(60s);
    tracker.onHeartbeat(peer, heartbeatMessage, 4);
    BOOST_TEST(!tracker.holdsLease());
    tracker.onHeartbeat(peer, heartbeatAnswering(clock.now(), 0ns), 4);
    BOOST_TEST((tracker.leaseBasis() == lease_basis::RelayedProof));
}

// Guards against an admission lease that is based on a log head proof whose records this VM has not applied.
BOOST_AUTO_TEST_CASE(relayedProofNeedsItsOffset)
{
    manual_clock clock;
    freshness tracker(self, dataCentre, clock);
    tracker.onHeartbeat(peer, heartbeatAnswering(clock.now(), 0ns), 3);
    BOOST_TEST(!tracker.holdsLease());
}

// Guards against a VM that keeps serving in a partition: a log outage gives a lease only if a majority reports no newer epoch.
BOOST_AUTO_TEST_CASE(logOutageNeedsMajority)
{
    manual_clock clock;
    freshness tracker(self, dataCentre, clock);
    current_epoch epoch;
    epoch.number = 1;
    for (const auto *name : {"a", "b", "c"}) {
        epoch.members.push_back({{vm_name{name}, 1}, dataCentre, region_name{"r"}, ""});
    }
    tracker.onEpoch(epoch);
    tracker.onReadFailed();
    BOOST_TEST(!tracker.holdsLease());
    tracker.onHeartbeat(peer, heartbeatAnswering(clock.now(), std::nullopt), 4);
    BOOST_TEST((tracker.leaseBasis() == lease_basis::LogDownForAll));
    auto newerHeartbeat = heartbeatAnswering(clock.now(), std::nullopt);
    newerHeartbeat.epoch = 2;
    tracker.onHeartbeat({vm_name{"c"}, 1}, newerHeartbeat, 4);
    BOOST_TEST(!tracker.holdsLease());
}

BOOST_AUTO_TEST_SUITE_END()
