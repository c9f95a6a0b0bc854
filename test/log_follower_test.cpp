// Checks the followers of one log on several VMs: reading, relays, doubtful appends, retention and outages.
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

#include "log_follower.hpp"
#include "sample_config.hpp"

using namespace plantainpoint;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(log_following)

namespace {

// Simulates a log whose answers a test can delay, lose or refuse.
struct fake_log {
    std::vector<std::string> entries;
    log_offset first = 0;
    bool down = false;
    bool loseAnswers = false; // Loses the answers to appends that took effect.
    bool delayAppends = false; // Appends get no answer and take effect at commitPending().
    std::vector<std::string> pendingAppendPayloads;

    log_offset write(const std::vector<log_record> &records)
    {
        entries.push_back(encodeBatch(records));
        return entries.size() - 1;
    }

    append_answer append(const append_log &command)
    {
        if (down) {
            return {command.append, std::nullopt, false};
        }
        if (delayAppends) {
            pendingAppendPayloads.push_back(command.payload);
            return {command.append, std::nullopt, true};
        }
        entries.push_back(command.payload);
        return {command.append, loseAnswers ? std::nullopt : std::optional<log_offset>(entries.size() - 1), true};
    }

    void commitPending()
    {
        std::move(pendingAppendPayloads.begin(), pendingAppendPayloads.end(), std::back_inserter(entries));
        pendingAppendPayloads.clear();
    }
};

struct vm_node {
    log_state state;
    log_follower logFollower;
    outbox out;
    std::optional<time_point> readSentAt;
    read_log read;
    std::size_t reads = 0;
    std::size_t appends = 0;
    bool cutOff = false; // The VM cannot reach the log, but it can reach its peers.
    log_follower_events allEvents;

    vm_node(const incarnation_id &id, const clock_source &clock)
        : logFollower(state, id, clock)
    {
    }

    void collectEvents(log_follower_events events)
    {
        std::move(events.changes.begin(), events.changes.end(), std::back_inserter(allEvents.changes));
        std::move(events.settled.begin(), events.settled.end(), std::back_inserter(allEvents.settled));
        allEvents.snapshotInstalled = allEvents.snapshotInstalled || events.snapshotInstalled;
        allEvents.proof = events.proof ? events.proof : allEvents.proof;
    }

    std::optional<append_result> appendResultOf(const record_id &id) const
    {
        for (const auto &settled : allEvents.settled) {
            if (settled.id == id) {
                return settled.appendResult;
            }
        }
        return std::nullopt;
    }
};

incarnation_id idOf(const std::string &name)
{
    return {vm_name{name}, 1};
}

struct fleet_fixture {
    manual_clock clock;
    fake_log log;
    std::map<std::string, vm_node> vms;
    std::size_t relayCount = 0;

    vm_node &add(const std::string &name) { return vms.try_emplace(name, idOf(name), clock).first->second; }

    void connect()
    {
        std::vector<epoch_member> members;
        for (const auto &[name, node] : vms) {
            members.push_back({idOf(name), data_centre_name{"dc"}, region_name{"r"}, name + ":1"});
        }
        for (auto &[name, node] : vms) {
            node.logFollower.setDataCentreMembers(members);
        }
    }

    void answerRead(vm_node &node)
    {
        const auto sentAt = *std::exchange(node.readSentAt, std::nullopt);
        if (log.down || node.cutOff) {
            node.collectEvents(node.logFollower.onReadFailed({sentAt, false, 0}, node.out));
        } else if (node.read.from < log.first) {
            node.collectEvents(node.logFollower.onReadFailed({sentAt, true, log.first}, node.out));
        } else {
            log_read answer{sentAt, log.first, log.entries.size(), {}};
            for (auto offset = node.read.from; offset < log.entries.size() && answer.entries.size() < 3; ++offset) {
                answer.entries.push_back({offset, log.entries[offset]});
            }
            node.collectEvents(node.logFollower.onRead(answer, node.out));
        }
    }

    void execute(const std::string &name, vm_node &node, command &item)
    {
        if (auto *const read = std::get_if<read_log>(&item)) {
            node.read = *read;
            node.readSentAt = clock.now();
            ++node.reads;
        } else if (auto *const append = std::get_if<append_log>(&item)) {
            ++node.appends;
            const auto answer = node.cutOff ? append_answer{append->append, std::nullopt, false} : log.append(*append);
            node.collectEvents(node.logFollower.onAppendAnswer(answer, node.out));
        } else if (auto *const peerMessage = std::get_if<send_peer>(&item)) {
            relayCount += std::holds_alternative<log_relay>(peerMessage->message.body) ? 1 : 0;
            const auto target = vms.find(peerMessage->to.value);
            if (target != vms.end()) {
                deliver(target->second, name, peerMessage->message.body);
            }
        }
    }

    void deliver(vm_node &target, const std::string &from, const peer_body &body)
    {
        std::visit(
            [&](const auto &message) {
                if constexpr (requires { target.logFollower.onPeer(idOf(from), message, target.out); }) {
                    target.collectEvents(target.logFollower.onPeer(idOf(from), message, target.out));
                }
            },
            body);
    }

    // Advances virtual time by the interval and executes the commands of all VMs.
    void runFor(duration interval)
    {
        const auto end = clock.now() + interval;
        while (clock.now() < end) {
            for (auto &[name, node] : vms) {
                if (node.logFollower.nextTick() <= clock.now()) {
                    node.collectEvents(node.logFollower.tick(node.out));
                }
                for (auto &item : node.out.take()) {
                    execute(name, node, item);
                }
                const bool ready = node.readSentAt && (node.read.from < log.entries.size() || log.down || clock.now() >= *node.readSentAt + node.read.wait);
                if (ready) {
                    answerRead(node);
                }
            }
            clock.advance(1ms);
        }
    }
};

booking_claim claimOf(const std::string &vm, const std::string &key = "key")
{
    return {{account_name{"a"}, service_name{"desk"}, key}, idOf(vm), "digest", 0};
}

} // namespace

// Guards against VMs of the same data centre that all read the log, and against one of them that misses an entry.
BOOST_FIXTURE_TEST_CASE(oneVmReadsForItsDataCentre, fleet_fixture)
{
    auto &reader = add("vm-1");
    auto &follower = add("vm-2");
    connect();
    runFor(2s);
    const auto readsBefore = follower.reads;
    log.write({{sample::recordId(1, "x"), sample::publish(sample::service("desk"), 0)}});
    runFor(10ms);
    BOOST_TEST(reader.state.applied() == 1U);
    BOOST_TEST(follower.state.applied() == 1U);
    runFor(3s);
    BOOST_TEST(follower.reads == readsBefore);
    BOOST_TEST(follower.logFollower.logReadable());
    BOOST_TEST(follower.logFollower.caughtUp());
}

// Guards against followers that stay behind after the VM that reads for them has died.
BOOST_FIXTURE_TEST_CASE(followerReadsAfterOneSecondWithoutRelays, fleet_fixture)
{
    add("vm-1");
    auto &follower = add("vm-2");
    connect();
    runFor(2s);
    vms.erase("vm-1");
    log.write({{sample::recordId(1, "x"), sample::publish(sample::service("desk"), 0)}});
    // The last relay arrived at most 500 ms earlier, which is the duration of one long poll.
    runFor(450ms);
    BOOST_TEST(follower.state.applied() == 0U);
    runFor(600ms);
    BOOST_TEST(follower.state.applied() == 1U);
}

// Guards against more appends than the log's budget allows, and against a delay before the first append.
BOOST_FIXTURE_TEST_CASE(appendsAreBatched, fleet_fixture)
{
    auto &node = add("vm-1");
    runFor(100ms);
    node.logFollower.append(claimOf("vm-1", "first"), node.out);
    runFor(1ms);
    BOOST_TEST(node.appends == 1U);
    for (int i = 0; i < 1000; ++i) {
        node.logFollower.append(claimOf("vm-1", std::to_string(i)), node.out);
        runFor(1ms);
    }
    BOOST_TEST(node.appends <= 42U);
    runFor(100ms);
    BOOST_TEST(node.logFollower.pendingAppends() == 0U);
    BOOST_TEST(node.allEvents.settled.size() == 1001U);
}

// Guards against a booking that is reported as not run although its claim is in the log, because the answer to the append was lost.
BOOST_FIXTURE_TEST_CASE(lostAppendAnswerIsSettledByReading, fleet_fixture)
{
    auto &node = add("vm-1");
    runFor(100ms);
    log.loseAnswers = true;
    const auto id = node.logFollower.append(claimOf("vm-1"), node.out);
    runFor(100ms);
    BOOST_TEST((node.appendResultOf(id) == append_result::Committed));
    BOOST_TEST(log.entries.size() == 1U);
}

// Guards against a claim that takes effect after its booking was refused as not run, because the append was delayed.
BOOST_FIXTURE_TEST_CASE(lateAppendIsVoided, fleet_fixture)
{
    auto &node = add("vm-1");
    runFor(100ms);
    log.delayAppends = true;
    const auto id = node.logFollower.append(claimOf("vm-1"), node.out);
    runFor(1ms);
    log.delayAppends = false;
    runFor(1200ms);
    BOOST_TEST((node.appendResultOf(id) == append_result::Void));
    log.commitPending();
    runFor(600ms);
    BOOST_TEST(node.state.findClaim(claimOf("vm-1").key) == nullptr);
    BOOST_TEST(node.state.applied() == log.entries.size());
}

// Guards against a doubtful append that is never settled because its void record was lost or delayed too.
BOOST_FIXTURE_TEST_CASE(voidsAreRepeatedUntilOneIsRead, fleet_fixture)
{
    auto &node = add("vm-1");
    runFor(100ms);
    log.delayAppends = true;
    const auto id = node.logFollower.append(claimOf("vm-1"), node.out);
    runFor(3s);
    BOOST_TEST(!node.appendResultOf(id).has_value());
    log.commitPending();
    log.delayAppends = false;
    runFor(2s);
    // The claim is in the log before its void record.
    BOOST_TEST((node.appendResultOf(id) == append_result::Committed));
    BOOST_TEST(node.logFollower.pendingAppends() == 0U);
}

// Guards against an outcome that is lost in an outage, and against a claim that is kept until the outage is over.
BOOST_FIXTURE_TEST_CASE(outageRefusesClaimsAndKeepsOutcomes, fleet_fixture)
{
    auto &node = add("vm-1");
    runFor(100ms);
    node.logFollower.append(claimOf("vm-1"), node.out);
    runFor(100ms);
    log.down = true;
    const auto outcomeId = node.logFollower.append(booking_outcome{claimOf("vm-1").key, outcome::Ran, 201, "", "ok"}, node.out);
    runFor(3s);
    const auto claimId = node.logFollower.append(claimOf("vm-1", "other"), node.out);
    runFor(10ms);
    BOOST_TEST((node.appendResultOf(claimId) == append_result::Refused));
    BOOST_TEST(!node.appendResultOf(outcomeId).has_value());
    BOOST_TEST(!node.logFollower.logReadable());
    log.down = false;
    runFor(3s);
    BOOST_TEST((node.appendResultOf(outcomeId) == append_result::Committed));
    BOOST_TEST((node.state.findClaim(claimOf("vm-1").key)->result->result == outcome::Ran));
}

// Guards against a VM that is cut off from the log and keeps an old configuration while its peers have a newer one.
BOOST_FIXTURE_TEST_CASE(cutOffVmCatchesUpFromAPeer, fleet_fixture)
{
    auto &cutOffVm = add("vm-1");
    add("vm-2");
    connect();
    runFor(1s);
    cutOffVm.cutOff = true;
    runFor(2s);
    for (std::uint64_t i = 1; i <= 10; ++i) {
        log.write({{sample::recordId(i, "x"), audit_event{audit_kind::OrphanFreed, "x", "", "", 0}}});
    }
    runFor(1s);
    BOOST_TEST(cutOffVm.state.applied() == 10U);
    BOOST_TEST(cutOffVm.logFollower.logReadable());
}

// Guards against a VM that cannot start after the first entries of the log have expired.
BOOST_FIXTURE_TEST_CASE(startingVmFindsTheSnapshotInTheLog, fleet_fixture)
{
    auto &writer = add("vm-1");
    log.write({{sample::recordId(1, "x"), sample::publish(sample::service("desk"), 0)}});
    const epoch_member member{idOf("vm-1"), data_centre_name{"dc"}, region_name{"r"}, "vm-1:1"};
    log.write({{sample::recordId(2, "x"), epoch_record{0, {member}}}});
    runFor(40s);
    BOOST_TEST(writer.state.lastSnapshot().covers == 2U);
    log.write({{sample::recordId(3, "x"), audit_event{audit_kind::OrphanFreed, "x", "", "", 0}}});
    log.first = 2;
    runFor(1s);
    auto &starting = add("vm-2");
    runFor(1s);
    BOOST_TEST(starting.allEvents.snapshotInstalled);
    BOOST_TEST(starting.logFollower.caughtUp());
    BOOST_TEST((starting.state.snapshot() == writer.state.snapshot()));
}

// Guards against a snapshot that expires before the next one is written.
BOOST_FIXTURE_TEST_CASE(newestSnapshotStaysWithinTheRetention, fleet_fixture)
{
    add("vm-1");
    const epoch_member member{idOf("vm-1"), data_centre_name{"dc"}, region_name{"r"}, "vm-1:1"};
    log.write({{sample::recordId(1, "x"), epoch_record{0, {member}}}});
    for (std::uint64_t i = 2; i < 240; ++i) {
        log.write({{sample::recordId(i, "x"), audit_event{audit_kind::OrphanFreed, "x", "", "", 0}}});
        runFor(500ms);
        log.first = log.entries.size() > 60 ? log.entries.size() - 60 : 0;
        const auto &last = vms.at("vm-1").state.lastSnapshot();
        BOOST_REQUIRE_MESSAGE(log.first == 0 || (last.first >= log.first && last.covers >= log.first), "entry " << i);
    }
    auto &starting = add("vm-2");
    runFor(1s);
    BOOST_TEST(starting.logFollower.caughtUp());
}

// Guards against a VM that cannot start in an outage of the log although its peers have the state.
BOOST_FIXTURE_TEST_CASE(startingVmTakesTheStateFromAPeerInAnOutage, fleet_fixture)
{
    auto &running = add("vm-1");
    log.write({{sample::recordId(1, "x"), sample::publish(sample::service("desk"), 0)}});
    runFor(1s);
    log.down = true;
    // Lets the log head proof expire, because a recent proof would count as having reached the head.
    runFor(4s);
    auto &starting = add("vm-2");
    connect();
    runFor(2s);
    BOOST_TEST(starting.state.applied() == 1U);
    BOOST_TEST((starting.state.snapshot() == running.state.snapshot()));
    BOOST_TEST(!starting.logFollower.caughtUp());
}

// Guards against records of a former incarnation that stay in doubt after the VM has taken a new incarnation.
BOOST_FIXTURE_TEST_CASE(newIncarnationSettlesTheOldRecords, fleet_fixture)
{
    auto &node = add("vm-1");
    runFor(100ms);
    log.delayAppends = true;
    const auto id = node.logFollower.append(claimOf("vm-1"), node.out);
    runFor(1ms);
    log.delayAppends = false;
    node.logFollower.setSelf({vm_name{"vm-1"}, 2});
    runFor(2s);
    BOOST_TEST((node.appendResultOf(id) == append_result::Void));
}

BOOST_AUTO_TEST_SUITE_END()
