// bounds the lines that each part writes in a second and counts what was left out
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

    // false: the line is left out. warnings and errors always pass.
    bool pass(severity level, log_component from, time_point now)
    {
        auto &entry = m_components[static_cast<std::size_t>(from)];
        if (now - entry.since >= std::chrono::seconds{1}) {
            entry = {now, 0, entry.leftOut};
        }
        if (level >= severity::Warning || entry.lines < m_limit) {
            ++entry.lines;
            return true;
        }
        ++entry.leftOut;
        return false;
    }

    // a line about what a part has left out since the last call
    std::optional<std::string> report(log_component from)
    {
        auto &entry = m_components[static_cast<std::size_t>(from)];
        if (entry.leftOut == 0) {
            return std::nullopt;
        }
        return "lines left out=" + std::to_string(std::exchange(entry.leftOut, 0));
    }

private:
    static constexpr std::size_t partCount = static_cast<std::size_t>(log_component::Core) + 1;

    struct window {
        time_point since{};
        std::uint32_t lines = 0;
        std::uint64_t leftOut = 0;
    };

    std::uint32_t m_limit;
    std::array<window, partCount> m_components{};
};

} // namespace plantainpoint
