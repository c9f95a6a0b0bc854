// Cancels ended attempts, and repeats each cancel until a later load report no longer lists the label.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core_metrics.hpp"
#include "log_state.hpp"
#include "plantainpoint/clock.hpp"
#include "plantainpoint/commands.hpp"

namespace plantainpoint {

class cancel_table
{
public:
    cancel_table(const log_state &log, const clock_source &clock, core_metrics &metrics, outbox &out);

    // Adds a cancel and sends it for the first time.
    void add(const attempt_label &attempt, const endpoint_name &endpoint, const std::string &address);
    // Removes the cancels that the report proves to have taken effect.
    void onLoad(const load_report &report);
    // Repeats the cancels that are due, and reads the load of their endpoints.
    void tick();

    std::optional<time_point> nextTick() const;
    std::size_t size() const { return m_size; }

private:
    struct pending {
        attempt_label attempt;
        time_point firstSent{};
    };
    struct target {
        std::vector<pending> cancels;
        std::string address; // Kept since the endpoint may be removed from the configuration before its memory is free.
        time_point nextRead{};
        duration interval{};
        std::int32_t missedReports = 0;
    };

    void send(const attempt_label &attempt, const endpoint_name &endpoint, const std::string &address);
    bool isRemoved(const endpoint_name &endpoint, const target &entry) const;

    const log_state &m_log;
    const clock_source &m_clock;
    core_metrics &m_metrics;
    outbox &m_out;
    std::map<endpoint_name, target> m_targets;
    std::size_t m_size = 0;
};

} // namespace plantainpoint
