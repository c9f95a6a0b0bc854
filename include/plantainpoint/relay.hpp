// Inputs and outputs of the relay core: requests with opaque bodies, forwarded to endpoints that a directory announces.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/commands.hpp"
#include "plantainpoint/relay_config.hpp"

namespace plantainpoint {

// Identifies one dispatch on this VM.
using attempt_number = std::uint64_t;

// Inputs.

// Size of a model request, as the caller states it.
struct token_count {
    std::int64_t prompt = 0;
    std::int64_t output = 0; // Upper bound of the output tokens.
    std::optional<std::int64_t> likelyOutput; // Output tokens that the caller expects.

    std::int64_t total() const { return prompt + output; }
};

// Content of a request that every attempt repeats.
struct relay_payload {
    std::string id; // Id from the caller, which the endpoint echoes.
    std::string method;
    std::string target; // Path and query, byte for byte.
    std::string host;
    std::vector<header> headers; // End-to-end headers that the caller may set.
    std::string body;
};

struct relay_request {
    caller_id caller = 0;
    std::shared_ptr<const relay_payload> payload;
    std::optional<key_digest> key;
    duration timeToDeadline{}; // The caller waits for this time.
    std::optional<token_count> tokens; // Only model requests have a token count.
    std::vector<prompt_part> parts; // Parts of the prompt that other prompts may share. The last part belongs to the request and is left out.
    std::optional<std::uint64_t> resumeAfter; // Last event that the caller has.
    std::string resumes; // Id of the request that brought the first event of the stream that this one takes up. Empty for a new stream.
};

enum class reply_outcome : std::uint8_t {
    Complete,
    NotSent, // The endpoint could not be connected to. No byte of the request left this VM.
    Broken, // The connection ended early, or its bytes are not an answer to this request.
    TimedOut,
    ProxyFailed, // The proxy could not be used. No byte of the request left this VM.
    Withheld, // The endpoint took no requests any more when it was connected to. No byte of the request left this VM.
};

constexpr std::string_view nameOf(reply_outcome value)
{
    constexpr std::string_view names[]{"complete", "not_sent", "broken", "timed_out", "proxy_failed", "withheld"};
    return names[static_cast<std::size_t>(value)];
}

// Returns whether it is certain that the endpoint has got nothing of the request.
constexpr bool isUnsent(reply_outcome value)
{
    return value == reply_outcome::NotSent || value == reply_outcome::ProxyFailed || value == reply_outcome::Withheld;
}

// Load of an endpoint at the moment at which it wrote an answer, as the endpoint reports it.
struct reported_load {
    std::int32_t running = 0; // Requests.
    std::int32_t waiting = 0; // Requests.
    std::optional<std::int32_t> slots; // Requests that run at once.
    // Time that work takes on the endpoint's machine at this moment, in percent of the usual time.
    std::optional<std::int32_t> workTimePercent;
};

// What an endpoint says of itself in the head of an answer.
struct endpoint_statement {
    std::optional<double> requestLimit; // Requests per second that it takes from all VMs together. Empty: it names no limit.
    bool limitKnown = true; // False: the answer says nothing of a limit that can be read.
    bool leaving = false; // It ends soon and wants no further requests from any VM.
    std::optional<duration> pause; // It wants no requests from this VM for this time.
    std::optional<duration> coldLeft; // It stays cold for this time.
    bool loadUnreadable = false; // It reports its load with figures that cannot be read.
    bool coldKnown = true; // False: the answer says how long it stays cold in a way that cannot be read.
};

// How the end of an answer is marked.
enum class answer_framing : std::uint8_t {
    Length,
    Chunks,
    Close, // The answer ends with its connection.
};

constexpr std::string_view nameOf(answer_framing value)
{
    constexpr std::array names{std::string_view{"length"}, std::string_view{"chunks"}, std::string_view{"close"}};
    return names.at(static_cast<std::size_t>(value));
}

// Complete answer that is not a stream of events.
struct relay_reply {
    attempt_number attempt = 0;
    int status = 0;
    std::vector<header> headers;
    std::string body;
    bool genuine = false; // The answer carries the endpoint's stamp.
    bool notRun = false; // The endpoint states that it has not run the request.
    bool wrongEndpoint = false; // Another endpoint now has the address, or the endpoint has another role.
    std::optional<reported_load> load;
    std::optional<endpoint_statement> statement; // Empty if the answer may be another endpoint's, or says nothing that can be read.
    answer_framing framing = answer_framing::Length;
};

// Result of a read prompt, which waits for the decode endpoint.
struct prefill_reply {
    attempt_number attempt = 0;
    std::string handle;
    std::optional<endpoint_statement> statement;
    std::optional<reported_load> load;
};

struct stream_head {
    attempt_number attempt = 0;
    int status = 200;
    std::vector<header> headers;
    std::optional<reported_load> load;
    answer_framing framing = answer_framing::Chunks;
    std::optional<endpoint_statement> statement;
};

struct stream_part {
    attempt_number attempt = 0;
    std::string bytes;
};

// End of a stream, or of an attempt that got no answer.
struct relay_attempt_ended {
    attempt_number attempt = 0;
    reply_outcome end = reply_outcome::Complete;
};

struct configuration_read {
    std::shared_ptr<const relay_config> config;
};

// State of the endpoint directory. An entry without a value in `changed` was withdrawn.
struct directory_read {
    struct entry {
        endpoint_name name;
        std::optional<relay_endpoint> value;
    };
    std::vector<entry> changed;
    bool whole = false; // Endpoints that are missing from `changed` are withdrawn.
    std::uint64_t position = 0; // The reader has seen everything before this position.
    bool imported = false; // Another VM has read it.
    bool restored = false; // The directory has lost a part of its history. Entries that it lacks may be written again.
};

// Whether the operator wants the endpoints of a data centre to get no requests.
struct evacuation {
    data_centre_name dataCentre;
    bool inForce = false;
    std::uint64_t position = 0; // Position of the directory at which the operator set or ended it.
    duration age = duration::max(); // Longest time that may have passed since then.
};

// Returns whether the two state the same apart from the ages, which grow all the time.
inline bool isSameKnowledge(const std::vector<evacuation> &a, const std::vector<evacuation> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto &x, const auto &y) {
        return x.dataCentre == y.dataCentre && x.inForce == y.inForce && x.position == y.position;
    });
}

inline constexpr std::size_t maxEvacuations = 64; // Data centres with a record. Every message between VMs carries all of them.
inline constexpr std::size_t maxDataCentreName = 128; // Bytes. All records together fit into a datagram with everything else.

// Returns whether the name of a data centre may be passed on and logged: it is printable and not too long.
inline bool isEvacuable(const data_centre_name &name)
{
    const auto isPrintable = [](char c) { return c > ' ' && c < '\x7f'; };
    return !name.empty() && name.value.size() <= maxDataCentreName && std::all_of(name.value.begin(), name.value.end(), isPrintable);
}

// Evacuations that the directory's reader knows. It replaces what is known of a data centre if its position is higher.
struct evacuations_read {
    std::vector<evacuation> evacuations;
    // After a read of all records, a data centre that is not listed and whose known position is at least the first and below the second one is not evacuated
    // any more. Both are 0 if only changes were read.
    std::uint64_t completeFrom = 0;
    std::uint64_t completeTo = 0;
};

// Result of a read_directory command.
struct directory_read_finished {
    bool succeeded = false; // Both the configuration and the endpoints were read up to their ends.
};

// The transfer of state from another VM has ended. What it brought has been reported before.
struct fleet_state_fetched {
};

// What this VM holds of the directory, reported whenever it changes.
struct directory_state {
    std::uint64_t configVersion = 0; // Zero if no configuration is known.
    std::size_t configSize = 0; // Bytes of the newest configuration.
    std::size_t endpointEntries = 0;
    std::uint64_t position = 0; // Every endpoint entry before this position is known.
    std::uint64_t lastChange = 0; // Position after the last entry that changed an endpoint.
    std::uint64_t changesFrom = 0; // `changes` holds every change since this position.
    std::shared_ptr<const std::string> changes; // Encoded by the directory's reader. Null if there are none.
};

// Work of a VM at an endpoint.
struct endpoint_load {
    endpoint_name endpoint;
    std::int32_t running = 0;
    std::int64_t prefillTokens = 0; // Prompt tokens that have not been read yet.
    std::int64_t kvTokens = 0;
    // Work time that the endpoint has stated to the VM lately, as in reported_load. Empty if it has stated none.
    std::optional<std::int32_t> workTimePercent;

    bool operator==(const endpoint_load &) const = default;
};

// Units of an account's limit that a VM, or the VMs of a data centre, have admitted since their start, without those they refunded.
struct account_usage {
    account_name account;
    double admitted = 0;
    // Units that the VM would still admit at once. The VMs that follow a hub take its level over.
    double level = std::numeric_limits<double>::infinity();

    // The level changes with time alone.
    bool operator==(const account_usage &other) const { return account == other.account && admitted == other.admitted; }
};

// Requests of a service that wait for a place.
struct waiting_count {
    service_name service;
    std::int32_t requests = 0;

    bool operator==(const waiting_count &) const = default;
};

// A VM as it announces itself.
struct fleet_member {
    vm_name vm;
    std::string address; // IP:PORT for heartbeats, summaries and state transfer.
    data_centre_name dataCentre;
    std::int64_t capacity = 0; // Thousandths of a processor core.
    bool keepsRecords = false; // The VM knows the asks for records of streams. Older builds do not.

    bool operator==(const fleet_member &) const = default;
};

// What a VM knows of the directory.
struct directory_knowledge {
    std::uint64_t configVersion = 0;
    std::size_t configSize = 0; // Bytes. VMs of earlier versions read a large configuration from the directory.
    std::size_t endpointEntries = 0;
    std::uint64_t position = 0;
    std::uint64_t lastChange = 0;
    // Time since the VM, or a VM that it heard, began a read that reached the ends of configuration and endpoints. Empty without such a read.
    std::optional<duration> proofAge;
    duration reannounceLeft{}; // Endpoints whose entries lapsed in an outage are still expected back for this time.
};

// Outcomes of attempts at an endpoint since the VM's previous heartbeat.
struct endpoint_outcomes {
    endpoint_name endpoint;
    std::int32_t successes = 0;
    std::int32_t failures = 0;

    bool operator==(const endpoint_outcomes &) const = default;
};

// What a VM knows of the limit that an endpoint names.
struct limit_report {
    endpoint_name endpoint;
    double perSecond = 0; // Requests that the endpoint takes from all VMs together.
    std::optional<duration> namedAge; // Time since the arrival of the newest answer that named this limit.
    std::optional<duration> unnamedAge; // Time since the dispatch of the newest request whose answer named none. Empty while the limit is in force.
};

// A run of an endpoint that has said that it leaves.
struct leaving_endpoint {
    endpoint_name name;
    std::int64_t startedAt = 0; // Start of the run, as the endpoint announced it.

    bool operator==(const leaving_endpoint &) const = default;
};

// A run of an endpoint that is cold, as an answer has stated.
struct cold_endpoint {
    endpoint_name name;
    std::int64_t startedAt = 0; // Start of the run, as the endpoint announced it.
    duration left{}; // Time until it is warm.
};

// The end of an endpoint while it was answering requests.
struct endpoint_crash {
    endpoint_name endpoint;
    std::int64_t startedAt = 0; // Start of the run that ended, as the endpoint announced it.
    duration age{}; // Time since the end.
    std::vector<std::vector<request_trait>> requests; // Traits of the lost requests whose answers had not begun, or had just begun.
};

// A trait of a request that an endpoint has answered without ending.
struct answered_trait {
    request_trait trait;
    duration age{}; // Time since the answer.
};

// Requests that crash endpoints.
struct quarantined_requests {
    std::vector<request_trait> traits; // In the order of their names. Requests that have all of them are refused.
    duration left{}; // Time until such requests are sent again.
    duration age{}; // Time since they were quarantined or released.
    std::int32_t crashes = 0; // Crashes that led to it.
    bool released = false;
};

// What a VM knows of requests that crash endpoints. Crashes and answers are those that it has learnt of lately or repeats.
struct crash_report {
    std::vector<endpoint_crash> crashes;
    std::vector<answered_trait> answered;
    std::vector<quarantined_requests> quarantined;
    // Digest of all crashes and answers that the VM knows. VMs that know the same have the same one. It is 0 without crashes and from VMs of an earlier
    // version.
    std::uint32_t digest = 0;

    bool empty() const { return crashes.empty() && answered.empty() && quarantined.empty() && digest == 0; }
};

// Where a stream began.
struct stream_origin {
    service_name service;
    software_version version;

    bool operator==(const stream_origin &) const = default;
};

// Record of a stream in the directory.
struct stream_record {
    std::uint64_t stream = 0; // Digest of the id of the request that brought the first event.
    stream_origin origin;
};

// Asks another VM to keep records of streams, and to store them if the directory does not take them from the sender.
struct record_keeping_ask {
    incarnation_id from;
    std::string address; // IP:PORT for the answers.
    std::uint64_t number = 0; // Identifies the ask at its VM.
    bool stores = true;
    std::vector<stream_record> records;
};

// Tells that the records of an ask are kept, and once more when the receiver has stored them.
struct record_keeping_answer {
    incarnation_id from;
    std::uint64_t receiverIncarnation = 0;
    std::uint64_t number = 0;
    bool stored = false;
};

// Asks another VM where a stream began.
struct stream_origin_ask {
    incarnation_id from;
    std::string address; // IP:PORT for the answer.
    std::uint64_t number = 0; // Identifies the ask at its VM.
    std::uint64_t stream = 0;
    bool isForHubs = true; // A hub passes the ask on to the hubs of the other data centres.
};

struct stream_origin_answer {
    incarnation_id from;
    std::uint64_t receiverIncarnation = 0;
    std::uint64_t number = 0;
    std::optional<stream_origin> origin; // Empty if the VM keeps no record of the stream.
    duration keepsFor{}; // The VM keeps all records that VMs of its data centre have made for this time.
    data_centre_name dataCentre;
    std::vector<data_centre_name> shared; // Data centres with several VMs, as far as the VM knows.
};

// Versions at which streams without a record began.
struct default_versions {
    std::vector<stream_origin> origins;
    duration age{}; // Time since the begin of the read of the directory that returned them.
};

// Message of a VM to the hubs of its data centre. It carries everything that the VM adds to the state of the fleet.
struct fleet_heartbeat {
    incarnation_id from;
    std::uint64_t sequence = 0;
    std::string address;
    data_centre_name dataCentre;
    std::int64_t capacity = 0;
    bool keepsRecords = false;
    bool leaving = false;
    vm_name follows; // Hub whose totals the VM uses. It is empty at a hub.
    directory_knowledge knowledge;
    std::vector<endpoint_load> loads;
    std::vector<waiting_count> waiting;
    std::vector<endpoint_name> changingRole; // Endpoints that were ordered to change their role.
    std::vector<account_usage> usage;
    std::vector<endpoint_outcomes> outcomes;
    crash_report evidence;
    std::vector<limit_report> limits; // Limits that endpoints name, after each change.
    std::vector<leaving_endpoint> leavingEndpoints; // Those that have lately said that they leave.
    std::vector<cold_endpoint> coldEndpoints; // Those that have lately said that they are cold.
    std::vector<evacuation> evacuations; // All that are known.

    fleet_member member() const { return {from.vm, address, dataCentre, capacity, keepsRecords}; }
};

enum class summary_scope : std::uint8_t {
    Brief, // No totals but the levels of the limits, and these not in every message.
    DataCentre, // Totals of the hub's data centre, for the hubs of the others.
    Fleet, // Totals of all VMs, for the VMs that follow the hub.
};

constexpr std::string_view nameOf(summary_scope value)
{
    constexpr std::string_view names[]{"brief", "data_centre", "fleet"};
    return names[static_cast<std::size_t>(value)];
}

// Message of a hub: what the hub knows of the directory, and the totals of the VMs that it hears.
struct fleet_summary {
    incarnation_id from;
    std::uint64_t sequence = 0;
    std::string address;
    data_centre_name dataCentre;
    std::int64_t capacity = 0;
    bool keepsRecords = false;
    summary_scope scope = summary_scope::Brief;
    bool leaving = false;
    bool settled = false; // The hub has been one for long enough to have heard its VMs.
    directory_knowledge knowledge;
    std::uint64_t changesFrom = 0;
    std::shared_ptr<const std::string> changes; // Recent changes of endpoints, as in directory_state.
    std::int32_t heardVms = 0;
    std::int32_t memberVms = 0;
    std::vector<fleet_member> candidates; // VMs of the hub's data centre that take over when the hub is lost.
    bool hasLoads = false; // Loads and waiting requests are included. Otherwise those of the previous summary hold.
    std::vector<endpoint_load> loads;
    std::vector<waiting_count> waiting;
    std::vector<endpoint_name> changingRole;
    std::vector<account_usage> usage; // Admissions of the data centre, or of this VM only in another scope.
    crash_report evidence;
    std::vector<limit_report> limits; // Limits that endpoints name, after each change and again from time to time.
    std::vector<leaving_endpoint> leavingEndpoints; // Those that have lately said that they leave, and from time to time all.
    std::vector<cold_endpoint> coldEndpoints; // Those that have lately said that they are cold.
    std::vector<evacuation> evacuations; // All that are known.
    std::optional<default_versions> defaults; // Included from time to time.
    // Last heartbeat of the receiver that the totals include, or its last totals if it is a hub of another data centre. The sequence is 0 if
    // there is none.
    std::uint64_t receiverIncarnation = 0;
    std::uint64_t acknowledged = 0;

    fleet_member member() const { return {from.vm, address, dataCentre, capacity, keepsRecords}; }
    // Returns whether the admissions are included.
    bool hasUsage() const { return scope != summary_scope::Brief || hasLoads; }
};

// Request of a VM to the hub that it follows for a place at an endpoint.
struct placement_ask {
    incarnation_id from;
    std::string address; // IP:PORT for the answer.
    std::uint64_t number = 0; // Identifies the ask at its VM.
    std::uint64_t heartbeat = 0; // Sequence of the VM's last heartbeat before the ask.
    bool cancelled = false; // The request does not need a place any more. The fields below are empty.
    service_name service;
    std::optional<token_count> tokens;
    bool mayPrefill = false; // A separate prefill is allowed.
    std::int32_t priority = 5;
    duration age{}; // Time since the request arrived.
    duration objective{};
    duration timeLeft{}; // The caller leaves after this time.
    duration maxEventGap{};
    duration holdTime{}; // Time for which a request holds its place, as the VM has seen it.
    std::vector<endpoint_name> excluded;
    std::uint64_t seed = 0;
    account_name account; // Its limit is checked by the hub. The name is empty if there is no limit or the hub has checked it before.
    double units = 0;
    bool begun = false; // The caller has a part of its answer.
    std::optional<software_version> version; // Version that the endpoint has to have.
    bool bound = false; // The request may not go to the excluded endpoints, whatever becomes of the others: they are outside its homes.
};

enum class placement_result : std::uint8_t {
    Granted,
    Queued, // A grant follows.
    Refused, // No place is expected in time.
    LimitReached, // The account may get the units after the expected wait.
};

constexpr std::string_view nameOf(placement_result value)
{
    constexpr std::string_view names[]{"granted", "queued", "refused", "limit_reached"};
    return names[static_cast<std::size_t>(value)];
}

// Answer of a hub.
struct placement_grant {
    incarnation_id from;
    std::uint64_t receiverIncarnation = 0;
    std::uint64_t number = 0;
    placement_result result = placement_result::Granted;
    endpoint_name prefill; // Empty if the prompt is not read separately.
    endpoint_name serving;
    duration expectedWait{};
};

// VMs that have announced themselves in the directory.
struct members_read {
    std::vector<fleet_member> members;
};

// End of the log of orders. It is empty when the log could not be read.
struct order_log_read {
    std::optional<std::uint64_t> end;
    std::optional<vm_name> lastHolder; // VM that wrote the last record.
    duration intactFor = duration::max(); // The log has lost no order in this time, as far as this VM can know.
};

// Answer to an append of an order. It is empty when another VM was first or the append is in doubt.
struct order_appended {
    std::optional<std::uint64_t> fencing;
};

// Result of a check_endpoint command.
struct endpoint_checked {
    endpoint_name endpoint;
    bool refused = false; // Nothing listens at the address: the endpoint has ended.
    bool dropped = false; // Connections were established and ended at once, again and again.
    bool accepted = false; // A connection was established.
};

enum class probe_result : std::uint8_t {
    Reached,
    Unreachable, // The endpoint could not be connected to.
    ProxyFailed,
};

constexpr std::string_view nameOf(probe_result value)
{
    constexpr std::string_view names[]{"reached", "unreachable", "proxy_failed"};
    return names[static_cast<std::size_t>(value)];
}

// Result of a probe_endpoint command.
struct endpoint_probed {
    endpoint_name endpoint;
    std::string proxy; // As in the command.
    probe_result result = probe_result::Unreachable;
};

enum class end_check : std::uint8_t {
    Accepted, // The endpoint has accepted a connection and refused none.
    Refused, // Nothing listens at the address any more: the endpoint has ended.
    Unreached, // No connection was established in time, and none was refused.
};

constexpr std::string_view nameOf(end_check value)
{
    constexpr std::string_view names[]{"accepted", "refused", "unreached"};
    return names[static_cast<std::size_t>(value)];
}

// Result of a check_answer_end command.
struct answer_end_checked {
    attempt_number attempt = 0;
    end_check result = end_check::Unreached;
    duration elapsed{};
};

// VMs that a proxy has named, which may serve as proxies too.
struct proxies_named {
    std::vector<std::string> addresses;
};

// Quarantined requests that the directory holds.
struct quarantine_read {
    std::vector<quarantined_requests> quarantined;
};

// Result of a read_stream_records command.
struct stream_records_read {
    bool succeeded = false; // All records that the directory had when the read began are known.
    bool lacksOlder = false; // The directory has lost records that it had acknowledged.
    bool restored = false; // The directory has come back from a copy, which may have been before this VM started.
    bool all = false; // The records are all that the directory retains.
    std::vector<stream_record> streams; // Records since the read before, oldest first.
    std::optional<std::vector<stream_origin>> defaults; // Default versions, if they were to be read.
    std::uint64_t defaultsEnd = 0; // Position behind the last default.
    duration age{}; // Time since the begin of the read.
};

// Result of an append_stream_records command. Without success, the records may still be stored later.
struct stream_records_appended {
    bool succeeded = false;
};

// Result of a set_default_versions command.
struct default_versions_set {
};

// The directory has lost a part of its history, so that records of streams and default versions may be missing.
struct stream_records_lost {
};

struct role_order_answered {
    endpoint_name endpoint;
    int status = 0; // Zero: there was no answer, and the order may be carried out later.
    bool refused = false; // The order will not be carried out.
};

// No request is being received from a caller, and none can arrive any more. Answers stop_accepting.
struct reception_finished {
};

using relay_input = std::variant<relay_request,
                                 caller_disconnected,
                                 relay_reply,
                                 prefill_reply,
                                 stream_head,
                                 stream_part,
                                 relay_attempt_ended,
                                 configuration_read,
                                 evacuations_read,
                                 directory_read,
                                 directory_read_finished,
                                 fleet_state_fetched,
                                 directory_state,
                                 fleet_heartbeat,
                                 fleet_summary,
                                 placement_ask,
                                 placement_grant,
                                 record_keeping_ask,
                                 record_keeping_answer,
                                 stream_origin_ask,
                                 stream_origin_answer,
                                 members_read,
                                 order_log_read,
                                 order_appended,
                                 role_order_answered,
                                 endpoint_checked,
                                 endpoint_probed,
                                 answer_end_checked,
                                 proxies_named,
                                 quarantine_read,
                                 stream_records_read,
                                 stream_records_appended,
                                 default_versions_set,
                                 stream_records_lost,
                                 shutdown_requested,
                                 reception_finished>;

// Outputs.

enum class dispatch_kind : std::uint8_t {
    Plain,
    Prefill, // Reads the prompt only.
    Decode, // Produces tokens, from a prefill result or from the prompt.
};

constexpr std::string_view nameOf(dispatch_kind value)
{
    constexpr std::string_view names[]{"plain", "prefill", "decode"};
    return names[static_cast<std::size_t>(value)];
}

struct prefill_source {
    std::string address; // Address of the prefill endpoint.
    std::string handle;
};

struct relay_dispatch {
    attempt_number attempt = 0;
    dispatch_kind kind = dispatch_kind::Plain;
    endpoint_name endpoint;
    std::int64_t endpointStartedAt = 0; // Start of the endpoint's run.
    std::string address;
    std::string proxy; // IP:PORT of the VM through which the endpoint is reached. Empty: it is connected to directly.
    std::shared_ptr<const relay_payload> payload;
    account_name account; // The name is empty on open routes.
    std::int32_t priority = 5;
    duration timeLeft{}; // Time until the caller gives up.
    bool streamed = false;
    std::optional<prefill_source> source;
    std::optional<std::uint64_t> resumeAfter;
    // Open connections are not used: the answer to an earlier attempt of the request may arrive on them, or they may be dead.
    bool newConnection = false;
};

// Closes the connection of an attempt. No more of its answer arrives.
struct relay_abort {
    attempt_number attempt = 0;
};

// Frees a prefill result that no endpoint will fetch.
struct release_prefill {
    prefill_source source;
};

struct answer_stream_head {
    caller_id caller = 0;
    int status = 200;
    std::vector<header> headers;
};

struct answer_stream_bytes {
    caller_id caller = 0;
    std::string bytes;
};

struct answer_stream_end {
    caller_id caller = 0;
};

// Ends the caller's connection so that an answer that cannot be finished does not look complete.
struct abort_answer {
    caller_id caller = 0;
};

struct send_heartbeat {
    std::string address;
    std::shared_ptr<const fleet_heartbeat> heartbeatMessage;
};

struct send_summary {
    std::string address;
    std::shared_ptr<const fleet_summary> summary; // Its last two fields are empty.
    std::uint64_t receiverIncarnation = 0;
    std::uint64_t acknowledged = 0;
};

struct send_ask {
    std::string address;
    placement_ask ask;
};

struct send_grant {
    std::string address;
    placement_grant grant;
};

struct send_record_ask {
    std::string address;
    std::shared_ptr<const record_keeping_ask> ask;
};

struct send_record_answer {
    std::string address;
    record_keeping_answer answer;
};

struct send_origin_ask {
    std::string address;
    stream_origin_ask ask;
};

struct send_origin_answer {
    std::string address;
    stream_origin_answer answer;
};

// Reads the configuration and the endpoint entries up to their ends. Entries before the position are known already.
struct read_directory {
    std::uint64_t position = 0;
};

struct read_members {
};

// Applies changes of endpoints that another VM has read.
struct import_directory_changes {
    std::shared_ptr<const std::string> changes;
    std::uint64_t position = 0; // Position that is reached with these changes.
};

// Requests the configuration and the directory that another VM has.
struct fetch_fleet_state {
    std::string address;
};

struct read_order_log {
};

// Appends to the log of orders if the log still ends at the given offset.
struct append_order {
    std::uint64_t end = 0;
    vm_name holder;
    endpoint_name endpoint;
    endpoint_role role = endpoint_role::Decode;
};

struct send_role_order {
    endpoint_name endpoint;
    std::string address;
    vm_name holder;
    endpoint_role role = endpoint_role::Decode;
    std::uint64_t fencing = 0;
};

// Opens a connection to an endpoint whose answers broke off, and closes it.
struct check_endpoint {
    endpoint_name endpoint;
    std::string address;
};

// Connects to an endpoint, directly or through a proxy, and closes the connection.
struct probe_endpoint {
    endpoint_name endpoint;
    std::int64_t startedAt = 0; // Start of the endpoint's run.
    std::string address;
    std::string proxy; // IP:PORT, or empty.
};

// Finds out whether the endpoint has ended whose answer nothing but the end of its connection marks as complete.
struct check_answer_end {
    attempt_number attempt = 0;
    endpoint_name endpoint;
    std::int64_t startedAt = 0; // Start of the endpoint's run.
    std::string address;
    std::string proxy; // IP:PORT of the VM through which the answer came, or empty.
    duration watchTime{}; // A listener that is closed within this time counts as closed.
};

// Stores quarantined requests in the directory, so that the record outlasts the VMs, or removes the record.
struct store_quarantine {
    quarantined_requests quarantined;
};

// Reads the records of streams that were stored since the last read, and the default versions if they are wanted.
struct read_stream_records {
    bool defaults = false;
    bool all = false; // Reads all records that the directory retains.
};

// Stores records of streams in the directory, and removes those of streams that nobody takes up any more.
struct append_stream_records {
    std::vector<stream_record> records;
    std::vector<std::uint64_t> expired;
};

// Sets the default versions of services if no default has been set since the position.
struct set_default_versions {
    std::vector<stream_origin> origins;
    std::uint64_t end = 0;
};

// Closes idle connections and accepts no new ones. Requests that are being received go on.
struct stop_accepting {
};

// Refuses the requests that are still being received.
struct refuse_arriving {
};

using relay_command = std::variant<answer_plain,
                                   answer_failure,
                                   answer_stream_head,
                                   answer_stream_bytes,
                                   answer_stream_end,
                                   abort_answer,
                                   relay_dispatch,
                                   relay_abort,
                                   release_prefill,
                                   send_heartbeat,
                                   send_summary,
                                   send_ask,
                                   send_grant,
                                   send_record_ask,
                                   send_record_answer,
                                   send_origin_ask,
                                   send_origin_answer,
                                   read_directory,
                                   read_members,
                                   import_directory_changes,
                                   fetch_fleet_state,
                                   read_order_log,
                                   append_order,
                                   send_role_order,
                                   check_endpoint,
                                   probe_endpoint,
                                   check_answer_end,
                                   store_quarantine,
                                   read_stream_records,
                                   append_stream_records,
                                   set_default_versions,
                                   stop_accepting,
                                   refuse_arriving,
                                   log_line,
                                   stopped>;

} // namespace plantainpoint
