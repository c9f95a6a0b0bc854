// Writes snapshots into the log. Only the first member of the epoch does so.
#include <algorithm>

#include "log_follower.hpp"

namespace plantainpoint {

namespace {

constexpr duration snapshotCheckInterval = std::chrono::seconds(1);
// A log without a snapshot gets its first one soon, so that no VM depends on the first entries of the log.
constexpr duration firstSnapshotDelay = std::chrono::seconds(10);
constexpr duration maxSnapshotAge = std::chrono::minutes(10);
constexpr duration minSnapshotInterval = std::chrono::seconds(10);
// A starting VM applies this many entries in well under a second.
constexpr log_offset entriesPerSnapshot = 5'000;
// A chunk that was not read back from the log by then is abandoned together with its snapshot.
constexpr duration chunkTimeout = std::chrono::seconds(5);

} // namespace

bool log_follower::writesSnapshots() const
{
    const auto &members = m_state.epoch().members;
    return m_caughtUp && !members.empty() && members.front().id == m_self;
}

// Returns whether a new snapshot is due. To precede the log's retention, it is due at the latest when the newest snapshot lies in the older half of the entries
// that the log keeps.
bool log_follower::snapshotDue() const
{
    const auto age = m_clock.now() - m_snapshotSince;
    const auto covered = m_state.lastSnapshot().covers;
    if (covered == 0) {
        return age >= firstSnapshotDelay || m_logFirst > 0 || m_state.applied() >= entriesPerSnapshot;
    }
    if (age < minSnapshotInterval) {
        return false;
    }
    const auto middle = m_logFirst + (m_state.applied() - std::min(m_logFirst, m_state.applied())) / 2;
    const bool inOlderHalf = m_logFirst > 0 && m_state.lastSnapshot().first < middle;
    return age >= maxSnapshotAge || inOlderHalf || m_state.applied() - covered >= entriesPerSnapshot;
}

void log_follower::onSnapshotChunkApplied(const log_change &change)
{
    if (m_openChunk && std::find(change.appliedRecords.begin(), change.appliedRecords.end(), *m_openChunk) != change.appliedRecords.end()) {
        m_openChunk.reset();
        m_nextSnapshotCheck = m_clock.now();
    }
}

// Sends one chunk at a time, as chunks in flight together could be committed in another order.
void log_follower::writeSnapshot(outbox &out)
{
    const auto now = m_clock.now();
    if (m_nextSnapshotCheck > now) {
        return;
    }
    m_nextSnapshotCheck = now + snapshotCheckInterval;
    if (m_state.lastSnapshot().covers != m_knownSnapshotOffset) {
        m_knownSnapshotOffset = m_state.lastSnapshot().covers;
        m_snapshotSince = now;
    }
    if (m_openChunk && m_chunkSentAt + chunkTimeout <= now) {
        m_openChunk.reset();
        m_chunks.clear();
    }
    if (m_openChunk || !writesSnapshots() || m_state.applied() == 0) {
        return;
    }
    if (m_chunks.empty() && snapshotDue()) {
        m_snapshotSince = now;
        const auto chunks = chunksOf(m_state.snapshot(), m_state.applied(), m_state.claimHorizon());
        m_chunks.assign(chunks.begin(), chunks.end());
        out.push(log_line{severity::Info, log_component::Log, std::nullopt, "writing a snapshot that covers " + std::to_string(m_state.applied())});
    }
    if (!m_chunks.empty()) {
        m_openChunk = m_appends.add(std::move(m_chunks.front()), out);
        m_chunks.pop_front();
        m_chunkSentAt = now;
    }
}

} // namespace plantainpoint
