// applied state of the log: the same on every VM that has applied the same offset
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

// where a route leads
struct route_match {
    const service_config *service = nullptr;
    const route *entry = nullptr;
    bool methodMismatch = false; // the path exists with another method
};

// accepted configuration with its indexes
class configuration
{
public:
    configuration() = default;
    configuration(const configuration &other);
    configuration &operator=(const configuration &other);
    configuration(configuration &&) = default;
    configuration &operator=(configuration &&) = default;

    // empty when no accepted service has the key; every candidate is compared in constant time
    std::optional<account_key> findKey(const key_digest &digest) const;
    // an exact path goes before a pattern, a longer pattern before a shorter one; a query is ignored
    route_match findRoute(std::string_view method, std::string_view path) const;
    const client_account *findAccount(const account_name &name) const;
    const endpoint *findEndpoint(const endpoint_name &name) const;
    // service and entry of a model
    std::pair<const service_config *, const model_entry *> findModel(const model_name &name) const;
    // whether the account may call the service
    bool mayCall(const account_name &account, const service_config &service) const;
    const std::map<service_name, service_config> &services() const { return m_services; }
    std::uint64_t versionOf(const service_name &service) const;

    const std::map<service_name, std::uint64_t> &versions() const { return m_versions; }

    // why the service cannot stand beside the others: an account, endpoint, key, model or route that another one defines. empty: it can.
    std::string clashOf(const service_config &service) const;

    // replaces or removes one service and rebuilds the indexes
    void install(const service_name &name, std::optional<service_config> service, std::uint64_t version);

    // replaces everything; a service without a version has version 0
    void restore(std::map<service_name, service_config> services, std::map<service_name, std::uint64_t> versions);

private:
    struct route_entry {
        const service_config *service = nullptr;
        const route *entry = nullptr;
    };
    using route_index = std::unordered_map<std::string, std::vector<route_entry>>;

    void rebuild();
    std::string clashOfRoutes(const service_config &service) const;

    std::map<service_name, service_config> m_services;
    std::map<service_name, std::uint64_t> m_versions;
    std::unordered_multimap<std::uint64_t, std::pair<const service_config *, const account_key *>> m_keys; // by the first 8 bytes of the digest
    std::unordered_map<account_name, std::pair<const service_config *, const client_account *>> m_accounts;
    std::unordered_map<endpoint_name, std::pair<const service_config *, const endpoint *>> m_endpoints;
    std::unordered_map<model_name, std::pair<const service_config *, const model_entry *>> m_models;
    route_index m_exactRoutes;
    route_index m_prefixRoutes; // patterns without their '*'
    std::set<std::size_t, std::greater<>> m_prefixLengths;
};

struct current_epoch {
    std::uint64_t number = 0;
    std::vector<epoch_member> members;
    std::vector<epoch_member> previous; // members of the epoch before

    bool contains(const incarnation_id &id) const;
};

struct claim_state {
    booking_claim claim;
    std::optional<booking_outcome> result;
    record_id record; // of the claim that won
};

struct order_state {
    order_record order;
    log_offset fencing = 0;
};

// newest accepted publication of a service
struct accepted_publication {
    std::uint64_t base = 0;
    std::string digest; // computed by the reader
    std::string author;
    bool removed = false;
};

struct refused_record {
    record_id id;
    failure reason = failure::Conflict;
    std::string detail;
};

enum class record_status : std::uint8_t {
    Absent, // not applied yet
    Applied,
    Void,
};

// what applying one entry changed
struct log_change {
    std::vector<service_name> services;
    bool epoch = false;
    std::vector<claim_key> claims; // claimed or given an outcome
    std::vector<endpoint_name> orders;
    std::vector<record_id> appliedRecords; // records that took effect or were refused by their own rule
    std::vector<refused_record> refused; // those of appliedRecords that their own rule refused
    std::vector<record_id> voided; // records that will never take effect
    std::vector<audit_event> audit;
};

struct snapshot_position {
    log_offset covers = 0;
    log_offset first = 0; // entry of its first chunk
    bool operator==(const snapshot_position &) const = default;
};

// records of one writer that were applied, as ranges of sequence numbers
struct writer_state {
    std::map<std::uint64_t, std::uint64_t> appliedRecords; // first number of a range: last one
    std::set<std::uint64_t> voided; // part of appliedRecords
    log_offset last = 0; // newest entry with a record of the writer

    bool contains(std::uint64_t sequence) const;
    void insert(std::uint64_t sequence);
};

// newest incarnation of a VM that was a member of an epoch
struct member_mark {
    std::uint64_t incarnation = 0;
    log_offset last = 0; // newest entry that named it
};

// chunks of a snapshot, as far as applied
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

    // an entry that was applied already changes nothing. MalformedRecord: the entry is skipped and counted. Internal: an entry before it is missing, and
    // nothing was applied.
    absl::StatusOr<log_change> applyEntry(const log_entry &entry);

    // every entry below is applied
    log_offset applied() const { return m_applied; }

    const configuration &config() const { return m_config; }
    const current_epoch &epoch() const { return m_epoch; }
    const claim_state *findClaim(const claim_key &key) const;
    const order_state *findOrder(const endpoint_name &name) const;
    const std::deque<audit_event> &audit() const { return m_audit; }
    std::uint64_t malformedEntries() const { return m_malformed; }
    // empty when the service was never accepted
    const accepted_publication *lastPublication(const service_name &name) const;
    record_status recordStatusOf(const record_id &id) const;

    // offset that the newest complete snapshot in the log covers, and where its first chunk lies
    const snapshot_position &lastSnapshot() const { return m_lastSnapshot; }

    // lets the next snapshot that this VM writes drop the claims older than their retention; all readers forget them when they apply it
    void expireClaims(wall_millis now);
    wall_millis claimHorizon() const { return m_claimHorizon; }

    // whole state in bytes
    std::string snapshot() const;

    // SnapshotInvalid on bytes that snapshot() did not write; refuses one that covers less than applied()
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
    void record(audit_event event, log_change &change);
    void forgetOldWriters();

    configuration m_config;
    current_epoch m_epoch;
    std::map<claim_key, claim_state> m_claims;
    std::map<endpoint_name, order_state> m_orders;
    std::map<incarnation_id, writer_state> m_writers;
    std::map<vm_name, member_mark> m_members;
    std::map<service_name, accepted_publication> m_publications;
    std::deque<audit_event> m_audit;
    std::optional<open_snapshot> m_openSnapshot;
    snapshot_position m_lastSnapshot;
    wall_millis m_newestClaim = 0;
    wall_millis m_claimHorizon = 0; // proposal of this VM, no part of the applied state
    log_offset m_applied = 0;
    std::uint64_t m_malformed = 0;
};

} // namespace plantainpoint
