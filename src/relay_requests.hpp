// Requests that a relay VM holds, from their arrival to their final answer.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "endpoint_directory.hpp"
#include "endpoint_ways.hpp"
#include "evacuations.hpp"
#include "event_splitter.hpp"
#include "fleet_limiter.hpp"
#include "fleet_view.hpp"
#include "home_regions.hpp"
#include "placer.hpp"
#include "plantainpoint/relay_core.hpp"
#include "record_keepers.hpp"
#include "relay_machine.hpp"
#include "relay_metrics.hpp"
#include "relay_placement.hpp"
#include "request_quarantine.hpp"
#include "retry_budget.hpp"
#include "role_planner.hpp"
#include "route_table.hpp"
#include "stream_ends.hpp"
#include "stream_versions.hpp"

namespace plantainpoint {

// Tables that the handlers of a relayed request share.
struct relay_components {
    relay_components(relay_settings relaySettings, const clock_source &clockSource);

    void logMessage(severity level, log_component component, std::string text)
    {
        commands.push_back(log_line{level, component, std::nullopt, std::move(text)});
    }
    // Sets the part of the limits that this VM grants.
    void setLimitShare(const limit_share &share);

    relay_settings settings;
    const clock_source &clock;
    engine_speeds speeds;
    std::shared_ptr<const route_table> routes; // It is null until a configuration is known.
    endpoint_directory endpoints;
    evacuations evacuated;
    fleet_view fleet;
    endpoint_ways ways;
    fleet_limiter limiter;
    request_quarantine quarantine;
    stream_versions versions;
    role_planner planner;
    placer placement;
    relay_metrics metrics;
    std::vector<relay_command> commands;
    bool shuttingDown = false;
    time_point resumedAt{}; // End of the last suspension of this VM.
};

// A dispatch that has not ended.
struct relay_attempt {
    attempt_number number = 0;
    endpoint_name endpoint;
    std::uint64_t announcements = 0; // Of the endpoint, at the dispatch.
    std::int64_t endpointStartedAt = 0; // Start of the endpoint's run, at the dispatch.
    software_version version; // Of that run.
    std::string proxy; // Address of the VM through which it was sent, or empty.
    dispatch_kind kind = dispatch_kind::Plain;
    time_point sentAt{};
    // Time at which the request fails over to another endpoint, if one has room.
    std::optional<time_point> failoverAt;
    std::optional<answer_framing> framing; // Set when a stream begins.
    std::optional<stream_head> heldHead; // Head of the answer, until the request is certain to stay with this attempt.
    std::optional<time_point> headAt;
    event_splitter splitter;
    std::uint64_t events = 0; // Whole events of the stream, without comments.
    std::uint64_t lastEvent = 0; // Digest of the last one, if the end of the stream is not marked or it may resume.
    std::optional<std::uint64_t> lastId; // Of the last event with an id.
    time_point lastBytesAt{}; // Arrival of the last bytes of the stream.
    std::optional<time_point> firstEventAt;
    std::optional<prefill_source> source; // Prefill result that the endpoint fetches.
};

// An ask for a place that the hub has not granted yet.
struct open_ask {
    std::uint64_t number = 0;
    vm_name hub;
    std::string hubAddress;
    time_point sentAt{};
    bool queued = false; // The hub has answered that a grant follows.
    // Endpoints that took no work when it was sent. The hub keeps it from them for as long as it waits.
    std::vector<endpoint_name> avoided;
    std::optional<time_point> avoidsUntil; // Time at which the first of them takes work again, as far as this VM knows.
};

// The end of an answer that nothing but the end of its connection marked.
struct unmarked_end {
    endpoint_name endpoint;
    std::int64_t endpointStartedAt = 0;
    software_version endpointVersion;
    time_point at{};
    std::uint64_t events = 0;
    stream_end shape{}; // It is empty without an event.
    std::optional<end_check> check; // What a connection to the endpoint has shown.
    std::optional<end_check> askedCheck; // What a connection to the endpoint that was asked last has shown, after its answer.
    time_point askedEndAt{}; // End of its answer, if nothing marked it.
    duration checkTime{}; // Of the last check.
    std::optional<end_doubt> doubt; // Set when the end has been decided on.
    bool isRecorded = false; // The history of the service has it as one that others may have shared.
    bool isAsked = false; // Another endpoint is asked for what follows the last event.
    bool wasAsked = false; // One has been asked.
    std::optional<time_point> dueAt; // Time of the next decision, if none is to be awaited.
};

// The search for the version that began a stream that is taken up.
struct version_lookup {
    std::uint64_t ask = 0; // Number of the ask to other VMs.
    std::optional<time_point> answersUntil; // Set while answers of other VMs are awaited.
    time_point asksUntil{}; // Other VMs and the directory are asked again until then.
    std::set<data_centre_name> deniedBy; // Data centres of which a hub that would keep a record of the stream keeps none.
    std::optional<std::set<data_centre_name>> shared; // Data centres with several VMs, which keep each other's records. Unknown without an answer.
    std::optional<bool> readSucceeded; // Set when the read of the directory has ended.

    // Returns whether the VMs that would keep a record of the stream keep none.
    bool isDenied() const { return !deniedBy.empty() && shared && std::includes(deniedBy.begin(), deniedBy.end(), shared->begin(), shared->end()); }
};

struct relay_entry {
    relay_request request;
    std::shared_ptr<const route_table> table; // The table keeps the route and the account alive.
    const relay_route *route = nullptr;
    const relay_account *account = nullptr; // It is null on an open route without a key.
    service_name service;
    request_traits partTraits; // Traits of the parts of its prompt, sorted.
    bool answerRecorded = false; // An endpoint has written on it for a while, and this has been recorded.
    double units = 0; // Units that were taken from the account's limit.
    std::optional<time_point> limitRetryAt; // Set while the request waits for its account's limit.
    bool limitChecked = false; // By a VM that knows the admissions of the others.
    time_point arrivedAt{};
    time_point deadline{};
    time_point queuedAt{}; // Begin of the last wait for a place.
    relay_machine machine;
    std::optional<open_ask> ask;
    std::optional<relay_attempt> attempt;
    // An attempt whose endpoint is silent. It stays open while `attempt` tries another endpoint.
    std::optional<relay_attempt> overdueAttempt;
    std::optional<attempt_number> reservation; // Slot at the decode endpoint while the prefill endpoint reads the prompt.
    endpoint_name reservationEndpoint;
    bool reservationWasCold = false; // The slot was reserved with a permit of a cold endpoint.
    std::optional<prefill_source> source; // Prefill result that no decode endpoint has fetched.
    time_point prefilledAt{};
    std::set<endpoint_name> triedEndpoints; // Endpoints that the next attempt avoids.
    std::set<std::string> usedAddresses; // Addresses to which an attempt was sent. Two endpoints have one address when one starts again under a new name.
    endpoint_name lastEndpoint;
    std::int32_t runs = 0; // Dispatches that an endpoint may have run.
    std::int32_t dispatches = 0; // Dispatches other than the first prefill, without those of which nothing was sent.
    std::int32_t unsent = 0; // Dispatches of which nothing was sent.
    bool prefillTried = false;
    std::optional<time_point> placedAt; // Time of the first dispatch.
    std::optional<time_point> firstEventAt;
    time_point lastPartAt{}; // Time of the last whole event.
    duration longestGap{}; // Longest pause between two events.
    std::optional<std::uint64_t> lastEventId; // Last event that the caller has.
    std::string_view knowledge; // What the choice of its last place rested on. Empty if it had none.
    bool headSent = false;
    std::optional<relay_reply> heldReply; // Answer whose end is being checked.
    std::optional<unmarked_end> unmarkedEnd; // Of the last attempt, until the stream goes on.
    bool isUnmarked = false; // Nothing but the end of the connection marked the end of the answer, which is no stream.
    std::string mediaType; // Of the head that the caller has.
    std::optional<software_version> version; // Version that began the stream, which no other one may go on with.
    std::optional<version_lookup> lookup; // Set while the version is being looked up.
    std::optional<version_source> versionSource; // Set when the request takes a stream up whose version has been found.
    std::string heldBytes; // Events that wait for the record of the stream.
    time_point heldSince{};
    std::optional<time_point> heldUntil; // Time of the next decision on the held events. Set while events are held.

    // Returns whether the attempt only finds out whether the stream goes on.
    bool isAskingForRest() const { return unmarkedEnd && unmarkedEnd->isAsked; }
    // Returns whether a decision on the end of the stream is due at a time.
    bool waitsForProof() const { return unmarkedEnd && unmarkedEnd->dueAt; }
    // Returns whether the request takes up a stream that broke off.
    bool takesUpStream() const { return isStream() && route->resumable && (!request.resumes.empty() || request.resumeAfter); }
    request_purpose purpose() const { return takesUpStream() ? request_purpose::TakesUp : request_purpose::New; }
    bool isStream() const { return route->policy == repeat_policy::Stream; }
    // Returns whether the request may run once more after an attempt whose outcome is unknown. A stream whose events have no ids would begin again.
    bool canRepeat() const { return route->policy == repeat_policy::Idempotent || (isStream() && route->resumable && (!firstEventAt || lastEventId)); }
};

// Returns the whole milliseconds for a log line.
std::string millisText(duration value);

// Returns the time at which an ask is due for a check.
time_point askDueAt(const open_ask &ask);

class relay_requests
{
public:
    explicit relay_requests(relay_components &components);

    void on(relay_request request);
    void on(const caller_disconnected &message);
    void on(relay_reply reply);
    void on(prefill_reply reply);
    void on(stream_head head);
    void on(const stream_part &part);
    void on(const relay_attempt_ended &message);
    void on(const placement_ask &ask);
    void on(const placement_grant &grant);
    void on(const endpoint_checked &checked);
    void on(const endpoint_probed &probe);
    void on(const answer_end_checked &checked);
    void on(const proxies_named &message) { m_components.ways.onProxiesNamed(message.addresses); }
    void on(const stream_records_read &read);
    void on(const stream_records_appended &appended);
    void on(const record_keeping_ask &ask);
    void on(const record_keeping_answer &answer);
    void on(const stream_origin_ask &ask);
    void on(const stream_origin_answer &answer);
    void on(const default_versions_set &message);
    void on(const stream_records_lost &message);
    // Looks for lost answers that an announcement of an endpoint explains.
    void onAnnounced(const relay_endpoint &endpoint);

    // Ends the requests that are quarantined and that no endpoint has begun to answer.
    void refuseQuarantined();
    // Ends the streams that wait for an endpoint of a version that has none left, and the requests whose homes have no endpoint left.
    void refuseGoneVersions();
    // Forgets records of streams that nobody takes up any more.
    void forgetRecords(time_point now);
    // Stores the records of streams that have begun, and reads what this VM has to know of versions.
    void exchangeVersions(time_point now);
    // Places waiting requests after a change of the endpoints or of their load.
    void placeWaiting();
    // Returns the time at which overdue answers are looked for, or nothing without open attempts.
    std::optional<time_point> silenceCheckAt() const { return m_silenceCheckAt; }
    // Looks for lost ways to endpoints, and for those that are back.
    void probeWays(time_point now);
    // Acts on deadlines and on attempts that are overdue.
    void tick(time_point now);
    std::optional<time_point> nextWakeup() const;
    // Returns whether the endpoint of an attempt still takes requests, in the run that was chosen.
    bool maySend(attempt_number number);
    // Refuses the requests that no endpoint has had.
    void refuseWaiting(std::string_view detail);
    // Refuses the requests that wait for endpoints whose data centres are all evacuated.
    void refuseEvacuated();
    // Places the requests that waited because no endpoint was to get one.
    void placeHeld();
    // Answers every open request with a failure.
    void failAll(std::string_view detail);
    std::size_t open() const { return m_entries.size(); }
    // Returns the requests that wait for a place, here or at the hub.
    std::size_t waiting() const { return m_components.placement.waitingLocally() + m_asks.size(); }
    std::vector<waiting_count> waitingByService() const;
    // Changes with the open work at the endpoints.
    std::uint64_t workVersion() const { return m_workVersion; }

private:
    using entry_ptr = std::unique_ptr<relay_entry>;
    struct open_check {
        int triesLeft = 6; // With other proxies. Most of the VMs may be cut off.
        bool proxyReached = false; // A proxy has connected to the endpoint.
    };

    // Admission.
    const relay_account *authorise(const relay_request &request, const relay_route &route);
    static double unitsOf(const relay_entry &entry);
    std::optional<duration> admit(relay_entry &entry);
    bool admitAlone(relay_entry &entry);
    void begin(relay_entry &entry);
    bool mayWaitForLimit(const relay_entry &entry, duration wait) const;
    duration waitBehindOthers(const relay_entry &entry) const;
    void waitForLimit(relay_entry &entry, duration wait);
    void endLimitWait(relay_entry &entry);
    void onLimitDue(relay_entry &entry);
    void waitForLimitOrRefuse(relay_entry &entry, duration wait, std::string_view detail);
    void refuseOverLimit(relay_entry &entry, duration wait, std::string_view detail);
    bool refuseQuarantined(const relay_entry &entry);
    void refuse(caller_id caller, const relay_payload &payload, failure reason, std::optional<duration> retryAfter, std::string_view detail);

    // Placement.
    static bool isModelRequest(const relay_entry &entry);
    placement_request placementRequestOf(const relay_entry &entry) const;
    bool place(relay_entry &entry);
    void recordChoice(const model_placement &placement) { ++m_components.metrics.choices[std::string(nameOf(placement.knowledge))]; }
    void apply(relay_entry &entry, const model_placement &placement);
    void placeOrWait(relay_entry &entry);
    void enqueueOrRefuse(relay_entry &entry);
    bool refusePaused(relay_entry &entry);
    bool refuseIsolated(relay_entry &entry);
    bool refuseEvacuated(relay_entry &entry);
    void releasePrefill(prefill_source source);
    bool refuseHomeless(relay_entry &entry);
    // Returns the regions that the request may go to.
    home_regions homesOf(const relay_entry &entry) const { return {*entry.route, entry.account, m_components.settings.regions}; }
    // Returns the filter of the data centres that the request may go to, or none if it may go to any.
    data_centre_filter filterOf(const relay_entry &entry) const;
    // Returns whether an endpoint in the homes of the request can serve it and has the version, if one is given.
    bool isServed(const relay_entry &entry, const std::optional<software_version> &version) const;
    // Returns whether this VM reaches no endpoint, with or without the proxies that the request may use.
    bool isIsolated(const relay_entry &entry) const;
    void refuseOverloaded(relay_entry &entry, duration expected, std::string_view detail);
    bool askHub(relay_entry &entry);
    void onAskOverdue(relay_entry &entry);
    std::optional<time_point> avoidsUntil(const open_ask &ask) const;
    bool isKeptFromWork(const relay_entry &entry) const;
    void withdrawAsk(relay_entry &entry);
    void grant(const placement_request &request, const model_placement &placement);
    void answerAsk(const place_owner &owner, placement_grant answer);
    static time_point waitingSince(const relay_entry &entry);
    time_point waitEndsAt(const relay_entry &entry) const;
    time_point callerDeadlineOf(const relay_entry &entry) const;
    time_point stalledAt(const relay_entry &entry) const;
    void removeFromQueue(const relay_entry &entry);

    // Versions of streams.
    bool bindVersion(relay_entry &entry);
    void lookUpVersion(relay_entry &entry);
    void askOrigin(relay_entry &entry, std::uint64_t stream);
    void onAnswersDue(relay_entry &entry);
    void decideVersion(relay_entry &entry);
    // Looks once more where the stream began, as neither the directory nor other VMs have told.
    void lookUpAgain(relay_entry &entry);
    void onVersionFound(relay_entry &entry, const std::optional<stream_origin> &origin, version_source source);
    void sendCopies(const stream_record &record, time_point now);
    bool isSafelyRecorded(const relay_entry &entry) const;
    void releaseHeld(relay_entry &entry);
    void releaseRecorded(const std::vector<std::uint64_t> &streams);
    void onHoldDue(relay_entry &entry);
    void askKeepers(time_point now);

    // Attempts.
    void send(relay_entry &entry, endpoint_entry &endpoint, dispatch_kind kind, std::int64_t prefillTokens);
    void sendDecode(relay_entry &entry, endpoint_entry &endpoint);
    std::optional<time_point> failoverTime(const relay_entry &entry, dispatch_kind kind, duration expected) const;
    relay_entry *findByAttempt(attempt_number number);
    void closeAttempt(relay_entry &entry) { close(entry.attempt); }
    void close(std::optional<relay_attempt> &attempt);
    void abort(std::optional<relay_attempt> &attempt);
    void keepAttempt(relay_entry &entry, attempt_number number);
    void breakOff(relay_entry &entry, attempt_number number);
    bool returnToOverdueAttempt(relay_entry &entry);
    void forwardHead(relay_entry &entry);
    static bool isOverdue(const relay_entry &entry, attempt_number number) { return entry.overdueAttempt && entry.overdueAttempt->number == number; }
    static std::optional<time_point> overdueAttemptEndsAt(const relay_entry &entry);
    void releaseReservation(relay_entry &entry);
    void releaseSource(relay_entry &entry);
    void recoverSource(relay_entry &entry, std::optional<prefill_source> source);
    void recordReportedLoad(const relay_attempt &attempt, const std::optional<reported_load> &load, bool isWhole);
    void recordUnreadableLoad(const endpoint_name &endpoint, time_point now);
    void recordStatement(const relay_attempt &attempt, const std::optional<endpoint_statement> &statement);
    void recordHoldTime(const relay_entry &entry);
    void recordAttemptOutcome(const relay_entry &entry, bool succeeded);
    static request_traits traitsOf(const relay_entry &entry);
    void recordLostAnswer(const relay_entry &entry, const relay_attempt &attempt, reply_outcome replyOutcome);
    void recordCrash(const endpoint_name &endpoint);
    void recordCheck(const endpoint_checked &checked);
    bool verifyCheck(const endpoint_name &endpoint);
    void onCheckProbed(const endpoint_probed &probe, open_check &check);
    void recordHeard(const relay_attempt &attempt);
    void recordUnsent(const relay_attempt &attempt, reply_outcome end);
    void onConnectFailed(endpoint_entry &endpoint);
    void logWays(bool wasCutOff);
    void recordAnswer(const relay_entry &entry);
    bool isSuspicious(const relay_entry &entry) const;
    retry_budget &budgetOf(const service_name &service);
    bool spendRetry(const relay_entry &entry);
    void refundRetry(const relay_entry &entry);

    // Ends of answers that nothing but the end of their connection marks.
    enum class ask_result : std::uint8_t {
        Sent,
        Postponed, // A retry or a place is missing, or the answer to another stream is awaited.
        Impossible,
    };
    stream_end_history &endHistoryOf(const relay_entry &entry);
    static bool isBehindCaller(const relay_entry &entry);
    static bool canProveEnd(const relay_entry &entry);
    void onUnmarkedEnd(relay_entry &entry);
    void recordMarkedEnd(const relay_entry &entry);
    bool arrivedLate(time_point at) const;
    void recordSignOfLoss(relay_entry &entry, end_doubt doubt);
    end_doubt stateOf(const endpoint_name &name, std::int64_t startedAt);
    end_doubt doubtOf(const relay_entry &entry);
    void decideEnd(relay_entry &entry);
    void decideAskedEnd(relay_entry &entry);
    void decideUnprovedEnds();
    void proveOrComplete(relay_entry &entry);
    ask_result askForRest(relay_entry &entry);
    void onAskFailed(relay_entry &entry);
    void onUnmarkedEndDue(relay_entry &entry);
    void onEndProved(relay_entry &entry);
    void onEndRefuted(relay_entry &entry, time_point now);
    void completeStream(relay_entry &entry);
    void logUnmarkedEnd(const relay_entry &entry, std::string_view decision);

    // Outcomes.
    void acceptReply(relay_entry &entry, relay_reply reply);
    void onNotRun(relay_entry &entry, const relay_reply &reply);
    void onUnsent(relay_entry &entry, reply_outcome end);
    void dispatchAgain(relay_entry &entry, bool spendsRetry);
    void recordNotRun(const relay_entry &entry, const relay_attempt &attempt, const relay_reply *reply);
    void logNotRun(const relay_entry &entry, const relay_attempt &attempt, const relay_reply *reply) const;
    void onLost(relay_entry &entry, reply_outcome replyOutcome);
    void logLost(const relay_entry &entry, const relay_attempt &attempt, reply_outcome replyOutcome) const;
    void onOverdueAttemptFailed(relay_entry &entry, reply_outcome replyOutcome, const relay_reply *reply);
    void onPrefillFailed(relay_entry &entry);
    bool retryElsewhere(relay_entry &entry);
    bool mayTryAgain(const relay_entry &entry) const;
    static bool mayDispatchAgain(const relay_entry &entry);
    bool mayFailOver(const relay_entry &entry);
    void failOver(relay_entry &entry);
    bool canPlaceElsewhere(const relay_entry &entry);
    // Answers with a failure. NotRun becomes Unknown when an attempt may have run.
    void failRequest(relay_entry &entry, failure reason, outcome result, std::string_view detail, std::optional<duration> retryAfter = {});
    void forwardReply(relay_entry &entry, relay_reply reply);
    void abortStream(relay_entry &entry, std::string_view reason);
    struct stream_bytes {
        int events = 0;
        bool isNew = false; // An event is among them that the caller does not have.
        std::string forCaller;
    };
    stream_bytes readEvents(relay_entry &entry, relay_attempt &attempt, std::string_view bytes);
    void onStreamProgress(relay_entry &entry, time_point now);
    void finish(relay_entry &entry, std::string_view result, int status);
    void logResult(const relay_entry &entry, std::string_view result, int status) const;

    void scheduleWakeup(relay_entry &entry);

    relay_components &m_components;
    std::unordered_map<caller_id, entry_ptr> m_entries;
    std::unordered_map<attempt_number, caller_id> m_attempts;
    std::unordered_map<std::uint64_t, caller_id> m_asks; // Asks that the hub has not granted.
    std::uint64_t m_lastAsk = 0;
    std::map<vm_name, time_point> m_doubtedHubs; // Hubs that left an ask without an answer. They are not asked until then.
    std::uint64_t m_workVersion = 0;
    std::map<service_name, retry_budget> m_budgets;
    std::set<std::pair<time_point, caller_id>> m_wakeups;
    std::unordered_map<caller_id, time_point> m_wakeupOf;
    attempt_number m_lastAttempt = 0;
    std::unordered_multimap<std::uint64_t, caller_id> m_held; // Requests whose events wait for the record of their stream.
    record_keepers m_keepers;
    kept_records m_keptRecords;
    std::uint64_t m_lastRecordAsk = 0;
    std::unordered_map<std::uint64_t, caller_id> m_originAsks; // Requests that ask other VMs where their streams began.
    std::uint64_t m_lastOriginAsk = 0;
    std::vector<caller_id> m_lookups; // Requests that wait for a read of the records to begin.
    std::vector<caller_id> m_openLookups; // Requests that wait for the open read.
    std::optional<time_point> m_silenceCheckAt;
    std::map<endpoint_name, open_check> m_openChecks; // Refused checks that proxies are to confirm.
    std::map<std::pair<service_name, software_version>, stream_end_history> m_endHistories;
    std::set<caller_id> m_unprovedEnds; // Requests whose streams wait for a proof that they are whole.
    std::map<account_name, double> m_unitsWaitedFor; // By the requests that wait for the limits of their accounts.
    bool m_readOpen = false;
    bool m_readsDefaults = false; // The next read includes the default versions.
    time_point m_nextDefaultsRead{};
    std::optional<time_point> m_nextFullRead; // Next read of all records, which finds those that nobody removes.
    time_point m_nextUnreadableLoadLine{};
};

} // namespace plantainpoint
