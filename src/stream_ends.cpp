#include "stream_ends.hpp"

#include <algorithm>
#include <chrono>

namespace plantainpoint {

std::uint64_t digestOfEvent(std::string_view event)
{
    std::uint64_t digest = 0;
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        const auto line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with("id:")) {
            digest = stableHash(line, digest);
        }
    }
    return digest;
}

void stream_end_history::final_event::onEnd(std::uint64_t event)
{
    m_ends = m_ends > 0 && event == m_digest ? m_ends + 1 : 1;
    m_digest = event;
}

void stream_end_history::final_event::onContinued(std::uint64_t event)
{
    if (event == m_digest) {
        m_ends = 0;
    }
}

void stream_end_history::onMarked(std::uint64_t finalEvent)
{
    m_marked.onEnd(finalEvent);
}

void stream_end_history::onProved(const stream_end &end, time_point now)
{
    m_proved.onEnd(end.finalEvent);
    m_provedAt = now;
    m_provingUntil = {};
    onAssumed(end);
}

void stream_end_history::onAssumed(const stream_end &end)
{
    if (end.isSilenceKnown) {
        m_silences.at(m_silenceCount++ % maxSilences) = end.silence;
    }
}

void stream_end_history::onContinued(std::uint64_t event)
{
    m_proved.onContinued(event);
    m_marked.onContinued(event);
}

void stream_end_history::doubt(std::uint64_t stream, const endpoint_name &endpoint, time_point at)
{
    std::erase_if(m_doubted, [&](const auto &each) { return at - each.at > doubtTime; });
    m_doubted.push_back({stream, endpoint, at});
}

void stream_end_history::acquit(std::uint64_t stream)
{
    std::erase_if(m_doubted, [&](const auto &each) { return each.stream == stream; });
}

bool stream_end_history::hasDoubt(std::uint64_t stream, const endpoint_name &endpoint, time_point at) const
{
    return std::any_of(m_doubted.begin(), m_doubted.end(), [&](const auto &each) {
        return each.stream != stream && each.endpoint == endpoint && std::chrono::abs(each.at - at) <= sameMoment;
    });
}

bool stream_end_history::isUsualSilence(const stream_end &end, time_point now) const
{
    const auto count = std::min(m_silenceCount, maxSilences);
    auto known = m_silences;
    std::sort(known.begin(), known.begin() + static_cast<std::ptrdiff_t>(count));
    const auto parts = std::min(intervalParts * static_cast<std::int64_t>(count), maxIntervalParts);
    const auto tolerance = std::max(leastTolerance, end.eventInterval / parts);
    const auto shortest = known.front() - tolerance;
    const auto longest = known.at(count - 1 - count / unusualPart) + tolerance;
    const auto strictLongest = shortest + std::max(leastTolerance, end.eventInterval / strictParts);
    return end.silence >= shortest && end.silence <= (isCalm(now) ? longest : std::min(longest, strictLongest));
}

end_doubt stream_end_history::compare(const stream_end &end, time_point now) const
{
    if (hasFinalEvent()) {
        return m_proved.is(end.finalEvent) ? end_doubt::None : end_doubt::OtherEvent;
    }
    if (m_marked.is(end.finalEvent)) {
        return end_doubt::None;
    }
    if (m_silenceCount == 0 || now - m_provedAt > knownTime) {
        return end_doubt::NothingProved;
    }
    return end.isSilenceKnown && isUsualSilence(end, now) ? end_doubt::None : end_doubt::OtherSilence;
}

} // namespace plantainpoint
