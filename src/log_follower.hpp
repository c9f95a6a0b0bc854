// reads the log, alone or for the data centre, and sees appends through to certainty
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

// what the rest of the core has to react to
struct log_follower_events {
    std::vector<log_change> changes;
    std::optional<log_head_proof> proof; // own proof, newer than before
    bool readFailed = false;
    bool snapshotInstalled = false;
    settled_appends settled;
};

// the newest entries, for neighbours that have missed some
class recent_entries
{
public:
    void push(const log_entry &entry);
    void clear();
    // empty when an entry from there on is no longer kept
    std::optional<std::vector<log_entry>> since(log_offset from, log_offset applied) const;

private:
    std::deque<log_entry> m_entries;
    std::size_t m_bytes = 0;
};

class log_follower
{
public:
    log_follower(log_state &state, incarnation_id self, const clock_source &clock);

    // queues a record; it leaves with the next batch. returns its id.
    record_id append(record_body body, outbox &out);

    log_follower_events onRead(const log_read &message, outbox &out);
    log_follower_events onReadFailed(const log_read_failed &message, outbox &out);
    log_follower_events onAppendAnswer(const append_answer &message, outbox &out);
    log_follower_events onPeer(const incarnation_id &from, const log_relay &message, outbox &out);
    log_follower_events onPeer(const incarnation_id &from, const log_fetch &message, outbox &out);
    log_follower_events onPeer(const incarnation_id &from, const snapshot_fetch &message, outbox &out);
    log_follower_events onPeer(const incarnation_id &from, const snapshot_reply &message, outbox &out);

    // live members of this VM's data centre, sorted; the first one reads for the others
    void setNeighbours(std::vector<epoch_member> members);
    // peer addresses of all VMs that are heard, for catching up while the log is out of reach
    void setPeers(std::map<vm_name, std::string> addresses);
    void setSelf(incarnation_id self);

    // starts the first read, sends batches, retries, voids doubtful appends, falls back to own reads
    log_follower_events tick(outbox &out);

    time_point nextTick() const;
    // the newest proof of the head, own or relayed, is young
    bool logReadable() const;
    // whether the log's head was reached once since the start
    bool caughtUp() const { return m_caughtUp; }
    std::size_t pendingAppends() const { return m_appends.pending(); }

private:
    bool isReader() const;
    bool readsItself() const;
    bool writesSnapshots() const;
    void startRead(outbox &out);
    // applies entries that follow on the state; false when one is missing
    bool applyAll(const std::vector<log_entry> &entries, log_follower_events &events);
    void scan(const log_read &message, log_follower_events &events, outbox &out);
    bool install(const std::string &snapshot, log_follower_events &events, outbox &out);
    void reached(const log_head_proof &proof, outbox &out);
    void relay(const log_read &message, outbox &out);
    void sendEntries(const vm_name &to, const std::vector<log_entry> &entries, const log_head_proof &proof, outbox &out);
    void fetchFromPeer(outbox &out);
    template<class Body>
    void send(const vm_name &to, Body body, outbox &out);
    std::string addressOf(const vm_name &vm) const;
    void sendSnapshot(const vm_name &to, outbox &out);
    void writeSnapshot(outbox &out);
    bool snapshotDue() const;
    void continueSnapshot(const log_change &change);

    log_state &m_state;
    incarnation_id m_self;
    const clock_source &m_clock;
    append_queue m_appends;
    recent_entries m_recent;
    std::vector<epoch_member> m_neighbours;
    std::map<vm_name, std::string> m_peers;

    std::optional<time_point> m_readSince; // of the read that is open
    time_point m_nextRead{};
    std::optional<time_point> m_lastRelay;
    std::optional<log_head_proof> m_proof; // newest one, own or relayed
    bool m_caughtUp = false;
    bool m_failing = false; // the last own read failed
    log_offset m_logFirst = 0;

    std::optional<snapshot_scan> m_scan; // the state's next entry is no longer in the log
    time_point m_nextPeerFetch{};
    std::size_t m_fetchTurn = 0;

    std::deque<snapshot_chunk> m_chunks; // not sent yet
    std::optional<record_id> m_openChunk; // sent and not applied yet
    time_point m_chunkSentAt{};
    log_offset m_knownSnapshot = 0; // offset that the newest known snapshot covers
    time_point m_snapshotSince{}; // since when it is known
    time_point m_nextSnapshotCheck{};
    // the last snapshot made for a peer
    struct {
        log_offset covers = 0;
        std::string data;
        std::string digest;
    } m_made;
};

} // namespace plantainpoint
