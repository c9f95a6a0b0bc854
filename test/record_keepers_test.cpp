// Tests how VMs keep records of streams for each other while the directory does not take them.
#include <boost/test/unit_test.hpp>

#include "fleet_codec.hpp"
#include "plantainpoint/failure.hpp"
#include "record_keepers.hpp"
#include "relay_fixture.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;
using std::chrono::seconds;

namespace {

const stream_origin origin{{"llm"}, {"v2"}};

std::vector<fleet_member> membersNamed(const std::vector<std::string> &names)
{
    std::vector<fleet_member> out;
    for (const auto &name : names) {
        out.push_back({{name}, name + ":7500", {"dc-a"}, 120});
    }
    return out;
}

std::vector<std::string> namesOf(const std::vector<fleet_member> &members)
{
    std::vector<std::string> out;
    for (const auto &member : members) {
        out.push_back(member.vm.value);
    }
    return out;
}

record_keeping_answer answerOf(const std::string &vm, std::uint64_t number, bool stored)
{
    return {.from = {{vm}, 1}, .receiverIncarnation = 1, .number = number, .stored = stored};
}

struct keepers_fixture {
    time_point now = time_point{} + std::chrono::hours{1};
    record_keepers keepers;
    kept_records kept;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(record_keeping, keepers_fixture)

BOOST_AUTO_TEST_CASE(aDirectoryThatAnswersNeedsNoOtherVm)
{
    keepers.add({1, origin}, now);
    BOOST_TEST(keepers.takeDue(false, now).empty());
    keepers.onStored({1});
    now += seconds{1};
    BOOST_TEST(keepers.takeDue(false, now).empty());
    BOOST_TEST(keepers.isStored(1));
}

// Guards against first events that wait for a directory which is known to fail.
BOOST_AUTO_TEST_CASE(otherVmsAreAskedAtOnceWhileTheDirectoryFails)
{
    keepers.add({1, origin}, now);
    BOOST_TEST(keepers.takeDue(true, now).size() == 1U);
    BOOST_TEST(keepers.takeDue(true, now).empty());
}

// Guards against asks that all go to VMs that are cut off from the directory as well.
BOOST_AUTO_TEST_CASE(otherVmsAreAskedInTurnUntilOneStores)
{
    const auto members = membersNamed({"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"});
    keepers.add({1, origin}, now);
    now += milliseconds{100};
    auto due = keepers.takeDue(false, now);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST(namesOf(keepers.sendTo(1, due, members, now)) == (std::vector<std::string>{"vm-1", "vm-2"}), boost::test_tools::per_element());
    BOOST_TEST(keepers.on(answerOf("vm-1", 1, false)).size() == 1U);
    BOOST_TEST(keepers.on(answerOf("vm-1", 1, false)).size() == 1U);
    BOOST_TEST(keepers.copiesOf(1) == 1U);
    now += milliseconds{150};
    due = keepers.takeDue(false, now);
    BOOST_TEST(namesOf(keepers.sendTo(2, due, members, now)) == (std::vector<std::string>{"vm-3", "vm-4"}), boost::test_tools::per_element());
    BOOST_TEST(!keepers.isStored(1));
    BOOST_TEST(keepers.on(answerOf("vm-4", 2, true)).size() == 1U);
    BOOST_TEST(keepers.isStored(1));
    BOOST_TEST(keepers.on(answerOf("vm-4", 7, true)).empty()); // No such ask.
    // The VM that has stored one is asked first for the next.
    keepers.add({2, origin}, now);
    due = keepers.takeDue(true, now);
    BOOST_TEST(namesOf(keepers.sendTo(3, due, members, now)) == (std::vector<std::string>{"vm-4", "vm-5"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(aKeeperTellsWhenAllRecordsOfAnAskAreStored)
{
    const record_keeping_ask ask{.from = {{"vm-1"}, 5}, .address = "vm-1:7500", .number = 3, .records = {{1, origin}, {2, origin}, {3, origin}}};
    const auto first = kept.add(
        ask, [](std::uint64_t stream) { return stream == 1; }, now);
    BOOST_TEST(!first.stored);
    BOOST_TEST(first.number == 3U);
    BOOST_TEST(first.receiverIncarnation == 5U);
    BOOST_TEST(kept.onStored({2}).empty());
    const auto answers = kept.onStored({3});
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(answers.front().first == "vm-1:7500");
    BOOST_TEST(answers.front().second.stored);
    BOOST_TEST(kept.onStored({3}).empty());
    BOOST_TEST(kept.add(
                       ask, [](std::uint64_t) { return true; }, now)
                   .stored);
}

BOOST_AUTO_TEST_CASE(recordsAreForgotten)
{
    keepers.add({1, origin}, now);
    keepers.forgetBefore(now + seconds{1});
    BOOST_TEST(keepers.takeDue(true, now + seconds{1}).empty());
    kept.add(
        {.from = {{"vm-1"}, 5}, .address = "vm-1:7500", .number = 3, .records = {{1, origin}}}, [](std::uint64_t) { return false; }, now);
    kept.forgetBefore(now + seconds{1});
    BOOST_TEST(kept.onStored({1}).empty());
}

BOOST_AUTO_TEST_CASE(asksAndAnswersPassBetweenVms)
{
    const record_keeping_ask ask{.from = {{"vm-1"}, 5}, .address = "127.0.0.1:7500", .number = 3, .records = {{0xfedcba9876543210U, origin}}};
    const auto decoded = decodeFleetMessage(encodeRecordAsk(ask));
    BOOST_REQUIRE(decoded.ok());
    const auto &got = std::get<record_keeping_ask>(*decoded);
    BOOST_TEST((got.from == ask.from && got.address == ask.address && got.number == ask.number));
    BOOST_REQUIRE(got.records.size() == 1U);
    BOOST_TEST(got.stores == ask.stores);
    BOOST_TEST(got.records.front().stream == ask.records.front().stream);
    BOOST_TEST((got.records.front().origin == origin));
    for (const bool stored : {false, true}) {
        const auto answer = decodeFleetMessage(encodeRecordAnswer(answerOf("vm-2", 3, stored)));
        BOOST_REQUIRE(answer.ok());
        BOOST_TEST(std::get<record_keeping_answer>(*answer).stored == stored);
        BOOST_TEST(std::get<record_keeping_answer>(*answer).number == 3U);
    }
    const auto question = decodeFleetMessage(encodeOriginAsk({.from = ask.from, .address = ask.address, .number = 4, .stream = 7, .isForHubs = false}));
    BOOST_REQUIRE(question.ok());
    BOOST_TEST((std::get<stream_origin_ask>(*question).stream == 7U && !std::get<stream_origin_ask>(*question).isForHubs));
    for (const auto &known : {std::optional<stream_origin>{}, std::optional(origin)}) {
        const auto answer = decodeFleetMessage(encodeOriginAnswer({.from = {{"vm-2"}, 1},
                                                                   .receiverIncarnation = 5,
                                                                   .number = 4,
                                                                   .origin = known,
                                                                   .keepsFor = std::chrono::hours{2},
                                                                   .dataCentre = {"dc-a"},
                                                                   .shared = {{"dc-a"}, {"dc-b"}}}));
        BOOST_REQUIRE(answer.ok());
        BOOST_TEST((std::get<stream_origin_answer>(*answer).origin == known));
        BOOST_TEST((std::get<stream_origin_answer>(*answer).keepsFor == std::chrono::hours{2}));
        BOOST_TEST(std::get<stream_origin_answer>(*answer).dataCentre.value == "dc-a");
        BOOST_TEST(std::get<stream_origin_answer>(*answer).shared.size() == 2U);
    }
    auto withoutAddress = ask;
    withoutAddress.address = "somewhere";
    BOOST_TEST((failureOf(decodeFleetMessage(encodeRecordAsk(withoutAddress)).status()) == failure::MalformedMessage));
}

BOOST_AUTO_TEST_SUITE_END()
