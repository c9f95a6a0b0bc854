#include "record_keepers.hpp"

#include <algorithm>
#include <utility>

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

constexpr duration firstAskDelay = milliseconds{100}; // The directory answers within some milliseconds.
constexpr duration firstAskInterval = milliseconds{150};
constexpr duration longestAskInterval = milliseconds{1200};
constexpr std::size_t receiversPerAsk = 2;

} // namespace

void record_keepers::add(const stream_record &record, time_point now)
{
    m_unstored[record.stream] = {.record = record, .begunAt = now, .nextAskAt = now + firstAskDelay, .askInterval = firstAskInterval};
}

void record_keepers::onStored(const std::vector<std::uint64_t> &streams)
{
    for (const auto stream : streams) {
        m_unstored.erase(stream);
    }
}

void record_keepers::forgetBefore(time_point time)
{
    std::erase_if(m_unstored, [&](const auto &item) { return item.second.begunAt < time; });
    std::erase_if(m_asks, [&](const auto &item) { return item.second.sentAt < time; });
}

std::size_t record_keepers::copiesOf(std::uint64_t stream) const
{
    const auto found = m_unstored.find(stream);
    return found == m_unstored.end() ? 0 : found->second.keepers.size();
}

std::vector<stream_record> record_keepers::takeDue(bool directoryFails, time_point now)
{
    std::vector<stream_record> due;
    for (auto &[stream, unstored] : m_unstored) {
        const bool isFirst = unstored.askInterval == firstAskInterval;
        if (now < unstored.nextAskAt && !(isFirst && directoryFails)) {
            continue;
        }
        unstored.nextAskAt = now + unstored.askInterval;
        unstored.askInterval = std::min(unstored.askInterval * 2, longestAskInterval);
        due.push_back(unstored.record);
    }
    return due;
}

void record_keepers::onAsked(std::uint64_t number, const std::vector<stream_record> &records, time_point now)
{
    auto &ask = m_asks[number];
    ask.sentAt = now;
    std::transform(records.begin(), records.end(), std::back_inserter(ask.streams), [](const auto &record) { return record.stream; });
}

std::vector<fleet_member>
record_keepers::sendTo(std::uint64_t number, const std::vector<stream_record> &records, const std::vector<fleet_member> &candidates, time_point now)
{
    onAsked(number, records, now);
    std::vector<fleet_member> receivers;
    const auto storer = std::find_if(candidates.begin(), candidates.end(), [&](const auto &candidate) { return candidate.vm == m_lastStorer; });
    if (storer != candidates.end()) {
        receivers.push_back(*storer);
    }
    for (std::size_t i = 0; i < candidates.size() && receivers.size() < receiversPerAsk; ++i) {
        const auto &candidate = candidates[m_nextCandidate++ % candidates.size()];
        if (candidate.vm != m_lastStorer) {
            receivers.push_back(candidate);
        }
    }
    return receivers;
}

std::vector<std::uint64_t> record_keepers::on(const record_keeping_answer &answer)
{
    const auto found = m_asks.find(answer.number);
    if (found == m_asks.end()) {
        return {};
    }
    auto streams = found->second.streams;
    if (answer.stored) {
        m_asks.erase(found);
        m_lastStorer = answer.from.vm;
        onStored(streams);
        return streams;
    }
    for (const auto stream : streams) {
        if (const auto unstored = m_unstored.find(stream); unstored != m_unstored.end()) {
            unstored->second.keepers.insert(answer.from.vm);
        }
    }
    return streams;
}

std::vector<std::pair<std::string, record_keeping_answer>> kept_records::onStored(const std::vector<std::uint64_t> &streams)
{
    std::vector<std::pair<std::string, record_keeping_answer>> answers;
    std::erase_if(m_promises, [&](auto &kept) {
        for (const auto stream : streams) {
            kept.streams.erase(stream);
        }
        if (!kept.streams.empty()) {
            return false;
        }
        answers.emplace_back(kept.address, record_keeping_answer{.receiverIncarnation = kept.owner.number, .number = kept.number, .stored = true});
        return true;
    });
    return answers;
}

void kept_records::forgetBefore(time_point time)
{
    std::erase_if(m_promises, [&](const auto &kept) { return kept.keptAt < time; });
}

} // namespace plantainpoint
