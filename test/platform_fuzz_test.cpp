// Passes seeded mutations of the platform's bytes through the adapter, and what it accepts through the relay core.
#include <boost/test/unit_test.hpp>

#include <array>

#include "fleet_codec.hpp"
#include "http_dialect.hpp"
#include "mutator.hpp"
#include "platform_bytes.hpp"
#include "relay_fixture.hpp"
#include "store_codec.hpp"

using namespace plantainpoint;
using namespace plantainpoint::platform;
using plantainpoint::test::mutator;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(platform_fuzz)

namespace {

constexpr int runsPerCase = 20000; // Runs per test case. All of them take two seconds, which is short enough for CI.

const std::string configurationJson = R"({"version":7,"routes":[
 {"name":"r1","host":"shop.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":14000,"slo_ms":900,"priority":1,"service":"llm",
  "attempts":2,"public":false,"sticky":true,"resumable":true,"gap_slo_ms":300},
 {"name":"r2","host":"shop.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":1000,"slo_ms":100,"priority":2,
  "split":[{"service":"desk","weight":90},{"service":"desk2","weight":10}],"attempts":1,"public":true},
 {"name":"r3","host":"shop.example","path_prefix":"/lookup/","kind":"safe","timeout_ms":1000,"slo_ms":100,"priority":2,"service":"desk",
  "attempts":3,"public":true}],
 "services":[{"name":"llm","health_path":"/healthz","max_conns":150,"engine":{"slots":12,"kv_tokens":71518,"handle_ttl_s":0.5}},
  {"name":"desk"},{"name":"desk2"}],
 "limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000},
 "tenants":[{"name":"acme","api_keys":["k-acme","k2"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":100.5,"burst":50}]})";

const std::string workerEntry = R"({"service":"desk","addr":"10.0.0.9:8080","zone":"z-a","version":"v1","slots":12,"state":"ready","cold_left_ms":0,)"
                                R"("stage":"decode","models":[{"name":"m"}],"seq":4,"born":1767225600000})";

// Holds two records. The second one removes its key.
const std::string workersPage = test::logPage(9, 3, encodeKeyedRecord("w-1", workerEntry) + encodeKeyedRecord("w-2", ""));
const std::string newestPage = R"({"end":9,"has_more":true,"items":[{"key":"w-1","value":"eyJhIjoxfQ=="},{"key":"w-2","value":""}]})";

// Returns the size of the keys and values of a page, or 0 if the page was refused.
template<class Page>
std::size_t sizeOf(const absl::StatusOr<Page> &page)
{
    std::size_t size = 0;
    if (page.ok()) {
        for (const auto &record : page->records) {
            size += record.key.size() + (record.value ? record.value->size() : 0);
        }
    }
    return size;
}

void runSampleRequests(test::relay_fixture &relay)
{
    for (const auto *target : {"/draft/1", "/book/1", "/lookup/1", "/other"}) {
        relay.submit(target, "k-acme", 500ms, token_count{1000, 100, {}});
        relay.submit(target, "", 500ms, std::nullopt);
    }
    for (int ticks = 0; ticks < 20; ++ticks) {
        relay.clock.advance(100ms);
        relay.core.tick();
        relay.core.take();
    }
}

} // namespace

// Guards against a malformed configuration that the adapter accepts and that breaks the core.
BOOST_AUTO_TEST_CASE(mutatedConfigurationsDoNotBreakTheCore)
{
    int accepted = 0;
    for (std::uint32_t seed = 1; seed <= runsPerCase; ++seed) {
        mutator mutate(seed);
        const auto decoded = decodeConfiguration(mutate(configurationJson));
        if (!decoded.ok()) {
            BOOST_TEST(!decoded.status().message().empty(), "seed " << seed);
            continue;
        }
        ++accepted;
        test::relay_fixture relay;
        relay.announce({test::endpointNamed("desk-1", "desk"), test::endpointNamed("dec-1", "llm", endpoint_role::Decode)});
        relay.configure(*decoded);
        runSampleRequests(relay);
    }
    BOOST_TEST(accepted > runsPerCase / 50); // Mutations that are all refused would not test the core.
}

// Guards against a malformed worker entry that the adapter accepts and that breaks the core.
BOOST_AUTO_TEST_CASE(mutatedWorkerEntriesDoNotBreakTheCore)
{
    int accepted = 0;
    for (std::uint32_t seed = 1; seed <= runsPerCase; ++seed) {
        mutator mutate(seed);
        const auto decoded = decodeEndpoint("w-1", mutate(workerEntry));
        if (!decoded.ok()) {
            continue;
        }
        ++accepted;
        test::relay_fixture relay;
        relay.configure(test::sampleRelayConfig());
        relay.announce({*decoded, test::endpointNamed("desk-2", "desk")});
        runSampleRequests(relay);
    }
    BOOST_TEST(accepted > runsPerCase / 50);
}

// Guards against lengths in a page that reach beyond its end.
BOOST_AUTO_TEST_CASE(mutatedPagesAreNotReadBeyondTheirEnd)
{
    for (std::uint32_t seed = 1; seed <= runsPerCase; ++seed) {
        mutator mutate(seed);
        const auto bytes = mutate(workersPage);
        BOOST_TEST(sizeOf(decodeLogPage(bytes)) <= bytes.size(), "log page, seed " << seed);
        const auto text = mutate(newestPage);
        BOOST_TEST(sizeOf(decodeNewestPage(text)) <= text.size(), "newest page, seed " << seed);
        (void)decodeMember("vm-1", mutate(encodeMember({{"vm-1"}, "10.0.0.1:7000", {"dc-a"}, 120})));
        (void)decodeChanges(mutate(encodeChanges({{7, {"w-1", "{}"}}, {8, {"w-2", std::nullopt}}})));
        (void)decodeAppendedOffset(mutate(R"({"offset":7})"));
        (void)decodeFirstOffset(mutate(R"({"first":7})"));
    }
}

// Guards against a heartbeat of a faulty or unrelated sender that breaks the core.
BOOST_AUTO_TEST_CASE(mutatedFleetMessagesDoNotBreakTheCore)
{
    const fleet_heartbeat heartbeatMessage{.from = {{"vm-2"}, 3},
                                           .sequence = 4,
                                           .address = "127.0.0.1:7001",
                                           .dataCentre = {"dc-a"},
                                           .knowledge = {.configVersion = 1, .position = 2},
                                           .loads = {{{"desk-1"}, {}}},
                                           .usage = {}};
    const fleet_summary summary{.from = {{"vm-2"}, 3},
                                .sequence = 4,
                                .address = "127.0.0.1:7001",
                                .dataCentre = {"dc-a"},
                                .scope = summary_scope::Fleet,
                                .knowledge = {.configVersion = 1, .position = 2, .lastChange = 2},
                                .heardVms = 2,
                                .memberVms = 2,
                                .candidates = {heartbeatMessage.member()},
                                .loads = {{{"desk-1"}, {}}}};
    const auto summaryBytes = encodeSummary(encodeSummaryBody(summary), 1, 1);
    int accepted = 0;
    for (std::uint32_t seed = 1; seed <= runsPerCase; ++seed) {
        mutator mutate(seed);
        const auto decoded = decodeFleetMessage(mutate(seed % 2 == 0 ? encodeHeartbeat(heartbeatMessage) : summaryBytes));
        if (!decoded.ok()) {
            continue;
        }
        ++accepted;
        test::relay_fixture relay;
        relay.configureDesks();
        std::visit([&](const auto &message) { relay.core.handle(message); }, *decoded);
        runSampleRequests(relay);
    }
    BOOST_TEST(accepted > runsPerCase / 50);
}

// Guards against bytes in a caller's headers that end the header of the request to a worker or pass as headers of the router.
BOOST_AUTO_TEST_CASE(mutatedHeadersDoNotForgeRouterHeaders)
{
    static constexpr std::array headerNames{
        "X-Deadline-Ms", "X-Token-Count", "X-Length-Hint", "X-Tenant", "X-Stage", "x-kv-source", "X-Other", "Host", "Connection"};
    for (std::uint32_t seed = 1; seed <= runsPerCase; ++seed) {
        mutator mutate(seed);
        caller_request request;
        request.method = "POST";
        request.path = "/s/1";
        for (const auto *name : headerNames) {
            request.headers.push_back({mutate.randomBelow(8) == 0 ? mutate(name) : name, mutate("1460,80")});
        }
        const auto decoded = decodeRequest(request);
        BOOST_TEST((decoded.timeToDeadline >= 0ms), "seed " << seed);
        BOOST_TEST((!decoded.tokens || (decoded.tokens->prompt >= 0 && decoded.tokens->output >= 0)), "seed " << seed);
        for (const auto &[name, value] : decoded.payload->headers) {
            BOOST_TEST(!boost::beast::iequals(name, "X-Tenant"), "seed " << seed);
            BOOST_TEST(!boost::beast::iequals(name, "X-Stage"), "seed " << seed);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
