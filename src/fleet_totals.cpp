#include "fleet_totals.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

void addLoad(endpoint_load &sum, const endpoint_load &load, int sign)
{
    sum.running += sign * load.running;
    sum.prefillTokens += sign * load.prefillTokens;
    sum.kvTokens += sign * load.kvTokens;
}

// Applies the operation to the element of the list with the same key, which is added if it is missing.
template<class Element, class Key, class Operation>
void mergeInto(std::vector<Element> &list, const std::vector<Element> &more, Key Element::*key, Operation operation)
{
    std::unordered_map<Key, std::size_t> positions;
    for (std::size_t i = 0; i < list.size(); ++i) {
        positions.emplace(list[i].*key, i);
    }
    for (const auto &element : more) {
        const auto [it, added] = positions.try_emplace(element.*key, list.size());
        if (added) {
            list.emplace_back().*key = element.*key;
        }
        operation(list[it->second], element);
    }
}

} // namespace

void addLoads(std::vector<endpoint_load> &list, const std::vector<endpoint_load> &more, int sign)
{
    mergeInto(list, more, &endpoint_load::endpoint, [sign](auto &sum, const auto &load) { addLoad(sum, load, sign); });
}

void addWaiting(std::vector<waiting_count> &list, const std::vector<waiting_count> &more, int sign)
{
    mergeInto(list, more, &waiting_count::service, [sign](auto &sum, const auto &waiting) { sum.requests += sign * waiting.requests; });
}

void addUsage(std::vector<account_usage> &list, const std::vector<account_usage> &more, int sign)
{
    mergeInto(list, more, &account_usage::account, [sign](auto &sum, const auto &usage) {
        sum.admitted += sign * usage.admitted;
        sum.level = std::min(sum.level, usage.level);
    });
}

void fleet_totals::add(const report &entry, int sign)
{
    for (const auto &load : entry.loads) {
        auto &sum = m_loads[load.endpoint];
        addLoad(sum, load, sign);
        if (sum.running == 0 && sum.prefillTokens == 0 && sum.kvTokens == 0) {
            m_loads.erase(load.endpoint);
        }
    }
    for (const auto &waiting : entry.waiting) {
        m_waiting[waiting.service] += sign * waiting.requests;
    }
}

void fleet_totals::set(const std::string &source, const std::vector<endpoint_load> &loads, const std::vector<waiting_count> &waiting)
{
    auto &entry = m_sources[source];
    add(entry, -1);
    entry = {loads, waiting};
    add(entry, 1);
}

void fleet_totals::remove(const std::string &source)
{
    const auto it = m_sources.find(source);
    if (it != m_sources.end()) {
        add(it->second, -1);
        m_sources.erase(it);
    }
}

void fleet_totals::removeAllBut(const std::string &source)
{
    std::erase_if(m_sources, [&](const auto &nameAndReport) {
        if (nameAndReport.first == source) {
            return false;
        }
        add(nameAndReport.second, -1);
        return true;
    });
}

endpoint_load fleet_totals::loadAt(const endpoint_name &endpoint) const
{
    const auto it = m_loads.find(endpoint);
    auto load = it == m_loads.end() ? endpoint_load{} : it->second;
    load.endpoint = endpoint;
    return load;
}

std::int32_t fleet_totals::waitingAt(const service_name &service) const
{
    const auto it = m_waiting.find(service);
    return it == m_waiting.end() ? 0 : it->second;
}

void fleet_totals::addTo(std::vector<endpoint_load> &loads, std::vector<waiting_count> &waiting) const
{
    std::vector<endpoint_load> sums;
    for (const auto &[endpoint, load] : m_loads) {
        sums.push_back(load);
        sums.back().endpoint = endpoint;
    }
    addLoads(loads, sums);
    std::vector<waiting_count> counts;
    for (const auto &[service, requests] : m_waiting) {
        counts.push_back({service, requests});
    }
    addWaiting(waiting, counts);
}

std::vector<account_usage> usage_tracker::onReport(const incarnation_id &from, const std::vector<account_usage> &usage, bool baselineOnly)
{
    if (m_from != from) {
        m_from = from;
        m_admitted.clear();
    }
    std::vector<account_usage> increments;
    for (const auto &report : usage) {
        auto &known = m_admitted[report.account];
        const double increment = report.admitted - known;
        known = report.admitted;
        if (!baselineOnly && increment != 0) {
            increments.push_back({.account = report.account, .admitted = increment});
        }
    }
    return increments;
}

} // namespace plantainpoint
