// Finds the first complete snapshot in the entries of the log.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "plantainpoint/records.hpp"

namespace plantainpoint {

class snapshot_scan
{
public:
    // Scans from the oldest entry that the log keeps. A snapshot that covers less than this is of no use.
    explicit snapshot_scan(log_offset oldestEntry)
        : m_first(oldestEntry)
        , m_next(oldestEntry)
    {
    }

    // Processes an entry. Returns the bytes of a snapshot once its last chunk was processed.
    std::optional<std::string> feed(const log_entry &entry);

    // Returns the offset of the entry to read next.
    log_offset next() const { return m_next; }

private:
    struct partial_snapshot {
        std::uint32_t next = 0;
        std::string data;
    };

    std::optional<std::string> addChunk(const snapshot_chunk &chunk);

    log_offset m_first;
    log_offset m_next;
    std::map<std::string, partial_snapshot> m_partialSnapshots; // Keyed by the snapshot's digest.
};

// Splits a snapshot into chunks, each for one record.
std::vector<snapshot_chunk> chunksOf(const std::string &snapshot, log_offset covers, wall_millis claimHorizon);

} // namespace plantainpoint
