#include "request_timeline.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

#include <nlohmann/json.hpp>

namespace plantainpoint {

namespace {

// Returns the value of the first field NAME=VALUE in the text, or an empty string if there is none.
std::string fieldOf(const std::string &text, const std::string &name)
{
    const auto key = name + '=';
    auto position = text.find(key);
    while (position != std::string::npos && position > 0 && text[position - 1] != ' ') {
        position = text.find(key, position + 1);
    }
    if (position == std::string::npos) {
        return {};
    }
    const auto begin = position + key.size();
    return text.substr(begin, text.find(' ', begin) - begin);
}

// Returns the name of the state that a line reports. It is empty for a line about a request.
std::string subjectOf(const std::string &text)
{
    if (text.starts_with("configuration ")) {
        return "configuration";
    }
    if (text.starts_with("Started ")) {
        return "process";
    }
    if (text.starts_with("the directory ")) {
        return "directory";
    }
    for (const auto *kind : {"endpoint", "vm"}) {
        if (text.starts_with(std::string(kind) + '=')) {
            return std::string(kind) + '=' + fieldOf(text, kind);
        }
    }
    return {};
}

// Selects the lines of one VM that belong to the timeline, in the order in which the VM wrote them.
std::vector<timeline_entry> timelineOf(const std::vector<const timeline_entry *> &lines, const std::string &request)
{
    const auto isOfRequest = [&](const timeline_entry *line) { return fieldOf(line->text, "request") == request; };
    const auto first = std::find_if(lines.begin(), lines.end(), isOfRequest);
    if (first == lines.end()) {
        return {};
    }
    const auto last = std::find_if(lines.rbegin(), lines.rend(), isOfRequest).base();
    std::set<std::string> endpoints;
    for (auto it = first; it != last; ++it) {
        if (isOfRequest(*it)) {
            endpoints.insert("endpoint=" + fieldOf((*it)->text, "endpoint"));
        }
    }
    const auto isRelevant = [&](const std::string &subject) { return !subject.empty() && (!subject.starts_with("endpoint=") || endpoints.contains(subject)); };
    std::map<std::string, const timeline_entry *> stateBefore; // Latest line of each subject.
    for (auto it = lines.begin(); it != first; ++it) {
        const auto subject = subjectOf((*it)->text);
        if (subject == "process") {
            stateBefore.clear(); // A restarted process does not keep the state of its predecessor.
        }
        if (isRelevant(subject)) {
            stateBefore[subject] = *it;
        }
    }
    std::vector<timeline_entry> timeline;
    std::transform(stateBefore.begin(), stateBefore.end(), std::back_inserter(timeline), [](const auto &item) { return *item.second; });
    for (auto it = first; it != last; ++it) {
        if (isOfRequest(*it) || isRelevant(subjectOf((*it)->text))) {
            timeline.push_back(**it);
        }
    }
    return timeline;
}

} // namespace

request_timeline::request_timeline(std::string requestId)
    : m_requestId(std::move(requestId))
{
}

void request_timeline::read(std::istream &in, const std::string &source)
{
    std::string line;
    while (std::getline(in, line)) {
        const auto brace = std::min(line.find('{'), line.size());
        const auto parsed = nlohmann::json::parse(line.begin() + static_cast<std::ptrdiff_t>(brace), line.end(), nullptr, false);
        const auto textOf = [&](const char *name) {
            return parsed.is_object() && parsed.contains(name) && parsed[name].is_string() ? parsed[name].get<std::string>() : std::string{};
        };
        if (textOf("time").empty() || textOf("text").empty()) {
            ++m_skipped;
            continue;
        }
        const auto end = line.find_last_not_of(' ', brace == 0 ? 0 : brace - 1);
        const auto begin = brace == 0 || end == std::string::npos ? std::string::npos : line.find_last_of(' ', end);
        const auto vm = brace == 0 ? source : line.substr(begin + 1, end - begin);
        m_entries.push_back({textOf("time"), vm, textOf("part"), textOf("text")});
    }
}

std::vector<timeline_entry> request_timeline::lines() const
{
    std::map<std::string, std::vector<const timeline_entry *>> byVm;
    for (const auto &line : m_entries) {
        byVm[line.vm].push_back(&line);
    }
    std::vector<timeline_entry> timeline;
    for (const auto &[vm, lines] : byVm) {
        const auto vmTimeline = timelineOf(lines, m_requestId);
        timeline.insert(timeline.end(), vmTimeline.begin(), vmTimeline.end());
    }
    std::stable_sort(timeline.begin(), timeline.end(), [](const auto &a, const auto &b) { return a.time < b.time; });
    return timeline;
}

} // namespace plantainpoint
