// Writes the applied state as bytes and reads it back. The same state always gives the same bytes.
#include "log_state.hpp"
#include "plantainpoint/cbor.hpp"
#include "plantainpoint/failure.hpp"
#include "record_fields.hpp"

namespace plantainpoint {

namespace {

using nlohmann::json;

constexpr std::string_view formatName = "plantainpoint-snapshot-1";

struct number_range {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
};

struct writer_row {
    incarnation_id writer;
    std::vector<number_range> appliedRecords;
    std::vector<std::uint64_t> voided;
    log_offset last = 0;
};

struct member_row {
    vm_name vm;
    std::uint64_t incarnation = 0;
    log_offset last = 0;
};

struct version_row {
    service_name service;
    std::uint64_t version = 0;
};

struct publication_row {
    service_name service;
    accepted_publication last;
};

template<class Visitor>
void describe(Visitor &visitor, entity<number_range> auto &value)
{
    visitor.field("first", value.first);
    visitor.field("last", value.last);
}

template<class Visitor>
void describe(Visitor &visitor, entity<writer_row> auto &value)
{
    visitor.field("writer", value.writer);
    visitor.field("folded", value.appliedRecords);
    visitor.field("voided", value.voided);
    visitor.field("last", value.last);
}

template<class Visitor>
void describe(Visitor &visitor, entity<member_row> auto &value)
{
    visitor.field("vm", value.vm);
    visitor.field("incarnation", value.incarnation);
    visitor.field("last", value.last);
}

template<class Visitor>
void describe(Visitor &visitor, entity<version_row> auto &value)
{
    visitor.field("service", value.service);
    visitor.field("version", value.version);
}

template<class Visitor>
void describe(Visitor &visitor, entity<publication_row> auto &value)
{
    visitor.field("service", value.service);
    visitor.field("last", value.last);
}

} // namespace

template<class Visitor>
void describe(Visitor &visitor, entity<accepted_publication> auto &value)
{
    visitor.field("base", value.base);
    visitor.field("digest", value.digest);
    visitor.field("author", value.author);
    visitor.field("removed", value.removed);
}

template<class Visitor>
void describe(Visitor &visitor, entity<current_epoch> auto &value)
{
    visitor.field("number", value.number);
    visitor.field("members", value.members);
    visitor.field("previous", value.previous);
}

template<class Visitor>
void describe(Visitor &visitor, entity<claim_state> auto &value)
{
    visitor.field("claim", value.claim);
    visitor.field("result", value.result);
    visitor.field("record", value.record);
}

template<class Visitor>
void describe(Visitor &visitor, entity<order_state> auto &value)
{
    visitor.field("order", value.order);
    visitor.field("fencing", value.fencing);
}

template<class Visitor>
void describe(Visitor &visitor, entity<open_snapshot> auto &value)
{
    visitor.field("digest", value.digest);
    visitor.field("covers", value.covers);
    visitor.field("first", value.first);
    visitor.field("count", value.count);
    visitor.field("next", value.next);
}

template<class Visitor>
void describe(Visitor &visitor, entity<snapshot_position> auto &value)
{
    visitor.field("covers", value.covers);
    visitor.field("first", value.first);
}

// Content of a snapshot. The rows of each table are in the order of their keys.
struct log_state::snapshot_content {
    std::string format{formatName};
    log_offset applied = 0;
    std::uint64_t malformed = 0;
    std::vector<service_config> services;
    std::vector<version_row> versions;
    std::vector<publication_row> publications;
    current_epoch epoch;
    std::vector<claim_state> claims;
    std::vector<order_state> orders;
    std::vector<writer_row> writers;
    std::vector<member_row> members;
    std::vector<audit_event> audit;
    std::optional<open_snapshot> openSnapshot;
    snapshot_position lastSnapshot;
    wall_millis newestClaim = 0;

    template<class Visitor, class Content>
    static void list(Visitor &visitor, Content &value)
    {
        visitor.field("format", value.format);
        visitor.field("applied", value.applied);
        visitor.field("malformed", value.malformed);
        visitor.field("services", value.services);
        visitor.field("versions", value.versions);
        visitor.field("publications", value.publications);
        visitor.field("epoch", value.epoch);
        visitor.field("claims", value.claims);
        visitor.field("orders", value.orders);
        visitor.field("writers", value.writers);
        visitor.field("members", value.members);
        visitor.field("audit", value.audit);
        visitor.field("open_snapshot", value.openSnapshot);
        visitor.field("last_snapshot", value.lastSnapshot);
        visitor.field("newest_claim", value.newestClaim);
    }
};

std::string log_state::snapshot() const
{
    snapshot_content content;
    content.applied = m_applied;
    content.malformed = m_malformed;
    content.epoch = m_epoch;
    content.openSnapshot = m_openSnapshot;
    content.lastSnapshot = m_lastSnapshot;
    content.newestClaim = m_newestClaim;
    content.audit.assign(m_audit.begin(), m_audit.end());
    for (const auto &[name, service] : m_config.services()) {
        content.services.push_back(service);
    }
    for (const auto &[name, version] : m_config.versions()) {
        content.versions.push_back({name, version});
    }
    for (const auto &[name, last] : m_publications) {
        content.publications.push_back({name, last});
    }
    for (const auto &[key, claim] : m_claims) {
        content.claims.push_back(claim);
    }
    for (const auto &[name, order] : m_orders) {
        content.orders.push_back(order);
    }
    for (const auto &[writer, state] : m_writers) {
        auto &row = content.writers.emplace_back(writer_row{writer, {}, {state.voided.begin(), state.voided.end()}, state.last});
        for (const auto &[first, last] : state.appliedRecords) {
            row.appliedRecords.push_back({first, last});
        }
    }
    for (const auto &[vm, memberState] : m_members) {
        content.members.push_back({vm, memberState.incarnation, memberState.last});
    }
    field_writer writer(bytes_form::Binary);
    snapshot_content::list(writer, content);
    std::string bytes;
    json::to_cbor(writer.take(), bytes);
    return bytes;
}

absl::Status log_state::install(std::string_view bytes)
try {
    const auto document = parseCbor(bytes, failure::MalformedRecord);
    if (!document.ok()) {
        return makeStatus(failure::SnapshotInvalid, std::string(document.status().message()));
    }
    read_state state{bytes_form::Binary, {}};
    snapshot_content content;
    field_reader reader(*document, state, nullptr);
    snapshot_content::list(reader, content);
    reader.finish();
    if (!state.error.empty() || content.format != formatName) {
        return makeStatus(failure::SnapshotInvalid, state.error.empty() ? std::string("unknown snapshot format") : state.error);
    }
    if (content.applied < m_applied) {
        return makeStatus(failure::Conflict, "snapshot covers " + std::to_string(content.applied) + ", applied is " + std::to_string(m_applied));
    }
    log_state restored;
    std::map<service_name, service_config> services;
    std::map<service_name, std::uint64_t> versions;
    for (auto &service : content.services) {
        auto name = service.name;
        services[std::move(name)] = std::move(service);
    }
    for (auto &row : content.versions) {
        versions[std::move(row.service)] = row.version;
    }
    restored.m_config.restore(std::move(services), std::move(versions));
    for (auto &row : content.publications) {
        restored.m_publications[std::move(row.service)] = std::move(row.last);
    }
    for (auto &claim : content.claims) {
        auto key = claim.claim.key;
        restored.m_claims[std::move(key)] = std::move(claim);
    }
    for (auto &order : content.orders) {
        auto target = order.order.target;
        restored.m_orders[std::move(target)] = std::move(order);
    }
    for (auto &row : content.writers) {
        auto &writer = restored.m_writers[std::move(row.writer)];
        writer.last = row.last;
        writer.voided.insert(row.voided.begin(), row.voided.end());
        for (const auto &range : row.appliedRecords) {
            writer.appliedRecords[range.first] = range.last;
        }
    }
    for (auto &row : content.members) {
        restored.m_members[std::move(row.vm)] = {row.incarnation, row.last};
    }
    restored.m_epoch = std::move(content.epoch);
    restored.m_audit.assign(content.audit.begin(), content.audit.end());
    restored.m_openSnapshot = std::move(content.openSnapshot);
    restored.m_lastSnapshot = content.lastSnapshot;
    restored.m_newestClaim = content.newestClaim;
    restored.m_claimHorizon = m_claimHorizon;
    restored.m_malformed = content.malformed;
    restored.m_applied = content.applied;
    *this = std::move(restored);
    return absl::OkStatus();
} catch (const std::exception &error) {
    return makeStatus(failure::SnapshotInvalid, error.what());
}

} // namespace plantainpoint
