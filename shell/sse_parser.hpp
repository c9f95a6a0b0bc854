// Incremental parser of server-sent events.
#pragma once

#include <string>
#include <string_view>

namespace plantainpoint {

// Splits a stream into the data of its events. An event that lies within one read is not copied.
class sse_parser
{
public:
    // Limit in bytes on the event that is being read. Larger events are malformed.
    static constexpr std::size_t maxEventSize = 1024 * 1024UL;

    // Calls handler(std::string_view data) for each event that ends in these bytes. Returns false if the unfinished event is too large.
    template<class Handler>
    bool feed(std::string_view bytes, Handler &&handler);

private:
    // Adds a line to the data of the event being read. The data stays a view while all of it lies in the bytes passed to feed().
    void addData(std::string_view value);
    // Copies the data into m_data.
    void bufferData();
    static std::string_view valueOf(std::string_view line);

    std::string m_line; // Start of a line whose end has not arrived.
    std::string m_data;
    std::string_view m_dataView;
    bool m_hasData = false;
    bool m_dataBuffered = false; // The data is in m_data, otherwise in m_dataView.
};

template<class Handler>
bool sse_parser::feed(std::string_view bytes, Handler &&handler)
{
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        if (end == std::string_view::npos) {
            m_line += bytes;
            break;
        }
        std::string_view line = bytes.substr(0, end);
        bytes.remove_prefix(end + 1);
        const bool lineIsSplit = !m_line.empty();
        if (lineIsSplit) {
            m_line += line;
            line = m_line;
        }
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            if (m_hasData) {
                handler(m_dataBuffered ? std::string_view{m_data} : m_dataView);
            }
            m_hasData = false;
            m_dataBuffered = false;
            m_data.clear();
        } else if (line.starts_with("data:")) {
            addData(valueOf(line));
            if (lineIsSplit) {
                bufferData();
            }
        }
        if (lineIsSplit) {
            m_line.clear();
        }
    }
    if (m_hasData) {
        bufferData();
    }
    return m_line.size() + m_data.size() <= maxEventSize;
}

} // namespace plantainpoint
