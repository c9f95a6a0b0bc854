// Tests the adapter with bytes of the users' platform that the tests write themselves.
#include <boost/test/unit_test.hpp>

#include "http_dialect.hpp"
#include "plantainpoint/failure.hpp"
#include "store_codec.hpp"

using namespace plantainpoint;
using namespace plantainpoint::platform;

namespace {

const std::string configurationJson = R"({"version":7,"routes":[
 {"name":"r1","host":"a.example","path_prefix":"/s/","kind":"streaming","timeout_ms":14000,"slo_ms":900,"priority":1,"service":"llm","attempts":2,
  "public":false,"sticky":true,"resumable":true,"gap_slo_ms":300},
 {"name":"r2","host":"a.example","path_prefix":"/u/","kind":"unsafe","timeout_ms":1000,"slo_ms":100,"priority":2,
  "split":[{"service":"desk","weight":90},{"service":"desk2","weight":10}],"attempts":1,"public":true}],
 "services":[{"name":"llm","health_path":"/healthz","max_conns":150,"engine":{"slots":12,"kv_tokens":71518,"handle_ttl_s":0.5}},{"name":"desk"}],
 "limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":100.5,"burst":50}]})";

std::string workerEntry(const std::string &replaced = "", const std::string &replacement = "")
{
    std::string text = R"({"service":"llm","addr":"10.0.0.9:8080","zone":"z-a","version":"v1","slots":12,"state":"ready","cold_left_ms":0,)"
                       R"("stage":"decode","models":[{"name":"m"}],"seq":4,"born":1767225600000})";
    const auto position = text.find(replaced);
    return replaced.empty() ? text : text.replace(position, replaced.size(), replacement);
}

caller_request callerRequest()
{
    caller_request request;
    request.method = "POST";
    request.path = "/s/1?a=%20b";
    request.headers = {{"Host", "a.example"},
                       {"X-Request-Id", "id-1"},
                       {"X-Deadline-Ms", "1500"},
                       {"X-Token-Count", "1460,80"},
                       {"X-Length-Hint", "40"},
                       {"X-Tenant", "forged"},
                       {"x-kv-source", "10.0.0.1:1/x"},
                       {"X-Stage", "prefill"},
                       {"X-Kv-Hold", "h"},
                       {"X-Request-Priority", "0"},
                       {"X-Expect-Instance", "i-other"},
                       {"X-Other", "kept"}};
    request.body = "body";
    return request;
}

relay_dispatch dispatchOf(const relay_request &request)
{
    return {.kind = dispatch_kind::Decode,
            .endpoint = {"i-1"},
            .address = "10.0.0.9:8080",
            .payload = request.payload,
            .account = {"t1"},
            .priority = 3,
            .timeLeft = std::chrono::milliseconds{1200}};
}

http_fields fieldsOf(std::initializer_list<std::pair<std::string, std::string>> values)
{
    http_fields fields;
    for (const auto &[name, value] : values) {
        fields.insert(name, value);
    }
    return fields;
}

std::string valueOf(const http_request &request, const std::string &name)
{
    const auto value = request[name];
    return {value.data(), value.size()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_store)

// Guards against configuration fields that are read wrongly, for example route kinds or limits.
BOOST_AUTO_TEST_CASE(configurationIsDecoded)
{
    const auto config = decodeConfiguration(configurationJson);
    BOOST_REQUIRE(config.ok());
    BOOST_TEST(config->version == 7);
    BOOST_REQUIRE_EQUAL(config->routes.size(), 2);
    BOOST_TEST((config->routes[0].policy == repeat_policy::Stream));
    BOOST_TEST(config->routes[0].resumable);
    BOOST_TEST(config->routes[0].attempts == 2);
    BOOST_TEST((config->routes[1].policy == repeat_policy::Once));
    BOOST_TEST(config->routes[1].open);
    BOOST_TEST(config->routes[1].services.size() == 2);
    BOOST_REQUIRE(config->services[0].engine.has_value());
    BOOST_TEST(config->services[0].engine->kvTokens == 71518);
    BOOST_TEST(!config->services[1].engine.has_value());
    BOOST_TEST((config->accounts[0].unit == limit_unit::Tokens));
    BOOST_TEST(config->accounts[0].rate == 100.5);
    BOOST_TEST((config->accounts[0].keys[1] == digestOf("k2")));
    BOOST_TEST((config->bounds.idleTime == std::chrono::milliseconds{15000}));
}

// Guards against an unreadable configuration that ends the process or replaces the last valid one.
BOOST_AUTO_TEST_CASE(unreadableConfigurationIsRefusedWithATypedError)
{
    for (const std::string text : {"", "[]", "{}", R"({"version":"x","routes":[]})", R"({"version":1,"routes":[{"host":3}],"services":[]})", "\xff\xfe"}) {
        const auto config = decodeConfiguration(text);
        BOOST_TEST(!config.ok());
        BOOST_TEST((failureOf(config.status()) == failure::InvalidConfiguration));
    }
}

// Guards against a worker whose role or state is read wrongly, so that it gets work that it cannot do.
BOOST_AUTO_TEST_CASE(workerEntriesAreDecoded)
{
    const auto endpoint = decodeEndpoint("i-1", workerEntry());
    BOOST_REQUIRE(endpoint.ok());
    BOOST_TEST((endpoint->role == endpoint_role::Decode));
    BOOST_TEST(endpoint->startedAt == 1767225600000);
    BOOST_TEST(endpoint->slots == 12);
    BOOST_TEST((decodeEndpoint("i-1", workerEntry("\"ready\"", "\"draining\""))->condition == endpoint_condition::Leaving));
    BOOST_TEST((decodeEndpoint("i-1", workerEntry("\"stage\":\"decode\",", ""))->role == endpoint_role::Plain));
}

// Guards against entries of other writers, with missing or invalid fields, that are accepted as workers.
BOOST_AUTO_TEST_CASE(invalidWorkerEntriesAreRefused)
{
    BOOST_TEST(!decodeEndpoint("i-1", workerEntry("\"ready\"", "\"up\"")).ok());
    BOOST_TEST(!decodeEndpoint("i-1", workerEntry("\"addr\":\"10.0.0.9:8080\",", "")).ok());
    BOOST_TEST(!decodeEndpoint("i-1", workerEntry("10.0.0.9:8080", "worker-9")).ok());
    BOOST_TEST(!decodeEndpoint("i-1", workerEntry("\"slots\":12", "\"slots\":\"12\"")).ok());
    BOOST_TEST(!decodeEndpoint("i-1", workerEntry("1767225600000", "\"soon\"")).ok());
    BOOST_TEST(!decodeEndpoint("i-1", workerEntry("1767225600000", "1.5")).ok());
    BOOST_TEST(!decodeEndpoint("i-1", "\x01\x02").ok());
    BOOST_TEST(!decodeEndpoint("i-1", "7").ok());
}

// Guards against cold workers that are taken for warm ones because a field is read wrongly, or refuses the whole entry or configuration.
BOOST_AUTO_TEST_CASE(coldTermsAndTimesAreDecoded)
{
    const auto serviceOf = [](const std::string &fields) {
        const auto config = decodeConfiguration(R"({"version":1,"routes":[],"services":[{"name":"desk")" + fields + "}]}");
        return config.ok() ? std::optional(config->services.front()) : std::nullopt;
    };
    const auto cold = serviceOf(R"(,"cold_start_s":2.5,"cold_per_s":34)");
    BOOST_REQUIRE(cold.has_value());
    BOOST_TEST((cold->coldTime == std::chrono::milliseconds{2500}));
    BOOST_TEST(cold->coldRate == 34);
    for (const auto *fields : {"", R"(,"cold_start_s":null,"cold_per_s":null)", R"(,"cold_per_s":0)", R"(,"cold_per_s":-3)"}) {
        const auto warm = serviceOf(fields);
        BOOST_REQUIRE(warm.has_value());
        BOOST_TEST(warm->coldRate == 0, fields);
    }
    BOOST_TEST(!serviceOf(R"(,"cold_per_s":"many")").has_value());

    const auto leftOf = [](const std::string &value) {
        return decodeEndpoint("i-1", workerEntry(R"("cold_left_ms":0)", R"("cold_left_ms":)" + value))->coldLeft;
    };
    BOOST_TEST((leftOf("0") == std::chrono::milliseconds{0}));
    BOOST_TEST((leftOf("2999.5") == std::chrono::milliseconds{3000}));
    BOOST_TEST((leftOf("1e300") == std::chrono::minutes{10}));
    for (const auto *value : {"-1", "\"3000\"", "null", "[3]", "{}"}) {
        BOOST_TEST(!leftOf(value).has_value(), value);
        BOOST_TEST(hasUnreadableColdTime(workerEntry(R"("cold_left_ms":0)", R"("cold_left_ms":)" + std::string(value))), value);
    }
    BOOST_TEST(!decodeEndpoint("i-1", workerEntry(R"("cold_left_ms":0,)", ""))->coldLeft.has_value());
    BOOST_TEST(!hasUnreadableColdTime(workerEntry(R"("cold_left_ms":0,)", "")));
    BOOST_TEST(!hasUnreadableColdTime(workerEntry()));
}

// Guards against a request that leaves its homes because a list is read wrongly.
BOOST_AUTO_TEST_CASE(homeRegionsAreDecoded)
{
    const auto configWith = [](const std::string &homes) {
        return decodeConfiguration(R"({"version":1,"routes":[{"host":"a.example","path_prefix":"/","kind":"safe","service":"desk")" + homes
                                   + R"(}],"services":[],"tenants":[{"name":"t1","api_keys":[])" + homes + "}]}");
    };
    const auto config = configWith(R"(,"home_regions":["north","south"])");
    BOOST_REQUIRE(config.ok());
    const std::vector<region_name> expected{{"north"}, {"south"}};
    BOOST_TEST((config->routes[0].homes == expected));
    BOOST_TEST((config->accounts[0].homes == expected));
    for (const auto *homes : {"", R"(,"home_regions":[])", R"(,"home_regions":null)"}) {
        const auto without = configWith(homes);
        BOOST_REQUIRE(without.ok());
        BOOST_TEST(without->routes[0].homes.empty());
        BOOST_TEST(without->accounts[0].homes.empty());
    }
    for (const auto *homes : {R"(,"home_regions":"north")", R"(,"home_regions":[3])", R"(,"home_regions":[""])", R"(,"home_regions":{})"}) {
        BOOST_TEST((failureOf(configWith(homes).status()) == failure::InvalidConfiguration), homes);
    }
}

// Guards against pages with broken framing, and against records that are not keyed records being read as such.
BOOST_AUTO_TEST_CASE(logPagesAreChecked)
{
    const std::string offsets("\0\0\0\0\0\0\0\x05\0\0\0\0\0\0\0\x02", 16);
    const auto page = decodeLogPage(offsets + encodeKeyedRecord("i-1", "value") + encodeKeyedRecord("i-2", ""));
    BOOST_REQUIRE(page.ok());
    BOOST_TEST(page->end == 5);
    BOOST_TEST(page->first == 2);
    BOOST_REQUIRE_EQUAL(page->records.size(), 2);
    BOOST_TEST(page->records[0].key == "i-1");
    BOOST_TEST(*page->records[0].value == "value");
    BOOST_TEST(!page->records[1].value.has_value());
    BOOST_TEST(!decodeLogPage("short").ok());
    BOOST_TEST(!decodeLogPage(offsets
                              + std::string("\0\0\0\x09"
                                            "abc",
                                            7))
                    .ok());
    const auto malformedPage = decodeLogPage(offsets + std::string("\0\0\0\x02\x09x", 6));
    BOOST_REQUIRE(malformedPage.ok());
    BOOST_TEST(malformedPage->records.size() == 1);
    BOOST_TEST(malformedPage->records[0].key.empty());
}

// Guards against malformed pages of newest records being accepted, and against values that are not decoded.
BOOST_AUTO_TEST_CASE(newestPagesAreChecked)
{
    const auto page = decodeNewestPage(R"({"items":[{"key":"config","value":"eyJhIjoxfQ==","offset":4}],"has_more":true,"end":6})");
    BOOST_REQUIRE(page.ok());
    BOOST_TEST(page->more);
    BOOST_TEST(*page->records[0].value == R"({"a":1})");
    BOOST_TEST(!decodeNewestPage("").ok());
    BOOST_TEST(!decodeNewestPage(R"({"items":[{}],"end":6})").ok());
}

// Guards against member records that other VMs cannot read, and against malformed ones being accepted.
BOOST_AUTO_TEST_CASE(memberRecordsRoundTrip)
{
    const fleet_member member{{"vm-1"}, "10.0.0.1:7500", {"dc-a"}, 120, true};
    const auto decoded = decodeMember("vm-1", encodeMember(member));
    BOOST_TEST((decoded == member));
    // An entry of an earlier version has an address only.
    const auto old = decodeMember("vm-2", R"({"address":"10.0.0.1:7500"})");
    BOOST_REQUIRE(old.has_value());
    BOOST_TEST((*old == fleet_member{{"vm-2"}, "10.0.0.1:7500", {}, 0}));
    BOOST_TEST(!decodeMember("vm-1", "{}"));
    BOOST_TEST(!decodeMember("vm-1", R"({"address":"nowhere"})"));
    BOOST_TEST(!decodeMember("vm-1", "\xff"));
}

// Guards against numbers of a configuration that overflow: a time-out in the past refuses every request, a negative cost adds to a limit, an idle time of
// zero keeps the processor busy, and a negative size is no bound.
BOOST_AUTO_TEST_CASE(numbersOfAConfigurationStayInRange)
{
    for (const auto *const field : {"timeout_ms",
                                    "slo_ms",
                                    "gap_slo_ms",
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
        for (const auto *const number : {"-1", "0", "1e300", "-1e300", "9223372036854775807", "18446744073709551615", "-9223372036854775808"}) {
            auto text = configurationJson;
            const auto begin = text.find('"' + std::string(field) + "\":") + std::string(field).size() + 3;
            text.replace(begin, text.find_first_not_of("0123456789.", begin) - begin, number);
            const auto config = decodeConfiguration(text);
            BOOST_REQUIRE(config.ok());
            constexpr auto day = std::chrono::hours{24};
            bool inRange = true;
            for (const auto &route : config->routes) {
                inRange = inRange && route.attempts >= 1 && route.timeout >= duration{} && route.objective >= duration{} && route.gapObjective >= duration{};
                inRange = inRange && route.timeout <= day && route.objective <= day && route.gapObjective <= day && route.services.front().weight >= 0;
            }
            const auto &profile = *config->services.front().engine;
            inRange = inRange && profile.slots >= 1 && profile.kvTokens >= 0 && profile.handleLifetime >= duration{} && profile.handleLifetime <= day;
            const auto &bounds = config->bounds;
            inRange = inRange && bounds.headerSize >= 1 && bounds.headerSize <= 1'000'000'000 && bounds.bodySize <= 1'000'000'000
                      && bounds.idleTime >= std::chrono::milliseconds{100} && bounds.idleTime <= day;
            const auto &account = config->accounts.front();
            inRange = inRange && account.plainCost >= 0 && account.rate >= 0 && account.burst >= 0;
            BOOST_TEST(inRange, field << ": " << number);
        }
    }
}

// Guards against a route without services, whose first service the core would read from an empty list.
BOOST_AUTO_TEST_CASE(routesWithoutServicesAreRefused)
{
    for (const auto *const split : {"[]", "{}", "null"}) {
        auto text = configurationJson;
        const auto begin = text.find(R"("split":)") + 8;
        text.replace(begin, text.find(']', begin) + 1 - begin, split);
        BOOST_TEST((failureOf(decodeConfiguration(text).status()) == failure::InvalidConfiguration), split);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(platform_headers)

// Guards against parts of a prompt that are mistaken for one another, and against a last part, which no other prompt has, among those that
// prompts share.
BOOST_AUTO_TEST_CASE(sharedPartsOfAPromptAreDecoded)
{
    const auto partsOf = [](const std::vector<std::string> &values) {
        auto caller = callerRequest();
        for (const auto &value : values) {
            caller.headers.push_back({"x-prefix-hash", value});
        }
        std::string text;
        for (const auto &part : decodeRequest(caller).parts) {
            text += part.value + ' ';
        }
        return text;
    };
    BOOST_TEST(partsOf({}).empty());
    BOOST_TEST(partsOf({"5c1e07a2:800"}).empty());
    BOOST_TEST(partsOf({"5c1e07a2:800,91BD3F06:410, e4402b7d:250"}) == "5c1e07a2 91bd3f06 ");
    BOOST_TEST(partsOf({"5c1e07a2:800, 91bd3f06 :410", "e4402b7d:250"}) == "5c1e07a2 91bd3f06 ");
    BOOST_TEST(partsOf({",:5,,x"}).empty());
    // The header itself is passed on as it came.
    auto caller = callerRequest();
    caller.headers.push_back({"X-Prefix-Hash", "5C1E07A2:800,91bd3f06:410"});
    BOOST_TEST(valueOf(worker_dialect{}.encode(dispatchOf(decodeRequest(caller))), "X-Prefix-Hash") == "5C1E07A2:800,91bd3f06:410");
}

// Guards against callers that forge headers which only the router may set.
BOOST_AUTO_TEST_CASE(reservedHeadersOfACallerAreNotForwarded)
{
    auto caller = callerRequest();
    const auto request = decodeRequest(caller);
    BOOST_TEST((request.timeToDeadline == std::chrono::milliseconds{1500}));
    BOOST_REQUIRE(request.tokens.has_value());
    BOOST_TEST(request.tokens->prompt == 1460);
    BOOST_TEST(request.tokens->output == 80);
    BOOST_TEST(request.tokens->likelyOutput.value_or(0) == 40);
    const auto encoded = worker_dialect{}.encode(dispatchOf(request));
    BOOST_TEST(valueOf(encoded, "X-Tenant") == "t1");
    BOOST_TEST(valueOf(encoded, "X-Expect-Instance") == "i-1");
    BOOST_TEST(valueOf(encoded, "X-Request-Priority") == "3");
    BOOST_TEST(valueOf(encoded, "X-Deadline-Ms") == "1200");
    BOOST_TEST(valueOf(encoded, "Host") == "a.example");
    BOOST_TEST(valueOf(encoded, "X-Other") == "kept");
    BOOST_TEST(valueOf(encoded, "X-Token-Count") == "1460,80");
    BOOST_TEST(valueOf(encoded, "X-Request-Id") == "id-1");
    for (const auto *const name : {"X-Kv-Source", "X-Stage", "X-Kv-Hold"}) {
        BOOST_TEST(valueOf(encoded, name).empty());
    }
    BOOST_TEST(encoded.target() == "/s/1?a=%20b");
    BOOST_TEST(encoded.body().view() == "body");
}

// Guards against a copy of the body for each dispatch, which takes a VM over its memory limit.
BOOST_AUTO_TEST_CASE(dispatchesShareTheBodyOfTheirRequest)
{
    auto caller = callerRequest();
    caller.body = std::string(100'000, 'b');
    const auto *const bytes = caller.body.data();
    const auto request = decodeRequest(caller);
    const auto first = worker_dialect{}.encode(dispatchOf(request));
    const auto second = worker_dialect{}.encode(dispatchOf(request));
    BOOST_TEST(static_cast<const void *>(first.body().view().data()) == static_cast<const void *>(bytes));
    BOOST_TEST(static_cast<const void *>(second.body().view().data()) == static_cast<const void *>(bytes));
    BOOST_TEST(first.body().view().size() == 100'000U);
}

// Guards against a wrong stage, prefill source or resume position in the headers sent to a worker, and against invalid prefill handles.
BOOST_AUTO_TEST_CASE(stageAndPrefillSourceAreEncoded)
{
    auto caller = callerRequest();
    auto dispatch = dispatchOf(decodeRequest(caller));
    dispatch.kind = dispatch_kind::Prefill;
    BOOST_TEST(valueOf(worker_dialect{}.encode(dispatch), "X-Stage") == "prefill");
    dispatch.kind = dispatch_kind::Decode;
    dispatch.source = prefill_source{"10.0.0.2:8080", "h1"};
    dispatch.resumeAfter = 12;
    const auto encoded = worker_dialect{}.encode(dispatch);
    BOOST_TEST(valueOf(encoded, "X-Kv-Source") == "10.0.0.2:8080/h1");
    BOOST_TEST(valueOf(encoded, "Last-Event-Id") == "12");
    BOOST_TEST(worker_dialect{}.prefillHandle(R"({"kv_handle":"h1","tokens":3,"version":1})").value_or("") == "h1");
    BOOST_TEST(!worker_dialect{}.prefillHandle("x"));
    BOOST_TEST(!worker_dialect{}.prefillHandle(R"({"kv_handle":3})"));
    // A handle goes into a header and into a path.
    for (const auto &handle : {std::string("h\\r\\nX-Tenant: t"),
                               std::string("h/../x"),
                               std::string("h?a"),
                               std::string("h#a"),
                               std::string("a b"),
                               std::string(),
                               std::string(300, 'h')}) {
        BOOST_TEST(!worker_dialect{}.prefillHandle("{\"kv_handle\":\"" + handle + "\"}"), handle);
    }
}

// Guards against an answer to another request, an encoded body, or an unstamped success being accepted as the worker's answer.
BOOST_AUTO_TEST_CASE(answersAreClassifiedByTheirHeaders)
{
    const worker_dialect dialect;
    BOOST_TEST(dialect.traits(200, fieldsOf({{"X-Request-Id", "id-1"}, {"X-Reply-Stamp", "s"}}), "id-1").genuine);
    BOOST_TEST(!dialect.traits(200, fieldsOf({{"X-Request-Id", "id-2"}, {"X-Reply-Stamp", "s"}}), "id-1").genuine);
    BOOST_TEST(!dialect.traits(200, fieldsOf({{"X-Request-Id", "id-1"}}), "id-1").genuine);
    BOOST_TEST(!dialect.traits(200, fieldsOf({{"X-Request-Id", "id-1"}, {"X-Reply-Stamp", "s"}, {"Content-Encoding", "gzip"}}), "id-1").genuine);
    BOOST_TEST(dialect.traits(503, fieldsOf({{"X-Request-Id", "id-1"}, {"X-Not-Run", "1"}}), "id-1").notRun);
    BOOST_TEST(dialect.traits(421, fieldsOf({{"X-Request-Id", "id-1"}}), "id-1").wrongEndpoint);
    // Without the id, the answer may be a second copy of one to an earlier request.
    BOOST_TEST(!dialect.traits(503, fieldsOf({{"X-Not-Run", "1"}}), "id-1").notRun);
    BOOST_TEST(!dialect.traits(421, fieldsOf({}), "id-1").wrongEndpoint);
    const auto load = dialect.traits(200, fieldsOf({{"X-Load-Report", "3,1,8"}}), "id-1").load;
    BOOST_REQUIRE(load.has_value());
    BOOST_TEST(load->running == 3);
    BOOST_TEST(load->waiting == 1);
    BOOST_TEST(!dialect.traits(200, fieldsOf({{"X-Load-Report", "x"}}), "id-1").load.has_value());
    BOOST_TEST(dialect.belongs(fieldsOf({}), "id-1"));
    BOOST_TEST(!dialect.belongs(fieldsOf({{"X-Request-Id", "id-2"}}), "id-1"));
}

// Guards against a figure of a worker's load being missed, and against a report with figures that make no sense being used in part.
BOOST_AUTO_TEST_CASE(aWorkersLoadReportIsReadWholeOrNotAtAll)
{
    const auto traitsOf = [](const std::string &value) {
        return worker_dialect{}.traits(200, fieldsOf({{"X-Request-Id", "id-1"}, {"X-Load-Report", value}}), "id-1");
    };
    for (const std::string value : {"3,1,8,250", "3, 1, 8, 249.6", " 3,1,8,250 "}) {
        const auto traits = traitsOf(value);
        BOOST_REQUIRE_MESSAGE(traits.load, value);
        BOOST_TEST(traits.load->running == 3);
        BOOST_TEST(traits.load->waiting == 1);
        BOOST_TEST(traits.load->slots.value_or(0) == 8);
        BOOST_TEST(traits.load->workTimePercent.value_or(0) == 250);
        BOOST_TEST(!traits.statement->loadUnreadable);
    }
    BOOST_TEST(!traitsOf("3,1,8").load->workTimePercent);
    BOOST_TEST(!traitsOf("3,1,8").statement->loadUnreadable);
    for (const std::string value : {"",
                                    "3",
                                    "x",
                                    "3,1,",
                                    ",,,",
                                    "-1,0,8,100",
                                    "3,-1,8,100",
                                    "3,1,0,100",
                                    "3,1,-8,100",
                                    "3,1,8,0",
                                    "3,1,8,-100",
                                    "3,1,8,nan",
                                    "-1,NaN,0,0",
                                    "inf,1,8,100",
                                    "3,1,8,inf",
                                    "3,1,8,1e300",
                                    "3.5,1,8,100",
                                    "99999999999,1,8,100",
                                    "3,1,8,100,1",
                                    "1,2,3,4,5,6,7,8,9"}) {
        const auto traits = traitsOf(value);
        BOOST_TEST(!traits.load, value);
        BOOST_TEST(traits.statement->loadUnreadable, value);
    }
    // An answer without a report says nothing of the load.
    const auto silent = worker_dialect{}.traits(200, fieldsOf({{"X-Request-Id", "id-1"}}), "id-1");
    BOOST_TEST(!silent.load);
    BOOST_TEST(!silent.statement->loadUnreadable);
}

// Guards against a limit that a worker names being missed, and against a value that cannot be read setting or ending one.
BOOST_AUTO_TEST_CASE(aWorkersLimitIsReadFromItsAnswers)
{
    const auto statementOf = [](int status, const std::vector<std::string> &values, const std::string &id = "id-1") {
        std::vector<header> headers{{"X-Request-Id", id}};
        for (const auto &value : values) {
            headers.push_back({"server-LIMIT", value});
        }
        http_fields fields;
        for (const auto &each : headers) {
            fields.insert(each.name, each.value);
        }
        return worker_dialect{}.traits(status, fields, "id-1").statement;
    };
    for (const int status : {200, 400, 429, 500, 503, 504}) {
        const auto statement = statementOf(status, {"6.2"});
        BOOST_REQUIRE(statement.has_value());
        BOOST_TEST(statement->requestLimit.value_or(-1) == 6.2);
    }
    BOOST_TEST(!statementOf(200, {}).value_or(endpoint_statement{1}).requestLimit.has_value());
    BOOST_TEST(statementOf(200, {"0"}).value_or(endpoint_statement{}).requestLimit.value_or(-1) == 0);
    BOOST_TEST(statementOf(200, {"0.25"}).value_or(endpoint_statement{}).requestLimit.value_or(-1) == 0.25);
    BOOST_TEST(statementOf(200, {"1e300"}).value_or(endpoint_statement{}).requestLimit.value_or(-1) == 1e6);
    BOOST_TEST(statementOf(200, {"7", "4", "9"}).value_or(endpoint_statement{}).requestLimit.value_or(-1) == 4);
    for (const auto *value : {"", "x", "-1", "nan", "inf", "6.2/s", "6,2", "1e999", "0x10"}) {
        const auto statement = statementOf(200, {value});
        BOOST_REQUIRE(statement.has_value());
        BOOST_TEST(!statement->limitKnown, value);
        BOOST_TEST(!statement->requestLimit.has_value(), value);
    }
    // Another worker has the address, or the answer is one to an earlier request.
    BOOST_TEST(!statementOf(421, {"6.2"}).has_value());
    BOOST_TEST(!statementOf(200, {"6.2"}, "id-2").has_value());
}

// Guards against a worker that says that it leaves, or that it wants no requests for a while, and is not understood.
BOOST_AUTO_TEST_CASE(theColdTimeIsReadFromAnyAnswer)
{
    const auto statementOf = [](int status, const std::vector<std::string> &values) {
        auto fields = fieldsOf({{"X-Request-Id", "id-1"}, {"X-Reply-Stamp", "s"}});
        for (const auto &value : values) {
            fields.insert("x-cold-ms", value);
        }
        return worker_dialect{}.traits(status, fields, "id-1").statement.value_or(endpoint_statement{.coldKnown = false});
    };
    for (const int status : {200, 404, 429, 503}) {
        BOOST_TEST((statementOf(status, {"2500"}).coldLeft == std::chrono::milliseconds{2500}), status);
    }
    BOOST_TEST((statementOf(200, {"0"}).coldLeft == std::chrono::milliseconds{0}));
    BOOST_TEST((statementOf(200, {"10", "30.5", "20"}).coldLeft == std::chrono::microseconds{30'500}));
    BOOST_TEST((statementOf(200, {"1e300"}).coldLeft == std::chrono::minutes{10}));
    BOOST_TEST((!statementOf(200, {}).coldLeft && statementOf(200, {}).coldKnown));
    for (const auto *value : {"", "-1", "soon", "nan", "inf", "3 s"}) {
        BOOST_TEST((!statementOf(200, {value}).coldLeft && !statementOf(200, {value}).coldKnown), value);
        BOOST_TEST(!statementOf(200, {"5", value}).coldKnown, value);
    }
}

BOOST_AUTO_TEST_CASE(whatAWorkerSaysOfItselfIsRead)
{
    const auto statementOf = [](int status, const std::vector<header> &headers, const std::string &id = "id-1") {
        http_fields fields;
        fields.insert("X-Request-Id", id);
        for (const auto &each : headers) {
            fields.insert(each.name, each.value);
        }
        return worker_dialect{}.traits(status, fields, "id-1").statement.value_or(endpoint_statement{});
    };
    for (const int status : {200, 400, 429, 500, 503, 504}) {
        BOOST_TEST(statementOf(status, {{"server-LEAVING", "1"}}).leaving);
        BOOST_TEST(statementOf(status, {{"Server-Leaving", "1"}, {"Server-Limit", "x"}}).leaving);
    }
    for (const auto *value : {"", "0", "true", "11", "-1", "1,1"}) {
        BOOST_TEST(!statementOf(200, {{"Server-Leaving", value}}).leaving, value);
    }
    BOOST_TEST(!statementOf(421, {{"Server-Leaving", "1"}}).leaving);
    BOOST_TEST(!statementOf(200, {{"Server-Leaving", "1"}}, "id-2").leaving);
    const auto pauseOf = [&](int status, std::initializer_list<const char *> values) {
        std::vector<header> headers;
        for (const auto *value : values) {
            headers.push_back({"Retry-After", value});
        }
        const auto pause = statementOf(status, headers).pause;
        return pause ? std::chrono::duration_cast<std::chrono::milliseconds>(*pause).count() : 0;
    };
    BOOST_TEST(pauseOf(503, {"2"}) == 2000);
    BOOST_TEST(pauseOf(503, {"0.25"}) == 250);
    BOOST_TEST(pauseOf(503, {"1", "x", "3"}) == 3000);
    BOOST_TEST(pauseOf(503, {"1e9"}) == 30'000);
    for (const auto *value : {"", "0", "-2", "nan", "inf", "1e999", "2s", "Sun, 06 Dec 2026 11:00:00 GMT"}) {
        BOOST_TEST(pauseOf(503, {value}) == 0, value);
    }
    // Other answers state when their own request may be repeated.
    BOOST_TEST(pauseOf(429, {"2"}) == 0);
    BOOST_TEST(pauseOf(200, {"2"}) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
