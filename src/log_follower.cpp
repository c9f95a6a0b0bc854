#include "log_follower.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

// The log delays its answer to a long poll by up to this time, so a proof is up to this old when it arrives.
constexpr duration longPollTime = std::chrono::milliseconds(500);
constexpr std::int32_t entriesPerRead = 1000;
constexpr duration relayTimeout = std::chrono::seconds(1);
// The shell answers a read before this time has passed, even if the log does not answer.
constexpr duration readTimeout = std::chrono::seconds(10);
constexpr duration readRetry = std::chrono::milliseconds(100);
constexpr duration peerFetchInterval = std::chrono::milliseconds(250);
// Covers a long poll and an answer that is delayed by about a second.
constexpr duration readableProofAge = std::chrono::seconds(2);
// A relay message with an older proof comes from a VM that currently cannot read the log.
constexpr duration maxRelayProofAge = std::chrono::seconds(3);
constexpr duration unknownProofAge = std::chrono::hours(1);
constexpr std::size_t maxRelayBytes = 500'000;
constexpr std::size_t maxRecentBytes = 4'000'000;
constexpr std::size_t maxRecentEntries = 20'000;
constexpr duration tickInterval = std::chrono::seconds(1);

} // namespace

void recent_entries::push(const log_entry &entry)
{
    m_entries.push_back(entry);
    m_bytes += entry.payload.size();
    while (m_entries.size() > maxRecentEntries || m_bytes > maxRecentBytes) {
        m_bytes -= m_entries.front().payload.size();
        m_entries.pop_front();
    }
}

void recent_entries::clear()
{
    m_entries.clear();
    m_bytes = 0;
}

std::optional<std::vector<log_entry>> recent_entries::since(log_offset from, log_offset applied) const
{
    if (from >= applied) {
        return std::vector<log_entry>{};
    }
    if (m_entries.empty() || m_entries.front().offset > from) {
        return std::nullopt;
    }
    const auto skipped = static_cast<std::ptrdiff_t>(from - m_entries.front().offset);
    return std::vector<log_entry>(m_entries.begin() + skipped, m_entries.end());
}

log_follower::log_follower(log_state &state, incarnation_id self, const clock_source &clock)
    : m_state(state)
    , m_self(self)
    , m_clock(clock)
    , m_appends(state, std::move(self), clock)
    , m_snapshotSince(clock.now())
{
}

record_id log_follower::append(record_body body, outbox &out)
{
    return m_appends.add(std::move(body), out);
}

void log_follower::setDataCentreMembers(std::vector<epoch_member> members)
{
    m_dataCentreMembers = std::move(members);
}

void log_follower::setPeers(std::map<vm_name, std::string> addresses)
{
    m_peers = std::move(addresses);
}

void log_follower::setSelf(incarnation_id self)
{
    m_self = self;
    m_appends.setSelf(std::move(self));
    m_chunks.clear();
    m_openChunk.reset();
}

// A VM that is not a member yet reads the log itself.
bool log_follower::isReader() const
{
    const auto self = std::find_if(m_dataCentreMembers.begin(), m_dataCentreMembers.end(), [&](const epoch_member &member) { return member.id == m_self; });
    return self == m_dataCentreMembers.begin() || self == m_dataCentreMembers.end();
}

bool log_follower::readsDirectly() const
{
    return isReader() || !m_lastRelay || *m_lastRelay + relayTimeout <= m_clock.now();
}

bool log_follower::logReadable() const
{
    return m_proof && m_proof->sentAt + readableProofAge > m_clock.now();
}

void log_follower::startRead(outbox &out)
{
    const auto now = m_clock.now();
    if (m_readStartedAt && *m_readStartedAt + readTimeout > now) {
        return;
    }
    if (!readsDirectly() || m_nextRead > now) {
        return;
    }
    const bool behind = !m_proof || m_proof->offset > m_state.applied();
    m_readStartedAt = now;
    out.push(read_log{m_scan ? m_scan->next() : m_state.applied(), entriesPerRead, behind ? duration{0} : longPollTime});
}

bool log_follower::applyAll(const std::vector<log_entry> &entries, log_follower_events &events)
{
    for (const auto &entry : entries) {
        const auto before = m_state.applied();
        auto change = m_state.applyEntry(entry);
        if (m_state.applied() == before) {
            if (!change.ok()) {
                return false;
            }
            continue;
        }
        m_recent.push(entry);
        if (change.ok()) {
            m_appends.onRecordsApplied(*change, events.settled);
            onSnapshotChunkApplied(*change);
            events.changes.push_back(std::move(*change));
        }
    }
    return true;
}

void log_follower::onHeadReached(const log_head_proof &proof, outbox &out)
{
    if (m_state.applied() < proof.offset) {
        return;
    }
    if (!m_proof || proof.sentAt > m_proof->sentAt) {
        m_proof = proof;
    }
    m_caughtUp = true;
    if (m_state.applied() >= m_logFirst) {
        m_scan.reset();
    }
    m_appends.onProof(proof, out);
}

log_follower_events log_follower::onRead(const log_read &message, outbox &out)
{
    log_follower_events events;
    m_readStartedAt.reset();
    m_readFailing = false;
    m_logFirst = message.first;
    m_nextRead = m_clock.now();
    if (m_scan) {
        scan(message, events, out);
        startRead(out);
        return events;
    }
    applyAll(message.entries, events);
    // An answer with an older head than the applied state proves nothing about the log's head.
    const bool isStale = message.head < m_state.applied() && message.entries.empty();
    if (!isStale && m_state.applied() >= message.head) {
        const log_head_proof proof{message.sentAt, message.head};
        onHeadReached(proof, out);
        events.proof = proof;
    } else if (message.entries.empty()) {
        m_nextRead += readRetry;
    }
    relay(message, out);
    startRead(out);
    return events;
}

log_follower_events log_follower::onReadFailed(const log_read_failed &message, outbox &out)
{
    log_follower_events events;
    m_readStartedAt.reset();
    if (message.expired) {
        m_logFirst = message.first;
        if (message.first > m_state.applied()) {
            out.push(log_line{
                severity::Warning, log_component::Log, std::nullopt, "log starts at entry " + std::to_string(message.first) + "; looking for a snapshot"});
            m_scan.emplace(message.first);
            fetchFromPeer(out);
        }
        m_nextRead = m_clock.now() + (m_scan ? duration{0} : readRetry);
        startRead(out);
        return events;
    }
    events.readFailed = true;
    m_readFailing = true;
    m_nextRead = m_clock.now() + readRetry;
    fetchFromPeer(out);
    return events;
}

log_follower_events log_follower::onAppendAnswer(const append_answer &message, outbox &out)
{
    log_follower_events events;
    m_appends.onAnswer(message, events.settled);
    m_appends.tick(out);
    return events;
}

// Scans the entries until a snapshot is complete. If there is none, waits at the head of the log for the next one.
void log_follower::scan(const log_read &message, log_follower_events &events, outbox &out)
{
    for (const auto &entry : message.entries) {
        const auto snapshot = m_scan->feed(entry);
        if (snapshot && install(*snapshot, events, out)) {
            return;
        }
    }
    if (message.entries.empty()) {
        m_nextRead += readRetry;
        fetchFromPeer(out);
    }
}

bool log_follower::install(const std::string &snapshot, log_follower_events &events, outbox &out)
{
    const auto before = m_state.applied();
    const auto status = m_state.install(snapshot);
    if (!status.ok()) {
        out.push(log_line{severity::Warning, log_component::Log, std::nullopt, "cannot install snapshot: " + std::string{status.message()}});
        return false;
    }
    if (m_state.applied() > before) {
        m_recent.clear();
    }
    if (m_scan && m_state.applied() >= m_logFirst) {
        m_scan.reset();
    }
    events.snapshotInstalled = true;
    m_appends.onSnapshot(events.settled);
    out.push(log_line{
        severity::Info, log_component::Log, std::nullopt, "installed a snapshot with the entries below " + std::to_string(m_state.applied()) + " applied"});
    return true;
}

void log_follower::relay(const log_read &message, outbox &out)
{
    if (!isReader()) {
        return;
    }
    for (const auto &member : m_dataCentreMembers) {
        if (member.id != m_self) {
            sendEntries(member.id.vm, message.entries, {message.sentAt, message.head}, out);
        }
    }
}

// Sends the entries in messages of bounded size. Every message carries the proof, and a receiver can use it once it has applied the last one.
void log_follower::sendEntries(const vm_name &to, const std::vector<log_entry> &entries, const log_head_proof &proof, outbox &out)
{
    const auto age = m_clock.now() - proof.sentAt;
    log_relay message{{}, proof.offset, age};
    std::size_t bytes = 0;
    for (const auto &entry : entries) {
        if (bytes > 0 && bytes + entry.payload.size() > maxRelayBytes) {
            send(to, std::exchange(message, log_relay{{}, proof.offset, age}), out);
            bytes = 0;
        }
        bytes += entry.payload.size();
        message.entries.push_back(entry);
    }
    send(to, std::move(message), out);
}

template<class Body>
void log_follower::send(const vm_name &to, Body body, outbox &out)
{
    out.push(send_peer{to, addressOf(to), peer_message{m_self, 0, std::move(body)}});
}

std::string log_follower::addressOf(const vm_name &vm) const
{
    const auto peer = m_peers.find(vm);
    if (peer != m_peers.end()) {
        return peer->second;
    }
    const auto matches = [&](const epoch_member &member) { return member.id.vm == vm; };
    const auto dataCentreMember = std::find_if(m_dataCentreMembers.begin(), m_dataCentreMembers.end(), matches);
    if (dataCentreMember != m_dataCentreMembers.end()) {
        return dataCentreMember->peerAddress;
    }
    const auto &members = m_state.epoch().members;
    const auto member = std::find_if(members.begin(), members.end(), matches);
    return member == members.end() ? std::string{} : member->peerAddress;
}

log_follower_events log_follower::onPeer(const incarnation_id &from, const log_relay &message, outbox &out)
{
    log_follower_events events;
    const auto now = m_clock.now();
    const bool complete = applyAll(message.entries, events);
    if (message.proofAge < maxRelayProofAge) {
        m_lastRelay = now;
        // A proof that this VM cannot use yet still shows that entries are missing.
        onHeadReached({now - message.proofAge, message.head}, out);
    }
    const bool entriesMissing = message.head > m_state.applied() && message.entries.empty();
    if ((!complete || entriesMissing) && m_nextPeerFetch <= now) {
        m_nextPeerFetch = now + peerFetchInterval;
        send(from.vm, log_fetch{m_state.applied()}, out);
    }
    return events;
}

log_follower_events log_follower::onPeer(const incarnation_id &from, const log_fetch &message, outbox &out)
{
    const auto entries = m_recent.since(message.from, m_state.applied());
    if (!entries) {
        sendSnapshot(from.vm, out);
        return {};
    }
    const auto now = m_clock.now();
    sendEntries(from.vm, *entries, m_proof.value_or(log_head_proof{now - unknownProofAge, m_state.applied()}), out);
    return {};
}

log_follower_events log_follower::onPeer(const incarnation_id &from, const snapshot_fetch &, outbox &out)
{
    sendSnapshot(from.vm, out);
    return {};
}

void log_follower::sendSnapshot(const vm_name &to, outbox &out)
{
    if (m_state.applied() == 0) {
        return;
    }
    if (m_peerSnapshot.covers != m_state.applied()) {
        m_peerSnapshot.covers = m_state.applied();
        m_peerSnapshot.data = m_state.snapshot();
        m_peerSnapshot.digest = toHex(digestOf(m_peerSnapshot.data));
    }
    send(to, snapshot_reply{m_peerSnapshot.covers, m_peerSnapshot.data, m_peerSnapshot.digest}, out);
}

log_follower_events log_follower::onPeer(const incarnation_id &, const snapshot_reply &message, outbox &out)
{
    log_follower_events events;
    if (message.covers > m_state.applied() && toHex(digestOf(message.data)) == message.digest) {
        install(message.data, events, out);
        m_nextRead = m_clock.now();
    }
    return events;
}

// Requests missing entries or a snapshot from the other VMs in turn while the log does not provide them.
void log_follower::fetchFromPeer(outbox &out)
{
    const auto now = m_clock.now();
    if (m_nextPeerFetch > now) {
        return;
    }
    std::vector<vm_name> candidates;
    for (const auto &member : m_dataCentreMembers) {
        candidates.push_back(member.id.vm);
    }
    for (const auto &[vm, address] : m_peers) {
        candidates.push_back(vm);
    }
    std::erase(candidates, m_self.vm);
    if (candidates.empty()) {
        return;
    }
    m_nextPeerFetch = now + peerFetchInterval;
    const auto &to = candidates[m_nextFetchPeer++ % candidates.size()];
    if (m_scan || m_state.applied() == 0) {
        send(to, snapshot_fetch{}, out);
    } else {
        send(to, log_fetch{m_state.applied()}, out);
    }
}

log_follower_events log_follower::tick(outbox &out)
{
    m_appends.tick(out);
    if (m_readFailing) {
        fetchFromPeer(out);
    }
    startRead(out);
    writeSnapshot(out);
    return {};
}

time_point log_follower::nextTick() const
{
    const auto now = m_clock.now();
    auto next = std::min({now + tickInterval, m_appends.nextTick(), m_nextSnapshotCheck});
    if (m_readStartedAt) {
        return std::min(next, *m_readStartedAt + readTimeout);
    }
    next = std::min(next, readsDirectly() ? m_nextRead : *m_lastRelay + relayTimeout);
    return m_readFailing ? std::min(next, std::max(m_nextPeerFetch, m_nextRead)) : next;
}

} // namespace plantainpoint
