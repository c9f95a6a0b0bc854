// Reads one mapping of a service file and records every problem and the line of every field.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "service_files.hpp"

namespace plantainpoint {

struct unit_factor {
    std::string_view name;
    std::int64_t factor;
};

struct field_location {
    std::string file;
    int line = 0;
};

// Problems and field locations of one service.
struct service_diagnostics {
    std::vector<file_problem> problems;
    std::map<std::string, field_location> locations; // By the field name that findProblems() uses.
};

class service_yaml
{
public:
    // The field is the name of the mapping in findProblems(). It is empty for the whole service.
    service_yaml(const YAML::Node &node, std::string file, std::string field, service_diagnostics &diagnostics);

    bool has(const std::string &key) const;
    // The field is the name of the value in findProblems(), if that differs from the key.
    std::string text(const std::string &key, bool required = true, const std::string &field = {});
    bool boolean(const std::string &key, bool fallback);
    double number(const std::string &key, double fallback);
    std::int64_t integer(const std::string &key, std::int64_t fallback, const std::string &field = {});
    std::int32_t integer32(const std::string &key, std::int32_t fallback, const std::string &field = {});
    // Reads a number with a unit, such as 930ms.
    std::int64_t quantity(const std::string &key, std::optional<std::int64_t> fallback, const std::vector<unit_factor> &units, const std::string &field);
    std::chrono::milliseconds time(const std::string &key, std::chrono::milliseconds fallback, const std::string &field);
    std::vector<std::string> textList(const std::string &key);
    void forEachItem(const std::string &list, const std::function<void(service_yaml &)> &readItem);

    template<class Enum>
    Enum choice(const std::string &key, std::optional<Enum> fallback, const std::vector<Enum> &values)
    {
        const auto name = text(key, !fallback);
        for (const auto value : values) {
            if (nameOf(value) == name) {
                return value;
            }
        }
        if (!name.empty()) {
            std::string names;
            for (const auto value : values) {
                names += (names.empty() ? "" : ", ") + std::string{nameOf(value)};
            }
            fail(key, "must be one of " + names);
        }
        return fallback.value_or(values.front());
    }

    void fail(const std::string &key, std::string text);
    // Reports the keys that were not read.
    void finish();

private:
    YAML::Node find(const std::string &key, const std::string &field);
    std::string pathOf(const std::string &key) const;

    YAML::Node m_node;
    std::string m_file;
    std::string m_field;
    service_diagnostics &m_diagnostics;
    std::set<std::string> m_knownKeys;
};

// Returns the root node of the file. If the file is unreadable or malformed YAML, adds a problem and returns an empty node.
YAML::Node loadServiceYaml(const std::string &file, service_diagnostics &diagnostics);

} // namespace plantainpoint
