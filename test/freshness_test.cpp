// admission leases end when the evidence for them is too old
#include <boost/test/unit_test.hpp>

#include "freshness.hpp"

using namespace plantainpoint;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(freshness_permits)

namespace {

const incarnation_id self{vm_name{"a"}, 1};
const incarnation_id peer{vm_name{"b"}, 1};
const data_centre_name centre{"dc"};

// heartbeat of the peer that answers the one sent by this VM at the given time
heartbeat answerTo(time_point ownSending, std::optional<duration> proofAge)
{
    heartbeat heartbeatMessage;
    heartbeatMessage.epoch = 1;
    heartbeatMessage.proofAge = proofAge;
    heartbeatMessage.proofOffset = 4;
    heartbeatMessage.heard.push_back({self, centre, static_cast<std::uint64_t>(ownSending.time_since_epoch().count()), 0ns, 1, false});
    return heartbeatMessage;
}

} // namespace

// guards against a VM that serves a withdrawn key because its proof never ages
BOOST_AUTO_TEST_CASE(ownProofExpires)
{
    manual_clock clock;
    freshness fresh(self, centre, clock);
    fresh.onOwnProof({clock.now(), 3});
    clock.advance(admissionLeaseTime - 1ns);
    BOOST_TEST((fresh.leaseBasis() == lease_basis::OwnProof));
    clock.advance(1ns);
    BOOST_TEST(!fresh.holdsLease());
}

// guards against a heartbeat that waited in a buffer during a pause and then counts as new
BOOST_AUTO_TEST_CASE(bufferedHeartbeatGivesNoLease)
{
    manual_clock clock;
    freshness fresh(self, centre, clock);
    const auto heartbeatMessage = answerTo(clock.now(), 0ns);
    clock.advance(60s);
    fresh.onHeartbeat(peer, heartbeatMessage, 4);
    BOOST_TEST(!fresh.holdsLease());
    fresh.onHeartbeat(peer, answerTo(clock.now(), 0ns), 4);
    BOOST_TEST((fresh.leaseBasis() == lease_basis::RelayedProof));
}

// guards against an admission lease by a proof of records that this VM has not applied
BOOST_AUTO_TEST_CASE(relayedProofNeedsItsOffset)
{
    manual_clock clock;
    freshness fresh(self, centre, clock);
    fresh.onHeartbeat(peer, answerTo(clock.now(), 0ns), 3);
    BOOST_TEST(!fresh.holdsLease());
}

// guards against serving on in a partition: a log outage needs a majority without a newer epoch
BOOST_AUTO_TEST_CASE(logOutageNeedsMajority)
{
    manual_clock clock;
    freshness fresh(self, centre, clock);
    current_epoch epoch;
    epoch.number = 1;
    for (const auto *name : {"a", "b", "c"}) {
        epoch.members.push_back({{vm_name{name}, 1}, centre, region_name{"r"}, ""});
    }
    fresh.onEpoch(epoch);
    fresh.onReadFailed();
    BOOST_TEST(!fresh.holdsLease());
    fresh.onHeartbeat(peer, answerTo(clock.now(), std::nullopt), 4);
    BOOST_TEST((fresh.leaseBasis() == lease_basis::LogDownForAll));
    auto newer = answerTo(clock.now(), std::nullopt);
    newer.epoch = 2;
    fresh.onHeartbeat({vm_name{"c"}, 1}, newer, 4);
    BOOST_TEST(!fresh.holdsLease());
}

BOOST_AUTO_TEST_SUITE_END()
