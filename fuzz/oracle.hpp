// sees every admission, dispatch, answer, cancel and publication of a simulated fleet and checks the guarantees P1 to P12 of docs/design.md
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plantainpoint/commands.hpp"
#include "plantainpoint/vm_core.hpp"

namespace plantainpoint::fuzz {

using std::chrono::milliseconds;
using std::chrono::seconds;

// bounds that docs/design.md states
inline constexpr duration orphanBound = seconds(10); // P1
inline constexpr duration withdrawalBound = seconds(5); // P5
inline constexpr duration drainBound = seconds(5); // P10
inline constexpr duration configurationBound = seconds(5); // P12

enum class call_kind : std::uint8_t {
    Completion,
    Lookup,
    OpenLookup,
    Booking,
    KeyedBooking,
};

// a request as its caller sees it
struct call_record {
    caller_id id = 0;
    call_kind kind = call_kind::Completion;
    int key = -1; // index of the key that came with it; -1: none
    std::optional<account_name> account; // to which the key belonged at some time
    std::string idempotencyKey;
    std::string prompt;
    std::int32_t wantedTokens = 0;
    vm_name vm;
    time_point sentAt{};
    std::optional<time_point> goneAt;
    bool vmDied = false; // its VM was killed or its connection was cut by the test
    std::optional<request_label> label;
    std::optional<time_point> admittedAt;
    std::vector<std::string> tokens;
    int terminalAnswers = 0;
    std::optional<failure> failed;
    std::optional<outcome> result;
    int dispatches = 0; // attempts that left the VM
    int runs = 0; // bookings that ran
};

// the test gives each start of a process a range of incarnations; a process that was dropped from the epoch takes the next one in its range
inline constexpr std::uint64_t incarnationsPerStart = 1000;

// token at a position of a request's answer
std::string expectedToken(const std::string &prompt, std::int32_t position);

class oracle
{
public:
    // --- what happened, in order of time

    void onCall(const call_record &call);
    void onCallerDisconnected(caller_id id, time_point at, bool vmDied);
    void onAdmitted(const request_admitted &event, time_point at);
    void onRelabelled(const request_relabelled &event);
    void onDispatch(const attempt_label &attempt, const endpoint_name &endpoint, const std::vector<header> &headers, const std::string &body, time_point at);
    void onRun(const attempt_label &attempt);
    // cutOff: a partition keeps the caller's VM from the log
    void onToken(const answer_token &token, bool cutOff, time_point at);
    void onDone(const answer_done &answer, time_point at);
    void onPlain(const answer_plain &answer, time_point at);
    void onFailure(const answer_failure &answer, time_point at);
    void onMemoryHeld(const endpoint_name &endpoint, const attempt_label &attempt, time_point at);
    void onMemoryFreed(const endpoint_name &endpoint, const attempt_label &attempt);
    void onKeyWithdrawn(int key, time_point at);
    void onKeyRestored(int key);
    // an outage of the log; a withdrawal or drain that no VM can have read before it counts from its end, and its publisher is told 'unknown'
    void onLogDown(time_point from, time_point until, duration readDelay);
    void onLimit(const account_name &account, rate_limit limit, time_point at);
    void onLeaving(const endpoint_name &endpoint, time_point at);
    void onReturned(const endpoint_name &endpoint);
    void onPublication(const service_name &service, std::uint64_t version, time_point at);
    void onApplied(const incarnation_id &vm, const service_name &service, std::uint64_t version, bool connected, time_point at);
    void onStopped(const vm_name &vm, time_point at);
    // a fault that delays repair has ended; the bound of P1 counts from here
    void onHealed(time_point at) { m_healedAt = at; }

    // --- checks, one function per guarantee; each adds to violations()

    void checkEngineMemory(time_point now); // P1
    void checkOneAnswer(const call_record &call); // P2
    void checkAccount(const call_record &call, const request_admitted &event); // P3
    void checkNoKeyLeaves(const std::vector<header> &headers, const std::string &body); // P4
    void checkWithdrawn(const call_record &call, time_point since, time_point at); // P5
    void checkRate(const account_name &account, time_point at); // P6
    void checkWholeAnswer(const call_record &call, const answer_done &answer); // P7
    void checkNotRun(const call_record &call); // P8
    void checkRunsOnce(const call_record &call); // P9
    void checkLeaving(const endpoint_name &endpoint, time_point at); // P10
    void checkShutdown(const vm_name &vm); // P11
    void checkConfiguration(const incarnation_id &vm, const service_name &service, std::uint64_t version, bool connected, time_point at); // P12

    const std::vector<std::string> &violations() const { return m_violations; }
    const std::map<caller_id, call_record> &calls() const { return m_calls; }
    void addKey(std::string text) { m_keys.push_back(std::move(text)); }

private:
    // exact bound of admissions: a token bucket that starts full and keeps the larger limit until a lowered one is in force
    struct bucket {
        rate_limit limit;
        std::int64_t fill = 0;
        time_point at{};
        std::vector<std::pair<time_point, rate_limit>> pending; // lowered limits and when they bind
    };

    struct held_memory {
        endpoint_name endpoint;
        attempt_label attempt;
    };

    call_record *callOf(const request_label &label);
    call_record *callOf(caller_id id);
    void violate(std::string_view guarantee, const std::string &what);
    static void refill(bucket &account, time_point at);

    std::map<caller_id, call_record> m_calls;
    std::map<request_label, caller_id> m_labels;
    std::map<std::pair<endpoint_name, attempt_label>, time_point> m_memory;
    std::map<int, time_point> m_withdrawn;
    std::map<account_name, bucket> m_buckets;
    std::map<endpoint_name, time_point> m_leaving;
    std::map<service_name, std::map<std::uint64_t, time_point>> m_published;
    std::map<std::pair<incarnation_id, service_name>, std::uint64_t> m_applied;
    std::map<std::string, int> m_keyedRuns;
    std::vector<std::string> m_keys;
    std::vector<std::string> m_violations;
    time_point m_healedAt{};
};

} // namespace plantainpoint::fuzz
