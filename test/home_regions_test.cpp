// Tests that requests, their bodies on the way and their KV caches stay in their home regions.
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "home_regions.hpp"
#include "simulated_fleet.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

using std::chrono::seconds;

const std::map<data_centre_name, region_name> regions{{{"dc-a"}, {"north"}}, {{"dc-b"}, {"south"}}, {{"dc-c"}, {"east"}}};

relay_route routeWithHomes(std::vector<region_name> homes)
{
    auto route = routeTo("/lookup/", "desk", repeat_policy::Idempotent);
    route.homes = std::move(homes);
    return route;
}

relay_account accountWithHomes(std::vector<region_name> homes)
{
    return {.name = {"acme"}, .homes = std::move(homes)};
}

// A VM in the north, with endpoints in three regions and in a data centre of which no region is known.
struct home_fixture : relay_fixture {
    home_fixture()
        : relay_fixture(regions)
    {
    }

    static relay_endpoint
    endpointIn(const std::string &dataCentre, const std::string &name, const std::string &service, endpoint_role role = endpoint_role::Plain)
    {
        auto endpoint = endpointNamed(name, service, role);
        endpoint.dataCentre = {dataCentre};
        endpoint.address = "127.0.0.1:" + std::to_string(9500 + ++ports);
        return endpoint;
    }
    void configureWith(std::vector<region_name> routeHomes, std::vector<region_name> accountHomes = {})
    {
        auto config = sampleRelayConfig();
        for (auto &route : config.routes) {
            route.homes = routeHomes;
        }
        config.accounts.front().homes = std::move(accountHomes);
        configure(config);
    }
    void announceDesks()
    {
        announce({endpointIn("dc-a", "desk-a", "desk"),
                  endpointIn("dc-b", "desk-b", "desk"),
                  endpointIn("dc-c", "desk-c", "desk"),
                  endpointIn("dc-x", "desk-x", "desk")});
        core.take();
    }
    // Returns the endpoints that requests are sent to until none has room.
    std::set<std::string> usedEndpoints(const std::string &target)
    {
        for (int i = 0; i < 40; ++i) {
            sendRequest(target);
        }
        std::set<std::string> names;
        for (const auto &dispatch : dispatches) {
            names.insert(dispatch.endpoint.value);
        }
        return names;
    }

    static inline int ports = 0;
};

using names = std::set<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(homes_of_requests)

BOOST_AUTO_TEST_CASE(bothListsApply)
{
    const auto allowed = [](std::vector<region_name> routeHomes, std::vector<region_name> accountHomes) {
        const auto route = routeWithHomes(std::move(routeHomes));
        const auto account = accountWithHomes(std::move(accountHomes));
        const home_regions homes(route, &account, regions);
        names out;
        for (const auto *dataCentre : {"dc-a", "dc-b", "dc-c", "dc-x"}) {
            if (homes.allow({dataCentre})) {
                out.insert(dataCentre);
            }
        }
        return out;
    };
    BOOST_TEST((allowed({}, {}) == names{"dc-a", "dc-b", "dc-c", "dc-x"}));
    BOOST_TEST((allowed({{"north"}, {"south"}}, {}) == names{"dc-a", "dc-b"}));
    BOOST_TEST((allowed({}, {{"south"}}) == names{"dc-b"}));
    BOOST_TEST((allowed({{"north"}, {"south"}}, {{"south"}, {"east"}}) == names{"dc-b"}));
    BOOST_TEST(allowed({{"north"}}, {{"south"}}).empty());
    BOOST_TEST(allowed({{"nowhere"}}, {}).empty());

    const auto route = routeWithHomes({{"north"}});
    const home_regions withoutAccount(route, nullptr, regions);
    BOOST_TEST(withoutAccount.bind());
    BOOST_TEST(withoutAccount.allow({"dc-a"}));
    BOOST_TEST(!withoutAccount.allow({"dc-b"}));
}

BOOST_FIXTURE_TEST_CASE(requestsReachTheirHomesOnly, home_fixture)
{
    configureWith({{"south"}});
    announceDesks();
    BOOST_TEST((usedEndpoints("/lookup/1") == names{"desk-b"}));
}

BOOST_FIXTURE_TEST_CASE(theHomesOfTheAccountApplyToo, home_fixture)
{
    configureWith({{"south"}, {"north"}}, {{"north"}, {"east"}});
    announceDesks();
    BOOST_TEST((usedEndpoints("/lookup/1") == names{"desk-a"}));
}

BOOST_FIXTURE_TEST_CASE(requestsWithoutHomesGoAnywhere, home_fixture)
{
    configureWith({});
    announceDesks();
    BOOST_TEST((usedEndpoints("/lookup/1") == names{"desk-a", "desk-b", "desk-c", "desk-x"}));
}

// Guards against a request that waits for an endpoint that does not exist.
BOOST_FIXTURE_TEST_CASE(aRequestWithoutAnEndpointInItsHomesIsRefusedAtOnce, home_fixture)
{
    for (const auto &[routeHomes, accountHomes] :
         std::vector<std::pair<std::vector<region_name>, std::vector<region_name>>>{{{{"west"}}, {}}, {{{"north"}}, {{"south"}}}}) {
        home_fixture play;
        play.configureWith(routeHomes, accountHomes);
        play.announceDesks();
        play.sendRequest("/lookup/1");
        BOOST_TEST(play.dispatches.empty());
        BOOST_REQUIRE(play.failures.size() == 1U);
        BOOST_TEST((play.failures[0].reason == failure::NoEndpoint));
        BOOST_TEST((play.failures[0].result == outcome::NotRun));
        BOOST_TEST(play.failures[0].retryAfter.has_value());
        BOOST_TEST(play.core.metrics().at("home_refusals") == 1);
    }
}

// Guards against a request that waits on when the last endpoint in its homes has left.
BOOST_FIXTURE_TEST_CASE(aWaitingRequestIsRefusedWhenItsHomesHaveNoEndpointLeft, home_fixture)
{
    configureWith({{"south"}});
    announceDesks();
    for (int i = 0; i < 5; ++i) {
        sendRequest("/lookup/1");
    }
    BOOST_REQUIRE(dispatches.size() == 4U);
    BOOST_REQUIRE(failures.empty());
    withdraw("desk-b");
    collect();
    BOOST_REQUIRE(failures.size() == 1U);
    BOOST_TEST((failures[0].reason == failure::NoEndpoint));
}

// Guards against one request without a place in its homes that holds up all behind it.
BOOST_FIXTURE_TEST_CASE(aRequestThatWaitsForItsHomesHoldsUpNoOther, home_fixture)
{
    auto config = sampleRelayConfig();
    config.routes[0].homes = {{"south"}};
    configure(config);
    announce({endpointIn("dc-a", "desk-a", "desk"), endpointIn("dc-b", "desk-b", "desk")});
    core.take();
    for (int i = 0; i < 8; ++i) {
        sendRequest("/open/1");
    }
    BOOST_REQUIRE(dispatches.size() == 8U);
    // Of the requests that are still in time, the newest one comes first.
    sendRequest("/open/1");
    sendRequest("/lookup/1");
    BOOST_REQUIRE(dispatches.size() == 8U);
    const auto north = std::find_if(dispatches.begin(), dispatches.end(), [](const auto &dispatch) { return dispatch.endpoint.value == "desk-a"; });
    BOOST_REQUIRE((north != dispatches.end()));
    reply(relay_dispatch(*north), 200);
    BOOST_REQUIRE(dispatches.size() == 9U);
    BOOST_TEST(dispatches.back().payload->target == "/open/1");
}

BOOST_FIXTURE_TEST_CASE(aSecondAttemptStaysInTheHomes, home_fixture)
{
    configureWith({{"south"}, {"east"}});
    announceDesks();
    sendRequest("/lookup/1");
    BOOST_REQUIRE(dispatches.size() == 1U);
    endAttempt(dispatches[0], reply_outcome::Broken);
    BOOST_REQUIRE(dispatches.size() == 2U);
    // The first endpoint is silent, so that another one is asked as well.
    sendRequest("/lookup/2");
    const auto before = dispatches.size();
    advance(milliseconds{300});
    BOOST_TEST(dispatches.size() > before);
    for (const auto &dispatch : dispatches) {
        BOOST_TEST((dispatch.endpoint.value == "desk-b" || dispatch.endpoint.value == "desk-c"), dispatch.endpoint.value);
    }
}

BOOST_FIXTURE_TEST_CASE(anAttemptIsNotRepeatedOutsideTheHomes, home_fixture)
{
    configureWith({{"south"}});
    announceDesks();
    sendRequest("/lookup/1");
    BOOST_REQUIRE(dispatches.size() == 1U);
    reply(dispatches[0], 503, true);
    advance(milliseconds{300});
    for (const auto &dispatch : dispatches) {
        BOOST_TEST(dispatch.endpoint.value == "desk-b");
    }
}

BOOST_FIXTURE_TEST_CASE(aResumedStreamStaysInTheHomes, home_fixture)
{
    configureWith({{"south"}, {"east"}});
    announce({endpointIn("dc-a", "dec-a", "llm", endpoint_role::Decode),
              endpointIn("dc-b", "dec-b", "llm", endpoint_role::Decode),
              endpointIn("dc-c", "dec-c", "llm", endpoint_role::Decode),
              endpointIn("dc-x", "dec-x", "llm", endpoint_role::Decode)});
    core.take();
    sendModelRequest("/resume/1");
    BOOST_REQUIRE(dispatches.size() == 1U);
    beginStream(dispatches[0]);
    streamPart(dispatches[0], "id: 1\ndata: a\n\n");
    endAttempt(dispatches[0], reply_outcome::Broken);
    BOOST_REQUIRE(dispatches.size() == 2U);
    BOOST_TEST(dispatches[1].resumeAfter.value_or(0) == 1U);
    const auto first = dispatches[0].endpoint.value;
    BOOST_TEST((first == "dec-b" || first == "dec-c"));
    BOOST_TEST(dispatches[1].endpoint.value == (first == "dec-b" ? "dec-c" : "dec-b"));
}

// Guards against a KV cache that is moved out of the homes, or a prompt that is read outside them.
BOOST_FIXTURE_TEST_CASE(prefillAndDecodeAreInTheHomes, home_fixture)
{
    configureWith({{"south"}});
    announce({endpointIn("dc-a", "pre-a", "llm", endpoint_role::Prefill),
              endpointIn("dc-b", "pre-b", "llm", endpoint_role::Prefill),
              endpointIn("dc-a", "dec-a", "llm", endpoint_role::Decode),
              endpointIn("dc-b", "dec-b", "llm", endpoint_role::Decode)});
    core.take();
    sendModelRequest("/draft/1");
    BOOST_REQUIRE(dispatches.size() == 1U);
    BOOST_TEST(dispatches[0].endpoint.value == "pre-b");
    core.handle(prefill_reply{.attempt = dispatches[0].attempt, .handle = "h"});
    collect();
    BOOST_REQUIRE(dispatches.size() == 2U);
    BOOST_TEST(dispatches[1].endpoint.value == "dec-b");
    BOOST_REQUIRE(dispatches[1].source.has_value());
}

// Without a prefill endpoint in the homes, the decode endpoint there reads the prompt itself.
BOOST_FIXTURE_TEST_CASE(noPromptIsReadOutsideTheHomes, home_fixture)
{
    configureWith({{"south"}});
    announce({endpointIn("dc-a", "pre-a", "llm", endpoint_role::Prefill), endpointIn("dc-b", "dec-b", "llm", endpoint_role::Decode)});
    core.take();
    sendModelRequest("/draft/1");
    BOOST_REQUIRE(dispatches.size() == 1U);
    BOOST_TEST(dispatches[0].endpoint.value == "dec-b");
    BOOST_TEST((dispatches[0].kind == dispatch_kind::Decode));
}

namespace {

// Plays a fleet whose requests have homes in one of its regions, with an endpoint in each region.
struct home_play {
    home_play(int vmsPerDataCentre, int dataCentres)
        : fleet({.vmsPerDataCentre = vmsPerDataCentre, .dataCentres = dataCentres, .regions = regionsOf(dataCentres)})
        , home("desk-" + std::to_string(dataCentres - 1))
    {
        fleet.onDispatch = [this](std::size_t index, const relay_dispatch &dispatch) {
            dispatches.push_back(dispatch);
            const auto result = fleet.connect(index, dispatch.endpoint, dispatch.endpointStartedAt, dispatch.proxy);
            fleet.schedule(milliseconds{5 + fleet.randomBelow(20)}, [this, index, dispatch, result] {
                if (result == probe_result::Reached) {
                    fleet.deliver(index, relay_reply{.attempt = dispatch.attempt, .status = 200, .body = "b", .genuine = true});
                } else {
                    const auto end = result == probe_result::ProxyFailed ? reply_outcome::ProxyFailed : reply_outcome::NotSent;
                    fleet.deliver(index, relay_attempt_ended{dispatch.attempt, end});
                }
            });
        };
        fleet.onFailure = [this](const answer_failure &failed) { failures.push_back(failed); };
        fleet.onAnswer = [this](caller_id /*caller*/) { ++answered; };
        auto config = sampleRelayConfig();
        config.accounts.front().rate = 1e7;
        config.accounts.front().burst = 1e7;
        config.routes[0].homes = {{"region-" + std::to_string(dataCentres - 1)}};
        fleet.publish(config);
        for (int dc = 0; dc < dataCentres; ++dc) {
            announce(dc);
        }
        fleet.startAll();
        fleet.runFor(seconds{6});
    }

    static std::map<data_centre_name, region_name> regionsOf(int dataCentres)
    {
        std::map<data_centre_name, region_name> out;
        for (int dc = 0; dc < dataCentres; ++dc) {
            out[{"dc-" + std::to_string(dc)}] = {"region-" + std::to_string(dc)};
        }
        return out;
    }
    void announce(int dataCentre)
    {
        auto endpoint = endpointNamed("desk-" + std::to_string(dataCentre), "desk");
        endpoint.dataCentre = {"dc-" + std::to_string(dataCentre)};
        endpoint.address = "10.9.0." + std::to_string(dataCentre + 1) + ":8000";
        endpoint.slots = 20;
        fleet.announce(endpoint);
    }
    void load(duration time, int perSecond)
    {
        const auto end = fleet.now() + time;
        while (fleet.now() < end) {
            fleet.runFor(std::chrono::microseconds{1'000'000 / perSecond});
            const auto index = static_cast<std::size_t>(fleet.randomBelow(static_cast<int>(fleet.vms.size())));
            fleet.submit(index, "/lookup/1");
            ++sent;
        }
        fleet.runFor(milliseconds{200});
    }
    void checkHomes() const
    {
        const auto isHome = [&](const auto &dispatch) { return dispatch.endpoint.value == home; };
        BOOST_TEST(std::count_if(dispatches.begin(), dispatches.end(), isHome) == static_cast<std::ptrdiff_t>(dispatches.size()));
    }

    simulated_fleet fleet;
    std::string home; // The endpoint in the home region.
    std::vector<relay_dispatch> dispatches;
    std::vector<answer_failure> failures;
    std::size_t sent = 0;
    std::size_t answered = 0;
};

void playHomes(int vmsPerDataCentre, int dataCentres)
{
    home_play play(vmsPerDataCentre, dataCentres);
    play.load(seconds{2}, 200);
    play.checkHomes();
    BOOST_TEST(play.answered == play.sent);
    // The hubs know the endpoint that takes the place of the only one in the homes at another time than the VMs.
    play.fleet.withdraw(play.home);
    play.load(seconds{2}, 200);
    play.checkHomes();
    BOOST_TEST(!play.failures.empty());
    for (const auto &failed : play.failures) {
        BOOST_TEST((failed.reason == failure::NoEndpoint));
        BOOST_TEST(failed.retryAfter.has_value());
    }
    play.announce(dataCentres - 1);
    play.fleet.runFor(seconds{1});
    const auto before = play.answered;
    const auto sentBefore = play.sent;
    play.load(seconds{1}, 200);
    play.checkHomes();
    BOOST_TEST(play.answered - before == play.sent - sentBefore);
}

// Cuts a VM outside the homes off from all endpoints: its requests take the way through VMs in the homes.
void playProxies(int vmsPerDataCentre, int dataCentres)
{
    home_play play(vmsPerDataCentre, dataCentres);
    play.fleet.reaches = [](std::size_t index, const endpoint_name &) { return index != 0; };
    for (int i = 0; i < 300; ++i) {
        play.fleet.runFor(milliseconds{10});
        play.fleet.submit(0, "/lookup/1");
        ++play.sent;
    }
    play.fleet.runFor(seconds{1});
    play.checkHomes();
    std::size_t proxied = 0;
    for (const auto &dispatch : play.dispatches) {
        if (dispatch.proxy.empty()) {
            continue;
        }
        ++proxied;
        const auto isProxy = [&](const auto &vm) { return vm.info.address == dispatch.proxy; };
        const auto vm = std::find_if(play.fleet.vms.begin(), play.fleet.vms.end(), isProxy);
        BOOST_REQUIRE((vm != play.fleet.vms.end()));
        BOOST_TEST(vm->info.dataCentre.value == "dc-" + std::to_string(dataCentres - 1));
    }
    BOOST_TEST(proxied > 200U);
    BOOST_TEST(play.answered >= play.sent * 9 / 10);
}

} // namespace

BOOST_AUTO_TEST_CASE(homesAt7Vms)
{
    playHomes(4, 2);
}

BOOST_AUTO_TEST_CASE(homesAt60Vms)
{
    playHomes(20, 3);
}

BOOST_AUTO_TEST_CASE(homesAt295Vms)
{
    playHomes(59, 5);
}

BOOST_AUTO_TEST_CASE(proxiesInTheHomesAt7Vms)
{
    playProxies(4, 2);
}

BOOST_AUTO_TEST_CASE(proxiesInTheHomesAt60Vms)
{
    playProxies(20, 3);
}

BOOST_AUTO_TEST_CASE(proxiesInTheHomesAt295Vms)
{
    playProxies(59, 5);
}

BOOST_AUTO_TEST_SUITE_END()
