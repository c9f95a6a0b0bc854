#include "event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace plantainpoint {

std::size_t event_splitter::endOfEvent(std::size_t begin)
{
    // A blank line may have begun in the bytes that were scanned before.
    constexpr std::size_t longestLineEnd = 3;
    auto newline = std::max(begin, m_scanned > longestLineEnd ? m_scanned - longestLineEnd : 0);
    for (newline = m_rest.find('\n', newline); newline != std::string::npos; newline = m_rest.find('\n', newline + 1)) {
        auto next = newline + 1;
        if (next < m_rest.size() && m_rest[next] == '\r') {
            ++next;
        }
        if (next < m_rest.size() && m_rest[next] == '\n') {
            return next + 1;
        }
    }
    m_scanned = m_rest.size();
    return std::string::npos;
}

bool event_splitter::hasField(std::string_view lines)
{
    while (!lines.empty()) {
        const auto end = std::min(lines.find('\n'), lines.size());
        const auto line = lines.substr(0, end);
        lines.remove_prefix(std::min(end + 1, lines.size()));
        if (!line.empty() && line != "\r" && line.front() != ':') {
            return true;
        }
    }
    return false;
}

std::optional<std::uint64_t> event_splitter::idOf(std::string_view event)
{
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        auto line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        const auto [rest, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        return error == std::errc{} ? std::optional(id) : std::nullopt;
    }
    return std::nullopt;
}

} // namespace plantainpoint
