// what the logs of several VMs say about one request
#pragma once

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace plantainpoint {

struct timeline_entry {
    std::string time; // as logged; sorts as text
    std::string vm; // or the name of the file
    std::string part;
    std::string text;

    bool operator==(const timeline_entry &) const = default;
};

// reads logs of JSON lines and keeps those of one request, and those that tell what each VM believed meanwhile: its configuration, the
// VMs and endpoints that the request met, and whether the directory answered
class request_timeline
{
public:
    // id of the caller
    explicit request_timeline(std::string requestId);

    // text before the JSON of a line ends with the name of its VM; without it the name of the source stands for the VM
    void read(std::istream &in, const std::string &source);

    // in order of time; empty when no VM has met the request
    std::vector<timeline_entry> lines() const;
    // lines that are no JSON or lack a field
    std::size_t skipped() const { return m_skipped; }

private:
    std::string m_request; // as it stands in a line
    std::vector<timeline_entry> m_all;
    std::size_t m_skipped = 0;
};

} // namespace plantainpoint
