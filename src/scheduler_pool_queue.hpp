// decisions of pool_scheduler: what is placed, and what is refused
#pragma once

#include <limits>
#include <utility>

#include "scheduler_pool.hpp"

namespace plantainpoint {

// shortest time from the start of the prefill to the KV data at the decode worker, with the best hinted hit
template<class Policy>
duration pool_scheduler<Policy>::bestServiceTime(const place_request &message) const
{
    const auto &workers = m_prefills.byBusy();
    if (workers.empty()) {
        return {};
    }
    const auto &worker = m_prefills[workers.begin()->second];
    std::int32_t hit = 0;
    if (const auto *holders = m_hints.longest(message.prefix)) {
        for (const auto &hint : *holders) {
            hit = std::max(hit, hint.tokens);
        }
    }
    const auto tokens = message.promptTokens + message.resumeFrom;
    const auto transfer = worker.transferOf(tokens);
    return worker.workOf(tokens - std::min(tokens, hit) * Policy::prefill::hitConfidence) + transfer;
}

template<class Policy>
waiting_request pool_scheduler<Policy>::makeWaiting(const incarnation_id &from, const place_request &message, time_point now)
{
    waiting_request request{.from = from, .message = message};
    request.account = m_accounts.indexOf(message.account);
    request.kvBlocks = kvBlocksFor(message.promptTokens + std::max(message.resumeFrom, message.maxOutputTokens));
    const auto service = bestServiceTime(message) + firstTokenMargin;
    const auto callerDeadline = now + message.timeToDeadline;
    const auto arrival = now - message.waited;
    request.latestStart = arrival + m_settings.firstTokenTarget - service;
    request.refuseAt = callerDeadline;
    request.refusal = failure::DeadlineExceeded;
    // a prompt too long for the target on an idle pool would be refused at every repeat; it is served late instead
    const bool tooLong = service > duration(m_settings.firstTokenTarget);
    request.background = message.kind == urgency::Batch || tooLong;
    const bool repeated = message.attempt > 0 || message.resumeFrom > 0;
    if (!request.background && !repeated && request.latestStart < callerDeadline) {
        request.refuseAt = request.latestStart;
        request.refusal = failure::Overloaded;
    }
    if (request.background) {
        request.latestStart = callerDeadline - 2 * service - batchMargin;
        request.refuseAt = std::max(now, request.latestStart);
    }
    return request;
}

template<class Policy>
void pool_scheduler<Policy>::enqueue(const incarnation_id &from, const place_request &message, time_point now, answers &out)
{
    const attempt_label label{message.label, message.attempt};
    if (m_waitingByLabel.contains(label)) {
        return;
    }
    if (const auto open = m_ledger.find(label); open != m_ledger.end()) {
        if (open->second.prefill && open->second.decode) {
            const auto &entry = open->second;
            out.push_back(
                {from, placement{message.label, message.attempt, m_prefills[*entry.prefill].config.name, m_decodes[*entry.decode].config.name}, "repeated"});
        }
        return;
    }
    const auto index = m_nextIndex++;
    auto &request = m_waiting.emplace(index, makeWaiting(from, message, now)).first->second;
    m_waitingByLabel.emplace(label, index);
    m_expiry.emplace(request.refuseAt, index);
    queueOf(request).push(index, request.account, request.latestStart);
    m_dirty = true;
}

template<class Policy>
void pool_scheduler<Policy>::dequeue(request_index index)
{
    const auto found = m_waiting.find(index);
    const auto &request = found->second;
    queueOf(request).remove(index, request.account, request.latestStart);
    m_expiry.erase({request.refuseAt, index});
    m_waitingByLabel.erase({request.message.label, request.message.attempt});
    m_waiting.erase(found);
}

template<class Policy>
void pool_scheduler<Policy>::refuse(request_index index, failure reason, std::string text, answers &out)
{
    constexpr duration retryAfter = std::chrono::seconds(1);
    const auto &request = m_waiting.at(index);
    out.push_back({request.from, placement_refusal{request.message.label, request.message.attempt, reason, retryAfter}, std::move(text)});
    ++m_refused;
    dequeue(index);
}

template<class Policy>
void pool_scheduler<Policy>::refuseExpired(time_point now, answers &out)
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

// what the pool lacks, for the record of decisions
template<class Policy>
std::string pool_scheduler<Policy>::bottleneck(time_point now) const
{
    const auto &workers = m_prefills.byBusy();
    const auto wait = workers.empty() ? duration::zero() : std::max(duration::zero(), workers.begin()->first - now);
    return "free decode slots " + std::to_string(m_decodes.freeSlots()) + ", shortest prefill queue "
           + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count()) + " ms";
}

template<class Policy>
void pool_scheduler<Policy>::run(time_point now, answers &out)
{
    if (now < nextRun()) {
        return;
    }
    m_wake = time_point::max();
    m_dirty = false;
    refreshReturned(now);
    strikeOverdue(now);
    if (m_syncEnds) {
        if (!m_unsynced.empty() && now < *m_syncEnds) {
            return;
        }
        m_syncEnds.reset();
    }
    refuseExpired(now, out);
    advanceVirtualTime(now);
    while (placeOwedBatch(now, out) || placeFirst(m_interactive, now, out)) {
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

// interactive work of an account that is far beyond its share does not displace batch work of the others
template<class Policy>
bool pool_scheduler<Policy>::placeOwedBatch(time_point now, answers &out)
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
bool pool_scheduler<Policy>::placeFirst(queue &from, time_point now, answers &out)
{
    if (from.empty() || m_decodes.freeSlots() == 0) {
        return false;
    }
    return from.visitFirst(accountsTried, requestsTried, m_requestTokens, [&](request_index index) { return tryPlace(index, now, out); });
}

template<class Policy>
bool pool_scheduler<Policy>::tryPlace(request_index index, time_point now, answers &out)
{
    auto &request = m_waiting.at(index);
    const auto current = view(now);
    request.overShare = overShare(request.account);
    if (!m_admission.admits(current, request)) {
        return false;
    }
    const auto option = m_prefillChoice.choose(current, request);
    if (!option) {
        return false;
    }
    if (!m_admission.startsNow(current, request, *option)) {
        wakeAt(std::max(now + std::chrono::milliseconds(1), option->queueEnds - prefillLead - option->saved));
        return false;
    }
    const auto decode = m_decodeChoice.choose(current, request);
    if (!decode) {
        return false;
    }
    commit(index, *option, *decode, now, out);
    return true;
}

template<class Policy>
void pool_scheduler<Policy>::commit(request_index index, const prefill_option &option, worker_index decode, time_point now, answers &out)
{
    const auto &request = m_waiting.at(index);
    const auto &message = request.message;
    const attempt_label label{message.label, message.attempt};
    auto &source = m_prefills.edit(option.worker);
    source.allWork += option.work;
    source.allBusyUntil = std::max(now, source.allBusyUntil) + option.work;
    if (!request.background) {
        source.interactiveWork += option.work;
        source.busyUntil = std::max(now, source.busyUntil) + option.work;
    }
    ++source.open;
    source.transfers += option.transfer;
    m_prefills.refresh(option.worker, now);

    auto &target = m_decodes.edit(decode);
    ++target.used;
    target.transfers += option.transfer;
    target.usedKvBlocks += request.kvBlocks;
    m_decodes.refresh(decode, now);

    ledger_entry entry{.from = request.from,
                       .account = request.account,
                       .prefill = option.worker,
                       .decode = decode,
                       .promptTokens = message.promptTokens,
                       .kvBlocks = request.kvBlocks};
    entry.work = option.work;
    entry.transfer = option.transfer;
    entry.background = request.background;
    entry.measurable = source.open == 1 && option.hit == 0;
    entry.prefillStart = option.start;
    entry.overdueAt = option.start + secondsToDuration(toSeconds(option.work) * overdueFactor) + overdueGrace;
    entry.charged = m_outputTokens > 0 ? std::min<double>(m_outputTokens, message.maxOutputTokens) : message.maxOutputTokens;
    const double cost = entry.charged + message.promptTokens / promptTokensPerOutputToken;
    m_requestTokens += costSmoothing * (cost - m_requestTokens);
    charge(request.account, cost);
    if (!entry.background) {
        m_overdue.emplace(entry.overdueAt, label);
    }
    for (std::size_t i = 0; i < message.prefix.size(); ++i) {
        if (m_hints.seenBefore(message.prefix[i])) {
            m_hints.stored(option.worker, message.prefix[i], static_cast<std::int32_t>(i + 1) * tokensPerKvBlock);
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
    m_interactive.rekey(account);
    m_batch.rekey(account);
}

template<class Policy>
time_point pool_scheduler<Policy>::nextRun() const
{
    if (m_dirty) {
        return time_point{};
    }
    auto at = m_wake;
    if (m_syncEnds) {
        at = std::min(at, *m_syncEnds);
    }
    if (!m_expiry.empty()) {
        at = std::min(at, m_expiry.begin()->first + std::chrono::nanoseconds(1));
    }
    if (!m_overdue.empty()) {
        at = std::min(at, m_overdue.begin()->first);
    }
    if (!m_returns.empty()) {
        at = std::min(at, m_returns.begin()->first);
    }
    return at;
}

} // namespace plantainpoint
