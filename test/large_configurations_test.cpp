// Tests that large configurations get into force over slow links and while many versions come in quick succession.
#include <boost/test/unit_test.hpp>

#include "deflate.hpp"
#include "directory_follower.hpp"
#include "relay_fixture.hpp"
#include "store_fixture.hpp"

using namespace plantainpoint;
using namespace plantainpoint::platform;
using namespace plantainpoint::test;
using std::chrono::milliseconds;

namespace {

constexpr const char *readConfigTarget = "/api/log-read?topic=keyed.op";
constexpr const char *newestConfigTarget = "/api/log-newest?topic=keyed.op";

// Returns a configuration with many routes, in the size of about 200 bytes a route.
std::string configOf(std::uint64_t version, std::size_t routeCount = 0)
{
    auto routes = nlohmann::json::array();
    for (std::size_t i = 0; i < routeCount; ++i) {
        const auto name = std::to_string(stableHash("route-" + std::to_string(i)));
        routes.push_back({{"name", "r-" + name},
                          {"host", "desk.example"},
                          {"path_prefix", "/" + name + "/"},
                          {"kind", "safe"},
                          {"timeout_ms", 1000},
                          {"slo_ms", 150},
                          {"priority", 2},
                          {"service", "desk"},
                          {"attempts", 2},
                          {"public", true},
                          {"sticky", false}});
    }
    return nlohmann::json{{"version", version},
                          {"routes", routes},
                          {"services", {{{"name", "desk"}, {"health_path", "/healthz"}, {"max_conns", 10}, {"proto", "h1"}, {"tls", false}}}}}
        .dump();
}

struct large_configuration_fixture : store_fixture {
    // Reads the topics once, so that the position after the configuration is 3 and that after the workers 1.
    void readOnce()
    {
        startReading();
        serveRequest(newestConfigTarget, newestPage(3, "config", configOf(5)));
        serveRequest(newestWorkersTarget, newestPage(1, "w-1", workerEntry("10.0.0.1:1")));
        serveRequest("topic=keyed.quarantine", nlohmann::json{{"end", 0}, {"has_more", false}, {"items", nlohmann::json::array()}}.dump());
        BOOST_REQUIRE(runUntil(io, [&] { return !versions.empty(); }));
    }

    // Answers in equal parts with pauses, as a slow link does.
    void answerSlowly(raw_connection &connection, const std::string &body, int parts, milliseconds pause)
    {
        answeredBytes[&connection] = connection.received().size();
        const auto bytes = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        const auto partSize = bytes.size() / static_cast<std::size_t>(parts) + 1;
        for (std::size_t sent = 0; sent < bytes.size(); sent += partSize) {
            connection.send(std::string_view(bytes).substr(sent, partSize));
            const auto until = std::chrono::steady_clock::now() + pause;
            runUntil(io, [&] { return std::chrono::steady_clock::now() >= until; });
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(large_configuration_reads, large_configuration_fixture)

// Guards against a read with a time limit on the whole answer: over a slow link, each one is cut off and starts anew at the same offset (lippu-reititin-grown,
// 600 KB over 10 Mbit/s).
BOOST_AUTO_TEST_CASE(slowAnswersAreReadToTheirEnd)
{
    readOnce();
    auto *const slow = requestFor(std::string(readConfigTarget) + "&part=0&from=3");
    BOOST_REQUIRE(slow != nullptr);
    const auto text = configOf(9, 500);
    answerSlowly(*slow, logPage(4, 0, encodeKeyedRecord("config", text)), 10, milliseconds{120});
    BOOST_TEST(runUntil(io, [&] { return versions.back() == 9; }));
}

// Guards against a read that stopped short of the end and counts as proof that nothing newer is there.
BOOST_AUTO_TEST_CASE(pagesShortOfTheEndAreNoProof)
{
    readOnce();
    serveRequest(std::string(readConfigTarget) + "&part=0&from=3", logPage(5, 0, encodeKeyedRecord("config", configOf(6))));
    serveRequest(std::string(readWorkersTarget) + "&part=0&from=1", logPage(3, 0, encodeKeyedRecord("w-2", workerEntry("10.0.0.2:1"))));
    const auto before = finishedReads;
    auto *const rest = requestFor(std::string(readWorkersTarget) + "&part=0&from=2");
    BOOST_REQUIRE(rest != nullptr);
    auto *const restOfConfig = requestFor(std::string(readConfigTarget) + "&part=0&from=4");
    BOOST_REQUIRE(restOfConfig != nullptr);
    BOOST_TEST(finishedReads == before);
    answer(*rest, logPage(3, 0, encodeKeyedRecord("w-3", workerEntry("10.0.0.3:1"))));
    answer(*restOfConfig, logPage(5, 0, encodeKeyedRecord("config", configOf(7))));
    BOOST_TEST(runUntil(io, [&] { return finishedReads == before + 1; }));
    BOOST_TEST(versions.back() == 7);
    BOOST_TEST(addresses["w-3"] == "10.0.0.3:1");
}

// Guards against a VM that reads every superseded version of a backlog, each as large as the newest one.
BOOST_AUTO_TEST_CASE(supersededConfigurationsAreSkipped)
{
    readOnce();
    serveRequest(std::string(readConfigTarget) + "&part=0&from=3", logPage(30, 0, encodeKeyedRecord("config", configOf(6))));
    serveRequest(newestConfigTarget, newestPage(30, "config", configOf(31)));
    BOOST_TEST(runUntil(io, [&] { return versions.back() == 31; }));
    BOOST_TEST(requestFor(std::string(readConfigTarget) + "&part=0&from=30") != nullptr);
}

// Guards against an invalid version at the end of a backlog that hides the valid ones before it.
BOOST_AUTO_TEST_CASE(invalidConfigurationDoesNotHideABacklog)
{
    readOnce();
    const std::string invalid = R"({"version":40,"routes":[{}],"services":[]})";
    serveRequest(std::string(readConfigTarget) + "&part=0&from=3", logPage(7, 0, encodeKeyedRecord("config", configOf(6))));
    serveRequest(newestConfigTarget, newestPage(7, "config", invalid));
    serveRequest(readWorkersTarget, logPage(1, 0, ""));
    serveRequest(std::string(readConfigTarget) + "&part=0&from=4",
                 logPage(7, 0, encodeKeyedRecord("config", configOf(8)) + encodeKeyedRecord("config", configOf(9)) + encodeKeyedRecord("config", invalid)));
    BOOST_TEST(runUntil(io, [&] { return versions.back() == 9; }));
    BOOST_TEST(requestFor(std::string(readConfigTarget) + "&part=0&from=7") != nullptr);
}

// Guards against a refused read that counts as proof because state of another VM, which may be older than the read, was imported meanwhile.
BOOST_AUTO_TEST_CASE(refusedReadIsNoProof)
{
    std::vector<bool> results;
    store_reader other{io,
                       http,
                       options,
                       [&](const relay_input &message) {
                           if (const auto *const finished = std::get_if<directory_read_finished>(&message)) {
                               results.push_back(finished->succeeded);
                           }
                       },
                       logger};
    other.importState(encodeState({{"w-1", workerEntry("10.0.0.1:1")}}, 2));
    other.run(read_directory{});
    serveConfiguration();
    auto *const refused = requestFor(std::string(readWorkersTarget) + "&part=0&from=2");
    BOOST_REQUIRE(refused != nullptr);
    other.importState(encodeState({{"w-1", workerEntry("10.0.0.3:1")}}, 3));
    answer(*refused, "", 0, 503);
    BOOST_REQUIRE(runUntil(io, [&] { return !results.empty(); }));
    BOOST_TEST(!results.front());
}

// Guards against a configuration that takes the link of a hub, or that of a VM, for longer than the bound of a change.
BOOST_AUTO_TEST_CASE(configurationIsCompressedForOtherVms)
{
    readOnce();
    const auto text = configOf(9, 3000);
    serveRequest(std::string(readConfigTarget) + "&part=0&from=3", logPage(4, 0, encodeKeyedRecord("config", text)));
    BOOST_REQUIRE(runUntil(io, [&] { return versions.back() == 9; }));
    store_reader other{io, http, options, [this](relay_input message) { receive(std::move(message)); }, logger};
    const auto state = reader.exportState(other.missingState());
    BOOST_TEST(state.size() < text.size() / 8);
    versions.clear();
    other.importState(state);
    BOOST_REQUIRE_EQUAL(versions.size(), 1);
    BOOST_TEST(versions[0] == 9);
    // VMs of an earlier version ask without it.
    const auto plain = nlohmann::json::from_cbor(reader.exportState("config_version=0&config_from=0&workers_from=0"));
    BOOST_TEST(plain.at("config").get<std::string>() == text);
}

// Guards against a compressed configuration that is damaged, or whose size would use up the memory.
BOOST_AUTO_TEST_CASE(damagedConfigurationChangesNothing)
{
    readOnce();
    const auto importWith = [&](std::size_t size, const std::string &deflated) {
        const nlohmann::json state{{"config_deflated", nlohmann::json::binary({deflated.begin(), deflated.end()})}, {"config_size", size}};
        std::string bytes;
        nlohmann::json::to_cbor(state, bytes);
        reader.importState(bytes);
    };
    const auto text = configOf(9, 20);
    const auto deflated = deflate(text);
    importWith(text.size(), deflated.substr(0, deflated.size() / 2));
    importWith(text.size() - 1, deflated);
    importWith(text.size() + 1, deflated);
    importWith(std::size_t{1} << 40U, deflated);
    importWith(text.size(), "no configuration");
    BOOST_TEST(versions.back() == 5);
    importWith(text.size(), deflated);
    BOOST_TEST(versions.back() == 9);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(large_configuration_decoding)

// Guards against a VM that parses thousands of routes for a change of one, while its streams pause.
BOOST_AUTO_TEST_CASE(onlyChangedRoutesAreParsed)
{
    const auto before = configOf(1, 3000);
    auto changed = nlohmann::json::parse(configOf(2, 3000));
    changed["routes"][17]["timeout_ms"] = 700;
    changed["routes"].erase(2000);
    const auto text = changed.dump();
    auto first = decodeConfiguration(before, route_texts{});
    BOOST_REQUIRE(first.ok());
    route_texts known;
    known.set(before, first->routeTexts, std::make_shared<const relay_config>(std::move(first->config)));
    const auto second = decodeConfiguration(text, known);
    BOOST_REQUIRE(second.ok());
    BOOST_TEST(second->reusedRoutes == 2998);
    BOOST_TEST(second->config.version == 2);
    BOOST_TEST((second->config.routes == decodeConfiguration(text)->routes));
    BOOST_TEST((second->config.routes[17].timeout == milliseconds{700}));
}

// Guards against a text that is told apart wrongly: the result has to be that of parsing it as a whole.
BOOST_AUTO_TEST_CASE(splitConfigurationsAreDecodedLikeWholeOnes)
{
    const std::string route = R"({"name":"r","host":"a\"]}{[b","path_prefix":"/x\\/","kind":"safe","service":"desk","split":[]})";
    const std::string tail = R"("services":[{"name":"desk"}],"tenants":[]})";
    const std::vector<std::string> valid{
        R"({"version":3,"routes":[)" + route + "," + route + "]," + tail,
        " {\n\"routes\" : [ " + route + "\t,\r\n" + route + " ] , \"version\" : 3, " + tail,
        R"({"version":3,"routes":[],)" + tail,
        R"({"version":3,"other":{"routes":[1]},"routes":[)" + route + "]," + tail,
        R"({"version":3,"routes":[)" + route + R"(],"routes":[)" + route + "," + route + "]," + tail,
        R"({"version":3,"rout\u0065s":[)" + route + "]," + tail,
    };
    for (const auto &text : valid) {
        const auto whole = nlohmann::json::parse(text);
        const auto decoded = decodeConfiguration(text);
        BOOST_REQUIRE_MESSAGE(decoded.ok(), text);
        BOOST_TEST(decoded->routes.size() == whole.at("routes").size());
        BOOST_TEST((decoded->routes.empty() || decoded->routes.back().host == R"(a"]}{[b)"));
    }
    const auto text = valid.front();
    for (std::size_t size = 0; size < text.size(); ++size) {
        BOOST_TEST(!decodeConfiguration(text.substr(0, size)).ok());
        // Brackets and quotes may still match without one of the characters.
        auto damaged = text;
        damaged.erase(size, 1);
        if (!nlohmann::json::accept(damaged)) {
            BOOST_TEST(!decodeConfiguration(damaged).ok(), damaged);
        }
    }
    BOOST_TEST(!decodeConfiguration(R"({"version":3,"routes":[)" + route + route + "]," + tail).ok());
    BOOST_TEST(!decodeConfiguration(R"({"version":3,"routes":[)" + route + ",]," + tail).ok());
    BOOST_TEST(!decodeConfiguration(R"({"version":3,"routes":[[]],)" + tail).ok());
    BOOST_TEST(!decodeConfiguration(text + "}").ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(long_directory_reads)

// Guards against a read that takes long, is asked for again and then counts as proof of what the directory held when it was asked for the second time.
BOOST_AUTO_TEST_CASE(readAskedForAgainProvesItsOwnStart)
{
    directory_follower follower{milliseconds{450}, milliseconds{3000}, 0};
    const time_point start{std::chrono::seconds{100}};
    BOOST_REQUIRE(follower.startRead(directory_role::Reader, start));
    BOOST_TEST(!follower.startRead(directory_role::Reader, start + milliseconds{2000}));
    BOOST_TEST(follower.startRead(directory_role::Reader, start + milliseconds{2600}));
    BOOST_TEST(!follower.startRead(directory_role::Reader, start + milliseconds{2700}));
    follower.onReadFinished(true, start + milliseconds{3000});
    BOOST_REQUIRE(follower.proofAge(start + milliseconds{3000}).has_value());
    BOOST_TEST((*follower.proofAge(start + milliseconds{3000}) == duration{milliseconds{3000}}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(large_configuration_transfers, relay_fixture)

// Guards against transfers of state that start while another one is open and share the link with it, so that none ends in time and the VM never catches up.
BOOST_AUTO_TEST_CASE(oneTransferOfStateIsOpenAtATime)
{
    configureDesks();
    answersFetches = false;
    for (std::uint64_t sequence = 1; sequence <= 20; ++sequence) {
        core.handle(fleet_heartbeat{.from = {{"vm-2"}, 5},
                                    .sequence = sequence,
                                    .address = "127.0.0.1:7002",
                                    .dataCentre = {"dc-a"},
                                    .knowledge = {.configVersion = 9, .configSize = 20'000}});
        advance(milliseconds{150});
    }
    BOOST_TEST(fetchAddresses.size() == 1);
}

// Guards against a fleet whose VMs all read a large configuration from the directory: 320 VMs and 600 KB take longer than the bound of the change.
BOOST_AUTO_TEST_CASE(largeConfigurationsComeFromTheHub)
{
    configureDesks();
    const auto before = directoryReads;
    core.handle(fleet_heartbeat{
        .from = {{"vm-2"}, 5}, .sequence = 1, .address = "127.0.0.1:7002", .dataCentre = {"dc-a"}, .knowledge = {.configVersion = 9, .configSize = 600'000}});
    collect();
    advance(milliseconds{20});
    BOOST_TEST(fetchAddresses.size() == 1);
    BOOST_TEST(directoryReads == before);
}

BOOST_AUTO_TEST_SUITE_END()
