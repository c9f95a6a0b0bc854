// Collects the log lines of several VMs about one request.
#pragma once

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace plantainpoint {

struct timeline_entry {
    std::string time; // As logged. Times are compared as text.
    std::string vm; // Name of the VM, or of the source if the line names no VM.
    std::string part;
    std::string text;

    bool operator==(const timeline_entry &) const = default;
};

// Reads logs of JSON lines and keeps the lines of one request. It also keeps the lines that report the state that each VM knew at that
// time: its configuration, the VMs, the endpoints that the request reached and whether the directory answered.
class request_timeline
{
public:
    // The id is the one that the caller gave.
    explicit request_timeline(std::string requestId);

    // Reads one log. If a line has text before its JSON, the last word of that text is the name of the VM. Otherwise the name of the source
    // is used.
    void read(std::istream &in, const std::string &source);

    // Returns the lines in the order of their times. The list is empty if no VM has logged the request.
    std::vector<timeline_entry> lines() const;
    // Returns the number of lines that are not JSON or lack a field.
    std::size_t skipped() const { return m_skipped; }

private:
    std::string m_requestId; // As written in log lines.
    std::vector<timeline_entry> m_entries;
    std::size_t m_skipped = 0;
};

} // namespace plantainpoint
