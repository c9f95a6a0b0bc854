// Checks that transfers of bucket shares conserve the limit, also when messages are lost. fuzz/share_fuzz.cpp checks the interleavings.
#include <boost/test/unit_test.hpp>

#include "share_table.hpp"

using namespace plantainpoint;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(share_slices)

namespace {

const account_name account{"account"};
constexpr rate_limit limit{10 * microTokensPerRequest, 6 * microTokensPerRequest};

// Runs two VMs whose messages either arrive at once or are lost.
struct vm_pair_fixture {
    manual_clock clock;
    current_epoch epoch{
        1, {{{vm_name{"a"}, 1}, data_centre_name{"dc"}, region_name{"r"}, ""}, {{vm_name{"b"}, 1}, data_centre_name{"dc"}, region_name{"r"}, ""}}, {}};
    configuration config;
    membership membersA{epoch.members[0], clock};
    membership membersB{epoch.members[1], clock};
    share_table a{epoch.members[0].id, membersA, clock};
    share_table b{epoch.members[1].id, membersB, clock};
    bool dropsMessages = false;
    int admittedAtStart = 0;

    vm_pair_fixture()
    {
        service_config service;
        service.name = service_name{"service"};
        service.accounts.push_back({account, limit});
        config.install(service.name, service, 1);
        outbox fromA;
        outbox fromB;
        membersA.onEpoch(epoch);
        membersB.onEpoch(epoch);
        a.onConfiguration(config, fromA);
        b.onConfiguration(config, fromB);
        a.onEpoch(epoch, fromA);
        b.onEpoch(epoch, fromB);
        deliver(a, fromA, b, fromB);
        admittedAtStart = admitAll(ownerTable());
        runFor(1s);
        a.takeChanged();
        b.takeChanged();
    }

    share_table &ownerTable() { return rendezvousOwner(account.value, epoch.members)->id.vm.value == "a" ? a : b; }
    share_table &holder() { return &ownerTable() == &a ? b : a; }

    void deliver(share_table &first, outbox &fromFirst, share_table &second, outbox &fromSecond)
    {
        for (int round = 0; round < 10 && !(fromFirst.empty() && fromSecond.empty()); ++round) {
            deliverFrom(fromFirst, second, fromSecond);
            deliverFrom(fromSecond, first, fromFirst);
        }
    }

    void deliverFrom(outbox &from, share_table &to, outbox &answers)
    {
        for (const auto &item : from.take()) {
            const auto &message = std::get<send_peer>(item).message;
            if (dropsMessages) {
                continue;
            }
            std::visit(
                [&](const auto &body) {
                    if constexpr (requires { to.onPeer(message.from, body, answers); }) {
                        to.onPeer(message.from, body, answers);
                    }
                },
                message.body);
        }
    }

    void runFor(duration interval)
    {
        for (duration elapsed{}; elapsed < interval; elapsed += 10ms) {
            clock.advance(10ms);
            outbox fromA;
            outbox fromB;
            a.tick(fromA);
            b.tick(fromB);
            deliver(a, fromA, b, fromB);
        }
    }

    int admitAll(share_table &table)
    {
        int admitted = 0;
        outbox out;
        while (table.admit(account, out).verdict == admission::Admitted) {
            ++admitted;
        }
        return admitted;
    }

    const epoch_member &memberOf(const share_table &table) const { return epoch.members[&table == &a ? 0 : 1]; }
    const incarnation_id &idOf(const share_table &table) const { return memberOf(table).id; }
    outbox &outboxOf(const share_table &table) { return &table == &a ? outA : outB; }

    // Returns an epoch whose only member is the VM of the table.
    current_epoch epochWithOnly(const share_table &table, std::uint64_t number) const { return {number, {memberOf(table)}, epoch.members}; }

    // Removes the owner with epoch 2, so that the other VM owns the limit.
    void removeOwner()
    {
        auto &formerOwner = ownerTable();
        applyEpoch(epochWithOnly(holder(), 2));
        confirmEpoch(formerOwner, 2);
        deliver(a, outA, b, outB);
        runFor(200ms);
    }

    // Adds the removed VM again with epoch 3, in which it owns the limit.
    void restoreOwner() { applyEpoch({3, epoch.members, {memberOf(holder())}}); }

    // Makes both VMs apply the epoch. Their messages wait in outA and outB.
    void applyEpoch(const current_epoch &nextEpoch)
    {
        membersA.onEpoch(nextEpoch);
        membersB.onEpoch(nextEpoch);
        a.onEpoch(nextEpoch, outA);
        b.onEpoch(nextEpoch, outB);
    }

    // Delivers a heartbeat in which the VM reports that it has applied the epoch.
    void confirmEpoch(const share_table &from, std::uint64_t number)
    {
        heartbeat message;
        message.sequence = number;
        message.region = region_name{"r"};
        message.epoch = number;
        auto &receiver = &from == &a ? membersB : membersA;
        receiver.onHeartbeat(idOf(from), message);
        auto &receivingTable = &from == &a ? b : a;
        receivingTable.onEpochConfirmed(idOf(from), number, &from == &a ? outB : outA);
    }

    outbox outA;
    outbox outB;

    std::int64_t heldCapacityUnits() { return a.accounts().at(account).bucketShare.capacityUnits() + b.accounts().at(account).bucketShare.capacityUnits(); }
};

} // namespace

// Guards against a new account whose bucket starts full instead of empty.
BOOST_FIXTURE_TEST_CASE(ownerStartsEmpty, vm_pair_fixture)
{
    // The bucket is empty at the start. The fixture then waits one second, which fills it up to the burst.
    BOOST_TEST(admittedAtStart == 0);
    BOOST_TEST(admitAll(ownerTable()) == 6);
}

// Guards against callers that are refused although the owner of the limit has tokens.
BOOST_FIXTURE_TEST_CASE(holderRequestsFromOwner, vm_pair_fixture)
{
    outbox out;
    BOOST_TEST((holder().admit(account, out).verdict == admission::Waiting));
    runFor(10ms);
    BOOST_TEST(holder().takeChanged().size() == 1U);
    BOOST_TEST((holder().admit(account, out).verdict == admission::Admitted));
}

// Guards against capacity that disappears permanently when the message of a transfer is lost.
BOOST_FIXTURE_TEST_CASE(lostTransferIsResent, vm_pair_fixture)
{
    outbox out;
    holder().admit(account, out);
    outbox requests;
    holder().tick(requests);
    outbox grants;
    deliverFrom(requests, ownerTable(), grants);
    dropsMessages = true;
    deliverFrom(grants, holder(), requests);
    BOOST_TEST(heldCapacityUnits() < limitUnits);
    dropsMessages = false;
    runFor(1s);
    BOOST_TEST(heldCapacityUnits() == limitUnits);
}

// Guards against callers that are refused within their limit because the owner of their account was replaced.
BOOST_FIXTURE_TEST_CASE(leavingOwnerHandsOverItsFill, vm_pair_fixture)
{
    auto &formerOwner = ownerTable();
    auto &newOwner = holder();
    applyEpoch(epochWithOnly(newOwner, 2));
    BOOST_TEST(admitAll(formerOwner) == 0);
    confirmEpoch(formerOwner, 2);
    deliver(a, outA, b, outB);
    runFor(200ms);
    BOOST_TEST(admitAll(newOwner) == 6);
    runFor(50ms);
    BOOST_TEST(admitAll(newOwner) == 0);
}

// Guards against fill that is created when the handover of a removed VM arrives twice.
BOOST_FIXTURE_TEST_CASE(handedOverFillIsCreditedOnce, vm_pair_fixture)
{
    auto &formerOwner = ownerTable();
    auto &newOwner = holder();
    applyEpoch(epochWithOnly(newOwner, 2));
    confirmEpoch(formerOwner, 2);
    auto sent = outboxOf(formerOwner).take();
    BOOST_REQUIRE(!sent.empty());
    for (int copy = 0; copy < 2; ++copy) {
        for (const auto &item : sent) {
            if (const auto *const handover = std::get_if<share_handover>(&std::get<send_peer>(item).message.body)) {
                newOwner.onPeer(idOf(formerOwner), *handover, outboxOf(newOwner));
            }
        }
        if (copy == 0) {
            BOOST_TEST(admitAll(newOwner) == 6);
        }
    }
    BOOST_TEST(admitAll(newOwner) == 0);
}

// Guards against accepting the fill of a VM that is more than one epoch behind, because others may have created that fill again meanwhile.
BOOST_FIXTURE_TEST_CASE(fillOfMissedEpochIsNotHandedOver, vm_pair_fixture)
{
    auto &formerOwner = ownerTable();
    auto &newOwner = holder();
    applyEpoch(epochWithOnly(newOwner, 3));
    confirmEpoch(formerOwner, 3);
    deliver(a, outA, b, outB);
    runFor(200ms);
    BOOST_TEST(admitAll(newOwner) <= 3);
}

// Guards against refusals by an owner that does not know yet which shares the others hold.
BOOST_FIXTURE_TEST_CASE(newOwnerWaitsForTheReports, vm_pair_fixture)
{
    // The owner is not in epoch 2 and is a member again in epoch 3, in which it has to learn which share the other VM holds.
    auto &returningOwner = ownerTable();
    removeOwner();
    runFor(50ms); // The other VM reviews its shares later, so that the owner has to recall them.
    restoreOwner();
    outbox out;
    BOOST_TEST((returningOwner.admit(account, out).verdict == admission::Waiting));
    deliver(a, outA, b, outB);
    runFor(10ms);
    // The first retry of the caller starts the recall from the other VM.
    BOOST_TEST(returningOwner.takeChanged().size() == 1U);
    BOOST_TEST((returningOwner.admit(account, out).verdict == admission::Waiting));
    deliver(a, &returningOwner == &a ? out : outA, b, &returningOwner == &a ? outB : out);
    runFor(10ms);
    BOOST_TEST((returningOwner.admit(account, out).verdict == admission::Admitted));
}

// Guards against callers that wait although the owner knows every holding and only the units of a dead VM are missing.
BOOST_FIXTURE_TEST_CASE(completeOwnerAnswersWhileADropIsUnsettled, vm_pair_fixture)
{
    admitAll(ownerTable());
    const epoch_member deadMember{{vm_name{"c"}, 1}, data_centre_name{"dc"}, region_name{"r"}, ""};
    applyEpoch({2, epoch.members, {epoch.members[0], epoch.members[1], deadMember}});
    outbox out;
    BOOST_TEST((ownerTable().admit(account, out).verdict == admission::Waiting));
    deliver(a, outA, b, outB);
    BOOST_TEST((ownerTable().admit(account, out).verdict == admission::Refused));
}

// Guards against callers that wait for a report that never arrives.
BOOST_FIXTURE_TEST_CASE(newOwnerRefusesWhenTheReportsDoNotArrive, vm_pair_fixture)
{
    auto &returningOwner = ownerTable();
    removeOwner();
    restoreOwner();
    dropsMessages = true;
    outbox out;
    BOOST_TEST((returningOwner.admit(account, out).verdict == admission::Waiting));
    runFor(1s);
    BOOST_TEST((returningOwner.admit(account, out).verdict == admission::Refused));
}

// Guards against a grant of an older epoch that is credited in addition to the units that the owner has reclaimed.
BOOST_FIXTURE_TEST_CASE(oldGrantIsRefused, vm_pair_fixture)
{
    outbox out;
    const auto capacityBefore = heldCapacityUnits();
    holder().onPeer(rendezvousOwner(account.value, epoch.members)->id, share_grant{account, 0, 9, 5, 5, 0, fullLimit}, out);
    BOOST_TEST(heldCapacityUnits() == capacityBefore);
}

// Guards against the rate of an account that stays at a former owner for good. That VM has no request for the account and the new owner
// recalls fill and capacity only, so that nothing accrues anywhere.
BOOST_FIXTURE_TEST_CASE(formerOwnerReturnsTheRate, vm_pair_fixture)
{
    removeOwner();
    runFor(2s);
    restoreOwner();
    confirmEpoch(a, 3);
    confirmEpoch(b, 3);
    deliver(a, outA, b, outB);
    runFor(3s);
    BOOST_TEST(admitAll(ownerTable()) == 6);
    runFor(500ms);
    BOOST_TEST(admitAll(ownerTable()) >= 4);
    BOOST_TEST(ownerTable().accounts().at(account).bucketShare.rateUnits() == limitUnits);
}

BOOST_AUTO_TEST_SUITE_END()
