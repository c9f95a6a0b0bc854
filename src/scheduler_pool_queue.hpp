// Decisions of pool_scheduler: which requests are placed, and which are refused.
#pragma once

#include <limits>
#include <utility>

#include "scheduler_pool.hpp"

namespace plantainpoint {

// Returns the shortest time from the start of the prefill to the arrival of the KV data at the decode worker, with the best hinted hit.
template<class Policy>
duration pool_scheduler<Policy>::bestServiceTime(const place_request &message) const
{
    const auto &workers = m_prefills.byBusyUntil();
    if (workers.empty()) {
        return {};
    }
    const auto &worker = m_prefills[workers.begin()->second];
    std::int32_t hitTokens = 0;
    if (const auto *holders = m_hints.longestMatch(message.prefix)) {
        for (const auto &hint : *holders) {
            hitTokens = std::max(hitTokens, hint.tokens);
        }
    }
    const auto tokens = message.promptTokens + message.resumeFrom;
    const auto transferTime = worker.transferTimeOf(tokens);
    return worker.prefillTimeOf(tokens - std::min(tokens, hitTokens) * Policy::prefill::hitFraction) + transferTime;
}

template<class Policy>
waiting_request pool_scheduler<Policy>::makeWaitingRequest(const incarnation_id &from, const place_request &message, time_point now)
{
    waiting_request request{.from = from, .message = message};
    request.account = m_accounts.indexOf(message.account);
    request.kvBlocks = kvBlocksFor(message.promptTokens + std::max(message.resumeFrom, message.maxOutputTokens));
    const auto serviceTime = bestServiceTime(message) + firstTokenMargin;
    const auto callerDeadline = now + message.timeToDeadline;
    const auto arrivalTime = now - message.waited;
    request.latestStart = arrivalTime + m_settings.firstTokenTarget - serviceTime;
    request.refuseAt = callerDeadline;
    request.refusal = failure::DeadlineExceeded;
    // A prompt that is too long for the target even on an idle pool would be refused at every retry, so it is served late instead.
    const bool promptTooLong = serviceTime > duration(m_settings.firstTokenTarget);
    request.background = message.kind == urgency::Batch || promptTooLong;
    const bool isRetry = message.attempt > 0 || message.resumeFrom > 0;
    if (!request.background && !isRetry && request.latestStart < callerDeadline) {
        request.refuseAt = request.latestStart;
        request.refusal = failure::Overloaded;
    }
    if (request.background) {
        request.latestStart = callerDeadline - 2 * serviceTime - batchMargin;
        request.refuseAt = std::max(now, request.latestStart);
    }
    return request;
}

template<class Policy>
void pool_scheduler<Policy>::enqueue(const incarnation_id &from, const place_request &message, time_point now, decisions &out)
{
    const attempt_label label{message.label, message.attempt};
    if (m_waitingByLabel.contains(label)) {
        return;
    }
    if (const auto it = m_ledger.find(label); it != m_ledger.end()) {
        if (it->second.prefill && it->second.decode) {
            const auto &entry = it->second;
            out.push_back(
                {from, placement{message.label, message.attempt, m_prefills[*entry.prefill].config.name, m_decodes[*entry.decode].config.name}, "repeated"});
        }
        return;
    }
    const auto index = m_nextIndex++;
    auto &request = m_waiting.emplace(index, makeWaitingRequest(from, message, now)).first->second;
    m_waitingByLabel.emplace(label, index);
    m_expiry.emplace(request.refuseAt, index);
    queueOf(request).push(index, request.account, request.latestStart);
    m_stateChanged = true;
}

template<class Policy>
void pool_scheduler<Policy>::dequeue(request_index index)
{
    const auto it = m_waiting.find(index);
    const auto &request = it->second;
    queueOf(request).remove(index, request.account, request.latestStart);
    m_expiry.erase({request.refuseAt, index});
    m_waitingByLabel.erase({request.message.label, request.message.attempt});
    m_waiting.erase(it);
}

template<class Policy>
void pool_scheduler<Policy>::refuse(request_index index, failure reason, std::string text, decisions &out)
{
    constexpr duration retryAfter = std::chrono::seconds(1);
    const auto &request = m_waiting.at(index);
    out.push_back({request.from, placement_refusal{request.message.label, request.message.attempt, reason, retryAfter}, std::move(text)});
    ++m_refused;
    dequeue(index);
}

template<class Policy>
void pool_scheduler<Policy>::refuseExpired(time_point now, decisions &out)
{
    while (!m_expiry.empty() && m_expiry.begin()->first < now) {
        const auto index = m_expiry.begin()->second;
        const auto reason = m_waiting.at(index).refusal;
        refuse(index,
               reason,
               (reason == failure::Overloaded ? "the first-token target can no longer be met; " : "the caller's deadline has passed; ") + bottleneck(now),
               out);
    }
    const auto present = [](const auto &worker) { return worker.health.present(); };
    if (!m_waiting.empty()
        && (std::none_of(m_prefills.all().begin(), m_prefills.all().end(), present) || std::none_of(m_decodes.all().begin(), m_decodes.all().end(), present))) {
        while (!m_waiting.empty()) {
            refuse(m_waiting.begin()->first, failure::NoEndpoint, "the pool has no endpoint", out);
        }
    }
}

// Describes the capacity that the pool lacks, for the record of decisions.
template<class Policy>
std::string pool_scheduler<Policy>::bottleneck(time_point now) const
{
    const auto &workers = m_prefills.byBusyUntil();
    const auto wait = workers.empty() ? duration::zero() : std::max(duration::zero(), workers.begin()->first - now);
    return "free decode slots " + std::to_string(m_decodes.freeSlots()) + ", shortest prefill queue "
           + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count()) + " ms";
}

template<class Policy>
void pool_scheduler<Policy>::run(time_point now, decisions &out)
{
    if (now < nextRun()) {
        return;
    }
    m_nextRetry = time_point::max();
    m_stateChanged = false;
    refreshAfterExclusion(now);
    failOverduePrefills(now);
    if (m_syncDeadline) {
        if (!m_unsynced.empty() && now < *m_syncDeadline) {
            return;
        }
        m_syncDeadline.reset();
    }
    refuseExpired(now, out);
    advanceVirtualTime(now);
    while (placeUnderservedBatch(now, out) || placeFirst(m_interactive, now, out)) {
        advanceVirtualTime(now);
    }
    while (placeFirst(m_batch, now, out)) { }
}

template<class Policy>
void pool_scheduler<Policy>::advanceVirtualTime(time_point now)
{
    double least = std::numeric_limits<double>::max();
    for (const auto waiting : {m_interactive.leastServed(), m_batch.leastServed()}) {
        least = waiting ? std::min(least, m_accounts.virtualTime(*waiting)) : least;
    }
    m_accounts.advance(least, toSeconds(now.time_since_epoch()));
}

template<class Policy>
bool pool_scheduler<Policy>::overShare(account_index account) const
{
    return !m_interactive.order().mayLead(m_accounts.lead(account), m_accounts.secondsFor(account, m_requestTokens));
}

// Places batch work of an account that has received less than its share, ahead of interactive work of an account that is far beyond its
// share.
template<class Policy>
bool pool_scheduler<Policy>::placeUnderservedBatch(time_point now, decisions &out)
{
    const auto batch = m_batch.leastServed();
    const auto interactive = m_interactive.firstAccount();
    if (!batch || !interactive || m_decodes.freeSlots() == 0) {
        return false;
    }
    const double lead = m_accounts.virtualTime(*interactive) - m_accounts.virtualTime(*batch);
    if (m_batch.order().mayLead(lead, m_accounts.secondsFor(*interactive, m_requestTokens))) {
        return false;
    }
    return tryPlace(m_batch.firstOf(*batch), now, out);
}

template<class Policy>
bool pool_scheduler<Policy>::placeFirst(queue &from, time_point now, decisions &out)
{
    if (from.empty() || m_decodes.freeSlots() == 0) {
        return false;
    }
    return from.visitInOrder(maxAccountsTried, maxRequestsTried, m_requestTokens, [&](request_index index) { return tryPlace(index, now, out); });
}

template<class Policy>
bool pool_scheduler<Policy>::tryPlace(request_index index, time_point now, decisions &out)
{
    auto &request = m_waiting.at(index);
    const auto current = view(now);
    request.overShare = overShare(request.account);
    if (!m_admission.admits(current, request)) {
        return false;
    }
    const auto option = m_prefillSelector.select(current, request);
    if (!option) {
        return false;
    }
    if (!m_admission.mayStartNow(current, request, *option)) {
        retryAt(std::max(now + std::chrono::milliseconds(1), option->queueEnd - prefillLeadTime - option->savedTime));
        return false;
    }
    const auto decode = m_decodeSelector.select(current, request);
    if (!decode) {
        return false;
    }
    commitPlacement(index, *option, *decode, now, out);
    return true;
}

template<class Policy>
void pool_scheduler<Policy>::commitPlacement(request_index index, const prefill_option &option, worker_index decode, time_point now, decisions &out)
{
    const auto &request = m_waiting.at(index);
    const auto &message = request.message;
    const attempt_label label{message.label, message.attempt};
    auto &source = m_prefills.edit(option.worker);
    source.pendingWork += option.prefillTime;
    source.allBusyUntil = std::max(now, source.allBusyUntil) + option.prefillTime;
    if (!request.background) {
        source.pendingInteractiveWork += option.prefillTime;
        source.interactiveBusyUntil = std::max(now, source.interactiveBusyUntil) + option.prefillTime;
    }
    ++source.openPrefills;
    source.pendingTransferTime += option.transferTime;
    m_prefills.refresh(option.worker, now);

    auto &target = m_decodes.edit(decode);
    ++target.reservedSlots;
    target.pendingTransferTime += option.transferTime;
    target.reservedKvBlocks += request.kvBlocks;
    m_decodes.refresh(decode, now);

    ledger_entry entry{.from = request.from,
                       .account = request.account,
                       .prefill = option.worker,
                       .decode = decode,
                       .promptTokens = message.promptTokens,
                       .kvBlocks = request.kvBlocks};
    entry.prefillTime = option.prefillTime;
    entry.transferTime = option.transferTime;
    entry.background = request.background;
    entry.measurable = source.openPrefills == 1 && option.hitTokens == 0;
    entry.prefillStart = option.start;
    entry.overdueAt = option.start + secondsToDuration(toSeconds(option.prefillTime) * overdueFactor) + overdueGrace;
    entry.charged = m_outputTokens > 0 ? std::min<double>(m_outputTokens, message.maxOutputTokens) : message.maxOutputTokens;
    const double cost = entry.charged + message.promptTokens / promptTokensPerOutputToken;
    m_requestTokens += costSmoothing * (cost - m_requestTokens);
    charge(request.account, cost);
    if (!entry.background) {
        m_overdue.emplace(entry.overdueAt, label);
    }
    for (std::size_t i = 0; i < message.prefix.size(); ++i) {
        if (m_hints.wasRequestedBefore(message.prefix[i])) {
            m_hints.add(option.worker, message.prefix[i], static_cast<std::int32_t>(i + 1) * tokensPerKvBlock);
        }
    }
    m_ledger.emplace(label, entry);
    out.push_back({request.from, placement{message.label, message.attempt, source.config.name, target.config.name}, "placed"});
    ++m_placed;
    dequeue(index);
}

template<class Policy>
void pool_scheduler<Policy>::charge(account_index account, double tokens)
{
    m_accounts.charge(account, tokens);
    m_interactive.refreshKeys(account);
    m_batch.refreshKeys(account);
}

template<class Policy>
time_point pool_scheduler<Policy>::nextRun() const
{
    if (m_stateChanged) {
        return time_point{};
    }
    auto next = m_nextRetry;
    if (m_syncDeadline) {
        next = std::min(next, *m_syncDeadline);
    }
    if (!m_expiry.empty()) {
        next = std::min(next, m_expiry.begin()->first + std::chrono::nanoseconds(1));
    }
    if (!m_overdue.empty()) {
        next = std::min(next, m_overdue.begin()->first);
    }
    if (!m_exclusionEnds.empty()) {
        next = std::min(next, m_exclusionEnds.begin()->first);
    }
    return next;
}

} // namespace plantainpoint
