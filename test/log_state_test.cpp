// Checks that the order of the log decides every conflict, with the same result for all readers.
#include <boost/test/unit_test.hpp>

#include "log_state.hpp"
#include "sample_config.hpp"

using namespace plantainpoint;

BOOST_AUTO_TEST_SUITE(log_state_rules)

namespace {

const claim_key bookingKey{account_name{"a"}, service_name{"desk"}, "key-1"};

// Appends batches to a log and applies them to the state of one reader.
struct log_fixture {
    log_state state;
    std::vector<log_entry> log;
    std::uint64_t sequence = 0;

    log_change append(const log_record &record)
    {
        log.push_back({log.size(), encodeBatch({record})});
        auto change = state.applyEntry(log.back());
        BOOST_REQUIRE_MESSAGE(change.ok(), change.status().ToString());
        return *change;
    }

    log_change append(record_body body, const std::string &vm = "vm-1") { return append({sample::recordId(++sequence, vm), std::move(body)}); }

    std::uint64_t version(const std::string &service) const { return state.config().versionOf(service_name{service}); }
};

epoch_member member(const std::string &vm, std::uint64_t incarnation)
{
    return {{vm_name{vm}, incarnation}, data_centre_name{"dc-a"}, region_name{"r"}, "127.0.0.1:1"};
}

booking_claim claim(const std::string &vm, wall_millis claimedAt = 0)
{
    return {bookingKey, {vm_name{vm}, 1}, "digest", claimedAt};
}

} // namespace

// Guards against two operators who both believe that their publication took effect.
BOOST_FIXTURE_TEST_CASE(onlyOneOfTwoConcurrentPublicationsIsAccepted, log_fixture)
{
    append(sample::publish(sample::service("desk"), 0));
    auto first = sample::service("desk");
    first.accounts[0].limit.rate *= 2;
    auto second = sample::service("desk");
    second.accounts[0].limit.rate *= 3;
    BOOST_TEST(append(sample::publish(first, 1, "anna")).refused.empty());
    const auto change = append(sample::publish(second, 1, "bela"));
    BOOST_REQUIRE(change.refused.size() == 1);
    BOOST_TEST((change.refused[0].reason == failure::Conflict));
    BOOST_TEST(change.services.empty());
    BOOST_TEST(version("desk") == 2U);
    BOOST_TEST((state.config().services().at(service_name{"desk"}) == first));
    const auto &audit = state.audit().back();
    BOOST_TEST((audit.kind == audit_kind::PublicationRefused));
    BOOST_TEST(audit.actor == "bela");
    BOOST_TEST(audit.detail == "from version 1: conflict, the present version is 2");
}

// Guards against a retried publication that conflicts with itself, or that creates another version.
BOOST_FIXTURE_TEST_CASE(repeatedPublicationChangesNothing, log_fixture)
{
    append(sample::publish(sample::service("desk"), 0));
    const auto change = append(sample::publish(sample::service("desk"), 0));
    BOOST_TEST(change.refused.empty());
    BOOST_TEST(change.services.empty());
    BOOST_TEST(version("desk") == 1U);
}

// Guards against a publication with different content that counts as a repeat because it states the same digest.
BOOST_FIXTURE_TEST_CASE(publicationWithFalseDigestIsNoRepeat, log_fixture)
{
    const auto good = sample::publish(sample::service("desk"), 0);
    append(good);
    auto forged = good;
    forged.service.accounts[0].limit.rate = 0;
    BOOST_TEST(append(forged).refused.size() == 1U);
}

// Guards against a service that takes over the accounts, keys, endpoints, models or bookings of another service.
BOOST_FIXTURE_TEST_CASE(serviceCannotDefineObjectsOfAnotherService, log_fixture)
{
    append(sample::publish(sample::service("desk"), 0));
    const auto desk = sample::service("desk");
    auto other = sample::service("other");
    other.accounts.push_back(desk.accounts[0]);
    BOOST_TEST(append(sample::publish(other, 0)).refused.at(0).detail == "account desk-account is defined by service desk");
    other = sample::service("other");
    other.endpoints.push_back(desk.endpoints[0]);
    BOOST_TEST(append(sample::publish(other, 0)).refused.at(0).detail == "endpoint desk-worker is defined by service desk");
    other = sample::service("other");
    other.keys[0].digest = desk.keys[0].digest;
    BOOST_TEST(append(sample::publish(other, 0)).refused.at(0).detail == "key other-secret-id is defined by service desk");
    other = sample::service("other");
    other.routes[1] = desk.routes[1];
    BOOST_TEST(append(sample::publish(other, 0)).refused.at(0).detail == "route POST /desk/book/* is defined by service desk");
    BOOST_TEST((state.audit().back().kind == audit_kind::PublicationRefused));
    BOOST_TEST(append(sample::publish(sample::service("other"), 0)).refused.empty());
}

// Guards against a removed service that still answers, and against a version that starts again from 0.
BOOST_FIXTURE_TEST_CASE(removedServiceKeepsItsVersion, log_fixture)
{
    append(sample::publish(sample::service("desk"), 0));
    publication removal{sample::service("desk"), 1, "anna", {}, true, 0};
    BOOST_TEST(append(removal).refused.empty());
    BOOST_TEST(!state.config().findKey(digestOf("desk-secret")).has_value());
    BOOST_TEST(state.config().findRoute("GET", "/desk/slots").service == nullptr);
    BOOST_TEST(append(sample::publish(sample::service("desk"), 0)).refused.size() == 1U);
    BOOST_TEST(append(sample::publish(sample::service("desk"), 2)).refused.empty());
    BOOST_TEST(version("desk") == 3U);
}

// Guards against a record that takes effect twice because its append was retried.
BOOST_FIXTURE_TEST_CASE(duplicateRecordIsAppliedOnce, log_fixture)
{
    const log_record record{sample::recordId(1), audit_event{audit_kind::DrainStarted, "vm-1", "d1", "", 1}};
    BOOST_TEST(append(record).appliedRecords.size() == 1U);
    BOOST_TEST(append(record).appliedRecords.empty());
    BOOST_TEST(state.audit().size() == 1U);
    BOOST_TEST(state.applyEntry(log[0])->appliedRecords.empty());
    BOOST_TEST(state.applied() == 2U);
}

// Guards against a late append that takes effect after its writer has treated it as void.
BOOST_FIXTURE_TEST_CASE(voidedRecordNeverTakesEffect, log_fixture)
{
    const auto lateRecordId = sample::recordId(7);
    const auto change = append({sample::recordId(8), void_record{lateRecordId}});
    BOOST_REQUIRE(change.voided.size() == 1);
    BOOST_TEST((state.recordStatusOf(lateRecordId) == record_status::Void));
    const auto changeByLateRecord = append({lateRecordId, claim("vm-1")});
    BOOST_TEST(changeByLateRecord.appliedRecords.empty());
    BOOST_TEST(state.findClaim(bookingKey) == nullptr);
}

// Guards against a void record that undoes a record which others have applied, and against one that voids another VM's record.
BOOST_FIXTURE_TEST_CASE(lateOrForeignVoidRecordHasNoEffect, log_fixture)
{
    append({sample::recordId(7), claim("vm-1")});
    BOOST_TEST(append({sample::recordId(8), void_record{sample::recordId(7)}}).voided.empty());
    BOOST_TEST((state.recordStatusOf(sample::recordId(7)) == record_status::Applied));
    BOOST_TEST(state.findClaim(bookingKey) != nullptr);
    BOOST_TEST(append({sample::recordId(1, "vm-2"), void_record{sample::recordId(9)}}).refused.size() == 1U);
    BOOST_TEST((state.recordStatusOf(sample::recordId(9)) == record_status::Absent));
}

// Guards against a booking that two VMs dispatch.
BOOST_FIXTURE_TEST_CASE(firstClaimWins, log_fixture)
{
    BOOST_TEST(append(claim("vm-1"), "vm-1").refused.empty());
    const auto change = append(claim("vm-2"), "vm-2");
    BOOST_REQUIRE(change.refused.size() == 1);
    BOOST_TEST((change.refused[0].reason == failure::BookingInProgress));
    BOOST_TEST(state.findClaim(bookingKey)->claim.claimant.vm.value == "vm-1");
    BOOST_TEST((state.findClaim(bookingKey)->record == sample::recordId(1)));
}

// Guards against an outcome that a VM other than the claimant reports, and against a known outcome that changes afterwards.
BOOST_FIXTURE_TEST_CASE(outcomesComeFromTheClaimantAndAreFinal, log_fixture)
{
    append(claim("vm-1"), "vm-1");
    const booking_outcome ran{bookingKey, outcome::Ran, 201, "text/plain", "slot 4"};
    const booking_outcome unknown{bookingKey, outcome::Unknown, 504, "", ""};
    BOOST_TEST(append(ran, "vm-2").refused.size() == 1U);
    BOOST_TEST(append(unknown, "vm-1").refused.empty());
    BOOST_TEST(append(ran, "vm-1").refused.empty());
    BOOST_TEST(append(unknown, "vm-1").refused.size() == 1U);
    BOOST_TEST((*state.findClaim(bookingKey)->result == ran));
    BOOST_TEST(append(claim("vm-2"), "vm-2").refused.size() == 1U);
}

// Guards against an idempotency key that is refused for a day although its booking certainly did not run.
BOOST_FIXTURE_TEST_CASE(bookingThatDidNotRunMayBeClaimedAgain, log_fixture)
{
    append(claim("vm-1"), "vm-1");
    append(booking_outcome{bookingKey, outcome::NotRun, 503, "", ""}, "vm-1");
    BOOST_TEST(append(claim("vm-2"), "vm-2").refused.empty());
    BOOST_TEST(state.findClaim(bookingKey)->claim.claimant.vm.value == "vm-2");
    BOOST_TEST(!state.findClaim(bookingKey)->result.has_value());
}

// Guards against two VMs that act in different epochs, and against a dropped incarnation that becomes a member again.
BOOST_FIXTURE_TEST_CASE(epochsFollowEachOther, log_fixture)
{
    BOOST_TEST(append(epoch_record{0, {member("vm-1", 1), member("vm-2", 1)}}).epoch);
    BOOST_TEST(append(epoch_record{0, {member("vm-3", 1)}}).refused.size() == 1U);
    BOOST_TEST(append(epoch_record{1, {member("vm-1", 1)}}).epoch);
    BOOST_TEST(state.epoch().previous.size() == 2U);
    BOOST_TEST(append(epoch_record{2, {member("vm-1", 1), member("vm-2", 1)}}).refused.size() == 1U);
    BOOST_TEST(append(epoch_record{2, {member("vm-2", 2), member("vm-1", 1)}}).refused.size() == 1U);
    BOOST_TEST(append(epoch_record{2, {}}).refused.size() == 1U);
    BOOST_TEST(append(epoch_record{2, {member("vm-1", 1), member("vm-2", 2)}}).epoch);
    BOOST_TEST(state.epoch().number == 3U);
}

// Guards against fencing numbers that decrease.
BOOST_FIXTURE_TEST_CASE(newestOrderCarriesItsOffset, log_fixture)
{
    append(order_record{endpoint_name{"d1"}, model_name{"m"}, "", "v1", endpoint_role::Decode});
    append(order_record{endpoint_name{"d1"}, model_name{"m"}, "", "v2", endpoint_role::Decode});
    BOOST_TEST(state.findOrder(endpoint_name{"d1"})->fencing == 1U);
    BOOST_TEST(state.findOrder(endpoint_name{"d1"})->order.version == "v2");
}

// Guards against a reader that stops at a malformed entry, and against one that skips a missing entry.
BOOST_FIXTURE_TEST_CASE(malformedEntriesAreSkippedAndGapsAreNot, log_fixture)
{
    BOOST_TEST((failureOf(state.applyEntry({0, "junk"}).status()) == failure::MalformedRecord));
    BOOST_TEST(state.applied() == 1U);
    BOOST_TEST(state.malformedEntries() == 1U);
    BOOST_TEST((failureOf(state.applyEntry({2, encodeBatch({})}).status()) == failure::Internal));
    BOOST_TEST(state.applied() == 1U);
}

// Guards against a VM whose state differs from that of the others after it started from a snapshot.
BOOST_FIXTURE_TEST_CASE(snapshotsContainTheFullState, log_fixture)
{
    append(sample::publish(sample::service("desk"), 0));
    append(epoch_record{0, {member("vm-1", 1), member("vm-2", 1)}});
    append(claim("vm-1"), "vm-1");
    append(order_record{endpoint_name{"desk-worker"}, model_name{"m"}, "", "v1", endpoint_role::Decode});
    append(void_record{sample::recordId(100)});
    log_state other;
    BOOST_REQUIRE(other.install(state.snapshot()).ok());
    BOOST_TEST((other.snapshot() == state.snapshot()));
    BOOST_TEST(other.config().findKey(digestOf("desk-secret"))->account.value == "desk-account");
    append({sample::recordId(100), audit_event{audit_kind::DrainStarted, "late", "", "", 0}});
    append(claim("vm-2"), "vm-2");
    for (auto offset = other.applied(); offset < log.size(); ++offset) {
        BOOST_TEST(other.applyEntry(log[offset]).ok());
    }
    BOOST_TEST((other.snapshot() == state.snapshot()));
}

// Guards against a configuration that reverts to an earlier version because an older or damaged snapshot is installed.
BOOST_FIXTURE_TEST_CASE(olderAndDamagedSnapshotsAreRefused, log_fixture)
{
    const auto empty = state.snapshot();
    append(sample::publish(sample::service("desk"), 0));
    const auto full = state.snapshot();
    BOOST_TEST((failureOf(state.install(empty)) == failure::Conflict));
    log_state other;
    for (std::size_t size = 0; size < full.size(); size += 7) {
        BOOST_TEST((failureOf(other.install(full.substr(0, size))) == failure::SnapshotInvalid));
    }
    BOOST_TEST(other.applied() == 0U);
    BOOST_TEST(version("desk") == 1U);
}

// Guards against readers that drop a claim at different log entries, and against a wrong clock that drops claims early.
BOOST_FIXTURE_TEST_CASE(claimsExpireWithASnapshot, log_fixture)
{
    constexpr wall_millis day = 86'400'000;
    constexpr wall_millis start = 1'000 * day;
    append(claim("vm-1", start), "vm-1");
    state.expireClaims(start + 3 * day);
    snapshot_chunk chunk{1, 0, 1, "digest", "data", state.claimHorizon()};
    append(chunk);
    BOOST_TEST(state.findClaim(bookingKey) != nullptr);
    auto laterClaim = claim("vm-1", start + 2 * day);
    laterClaim.key.key = "key-2";
    append(laterClaim, "vm-1");
    append(chunk);
    BOOST_TEST(state.findClaim(bookingKey) == nullptr);
    BOOST_TEST(state.findClaim(laterClaim.key) != nullptr);
    BOOST_TEST(state.lastSnapshot().first == 3U);
}

// Guards against a request that reaches the wrong service.
BOOST_FIXTURE_TEST_CASE(mostSpecificRouteIsUsed, log_fixture)
{
    auto service = sample::service("desk");
    service.routes.push_back({"POST", "/desk/*", route_kind::Lookup, route_access::Open, std::chrono::milliseconds(100)});
    append(sample::publish(service, 0));
    const auto &config = state.config();
    BOOST_TEST(config.findRoute("GET", "/desk/slots?day=1").entry->path == "/desk/slots");
    BOOST_TEST(config.findRoute("POST", "/desk/book/4").entry->path == "/desk/book/*");
    BOOST_TEST(config.findRoute("POST", "/desk/other").entry->path == "/desk/*");
    BOOST_TEST(config.findRoute("DELETE", "/desk/slots").methodMismatch);
    BOOST_TEST(config.findRoute("GET", "/elsewhere").entry == nullptr);
    BOOST_TEST(!config.findRoute("GET", "/elsewhere").methodMismatch);
    BOOST_TEST(config.mayCall(account_name{"desk-account"}, config.services().begin()->second));
    BOOST_TEST(!config.mayCall(account_name{"other"}, config.services().begin()->second));
}

BOOST_AUTO_TEST_SUITE_END()
