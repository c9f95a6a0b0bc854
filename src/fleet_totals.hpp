// Sums of what VMs report: open work per endpoint, waiting requests per service and admissions per account.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "plantainpoint/ids.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

// Open and waiting work. Reading a sum costs the same for any number of sources.
class fleet_totals
{
public:
    // Replaces what a source has reported before.
    void set(const std::string &source, const std::vector<endpoint_load> &loads, const std::vector<waiting_count> &waiting);
    void remove(const std::string &source);
    // Keeps only the given source.
    void removeAllBut(const std::string &source);

    endpoint_load loadAt(const endpoint_name &endpoint) const;
    std::int32_t waitingAt(const service_name &service) const;

    // Adds the sums to the lists.
    void addTo(std::vector<endpoint_load> &loads, std::vector<waiting_count> &waiting) const;

private:
    struct report {
        std::vector<endpoint_load> loads;
        std::vector<waiting_count> waiting;
    };
    void add(const report &entry, int sign);

    std::unordered_map<std::string, report> m_sources;
    std::unordered_map<endpoint_name, endpoint_load> m_loads;
    std::map<service_name, std::int32_t> m_waiting;
};

// Turns the cumulative admissions that a VM reports into increments.
class usage_tracker
{
public:
    // Returns what was admitted since the previous report. A new incarnation counts from zero. With baselineOnly, the report is recorded only.
    std::vector<account_usage> onReport(const incarnation_id &from, const std::vector<account_usage> &usage, bool baselineOnly);

private:
    incarnation_id m_from;
    std::unordered_map<account_name, double> m_admitted;
};

// Adds loads of the same endpoint, waiting counts of the same service or admissions of the same account to a list.
void addLoads(std::vector<endpoint_load> &list, const std::vector<endpoint_load> &more, int sign = 1);
void addWaiting(std::vector<waiting_count> &list, const std::vector<waiting_count> &more, int sign = 1);
void addUsage(std::vector<account_usage> &list, const std::vector<account_usage> &more, int sign = 1);

} // namespace plantainpoint
