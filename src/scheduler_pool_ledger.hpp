// Ledger of pool_scheduler: resources held by open attempts, corrected by progress messages, load reports and failures.
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
    std::unordered_set<endpoint_name> listedNames;
    for (const auto &config : endpoints) {
        listedNames.insert(config.name);
        if (config.role == endpoint_role::Prefill) {
            m_prefills.configure(config, now);
        } else if (config.role == endpoint_role::Decode) {
            m_decodes.configure(config, now);
        }
    }
    const auto removeUnlisted = [&](auto &table) {
        for (worker_index index = 0; index < table.size(); ++index) {
            if (!listedNames.contains(table[index].config.name)) {
                table.edit(index).health.setConfigured(false);
                table.refresh(index, now);
            }
        }
    };
    removeUnlisted(m_prefills);
    removeUnlisted(m_decodes);
    m_accounts.expectRate(m_decodes.totalSlots() / toSeconds(settings.tokenIntervalTarget));
    m_stateChanged = true;
}

template<class Policy>
void pool_scheduler<Policy>::takeOver(const std::vector<incarnation_id> &members, time_point now)
{
    m_unsynced = {members.begin(), members.end()};
    m_syncDeadline = now + syncTimeout;
    m_stateChanged = true;
}

template<class Policy>
void pool_scheduler<Policy>::onSync(const incarnation_id &from, const ledger_sync &message, time_point now)
{
    m_unsynced.erase(from);
    m_stateChanged = true;
    for (const auto &attempt : message.attempts) {
        const attempt_label label{attempt.label, attempt.attempt};
        if (m_ledger.contains(label)) {
            continue;
        }
        ledger_entry entry{.from = from, .account = m_accounts.indexOf(attempt.account)};
        entry.prefill = m_prefills.find(attempt.prefill);
        entry.decode = m_decodes.find(attempt.decode);
        entry.promptTokens = attempt.promptTokens;
        entry.kvBlocks = kvBlocksFor(attempt.promptTokens + attempt.maxOutputTokens);
        entry.prefilling = false; // The stage states what has finished, and the load report shows a running prefill.
        if (entry.decode) {
            auto &worker = m_decodes.edit(*entry.decode);
            ++worker.reservedSlots;
            worker.reservedKvBlocks += entry.kvBlocks;
            m_decodes.refresh(*entry.decode, now);
        }
        auto &added = m_ledger.emplace(label, entry).first->second;
        if (attempt.stage == placement_stage::DecodeStarted) {
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
    --worker.openPrefills;
    worker.pendingWork -= entry.prefillTime;
    worker.allBusyUntil = now + worker.pendingWork;
    if (!entry.background) {
        worker.pendingInteractiveWork -= entry.prefillTime;
        worker.interactiveBusyUntil = now + worker.pendingInteractiveWork;
    }
    m_prefills.refresh(*entry.prefill, now);
    m_stateChanged = true;
}

template<class Policy>
void pool_scheduler<Policy>::finishTransfer(ledger_entry &entry)
{
    if (entry.prefill && entry.decode) {
        m_prefills.edit(*entry.prefill).pendingTransferTime -= entry.transferTime;
        m_decodes.edit(*entry.decode).pendingTransferTime -= entry.transferTime;
    }
    entry.transferTime = duration::zero();
}

template<class Policy>
void pool_scheduler<Policy>::startDecode(ledger_entry &entry, time_point now)
{
    if (entry.decoding || !entry.decode) {
        return;
    }
    entry.decoding = true;
    finishTransfer(entry);
    m_stateChanged = true;
    entry.decodeStartedAt = now;
    auto &worker = m_decodes.edit(*entry.decode);
    worker.addRunning(1, now);
    entry.runningIntegralAtStart = worker.runningIntegral(now);
}

template<class Policy>
void pool_scheduler<Policy>::onProgress(const placement_progress &message, time_point now)
{
    const attempt_label label{message.label, message.attempt};
    const auto it = m_ledger.find(label);
    if (it == m_ledger.end()) {
        return;
    }
    auto &entry = it->second;
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

// Estimates how much slower a prefill worker is than its configuration states.
template<class Policy>
void pool_scheduler<Policy>::observePrefill(const ledger_entry &entry, time_point now)
{
    if (!entry.prefill) {
        return;
    }
    auto &worker = m_prefills.edit(*entry.prefill);
    worker.health.onSuccess(now);
    constexpr duration minMeasuredPrefillTime = std::chrono::milliseconds(50); // Network delay dominates shorter prefills.
    if (!entry.measurable || entry.prefillTime < minMeasuredPrefillTime) {
        return;
    }
    constexpr double smoothing = 0.1;
    const double ratio = toSeconds(now - entry.prefillStart) / toSeconds(entry.prefillTime);
    const double observed = std::clamp(worker.slowdown * ratio, 0.5, 8.0);
    worker.slowdown += smoothing * (observed - worker.slowdown);
}

// Lowers the slot limit of a worker whose token interval exceeds the target, and raises it again up to the configured number.
template<class Policy>
void pool_scheduler<Policy>::observeInterval(const ledger_entry &entry, std::int32_t tokens, time_point now)
{
    constexpr std::int32_t minTokens = 16; // The token interval of shorter answers is too noisy.
    if (!entry.decoding || !entry.decode || tokens < minTokens) {
        return;
    }
    const double elapsed = toSeconds(now - entry.decodeStartedAt);
    if (elapsed <= 0) {
        return;
    }
    auto &worker = m_decodes.edit(*entry.decode);
    const double interval = elapsed / tokens;
    const double meanRunning = (worker.runningIntegral(now) - entry.runningIntegralAtStart) / elapsed;
    const double target = toSeconds(m_settings.tokenIntervalTarget);
    if (interval > target * 0.98) {
        worker.slotLimit = std::clamp(static_cast<std::int32_t>(meanRunning), 1, worker.slotLimit);
    } else if (interval < target * 0.9 && meanRunning > worker.slotLimit - 2) {
        worker.slotLimit = std::min(worker.slotLimit + 1, worker.config.slots);
    }
}

template<class Policy>
void pool_scheduler<Policy>::close(const attempt_label &label, time_point now)
{
    const auto it = m_ledger.find(label);
    if (it == m_ledger.end()) {
        return;
    }
    auto &entry = it->second;
    m_overdue.erase({entry.overdueAt, label});
    finishPrefill(entry, now);
    finishTransfer(entry);
    if (entry.decode) {
        auto &worker = m_decodes.edit(*entry.decode);
        if (entry.decoding) {
            worker.addRunning(-1, now);
        }
        --worker.reservedSlots;
        worker.reservedKvBlocks -= entry.kvBlocks;
        m_decodes.refresh(*entry.decode, now);
    }
    m_closed.emplace(label, entry.kvBlocks);
    m_closedOrder.push_back(label);
    if (m_closedOrder.size() > closedAttemptsKept) {
        m_closed.erase(m_closedOrder.front());
        m_closedOrder.pop_front();
    }
    m_ledger.erase(it);
    m_stateChanged = true;
}

template<class Policy>
void pool_scheduler<Policy>::onDone(const placement_done &message, time_point now)
{
    const attempt_label label{message.label, message.attempt};
    if (const auto waiting = m_waitingByLabel.find(label); waiting != m_waitingByLabel.end()) {
        dequeue(waiting->second);
        return;
    }
    const auto it = m_ledger.find(label);
    if (it == m_ledger.end()) {
        return;
    }
    const auto &entry = it->second;
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
    const auto recordFailure = [&](auto &table) {
        if (const auto index = table.find(name)) {
            auto &health = table.edit(*index).health;
            health.onFailure(now);
            m_exclusionEnds.emplace(health.excludedUntil(), name);
            table.refresh(*index, now);
        }
    };
    recordFailure(m_prefills);
    recordFailure(m_decodes);
    m_stateChanged = true;
}

template<class Policy>
void pool_scheduler<Policy>::refreshAfterExclusion(time_point now)
{
    while (!m_exclusionEnds.empty() && m_exclusionEnds.begin()->first <= now) {
        const auto name = m_exclusionEnds.begin()->second;
        m_exclusionEnds.erase(m_exclusionEnds.begin());
        if (const auto index = m_prefills.find(name)) {
            m_prefills.refresh(*index, now);
        }
        if (const auto index = m_decodes.find(name)) {
            m_decodes.refresh(*index, now);
        }
    }
}

template<class Policy>
void pool_scheduler<Policy>::failOverduePrefills(time_point now)
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
    m_stateChanged = true;
}

// Derives what others hold from a load report. The scheduler's own reservations are known exactly and are not corrected.
template<class Policy>
void pool_scheduler<Policy>::applyDecodeReport(worker_index index, const load_report &report, time_point)
{
    auto &worker = m_decodes.edit(index);
    std::int32_t knownKvBlocks = 0;
    std::int32_t attemptsOfOthers = 0;
    for (const auto &label : report.running) {
        if (const auto openAttempt = m_ledger.find(label); openAttempt != m_ledger.end()) {
            knownKvBlocks += openAttempt->second.kvBlocks;
        } else if (const auto closedAttempt = m_closed.find(label); closedAttempt != m_closed.end()) {
            knownKvBlocks += closedAttempt->second;
        } else {
            ++attemptsOfOthers;
        }
    }
    worker.slotsHeldByOthers = attemptsOfOthers;
    worker.kvBlocksHeldByOthers = attemptsOfOthers > 0 ? std::max(attemptsOfOthers, report.kvBlocksUsed - knownKvBlocks) : 0;
}

// Accounts for work of others in the queue, which delays prefills that are sent from now on.
template<class Policy>
void pool_scheduler<Policy>::applyPrefillReport(worker_index index, const load_report &report, time_point now)
{
    const auto listed = report.running.size();
    if (listed == 0) {
        return;
    }
    const auto attemptsOfOthers = std::count_if(report.running.begin(), report.running.end(), [&](const attempt_label &label) { return !isOwnAttempt(label); });
    if (attemptsOfOthers == 0) {
        return;
    }
    auto &worker = m_prefills.edit(index);
    const auto othersQueueTime = report.queueTime * attemptsOfOthers / static_cast<std::int64_t>(listed) - report.age;
    worker.interactiveBusyUntil = std::max(worker.interactiveBusyUntil, now + worker.pendingInteractiveWork + othersQueueTime);
    worker.allBusyUntil = std::max(worker.allBusyUntil, now + worker.pendingWork + othersQueueTime);
}

template<class Policy>
void pool_scheduler<Policy>::onCacheEvents(const cache_events &events)
{
    const auto index = m_prefills.find(events.endpoint);
    if (!index) {
        return;
    }
    auto &nextSequence = m_cacheSequence[events.endpoint];
    for (const auto &event : events.events) {
        if (event.stored) {
            m_hints.add(*index, event.prefix, event.tokens);
        } else {
            m_hints.remove(*index, event.prefix);
        }
        nextSequence = std::max(nextSequence, event.sequence + 1);
    }
}

template<class Policy>
void pool_scheduler<Policy>::onEndpointRemoved(const endpoint_name &name, time_point now)
{
    if (const auto index = m_prefills.find(name)) {
        m_prefills.edit(*index).health.setRemoved();
        m_prefills.refresh(*index, now);
        m_hints.removeWorker(*index);
    }
    if (const auto index = m_decodes.find(name)) {
        m_decodes.edit(*index).health.setRemoved();
        m_decodes.refresh(*index, now);
    }
    m_stateChanged = true;
}

template<class Policy>
void pool_scheduler<Policy>::onVmRemoved(const incarnation_id &id, time_point now)
{
    m_unsynced.erase(id);
    std::vector<request_index> queuedRequests;
    for (const auto &[index, request] : m_waiting) {
        if (request.from == id) {
            queuedRequests.push_back(index);
        }
    }
    for (const auto index : queuedRequests) {
        dequeue(index);
    }
    std::vector<attempt_label> openAttempts;
    for (const auto &[label, entry] : m_ledger) {
        if (entry.from == id) {
            openAttempts.push_back(label);
        }
    }
    for (const auto &label : openAttempts) {
        close(label, now);
        m_closed.erase(label); // The attempt holds its KV blocks until it is cancelled, and load reports show it as work of others.
    }
    m_stateChanged = true;
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
        {"waits_for_sync", m_syncDeadline.has_value()},
    };
}

} // namespace plantainpoint
