#include "cancel_table.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

constexpr duration readInterval = std::chrono::milliseconds(500);
// The interval for an unreachable endpoint is doubled up to this limit. The endpoint is never dropped while it is configured.
constexpr duration maxReadInterval = std::chrono::seconds(5);
// A report proves nothing until this time after the first cancel: a start that is still in transit is not listed yet. By then a lost first
// cancel has been repeated.
constexpr duration minReportDelay = readInterval;
// An endpoint that is not configured and misses this many load reports is assumed to have stopped.
constexpr std::int32_t missedReportsUntilDropped = 10;

bool listsAttempt(const load_report &report, const attempt_label &attempt)
{
    return std::find(report.running.begin(), report.running.end(), attempt) != report.running.end()
           || std::find(report.held.begin(), report.held.end(), attempt) != report.held.end();
}

} // namespace

cancel_table::cancel_table(const log_state &log, const clock_source &clock, core_metrics &metrics, outbox &out)
    : m_log(log)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_out(out)
{
}

void cancel_table::add(const attempt_label &attempt, const endpoint_name &endpoint, const std::string &address)
{
    send(attempt, endpoint, address);
    auto &entry = m_targets[endpoint];
    entry.cancels.push_back(pending{attempt, m_clock.now()});
    entry.address = address;
    entry.interval = readInterval;
    entry.nextRead = m_clock.now() + readInterval;
    ++m_size;
}

void cancel_table::send(const attempt_label &attempt, const endpoint_name &endpoint, const std::string &address)
{
    m_metrics.cancelSent();
    m_out.push(cancel_attempt{attempt, endpoint, address});
}

bool cancel_table::isRemoved(const endpoint_name &endpoint, const target &entry) const
{
    return entry.missedReports >= missedReportsUntilDropped && m_log.config().findEndpoint(endpoint) == nullptr;
}

void cancel_table::onLoad(const load_report &report)
{
    const auto it = m_targets.find(report.endpoint);
    if (it == m_targets.end()) {
        return;
    }
    auto &entry = it->second;
    if (!report.reachable) {
        entry.interval = std::min(entry.interval * 2, maxReadInterval);
        ++entry.missedReports;
        return;
    }
    entry.missedReports = 0;
    entry.interval = readInterval;
    const auto takenAt = m_clock.now() - report.age;
    const auto before = entry.cancels.size();
    std::erase_if(entry.cancels, [&](const pending &cancel) { return takenAt >= cancel.firstSent + minReportDelay && !listsAttempt(report, cancel.attempt); });
    m_size -= before - entry.cancels.size();
    if (entry.cancels.empty()) {
        m_targets.erase(it);
    }
}

void cancel_table::tick()
{
    const auto now = m_clock.now();
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        auto &entry = it->second;
        if (entry.nextRead > now) {
            ++it;
            continue;
        }
        if (isRemoved(it->first, entry)) {
            m_size -= entry.cancels.size();
            it = m_targets.erase(it);
            continue;
        }
        // An earlier cancel may have been lost.
        for (const auto &cancel : entry.cancels) {
            send(cancel.attempt, it->first, entry.address);
        }
        m_out.push(read_load{it->first, entry.address});
        entry.nextRead = now + entry.interval;
        ++it;
    }
}

std::optional<time_point> cancel_table::nextTick() const
{
    std::optional<time_point> next;
    for (const auto &[name, entry] : m_targets) {
        next = next ? std::min(*next, entry.nextRead) : entry.nextRead;
    }
    return next;
}

} // namespace plantainpoint
