// Plays fleets whose operator evacuates data centres, and counts the requests that reach the endpoints of these data centres afterwards.
#include <map>
#include <ostream>
#include <set>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "evacuations.hpp"
#include "fleet_codec.hpp"
#include "relay_options.hpp"
#include "simulated_fleet.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

using std::chrono::seconds;

constexpr duration evacuationBound = seconds{5}; // bounds.evac_ms.
constexpr int requestsPerSecond = 120;

struct fleet_size {
    int vmsPerDataCentre = 0;
    int dataCentres = 0;
};

constexpr fleet_size sevenVms{7, 1};
constexpr fleet_size sixtyVms{20, 3};
constexpr fleet_size manyVms{59, 5};

// A fleet with plain endpoints and engines in each of at least two data centres. A single data centre of VMs has endpoints in two.
struct evacuation_play {
    explicit evacuation_play(fleet_size size, unsigned seed = 1)
        : fleet({.vmsPerDataCentre = size.vmsPerDataCentre, .dataCentres = size.dataCentres, .seed = seed})
        , endpointDataCentres(std::max(size.dataCentres, 2))
    {
        fleet.onDispatch = [this](std::size_t index, const relay_dispatch &dispatch) { connect(index, dispatch); };
        fleet.onFailure = [this](const answer_failure &failed) { failures.push_back(failed); };
    }

    void start()
    {
        auto config = sampleRelayConfig();
        config.accounts.front().rate = 1e7;
        config.accounts.front().burst = 1e7;
        config.services.back().engine = engine_profile{.slots = 24, .kvTokens = 400'000};
        fleet.publish(config);
        for (int dc = 0; dc < endpointDataCentres; ++dc) {
            for (int i = 0; i < 3; ++i) {
                announce("desk", "desk", endpoint_role::Plain, dc, i);
                announce("dec", "llm", endpoint_role::Decode, dc, i);
            }
            announce("pre", "llm", endpoint_role::Prefill, dc, 0);
        }
        fleet.startAll();
        fleet.runFor(seconds{5});
    }

    void announce(const std::string &kind, const std::string &service, endpoint_role role, int dc, int number)
    {
        auto endpoint = endpointNamed(kind + '-' + std::to_string(dc) + '-' + std::to_string(number), service, role);
        endpoint.dataCentre = {"dc-" + std::to_string(dc)};
        endpoint.address = "10.9." + std::to_string(dc) + '.' + std::to_string(++m_lastAddress) + ":8000";
        endpoint.slots = 24;
        dataCentreOf[endpoint.name] = endpoint.dataCentre.value;
        fleet.announce(endpoint);
    }

    void evacuate(const std::string &dataCentre)
    {
        fleet.evacuate(dataCentre);
        evacuatedAt[dataCentre] = fleet.now();
    }
    void endEvacuation(const std::string &dataCentre)
    {
        fleet.evacuate(dataCentre, false);
        evacuatedAt.erase(dataCentre);
    }

    // Establishes the connection of a dispatch. A part of them is open already, and others take up to 200 ms.
    void connect(std::size_t index, const relay_dispatch &dispatch)
    {
        if (fleet.randomBelow(3) > 0) {
            arrive(index, dispatch);
            return;
        }
        fleet.schedule(milliseconds{fleet.randomBelow(200)}, [this, index, dispatch, core = fleet.vms[index].core.get()] {
            if (fleet.vms[index].core.get() != core || core == nullptr) {
                return;
            }
            if (fleet.vms[index].frozen) {
                connect(index, dispatch); // The VM notices the connection when it goes on.
            } else if (core->maySend(dispatch.attempt)) {
                arrive(index, dispatch);
            } else {
                fleet.deliver(index, relay_attempt_ended{dispatch.attempt, reply_outcome::Withheld});
            }
        });
    }

    void arrive(std::size_t index, const relay_dispatch &dispatch)
    {
        const auto &dataCentre = dataCentreOf.at(dispatch.endpoint);
        ++arrivals[dataCentre];
        lastArrival[dataCentre] = fleet.now();
        const auto evacuated = evacuatedAt.find(dataCentre);
        if (evacuated != evacuatedAt.end() && fleet.now() - evacuated->second > evacuationBound && !cutOff.contains(index)) {
            ++late;
            BOOST_TEST_MESSAGE("vm-" << index + 1 << " sent a " << nameOf(dispatch.kind) << " request to " << dispatch.endpoint.value << ' '
                                     << std::chrono::duration_cast<milliseconds>(fleet.now() - evacuated->second).count() << " ms after the record");
        }
        const auto answerTime = milliseconds{10 + fleet.randomBelow(60)};
        fleet.schedule(answerTime, [this, index, dispatch] { answer(index, dispatch); });
    }

    void answer(std::size_t index, const relay_dispatch &dispatch)
    {
        if (fleet.vms[index].frozen) {
            fleet.schedule(milliseconds{50}, [this, index, dispatch] { answer(index, dispatch); });
            return;
        }
        if (dispatch.kind == dispatch_kind::Prefill) {
            fleet.deliver(index, prefill_reply{dispatch.attempt, "h", {}});
        } else if (dispatch.streamed) {
            fleet.deliver(index, stream_head{.attempt = dispatch.attempt});
            fleet.deliver(index, stream_part{dispatch.attempt, "id: 1\ndata: a\n\n"});
            fleet.deliver(index, relay_attempt_ended{dispatch.attempt, reply_outcome::Complete});
        } else {
            fleet.deliver(index, relay_reply{.attempt = dispatch.attempt, .status = 200, .body = "b", .genuine = true});
        }
    }

    void submit(std::size_t index)
    {
        switch (fleet.randomBelow(4)) {
        case 0:
            fleet.submit(index, "/lookup/1");
            break;
        case 1:
            fleet.submit(index, "/book/1");
            break;
        case 2:
            fleet.submitModel(index, "/draft/1", {"p"}, seconds{10});
            break;
        default:
            fleet.submitStream(index, "/resume/1", {}, std::nullopt);
            break;
        }
    }

    void load(duration time)
    {
        const auto end = fleet.now() + time;
        while (fleet.now() < end) {
            fleet.runFor(std::chrono::microseconds{1'000'000 / requestsPerSecond});
            const auto index = static_cast<std::size_t>(fleet.randomBelow(static_cast<int>(fleet.vms.size())));
            if (fleet.vms[index].core && !fleet.vms[index].frozen) {
                submit(index);
            }
        }
    }

    // Returns the first VM that is no hub.
    std::size_t follower() const
    {
        for (std::size_t i = 0; i < fleet.vms.size(); ++i) {
            if (fleet.vms[i].core && !fleet.isHub(i)) {
                return i;
            }
        }
        return fleet.vms.size() - 1;
    }

    void check() const
    {
        BOOST_TEST(late == 0U);
        BOOST_TEST(arrivals.at("dc-1") > 0U);
    }

    simulated_fleet fleet;
    int endpointDataCentres;
    std::map<endpoint_name, std::string> dataCentreOf;
    std::map<std::string, time_point> evacuatedAt; // Time of the directory's response to the operator.
    std::map<std::string, std::size_t> arrivals; // Requests that endpoints got, by data centre.
    std::map<std::string, time_point> lastArrival;
    std::set<std::size_t> cutOff; // VMs to which the rule does not apply.
    std::size_t late = 0;
    std::vector<answer_failure> failures;

private:
    int m_lastAddress = 0;
};

// The work moves without a refusal, and returns in the end.
void playEvacuation(fleet_size size)
{
    evacuation_play play(size);
    play.start();
    play.load(seconds{2});
    BOOST_TEST(play.arrivals["dc-0"] > 0U);
    play.evacuate("dc-0");
    const auto evacuatedAt = play.fleet.now();
    const auto others = play.arrivals;
    play.load(seconds{8});
    play.check();
    BOOST_TEST(play.failures.empty());
    if (size.dataCentres > 2) {
        // They have equal capacity. The VMs prefer endpoints of their own data centre, and those of dc-0 have none.
        const auto first = static_cast<double>(play.arrivals["dc-1"] - others.at("dc-1"));
        const auto second = static_cast<double>(play.arrivals["dc-2"] - others.at("dc-2"));
        BOOST_TEST(first < 1.5 * second);
        BOOST_TEST(second < 1.5 * first);
    }
    // The other data centres have room, so that the work has moved when the VMs know of the record.
    BOOST_TEST((play.lastArrival["dc-0"] - evacuatedAt < milliseconds{2600}));
    play.endEvacuation("dc-0");
    const auto before = play.arrivals["dc-0"];
    play.load(seconds{4});
    BOOST_TEST(play.arrivals["dc-0"] > before);
    BOOST_TEST(play.failures.empty());
}

// Guards against a VM that goes on with what it knew before it was suspended.
void playFrozenVm(fleet_size size)
{
    for (const auto frozenFor : {milliseconds{2300}, milliseconds{6500}}) {
        evacuation_play play(size);
        play.start();
        play.load(seconds{1});
        const auto hub = play.fleet.reader();
        BOOST_REQUIRE(hub.has_value());
        std::set<std::size_t> frozen{play.follower(), *hub};
        for (const auto index : frozen) {
            play.submit(index);
            play.fleet.vms[index].frozen = true;
        }
        play.load(milliseconds{100});
        play.evacuate("dc-0");
        play.load(frozenFor);
        for (const auto index : frozen) {
            play.fleet.vms[index].frozen = false;
            // Its callers have sent requests meanwhile. It reads them before the messages of other VMs.
            for (int i = 0; i < 40; ++i) {
                play.submit(index);
            }
        }
        play.load(seconds{7} - std::min<duration>(frozenFor, seconds{5}));
        play.check();
    }
}

// Guards against VMs that learn of the record late: by lost messages, without the directory, or from hubs that are cut off.
void playLaggingVms(fleet_size size)
{
    evacuation_play play(size);
    play.start();
    play.load(seconds{1});
    const auto lagging = play.follower();
    for (std::size_t i = 0; i < play.fleet.vms.size(); ++i) {
        play.fleet.cutLinks.insert({i, lagging}); // It still reads the directory.
    }
    const auto rejected = play.fleet.vms.size() - 1;
    play.fleet.vms[rejected].cutFromDirectory = true; // It still hears the hubs.
    play.evacuate("dc-0");
    play.load(seconds{8});
    play.check();
}

// Guards against a record that is written while the directory does not answer the VMs.
void playDirectoryDown(fleet_size size)
{
    evacuation_play play(size);
    play.start();
    play.load(seconds{1});
    play.fleet.directoryDown = true;
    play.load(seconds{1});
    play.evacuate("dc-0");
    play.load(milliseconds{2800});
    play.fleet.directoryDown = false;
    play.load(seconds{4});
    play.check();
}

// Guards against a record that only the VM knows that reads for the fleet, which ends before it has told the others.
void playReaderKilled(fleet_size size)
{
    evacuation_play play(size);
    play.start();
    play.load(seconds{1});
    const auto reader = play.fleet.reader();
    BOOST_REQUIRE(reader.has_value());
    play.evacuate("dc-0");
    const auto knows = [&] { return play.fleet.vms[*reader].core->status().at("evacuations").size() > 0; };
    for (int i = 0; i < 1000 && !knows(); ++i) {
        play.fleet.runFor(milliseconds{1});
    }
    BOOST_TEST(knows());
    play.fleet.kill(*reader);
    play.load(seconds{8});
    play.check();
}

// Guards against a VM that serves before it knows the evacuations, with the directory and by what other VMs know.
void playStartingVm(fleet_size size)
{
    evacuation_play play(size);
    play.start();
    play.evacuate("dc-0");
    play.load(seconds{6});
    for (const bool withDirectory : {true, false}) {
        const auto index = play.fleet.vms.size() - (withDirectory ? 1 : 2);
        play.fleet.kill(index);
        play.load(seconds{1});
        play.fleet.directoryDown = !withDirectory;
        play.fleet.start(index);
        bool wasReady = false;
        for (int i = 0; i < 3000; ++i) {
            play.fleet.runFor(milliseconds{1});
            if (play.fleet.vms[index].core->ready()) {
                wasReady = true;
                play.submit(index);
            }
        }
        BOOST_TEST(wasReady);
    }
    play.check();
}

// Guards against an evacuation that is lost with the directory's history, or that comes back with it without a record.
void playRestoredDirectory(fleet_size size)
{
    evacuation_play play(size);
    play.start();
    play.evacuate("dc-0");
    play.load(seconds{6});
    play.fleet.restoreOperatorLog(0);
    play.load(seconds{4});
    // A VM that starts knows it from the others.
    const auto index = play.fleet.vms.size() - 1;
    play.fleet.kill(index);
    play.fleet.start(index);
    play.load(seconds{4});
    play.check();
    BOOST_TEST(play.failures.empty());
    // The operator ends it in the new era.
    play.endEvacuation("dc-0");
    play.load(seconds{3});
    const auto before = play.arrivals["dc-0"];
    play.load(seconds{2});
    BOOST_TEST(play.arrivals["dc-0"] > before);
}

// Guards against requests that wait although none can be served.
void playAllEvacuated(fleet_size size)
{
    evacuation_play play(size);
    play.start();
    for (int dc = 0; dc < play.endpointDataCentres; ++dc) {
        play.evacuate("dc-" + std::to_string(dc));
    }
    play.load(milliseconds{5500});
    play.failures.clear();
    for (std::size_t index = 0; index < std::min<std::size_t>(play.fleet.vms.size(), 40); ++index) {
        for (int i = 0; i < 8; ++i) {
            const auto before = play.failures.size();
            play.submit(index);
            BOOST_REQUIRE(play.failures.size() == before + 1);
            BOOST_TEST((play.failures.back().reason == failure::NoEndpoint));
            BOOST_TEST((play.failures.back().result == outcome::NotRun));
            BOOST_TEST((play.failures.back().retryAfter.value_or(duration{}) > duration{}));
        }
    }
    BOOST_TEST(entryOf(failure::NoEndpoint).httpStatus == 503);
    play.load(seconds{1});
    play.check();
}

// Guards against a grant that was given before the hub knew of the record, and that arrives when the VM knows of it.
void playGrantInFlight(fleet_size size)
{
    evacuation_play play(size);
    play.start();
    const auto index = play.follower();
    play.fleet.vms[index].dispatches.clear();
    for (int i = 0; i < 40; ++i) {
        play.submit(index);
    }
    BOOST_REQUIRE(play.fleet.vms[index].dispatches.empty()); // The asks are under way.
    play.evacuatedAt["dc-0"] = play.fleet.now() - seconds{6};
    play.cutOff.clear();
    // Another VM tells it of the record. Its age is not known.
    play.fleet.deliver(index,
                       fleet_heartbeat{.from = {{"vm-x"}, 1},
                                       .sequence = 1,
                                       .address = play.fleet.vms.back().info.address,
                                       .dataCentre = play.fleet.vms.back().info.dataCentre,
                                       .evacuations = {{{"dc-0"}, true, (std::uint64_t{1} << 40U) + 1, duration::max()}}});
    play.fleet.runFor(milliseconds{20});
    BOOST_TEST(play.fleet.vms[index].dispatches.size() >= 30U);
    BOOST_TEST(std::none_of(play.fleet.vms[index].dispatches.begin(), play.fleet.vms[index].dispatches.end(), [&](const auto &each) {
        return play.dataCentreOf.at(each.endpoint) == "dc-0";
    }));
}

std::ostream &operator<<(std::ostream &out, const fleet_size &size)
{
    return out << size.vmsPerDataCentre * size.dataCentres << " VMs";
}

const std::vector<fleet_size> sizes{sevenVms, sixtyVms, manyVms};

} // namespace

BOOST_AUTO_TEST_SUITE(evacuated_fleets)

BOOST_DATA_TEST_CASE(workMovesAndReturns, boost::unit_test::data::make(sizes), size)
{
    playEvacuation(size);
}

BOOST_DATA_TEST_CASE(frozenVms, boost::unit_test::data::make(sizes), size)
{
    playFrozenVm(size);
}

BOOST_DATA_TEST_CASE(laggingVms, boost::unit_test::data::make(sizes), size)
{
    playLaggingVms(size);
}

BOOST_DATA_TEST_CASE(directoryDownAtTheRecord, boost::unit_test::data::make(sizes), size)
{
    playDirectoryDown(size);
}

BOOST_DATA_TEST_CASE(readerKilledAfterItsRead, boost::unit_test::data::make(sizes), size)
{
    playReaderKilled(size);
}

BOOST_DATA_TEST_CASE(startingVms, boost::unit_test::data::make(sizes), size)
{
    playStartingVm(size);
}

BOOST_DATA_TEST_CASE(restoredDirectory, boost::unit_test::data::make(sizes), size)
{
    playRestoredDirectory(size);
}

BOOST_DATA_TEST_CASE(grantsInFlight, boost::unit_test::data::make(sizes), size)
{
    playGrantInFlight(size);
}

BOOST_DATA_TEST_CASE(allDataCentresEvacuated, boost::unit_test::data::make(sizes), size)
{
    playAllEvacuated(size);
}

// Guards against messages that carry evacuations where there are none: no deployment pays for what it does not use.
BOOST_AUTO_TEST_CASE(noRecordMeansNoBytes)
{
    const fleet_heartbeat plain{.from = {{"vm-1"}, 1}, .sequence = 1, .address = "127.0.0.1:7000", .dataCentre = {"dc-a"}};
    constexpr std::size_t totalsIndex = 7;
    constexpr std::size_t elementsBefore = 4;
    BOOST_TEST(nlohmann::json::from_cbor(encodeHeartbeat(plain).substr(1)).at(totalsIndex).size() == elementsBefore);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(evacuated_paths, relay_fixture)

namespace {

constexpr duration unknownAge = duration::max();

evacuations_read closedNow(std::uint64_t position = 1)
{
    return {.evacuations = {{{"dc-a"}, true, position, unknownAge}}};
}

} // namespace

// Guards against a VM that is ready before it knows the evacuations.
BOOST_AUTO_TEST_CASE(aVmWithoutTheEvacuationsIsNotReady)
{
    core.handle(configuration_read{std::make_shared<const relay_config>(sampleRelayConfig())});
    announce({endpointNamed("desk-1", "desk")});
    BOOST_TEST(!core.ready());
    core.handle(evacuations_read{});
    BOOST_TEST(core.ready());
}

// Guards against a VM whose state came from an earlier build, which knows no evacuations, and that takes that build's proofs for its own.
BOOST_AUTO_TEST_CASE(aVmThatLacksTheEvacuationsReadsThem)
{
    core.handle(configuration_read{std::make_shared<const relay_config>(sampleRelayConfig())});
    announce({endpointNamed("desk-1", "desk")});
    core.handle(directory_state{.configVersion = 1, .endpointEntries = 1, .position = position, .lastChange = position});
    collect();
    advance(seconds{4});
    core.handle(directory_read_finished{false}); // The next read is due after a pause.
    core.handle(fleet_heartbeat{.from = {{"vm-2"}, 1},
                                .sequence = 1,
                                .address = "127.0.0.1:7001",
                                .dataCentre = {"dc-a"},
                                .knowledge = {.configVersion = 1, .position = position, .lastChange = position, .proofAge = milliseconds{100}}});
    const auto before = directoryReads;
    advance(milliseconds{1});
    BOOST_TEST(directoryReads == before + 1);
    BOOST_TEST(fetchAddresses.size() == 1U);
    BOOST_TEST(core.status().at("directory_proof_age_ms").is_null());
}

// Guards against each way on which a request reaches an endpoint of an evacuated data centre.
BOOST_AUTO_TEST_CASE(noWayLeadsToAClosedEndpoint)
{
    configure(sampleRelayConfig());
    auto remote = endpointNamed("desk-2", "desk");
    remote.dataCentre = {"dc-b"};
    announce({endpointNamed("desk-1", "desk"), remote});
    collect();
    // A request whose connection is being established.
    sendRequest("/lookup/1");
    const auto waiting = dispatches.back();
    BOOST_TEST(waiting.endpoint.value == "desk-1");
    BOOST_TEST(core.maySend(waiting.attempt));
    BOOST_TEST(core.admitProxied({"desk-1"}, 1).refusal.empty());
    core.handle(closedNow());
    BOOST_TEST(!core.maySend(waiting.attempt));
    BOOST_TEST(!core.admitProxied({"desk-1"}, 1).refusal.empty());
    endAttempt(waiting, reply_outcome::Withheld);
    BOOST_TEST(dispatches.back().endpoint.value == "desk-2");
    // New requests, their retries and second attempts for overdue ones.
    sendRequest("/lookup/2");
    BOOST_TEST(dispatches.back().endpoint.value == "desk-2");
    const auto count = dispatches.size();
    advance(milliseconds{700});
    BOOST_TEST(dispatches.size() == count);
    endAttempt(dispatches.back(), reply_outcome::Broken);
    for (const auto &each : dispatches) {
        BOOST_TEST((each.endpoint.value == "desk-2" || each.attempt == waiting.attempt));
    }
    // It ends.
    core.handle(evacuations_read{.evacuations = {{{"dc-a"}, false, 2, unknownAge}}});
    BOOST_TEST(core.admitProxied({"desk-1"}, 1).refusal.empty());
}

// Guards against a decode that follows its prefill into an evacuated data centre, and against a release that is sent there.
BOOST_AUTO_TEST_CASE(decodeAfterAPrefillElsewhere)
{
    for (const bool decodeClosed : {true, false}) {
        relay_fixture vm;
        vm.configure(sampleRelayConfig());
        auto prefill = endpointNamed("pre-1", "llm", endpoint_role::Prefill);
        auto first = endpointNamed("dec-1", "llm", endpoint_role::Decode);
        auto second = endpointNamed("dec-2", "llm", endpoint_role::Decode);
        prefill.dataCentre = {"dc-b"};
        second.dataCentre = {"dc-b"};
        prefill.address = "10.0.0.1:1";
        vm.announce({prefill, first, second});
        vm.collect();
        vm.sendModelRequest("/draft/1");
        BOOST_REQUIRE(vm.dispatches.size() == 1U);
        BOOST_REQUIRE((vm.dispatches.back().kind == dispatch_kind::Prefill));
        vm.core.handle(evacuations_read{.evacuations = {{{decodeClosed ? "dc-a" : "dc-b"}, true, 1, unknownAge}}});
        vm.core.handle(prefill_reply{vm.dispatches.back().attempt, "h", {}});
        vm.collect();
        BOOST_REQUIRE(vm.dispatches.size() == 2U);
        BOOST_TEST(vm.dispatches.back().endpoint.value == (decodeClosed ? "dec-2" : "dec-1"));
        // The result may be fetched from an endpoint that gets no requests.
        BOOST_REQUIRE(vm.dispatches.back().source.has_value());
        BOOST_TEST(vm.dispatches.back().source->address == "10.0.0.1:1");
    }
}

// Guards against requests that wait for a data centre that closes.
BOOST_AUTO_TEST_CASE(waitingRequestsAreRefusedWhenTheLastDataCentreCloses)
{
    configure(sampleRelayConfig());
    announce({endpointNamed("desk-1", "desk")});
    collect();
    for (int i = 0; i < 6; ++i) {
        sendRequest("/lookup/" + std::to_string(i));
    }
    BOOST_REQUIRE(dispatches.size() == 4U);
    core.handle(evacuations_read{.evacuations = {{{"dc-a"}, true, 1, milliseconds{2400}}}});
    collect();
    BOOST_TEST(failures.empty());
    advance(milliseconds{110});
    BOOST_TEST(failures.size() == 2U);
    BOOST_TEST(dispatches.size() == 4U);
    for (const auto &each : failures) {
        BOOST_TEST((each.reason == failure::NoEndpoint));
        BOOST_TEST(each.retryAfter.has_value());
    }
    // Requests that run there end as usual.
    reply(dispatches.front(), 200);
    BOOST_TEST(answers.size() == 1U);
}

// Guards against an evacuated endpoint that gets work although another one has room, and against requests that are refused while the work still moves.
BOOST_AUTO_TEST_CASE(evacuatedEndpointsComeLastWhileTheWorkMoves)
{
    configure(sampleRelayConfig());
    auto remote = endpointNamed("desk-2", "desk");
    remote.dataCentre = {"dc-b"};
    announce({endpointNamed("desk-1", "desk"), remote});
    core.handle(evacuations_read{.evacuations = {{{"dc-a"}, true, 1, milliseconds{100}}}});
    collect();
    for (int i = 0; i < 5; ++i) {
        sendRequest("/lookup/" + std::to_string(i));
        BOOST_REQUIRE(dispatches.size() == static_cast<std::size_t>(i + 1));
        BOOST_TEST(dispatches.back().endpoint.value == (i < 4 ? "desk-2" : "desk-1"));
    }
    advance(milliseconds{2450}); // The requests have passed their deadlines.
    dispatches.clear();
    for (int i = 0; i < 6; ++i) {
        sendRequest("/lookup/" + std::to_string(i));
    }
    BOOST_TEST(dispatches.size() == 4U);
    for (const auto &each : dispatches) {
        BOOST_TEST(each.endpoint.value == "desk-2");
    }
}

// Guards against a late message that reinstates an evacuation that has ended, and against a deletion that is seen only by its absence.
BOOST_AUTO_TEST_CASE(theNewestRecordCounts)
{
    evacuations known(evacuationBound);
    const auto now = clock.now();
    const data_centre_name dataCentre{"dc-a"};
    BOOST_TEST(known.update({dataCentre, true, 10, milliseconds{300}}, now));
    BOOST_TEST((known.closing().at(dataCentre) == now + milliseconds{2200}));
    // A second record while it is in force does not begin anew.
    BOOST_TEST(!known.update({dataCentre, true, 12, milliseconds{0}}, now + seconds{1}));
    BOOST_TEST((known.closing().at(dataCentre) == now + milliseconds{2200}));
    BOOST_TEST(known.update({dataCentre, false, 15, unknownAge}, now));
    BOOST_TEST(!known.update({dataCentre, true, 12, milliseconds{0}}, now));
    BOOST_TEST(known.inForce() == 0U);
    BOOST_REQUIRE(known.all(now).size() == 1U);
    BOOST_TEST(known.update({dataCentre, true, 20, unknownAge}, now));
    BOOST_TEST((known.closing().at(dataCentre) <= now));
    // A complete read up to the position, or of a newer era, that lacks the key.
    BOOST_TEST(known.missingFrom({.completeFrom = 5, .completeTo = 20}, now).empty());
    BOOST_TEST(known.missingFrom({.completeFrom = 30, .completeTo = 40}, now).empty());
    BOOST_TEST(known.missingFrom({.evacuations = {{dataCentre, true, 25, unknownAge}}, .completeFrom = 5, .completeTo = 25}, now).empty());
    const auto ended = known.missingFrom({.completeFrom = 5, .completeTo = 25}, now);
    BOOST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(known.update(ended.front(), now));
    BOOST_TEST(known.inForce() == 0U);
}

// Guards against a message of a VM that has not heard of the end, which closes the data centre again at this VM.
BOOST_AUTO_TEST_CASE(aLateMessageReinstatesNothing)
{
    configureDesks();
    core.handle(closedNow(5));
    core.handle(evacuations_read{.evacuations = {{{"dc-a"}, false, 6, unknownAge}}});
    collect();
    const auto message = [](std::uint64_t sequence, std::uint64_t position) {
        return fleet_heartbeat{.from = {{"vm-2"}, 1},
                               .sequence = sequence,
                               .address = "127.0.0.1:7001",
                               .dataCentre = {"dc-a"},
                               .evacuations = {{{"dc-a"}, true, position, milliseconds{900}}}};
    };
    core.handle(message(1, 5));
    sendRequest("/lookup/1");
    BOOST_TEST(dispatches.size() == 1U);
    BOOST_TEST(core.status().at("evacuations").at(0).at("state") == "ended");
    core.handle(message(2, 7));
    BOOST_TEST(core.status().at("evacuations").at(0).at("state") == "moving");
    advance(milliseconds{1650});
    BOOST_TEST(core.status().at("evacuations").at(0).at("state") == "closed");
    // The VM tells the others what it knows, also of evacuations that have ended.
    core.handle(evacuations_read{.evacuations = {{{"dc-a"}, false, 8, unknownAge}}});
    advance(milliseconds{500});
    BOOST_TEST(core.status().at("evacuations").at(0).at("state") == "ended");
}

// Guards against a table that grows with each name that any writer brings.
BOOST_AUTO_TEST_CASE(theNumberOfDataCentresIsBounded)
{
    configureDesks();
    evacuations_read read;
    for (int i = 0; i < 100; ++i) {
        read.evacuations.push_back({{"zone-" + std::to_string(i)}, true, static_cast<std::uint64_t>(i + 1), unknownAge});
    }
    core.handle(read);
    BOOST_TEST(core.status().at("evacuations").size() == 64U);
    BOOST_TEST(core.metrics().at("evacuations_ignored") == 36);
    BOOST_TEST(core.metrics().at("evacuations") == 64);
    sendRequest("/lookup/1");
    BOOST_TEST(dispatches.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(evacuations_codec)

namespace {

const evacuation inForce{{"z-a"}, true, (std::uint64_t{3} << 40U) | 17U, milliseconds{1200}};
const evacuation ended{{"z-b"}, false, 12, duration::max()};

template<class Message>
Message messageWith(std::vector<evacuation> evacuations)
{
    return {.from = {{"vm-1"}, 1}, .sequence = 1, .address = "127.0.0.1:7000", .dataCentre = {"dc-a"}, .evacuations = std::move(evacuations)};
}

void checkKnown(const std::vector<evacuation> &got)
{
    BOOST_REQUIRE(got.size() == 2U);
    BOOST_TEST(isSameKnowledge(got, {inForce, ended}));
    BOOST_TEST((got[0].age == milliseconds{1200}));
    BOOST_TEST((got[1].age == duration::max()));
}

} // namespace

BOOST_AUTO_TEST_CASE(evacuationsPassBetweenVms)
{
    const auto heartbeatMessage = decodeFleetMessage(encodeHeartbeat(messageWith<fleet_heartbeat>({inForce, ended})));
    BOOST_REQUIRE(heartbeatMessage.ok());
    checkKnown(std::get<fleet_heartbeat>(*heartbeatMessage).evacuations);
    const auto summary = decodeFleetMessage(encodeSummary(encodeSummaryBody(messageWith<fleet_summary>({inForce, ended})), 1, 1));
    BOOST_REQUIRE(summary.ok());
    checkKnown(std::get<fleet_summary>(*summary).evacuations);
    BOOST_TEST(std::get<fleet_summary>(*summary).leavingEndpoints.empty());
}

// The age is an upper bound, so that it is not rounded down.
BOOST_AUTO_TEST_CASE(agesAreRoundedUp)
{
    const auto decoded = decodeFleetMessage(encodeHeartbeat(messageWith<fleet_heartbeat>({{{"z-a"}, true, 1, std::chrono::microseconds{1001}}})));
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST((std::get<fleet_heartbeat>(*decoded).evacuations.front().age == milliseconds{2}));
}

// Guards against a build before this one that rejects the messages: the elements that it reads keep their places and types.
BOOST_AUTO_TEST_CASE(earlierElementsAreUnchanged)
{
    constexpr std::size_t totalsIndex = 7;
    const auto with = nlohmann::json::from_cbor(encodeHeartbeat(messageWith<fleet_heartbeat>({inForce})).substr(1));
    const auto without = nlohmann::json::from_cbor(encodeHeartbeat(messageWith<fleet_heartbeat>({})).substr(1));
    BOOST_REQUIRE(with.at(totalsIndex).size() == 6U);
    BOOST_TEST(with.at(totalsIndex).at(4).is_array());
    BOOST_TEST(with.at(totalsIndex).at(4).empty());
    for (std::size_t i = 0; i < without.at(totalsIndex).size(); ++i) {
        BOOST_TEST((with.at(totalsIndex).at(i) == without.at(totalsIndex).at(i)));
    }
}

BOOST_AUTO_TEST_CASE(malformedEvacuationsAreRefused)
{
    const auto long129 = std::string(129, 'a');
    for (const auto &name : {std::string{}, std::string("a b"), std::string("\xff"), long129}) {
        const auto decoded = decodeFleetMessage(encodeHeartbeat(messageWith<fleet_heartbeat>({{{name}, true, 1, duration::max()}})));
        BOOST_TEST((failureOf(decoded.status()) == failure::MalformedMessage));
    }
}

BOOST_AUTO_TEST_SUITE_END()
