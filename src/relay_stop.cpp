// Ends of open requests in the planned stop of a VM.
#include "relay_requests.hpp"

#include <vector>

namespace plantainpoint {

void relay_requests::refuseWaiting(std::string_view detail)
{
    std::vector<relay_entry *> waiting;
    for (const auto &[caller, entry] : m_entries) {
        if (entry->machine.stage() == relay_stage::Waiting && entry->runs == 0 && !entry->headSent) {
            waiting.push_back(entry.get());
        }
    }
    for (auto *entry : waiting) {
        failRequest(*entry, failure::ShuttingDown, outcome::NotRun, detail);
    }
}

void relay_requests::failAll(std::string_view detail)
{
    while (!m_entries.empty()) {
        failRequest(*m_entries.begin()->second, failure::ShuttingDown, outcome::NotRun, detail);
    }
}

} // namespace plantainpoint
