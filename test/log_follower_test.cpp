// VMs that follow one log: reading, relays, doubtful appends, retention and outages
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

#include "log_follower.hpp"
#include "sample_config.hpp"

using namespace plantainpoint;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(log_following)

namespace {

// log whose answers a test delays, loses or refuses
struct fake_log {
    std::vector<std::string> entries;
    log_offset first = 0;
    bool down = false;
    bool loseAnswers = false; // of appends that took effect
    bool late = false; // appends answer nothing and take effect at land()
    std::vector<std::string> pending;

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
        if (late) {
            pending.push_back(command.payload);
            return {command.append, std::nullopt, true};
        }
        entries.push_back(command.payload);
        return {command.append, loseAnswers ? std::nullopt : std::optional<log_offset>(entries.size() - 1), true};
    }

    void land()
    {
        std::move(pending.begin(), pending.end(), std::back_inserter(entries));
        pending.clear();
    }
};

struct vm {
    log_state state;
    log_follower follow;
    outbox out;
    std::optional<time_point> readAt;
    read_log read;
    std::size_t reads = 0;
    std::size_t appends = 0;
    bool cutOff = false; // from the log, not from its peers
    log_follower_events seen;

    vm(const incarnation_id &id, const clock_source &clock)
        : follow(state, id, clock)
    {
    }

    void note(log_follower_events events)
    {
        std::move(events.changes.begin(), events.changes.end(), std::back_inserter(seen.changes));
        std::move(events.settled.begin(), events.settled.end(), std::back_inserter(seen.settled));
        seen.snapshotInstalled = seen.snapshotInstalled || events.snapshotInstalled;
        seen.proof = events.proof ? events.proof : seen.proof;
    }

    std::optional<append_result> fateOf(const record_id &id) const
    {
        for (const auto &settled : seen.settled) {
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
    std::map<std::string, vm> vms;
    std::size_t relays = 0;

    vm &add(const std::string &name) { return vms.try_emplace(name, idOf(name), clock).first->second; }

    void connect()
    {
        std::vector<epoch_member> members;
        for (const auto &[name, node] : vms) {
            members.push_back({idOf(name), data_centre_name{"dc"}, region_name{"r"}, name + ":1"});
        }
        for (auto &[name, node] : vms) {
            node.follow.setDataCentreMembers(members);
        }
    }

    void answerRead(vm &node)
    {
        const auto sentAt = *std::exchange(node.readAt, std::nullopt);
        if (log.down || node.cutOff) {
            node.note(node.follow.onReadFailed({sentAt, false, 0}, node.out));
        } else if (node.read.from < log.first) {
            node.note(node.follow.onReadFailed({sentAt, true, log.first}, node.out));
        } else {
            log_read answer{sentAt, log.first, log.entries.size(), {}};
            for (auto at = node.read.from; at < log.entries.size() && answer.entries.size() < 3; ++at) {
                answer.entries.push_back({at, log.entries[at]});
            }
            node.note(node.follow.onRead(answer, node.out));
        }
    }

    void run(const std::string &name, vm &node, command &item)
    {
        if (auto *const read = std::get_if<read_log>(&item)) {
            node.read = *read;
            node.readAt = clock.now();
            ++node.reads;
        } else if (auto *const append = std::get_if<append_log>(&item)) {
            ++node.appends;
            const auto answer = node.cutOff ? append_answer{append->append, std::nullopt, false} : log.append(*append);
            node.note(node.follow.onAppendAnswer(answer, node.out));
        } else if (auto *const sent = std::get_if<send_peer>(&item)) {
            relays += std::holds_alternative<log_relay>(sent->message.body) ? 1 : 0;
            const auto target = vms.find(sent->to.value);
            if (target != vms.end()) {
                deliver(target->second, name, sent->message.body);
            }
        }
    }

    void deliver(vm &target, const std::string &from, const peer_body &body)
    {
        std::visit(
            [&](const auto &message) {
                if constexpr (requires { target.follow.onPeer(idOf(from), message, target.out); }) {
                    target.note(target.follow.onPeer(idOf(from), message, target.out));
                }
            },
            body);
    }

    // advances the time and carries commands out
    void pass(duration time)
    {
        const auto end = clock.now() + time;
        while (clock.now() < end) {
            for (auto &[name, node] : vms) {
                if (node.follow.nextTick() <= clock.now()) {
                    node.note(node.follow.tick(node.out));
                }
                for (auto &item : node.out.take()) {
                    run(name, node, item);
                }
                const bool ready = node.readAt && (node.read.from < log.entries.size() || log.down || clock.now() >= *node.readAt + node.read.wait);
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

// guards against neighbours that all read the log, and against one that misses an entry
BOOST_FIXTURE_TEST_CASE(oneVmReadsForItsDataCentre, fleet_fixture)
{
    auto &reader = add("vm-1");
    auto &follower = add("vm-2");
    connect();
    pass(2s);
    const auto readsBefore = follower.reads;
    log.write({{sample::recordId(1, "x"), sample::publish(sample::service("desk"), 0)}});
    pass(10ms);
    BOOST_TEST(reader.state.applied() == 1U);
    BOOST_TEST(follower.state.applied() == 1U);
    pass(3s);
    BOOST_TEST(follower.reads == readsBefore);
    BOOST_TEST(follower.follow.logReadable());
    BOOST_TEST(follower.follow.caughtUp());
}

// guards against followers that stay behind when their reader dies
BOOST_FIXTURE_TEST_CASE(aFollowerReadsAfterASecondOfSilence, fleet_fixture)
{
    add("vm-1");
    auto &follower = add("vm-2");
    connect();
    pass(2s);
    vms.erase("vm-1");
    log.write({{sample::recordId(1, "x"), sample::publish(sample::service("desk"), 0)}});
    // the last relay came at most 500 ms, one long poll, before
    pass(450ms);
    BOOST_TEST(follower.state.applied() == 0U);
    pass(600ms);
    BOOST_TEST(follower.state.applied() == 1U);
}

// guards against more appends than the log's budget, and against a timer before the first one
BOOST_FIXTURE_TEST_CASE(appendsAreBatched, fleet_fixture)
{
    auto &node = add("vm-1");
    pass(100ms);
    node.follow.append(claimOf("vm-1", "first"), node.out);
    pass(1ms);
    BOOST_TEST(node.appends == 1U);
    for (int i = 0; i < 1000; ++i) {
        node.follow.append(claimOf("vm-1", std::to_string(i)), node.out);
        pass(1ms);
    }
    BOOST_TEST(node.appends <= 42U);
    pass(100ms);
    BOOST_TEST(node.follow.pendingAppends() == 0U);
    BOOST_TEST(node.seen.settled.size() == 1001U);
}

// guards against a booking that is reported as not run although its claim is in the log
BOOST_FIXTURE_TEST_CASE(aLostAnswerIsSettledByReading, fleet_fixture)
{
    auto &node = add("vm-1");
    pass(100ms);
    log.loseAnswers = true;
    const auto id = node.follow.append(claimOf("vm-1"), node.out);
    pass(100ms);
    BOOST_TEST((node.fateOf(id) == append_result::Committed));
    BOOST_TEST(log.entries.size() == 1U);
}

// guards against a claim that takes effect after its booking was refused as not run
BOOST_FIXTURE_TEST_CASE(aLateAppendIsVoided, fleet_fixture)
{
    auto &node = add("vm-1");
    pass(100ms);
    log.late = true;
    const auto id = node.follow.append(claimOf("vm-1"), node.out);
    pass(1ms);
    log.late = false;
    pass(1200ms);
    BOOST_TEST((node.fateOf(id) == append_result::Void));
    log.land();
    pass(600ms);
    BOOST_TEST(node.state.findClaim(claimOf("vm-1").key) == nullptr);
    BOOST_TEST(node.state.applied() == log.entries.size());
}

// guards against a doubt that is never settled because the void record was lost or late too
BOOST_FIXTURE_TEST_CASE(voidsAreRepeatedUntilTheLogShowsOne, fleet_fixture)
{
    auto &node = add("vm-1");
    pass(100ms);
    log.late = true;
    const auto id = node.follow.append(claimOf("vm-1"), node.out);
    pass(3s);
    BOOST_TEST(!node.fateOf(id).has_value());
    log.land();
    log.late = false;
    pass(2s);
    // the claim came before its void
    BOOST_TEST((node.fateOf(id) == append_result::Committed));
    BOOST_TEST(node.follow.pendingAppends() == 0U);
}

// guards against an outcome that is lost in an outage, and against a claim that is kept for after it
BOOST_FIXTURE_TEST_CASE(anOutageRefusesClaimsAndKeepsOutcomes, fleet_fixture)
{
    auto &node = add("vm-1");
    pass(100ms);
    node.follow.append(claimOf("vm-1"), node.out);
    pass(100ms);
    log.down = true;
    const auto outcomeId = node.follow.append(booking_outcome{claimOf("vm-1").key, outcome::Ran, 201, "", "ok"}, node.out);
    pass(3s);
    const auto claimId = node.follow.append(claimOf("vm-1", "other"), node.out);
    pass(10ms);
    BOOST_TEST((node.fateOf(claimId) == append_result::Refused));
    BOOST_TEST(!node.fateOf(outcomeId).has_value());
    BOOST_TEST(!node.follow.logReadable());
    log.down = false;
    pass(3s);
    BOOST_TEST((node.fateOf(outcomeId) == append_result::Committed));
    BOOST_TEST((node.state.findClaim(claimOf("vm-1").key)->result->result == outcome::Ran));
}

// guards against a VM that is cut off from the log and keeps an old configuration while its peers have a newer one
BOOST_FIXTURE_TEST_CASE(aCutOffVmCatchesUpFromAPeer, fleet_fixture)
{
    auto &cut = add("vm-1");
    add("vm-2");
    connect();
    pass(1s);
    cut.cutOff = true;
    pass(2s);
    for (std::uint64_t i = 1; i <= 10; ++i) {
        log.write({{sample::recordId(i, "x"), audit_event{audit_kind::OrphanFreed, "x", "", "", 0}}});
    }
    pass(1s);
    BOOST_TEST(cut.state.applied() == 10U);
    BOOST_TEST(cut.follow.logReadable());
}

// guards against a VM that cannot start once the first entries of the log have expired
BOOST_FIXTURE_TEST_CASE(aStartingVmFindsTheSnapshotInTheLog, fleet_fixture)
{
    auto &writer = add("vm-1");
    log.write({{sample::recordId(1, "x"), sample::publish(sample::service("desk"), 0)}});
    const epoch_member member{idOf("vm-1"), data_centre_name{"dc"}, region_name{"r"}, "vm-1:1"};
    log.write({{sample::recordId(2, "x"), epoch_record{0, {member}}}});
    pass(40s);
    BOOST_TEST(writer.state.lastSnapshot().covers == 2U);
    log.write({{sample::recordId(3, "x"), audit_event{audit_kind::OrphanFreed, "x", "", "", 0}}});
    log.first = 2;
    pass(1s);
    auto &starting = add("vm-2");
    pass(1s);
    BOOST_TEST(starting.seen.snapshotInstalled);
    BOOST_TEST(starting.follow.caughtUp());
    BOOST_TEST((starting.state.snapshot() == writer.state.snapshot()));
}

// guards against a snapshot that expires before the next one is written
BOOST_FIXTURE_TEST_CASE(theNewestSnapshotStaysWithinTheRetention, fleet_fixture)
{
    add("vm-1");
    const epoch_member member{idOf("vm-1"), data_centre_name{"dc"}, region_name{"r"}, "vm-1:1"};
    log.write({{sample::recordId(1, "x"), epoch_record{0, {member}}}});
    for (std::uint64_t i = 2; i < 240; ++i) {
        log.write({{sample::recordId(i, "x"), audit_event{audit_kind::OrphanFreed, "x", "", "", 0}}});
        pass(500ms);
        log.first = log.entries.size() > 60 ? log.entries.size() - 60 : 0;
        const auto &last = vms.at("vm-1").state.lastSnapshot();
        BOOST_REQUIRE_MESSAGE(log.first == 0 || (last.first >= log.first && last.covers >= log.first), "entry " << i);
    }
    auto &starting = add("vm-2");
    pass(1s);
    BOOST_TEST(starting.follow.caughtUp());
}

// guards against a VM that cannot start in an outage of the log although its peers have the state
BOOST_FIXTURE_TEST_CASE(aStartingVmTakesTheStateFromAPeerInAnOutage, fleet_fixture)
{
    auto &running = add("vm-1");
    log.write({{sample::recordId(1, "x"), sample::publish(sample::service("desk"), 0)}});
    pass(1s);
    log.down = true;
    // a proof that is still young would count as reaching the head
    pass(4s);
    auto &starting = add("vm-2");
    connect();
    pass(2s);
    BOOST_TEST(starting.state.applied() == 1U);
    BOOST_TEST((starting.state.snapshot() == running.state.snapshot()));
    BOOST_TEST(!starting.follow.caughtUp());
}

// guards against records of a former incarnation that stay in doubt after the VM has taken a new one
BOOST_FIXTURE_TEST_CASE(aNewIncarnationSettlesTheOldRecords, fleet_fixture)
{
    auto &node = add("vm-1");
    pass(100ms);
    log.late = true;
    const auto id = node.follow.append(claimOf("vm-1"), node.out);
    pass(1ms);
    log.late = false;
    node.follow.setSelf({vm_name{"vm-1"}, 2});
    pass(2s);
    BOOST_TEST((node.fateOf(id) == append_result::Void));
}

BOOST_AUTO_TEST_SUITE_END()
