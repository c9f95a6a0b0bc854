// Reads and checks YAML settings. The first error is reported with its file, line and key.
#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <yaml-cpp/yaml.h>

namespace plantainpoint {

// Keeps the first error of a file. Later errors often follow from it and are dropped.
class settings_errors
{
public:
    explicit settings_errors(std::string file);

    // Records an error. The line counts from 0, as in the YAML library. -1 stands for an unknown line.
    void add(int line, std::string_view key, std::string_view message);
    // Returns InvalidSettings if an error was added, otherwise OK.
    const absl::Status &status() const { return m_status; }

private:
    std::string m_file;
    absl::Status m_status;
};

// Reads one mapping of the file. Every key that is read counts as known, and finish() reports the others.
class settings_section
{
public:
    settings_section(const YAML::Node &node, std::string path, settings_errors &errors);

    bool has(const std::string &key) const;
    std::string text(const std::string &key);
    std::string text(const std::string &key, const std::string &fallback);
    // Reads an address of the form IP:PORT.
    std::string address(const std::string &key);
    std::string address(const std::string &key, const std::string &fallback);
    std::int64_t integer(const std::string &key, std::int64_t fallback, std::int64_t low, std::int64_t high);
    // Reads a number that a platform renders: a whole number, a fraction, or true or false for 1 or 0. An empty value, null and a placeholder that was
    // not filled in count as absent, and a value out of range is limited to it, as a VM that could serve has to start.
    double number(const std::string &key, double fallback, double low, double high);
    // Reads a text that a platform renders. An empty value, null and a placeholder that was not filled in count as absent.
    std::string renderedText(const std::string &key);
    // Reads a table that a platform renders as JSON: an object of texts, or a list of objects whose field `name` and the given one are texts. Everything else
    // in it is left out, and a value of another kind counts as absent, as a VM that could serve has to start.
    std::map<std::string, std::string> renderedTable(const std::string &key, const std::string &field);
    // Reads a number with the unit B, KB or MB, as multiples of 1024. Returns bytes.
    std::size_t size(const std::string &key, std::size_t fallback, std::size_t low, std::size_t high);
    // Reads a number with the unit ms, s or m.
    std::chrono::milliseconds time(const std::string &key, std::chrono::milliseconds fallback, std::chrono::milliseconds low, std::chrono::milliseconds high);
    // Returns the index of the value in the list.
    std::size_t choice(const std::string &key, std::size_t fallback, std::initializer_list<std::string_view> values);
    // Returns an empty section if the key is absent.
    settings_section section(const std::string &key);
    std::vector<settings_section> list(const std::string &key);
    void finish();

private:
    YAML::Node find(const std::string &key);
    std::string scalar(const std::string &key, bool required, bool &found);
    void fail(const YAML::Node &node, const std::string &key, std::string_view message);

    YAML::Node m_node;
    std::string m_path;
    settings_errors *m_errors;
    std::set<std::string> m_knownKeys;
};

// Parses the file. If it is unreadable or malformed YAML, adds an error and returns an empty node.
YAML::Node loadYaml(const std::string &file, settings_errors &errors);

// Returns whether the text is an IP address and a port.
bool isAddress(const std::string &text);

} // namespace plantainpoint
