// batches records into appends and sees each record through to certainty
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "log_state.hpp"
#include "plantainpoint/clock.hpp"
#include "plantainpoint/commands.hpp"

namespace plantainpoint {

// a proof that the log's head was reached
struct log_head_proof {
    time_point sentAt{};
    log_offset offset = 0;
};

enum class append_result : std::uint8_t {
    Committed, // the record was applied
    Void, // the record will never take effect
    Refused, // the log refused before writing
};

struct settled_append {
    record_id id;
    append_result appendResult = append_result::Committed;
};

using settled_appends = std::vector<settled_append>;

// booking outcomes and audit events are sent again under the same id until they are applied; a snapshot chunk is sent once and not pending;
// every other record in doubt is voided
class append_queue
{
public:
    append_queue(const log_state &state, incarnation_id self, const clock_source &clock);

    // queues a record; it leaves at once when no batch left within the last batch interval
    record_id add(record_body body, outbox &out);

    void onAnswer(const append_answer &answer, settled_appends &settled);
    void onRecordsApplied(const log_change &change, settled_appends &settled);
    // looks every pending record up after entries were passed over
    void onSnapshot(settled_appends &settled);
    // the state has applied every entry below the proof's offset
    void onProof(const log_head_proof &proof, outbox &out);
    void tick(outbox &out);

    void setSelf(incarnation_id self);
    time_point nextTick() const;
    std::size_t pending() const { return m_pending.size(); }

private:
    enum class stage : std::uint8_t {
        Waiting, // in the queue, or sent without an answer so far
        Doubtful, // absent unless the next proof shows otherwise
    };

    struct pending_record {
        log_record record;
        stage at = stage::Waiting;
        time_point since{}; // of the doubt, or of the last attempt to settle it
        log_offset answered = 0; // where the log says that it wrote the record
    };

    struct sent_batch {
        std::vector<record_id> records;
        time_point sentAt{};
    };

    using pending_map = std::map<record_id, pending_record>;

    record_id nextId();
    void sendBatch(outbox &out);
    void doubt(const sent_batch &batch, log_offset answered);
    void refuse(const sent_batch &batch, settled_appends &settled);
    void settleDoubt(pending_record &entry);
    void settle(const record_id &id, append_result appendResult, settled_appends &settled);

    const log_state &m_state;
    incarnation_id m_self;
    const clock_source &m_clock;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_append = 0;
    std::deque<log_record> m_queue;
    pending_map m_pending;
    std::map<std::uint64_t, sent_batch> m_sent; // by append number
    time_point m_nextBatch{};
};

} // namespace plantainpoint
