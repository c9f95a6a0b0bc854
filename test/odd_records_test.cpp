// Tests that records and messages of other writers with unusual values cost nothing but themselves.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <iostream>
#include <sstream>

#include "address.hpp"
#include "fleet_codec.hpp"
#include "http_dialect.hpp"
#include "plantainpoint/failure.hpp"
#include "relay_fixture.hpp"
#include "store_fixture.hpp"

using namespace plantainpoint;
using namespace plantainpoint::platform;
using namespace plantainpoint::test;
using namespace std::chrono_literals;

namespace {

// Levels of nested containers. The last but one still fits into a datagram.
constexpr std::size_t nestingDepths[] = {17, 1'000, 10'000, 59'000, 100'000};

// Returns CBOR with containers in each other: arrays, objects, or containers without a stated length.
std::string nestedCbor(const std::string &opening, std::size_t depth)
{
    std::string bytes;
    while (depth-- > 0) {
        bytes += opening;
    }
    return bytes + '\x01';
}

const std::string nestedOpenings[] = {"\x81", "\x9f", std::string("\xa1\x61\x61"), std::string("\xbf\x61\x61"), "\x82\x01"};

constexpr std::size_t megabytes = 2'000'000;

std::string nestedJson(const std::string &opening, const std::string &closing, std::size_t depth)
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i) {
        text += opening;
    }
    text += '1';
    for (std::size_t i = 0; i < depth; ++i) {
        text += closing;
    }
    return text;
}

// Returns values that no field of a record has, as JSON text.
std::vector<std::string> oddValues()
{
    std::vector<std::string> values{"null",
                                    "true",
                                    "[]",
                                    "{}",
                                    "\"\"",
                                    "\"\\u0000\"",
                                    "\"a\\r\\nX-Tenant: t\"",
                                    "\"\xff\xfe\"",
                                    "\"\xed\xa0\x80\"",
                                    "\"" + std::string(megabytes, 'n') + "\"",
                                    "[" + std::string(megabytes, '1') + "]",
                                    "-1",
                                    "-0.5",
                                    "1.5",
                                    "1e2",
                                    "1e30",
                                    "-1e300",
                                    "1e400",
                                    "2147483648",
                                    "4294967297",
                                    "9223372036854775807",
                                    "9223372036854775808",
                                    "-9223372036854775808",
                                    "18446744073709551615",
                                    "18446744073709551616",
                                    std::string(1000, '9')};
    std::string array = "[0";
    for (int i = 0; i < 100'000; ++i) {
        array += ",0";
    }
    values.push_back(array + "]");
    for (const auto depth : nestingDepths) {
        values.push_back(nestedJson("[", "]", depth));
        values.push_back(nestedJson("{\"a\":", "}", depth));
        values.push_back(std::string(depth, '['));
    }
    return values;
}

std::string shortened(const std::string &text)
{
    return text.substr(0, 60);
}

// Fields of a worker's entry with a sound value of each.
const std::vector<std::pair<std::string, std::string>> workerFields{{"service", "\"desk\""},
                                                                    {"addr", "\"10.0.0.9:8080\""},
                                                                    {"zone", "\"z-a\""},
                                                                    {"slots", "12"},
                                                                    {"state", "\"ready\""},
                                                                    {"stage", "\"decode\""},
                                                                    {"version", "\"v1\""},
                                                                    {"born", "1767225600000"}};

// Returns an entry with another value of one field, which it may hold a second time, or with a further field.
std::string entryWith(const std::string &field, const std::string &value, bool twice = false)
{
    std::string text = "{";
    for (const auto &[name, sound] : workerFields) {
        text += "\"" + name + "\":" + (name == field && !twice ? value : sound) + ",";
    }
    const bool further = std::none_of(workerFields.begin(), workerFields.end(), [&](const auto &each) { return each.first == field; });
    return text + (twice || further ? "\"" + field + "\":" + value + "," : "") + "\"seq\":4}";
}

// Returns whether the value is odd for the other fields only.
bool isStartTime(const std::string &field, const std::string &value)
{
    return field == "born" && (value == "2147483648" || value == "4294967297");
}

const std::string oddAddresses[] = {"10.0.0.9:0",   "10.0.0.9:65536", "10.0.0.9:-1",     "10.0.0.9:",
                                    "10.0.0.9:+80", "10.0.0.9:8080x", "10.0.0.9: 80",    "10.0.0.9:99999999999999999999",
                                    "10.0.0.9",     ":8080",          "10.0.0.9.1:8080", "10.0.0:8080",
                                    "[::1:8080",    "[]:8080",        "worker:8080",     "10.0.0.9:0x50",
                                    "10.0.0.9:8e1", "10.0.0.9:80.0",  "-1:-1",           ""};

} // namespace

BOOST_AUTO_TEST_SUITE(odd_records)

// Guards against an entry with a value out of range that is taken for a worker: its number of slots overflows in sums, its start time outdates all later
// entries under its key, and its text ends the header of a request.
BOOST_AUTO_TEST_CASE(entriesWithOddFieldsNameNoWorker)
{
    BOOST_REQUIRE(decodeEndpoint("w-1", entryWith("", "1")).ok());
    for (const auto &[field, sound] : workerFields) {
        for (const auto &value : oddValues()) {
            for (const bool twice : {false, true}) {
                BOOST_TEST(decodeEndpoint("w-1", entryWith(field, value, twice)).ok() == isStartTime(field, value), field << " " << shortened(value));
            }
        }
    }
    for (const auto &address : oddAddresses) {
        BOOST_TEST(!decodeEndpoint("w-1", entryWith("addr", "\"" + address + "\"")).ok(), "address " << address);
    }
    for (const auto &key :
         {std::string(), std::string("w 1"), std::string("w\r\nX-Tenant: t"), std::string("w\0", 2), std::string("w\xff"), std::string(256, 'w')}) {
        BOOST_TEST(!decodeEndpoint(key, entryWith("", "1")).ok(), "key " << key);
    }
}

// Guards against a sound worker that is not used because of a field that the router does not read, however odd it is.
BOOST_AUTO_TEST_CASE(oddFieldsThatAreNotReadChangeNothing)
{
    for (const auto &value : oddValues()) {
        if (!nlohmann::json::accept(value)) {
            continue;
        }
        for (const auto *const field : {"models", "cold_left_ms", "other"}) {
            BOOST_TEST(decodeEndpoint("w-1", entryWith(field, value)).ok(), field << " " << shortened(value));
        }
    }
}

// Guards against an entry that outdates all later ones of its worker after a restore of the store.
BOOST_AUTO_TEST_CASE(oddStartTimesAreNotRemembered)
{
    for (const auto &value : oddValues()) {
        BOOST_TEST(decodeWorkerRun(entryWith("born", value)).has_value() == isStartTime("born", value), shortened(value));
    }
}

// Guards against a worker of another writer that overflows the number of slots of its service, by which the expected wait is divided.
BOOST_AUTO_TEST_CASE(hugeNumbersOfSlotsDoNotOverflow)
{
    for (const std::string slots : {"100000", "715827883", "1073741824", "2147483647"}) {
        relay_fixture relay;
        relay.configure(sampleRelayConfig());
        std::vector<relay_endpoint> endpoints;
        for (int i = 0; i < 4; ++i) {
            if (auto endpoint = decodeEndpoint("w-" + std::to_string(i), entryWith("slots", slots)); endpoint.ok()) {
                endpoint->role = endpoint_role::Plain;
                endpoints.push_back(*endpoint);
            }
        }
        const bool accepted = !endpoints.empty();
        relay.announce(endpoints);
        relay.sendRequest("/lookup/1");
        BOOST_TEST(relay.dispatches.size() == (accepted ? 1U : 0U), slots << " slots");
    }
}

// Guards against a message of nested arrays that uses up the stack, so that one datagram ends each VM that receives it.
BOOST_AUTO_TEST_CASE(deeplyNestedMessagesAreRefused)
{
    for (const auto depth : nestingDepths) {
        for (const auto &opening : nestedOpenings) {
            const auto nested = nestedCbor(opening, depth);
            for (const std::string kind : {"H", "A", "G", "S0123456789abcdef"}) {
                BOOST_TEST(!decodeFleetMessage(kind + nested).ok(), kind << " with " << depth << " levels");
                // The nested value takes the place of a field of an otherwise sound message.
                BOOST_TEST(!decodeFleetMessage(kind + "\x8f\x08" + nested).ok(), kind << " with a field of " << depth << " levels");
            }
            BOOST_TEST(!decodeChanges(nested).ok(), depth << " levels");
            BOOST_TEST(!decodeChanges("\x81\x83\x01" + nested).ok(), "a change of " << depth << " levels");
        }
    }
}

// Guards against a record of another writer that costs more than itself: the entries before and after it, or all later ones.
BOOST_FIXTURE_TEST_CASE(oddEntriesCostOnlyThemselves, store_fixture)
{
    std::vector<std::string> records;
    const auto append = [&](const std::string &key, const std::string &value) { records.push_back(encodeKeyedRecord(key, value)); };
    for (const auto &value : oddValues()) {
        append("odd", entryWith("slots", value));
    }
    for (const auto &address : oddAddresses) {
        append("odd", entryWith("addr", "\"" + address + "\""));
    }
    append("", entryWith("", "1"));
    append("odd", "\xff\xfe");
    records.push_back(std::string("\0\0\0\0", 4));
    records.push_back(std::string("\0\0\0\2\xffw", 6));
    startReading();
    serveRequest(newestWorkersTarget, newestPage(1, "w-1", workerEntry("10.0.0.1:1")));
    constexpr std::size_t recordsPerPage = 12;
    std::uint64_t next = 1;
    for (std::size_t first = 0; first < records.size(); first += recordsPerPage) {
        // Each odd record comes between two entries of sound workers.
        std::string page;
        std::string address;
        const auto from = next;
        for (std::size_t i = first; i < std::min(records.size(), first + recordsPerPage); ++i) {
            address = "10.0.0.2:" + std::to_string(next);
            page += encodeKeyedRecord("w-1", workerEntry(address)) + records[i] + encodeKeyedRecord("w-2", workerEntry(address));
            next += 3;
        }
        serveRequest(std::string(readWorkersTarget) + "&part=0&from=" + std::to_string(from) + " ", logPage(next, 0, page));
        BOOST_REQUIRE(requestFor(std::string(readWorkersTarget) + "&part=0&from=" + std::to_string(next) + " ") != nullptr);
        BOOST_TEST(addresses["w-1"] == address);
        BOOST_TEST(addresses["w-2"] == address);
        BOOST_TEST(addresses.size() == 2);
    }
}

// Guards against an odd record under the key of a known worker that removes the worker or hides its next entry.
BOOST_FIXTURE_TEST_CASE(oddEntriesUnderTheKeyOfAWorkerDoNotChangeIt, store_fixture)
{
    startReading();
    serveRequest(newestWorkersTarget, newestPage(1, "w-1", workerEntry("10.0.0.1:1")));
    std::uint64_t next = 1;
    for (const std::string &odd : {entryWith("born", "9223372036854775807"), entryWith("addr", "\"10.0.0.9:65536\""), std::string(100'000, '[')}) {
        serveRequest(std::string(readWorkersTarget) + "&part=0&from=" + std::to_string(next) + " ", logPage(next + 1, 0, encodeKeyedRecord("w-1", odd)));
        ++next;
        BOOST_REQUIRE(requestFor(std::string(readWorkersTarget) + "&part=0&from=" + std::to_string(next) + " ") != nullptr);
        BOOST_TEST(addresses["w-1"] == "10.0.0.1:1");
    }
    serveRequest(std::string(readWorkersTarget) + "&part=0&from=" + std::to_string(next) + " ",
                 logPage(next + 1, 0, encodeKeyedRecord("w-1", workerEntry("10.0.0.1:2"))));
    BOOST_REQUIRE(runUntil(io, [&] { return addresses["w-1"] == "10.0.0.1:2"; }));
    // The position that other VMs learn is past the odd records.
    BOOST_TEST(runUntil(io, [&] { return lastState.position == next + 1; }));
}

// Guards against odd records that nobody learns of, or that fill the log, and against state that passes them on to other VMs.
BOOST_FIXTURE_TEST_CASE(oddEntriesAreLoggedOnceAndNotPassedOn, store_fixture)
{
    const line_logger warnings(severity::Warning, log_format::Text);
    store_reader other{io, http, options, [this](relay_input message) { receive(std::move(message)); }, warnings};
    std::ostringstream output;
    auto *const console = std::cout.rdbuf(output.rdbuf());
    const auto odd = entryWith("slots", "99999999999");
    other.importState(encodeState({{"odd", odd}, {"w-1", workerEntry("10.0.0.1:1")}}, 2));
    for (std::uint64_t position = 2; position < 6; ++position) {
        const std::deque<worker_change> changes{{position, {"odd", odd}}, {position, {std::string("x\n\xff", 3), odd}}};
        other.run(import_directory_changes{std::make_shared<const std::string>(encodeChanges(changes)), position + 1});
    }
    other.importState(encodeState({{"odd", odd}, {"w-1", workerEntry("10.0.0.1:1")}}, 9));
    std::cout.rdbuf(console);
    const auto text = output.str();
    const auto count = [&](const std::string &part) {
        int found = 0;
        for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
            ++found;
        }
        return found;
    };
    BOOST_TEST(count("key=odd ") == 1, text);
    BOOST_TEST(count("slots: expected an integer from 0 to 100000") == 1, text);
    BOOST_TEST(count("key=x?? ") == 1, text);
    const auto exported = nlohmann::json::from_cbor(other.exportState("config_version=0&workers_from=0"));
    BOOST_TEST(exported.at("workers").contains("w-1"));
    BOOST_TEST(!exported.at("workers").contains("odd"));
    BOOST_TEST(addresses.size() == 1);
}

// Guards against a key that breaks the request for the page behind it, so that the workers are never read.
BOOST_FIXTURE_TEST_CASE(oddKeysDoNotBreakTheReadOfPages, store_fixture)
{
    startReading();
    const auto page = [](const std::string &key, bool more) {
        return nlohmann::json{{"end", 3}, {"has_more", more}, {"items", {{{"key", key}, {"value", absl::Base64Escape(workerEntry("10.0.0.1:1"))}}}}}.dump();
    };
    serveRequest(newestWorkersTarget, page("a b&part=1#%+\r\n", true));
    serveRequest(std::string(newestWorkersTarget) + "&part=0&after=a%20b%26part%3D1%23%25%2B%0D%0A ", page("", true));
    serveRequest(std::string(newestWorkersTarget) + "&part=0&after= ", page("w-1", false));
    BOOST_REQUIRE(requestFor(std::string(readWorkersTarget) + "&part=0&from=3") != nullptr);
    BOOST_TEST(addresses.size() == 1);
    BOOST_TEST(addresses["w-1"] == "10.0.0.1:1");
}

// Guards against a read that never ends because the store repeats a page after an odd key.
BOOST_FIXTURE_TEST_CASE(pagesThatRepeatEndTheRead, store_fixture)
{
    startReading();
    const auto page =
        nlohmann::json{{"end", 3}, {"has_more", true}, {"items", {{{"key", "w-1"}, {"value", absl::Base64Escape(workerEntry("10.0.0.1:1"))}}}}}.dump();
    serveRequest(newestWorkersTarget, page);
    serveRequest(std::string(newestWorkersTarget) + "&part=0&after=w-1 ", page);
    BOOST_REQUIRE(requestFor(std::string(readWorkersTarget) + "&part=0&from=3") != nullptr);
    BOOST_TEST(addresses["w-1"] == "10.0.0.1:1");
}

// Guards against a key that is not UTF-8 and makes the whole page unreadable.
BOOST_FIXTURE_TEST_CASE(keysThatAreNotTextDoNotHideOthers, store_fixture)
{
    startReading();
    const auto value = absl::Base64Escape(workerEntry("10.0.0.1:1"));
    serveRequest(newestWorkersTarget,
                 R"({"end":3,"items":[{"key":"odd)"
                 "\xff\xfe"
                 R"(","value":")"
                     + value + R"("},{"key":"w-1","value":")" + value + R"("}]})");
    BOOST_REQUIRE(requestFor(std::string(readWorkersTarget) + "&part=0&from=3") != nullptr);
    BOOST_TEST(addresses.size() == 1);
    BOOST_TEST(addresses["w-1"] == "10.0.0.1:1");
}

// Guards against the digest of the evidence of crashes that makes messages unreadable: it is left out if it is 0, as in messages of an earlier version.
BOOST_AUTO_TEST_CASE(theDigestOfEvidenceIsOptional)
{
    for (const std::uint32_t digest : {0U, 1U, 0xffffffffU}) {
        const fleet_heartbeat sent{.from = {{"vm-1"}, 1}, .address = "127.0.0.1:1", .evidence = {.digest = digest}};
        const auto heartbeat = decodeFleetMessage(encodeHeartbeat(sent));
        BOOST_REQUIRE(heartbeat.ok());
        BOOST_TEST(std::get<fleet_heartbeat>(*heartbeat).evidence.digest == digest);
        const fleet_summary summary{.from = {{"vm-1"}, 1}, .address = "127.0.0.1:1", .evidence = {.digest = digest}};
        const auto decoded = decodeFleetMessage(encodeSummary(encodeSummaryBody(summary), 1, 1));
        BOOST_REQUIRE(decoded.ok());
        BOOST_TEST(std::get<fleet_summary>(*decoded).evidence.digest == digest);
    }
}

// Guards against a large entry in the changes that each summary carries: a hub cannot send a summary that is longer than a datagram, and its VMs hear
// nothing more of it.
BOOST_FIXTURE_TEST_CASE(largeEntriesDoNotOutgrowADatagram, store_fixture)
{
    startReading();
    serveConfiguration();
    serveRequest(newestWorkersTarget, newestPage(1, "w-1", workerEntry("10.0.0.1:1")));
    std::string records;
    std::uint64_t next = 1;
    const auto append = [&](const std::string &key, const std::string &address, std::size_t size) {
        records += encodeKeyedRecord(key, workerEntry(address).insert(1, R"("other":")" + std::string(size, 'x') + R"(",)"));
        ++next;
    };
    for (int i = 0; i < 10; ++i) {
        append("w-2", "10.0.0.2:" + std::to_string(i + 1), 30'000);
    }
    append("w-3", "10.0.0.3:1", 10);
    serveRequest(std::string(readWorkersTarget) + "&part=0&from=1", logPage(next, 0, records));
    BOOST_REQUIRE(runUntil(io, [&] { return lastState.lastChange == next; }));
    BOOST_REQUIRE(lastState.changes != nullptr);
    fleet_summary summary{.from = {{"vm-1"}, 1}, .address = "127.0.0.1:1"};
    summary.changes = lastState.changes;
    BOOST_TEST(encodeSummary(encodeSummaryBody(summary), 1, 1).size() < 30'000);
    // Changes since the stated position are complete, and those before it can be fetched.
    const auto changes = decodeChanges(*lastState.changes);
    BOOST_REQUIRE(changes.ok());
    BOOST_REQUIRE_EQUAL(changes->size(), next - lastState.changesFrom);
    BOOST_TEST(changes->back().record.key == "w-3");
    store_reader other{io, http, options, [this](relay_input message) { receive(std::move(message)); }, logger};
    other.importState(encodeState({{"w-1", workerEntry("10.0.0.1:1")}}, 1));
    addresses.clear();
    other.importState(reader.exportState(other.missingState()));
    BOOST_TEST(addresses["w-2"] == "10.0.0.2:10");
    BOOST_TEST(addresses["w-3"] == "10.0.0.3:1");
}

// Guards against a number of the configuration that overflows: a timeout beyond all bounds refused every request, or none.
BOOST_AUTO_TEST_CASE(oddNumbersOfAConfigurationAreLimited)
{
    const auto configWith = [](const std::string &field, const std::string &value) {
        const auto valueOf = [&](const std::string &name, const std::string &sound) { return "\"" + name + "\":" + (name == field ? value : sound); };
        return R"({"version":7,"routes":[{"host":"shop.example","path_prefix":"/lookup/","kind":"safe",)" + valueOf("timeout_ms", "1000") + ","
               + valueOf("slo_ms", "100") + "," + valueOf("gap_slo_ms", "100") + "," + valueOf("priority", "1") + "," + valueOf("attempts", "2")
               + R"(,"split":[{"service":"desk",)" + valueOf("weight", "1") + R"(}]}],"services":[{"name":"desk"},{"name":"llm","engine":{)"
               + valueOf("slots", "12") + "," + valueOf("kv_tokens", "70000") + "," + valueOf("handle_ttl_s", "0.5") + R"(}}],"limits":{)"
               + valueOf("header_bytes", "16384") + "," + valueOf("body_bytes", "4194304") + "," + valueOf("idle_ms", "15000")
               + R"(},"tenants":[{"name":"acme","api_keys":["k-acme"],"unit":"tokens",)" + valueOf("plain_tokens", "1") + "," + valueOf("rate_per_s", "9") + ","
               + valueOf("burst", "9") + "}]}";
    };
    BOOST_REQUIRE(decodeConfiguration(configWith("", "1")).ok());
    for (const auto *const field : {"timeout_ms",
                                    "slo_ms",
                                    "gap_slo_ms",
                                    "priority",
                                    "attempts",
                                    "weight",
                                    "slots",
                                    "kv_tokens",
                                    "handle_ttl_s",
                                    "header_bytes",
                                    "body_bytes",
                                    "idle_ms",
                                    "plain_tokens",
                                    "rate_per_s",
                                    "burst"}) {
        for (const auto &value : oddValues()) {
            const auto config = decodeConfiguration(configWith(field, value));
            if (!config.ok()) {
                BOOST_TEST((failureOf(config.status()) == failure::InvalidConfiguration));
                continue;
            }
            const auto &route = config->routes.at(0);
            const auto &account = config->accounts.at(0);
            BOOST_TEST((route.timeout >= 0ms && route.timeout <= 24h && route.objective >= 0ms && route.objective <= 24h), field << " " << shortened(value));
            BOOST_TEST((route.gapObjective >= 0ms && route.gapObjective <= 24h && config->bounds.idleTime >= 0ms && config->bounds.idleTime <= 24h));
            BOOST_TEST((config->services.at(1).engine->handleLifetime >= 0ms && config->services.at(1).engine->handleLifetime <= 24h));
            BOOST_TEST((config->services.at(1).engine->slots >= 0 && config->services.at(1).engine->kvTokens >= 0), field << " " << shortened(value));
            BOOST_TEST((route.attempts >= 1 && route.attempts <= 1000 && route.services.at(0).weight >= 0), field << " " << shortened(value));
            BOOST_TEST((config->bounds.headerSize <= 1'000'000'000 && config->bounds.bodySize <= 1'000'000'000), field << " " << shortened(value));
            BOOST_TEST((account.rate >= 0 && account.rate <= 1e15 && account.burst >= 0 && account.plainCost >= 0 && account.plainCost <= 1e15));
            relay_fixture relay;
            relay.configure(*config);
            relay.announce({endpointNamed("desk-1", "desk")});
            relay.sendRequest("/lookup/1");
            relay.advance(100ms);
        }
    }
    for (const std::string version : {"-1", "1.5", "1e3", "18446744073709551616", "true"}) {
        BOOST_TEST(!decodeConfiguration(R"({"version":)" + version + R"(,"routes":[],"services":[]})").ok(), version);
    }
    for (const auto &name : {std::string("a\\r\\nX-Stage: prefill"), std::string(megabytes, 'n')}) {
        const auto config = decodeConfiguration(R"({"version":1,"routes":[],"services":[],"tenants":[{"api_keys":[],"name":")" + name + R"("}]})");
        BOOST_TEST(!config.ok(), shortened(name));
    }
}

BOOST_AUTO_TEST_SUITE_END()
