#include "append_queue.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

constexpr duration batchInterval = std::chrono::milliseconds(25);
constexpr std::size_t maxBatchRecords = 500;
constexpr std::size_t maxPayloadBytes = 1'000'000;
// The shell waits less than this for an answer.
constexpr duration answerTimeout = std::chrono::seconds(6);
// Pause between two attempts to settle one record, so that records in doubt do not use up the append budget.
constexpr duration settleInterval = std::chrono::seconds(1);

// Returns whether the record does no harm if it takes effect late.
bool isRepeatable(const record_body &body)
{
    return std::holds_alternative<booking_outcome>(body) || std::holds_alternative<audit_event>(body);
}

bool isTracked(const record_body &body)
{
    return !std::holds_alternative<snapshot_chunk>(body) && !std::holds_alternative<void_record>(body);
}

// Returns an upper estimate of the encoded size in bytes.
std::size_t sizeOf(const log_record &record)
{
    constexpr std::size_t ordinaryBytes = 2000;
    if (const auto *const chunk = std::get_if<snapshot_chunk>(&record.body)) {
        return ordinaryBytes + chunk->data.size();
    }
    if (const auto *const outcome = std::get_if<booking_outcome>(&record.body)) {
        return ordinaryBytes + outcome->body.size();
    }
    return ordinaryBytes;
}

} // namespace

append_queue::append_queue(const log_state &state, incarnation_id self, const clock_source &clock)
    : m_state(state)
    , m_self(std::move(self))
    , m_clock(clock)
{
}

void append_queue::setSelf(incarnation_id self)
{
    m_self = std::move(self);
    m_sequence = 0;
}

record_id append_queue::nextId()
{
    return {m_self, ++m_sequence};
}

record_id append_queue::add(record_body body, outbox &out)
{
    log_record record{nextId(), std::move(body)};
    auto id = record.id;
    if (isTracked(record.body)) {
        m_pending[id] = {record, stage::Waiting, {}, 0};
    }
    m_queue.push_back(std::move(record));
    tick(out);
    return id;
}

void append_queue::tick(outbox &out)
{
    const auto now = m_clock.now();
    if (!m_queue.empty() && m_nextBatch <= now) {
        sendBatch(out);
    }
    while (!m_sent.empty() && m_sent.begin()->second.sentAt + answerTimeout <= now) {
        markDoubtful(m_sent.begin()->second, 0);
        m_sent.erase(m_sent.begin());
    }
}

void append_queue::sendBatch(outbox &out)
{
    std::vector<log_record> batch;
    sent_batch sent{{}, m_clock.now()};
    std::size_t bytes = 0;
    while (!m_queue.empty() && batch.size() < maxBatchRecords && (batch.empty() || bytes + sizeOf(m_queue.front()) <= maxPayloadBytes)) {
        bytes += sizeOf(m_queue.front());
        sent.records.push_back(m_queue.front().id);
        batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    out.push(append_log{++m_append, encodeBatch(batch)});
    m_sent[m_append] = std::move(sent);
    m_nextBatch = m_clock.now() + batchInterval;
}

void append_queue::onAnswer(const append_answer &answer, settled_appends &settled)
{
    const auto it = m_sent.find(answer.append);
    if (it == m_sent.end()) {
        return;
    }
    const auto batch = std::move(it->second);
    m_sent.erase(it);
    if (!answer.offset && !answer.mayBeCommitted) {
        refuse(batch, settled);
        return;
    }
    // An answer with an offset is checked against the log like a lost one, as only the entries that are read decide.
    markDoubtful(batch, answer.offset.value_or(0));
}

void append_queue::markDoubtful(const sent_batch &batch, log_offset answeredOffset)
{
    for (const auto &id : batch.records) {
        const auto it = m_pending.find(id);
        if (it != m_pending.end()) {
            it->second.currentStage = stage::Doubtful;
            it->second.since = m_clock.now();
            it->second.answeredOffset = answeredOffset;
        }
    }
}

void append_queue::refuse(const sent_batch &batch, settled_appends &settled)
{
    for (const auto &id : batch.records) {
        const auto it = m_pending.find(id);
        if (it == m_pending.end()) {
            continue;
        }
        if (isRepeatable(it->second.record.body)) {
            it->second.currentStage = stage::Doubtful;
            it->second.since = m_clock.now();
        } else {
            settle(id, append_result::Refused, settled);
        }
    }
}

void append_queue::onRecordsApplied(const log_change &change, settled_appends &settled)
{
    for (const auto &id : change.appliedRecords) {
        settle(id, append_result::Committed, settled);
    }
    for (const auto &id : change.voided) {
        settle(id, append_result::Void, settled);
    }
}

void append_queue::onSnapshot(settled_appends &settled)
{
    std::vector<record_id> ids;
    for (const auto &[id, entry] : m_pending) {
        ids.push_back(id);
    }
    for (const auto &id : ids) {
        const auto recordStatus = m_state.recordStatusOf(id);
        if (recordStatus != record_status::Absent) {
            settle(id, recordStatus == record_status::Void ? append_result::Void : append_result::Committed, settled);
        }
    }
}

void append_queue::settle(const record_id &id, append_result appendResult, settled_appends &settled)
{
    if (m_pending.erase(id) > 0) {
        settled.push_back({id, appendResult});
    }
}

void append_queue::onProof(const log_head_proof &proof, outbox &out)
{
    for (auto &[id, entry] : m_pending) {
        const bool proofDecides = proof.sentAt >= entry.since && (entry.answeredOffset == 0 || proof.offset > entry.answeredOffset);
        if (entry.currentStage == stage::Doubtful && proofDecides) {
            retryOrVoid(entry);
        }
    }
    tick(out);
}

// Sends the record again or voids it. It was absent from the log after its append had ended, but may still be committed late.
void append_queue::retryOrVoid(pending_record &entry)
{
    entry.since = m_clock.now() + settleInterval;
    if (isRepeatable(entry.record.body)) {
        m_queue.push_back(entry.record);
    } else {
        m_queue.push_back({nextId(), void_record{entry.record.id}});
    }
}

time_point append_queue::nextTick() const
{
    auto next = time_point::max();
    if (!m_queue.empty()) {
        next = m_nextBatch;
    }
    if (!m_sent.empty()) {
        next = std::min(next, m_sent.begin()->second.sentAt + answerTimeout);
    }
    return next;
}

} // namespace plantainpoint
