// random histories of a fleet of relay cores against a simple oracle. endpoints answer, refuse, break or stay silent; heartbeats are lost;
// VMs end and start; keys and endpoints come and go. a failing history is printed with its seed.
#include <map>
#include <random>

#include <boost/test/unit_test.hpp>

#include "plantainpoint/relay_core.hpp"
#include "relay_fixture.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

constexpr int vmCount = 3;
constexpr int histories = 1000;
constexpr int stepsOfHistory = 250;
constexpr double rate = 40; // units a second
constexpr double burst = 40;

// what happened to one request of a caller
struct observed {
    repeat_policy policy = repeat_policy::Once;
    bool resumable = false;
    int runs = 0; // dispatches that an endpoint took
    int answers = 0; // final ones
    bool saidNotRun = false;
    bool callerDisconnected = false;
    std::vector<std::uint64_t> events; // ids that the caller got
    bool streamEnded = false;
};

struct open_dispatch {
    int vm = 0;
    std::string request;
    relay_dispatch command;
    bool headSent = false;
    std::uint64_t nextEvent = 1;
    std::string rest; // of an event whose first half was sent
};

class fleet_world
{
public:
    explicit fleet_world(unsigned seed)
        : m_random(seed)
    {
        m_clock.advance(std::chrono::hours{1});
        for (int i = 0; i < vmCount; ++i) {
            start(i);
        }
    }

    void run()
    {
        for (int i = 0; i < stepsOfHistory && problem.empty(); ++i) {
            step();
        }
        for (int i = 0; i < 60 && problem.empty(); ++i) {
            advance(milliseconds{100});
        }
        checkAtEnd();
    }

    std::string problem;

private:
    int pick(int count) { return std::uniform_int_distribution<int>(0, count - 1)(m_random); }
    void fail(const std::string &text) { problem = problem.empty() ? text : problem; }

    void start(int vm)
    {
        for (auto &[caller, id] : m_callers[vm]) {
            m_requests[id].callerDisconnected = true; // its connection ended
        }
        m_callers[vm].clear();
        std::erase_if(m_open, [&](const auto &each) { return each.vm == vm; });
        m_vms[vm] = std::make_unique<relay_core>(
            relay_settings{
                .self = {{"vm-" + std::to_string(vm)}, ++m_incarnation}, .dataCentre = {"dc-a"}, .peerAddress = address(vm), .directPrefillLimit = {}},
            m_clock);
        m_vms[vm]->handle(configuration_read{std::make_shared<const relay_config>(configuration())});
        m_told.at(vm) = m_withdrawn;
        m_vms[vm]->handle(directory());
        members_read members;
        for (int i = 0; i < vmCount; ++i) {
            members.members.push_back({{"vm-" + std::to_string(i)}, address(i)});
        }
        m_vms[vm]->handle(members);
        collect(vm);
    }

    static std::string address(int vm) { return "127.0.0.1:" + std::to_string(7000 + vm); }

    relay_config configuration() const
    {
        auto config = sampleRelayConfig(m_version);
        config.accounts[0].rate = rate;
        config.accounts[0].burst = burst;
        if (m_keyWithdrawn) {
            config.accounts[0].keys.clear();
        }
        return config;
    }

    directory_read directory() const
    {
        directory_read read{.whole = true, .position = m_position};
        const std::vector<relay_endpoint> all{endpointNamed("desk-1", "desk"),
                                              endpointNamed("desk-2", "desk"),
                                              endpointNamed("pre-1", "llm", endpoint_role::Prefill),
                                              endpointNamed("dec-1", "llm", endpoint_role::Decode),
                                              endpointNamed("dec-2", "llm", endpoint_role::Decode)};
        for (const auto &each : all) {
            if (each.name.value != m_withdrawn) {
                read.changed.push_back({each.name, each});
            }
        }
        return read;
    }

    void step()
    {
        const int action = pick(100);
        if (action < 35) {
            request(pick(vmCount));
        } else if (action < 75) {
            answerSomething();
        } else if (action < 90) {
            advance(milliseconds{pick(120)});
        } else if (action < 93) {
            leaveCaller(pick(vmCount));
        } else if (action < 95) {
            start(pick(vmCount));
        } else if (action < 97) {
            changeDirectory();
        } else if (action < 98) {
            m_heartbeatsCut = !m_heartbeatsCut;
        } else {
            changeKey();
        }
    }

    void request(int vm)
    {
        static const std::array<std::pair<const char *, repeat_policy>, 4> kinds{{{"/lookup/", repeat_policy::Idempotent},
                                                                                  {"/book/", repeat_policy::Once},
                                                                                  {"/draft/", repeat_policy::Stream},
                                                                                  {"/resume/", repeat_policy::Stream}}};
        const int kind = pick(4);
        const auto caller = ++m_lastCaller;
        auto payload = std::make_shared<relay_payload>();
        payload->id = "id-" + std::to_string(caller);
        payload->host = "shop.example";
        payload->target = kinds.at(kind).first;
        auto &seen = m_requests[payload->id];
        seen.policy = kinds.at(kind).second;
        seen.resumable = kind == 3;
        m_callers[vm][caller] = payload->id;
        relay_request message{.caller = caller, .payload = payload, .key = digestOf("k-acme"), .timeToDeadline = milliseconds{200 + pick(1500)}};
        if (seen.policy == repeat_policy::Stream) {
            message.tokens = token_count{500, 100, {}};
        }
        m_vms[vm]->handle(std::move(message));
        collect(vm);
    }

    // an endpoint does something with one of the dispatches that it has
    void answerSomething()
    {
        if (m_open.empty()) {
            return;
        }
        const auto at = m_open.begin() + pick(static_cast<int>(m_open.size()));
        const auto vm = at->vm;
        const int how = pick(10);
        if (at->command.kind == dispatch_kind::Prefill) {
            answerPrefill(at, how);
        } else if (at->command.streamed) {
            answerStream(at, how);
        } else {
            answerPlain(at, how);
        }
        collect(vm);
    }

    using open_iterator = std::vector<open_dispatch>::iterator;

    open_dispatch take(open_iterator at)
    {
        auto out = std::move(*at);
        m_open.erase(at);
        return out;
    }

    void answerPrefill(open_iterator at, int how)
    {
        const auto done = take(at);
        auto &core = *m_vms[done.vm];
        if (how < 7) {
            core.handle(prefill_reply{done.command.attempt, "h"});
        } else if (how < 9) {
            core.handle(relay_reply{.attempt = done.command.attempt, .status = 503, .notRun = true});
        } else {
            core.handle(relay_attempt_ended{done.command.attempt, reply_outcome::Broken});
        }
    }

    void answerPlain(open_iterator at, int how)
    {
        const auto done = take(at);
        auto &core = *m_vms[done.vm];
        auto &seen = m_requests[done.request];
        const auto attempt = done.command.attempt;
        if (how < 2) {
            core.handle(relay_reply{.attempt = attempt, .status = 503, .notRun = true});
        } else if (how < 3) {
            core.handle(relay_attempt_ended{attempt, reply_outcome::NotSent});
        } else if (how < 4) {
            core.handle(relay_reply{.attempt = attempt, .status = 421, .wrongEndpoint = true});
        } else {
            ++seen.runs;
            if (how < 6) {
                core.handle(relay_attempt_ended{attempt, how == 4 ? reply_outcome::Broken : reply_outcome::TimedOut});
            } else if (how < 7) {
                core.handle(relay_reply{.attempt = attempt, .status = 200, .body = "forged"});
            } else {
                core.handle(relay_reply{.attempt = attempt, .status = how == 7 ? 500 : 200, .body = "b", .genuine = true});
            }
        }
        checkRuns(seen, done.request);
    }

    void answerStream(open_iterator at, int how)
    {
        auto &core = *m_vms[at->vm];
        const auto attempt = at->command.attempt;
        if (!at->headSent && how < 2) {
            const auto done = take(at);
            core.handle(relay_reply{.attempt = attempt, .status = 503, .notRun = true});
            return;
        }
        if (!at->headSent) {
            at->headSent = true;
            at->nextEvent = at->command.resumeAfter.value_or(0) + 1;
            auto &seen = m_requests[at->request];
            ++seen.runs;
            checkRuns(seen, at->request);
            core.handle(stream_head{.attempt = attempt});
            return;
        }
        if (how < 7) {
            const auto event = "id: " + std::to_string(at->nextEvent++) + "\ndata: x\n\n";
            const auto cut = static_cast<std::size_t>(pick(static_cast<int>(event.size())));
            const auto bytes = std::exchange(at->rest, event.substr(cut)) + event.substr(0, cut);
            core.handle(stream_part{attempt, bytes});
            return;
        }
        const auto done = take(at);
        if (how < 9) {
            core.handle(relay_attempt_ended{attempt, reply_outcome::Broken});
        } else {
            core.handle(stream_part{attempt, done.rest});
            core.handle(relay_attempt_ended{attempt, reply_outcome::Complete});
        }
    }

    void checkRuns(const observed &seen, const std::string &id)
    {
        const bool once = seen.policy == repeat_policy::Once || (seen.policy == repeat_policy::Stream && !seen.resumable);
        if (once && seen.runs > 1) {
            fail(id + " ran more than once");
        }
        if (seen.runs > 2) {
            fail(id + " ran at more endpoints than its route allows");
        }
        if (once && seen.saidNotRun) {
            fail(id + " ran after its refusal");
        }
    }

    void leaveCaller(int vm)
    {
        if (m_callers[vm].empty()) {
            return;
        }
        const auto [caller, id] = *m_callers[vm].begin();
        m_requests[id].callerDisconnected = true;
        m_callers[vm].erase(caller);
        m_vms[vm]->handle(caller_disconnected{caller});
        collect(vm);
        if (std::any_of(m_open.begin(), m_open.end(), [&, key = id](const auto &each) { return each.request == key; })) {
            fail(id + " is still at an endpoint after its caller has gone");
        }
    }

    void changeDirectory()
    {
        static const std::array<std::string, 4> names{"", "desk-1", "dec-1", "pre-1"};
        m_withdrawn = names.at(static_cast<std::size_t>(pick(4)));
        ++m_position;
        for (int i = 0; i < vmCount; ++i) {
            collect(i); // what a heartbeat of another VM has made it send before it was told
            m_told.at(i) = m_withdrawn;
            m_vms[i]->handle(directory());
            collect(i);
        }
    }

    void changeKey()
    {
        m_keyWithdrawn = !m_keyWithdrawn;
        ++m_version;
        for (int i = 0; i < vmCount; ++i) {
            m_vms[i]->handle(configuration_read{std::make_shared<const relay_config>(configuration())});
            collect(i);
        }
    }

    void advance(duration by)
    {
        m_clock.advance(by);
        for (int i = 0; i < vmCount; ++i) {
            m_vms[i]->tick();
            collect(i);
        }
    }

    void collect(int vm)
    {
        for (auto &each : m_vms[vm]->take()) {
            std::visit([&](auto &command) { on(vm, command); }, each);
        }
    }

    void on(int vm, relay_dispatch &command)
    {
        if (command.endpoint.value == m_told.at(vm)) {
            fail(command.payload->id + " was sent to a withdrawn endpoint");
        }
        m_open.push_back({vm, command.payload->id, command, false, 1, {}});
    }
    void on(int vm, relay_abort &command)
    {
        std::erase_if(m_open, [&](const auto &each) { return each.vm == vm && each.command.attempt == command.attempt; });
    }
    void on(int vm, answer_plain &answer)
    {
        if (answer.body == "forged") {
            fail("an unstamped answer was passed on");
        }
        ended(vm, answer.caller);
    }
    void on(int vm, answer_failure &answer)
    {
        const auto id = m_callers[vm][answer.caller];
        auto &seen = m_requests[id];
        const bool notRun = answer.result == outcome::NotRun;
        const auto status = entryOf(answer.reason).httpStatus;
        if ((status == 429 || status == 503) && !notRun) {
            fail(id + " got a status that promises not run");
        }
        seen.saidNotRun = notRun;
        if (notRun && seen.runs > 0) {
            fail(id + " was called not run and had run");
        }
        ended(vm, answer.caller);
    }
    void on(int vm, answer_stream_bytes &answer)
    {
        auto &seen = m_requests[m_callers[vm][answer.caller]];
        if (!seen.resumable) {
            return; // passed on as it comes, cut anywhere
        }
        for (std::size_t at = answer.bytes.find("id: "); at != std::string::npos; at = answer.bytes.find("id: ", at + 1)) {
            seen.events.push_back(std::stoull(answer.bytes.substr(at + 4)));
        }
        for (std::size_t i = 1; i < seen.events.size(); ++i) {
            if (seen.events[i] != seen.events[i - 1] + 1) {
                fail("a stream lost or doubled an event");
            }
        }
    }
    void on(int vm, answer_stream_end &answer) { ended(vm, answer.caller); }
    void on(int vm, abort_answer &answer) { ended(vm, answer.caller); }
    void on(int /*vm*/, send_heartbeat &command)
    {
        for (int i = 0; i < vmCount && !m_heartbeatsCut; ++i) {
            if (address(i) == command.address && m_vms[i] && pick(10) > 0) {
                m_vms[i]->handle(*command.heartbeatMessage);
            }
        }
    }
    template<class Command>
    void on(int /*vm*/, Command & /*command*/)
    {
    }

    void ended(int vm, caller_id caller)
    {
        const auto found = m_callers[vm].find(caller);
        if (found == m_callers[vm].end()) {
            fail("an answer for a caller that has one or is gone");
            return;
        }
        if (++m_requests[found->second].answers > 1) {
            fail(found->second + " was answered twice");
        }
        m_callers[vm].erase(found);
    }

    void checkAtEnd()
    {
        for (const auto &[id, seen] : m_requests) {
            if (!seen.callerDisconnected && seen.answers != 1) {
                fail(id + " has no final answer");
            }
        }
        for (const auto &each : m_open) {
            fail(each.request + " is still at an endpoint after its end");
        }
    }

    std::mt19937 m_random;
    manual_clock m_clock;
    std::array<std::unique_ptr<relay_core>, vmCount> m_vms;
    std::array<std::map<caller_id, std::string>, vmCount> m_callers; // without a final answer
    std::map<std::string, observed> m_requests;
    std::vector<open_dispatch> m_open;
    std::string m_withdrawn;
    std::array<std::string, vmCount> m_told; // withdrawn endpoint, as each VM was told
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_version = 1;
    std::uint64_t m_position = 1;
    caller_id m_lastCaller = 0;
    bool m_keyWithdrawn = false;
    bool m_heartbeatsCut = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(relay_fuzz)

BOOST_AUTO_TEST_CASE(randomHistoriesKeepThePromises)
{
    for (unsigned seed = 1; seed <= histories; ++seed) {
        fleet_world world(seed);
        world.run();
        BOOST_TEST(world.problem.empty(), "seed " << seed << ": " << world.problem);
    }
}

BOOST_AUTO_TEST_SUITE_END()
