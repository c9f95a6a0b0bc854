// watches the workers of the pools that this VM places: load reports, drains, and labels whose VM is dead
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

    // takes up the endpoints of pools that this VM now owns, and drops the others
    void refresh();
    void onLoad(const load_report &report);
    void onCacheEvents(const cache_events &events);
    void tick();
    time_point nextTick() const { return m_nextRound; }

    // per endpoint watched here
    nlohmann::json status() const;
    nlohmann::json drains() const;

private:
    struct watched {
        endpoint config;
        endpoint_machine machine;
        std::int32_t missedReports = 0;
        std::uint64_t nextCacheEvent = 0;
        std::size_t running = 0;
        std::size_t held = 0;
        std::int32_t kvBlocksUsed = 0;
        std::int32_t slotsUsed = 0;
        std::set<attempt_label> suspects; // labels without an owner in the latest report
    };

    void read(const watched &entry);
    void takeUp(const endpoint &config);
    void follow(watched &entry, const endpoint &config);
    void onMissed(watched &entry);
    void freeOrphans(watched &entry, const load_report &report);
    bool isOrphan(const attempt_label &label) const;
    void noteDrain(audit_kind kind, const endpoint_name &name);

    core_components &m_components;
    std::map<endpoint_name, watched> m_watched;
    std::set<std::pair<endpoint_name, incarnation_id>> m_audited; // dead incarnations already noted in the audit trail
    time_point m_nextRound{};
};

} // namespace plantainpoint
