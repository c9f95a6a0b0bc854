#include "endpoint_monitor.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace plantainpoint {

namespace {

constexpr duration readInterval = std::chrono::milliseconds(500);
constexpr std::int32_t missedReportsUntilExclusion = 3;

} // namespace

endpoint_monitor::endpoint_monitor(core_components &components)
    : m_components(components)
    , m_nextRound(components.clock.now())
{
}

void endpoint_monitor::refresh()
{
    std::set<endpoint_name> owned;
    for (const auto &[pool, entry] : m_components.directory.pools()) {
        if (!entry.owner || entry.owner->id != m_components.self()) {
            continue;
        }
        for (const auto &config : entry.endpoints) {
            owned.insert(config.name);
            monitor(config);
        }
    }
    std::erase_if(m_monitored, [&](const auto &item) { return !owned.contains(item.first); });
    std::erase_if(m_audited, [&](const auto &item) { return !owned.contains(item.first); });
}

void endpoint_monitor::monitor(const endpoint &config)
{
    const auto [it, added] = m_monitored.try_emplace(config.name);
    updateConfig(it->second, config);
    if (added) {
        requestReports(it->second);
    }
}

void endpoint_monitor::updateConfig(monitored_endpoint &entry, const endpoint &config)
{
    entry.config = config;
    if (config.condition == endpoint_condition::Leaving) {
        if (entry.machine.stage() != endpoint_stage::Gone && entry.machine.apply(endpoint_event::drained{})) {
            auditDrain(audit_kind::DrainStarted, config.name);
        }
    } else if (entry.machine.stage() == endpoint_stage::Draining) {
        entry.machine.apply(endpoint_event::reinstated{});
    }
}

void endpoint_monitor::auditDrain(audit_kind kind, const endpoint_name &name)
{
    // A VM that takes over the endpoint does not repeat the event that its predecessor recorded.
    const auto &trail = m_components.log.audit();
    const auto last = std::find_if(trail.rbegin(), trail.rend(), [&](const audit_event &event) {
        return event.subject == name.value && (event.kind == audit_kind::DrainStarted || event.kind == audit_kind::DrainFinished);
    });
    if (last == trail.rend() || last->kind != kind) {
        m_components.audit(kind, name.value, {});
    }
}

void endpoint_monitor::requestReports(const monitored_endpoint &entry)
{
    m_components.out.push(read_load{entry.config.name, entry.config.address});
    if (entry.config.role == endpoint_role::Prefill) {
        m_components.out.push(read_cache_events{entry.config.name, entry.config.address, entry.nextCacheEvent});
    }
}

void endpoint_monitor::tick()
{
    if (m_components.clock.now() < m_nextRound) {
        return;
    }
    m_nextRound = m_components.clock.now() + readInterval;
    for (const auto &[name, entry] : m_monitored) {
        requestReports(entry);
    }
}

void endpoint_monitor::onLoad(const load_report &report)
{
    const auto it = m_monitored.find(report.endpoint);
    if (it == m_monitored.end()) {
        return;
    }
    auto &entry = it->second;
    m_components.pools.onLoad(report);
    m_components.schedulerDirty = true;
    if (!report.reachable) {
        onMissed(entry);
        return;
    }
    entry.missedReports = 0;
    entry.running = report.running.size();
    entry.held = report.held.size();
    entry.kvBlocksUsed = report.kvBlocksUsed;
    entry.slotsUsed = report.slotsUsed;
    if (entry.config.condition == endpoint_condition::Ready) {
        entry.machine.apply(endpoint_event::reported{});
    } else if (report.running.empty() && report.held.empty() && entry.machine.apply(endpoint_event::emptied{})) {
        auditDrain(audit_kind::DrainFinished, entry.config.name);
    }
    freeOrphans(entry, report);
}

void endpoint_monitor::onMissed(monitored_endpoint &entry)
{
    if (++entry.missedReports == missedReportsUntilExclusion && entry.machine.apply(endpoint_event::missed{})) {
        m_components.pools.onEndpointRemoved(entry.config.name);
        m_components.logMessage(severity::Warning, log_component::Monitor, entry.config.name.value + " is excluded after missed load reports");
    }
}

void endpoint_monitor::freeOrphans(monitored_endpoint &entry, const load_report &report)
{
    std::set<attempt_label> suspects;
    const auto check = [&](const attempt_label &label) {
        if (!isOrphan(label)) {
            return;
        }
        suspects.insert(label);
        if (!entry.suspects.contains(label)) {
            // The label is cancelled only from the second report on, since this report may be older than the end of the attempt, and a new member
            // may not be known to this VM yet.
            return;
        }
        m_components.metrics.orphanFreed();
        m_components.out.push(cancel_attempt{label, entry.config.name, entry.config.address});
        if (label.request.origin.vm != m_components.self().vm && m_audited.emplace(entry.config.name, label.request.origin).second) {
            m_components.audit(audit_kind::OrphanFreed, entry.config.name.value, toString(label.request.origin));
        }
    };
    std::for_each(report.running.begin(), report.running.end(), check);
    std::for_each(report.held.begin(), report.held.end(), check);
    entry.suspects = std::move(suspects);
}

bool endpoint_monitor::isOrphan(const attempt_label &label) const
{
    if (label.request.origin.vm != m_components.self().vm) {
        return m_components.isDead(label.request.origin);
    }
    if (label.request.origin.number > m_components.self().number) {
        return false;
    }
    const auto *const entry = m_components.requests.find(label.request);
    return entry == nullptr || !entry->model || entry->model->attempt != label.attempt;
}

void endpoint_monitor::onCacheEvents(const cache_events &events)
{
    const auto it = m_monitored.find(events.endpoint);
    if (it != m_monitored.end()) {
        it->second.nextCacheEvent = events.next;
        m_components.pools.onCacheEvents(events);
    }
}

nlohmann::json endpoint_monitor::status() const
{
    nlohmann::json out = nlohmann::json::object();
    for (const auto &[name, entry] : m_monitored) {
        out[name.value] = {{"state", std::string(nameOf(entry.machine.stage()))},
                           {"role", std::string(nameOf(entry.config.role))},
                           {"running", entry.running},
                           {"held", entry.held},
                           {"pieces_used", entry.kvBlocksUsed},
                           {"slots_used", entry.slotsUsed},
                           {"missed_reports", entry.missedReports}};
    }
    return out;
}

nlohmann::json endpoint_monitor::drains() const
{
    auto out = nlohmann::json::array();
    for (const auto &[name, entry] : m_monitored) {
        if (entry.config.condition == endpoint_condition::Leaving) {
            const bool finished = entry.machine.stage() == endpoint_stage::Gone;
            out.push_back({{"endpoint", name.value}, {"running", entry.running}, {"held", entry.held}, {"finished", finished}});
        }
    }
    return out;
}

} // namespace plantainpoint
