// ledger of pool_scheduler: what open attempts hold, corrected by progress, load reports and failures
#pragma once

#include "scheduler_pool.hpp"

namespace plantainpoint {

template<class Policy>
void pool_scheduler<Policy>::configure(const pool_settings &settings, const std::vector<endpoint> &endpoints, time_point now)
{
    m_settings = settings;
    m_interactive.setOrder({settings.fairness});
    m_batch.setOrder({settings.fairness});
    for (const auto &[name, weight] : settings.accountWeights) {
        m_accounts.setWeight(name, weight);
    }
    std::unordered_set<endpoint_name> named;
    for (const auto &config : endpoints) {
        named.insert(config.name);
        if (config.role == endpoint_role::Prefill) {
            m_prefills.configure(config, now);
        } else if (config.role == endpoint_role::Decode) {
            m_decodes.configure(config, now);
        }
    }
    const auto retire = [&](auto &table) {
        for (worker_index index = 0; index < table.size(); ++index) {
            if (!named.contains(table[index].config.name)) {
                table.edit(index).health.setConfigured(false);
                table.refresh(index, now);
            }
        }
    };
    retire(m_prefills);
    retire(m_decodes);
    m_accounts.expectRate(m_decodes.totalSlots() / toSeconds(settings.tokenIntervalTarget));
    m_dirty = true;
}

template<class Policy>
void pool_scheduler<Policy>::takeOver(const std::vector<incarnation_id> &members, time_point now)
{
    m_unsynced = {members.begin(), members.end()};
    m_syncEnds = now + syncWait;
    m_dirty = true;
}

template<class Policy>
void pool_scheduler<Policy>::onSync(const incarnation_id &from, const ledger_sync &message, time_point now)
{
    m_unsynced.erase(from);
    m_dirty = true;
    for (const auto &open : message.attempts) {
        const attempt_label label{open.label, open.attempt};
        if (m_ledger.contains(label)) {
            continue;
        }
        ledger_entry entry{.from = from, .account = m_accounts.indexOf(open.account)};
        entry.prefill = m_prefills.find(open.prefill);
        entry.decode = m_decodes.find(open.decode);
        entry.promptTokens = open.promptTokens;
        entry.kvBlocks = kvBlocksFor(open.promptTokens + open.maxOutputTokens);
        entry.prefilling = false; // the stage says what is finished; a running prefill shows in the load report
        if (entry.decode) {
            auto &worker = m_decodes.edit(*entry.decode);
            ++worker.used;
            worker.usedKvBlocks += entry.kvBlocks;
            m_decodes.refresh(*entry.decode, now);
        }
        auto &added = m_ledger.emplace(label, entry).first->second;
        if (open.stage == placement_stage::DecodeStarted) {
            startDecode(added, now);
        }
    }
}

template<class Policy>
void pool_scheduler<Policy>::finishPrefill(ledger_entry &entry, time_point now)
{
    if (!entry.prefilling || !entry.prefill) {
        return;
    }
    entry.prefilling = false;
    auto &worker = m_prefills.edit(*entry.prefill);
    --worker.open;
    worker.allWork -= entry.work;
    worker.allBusyUntil = now + worker.allWork;
    if (!entry.background) {
        worker.interactiveWork -= entry.work;
        worker.busyUntil = now + worker.interactiveWork;
    }
    m_prefills.refresh(*entry.prefill, now);
    m_dirty = true;
}

template<class Policy>
void pool_scheduler<Policy>::finishTransfer(ledger_entry &entry)
{
    if (entry.prefill && entry.decode) {
        m_prefills.edit(*entry.prefill).transfers -= entry.transfer;
        m_decodes.edit(*entry.decode).transfers -= entry.transfer;
    }
    entry.transfer = duration::zero();
}

template<class Policy>
void pool_scheduler<Policy>::startDecode(ledger_entry &entry, time_point now)
{
    if (entry.decoding || !entry.decode) {
        return;
    }
    entry.decoding = true;
    finishTransfer(entry);
    m_dirty = true;
    entry.decodeSince = now;
    auto &worker = m_decodes.edit(*entry.decode);
    worker.addRunning(1, now);
    entry.runningAtStart = worker.runningIntegral(now);
}

template<class Policy>
void pool_scheduler<Policy>::onProgress(const placement_progress &message, time_point now)
{
    const attempt_label label{message.label, message.attempt};
    const auto found = m_ledger.find(label);
    if (found == m_ledger.end()) {
        return;
    }
    auto &entry = found->second;
    if (entry.prefilling) {
        observePrefill(entry, now);
        m_overdue.erase({entry.overdueAt, label});
        finishPrefill(entry, now);
    }
    if (message.stage == placement_stage::DecodeStarted) {
        startDecode(entry, now);
        if (entry.decode) {
            m_decodes.edit(*entry.decode).health.onSuccess(now);
            m_decodes.refresh(*entry.decode, now);
        }
    }
}

// learns how much slower a prefill worker is than its configuration says
template<class Policy>
void pool_scheduler<Policy>::observePrefill(const ledger_entry &entry, time_point now)
{
    if (!entry.prefill) {
        return;
    }
    auto &worker = m_prefills.edit(*entry.prefill);
    worker.health.onSuccess(now);
    constexpr duration shortestMeasured = std::chrono::milliseconds(50); // below, network delay dominates
    if (!entry.measurable || entry.work < shortestMeasured) {
        return;
    }
    constexpr double smoothing = 0.1;
    const double ratio = toSeconds(now - entry.prefillStart) / toSeconds(entry.work);
    const double observed = std::clamp(worker.slowness * ratio, 0.5, 8.0);
    worker.slowness += smoothing * (observed - worker.slowness);
}

// lowers the slots of a worker whose token interval exceeds the target, and raises them again up to the configured number
template<class Policy>
void pool_scheduler<Policy>::observeInterval(const ledger_entry &entry, std::int32_t tokens, time_point now)
{
    constexpr std::int32_t fewestTokens = 16; // the interval of shorter answers is too noisy
    if (!entry.decoding || !entry.decode || tokens < fewestTokens) {
        return;
    }
    const double lasted = toSeconds(now - entry.decodeSince);
    if (lasted <= 0) {
        return;
    }
    auto &worker = m_decodes.edit(*entry.decode);
    const double interval = lasted / tokens;
    const double batch = (worker.runningIntegral(now) - entry.runningAtStart) / lasted;
    const double target = toSeconds(m_settings.tokenIntervalTarget);
    if (interval > target * 0.98) {
        worker.slotLimit = std::clamp(static_cast<std::int32_t>(batch), 1, worker.slotLimit);
    } else if (interval < target * 0.9 && batch > worker.slotLimit - 2) {
        worker.slotLimit = std::min(worker.slotLimit + 1, worker.config.slots);
    }
}

template<class Policy>
void pool_scheduler<Policy>::close(const attempt_label &label, time_point now)
{
    const auto found = m_ledger.find(label);
    if (found == m_ledger.end()) {
        return;
    }
    auto &entry = found->second;
    m_overdue.erase({entry.overdueAt, label});
    finishPrefill(entry, now);
    finishTransfer(entry);
    if (entry.decode) {
        auto &worker = m_decodes.edit(*entry.decode);
        if (entry.decoding) {
            worker.addRunning(-1, now);
        }
        --worker.used;
        worker.usedKvBlocks -= entry.kvBlocks;
        m_decodes.refresh(*entry.decode, now);
    }
    m_closed.emplace(label, entry.kvBlocks);
    m_closedOrder.push_back(label);
    if (m_closedOrder.size() > closedKept) {
        m_closed.erase(m_closedOrder.front());
        m_closedOrder.pop_front();
    }
    m_ledger.erase(found);
    m_dirty = true;
}

template<class Policy>
void pool_scheduler<Policy>::onDone(const placement_done &message, time_point now)
{
    const attempt_label label{message.label, message.attempt};
    if (const auto waiting = m_waitingByLabel.find(label); waiting != m_waitingByLabel.end()) {
        dequeue(waiting->second);
        return;
    }
    const auto found = m_ledger.find(label);
    if (found == m_ledger.end()) {
        return;
    }
    const auto &entry = found->second;
    if (message.outputTokens > 0 && !message.failed) {
        constexpr double smoothing = 0.02;
        m_outputTokens = m_outputTokens > 0 ? m_outputTokens + smoothing * (message.outputTokens - m_outputTokens) : message.outputTokens;
        observeInterval(entry, message.outputTokens, now);
    }
    charge(entry.account, message.outputTokens - entry.charged);
    close(label, now);
    if (message.failed) {
        onFailure(*message.failed, now);
    }
}

template<class Policy>
void pool_scheduler<Policy>::onFailure(const endpoint_name &name, time_point now)
{
    const auto strike = [&](auto &table) {
        if (const auto index = table.find(name)) {
            auto &health = table.edit(*index).health;
            health.onFailure(now);
            m_returns.emplace(health.excludedUntil(), name);
            table.refresh(*index, now);
        }
    };
    strike(m_prefills);
    strike(m_decodes);
    m_dirty = true;
}

template<class Policy>
void pool_scheduler<Policy>::refreshReturned(time_point now)
{
    while (!m_returns.empty() && m_returns.begin()->first <= now) {
        const auto name = m_returns.begin()->second;
        m_returns.erase(m_returns.begin());
        if (const auto index = m_prefills.find(name)) {
            m_prefills.refresh(*index, now);
        }
        if (const auto index = m_decodes.find(name)) {
            m_decodes.refresh(*index, now);
        }
    }
}

template<class Policy>
void pool_scheduler<Policy>::strikeOverdue(time_point now)
{
    while (!m_overdue.empty() && m_overdue.begin()->first <= now) {
        const auto &entry = m_ledger.at(m_overdue.begin()->second);
        if (entry.prefill) {
            onFailure(m_prefills[*entry.prefill].config.name, now);
        }
        m_overdue.erase(m_overdue.begin());
    }
}

template<class Policy>
void pool_scheduler<Policy>::onLoad(const load_report &report, time_point now)
{
    if (const auto index = m_prefills.find(report.endpoint)) {
        m_prefills.edit(*index).health.onReport(report.reachable);
        if (report.reachable) {
            applyPrefillReport(*index, report, now);
        }
        m_prefills.refresh(*index, now);
    }
    if (const auto index = m_decodes.find(report.endpoint)) {
        m_decodes.edit(*index).health.onReport(report.reachable);
        if (report.reachable) {
            applyDecodeReport(*index, report, now);
        }
        m_decodes.refresh(*index, now);
    }
    m_dirty = true;
}

// own work is known exactly; a report only shows what others hold
template<class Policy>
void pool_scheduler<Policy>::applyDecodeReport(worker_index index, const load_report &report, time_point)
{
    auto &worker = m_decodes.edit(index);
    std::int32_t known = 0;
    std::int32_t foreign = 0;
    for (const auto &label : report.running) {
        if (const auto open = m_ledger.find(label); open != m_ledger.end()) {
            known += open->second.kvBlocks;
        } else if (const auto closed = m_closed.find(label); closed != m_closed.end()) {
            known += closed->second;
        } else {
            ++foreign;
        }
    }
    worker.foreignSlots = foreign;
    worker.foreignKvBlocks = foreign > 0 ? std::max(foreign, report.kvBlocksUsed - known) : 0;
}

// work of others ahead of ours delays what is sent from now on
template<class Policy>
void pool_scheduler<Policy>::applyPrefillReport(worker_index index, const load_report &report, time_point now)
{
    const auto listed = report.running.size();
    if (listed == 0) {
        return;
    }
    const auto foreign = std::count_if(report.running.begin(), report.running.end(), [&](const attempt_label &label) { return !ours(label); });
    if (foreign == 0) {
        return;
    }
    auto &worker = m_prefills.edit(index);
    const auto others = report.queueTime * foreign / static_cast<std::int64_t>(listed) - report.age;
    worker.busyUntil = std::max(worker.busyUntil, now + worker.interactiveWork + others);
    worker.allBusyUntil = std::max(worker.allBusyUntil, now + worker.allWork + others);
}

template<class Policy>
void pool_scheduler<Policy>::onCacheEvents(const cache_events &events)
{
    const auto index = m_prefills.find(events.endpoint);
    if (!index) {
        return;
    }
    auto &next = m_cacheSequence[events.endpoint];
    for (const auto &event : events.events) {
        if (event.stored) {
            m_hints.stored(*index, event.prefix, event.tokens);
        } else {
            m_hints.evicted(*index, event.prefix);
        }
        next = std::max(next, event.sequence + 1);
    }
}

template<class Policy>
void pool_scheduler<Policy>::onEndpointGone(const endpoint_name &name, time_point now)
{
    if (const auto index = m_prefills.find(name)) {
        m_prefills.edit(*index).health.setGone();
        m_prefills.refresh(*index, now);
        m_hints.forget(*index);
    }
    if (const auto index = m_decodes.find(name)) {
        m_decodes.edit(*index).health.setGone();
        m_decodes.refresh(*index, now);
    }
    m_dirty = true;
}

template<class Policy>
void pool_scheduler<Policy>::onVmGone(const incarnation_id &id, time_point now)
{
    m_unsynced.erase(id);
    std::vector<request_index> queued;
    for (const auto &[index, request] : m_waiting) {
        if (request.from == id) {
            queued.push_back(index);
        }
    }
    for (const auto index : queued) {
        dequeue(index);
    }
    std::vector<attempt_label> open;
    for (const auto &[label, entry] : m_ledger) {
        if (entry.from == id) {
            open.push_back(label);
        }
    }
    for (const auto &label : open) {
        close(label, now);
        m_closed.erase(label); // its engine memory is held until it is cancelled; load reports show it as foreign
    }
    m_dirty = true;
}

template<class Policy>
nlohmann::json pool_scheduler<Policy>::status() const
{
    return {
        {"queued_interactive", m_interactive.size()},
        {"queued_batch", m_batch.size()},
        {"open_attempts", m_ledger.size()},
        {"free_slots", m_decodes.freeSlots()},
        {"total_slots", m_decodes.totalSlots()},
        {"prefix_hints", m_hints.size()},
        {"placed", m_placed},
        {"refused", m_refused},
        {"waits_for_sync", m_syncEnds.has_value()},
    };
}

} // namespace plantainpoint
