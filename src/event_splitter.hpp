// Splitter of a stream of server-sent events into whole events that keep every byte.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainpoint {

class event_splitter
{
public:
    // Calls handler(std::string_view event, std::optional<std::uint64_t> id) for each event that is now complete, including its blank line.
    template<class Handler>
    void feed(std::string_view bytes, Handler &&handler)
    {
        m_rest += bytes;
        std::size_t begin = 0;
        for (auto end = endOfEvent(begin); end != std::string::npos; end = endOfEvent(begin)) {
            const std::string_view event{m_rest.data() + begin, end - begin};
            handler(event, idOf(event));
            begin = end;
            m_scanned = end;
        }
        m_rest.erase(0, begin);
        m_scanned -= begin;
    }

    // Bytes after which an event without an end is no event. The events of a stream have a few tokens.
    static constexpr std::size_t maxEventSize = 256 * 1024UL;
    bool isOverlong() const { return m_rest.size() > maxEventSize; }
    // Returns the bytes of an event whose end has not arrived.
    std::string_view rest() const { return m_rest; }
    // Returns whether a stream that ends here lacks the end of an event or of a line.
    bool isInsideEvent() const { return !m_rest.empty() && (m_rest.back() != '\n' || hasField(m_rest)); }
    // Returns whether the lines hold anything but comments.
    static bool hasField(std::string_view lines);

private:
    // Returns the position after the next blank line, or npos when it has not arrived.
    std::size_t endOfEvent(std::size_t begin);
    static std::optional<std::uint64_t> idOf(std::string_view event);

    std::string m_rest;
    std::size_t m_scanned = 0; // No event ends before this position.
};

} // namespace plantainpoint
