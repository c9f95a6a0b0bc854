// Monitors the workers of the pools that this VM schedules: their load reports, their drains, and labels whose VM is dead.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core_components.hpp"
#include "endpoint_machine.hpp"

namespace plantainpoint {

class endpoint_monitor
{
public:
    explicit endpoint_monitor(core_components &components);

    // Starts to monitor the endpoints of pools that this VM now owns, and drops the others.
    void refresh();
    void onLoad(const load_report &report);
    void onCacheEvents(const cache_events &events);
    void tick();
    time_point nextTick() const { return m_nextRound; }

    // Returns the status of each endpoint that this VM monitors.
    nlohmann::json status() const;
    nlohmann::json drains() const;

private:
    struct monitored_endpoint {
        endpoint config;
        endpoint_machine machine;
        std::int32_t missedReports = 0;
        std::uint64_t nextCacheEvent = 0;
        std::size_t running = 0;
        std::size_t held = 0;
        std::int32_t kvBlocksUsed = 0;
        std::int32_t slotsUsed = 0;
        std::set<attempt_label> suspects; // The labels in the latest report that belong to no open attempt.
    };

    void requestReports(const monitored_endpoint &entry);
    void monitor(const endpoint &config);
    void updateConfig(monitored_endpoint &entry, const endpoint &config);
    void onMissed(monitored_endpoint &entry);
    void freeOrphans(monitored_endpoint &entry, const load_report &report);
    bool isOrphan(const attempt_label &label) const;
    void auditDrain(audit_kind kind, const endpoint_name &name);

    core_components &m_components;
    std::map<endpoint_name, monitored_endpoint> m_monitored;
    std::set<std::pair<endpoint_name, incarnation_id>> m_audited; // The dead incarnations that are already in the audit trail, by endpoint.
    time_point m_nextRound{};
};

} // namespace plantainpoint
