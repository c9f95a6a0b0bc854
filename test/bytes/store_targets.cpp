// Targets for what the platform's store holds: pages of records, entries of workers and VMs, and the configuration.
#include "address.hpp"
#include "platform_bytes.hpp"
#include "relay_fixture.hpp"
#include "store_codec.hpp"
#include "targets.hpp"

namespace plantainpoint::bytes {

using namespace platform;

namespace {

bool sameRecords(const std::vector<keyed_record> &a, const std::vector<keyed_record> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto &x, const auto &y) { return x.key == y.key && x.value == y.value; });
}

std::string checkLogPage(std::string_view bytes)
{
    const auto page = decodeLogPage(bytes);
    if (!page.ok()) {
        return page.status().message().empty() ? "a page was refused without a reason" : "";
    }
    std::string records;
    std::size_t size = 0;
    for (const auto &record : page->records) {
        records += encodeKeyedRecord(record.key, record.value.value_or(""));
        size += record.key.size() + record.value.value_or("").size();
    }
    const auto again = decodeLogPage(test::logPage(page->end, page->first, records));
    const bool same = again.ok() && again->end == page->end && again->first == page->first && sameRecords(again->records, page->records);
    return same && size <= bytes.size() ? "" : "an encoded page decodes to another one";
}

std::vector<std::string> logPageSeeds()
{
    return {test::logPage(9, 3, encodeKeyedRecord("w-1", "value") + encodeKeyedRecord("w-2", "")), test::logPage(0, 0, "")};
}

std::string checkNewestPage(std::string_view bytes)
{
    const auto page = decodeNewestPage(bytes);
    if (!page.ok()) {
        return page.status().message().empty() ? "a page was refused without a reason" : "";
    }
    std::size_t size = 0;
    for (const auto &record : page->records) {
        size += record.key.size() + record.value.value_or("").size();
    }
    return size <= bytes.size() ? "" : "a page holds more than its bytes";
}

std::vector<std::string> newestPageSeeds()
{
    return {R"({"end":9,"has_more":true,"items":[{"key":"w-1","value":"eyJhIjoxfQ==","offset":3},{"key":"w-2","value":""}]})"};
}

std::string checkStoreAnswer(std::string_view bytes)
{
    const auto offset = decodeAppendedOffset(bytes);
    if (offset && decodeAppendedOffset(R"({"offset":)" + std::to_string(*offset) + "}") != offset) {
        return "an offset decodes to another one";
    }
    const auto first = decodeFirstOffset(bytes);
    if (first && decodeFirstOffset(R"({"first":)" + std::to_string(*first) + "}") != first) {
        return "an offset decodes to another one";
    }
    const auto changes = decodeChanges(bytes);
    if (!changes.ok()) {
        return changes.status().message().empty() ? "changes were refused without a reason" : "";
    }
    const auto again = decodeChanges(encodeChanges({changes->begin(), changes->end()}));
    const auto same = [](const auto &x, const auto &y) { return x.position == y.position && x.record.key == y.record.key && x.record.value == y.record.value; };
    return again.ok() && std::equal(again->begin(), again->end(), changes->begin(), changes->end(), same) ? "" : "encoded changes decode to others";
}

std::vector<std::string> storeAnswerSeeds()
{
    return {R"({"offset":7,"end":8})", R"({"first":7})", encodeChanges({{7, {"w-1", "{}"}}, {8, {"w-2", std::nullopt}}})};
}

void runRequests(test::relay_fixture &relay)
{
    for (const auto *target : {"/draft/1", "/book/1", "/lookup/1", "/other"}) {
        relay.submit(target, "k-acme", std::chrono::milliseconds{500}, token_count{1000, 100, {}});
        relay.submit(target, "", std::chrono::milliseconds{500}, std::nullopt);
    }
    relay.advance(std::chrono::milliseconds{100});
    relay.advance(std::chrono::seconds{2});
}

// An accepted entry must be usable, and must not break a core that serves requests.
std::string checkStoreEntry(std::string_view bytes)
{
    (void)decodeWorkerRun(bytes);
    if (const auto member = decodeMember("vm-2", bytes)) {
        const auto again = decodeMember("vm-2", encodeMember(*member));
        if (!again || again->address != member->address || again->dataCentre != member->dataCentre || again->capacity != member->capacity) {
            return "an encoded member decodes to another one";
        }
    }
    const auto endpoint = decodeEndpoint("w-1", bytes);
    if (!endpoint.ok()) {
        return {};
    }
    if (endpoint->slots < 1 || endpoint->name.value != "w-1" || !parseAddress(endpoint->address)) {
        return "an accepted worker cannot be used";
    }
    test::relay_fixture relay;
    relay.configure(test::sampleRelayConfig());
    relay.announce({*endpoint, test::endpointNamed("desk-2", "desk")});
    runRequests(relay);
    return {};
}

std::vector<std::string> storeEntrySeeds()
{
    return {R"({"service":"desk","addr":"10.0.0.9:8080","zone":"z-a","version":"v1","slots":12,"state":"ready","cold_left_ms":0,"stage":"decode",)"
            R"("models":[{"name":"m"}],"seq":4,"born":1767225600000})",
            encodeMember({{"vm-1"}, "10.0.0.1:7000", {"dc-a"}, 120})};
}

// An accepted configuration must be in range, and must not break a core that serves requests.
std::string checkConfiguration(std::string_view bytes)
{
    const auto config = decodeConfiguration(bytes);
    if (!config.ok()) {
        return config.status().message().empty() ? "a configuration was refused without a reason" : "";
    }
    for (const auto &route : config->routes) {
        if (route.timeout < duration{} || route.objective < duration{} || route.gapObjective < duration{} || route.attempts < 1) {
            return "a route of an accepted configuration is out of range";
        }
    }
    if (config->bounds.headerSize == 0 || config->bounds.idleTime.count() <= 0) {
        return "a bound of an accepted configuration is out of range";
    }
    test::relay_fixture relay;
    relay.announce({test::endpointNamed("desk-1", "desk"), test::endpointNamed("dec-1", "llm", endpoint_role::Decode)});
    relay.configure(*config);
    runRequests(relay);
    return {};
}

std::vector<std::string> configurationSeeds()
{
    return {R"({"version":7,"routes":[
 {"name":"r1","host":"shop.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":14000,"slo_ms":900,"priority":1,"service":"llm",
  "attempts":2,"public":false,"sticky":true,"resumable":true,"gap_slo_ms":300},
 {"name":"r2","host":"shop.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":1000,"slo_ms":100,"priority":2,
  "split":[{"service":"desk","weight":90},{"service":"desk2","weight":10}],"attempts":1,"public":true}],
 "services":[{"name":"llm","max_conns":150,"engine":{"slots":12,"kv_tokens":71518,"handle_ttl_s":0.5}},{"name":"desk"}],
 "limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000},
 "tenants":[{"name":"acme","api_keys":["k-acme"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":100.5,"burst":50}]})"};
}

} // namespace

std::vector<target> storeTargets()
{
    return {{"log_page", checkLogPage, logPageSeeds, 50'000},
            {"newest_page", checkNewestPage, newestPageSeeds, 30'000},
            {"store_answer", checkStoreAnswer, storeAnswerSeeds, 30'000},
            {"store_entry", checkStoreEntry, storeEntrySeeds, 5'000},
            {"configuration", checkConfiguration, configurationSeeds, 5'000}};
}

} // namespace plantainpoint::bytes
