// Log lines with a fixed prefix per log component and the request label.
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

// Writes log lines to standard output. A process has one logger only, because the logging library has a single configuration.
class line_logger
{
public:
    line_logger(severity level, log_format format);

    void setLevel(severity level) { m_level = level; }
    // Makes standard output non-blocking. A slow reader then loses lines instead of blocking the process. The next line that is written
    // reports the number of lost lines.
    void setNonBlocking();
    void write(const log_line &line) const;
    void write(severity level, log_component from, std::string_view text, const std::optional<request_label> &label = std::nullopt) const;

private:
    void recoverStream() const;

    severity m_level;
    log_format m_format;
    mutable std::uint64_t m_lostLines = 0; // Lines lost since the last one that was written completely.
};

} // namespace plantainpoint
