// Oracle of the stateful fuzz: follows every admission, dispatch, answer, cancel and publication of a simulated fleet and checks the guarantees P1 to P12
// of docs/design.md.
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

// Time bounds that docs/design.md states.
// P1: engine memory of a request is freed this long after the request ended or its caller disconnected.
inline constexpr duration orphanBound = seconds(10);
// P5: a withdrawn key is refused everywhere after this time.
inline constexpr duration withdrawalBound = seconds(5);
// P10: a leaving endpoint gets no new work after this time.
inline constexpr duration drainBound = seconds(5);
// P12: every connected VM has applied a published version after this time.
inline constexpr duration configurationBound = seconds(5);

enum class call_kind : std::uint8_t {
    Completion,
    Lookup,
    OpenLookup,
    Booking,
    KeyedBooking,
};

// A request as its caller sees it.
struct call_record {
    caller_id id = 0;
    call_kind kind = call_kind::Completion;
    int key = -1; // Index of the key that the request carries, or -1 if it carries none.
    std::optional<account_name> account; // The account to which the key belonged at some time.
    std::string idempotencyKey;
    std::string prompt;
    std::int32_t requestedTokens = 0;
    vm_name vm;
    time_point sentAt{};
    std::optional<time_point> disconnectedAt;
    bool vmKilled = false; // The test killed the VM or cut its connection.
    std::optional<request_label> label;
    std::optional<time_point> admittedAt;
    std::vector<std::string> tokens;
    int terminalAnswers = 0;
    std::optional<failure> failed;
    std::optional<outcome> result;
    int dispatches = 0; // Attempts that left the VM.
    int bookingRuns = 0; // Number of times that a service ran the booking.
};

// Number of incarnations that the test reserves for each start of a process. A process that was removed from the epoch takes the next one in its range.
inline constexpr std::uint64_t incarnationsPerStart = 1000;

// Returns the token at a position of a request's answer.
std::string expectedToken(const std::string &prompt, std::int32_t position);

class oracle
{
public:
    // Events, reported in the order of time.

    void onCall(const call_record &call);
    void onCallerDisconnected(caller_id id, time_point now, bool vmKilled);
    void onAdmitted(const request_admitted &event, time_point now);
    void onRelabelled(const request_relabelled &event);
    void onDispatch(const attempt_label &attempt, const endpoint_name &endpoint, const std::vector<header> &headers, const std::string &body, time_point now);
    void onBookingRun(const attempt_label &attempt);
    // `vmCutOff` states that a partition separates the caller's VM from the log.
    void onToken(const answer_token &token, bool vmCutOff, time_point now);
    void onAnswerDone(const answer_done &answer, time_point now);
    void onPlainAnswer(const answer_plain &answer, time_point now);
    void onAnswerFailure(const answer_failure &answer, time_point now);
    void onMemoryHeld(const endpoint_name &endpoint, const attempt_label &attempt, time_point now);
    void onMemoryFreed(const endpoint_name &endpoint, const attempt_label &attempt);
    void onKeyWithdrawn(int key, time_point now);
    void onKeyRestored(int key);
    // Reports an outage of the log. The bound of a withdrawal or drain that no VM can have read before the outage starts at its end, and its publisher gets
    // the result 'unknown'.
    void onLogOutage(time_point from, time_point until, duration readDelay);
    void onLimitPublished(const account_name &account, rate_limit limit, time_point now);
    void onLeaving(const endpoint_name &endpoint, time_point now);
    void onReturned(const endpoint_name &endpoint);
    void onPublication(const service_name &service, std::uint64_t version, time_point now);
    void onApplied(const incarnation_id &vm, const service_name &service, std::uint64_t version, bool connected, time_point now);
    void onStopped(const vm_name &vm, time_point now);
    // Reports the end of a fault that delays the repair. The bounds of P1 (orphaned engine memory), P5 (running answers) and P12 start again here.
    void onFaultsEnded(time_point now) { m_faultsEndedAt = now; }

    // Checks, one function per guarantee. Each adds to violations().

    void checkEngineMemory(time_point now); // P1: engine memory is freed in time.
    void checkOneTerminalAnswer(const call_record &call); // P2: a caller gets one terminal answer.
    void checkAccount(const call_record &call, const request_admitted &event); // P3: a request is admitted for the client account of its key.
    void checkNoKeyForwarded(const std::vector<header> &headers, const std::string &body); // P4: no key reaches an endpoint.
    void checkWithdrawnKey(const call_record &call, time_point since, time_point now); // P5: no request is served with a withdrawn key.
    void checkRate(const account_name &account, time_point now); // P6: an account stays within its rate and burst.
    void checkCompleteAnswer(const call_record &call, const answer_done &answer); // P7: an answer is complete and correct.
    void checkNotRunOutcome(const call_record &call); // P8: a request reported as 'not run' was never dispatched.
    void checkRunsOnce(const call_record &call); // P9: a booking runs at most once.
    void checkDrain(const endpoint_name &endpoint, time_point now); // P10: a leaving endpoint gets no new work.
    void checkShutdown(const vm_name &vm); // P11: a graceful shutdown answers all admitted requests first.
    // P12: a VM never goes back to an older version and applies new ones in time.
    void checkConfiguration(const incarnation_id &vm, const service_name &service, std::uint64_t version, bool connected, time_point now);

    const std::vector<std::string> &violations() const { return m_violations; }
    const std::map<caller_id, call_record> &calls() const { return m_calls; }
    void addKey(std::string text) { m_secretTexts.push_back(std::move(text)); }

private:
    // Exact bound of the admissions of an account: a token bucket that starts full and keeps the larger limit until a lowered limit is in force.
    struct bucket {
        rate_limit limit;
        std::int64_t level = 0;
        time_point updatedAt{};
        std::vector<std::pair<time_point, rate_limit>> pending; // Changed limits, each with the time from which it binds.
    };

    struct held_memory {
        endpoint_name endpoint;
        attempt_label attempt;
    };

    call_record *findCall(const request_label &label);
    call_record *findCall(caller_id id);
    void addViolation(std::string_view guarantee, const std::string &description);
    static void refill(bucket &accountBucket, time_point now);

    std::map<caller_id, call_record> m_calls;
    std::map<request_label, caller_id> m_labelledCalls;
    std::map<std::pair<endpoint_name, attempt_label>, time_point> m_heldMemory;
    std::map<int, time_point> m_withdrawnAt;
    std::map<account_name, bucket> m_buckets;
    std::map<endpoint_name, time_point> m_leavingSince;
    std::map<service_name, std::map<std::uint64_t, time_point>> m_published;
    std::map<std::pair<incarnation_id, service_name>, std::uint64_t> m_applied;
    std::map<std::string, int> m_keyedRuns;
    std::vector<std::string> m_secretTexts;
    std::vector<std::string> m_violations;
    time_point m_faultsEndedAt{};
};

} // namespace plantainpoint::fuzz
