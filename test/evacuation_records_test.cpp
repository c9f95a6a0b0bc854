// Tests how the operator's evacuations are read from the platform's store and passed on in the state for other VMs.
#include <boost/test/unit_test.hpp>

#include "plantainpoint/failure.hpp"
#include "store_fixture.hpp"

using namespace plantainpoint;
using namespace plantainpoint::platform;
using namespace plantainpoint::test;

namespace {

struct evacuation_fixture : store_fixture {
    using item_list = std::vector<std::pair<std::string, std::string>>;

    void take(relay_input message)
    {
        if (auto *const read = std::get_if<evacuations_read>(&message)) {
            order.emplace_back("evacuations");
            reads.push_back(*read);
        } else if (std::holds_alternative<configuration_read>(message)) {
            order.emplace_back("configuration");
        } else if (std::holds_alternative<directory_read>(message)) {
            order.emplace_back("endpoints");
        } else if (std::holds_alternative<directory_read_finished>(message)) {
            order.emplace_back("finished");
        }
    }
    static std::string page(std::uint64_t end, const item_list &items)
    {
        auto out = nlohmann::json::array();
        for (const auto &[key, value] : items) {
            out.push_back({{"key", key}, {"value", absl::Base64Escape(value)}});
        }
        return nlohmann::json{{"end", end}, {"has_more", false}, {"items", out}}.dump();
    }
    // Has the reader read once and serves its reads.
    void readOnce(std::uint64_t era, const std::string &operatorTarget, const std::string &body)
    {
        const auto finished = std::count(order.begin(), order.end(), "finished");
        tested.run(read_directory{});
        serveIn(era, operatorTarget, body);
        const std::string first = readsWorkers ? readWorkersTarget : newestWorkersTarget;
        serveIn(era, first, readsWorkers ? logPage(0, 0, "") : page(0, {}));
        readsWorkers = true;
        BOOST_REQUIRE(runUntil(io, [&] { return std::count(order.begin(), order.end(), "finished") > finished; }));
    }
    void readAll(std::uint64_t era, std::uint64_t end, const item_list &items) { readOnce(era, newestOperatorTarget, page(end, items)); }
    void readLog(std::uint64_t era, std::uint64_t from, std::uint64_t end, const std::string &records)
    {
        readOnce(era, std::string(readOperatorTarget) + "&part=0&from=" + std::to_string(from), logPage(end, 0, records));
    }
    // Returns what was read last of a data centre, or nothing.
    std::optional<evacuation> last(const std::string &dataCentre) const
    {
        for (const auto &each : reads.back().evacuations) {
            if (each.dataCentre.value == dataCentre) {
                return each;
            }
        }
        return std::nullopt;
    }

    static constexpr const char *newestOperatorTarget = "/api/log-newest?topic=keyed.op";
    static constexpr const char *readOperatorTarget = "/api/log-read?topic=keyed.op";
    static constexpr const char *config = R"({"version":9,"routes":[],"services":[]})";

    std::vector<evacuations_read> reads;
    std::vector<std::string> order; // Kinds of the messages to the core.
    bool readsWorkers = false; // The workers have been read as a whole.
    store_reader tested{io, http, options, [this](relay_input message) { take(std::move(message)); }, logger};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation_records, evacuation_fixture)

// Guards against an evacuation that is not read, has a position of another era, or an age that is too low.
BOOST_AUTO_TEST_CASE(recordsBeginAndEndEvacuations)
{
    readAll(3, 5, {{"config", config}, {"evacuate/z-a", "{}"}});
    BOOST_REQUIRE(last("z-a").has_value());
    BOOST_TEST(last("z-a")->inForce);
    BOOST_TEST(last("z-a")->position == positionOf(3, 5));
    // The record may be of any age before the first read.
    BOOST_TEST((last("z-a")->age == duration::max()));
    BOOST_TEST(reads.back().completeFrom == positionOf(3, 0));
    BOOST_TEST(reads.back().completeTo == positionOf(3, 5));
    const auto before = std::chrono::steady_clock::now();
    readLog(3, 5, 7, encodeKeyedRecord("evacuate/z-a", "") + encodeKeyedRecord("evacuate/z-b", "anything"));
    BOOST_TEST(!last("z-a")->inForce);
    BOOST_TEST(last("z-a")->position == positionOf(3, 6));
    BOOST_TEST(last("z-b")->inForce);
    BOOST_TEST(last("z-b")->position == positionOf(3, 7));
    // It was written after the begin of the first read, which did not show it.
    BOOST_TEST((last("z-b")->age >= std::chrono::steady_clock::now() - before - std::chrono::milliseconds{20}));
    BOOST_TEST((last("z-b")->age < std::chrono::seconds{10}));
    BOOST_TEST(reads.back().completeTo == 0U);
}

// Guards against a core that places requests by a configuration or claims to know the directory before it knows the evacuations.
BOOST_AUTO_TEST_CASE(evacuationsComeFirst)
{
    readAll(1, 2, {{"config", config}});
    BOOST_REQUIRE(!order.empty());
    BOOST_TEST(order.front() == "evacuations"); // Even if there are none.
    order.clear();
    readLog(1, 2, 4, encodeKeyedRecord("config", R"({"version":10,"routes":[],"services":[]})") + encodeKeyedRecord("evacuate/z-a", "{}"));
    BOOST_REQUIRE(order.size() >= 3U);
    BOOST_TEST(order[0] == "evacuations");
    BOOST_TEST(order[1] == "configuration");
    BOOST_TEST(order.back() == "finished");
}

// Guards against an evacuation that goes on although its record was deleted together with the history of the store.
BOOST_AUTO_TEST_CASE(aKeyThatACompleteReadLacksWasDeleted)
{
    readAll(1, 5, {{"evacuate/z-a", "{}"}});
    // The store has deleted the records behind the position.
    const auto finished = std::count(order.begin(), order.end(), "finished");
    tested.run(read_directory{});
    auto *const gone = requestFor(std::string(readOperatorTarget) + "&part=0&from=5");
    BOOST_REQUIRE(gone != nullptr);
    answer(*gone, R"({"first":9})", 1, 410);
    serveIn(1, newestOperatorTarget, page(12, {}));
    serveIn(1, readWorkersTarget, logPage(0, 0, ""));
    BOOST_REQUIRE(runUntil(io, [&] { return std::count(order.begin(), order.end(), "finished") > finished; }));
    BOOST_TEST(!last("z-a")->inForce);
    BOOST_TEST(last("z-a")->position == positionOf(1, 12));
}

// Guards against an evacuation that ends because the store has come back from a copy that lacks its record.
BOOST_AUTO_TEST_CASE(aNewEraKeepsTheStateUntilARecordAppears)
{
    readAll(1, 5, {{"evacuate/z-a", "{}"}});
    const auto finished = std::count(order.begin(), order.end(), "finished");
    tested.run(read_directory{});
    auto *const late = requestFor(std::string(readOperatorTarget) + "&part=0&from=5");
    BOOST_REQUIRE(late != nullptr);
    answer(*late, logPage(2, 0, ""), 2);
    serveIn(2, readWorkersTarget, logPage(0, 0, ""));
    serveIn(2, newestOperatorTarget, page(2, {}));
    serveIn(2, newestWorkersTarget, page(0, {}));
    BOOST_REQUIRE(runUntil(io, [&] { return std::count(order.begin(), order.end(), "finished") > finished; }));
    BOOST_TEST(last("z-a")->inForce);
    BOOST_TEST(last("z-a")->position == positionOf(1, 5));
    readLog(2, 2, 3, encodeKeyedRecord("evacuate/z-a", ""));
    BOOST_TEST(!last("z-a")->inForce);
    BOOST_TEST(last("z-a")->position == positionOf(2, 3));
}

// Guards against keys of other writers that name no data centre.
BOOST_AUTO_TEST_CASE(malformedKeysHaveNoEffect)
{
    readAll(1,
            9,
            {{"evacuate/", "{}"},
             {"evacuate/a b", "{}"},
             {"evacuate/" + std::string(200, 'z'), "{}"},
             {"evacuated", "{}"},
             {"evacuate/z-a", "x"},
             {"evacuate/z-b", ""}});
    BOOST_TEST(reads.back().evacuations.size() == 2U);
    BOOST_TEST(last("z-a")->inForce); // Any value counts,
    BOOST_TEST(!last("z-b")->inForce); // but a record without one deletes its key.
}

// Guards against a VM that takes over the position of another one without its evacuations, and against one that learns of them after the endpoints.
BOOST_AUTO_TEST_CASE(stateForOtherVmsCarriesTheEvacuations)
{
    readAll(1, 5, {{"config", config}, {"evacuate/z-a", "{}"}});
    readLog(1, 5, 7, encodeKeyedRecord("evacuate/z-b", "{}") + encodeKeyedRecord("evacuate/z-a", ""));
    const auto state = tested.exportState("config_version=0&config_from=0&workers_from=0");
    std::vector<std::string> kinds;
    std::vector<evacuations_read> imported;
    store_reader other{io,
                       http,
                       options,
                       [&](relay_input message) {
                           if (auto *const read = std::get_if<evacuations_read>(&message)) {
                               kinds.emplace_back("evacuations");
                               imported.push_back(*read);
                           } else if (std::holds_alternative<configuration_read>(message)) {
                               kinds.emplace_back("configuration");
                           }
                       },
                       logger};
    other.importState(state);
    BOOST_REQUIRE(kinds.size() == 2U);
    BOOST_TEST(kinds[0] == "evacuations");
    BOOST_REQUIRE(imported[0].evacuations.size() == 2U);
    BOOST_TEST(!imported[0].evacuations[0].inForce);
    BOOST_TEST(imported[0].evacuations[1].inForce);
    BOOST_TEST(imported[0].evacuations[1].position == positionOf(1, 6));
    // The transfer takes time as well.
    BOOST_TEST((imported[0].evacuations[1].age >= last("z-b")->age + std::chrono::seconds{1}));
    BOOST_TEST(other.missingState() == tested.missingState());
}

// Guards against a VM that skips the operator's records because a VM of an earlier version, which does not know evacuations, has read them.
BOOST_AUTO_TEST_CASE(stateOfAnEarlierVersionDoesNotSkipRecords)
{
    const nlohmann::json state{{"config", config}, {"config_next", positionOf(1, 7)}};
    std::string bytes;
    nlohmann::json::to_cbor(state, bytes);
    tested.importState(bytes);
    BOOST_TEST(reads.empty());
    BOOST_TEST(std::count(order.begin(), order.end(), "configuration") == 1);
    readAll(1, 7, {{"config", config}, {"evacuate/z-a", "{}"}});
    BOOST_TEST(last("z-a")->inForce);
}

BOOST_AUTO_TEST_CASE(malformedStateHasNoEffect)
{
    for (const nlohmann::json &evacuations : {nlohmann::json("x"), nlohmann::json(5), nlohmann::json("\x81\x01")}) {
        const nlohmann::json state{{"config", config}, {"config_next", 7}, {"evacuations", evacuations}};
        std::string bytes;
        nlohmann::json::to_cbor(state, bytes);
        tested.importState(bytes);
    }
    BOOST_TEST(order.empty());
    BOOST_TEST(tested.missingState() == "config_version=0&config_from=0&workers_from=0&deflate=1");
}

// Guards against records that are taken for known because state of another VM arrived during the read that shows them.
BOOST_AUTO_TEST_CASE(recordsBehindImportedStateAreReadInTheSameRead)
{
    readAll(1, 5, {{"config", config}});
    tested.run(read_directory{});
    auto *const delayed = requestFor(std::string(readOperatorTarget) + "&part=0&from=5");
    BOOST_REQUIRE(delayed != nullptr);
    const nlohmann::json state{{"config_next", positionOf(1, 6)}, {"evacuations", encodeEvacuations({})}};
    std::string bytes;
    nlohmann::json::to_cbor(state, bytes);
    tested.importState(bytes);
    const auto finished = std::count(order.begin(), order.end(), "finished");
    answer(*delayed, logPage(7, 0, encodeKeyedRecord("other", "x") + encodeKeyedRecord("evacuate/z-a", "{}")), 1);
    serveIn(1, std::string(readOperatorTarget) + "&part=0&from=6", logPage(7, 0, encodeKeyedRecord("evacuate/z-a", "{}")));
    serveIn(1, readWorkersTarget, logPage(0, 0, ""));
    BOOST_REQUIRE(runUntil(io, [&] { return std::count(order.begin(), order.end(), "finished") > finished; }));
    BOOST_REQUIRE(last("z-a").has_value());
    BOOST_TEST(last("z-a")->inForce);
    BOOST_TEST(last("z-a")->position == positionOf(1, 7));
}

BOOST_AUTO_TEST_CASE(keysNameDataCentres)
{
    BOOST_TEST(!evacuatedDataCentre("config").has_value());
    const auto named = evacuatedDataCentre(evacuationKey({"hraun-1"}));
    BOOST_REQUIRE((named && named->ok()));
    BOOST_TEST((*named)->value == "hraun-1");
    BOOST_TEST((failureOf(evacuatedDataCentre("evacuate/")->status()) == failure::MalformedRecord));
}

BOOST_AUTO_TEST_SUITE_END()
