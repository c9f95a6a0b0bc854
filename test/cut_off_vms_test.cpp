// Plays fleets in which some VMs cannot connect to the endpoints any more while callers, the directory and the other VMs still reach them.
#include <map>
#include <set>

#include <boost/test/unit_test.hpp>

#include "simulated_fleet.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

using std::chrono::seconds;

constexpr duration stableTime = seconds{3}; // From the begin of the cut until the rule binds.
constexpr duration cutTime = seconds{12};
constexpr int openConnections = 3; // That a VM has to each endpoint when the cut begins.

// What happens to connections of VMs that are cut off.
enum class cut_kind : std::uint8_t {
    Reset, // Open ones and new ones are reset.
    Silent, // Open ones and new ones get no answer.
    Refused, // Open ones live on, and new ones are reset.
};

struct cut_play {
    cut_play(int vmsPerDataCentre, int dataCentres, cut_kind cutKind)
        : fleet({.vmsPerDataCentre = vmsPerDataCentre, .dataCentres = dataCentres, .seed = 1})
        , kind(cutKind)
    {
        fleet.connectFailureTime = kind == cut_kind::Silent ? milliseconds{250} : milliseconds{1};
        fleet.reaches = [this](std::size_t index, const endpoint_name &name) { return !isCut(index) || spared.contains(name); };
        fleet.onDispatch = [this](std::size_t index, const relay_dispatch &dispatch) { onDispatch(index, dispatch); };
        fleet.onFailure = [this](const answer_failure &failed) { onFailure(failed); };
        fleet.onAnswer = [this](caller_id caller) { served.insert(caller); };
    }

    void start()
    {
        auto config = sampleRelayConfig();
        config.accounts.front().rate = 1e7;
        config.accounts.front().burst = 1e7;
        fleet.publish(config);
        for (int i = 1; i <= 4; ++i) {
            announce("desk-" + std::to_string(i), "desk", endpoint_role::Plain, i);
            announce("dec-" + std::to_string(i), "llm", endpoint_role::Decode, i + 4);
        }
        fleet.startAll();
        fleet.runFor(seconds{6});
    }

    void announce(const std::string &name, const std::string &service, endpoint_role role, int number)
    {
        auto endpoint = endpointNamed(name, service, role);
        endpoint.dataCentre = {"dc-" + std::to_string(number % 3)};
        endpoint.address = "10.9.0." + std::to_string(number) + ":8000";
        endpoint.slots = 400;
        fleet.announce(endpoint);
    }

    bool isCut(std::size_t index) const { return cut.contains(index); }

    void cutOff(std::set<std::size_t> indexes)
    {
        cut = std::move(indexes);
        cutAt = fleet.now();
        connectionsLeft.clear();
        if (kind != cut_kind::Reset) {
            return;
        }
        for (const auto &[key, dispatch] : open) {
            if (isCut(key.first) && dispatch.proxy.empty()) {
                fleet.schedule({}, [this, key = key] { finish(key.first, relay_attempt_ended{key.second, reply_outcome::Broken}, key.second); });
            }
        }
    }

    // Returns whether the dispatch goes out on a connection that was open when the cut began.
    bool usesOpenConnection(std::size_t index, const relay_dispatch &dispatch)
    {
        if (dispatch.newConnection || !dispatch.proxy.empty()) {
            return false;
        }
        auto &left = connectionsLeft.try_emplace({index, dispatch.endpoint}, openConnections).first->second;
        return kind != cut_kind::Reset && left-- > 0;
    }

    void onDispatch(std::size_t index, const relay_dispatch &dispatch)
    {
        open[{index, dispatch.attempt}] = dispatch;
        if (!dispatch.proxy.empty()) {
            ++proxied;
        }
        if (isCut(index) && usesOpenConnection(index, dispatch)) {
            if (kind == cut_kind::Refused) {
                answer(index, dispatch);
            }
            return; // A silent connection brings nothing.
        }
        const auto result = fleet.connect(index, dispatch.endpoint, dispatch.endpointStartedAt, dispatch.proxy);
        if (result == probe_result::Reached) {
            answer(index, dispatch);
            return;
        }
        if (dispatch.proxy.empty()) {
            connectionsLeft[{index, dispatch.endpoint}] = 0;
        }
        const auto outcome = result == probe_result::Unreachable ? reply_outcome::NotSent : reply_outcome::ProxyFailed;
        fleet.schedule(fleet.connectFailureTime, [this, index, dispatch, outcome] {
            finish(index, relay_attempt_ended{dispatch.attempt, outcome}, dispatch.attempt);
        });
    }

    void answer(std::size_t index, const relay_dispatch &dispatch)
    {
        fleet.schedule(milliseconds{5 + fleet.randomBelow(20)}, [this, index, dispatch] {
            // A connection that is cut meanwhile brings nothing more.
            if (isCut(index) && dispatch.proxy.empty() && kind == cut_kind::Silent && !spared.contains(dispatch.endpoint)) {
                return;
            }
            if (!dispatch.streamed) {
                finish(index, relay_reply{.attempt = dispatch.attempt, .status = 200, .body = "b", .genuine = true}, dispatch.attempt);
                return;
            }
            fleet.deliver(index, stream_head{.attempt = dispatch.attempt});
            fleet.deliver(index, stream_part{dispatch.attempt, "id: 1\ndata: a\n\n"});
            fleet.schedule(milliseconds{60}, [this, index, dispatch] {
                finish(index, relay_attempt_ended{dispatch.attempt, reply_outcome::Complete}, dispatch.attempt);
            });
        });
    }

    void finish(std::size_t index, relay_input message, attempt_number attempt)
    {
        if (open.erase({index, attempt}) > 0) {
            fleet.deliver(index, std::move(message));
        }
    }

    void onFailure(const answer_failure &failed) { refusals[failed.caller] = {fleet.now(), failed.retryAfter.has_value()}; }

    // Sends lookups, bookings and streams to random VMs.
    void load(duration time, int perSecond)
    {
        constexpr std::array targets{"/lookup/1", "/book/1", "/draft/1", "/lookup/2"};
        const auto end = fleet.now() + time;
        while (fleet.now() < end) {
            fleet.runFor(std::chrono::microseconds{1'000'000 / perSecond});
            const auto index = static_cast<std::size_t>(fleet.randomBelow(static_cast<int>(fleet.vms.size())));
            if (!fleet.vms[index].core || fleet.vms[index].frozen) {
                continue;
            }
            const std::string target = targets.at(static_cast<std::size_t>(fleet.randomBelow(4)));
            const auto at = fleet.now();
            const auto caller = target == "/draft/1" ? fleet.submitStream(index, target, "", {}) : fleet.submit(index, target);
            sent[caller] = {index, at, isCut(index)};
        }
    }

    struct share {
        std::size_t asked = 0;
        std::size_t served = 0;
        double ratio() const { return asked == 0 ? 1 : static_cast<double>(served) / static_cast<double>(asked); }
    };
    share shareOf(bool atCutVms, time_point from, time_point until) const
    {
        share out;
        for (const auto &[caller, request] : sent) {
            if (request.wasCut == atCutVms && request.at >= from && request.at < until) {
                ++out.asked;
                out.served += served.contains(caller) ? 1 : 0;
            }
        }
        return out;
    }

    // Checks the rule from when it binds to the end of the cut.
    void check(const std::string &what) const
    {
        const auto cutShare = shareOf(true, cutAt + stableTime, cutAt + cutTime);
        const auto others = shareOf(false, cutAt + stableTime, cutAt + cutTime);
        const auto failed = cutShare.asked - cutShare.served;
        BOOST_TEST_MESSAGE(what << ": VMs that are cut off served " << cutShare.served << " of " << cutShare.asked << ", the others " << others.served << " of "
                                << others.asked);
        BOOST_TEST(cutShare.asked > 20U);
        const bool isFar = cutShare.ratio() < others.ratio() * 2 / 3;
        BOOST_TEST(!isFar,
                   what << ": VMs that are cut off served " << cutShare.served << " of " << cutShare.asked << ", the others " << others.served << " of "
                        << others.asked);
        BOOST_TEST(failed <= 10 + (cutShare.asked + others.asked) / 50, what << ": " << failed << " first tries failed at VMs that are cut off");
    }

    struct request {
        std::size_t index = 0;
        time_point at{};
        bool wasCut = false;
    };
    struct refusal {
        time_point at{};
        bool hasRetryAfter = false;
    };

    simulated_fleet fleet;
    cut_kind kind;
    std::set<std::size_t> cut;
    std::set<endpoint_name> spared; // Endpoints that all VMs reach.
    time_point cutAt{};
    std::map<std::pair<std::size_t, endpoint_name>, int> connectionsLeft;
    std::map<std::pair<std::size_t, attempt_number>, relay_dispatch> open;
    std::map<caller_id, request> sent;
    std::map<caller_id, refusal> refusals;
    std::set<caller_id> served;
    std::size_t proxied = 0;
};

constexpr std::array kinds{std::pair{cut_kind::Reset, "reset"}, std::pair{cut_kind::Silent, "silent"}, std::pair{cut_kind::Refused, "refused"}};

std::set<std::size_t> range(std::size_t from, std::size_t until)
{
    std::set<std::size_t> out;
    for (auto i = from; i < until; ++i) {
        out.insert(i);
    }
    return out;
}

void play(int vmsPerDataCentre, int dataCentres, const std::set<std::size_t> &cut, int perSecond, const std::string &what)
{
    for (const auto &[kind, name] : kinds) {
        cut_play each(vmsPerDataCentre, dataCentres, kind);
        each.start();
        each.load(seconds{2}, perSecond);
        each.cutOff(cut);
        each.load(cutTime, perSecond);
        each.fleet.runFor(seconds{2});
        each.check(what + ", " + name);
        // The way back: no proxy is used once the cut has ended.
        each.cut.clear();
        each.load(seconds{2}, perSecond);
        const auto before = each.proxied;
        const auto from = each.fleet.now();
        each.load(seconds{3}, perSecond);
        each.fleet.runFor(seconds{2});
        BOOST_TEST(each.proxied == before, what << ", " << name << ": " << each.proxied - before << " requests pass through proxies after the cut");
        BOOST_TEST(each.shareOf(false, from, each.fleet.now()).ratio() > 0.99);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(cut_off_vms)

BOOST_AUTO_TEST_CASE(oneOf7Vms)
{
    play(7, 1, {2}, 120, "one of 7 VMs");
}

BOOST_AUTO_TEST_CASE(mostOf7Vms)
{
    play(7, 1, range(0, 5), 120, "five of 7 VMs");
}

BOOST_AUTO_TEST_CASE(oneOf60Vms)
{
    play(20, 3, {25}, 600, "one of 60 VMs");
}

BOOST_AUTO_TEST_CASE(mostOfADataCentreOf60Vms)
{
    play(20, 3, range(22, 40), 600, "18 of 20 VMs of a data centre");
}

BOOST_AUTO_TEST_CASE(allOfADataCentreOf60Vms)
{
    play(20, 3, range(20, 40), 600, "a data centre of 20 VMs");
}

BOOST_AUTO_TEST_CASE(threeOf295Vms)
{
    play(59, 5, {20, 100, 200}, 900, "three of 295 VMs");
}

BOOST_AUTO_TEST_CASE(mostOfADataCentreOf295Vms)
{
    play(59, 5, range(65, 118), 450, "53 of 59 VMs of a data centre");
}

BOOST_AUTO_TEST_CASE(allOfADataCentreOf295Vms)
{
    play(59, 5, range(59, 118), 450, "a data centre of 59 VMs");
}

// Guards against VMs that all ask each other in vain while callers wait.
BOOST_AUTO_TEST_CASE(allVmsRefuseAtOnce)
{
    for (const auto &[kind, name] : kinds) {
        cut_play each(7, 1, kind);
        each.start();
        each.load(seconds{2}, 120);
        each.cutOff(range(0, 7));
        each.load(seconds{8}, 120);
        each.fleet.runFor(seconds{2});
        std::size_t asked = 0;
        std::size_t late = 0;
        for (const auto &[caller, request] : each.sent) {
            if (request.wasCut && request.at >= each.cutAt + stableTime && !each.served.contains(caller)) {
                ++asked;
                const auto refused = each.refusals.find(caller);
                const bool isEarly = refused != each.refusals.end() && refused->second.at - request.at <= milliseconds{600};
                late += isEarly && refused->second.hasRetryAfter ? 0 : 1;
            }
        }
        BOOST_TEST(asked > 100U);
        BOOST_TEST(late <= asked / 20, name << ": " << late << " of " << asked << " requests were refused late or without a time to come back");
        each.cut.clear();
        each.load(seconds{2}, 120);
        const auto from = each.fleet.now();
        each.load(seconds{3}, 120);
        each.fleet.runFor(seconds{2});
        BOOST_TEST(each.shareOf(false, from, each.fleet.now()).ratio() > 0.99);
    }
}

// Guards against a VM that is cut off and tells the others that sound endpoints have crashed.
BOOST_AUTO_TEST_CASE(cutOffVmsReportNoCrashes)
{
    cut_play each(4, 1, cut_kind::Reset);
    each.start();
    each.load(seconds{2}, 240);
    each.cutOff(range(0, 3));
    each.load(cutTime, 240);
    for (std::size_t i = 0; i < each.fleet.vms.size(); ++i) {
        const auto crashes = each.fleet.vms[i].core->metrics().at("endpoint_crashes").get<int>();
        BOOST_TEST(crashes == 0, "vm " << i << " has seen " << crashes << " crashes");
    }
}

// Guards against endpoints that are sought through proxies although they are down.
BOOST_AUTO_TEST_CASE(anEndpointThatIsDownIsNoLostWay)
{
    cut_play each(7, 1, cut_kind::Reset);
    each.start();
    each.load(seconds{2}, 120);
    each.fleet.listens = [](const endpoint_name &name) { return name.value != "desk-1"; };
    each.fleet.reaches = [&](std::size_t, const endpoint_name &name) { return each.fleet.listens(name); };
    const auto from = each.fleet.now();
    each.load(seconds{6}, 120);
    each.fleet.runFor(seconds{2});
    BOOST_TEST(each.proxied < 10U);
    BOOST_TEST(each.shareOf(false, from, each.fleet.now()).ratio() > 0.99);
}

// A VM reaches one endpoint of each service by itself.
BOOST_AUTO_TEST_CASE(aCutFromMostEndpoints)
{
    for (const auto &[kind, name] : kinds) {
        cut_play each(7, 1, kind);
        each.spared = {{"desk-1"}, {"dec-1"}};
        each.start();
        each.load(seconds{2}, 120);
        each.cutOff({2, 3});
        each.load(cutTime, 120);
        each.fleet.runFor(seconds{2});
        each.check(std::string("a cut from most endpoints, ") + name);
    }
}

// Proxies that freeze, are killed or are cut off in their turn while they are used.
BOOST_AUTO_TEST_CASE(proxiesThatAreLost)
{
    for (const auto &[kind, name] : kinds) {
        cut_play each(7, 1, kind);
        each.start();
        each.load(seconds{2}, 120);
        each.cutOff({0, 1});
        each.load(seconds{4}, 120);
        each.fleet.kill(2);
        each.load(seconds{2}, 120);
        each.fleet.vms[3].frozen = true;
        each.load(seconds{3}, 120);
        each.cut.insert(4);
        each.load(seconds{3}, 120);
        each.fleet.runFor(seconds{2});
        const auto cutShare = each.shareOf(true, each.cutAt + stableTime, each.cutAt + cutTime);
        BOOST_TEST(cutShare.ratio() > 0.9, name << ": served " << cutShare.served << " of " << cutShare.asked);
    }
}

BOOST_AUTO_TEST_SUITE_END()
