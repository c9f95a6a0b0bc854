#include "snapshot_scan.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

constexpr std::size_t chunkBytes = 256'000;
// Both bounds keep abandoned snapshots from filling the memory of a starting VM.
constexpr std::size_t maxOpenSnapshots = 4;
constexpr std::size_t maxSnapshotBytes = 256'000'000;

} // namespace

std::optional<std::string> snapshot_scan::feed(const log_entry &entry)
{
    m_next = std::max(m_next, entry.offset + 1);
    const auto records = decodeBatch(entry.payload);
    if (!records.ok()) {
        return std::nullopt;
    }
    for (const auto &record : *records) {
        const auto *const chunk = std::get_if<snapshot_chunk>(&record.body);
        if (!chunk || chunk->covers < m_first) {
            continue;
        }
        if (auto snapshot = addChunk(*chunk)) {
            return snapshot;
        }
    }
    return std::nullopt;
}

std::optional<std::string> snapshot_scan::addChunk(const snapshot_chunk &chunk)
{
    if (chunk.index == 0) {
        if (m_partialSnapshots.size() >= maxOpenSnapshots) {
            m_partialSnapshots.clear();
        }
        m_partialSnapshots[chunk.digest] = {};
    }
    const auto it = m_partialSnapshots.find(chunk.digest);
    if (it == m_partialSnapshots.end() || it->second.next != chunk.index) {
        return std::nullopt;
    }
    auto &partial = it->second;
    ++partial.next;
    partial.data += chunk.data;
    if (partial.data.size() > maxSnapshotBytes) {
        m_partialSnapshots.erase(it);
        return std::nullopt;
    }
    if (partial.next < chunk.count) {
        return std::nullopt;
    }
    auto data = std::move(partial.data);
    m_partialSnapshots.erase(it);
    if (toHex(digestOf(data)) != chunk.digest) {
        return std::nullopt;
    }
    return data;
}

std::vector<snapshot_chunk> chunksOf(const std::string &snapshot, log_offset covers, wall_millis claimHorizon)
{
    const auto digest = toHex(digestOf(snapshot));
    const auto count = static_cast<std::uint32_t>((snapshot.size() + chunkBytes - 1) / chunkBytes);
    std::vector<snapshot_chunk> chunks;
    for (std::uint32_t index = 0; index < count; ++index) {
        chunks.push_back({covers, index, count, digest, snapshot.substr(index * chunkBytes, chunkBytes), claimHorizon});
    }
    return chunks;
}

} // namespace plantainpoint
