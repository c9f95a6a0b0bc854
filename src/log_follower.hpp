// Reads the log, alone or for the whole data centre, and tracks appends until their results are certain.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "append_queue.hpp"
#include "log_state.hpp"
#include "plantainpoint/clock.hpp"
#include "plantainpoint/commands.hpp"
#include "snapshot_scan.hpp"

namespace plantainpoint {

// Events that the rest of the core has to handle.
struct log_follower_events {
    std::vector<log_change> changes;
    std::optional<log_head_proof> proof; // Proof from this VM's own read, newer than the previous one.
    bool readFailed = false;
    bool snapshotInstalled = false;
    settled_appends settled;
};

// Keeps the newest entries for VMs that have missed some.
class recent_entries
{
public:
    void push(const log_entry &entry);
    void clear();
    // Returns the entries from an offset on, or nothing if one of them is no longer kept.
    std::optional<std::vector<log_entry>> since(log_offset from, log_offset applied) const;

private:
    std::deque<log_entry> m_entries;
    std::size_t m_bytes = 0;
};

class log_follower
{
public:
    log_follower(log_state &state, incarnation_id self, const clock_source &clock);

    // Queues a record for the next batch and returns its id.
    record_id append(record_body body, outbox &out);

    log_follower_events onRead(const log_read &message, outbox &out);
    log_follower_events onReadFailed(const log_read_failed &message, outbox &out);
    log_follower_events onAppendAnswer(const append_answer &message, outbox &out);
    log_follower_events onPeer(const incarnation_id &from, const log_relay &message, outbox &out);
    log_follower_events onPeer(const incarnation_id &from, const log_fetch &message, outbox &out);
    log_follower_events onPeer(const incarnation_id &from, const snapshot_fetch &message, outbox &out);
    log_follower_events onPeer(const incarnation_id &from, const snapshot_reply &message, outbox &out);

    // Sets the live members of this VM's data centre, sorted by name. The first one reads the log for the others.
    void setDataCentreMembers(std::vector<epoch_member> members);
    // Sets the peer addresses of all VMs that are heard. They are used to catch up while the log is unreachable.
    void setPeers(std::map<vm_name, std::string> addresses);
    void setSelf(incarnation_id self);

    // Starts due reads, sends batches and snapshot chunks, marks unanswered appends as doubtful, and reads directly if the reader has stopped relaying.
    log_follower_events tick(outbox &out);

    time_point nextTick() const;
    // Returns whether the newest log head proof, own or relayed, is recent.
    bool logReadable() const;
    // Returns whether the log's head was reached at least once since the start.
    bool caughtUp() const { return m_caughtUp; }
    std::size_t pendingAppends() const { return m_appends.pending(); }

private:
    bool isReader() const;
    bool readsDirectly() const;
    bool writesSnapshots() const;
    void startRead(outbox &out);
    // Applies the entries that follow the applied ones. Returns false if one is missing.
    bool applyAll(const std::vector<log_entry> &entries, log_follower_events &events);
    void scan(const log_read &message, log_follower_events &events, outbox &out);
    bool install(const std::string &snapshot, log_follower_events &events, outbox &out);
    void onHeadReached(const log_head_proof &proof, outbox &out);
    void relay(const log_read &message, outbox &out);
    void sendEntries(const vm_name &to, const std::vector<log_entry> &entries, const log_head_proof &proof, outbox &out);
    void fetchFromPeer(outbox &out);
    template<class Body>
    void send(const vm_name &to, Body body, outbox &out);
    std::string addressOf(const vm_name &vm) const;
    void sendSnapshot(const vm_name &to, outbox &out);
    void writeSnapshot(outbox &out);
    bool snapshotDue() const;
    void onSnapshotChunkApplied(const log_change &change);

    log_state &m_state;
    incarnation_id m_self;
    const clock_source &m_clock;
    append_queue m_appends;
    recent_entries m_recent;
    std::vector<epoch_member> m_dataCentreMembers;
    std::map<vm_name, std::string> m_peers;

    std::optional<time_point> m_readStartedAt; // Start of the outstanding read.
    time_point m_nextRead{};
    std::optional<time_point> m_lastRelay;
    std::optional<log_head_proof> m_proof; // Newest proof, own or relayed.
    bool m_caughtUp = false;
    bool m_readFailing = false; // This VM's last read failed.
    log_offset m_logFirst = 0;

    std::optional<snapshot_scan> m_scan; // Set while the next entry to apply is no longer in the log.
    time_point m_nextPeerFetch{};
    std::size_t m_nextFetchPeer = 0;

    std::deque<snapshot_chunk> m_chunks; // Chunks that are not sent yet.
    std::optional<record_id> m_openChunk; // Chunk that is sent and not applied yet.
    time_point m_chunkSentAt{};
    log_offset m_knownSnapshotOffset = 0; // Offset that the newest known snapshot covers.
    time_point m_snapshotSince{}; // Time at which that snapshot became known or this VM last started to write one.
    time_point m_nextSnapshotCheck{};
    // Last snapshot that was encoded for a peer.
    struct {
        log_offset covers = 0;
        std::string data;
        std::string digest;
    } m_peerSnapshot;
};

} // namespace plantainpoint
