#include "engines.hpp"

#include <algorithm>
#include <utility>

namespace plantainpoint::bench {

prefix_cache::prefix_cache(std::int64_t capacityTokens, double eventLoss, std::uint64_t seed)
    : m_capacityKvBlocks(capacityTokens / tokensPerKvBlock)
    , m_eventLoss(eventLoss)
    , m_random(seed)
{
}

std::int32_t prefix_cache::lookUp(const std::vector<std::uint64_t> &prefix)
{
    std::int32_t hit = 0;
    for (const auto blockHash : prefix) {
        if (!m_positions.contains(blockHash)) {
            break;
        }
        markUsed(blockHash);
        hit += tokensPerKvBlock;
    }
    return hit;
}

void prefix_cache::markUsed(std::uint64_t blockHash)
{
    m_usageOrder.splice(m_usageOrder.end(), m_usageOrder, m_positions.at(blockHash));
}

void prefix_cache::store(const std::vector<std::uint64_t> &prefix)
{
    std::int32_t length = 0;
    for (const auto blockHash : prefix) {
        length += tokensPerKvBlock;
        if (m_positions.contains(blockHash)) {
            markUsed(blockHash);
            continue;
        }
        m_positions[blockHash] = m_usageOrder.insert(m_usageOrder.end(), blockHash);
        m_prefixLengths[blockHash] = length;
        addEvent(blockHash, length, true);
    }
    while (static_cast<std::int64_t>(m_usageOrder.size()) > m_capacityKvBlocks) {
        const auto oldest = m_usageOrder.front();
        m_usageOrder.pop_front();
        m_positions.erase(oldest);
        addEvent(oldest, m_prefixLengths[oldest], false);
        m_prefixLengths.erase(oldest);
    }
}

void prefix_cache::addEvent(std::uint64_t blockHash, std::int32_t tokens, bool stored)
{
    const auto sequence = m_sequence++;
    if (std::uniform_real_distribution<>(0, 1)(m_random) >= m_eventLoss) {
        m_events.push_back({sequence, blockHash, tokens, stored});
    }
}

std::vector<cache_event> prefix_cache::takeEvents()
{
    return std::exchange(m_events, {});
}

prefill_engine::prefill_engine(event_loop &loop, const engine_model &model, std::uint64_t seed)
    : m_loop(loop)
    , m_model(model)
    , m_cache(model.cacheTokens, model.eventLoss, seed)
    , m_evictionDelay(fromMillis(model.evictionMs))
{
}

double prefill_engine::queuedSeconds() const
{
    double tokens = 0;
    for (const auto *queue : {&m_interactive, &m_batch}) {
        for (const auto &job : *queue) {
            tokens += job->remainingTokens;
        }
    }
    return tokens * m_slowness / static_cast<double>(m_model.prefillTokensPerSecond);
}

void prefill_engine::post(prefill_job job)
{
    if (!m_alive) {
        job.onFailed("connect", 0);
        return;
    }
    if (m_refusing || queuedSeconds() > m_model.maxQueueSeconds) {
        job.onFailed("queue_full", 0);
        return;
    }
    auto entry = std::make_shared<running_job>();
    entry->remainingTokens = job.tokens;
    entry->job = std::move(job);
    (entry->job.kind == urgency::Interactive ? m_interactive : m_batch).push_back(entry);
    if (!m_busy) {
        startChunk();
    }
}

void prefill_engine::startChunk()
{
    auto &queue = m_interactive.empty() ? m_batch : m_interactive;
    if (queue.empty()) {
        return;
    }
    const auto job = queue.front();
    if (!job->started) {
        job->started = true;
        job->remainingTokens = std::max(1, job->remainingTokens - m_cache.lookUp(job->job.prefix));
    }
    m_busy = true;
    const auto tokens = std::min(job->remainingTokens, m_model.chunkTokens);
    const double seconds = tokens * m_slowness / static_cast<double>(m_model.prefillTokensPerSecond);
    m_loop.after(fromSeconds(seconds), [this, job, tokens] { finishChunk(job, tokens); });
}

void prefill_engine::finishChunk(const std::shared_ptr<running_job> &job, std::int32_t tokens)
{
    m_busy = false;
    if (!m_alive) {
        return;
    }
    m_computedTokens += tokens;
    job->computed += tokens;
    job->remainingTokens -= tokens;
    if (job->remainingTokens <= 0 || job->cancelled) {
        auto &queue = job->job.kind == urgency::Interactive ? m_interactive : m_batch;
        std::erase(queue, job);
    }
    if (job->remainingTokens <= 0 && !job->cancelled) {
        m_cache.store(job->job.prefix);
        const auto evictedAt = m_loop.now() + m_evictionDelay;
        m_heldResults[job->job.label] = evictedAt;
        job->job.onDone(job->computed);
    }
    if (!m_busy) {
        startChunk();
    }
}

void prefill_engine::cancel(const attempt_label &label)
{
    m_heldResults.erase(label);
    for (auto *queue : {&m_interactive, &m_batch}) {
        for (auto it = queue->begin(); it != queue->end(); ++it) {
            if ((*it)->job.label != label) {
                continue;
            }
            // A chunk that is being computed is finished first.
            (*it)->cancelled = true;
            if (!(*it)->started) {
                queue->erase(it);
            }
            return;
        }
    }
}

bool prefill_engine::takeResult(const attempt_label &label)
{
    const auto found = m_heldResults.find(label);
    if (!m_alive || found == m_heldResults.end()) {
        return false;
    }
    const bool isPresent = m_loop.now() <= found->second;
    m_heldResults.erase(found);
    return isPresent;
}

void prefill_engine::fail()
{
    m_alive = false;
    std::vector<std::shared_ptr<running_job>> jobs{m_interactive.begin(), m_interactive.end()};
    jobs.insert(jobs.end(), m_batch.begin(), m_batch.end());
    m_interactive.clear();
    m_batch.clear();
    m_heldResults.clear();
    for (const auto &job : jobs) {
        if (!job->cancelled) {
            job->job.onFailed("closed", job->computed);
        }
    }
}

load_report prefill_engine::report() const
{
    load_report out;
    out.reachable = m_alive;
    out.role = endpoint_role::Prefill;
    for (const auto *queue : {&m_interactive, &m_batch}) {
        for (const auto &job : *queue) {
            out.running.push_back(job->job.label);
        }
    }
    for (const auto &[label, evictedAt] : m_heldResults) {
        if (m_loop.now() <= evictedAt) {
            out.held.push_back(label);
        }
    }
    out.queued = static_cast<std::int32_t>(out.running.size());
    out.queueTime = fromSeconds(queuedSeconds());
    return out;
}

decode_engine::decode_engine(event_loop &loop, const engine_model &model)
    : m_loop(loop)
    , m_model(model)
{
}

double decode_engine::intervalSeconds() const
{
    return (m_model.intervalBaseMs + m_model.intervalPerRequestMs * m_batch) * m_slowness / 1000;
}

void decode_engine::advanceTokenClock()
{
    m_tokenClock += inSeconds(m_loop.now() - m_clockUpdatedAt) / intervalSeconds();
    m_clockUpdatedAt = m_loop.now();
}

void decode_engine::setSlowness(double factor)
{
    advanceTokenClock();
    m_slowness = factor;
    scheduleNextToken();
}

void decode_engine::post(decode_job job)
{
    if (!m_alive) {
        job.onFailed("connect", 0);
        return;
    }
    const bool full = static_cast<std::int32_t>(m_jobs.size()) >= m_model.slots || m_kvBlocksUsed + job.kvBlocks > m_model.kvBlocks;
    if (m_refusing || full) {
        job.onFailed("memory_full", 0);
        return;
    }
    if (!job.source->takeResult(job.label)) {
        job.onFailed("kv_evicted", 0);
        return;
    }
    const auto label = job.label;
    const double bytes = static_cast<double>(job.promptTokens) * static_cast<double>(m_model.kvBytesPerToken);
    const auto transferStart = std::max({m_loop.now(), job.source->linkFreeAt(), m_linkFreeAt});
    const auto transferEnd = transferStart + fromSeconds(bytes / static_cast<double>(m_model.linkBytesPerSecond));
    m_kvBlocksUsed += job.kvBlocks;
    if (m_stalling) {
        // The engine aborts a stalled transfer after this time.
        constexpr duration stallTimeout = std::chrono::seconds(1);
        m_jobs[label] = {.job = std::move(job)};
        m_loop.after(stallTimeout, [this, label] {
            if (const auto found = m_jobs.find(label); found != m_jobs.end()) {
                const auto failed = found->second.job.onFailed;
                cancel(label);
                failed("transfer_stalled", 0);
            }
        });
        return;
    }
    job.source->linkFreeAt() = transferEnd;
    m_linkFreeAt = transferEnd;
    m_jobs[label] = {.job = std::move(job)};
    m_loop.at(transferEnd, [this, label] { onImported(label); });
}

void decode_engine::onImported(const attempt_label &label)
{
    const auto found = m_jobs.find(label);
    if (found == m_jobs.end()) {
        return;
    }
    advanceTokenClock();
    ++m_batch;
    auto &job = found->second;
    job.importing = false;
    job.firstTokenClock = m_tokenClock + 1;
    job.lastTokenClock = m_tokenClock + job.job.tokens;
    m_tokenEvents.emplace(job.firstTokenClock, label);
    scheduleNextToken();
}

void decode_engine::scheduleNextToken()
{
    ++m_scheduleVersion;
    if (m_tokenEvents.empty()) {
        return;
    }
    const double tokens = std::max(0.0, m_tokenEvents.begin()->first - m_tokenClock);
    // The extra nanosecond ensures that the token clock reaches the event despite rounding.
    const auto delay = fromSeconds(tokens * intervalSeconds()) + std::chrono::nanoseconds(1);
    m_loop.after(delay, [this, scheduleVersion = m_scheduleVersion] {
        if (scheduleVersion == m_scheduleVersion) {
            deliverTokens();
        }
    });
}

void decode_engine::deliverTokens()
{
    constexpr double tolerance = 1e-6;
    advanceTokenClock();
    std::vector<std::function<void()>> callbacks;
    while (!m_tokenEvents.empty() && m_tokenEvents.begin()->first <= m_tokenClock + tolerance) {
        const auto label = m_tokenEvents.begin()->second;
        m_tokenEvents.erase(m_tokenEvents.begin());
        auto &job = m_jobs.at(label);
        if (!job.firstTokenSent) {
            job.firstTokenSent = true;
            callbacks.push_back(job.job.onFirstToken);
            if (job.job.tokens > 1) {
                m_tokenEvents.emplace(job.lastTokenClock, label);
                continue;
            }
        }
        callbacks.push_back(job.job.onDone);
        m_kvBlocksUsed -= job.job.kvBlocks;
        --m_batch;
        m_jobs.erase(label);
    }
    scheduleNextToken();
    for (const auto &callback : callbacks) {
        callback();
    }
}

void decode_engine::cancel(const attempt_label &label)
{
    const auto found = m_jobs.find(label);
    if (found == m_jobs.end()) {
        return;
    }
    advanceTokenClock();
    m_kvBlocksUsed -= found->second.job.kvBlocks;
    if (!found->second.importing) {
        --m_batch;
        std::erase_if(m_tokenEvents, [&](const auto &tokenEvent) { return tokenEvent.second == label; });
    }
    m_jobs.erase(found);
    scheduleNextToken();
}

void decode_engine::fail()
{
    advanceTokenClock();
    m_alive = false;
    auto jobs = std::exchange(m_jobs, {});
    m_tokenEvents.clear();
    m_batch = 0;
    m_kvBlocksUsed = 0;
    scheduleNextToken();
    for (const auto &[label, entry] : jobs) {
        const double generated = entry.importing ? 0 : m_tokenClock - (entry.lastTokenClock - entry.job.tokens);
        entry.job.onFailed("closed", static_cast<std::int32_t>(generated));
    }
}

load_report decode_engine::report() const
{
    load_report out;
    out.reachable = m_alive;
    out.role = endpoint_role::Decode;
    for (const auto &[label, job] : m_jobs) {
        out.running.push_back(label);
    }
    out.kvBlocksTotal = m_model.kvBlocks;
    out.kvBlocksUsed = m_kvBlocksUsed;
    out.slotsTotal = m_model.slots;
    out.slotsUsed = static_cast<std::int32_t>(m_jobs.size());
    return out;
}

} // namespace plantainpoint::bench
