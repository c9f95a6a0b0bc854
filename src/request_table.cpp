#include "request_table.hpp"

#include <algorithm>

namespace plantainpoint {

request &request_table::add(const incarnation_id &self, caller_request call, time_point now)
{
    const auto sequence = ++m_lastSequence;
    auto entry = std::make_unique<request>();
    entry->label = request_label{self, sequence};
    entry->arrivedAt = now;
    m_callers[call.caller] = sequence;
    entry->call = std::move(call);
    return *(m_requests[sequence] = std::move(entry));
}

void request_table::relabel(request &entry, const incarnation_id &self)
{
    auto node = m_requests.extract(entry.label.sequence);
    entry.label = request_label{self, ++m_lastSequence};
    if (entry.callerWaits) {
        m_callers[entry.call.caller] = entry.label.sequence;
    }
    node.key() = entry.label.sequence;
    m_requests.insert(std::move(node));
}

void request_table::remove(std::uint64_t sequence)
{
    const auto it = m_requests.find(sequence);
    if (it == m_requests.end()) {
        return;
    }
    detachCaller(*it->second);
    m_requests.erase(it);
}

request *request_table::find(std::uint64_t sequence)
{
    const auto it = m_requests.find(sequence);
    return it == m_requests.end() ? nullptr : it->second.get();
}

const request *request_table::find(std::uint64_t sequence) const
{
    const auto it = m_requests.find(sequence);
    return it == m_requests.end() ? nullptr : it->second.get();
}

request *request_table::find(const request_label &label)
{
    auto *const entry = find(label.sequence);
    return entry != nullptr && entry->label == label ? entry : nullptr;
}

const request *request_table::find(const request_label &label) const
{
    const auto it = m_requests.find(label.sequence);
    return it != m_requests.end() && it->second->label == label ? it->second.get() : nullptr;
}

request *request_table::findCaller(caller_id caller)
{
    const auto it = m_callers.find(caller);
    return it == m_callers.end() ? nullptr : find(it->second);
}

void request_table::detachCaller(request &entry)
{
    entry.callerWaits = false;
    const auto it = m_callers.find(entry.call.caller);
    if (it != m_callers.end() && it->second == entry.label.sequence) {
        m_callers.erase(it);
    }
}

std::vector<std::uint64_t> request_table::sequences() const
{
    std::vector<std::uint64_t> all;
    all.reserve(m_requests.size());
    for (const auto &[sequence, entry] : m_requests) {
        all.push_back(sequence);
    }
    std::sort(all.begin(), all.end());
    return all;
}

} // namespace plantainpoint
