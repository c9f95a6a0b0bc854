// Tests that readers that receive the same log in different ways reach the same state.
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdlib>

#include "log_state.hpp"
#include "sample_config.hpp"

using namespace plantainpoint;

BOOST_AUTO_TEST_SUITE(readers)

namespace {

constexpr const char *checkParameters = "seed=20261204 max_success=300 max_size=60";

record_id anyRecordId()
{
    return sample::recordId(*rc::gen::inRange<std::uint64_t>(1, 30), "vm-" + std::to_string(*rc::gen::inRange(1, 4)));
}

claim_key anyClaimKey()
{
    return {account_name{"a"}, service_name{"desk"}, "key-" + std::to_string(*rc::gen::inRange(0, 3))};
}

publication anyPublication()
{
    auto service = sample::service(*rc::gen::element<std::string>("desk", "crew", "assistant"));
    service.accounts[0].limit.rate = *rc::gen::inRange(1, 4) * microTokensPerRequest;
    if (*rc::gen::inRange(0, 4) == 0) {
        service.accounts.push_back(sample::account("shared"));
    }
    auto record = sample::publish(service, *rc::gen::inRange<std::uint64_t>(0, 4));
    record.removes = *rc::gen::inRange(0, 5) == 0;
    return record;
}

epoch_record anyEpoch()
{
    epoch_record record{*rc::gen::inRange<std::uint64_t>(0, 4), {}};
    for (const auto *vm : {"vm-1", "vm-2", "vm-3"}) {
        const auto incarnation = *rc::gen::inRange<std::uint64_t>(0, 4);
        if (incarnation > 0) {
            record.members.push_back({{vm_name{vm}, incarnation}, data_centre_name{"dc"}, region_name{"r"}, "127.0.0.1:1"});
        }
    }
    return record;
}

record_body anyBody()
{
    const auto number = *rc::gen::inRange(0, 3);
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        return anyPublication();
    case 1:
        return anyEpoch();
    case 2:
        return booking_claim{anyClaimKey(), anyRecordId().writer, "digest", 1000LL * number};
    case 3:
        return booking_outcome{anyClaimKey(), static_cast<outcome>(number), 200 + number, "", "body"};
    case 4:
        return order_record{endpoint_name{"desk-worker"}, model_name{"m"}, "", "v" + std::to_string(number), endpoint_role::Decode};
    case 5:
        return snapshot_chunk{0, static_cast<std::uint32_t>(number % 2), 2, "digest", "data", 500};
    case 6:
        return void_record{anyRecordId()};
    default:
        return audit_event{audit_kind::OrphanFreed, "vm", "d1", "label", number};
    }
}

std::vector<log_entry> anyLog()
{
    std::vector<log_entry> log;
    const auto length = *rc::gen::inRange<std::size_t>(1, 60);
    while (log.size() < length) {
        std::vector<log_record> batch;
        for (auto count = *rc::gen::inRange(0, 4); count > 0; --count) {
            batch.push_back({anyRecordId(), anyBody()});
        }
        const bool malformed = *rc::gen::inRange(0, 15) == 0;
        log.push_back({log.size(), malformed ? std::string("malformed") : encodeBatch(batch)});
    }
    return log;
}

// Applies entries out of order, repeatedly and with gaps, installs snapshots of another reader, and then applies the rest of the log in order.
void readInAnyOrder(log_state &reader, const std::vector<log_entry> &log, const std::vector<std::string> &snapshots)
{
    for (auto steps = *rc::gen::inRange(0, 80); steps > 0; --steps) {
        const auto before = reader.applied();
        if (*rc::gen::inRange(0, 8) == 0) {
            (void)reader.install(*rc::gen::elementOf(snapshots));
        } else {
            const auto position = reader.applied() + *rc::gen::inRange<std::uint64_t>(0, 3);
            (void)reader.applyEntry(log[std::min<std::size_t>(position == 0 ? 0 : position - 1, log.size() - 1)]);
        }
        RC_ASSERT(reader.applied() >= before);
    }
    while (reader.applied() < log.size()) {
        (void)reader.applyEntry(log[reader.applied()]);
    }
}

} // namespace

// Guards against two readers that resolve a conflict differently because entries reach them repeated, out of order or through a snapshot.
BOOST_AUTO_TEST_CASE(anyDeliveryOrderGivesTheSameState)
{
    setenv("RC_PARAMS", checkParameters, 0);
    const bool holds = rc::check("readers of one log agree", [] {
        const auto log = anyLog();
        log_state first;
        std::vector<std::string> snapshots{first.snapshot()};
        for (const auto &entry : log) {
            (void)first.applyEntry(entry);
            snapshots.push_back(first.snapshot());
        }
        log_state second;
        readInAnyOrder(second, log, snapshots);
        RC_ASSERT(second.applied() == first.applied());
        RC_ASSERT(second.snapshot() == snapshots.back());
    });
    BOOST_TEST(holds);
}

// Guards against a record that is both applied and void, or applied more than once.
BOOST_AUTO_TEST_CASE(everyRecordIsAppliedOrVoidOnce)
{
    setenv("RC_PARAMS", checkParameters, 0);
    const bool holds = rc::check("each record id is either applied once or void", [] {
        log_state state;
        std::map<record_id, int> decisions;
        for (const auto &entry : anyLog()) {
            const auto change = state.applyEntry(entry);
            if (!change.ok()) {
                continue;
            }
            for (const auto &id : change->appliedRecords) {
                ++decisions[id];
            }
            for (const auto &id : change->voided) {
                ++decisions[id];
            }
        }
        for (const auto &[id, count] : decisions) {
            RC_ASSERT(count == 1);
            RC_ASSERT(state.recordStatusOf(id) != record_status::Absent);
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
