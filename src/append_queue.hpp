// Batches records into appends and tracks each record until its result is certain.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "log_state.hpp"
#include "plantainpoint/clock.hpp"
#include "plantainpoint/commands.hpp"

namespace plantainpoint {

// Evidence that the head of the log was reached.
struct log_head_proof {
    time_point sentAt{};
    log_offset offset = 0;
};

enum class append_result : std::uint8_t {
    Committed, // The record was applied.
    Void, // The record will never take effect.
    Refused, // The log refused the append before writing it.
};

struct settled_append {
    record_id id;
    append_result appendResult = append_result::Committed;
};

using settled_appends = std::vector<settled_append>;

// Queue of records to append. Booking outcomes and audit events are sent again under the same id until they are applied. Snapshot chunks and void records are
// sent once and not tracked. Every other record in doubt is voided.
class append_queue
{
public:
    append_queue(const log_state &state, incarnation_id self, const clock_source &clock);

    // Queues a record and returns its id. The record is sent at once if no batch was sent within the last batch interval.
    record_id add(record_body body, outbox &out);

    void onAnswer(const append_answer &answer, settled_appends &settled);
    void onRecordsApplied(const log_change &change, settled_appends &settled);
    // Looks up every pending record after a snapshot replaced entries that were not read.
    void onSnapshot(settled_appends &settled);
    // Handles a proof after the state has applied every entry below the proof's offset.
    void onProof(const log_head_proof &proof, outbox &out);
    void tick(outbox &out);

    void setSelf(incarnation_id self);
    time_point nextTick() const;
    std::size_t pending() const { return m_pending.size(); }

private:
    enum class stage : std::uint8_t {
        Waiting, // In the queue, or sent without an answer so far.
        Doubtful, // The record counts as absent unless it is applied before the next proof.
    };

    struct pending_record {
        log_record record;
        stage currentStage = stage::Waiting;
        time_point since{}; // Start of the doubt, or earliest time of the proof that triggers the next attempt to settle the record.
        log_offset answeredOffset = 0; // Offset at which the log reported to have written the record.
    };

    struct sent_batch {
        std::vector<record_id> records;
        time_point sentAt{};
    };

    using pending_map = std::map<record_id, pending_record>;

    record_id nextId();
    void sendBatch(outbox &out);
    void markDoubtful(const sent_batch &batch, log_offset answeredOffset);
    void refuse(const sent_batch &batch, settled_appends &settled);
    void retryOrVoid(pending_record &entry);
    void settle(const record_id &id, append_result appendResult, settled_appends &settled);

    const log_state &m_state;
    incarnation_id m_self;
    const clock_source &m_clock;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_append = 0;
    std::deque<log_record> m_queue;
    pending_map m_pending;
    std::map<std::uint64_t, sent_batch> m_sent; // Keyed by append number.
    time_point m_nextBatch{};
};

} // namespace plantainpoint
