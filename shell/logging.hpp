// log lines with a fixed prefix per part and the request label
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "plantainpoint/commands.hpp"

namespace plantainpoint {

enum class log_format : std::uint8_t {
    Text,
    Json,
};

// writes log lines to standard output; one per process, because the logging library has one configuration
class line_logger
{
public:
    line_logger(severity level, log_format format);

    void setLevel(severity level) { m_level = level; }
    // a reader that does not keep up loses lines and holds nobody up; the lines lost are counted in the next one that is written
    void setNonBlocking();
    void write(const log_line &line) const;
    void write(severity level, log_component from, std::string_view text, const std::optional<request_label> &label = std::nullopt) const;

private:
    void recover() const;

    severity m_level;
    log_format m_format;
    mutable std::uint64_t m_lost = 0; // lines since the last one that was written whole
};

} // namespace plantainpoint
