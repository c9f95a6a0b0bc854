// State that results from applying the log. It is the same on every VM that has applied the same offset.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "plantainpoint/config.hpp"
#include "plantainpoint/failure.hpp"
#include "plantainpoint/records.hpp"

namespace plantainpoint {

// Result of looking up a route.
struct route_match {
    const service_config *service = nullptr;
    const route *entry = nullptr;
    bool methodMismatch = false; // The path has a route for another method only.
};

// Accepted configuration of all services with its indexes.
class configuration
{
public:
    configuration() = default;
    configuration(const configuration &other);
    configuration &operator=(const configuration &other);
    configuration(configuration &&) = default;
    configuration &operator=(configuration &&) = default;

    // Returns nothing if no accepted service has the key. Every candidate is compared in constant time.
    std::optional<account_key> findKey(const key_digest &digest) const;
    // Returns the matching route. An exact path takes precedence over a pattern and a longer pattern over a shorter one. A query string is ignored.
    route_match findRoute(std::string_view method, std::string_view path) const;
    const client_account *findAccount(const account_name &name) const;
    const endpoint *findEndpoint(const endpoint_name &name) const;
    // Returns the service and the entry of a model.
    std::pair<const service_config *, const model_entry *> findModel(const model_name &name) const;
    // Returns whether the account may call the service.
    bool mayCall(const account_name &account, const service_config &service) const;
    const std::map<service_name, service_config> &services() const { return m_services; }
    std::uint64_t versionOf(const service_name &service) const;

    const std::map<service_name, std::uint64_t> &versions() const { return m_versions; }

    // Returns a description of the account, endpoint, key, model or route of the service that another service already defines, or an empty string.
    std::string conflictOf(const service_config &service) const;

    // Replaces or removes one service and rebuilds the indexes.
    void install(const service_name &name, std::optional<service_config> service, std::uint64_t version);

    // Replaces all services and versions. A service without a version has version 0.
    void restore(std::map<service_name, service_config> services, std::map<service_name, std::uint64_t> versions);

private:
    struct route_entry {
        const service_config *service = nullptr;
        const route *entry = nullptr;
    };
    using route_index = std::unordered_map<std::string, std::vector<route_entry>>;

    void rebuild();
    std::string routeConflictOf(const service_config &service) const;

    std::map<service_name, service_config> m_services;
    std::map<service_name, std::uint64_t> m_versions;
    std::unordered_multimap<std::uint64_t, std::pair<const service_config *, const account_key *>> m_keys; // Keyed by the first 8 bytes of the digest.
    std::unordered_map<account_name, std::pair<const service_config *, const client_account *>> m_accounts;
    std::unordered_map<endpoint_name, std::pair<const service_config *, const endpoint *>> m_endpoints;
    std::unordered_map<model_name, std::pair<const service_config *, const model_entry *>> m_models;
    route_index m_exactRoutes;
    route_index m_prefixRoutes; // Keyed by the pattern without its '*'.
    std::set<std::size_t, std::greater<>> m_prefixLengths;
};

struct current_epoch {
    std::uint64_t number = 0;
    std::vector<epoch_member> members;
    std::vector<epoch_member> previous; // Members of the previous epoch.

    bool contains(const incarnation_id &id) const;
};

struct claim_state {
    booking_claim claim;
    std::optional<booking_outcome> result;
    record_id record; // Id of the winning claim's record.
};

struct order_state {
    order_record order;
    log_offset fencing = 0;
};

// Newest accepted publication of a service.
struct accepted_publication {
    std::uint64_t base = 0;
    std::string digest; // Computed by the reader.
    std::string author;
    bool removed = false;
};

struct refused_record {
    record_id id;
    failure reason = failure::Conflict;
    std::string detail;
};

enum class record_status : std::uint8_t {
    Absent, // Not applied yet.
    Applied,
    Void,
};

// Changes that applying one entry made.
struct log_change {
    std::vector<service_name> services;
    bool epoch = false;
    std::vector<claim_key> claims; // Keys that were claimed or got an outcome.
    std::vector<endpoint_name> orders;
    std::vector<record_id> appliedRecords; // Records that took effect or were refused by the rule of their type.
    std::vector<refused_record> refused; // Records of appliedRecords that were refused.
    std::vector<record_id> voided; // Records that will never take effect.
    std::vector<audit_event> audit;
};

struct snapshot_position {
    log_offset covers = 0;
    log_offset first = 0; // Entry of the snapshot's first chunk.
    bool operator==(const snapshot_position &) const = default;
};

// Applied records of one writer as ranges of sequence numbers.
struct writer_state {
    std::map<std::uint64_t, std::uint64_t> appliedRecords; // Maps the first number of a range to its last one.
    std::set<std::uint64_t> voided; // Subset of appliedRecords.
    log_offset last = 0; // Newest entry with a record of the writer.

    bool contains(std::uint64_t sequence) const;
    void insert(std::uint64_t sequence);
};

// Newest incarnation of a VM that was a member of an epoch.
struct member_state {
    std::uint64_t incarnation = 0;
    log_offset last = 0; // Newest epoch entry that named the VM.
};

// Progress of a snapshot whose chunks are being applied.
struct open_snapshot {
    std::string digest;
    log_offset covers = 0;
    log_offset first = 0;
    std::uint32_t count = 0;
    std::uint32_t next = 0;
};

class log_state
{
public:
    log_state();

    // Applies an entry. An entry that was applied already changes nothing. Returns MalformedRecord if the entry cannot be decoded: it is skipped and counted.
    // Returns Internal if an entry before it is missing: nothing is applied.
    absl::StatusOr<log_change> applyEntry(const log_entry &entry);

    // Returns the offset below which every entry is applied.
    log_offset applied() const { return m_applied; }

    const configuration &config() const { return m_config; }
    const current_epoch &epoch() const { return m_epoch; }
    const claim_state *findClaim(const claim_key &key) const;
    const order_state *findOrder(const endpoint_name &name) const;
    const std::deque<audit_event> &audit() const { return m_audit; }
    std::uint64_t malformedEntries() const { return m_malformed; }
    // Returns null if no publication of the service was ever accepted.
    const accepted_publication *lastPublication(const service_name &name) const;
    record_status recordStatusOf(const record_id &id) const;

    // Returns the offset that the newest complete snapshot in the log covers and the offset of its first chunk.
    const snapshot_position &lastSnapshot() const { return m_lastSnapshot; }

    // Lets the next snapshot that this VM writes drop the claims that are older than their retention. All readers remove these claims when they apply the
    // snapshot.
    void expireClaims(wall_millis now);
    wall_millis claimHorizon() const { return m_claimHorizon; }

    // Returns the whole state in bytes.
    std::string snapshot() const;

    // Replaces the state by a snapshot. Returns SnapshotInvalid for bytes that snapshot() did not write, and Conflict for a snapshot that covers less than
    // applied().
    absl::Status install(std::string_view bytes);

private:
    struct snapshot_content;

    void apply(const log_record &record, log_offset offset, log_change &change);
    void applyBody(const record_id &id, const publication &body, log_offset offset, log_change &change);
    void applyBody(const record_id &id, const epoch_record &body, log_offset offset, log_change &change);
    void applyBody(const record_id &id, const booking_claim &body, log_offset offset, log_change &change);
    void applyBody(const record_id &id, const booking_outcome &body, log_offset offset, log_change &change);
    void applyBody(const record_id &id, const order_record &body, log_offset offset, log_change &change);
    void applyBody(const record_id &id, const audit_event &body, log_offset offset, log_change &change);
    void applyBody(const record_id &id, const void_record &body, log_offset offset, log_change &change);
    void applyBody(const record_id &id, const snapshot_chunk &body, log_offset offset, log_change &change);
    refused_record checkPublication(const publication &body) const;
    refused_record checkEpoch(const epoch_record &body) const;
    void recordAuditEvent(audit_event event, log_change &change);
    void removeExpiredWriters();

    configuration m_config;
    current_epoch m_epoch;
    std::map<claim_key, claim_state> m_claims;
    std::map<endpoint_name, order_state> m_orders;
    std::map<incarnation_id, writer_state> m_writers;
    std::map<vm_name, member_state> m_members;
    std::map<service_name, accepted_publication> m_publications;
    std::deque<audit_event> m_audit;
    std::optional<open_snapshot> m_openSnapshot;
    snapshot_position m_lastSnapshot;
    wall_millis m_newestClaim = 0;
    wall_millis m_claimHorizon = 0; // Proposed by this VM and not part of the applied state.
    log_offset m_applied = 0;
    std::uint64_t m_malformed = 0;
};

} // namespace plantainpoint
