// Checks suspicion of silent members, proposals of epochs, and the end of dropped members' admission leases.
#include <boost/test/unit_test.hpp>

#include "membership.hpp"

using namespace plantainpoint;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(membership_epochs)

namespace {

epoch_member member(const char *name, std::uint64_t incarnation = 1)
{
    return {{vm_name{name}, incarnation}, data_centre_name{"dc"}, region_name{"r"}, "127.0.0.1:1"};
}

struct membership_fixture {
    manual_clock clock;
    membership members{member("a"), clock};
    current_epoch epoch{1, {member("a"), member("b"), member("c")}, {}};
    std::uint64_t sequence = 0;

    membership_fixture() { members.onEpoch(epoch); }

    void receiveHeartbeat(const char *name, std::uint64_t epochNumber)
    {
        heartbeat message;
        message.sequence = ++sequence;
        message.region = region_name{"r"};
        message.epoch = epochNumber;
        members.onHeartbeat({vm_name{name}, 1}, message);
    }

    std::optional<epoch_record> runFor(duration interval, std::initializer_list<const char *> heartbeatSenders)
    {
        std::optional<epoch_record> proposal;
        for (duration elapsed{}; elapsed < interval; elapsed += 500ms) {
            clock.advance(500ms);
            for (const auto *name : heartbeatSenders) {
                receiveHeartbeat(name, epoch.number);
            }
            outbox out;
            if (auto events = members.tick({0, 0s, 0, true, false}, out); events.proposal) {
                proposal = events.proposal;
            }
        }
        return proposal;
    }

    void applyEpoch(std::vector<epoch_member> nextMembers)
    {
        epoch = {epoch.number + 1, std::move(nextMembers), epoch.members};
        members.onEpoch(epoch);
    }
};

} // namespace

// Guards against a dead VM that stays a member, and against dropping a VM that is only slow.
BOOST_FIXTURE_TEST_CASE(silentMemberIsDropped, membership_fixture)
{
    BOOST_TEST(!runFor(2500ms, {"b"}).has_value());
    const auto proposal = runFor(1s, {"b"});
    BOOST_REQUIRE(proposal.has_value());
    BOOST_TEST(proposal->base == 1U);
    BOOST_TEST(proposal->members.size() == 2U);
}

// Guards against reclaiming shares while the dropped member may still admit requests.
BOOST_FIXTURE_TEST_CASE(dropsSettleAfterMajorityAndLease, membership_fixture)
{
    runFor(500ms, {"b"});
    applyEpoch({member("a"), member("b")});
    BOOST_TEST(!members.majorityConfirmedAt().has_value());
    receiveHeartbeat("b", 2);
    BOOST_TEST(members.majorityConfirmedAt().has_value());
    clock.advance(dropSettleTime());
    BOOST_TEST(!members.dropsSettled());
    clock.advance(1ns);
    BOOST_TEST(members.dropsSettled());
}

// Guards against a limit that has no owner for seconds after a VM has left in an orderly way.
BOOST_FIXTURE_TEST_CASE(dropsSettleWhenDroppedMembersHaveApplied, membership_fixture)
{
    runFor(500ms, {"b", "c"});
    applyEpoch({member("a")});
    receiveHeartbeat("b", 2);
    // The VM c may still admit requests by its admission lease of the earlier epoch.
    BOOST_TEST(!members.dropsSettled());
    receiveHeartbeat("c", 2);
    BOOST_TEST(members.dropsSettled());
}

// Guards against a dropped member that keeps its admission lease: with seed 1769 of the fuzz program, a member missed an epoch without drops
// and was dropped by the next one.
BOOST_FIXTURE_TEST_CASE(noEpochIsProposedBeforeThePreviousIsConfirmed, membership_fixture)
{
    applyEpoch({member("a"), member("b"), member("c"), member("d")});
    BOOST_TEST(members.dropsSettled());
    BOOST_TEST(!members.mayProposeNextEpoch());
    receiveHeartbeat("b", 2);
    BOOST_TEST(members.mayProposeNextEpoch());
}

BOOST_AUTO_TEST_SUITE_END()
