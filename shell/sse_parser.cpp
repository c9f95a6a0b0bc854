#include "sse_parser.hpp"

namespace plantainpoint {

void sse_parser::addData(std::string_view value)
{
    if (!m_hasData) {
        m_hasData = true;
        m_dataView = value;
        return;
    }
    bufferData();
    m_data += '\n';
    m_data += value;
}

void sse_parser::bufferData()
{
    if (!m_dataBuffered) {
        m_data = m_dataView;
        m_dataBuffered = true;
    }
}

std::string_view sse_parser::valueOf(std::string_view line)
{
    constexpr std::size_t fieldSize = 5; // Length of "data:".
    line.remove_prefix(fieldSize);
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    return line;
}

} // namespace plantainpoint
