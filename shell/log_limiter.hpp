// Limits the lines that each log component writes per second and counts the omitted ones.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/commands.hpp"

namespace plantainpoint {

class log_limiter
{
public:
    explicit log_limiter(std::uint32_t linesPerSecond)
        : m_limit(linesPerSecond)
    {
    }

    // Returns whether the line is written. Warnings and errors are always written.
    bool pass(severity level, log_component from, time_point now)
    {
        auto &entry = m_components[static_cast<std::size_t>(from)];
        if (now - entry.startTime >= std::chrono::seconds{1}) {
            entry = {now, 0, entry.omittedLines};
        }
        if (level >= severity::Warning || entry.lines < m_limit) {
            ++entry.lines;
            return true;
        }
        ++entry.omittedLines;
        return false;
    }

    // Returns a line with the number of lines that the component has omitted since the last call, if there are any.
    std::optional<std::string> report(log_component from)
    {
        auto &entry = m_components[static_cast<std::size_t>(from)];
        if (entry.omittedLines == 0) {
            return std::nullopt;
        }
        return "lines left out=" + std::to_string(std::exchange(entry.omittedLines, 0));
    }

private:
    static constexpr std::size_t componentCount = static_cast<std::size_t>(log_component::Core) + 1;

    struct window {
        time_point startTime{};
        std::uint32_t lines = 0;
        std::uint64_t omittedLines = 0;
    };

    std::uint32_t m_limit;
    std::array<window, componentCount> m_components{};
};

} // namespace plantainpoint
