// Records of streams in a directory that answers at once.
#pragma once

#include <optional>
#include <vector>

#include "plantainpoint/relay.hpp"

namespace plantainpoint::test {

struct stream_directory {
    // Returns the result of a command, or nothing for a command about something else.
    std::optional<relay_input> answer(const relay_command &command)
    {
        if (const auto *const append = std::get_if<append_stream_records>(&command)) {
            streams.insert(streams.end(), append->records.begin(), append->records.end());
            return stream_records_appended{true};
        }
        if (const auto *const set = std::get_if<set_default_versions>(&command)) {
            if (set->end == defaults.size()) {
                defaults.insert(defaults.end(), set->origins.begin(), set->origins.end());
            }
            return default_versions_set{};
        }
        const auto *const wanted = std::get_if<read_stream_records>(&command);
        if (wanted == nullptr) {
            return std::nullopt;
        }
        stream_records_read read{.succeeded = true, .streams = streams};
        if (wanted->defaults) {
            read.defaults = defaults;
            read.defaultsEnd = defaults.size();
        }
        return read;
    }

    std::vector<stream_record> streams;
    std::vector<stream_origin> defaults; // In the order in which they were set.
};

} // namespace plantainpoint::test
