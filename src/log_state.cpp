#include "log_state.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

constexpr std::size_t auditCapacity = 1000;
constexpr std::size_t maxAuditTextBytes = 1024;
constexpr wall_millis claimRetention = std::chrono::milliseconds(std::chrono::hours(24)).count();
// Number of entries in a day at 300 appends a second. No append takes effect later than that.
constexpr log_offset writerRetention = 26'000'000;
constexpr log_offset pruneInterval = 4096;

std::string shortened(std::string text)
{
    text.resize(std::min(text.size(), maxAuditTextBytes));
    return text;
}

refused_record refusal(failure reason, std::string detail)
{
    return {{}, reason, std::move(detail)};
}

refused_record accepted()
{
    return {{}, failure::None, {}};
}

} // namespace

bool current_epoch::contains(const incarnation_id &id) const
{
    return std::any_of(members.begin(), members.end(), [&](const epoch_member &member) { return member.id == id; });
}

bool writer_state::contains(std::uint64_t sequence) const
{
    auto nextRange = appliedRecords.upper_bound(sequence);
    return nextRange != appliedRecords.begin() && std::prev(nextRange)->second >= sequence;
}

void writer_state::insert(std::uint64_t sequence)
{
    if (contains(sequence)) {
        return;
    }
    auto range = appliedRecords.emplace(sequence, sequence).first;
    const auto nextRange = std::next(range);
    if (nextRange != appliedRecords.end() && nextRange->first == sequence + 1) {
        range->second = nextRange->second;
        appliedRecords.erase(nextRange);
    }
    if (range != appliedRecords.begin() && std::prev(range)->second + 1 == sequence) {
        std::prev(range)->second = range->second;
        appliedRecords.erase(range);
    }
}

log_state::log_state() = default;

absl::StatusOr<log_change> log_state::applyEntry(const log_entry &entry)
{
    if (entry.offset < m_applied) {
        return log_change{};
    }
    if (entry.offset > m_applied) {
        return makeStatus(failure::Internal, "entry " + std::to_string(m_applied) + " is missing, got entry " + std::to_string(entry.offset));
    }
    ++m_applied;
    const auto records = decodeBatch(entry.payload);
    if (!records.ok()) {
        ++m_malformed;
        return records.status();
    }
    log_change change;
    for (const auto &item : *records) {
        apply(item, entry.offset, change);
    }
    if (m_applied % pruneInterval == 0) {
        removeExpiredWriters();
    }
    return change;
}

void log_state::apply(const log_record &record, log_offset offset, log_change &change)
{
    auto &writer = m_writers[record.id.writer];
    writer.last = offset;
    if (writer.contains(record.id.sequence)) {
        return;
    }
    writer.insert(record.id.sequence);
    change.appliedRecords.push_back(record.id);
    std::visit([&](const auto &body) { applyBody(record.id, body, offset, change); }, record.body);
}

refused_record log_state::checkPublication(const publication &body) const
{
    const auto version = m_config.versionOf(body.service.name);
    if (body.base != version) {
        return refusal(failure::Conflict, "the present version is " + std::to_string(version));
    }
    if (body.removes) {
        const bool exists = m_config.services().contains(body.service.name);
        return exists ? accepted() : refusal(failure::NotFound, "the service does not exist");
    }
    if (const auto status = validate(body.service); !status.ok()) {
        return refusal(failure::InvalidConfiguration, std::string{status.message()});
    }
    if (auto conflict = m_config.conflictOf(body.service); !conflict.empty()) {
        return refusal(failure::InvalidConfiguration, std::move(conflict));
    }
    return accepted();
}

void log_state::applyBody(const record_id &id, const publication &body, log_offset, log_change &change)
{
    const auto &name = body.service.name;
    const auto digest = contentDigest(body);
    const auto *const last = lastPublication(name);
    if (last && last->base == body.base && last->digest == digest) {
        return;
    }
    auto verdict = checkPublication(body);
    audit_event event{audit_kind::PublicationAccepted, body.author, name.value, "from version " + std::to_string(body.base), body.publishedAt};
    if (verdict.reason != failure::None) {
        event.kind = audit_kind::PublicationRefused;
        event.detail += ": " + std::string{nameOf(verdict.reason)} + ", " + verdict.detail;
        verdict.id = id;
        change.refused.push_back(std::move(verdict));
        recordAuditEvent(std::move(event), change);
        return;
    }
    const auto version = body.base + 1;
    event.detail += " to " + std::to_string(version) + (body.removes ? ", removed" : ", digest " + digest.substr(0, 12));
    m_config.install(name, body.removes ? std::nullopt : std::optional{body.service}, version);
    m_publications[name] = {body.base, digest, body.author, body.removes};
    std::erase_if(m_orders, [&](const auto &item) { return !m_config.findEndpoint(item.first); });
    change.services.push_back(name);
    recordAuditEvent(std::move(event), change);
}

refused_record log_state::checkEpoch(const epoch_record &body) const
{
    if (body.base != m_epoch.number) {
        return refusal(failure::Conflict, "the current epoch is " + std::to_string(m_epoch.number));
    }
    const bool sorted =
        std::is_sorted(body.members.begin(), body.members.end(), [](const epoch_member &a, const epoch_member &b) { return a.id.vm < b.id.vm; });
    const bool unique =
        std::adjacent_find(body.members.begin(), body.members.end(), [](const epoch_member &a, const epoch_member &b) { return a.id.vm == b.id.vm; })
        == body.members.end();
    if (body.members.empty() || !sorted || !unique) {
        return refusal(failure::MalformedRecord, "epoch members are not distinct VMs sorted by name");
    }
    for (const auto &member : body.members) {
        const auto newestMember = m_members.find(member.id.vm);
        if (newestMember == m_members.end() || member.id.number > newestMember->second.incarnation || m_epoch.contains(member.id)) {
            continue;
        }
        return refusal(failure::Conflict, toString(member.id) + " was dropped from an earlier epoch");
    }
    return accepted();
}

void log_state::applyBody(const record_id &id, const epoch_record &body, log_offset offset, log_change &change)
{
    auto verdict = checkEpoch(body);
    if (verdict.reason != failure::None) {
        verdict.id = id;
        change.refused.push_back(std::move(verdict));
        return;
    }
    m_epoch.previous = std::exchange(m_epoch.members, body.members);
    m_epoch.number = body.base + 1;
    std::string names;
    for (const auto &member : body.members) {
        m_members[member.id.vm] = {member.id.number, offset};
        names += (names.empty() ? "" : " ") + toString(member.id);
    }
    change.epoch = true;
    recordAuditEvent({audit_kind::EpochChanged, toString(id.writer), "epoch " + std::to_string(m_epoch.number), std::move(names), 0}, change);
}

// Accepts another claim of a key only if its booking certainly did not run.
void log_state::applyBody(const record_id &id, const booking_claim &body, log_offset, log_change &change)
{
    m_newestClaim = std::max(m_newestClaim, body.claimedAt);
    const auto it = m_claims.find(body.key);
    const bool claimable = it == m_claims.end() || (it->second.result && it->second.result->result == outcome::NotRun);
    if (!claimable) {
        change.refused.push_back({id, failure::BookingInProgress, "the key is claimed by " + toString(it->second.claim.claimant)});
        return;
    }
    m_claims[body.key] = {body, std::nullopt, id};
    change.claims.push_back(body.key);
}

// Accepts an outcome only from the claimant's VM. A recorded outcome is replaced only if it is Unknown.
void log_state::applyBody(const record_id &id, const booking_outcome &body, log_offset, log_change &change)
{
    const auto it = m_claims.find(body.key);
    if (it == m_claims.end()) {
        change.refused.push_back({id, failure::NotFound, "the booking outcome names a key without a claim"});
        return;
    }
    auto &claim = it->second;
    if (claim.claim.claimant.vm != id.writer.vm) {
        change.refused.push_back({id, failure::Conflict, "the key is claimed by " + toString(claim.claim.claimant)});
        return;
    }
    if (claim.result && claim.result->result != outcome::Unknown) {
        change.refused.push_back({id, failure::Conflict, "the claim already has an outcome"});
        return;
    }
    claim.result = body;
    change.claims.push_back(body.key);
}

void log_state::applyBody(const record_id &, const order_record &body, log_offset offset, log_change &change)
{
    m_orders[body.target] = {body, offset};
    change.orders.push_back(body.target);
}

void log_state::applyBody(const record_id &, const audit_event &body, log_offset, log_change &change)
{
    recordAuditEvent(body, change);
}

// Voids the target unless it was applied before. A VM voids only its own records.
void log_state::applyBody(const record_id &id, const void_record &body, log_offset offset, log_change &change)
{
    if (body.target.writer.vm != id.writer.vm) {
        change.refused.push_back({id, failure::Conflict, "the record to void belongs to another VM"});
        return;
    }
    auto &writer = m_writers[body.target.writer];
    writer.last = offset;
    if (writer.contains(body.target.sequence)) {
        return;
    }
    writer.insert(body.target.sequence);
    writer.voided.insert(body.target.sequence);
    change.voided.push_back(body.target);
}

// Expects the chunks of a snapshot in order and skips those of an abandoned snapshot.
void log_state::applyBody(const record_id &, const snapshot_chunk &body, log_offset offset, log_change &)
{
    if (body.index == 0) {
        m_openSnapshot = open_snapshot{body.digest, body.covers, offset, body.count, 0};
    }
    if (!m_openSnapshot || m_openSnapshot->digest != body.digest || m_openSnapshot->next != body.index) {
        return;
    }
    if (++m_openSnapshot->next < m_openSnapshot->count) {
        return;
    }
    m_lastSnapshot = {m_openSnapshot->covers, m_openSnapshot->first};
    m_openSnapshot.reset();
    // Uses the older of two clocks, so that one wrong clock of the writer or of a claimant does not remove claims early.
    const auto horizon = std::min(body.claimHorizon, m_newestClaim - claimRetention);
    std::erase_if(m_claims, [&](const auto &item) { return item.second.claim.claimedAt < horizon; });
}

void log_state::recordAuditEvent(audit_event event, log_change &change)
{
    event.actor = shortened(std::move(event.actor));
    event.subject = shortened(std::move(event.subject));
    event.detail = shortened(std::move(event.detail));
    change.audit.push_back(event);
    m_audit.push_back(std::move(event));
    if (m_audit.size() > auditCapacity) {
        m_audit.pop_front();
    }
}

// Decides by offsets alone, so that all readers remove a writer at the same entry.
void log_state::removeExpiredWriters()
{
    const auto isExpired = [&](log_offset last) { return last + writerRetention < m_applied; };
    std::erase_if(m_writers, [&](const auto &item) { return isExpired(item.second.last); });
    std::erase_if(m_members, [&](const auto &item) {
        const bool member = m_epoch.contains({item.first, item.second.incarnation});
        return !member && isExpired(item.second.last);
    });
}

const claim_state *log_state::findClaim(const claim_key &key) const
{
    const auto it = m_claims.find(key);
    return it == m_claims.end() ? nullptr : &it->second;
}

const order_state *log_state::findOrder(const endpoint_name &name) const
{
    const auto it = m_orders.find(name);
    return it == m_orders.end() ? nullptr : &it->second;
}

const accepted_publication *log_state::lastPublication(const service_name &name) const
{
    const auto it = m_publications.find(name);
    return it == m_publications.end() ? nullptr : &it->second;
}

record_status log_state::recordStatusOf(const record_id &id) const
{
    const auto it = m_writers.find(id.writer);
    if (it == m_writers.end() || !it->second.contains(id.sequence)) {
        return record_status::Absent;
    }
    return it->second.voided.contains(id.sequence) ? record_status::Void : record_status::Applied;
}

void log_state::expireClaims(wall_millis now)
{
    m_claimHorizon = std::max<wall_millis>(0, now - claimRetention);
}

} // namespace plantainpoint
