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
    for (const auto piece : prefix) {
        if (!m_places.contains(piece)) {
            break;
        }
        touch(piece);
        hit += tokensPerKvBlock;
    }
    return hit;
}

void prefix_cache::touch(std::uint64_t piece)
{
    m_recent.splice(m_recent.end(), m_recent, m_places.at(piece));
}

void prefix_cache::store(const std::vector<std::uint64_t> &prefix)
{
    std::int32_t length = 0;
    for (const auto piece : prefix) {
        length += tokensPerKvBlock;
        if (m_places.contains(piece)) {
            touch(piece);
            continue;
        }
        m_places[piece] = m_recent.insert(m_recent.end(), piece);
        m_lengths[piece] = length;
        addEvent(piece, length, true);
    }
    while (static_cast<std::int64_t>(m_recent.size()) > m_capacityKvBlocks) {
        const auto oldest = m_recent.front();
        m_recent.pop_front();
        m_places.erase(oldest);
        addEvent(oldest, m_lengths[oldest], false);
        m_lengths.erase(oldest);
    }
}

void prefix_cache::addEvent(std::uint64_t piece, std::int32_t tokens, bool stored)
{
    const auto sequence = m_sequence++;
    if (std::uniform_real_distribution<>(0, 1)(m_random) >= m_eventLoss) {
        m_events.push_back({sequence, piece, tokens, stored});
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
    , m_eviction(fromMillis(model.evictionMs))
{
}

double prefill_engine::queuedSeconds() const
{
    double tokens = 0;
    for (const auto *queue : {&m_interactive, &m_batch}) {
        for (const auto &job : *queue) {
            tokens += job->left;
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
    entry->left = job.tokens;
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
        job->left = std::max(1, job->left - m_cache.lookUp(job->job.prefix));
    }
    m_busy = true;
    const auto tokens = std::min(job->left, m_model.chunkTokens);
    const double seconds = tokens * m_slowness / static_cast<double>(m_model.prefillTokensPerSecond);
    m_loop.after(fromSeconds(seconds), [this, job, tokens] { finishChunk(job, tokens); });
}

void prefill_engine::finishChunk(const std::shared_ptr<running_job> &job, std::int32_t tokens)
{
    m_busy = false;
    if (!m_alive) {
        return;
    }
    m_computed += tokens;
    job->computed += tokens;
    job->left -= tokens;
    if (job->left <= 0 || job->cancelled) {
        auto &queue = job->job.kind == urgency::Interactive ? m_interactive : m_batch;
        std::erase(queue, job);
    }
    if (job->left <= 0 && !job->cancelled) {
        m_cache.store(job->job.prefix);
        const auto evictedAt = m_loop.now() + m_eviction;
        m_held[job->job.label] = evictedAt;
        job->job.onDone(job->computed);
    }
    if (!m_busy) {
        startChunk();
    }
}

void prefill_engine::cancel(const attempt_label &label)
{
    m_held.erase(label);
    for (auto *queue : {&m_interactive, &m_batch}) {
        for (auto at = queue->begin(); at != queue->end(); ++at) {
            if ((*at)->job.label != label) {
                continue;
            }
            // a running chunk is finished first
            (*at)->cancelled = true;
            if (!(*at)->started) {
                queue->erase(at);
            }
            return;
        }
    }
}

bool prefill_engine::take(const attempt_label &label)
{
    const auto found = m_held.find(label);
    if (!m_alive || found == m_held.end()) {
        return false;
    }
    const bool present = m_loop.now() <= found->second;
    m_held.erase(found);
    return present;
}

void prefill_engine::fail()
{
    m_alive = false;
    std::vector<std::shared_ptr<running_job>> jobs{m_interactive.begin(), m_interactive.end()};
    jobs.insert(jobs.end(), m_batch.begin(), m_batch.end());
    m_interactive.clear();
    m_batch.clear();
    m_held.clear();
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
    for (const auto &[label, until] : m_held) {
        if (m_loop.now() <= until) {
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

void decode_engine::advance()
{
    m_tokenClock += inSeconds(m_loop.now() - m_clockAt) / intervalSeconds();
    m_clockAt = m_loop.now();
}

void decode_engine::setSlowness(double factor)
{
    advance();
    m_slowness = factor;
    schedule();
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
    if (!job.source->take(job.label)) {
        job.onFailed("kv_evicted", 0);
        return;
    }
    const auto label = job.label;
    const double bytes = static_cast<double>(job.promptTokens) * static_cast<double>(m_model.kvBytesPerToken);
    const auto begin = std::max({m_loop.now(), job.source->link(), m_link});
    const auto end = begin + fromSeconds(bytes / static_cast<double>(m_model.linkBytesPerSecond));
    m_kvBlocksUsed += job.kvBlocks;
    if (m_stalling) {
        // a stalled transfer is given up by the engine
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
    job.source->link() = end;
    m_link = end;
    m_jobs[label] = {.job = std::move(job)};
    m_loop.at(end, [this, label] { imported(label); });
}

void decode_engine::imported(const attempt_label &label)
{
    const auto found = m_jobs.find(label);
    if (found == m_jobs.end()) {
        return;
    }
    advance();
    ++m_batch;
    auto &job = found->second;
    job.importing = false;
    job.firstAt = m_tokenClock + 1;
    job.finishAt = m_tokenClock + job.job.tokens;
    m_marks.emplace(job.firstAt, label);
    schedule();
}

void decode_engine::schedule()
{
    ++m_version;
    if (m_marks.empty()) {
        return;
    }
    const double tokens = std::max(0.0, m_marks.begin()->first - m_tokenClock);
    // one nanosecond more, so that rounding never leaves the mark ahead
    const auto delay = fromSeconds(tokens * intervalSeconds()) + std::chrono::nanoseconds(1);
    m_loop.after(delay, [this, version = m_version] {
        if (version == m_version) {
            onTokens();
        }
    });
}

void decode_engine::onTokens()
{
    constexpr double rounding = 1e-6;
    advance();
    std::vector<std::function<void()>> calls;
    while (!m_marks.empty() && m_marks.begin()->first <= m_tokenClock + rounding) {
        const auto label = m_marks.begin()->second;
        m_marks.erase(m_marks.begin());
        auto &job = m_jobs.at(label);
        if (!job.first) {
            job.first = true;
            calls.push_back(job.job.onFirstToken);
            if (job.job.tokens > 1) {
                m_marks.emplace(job.finishAt, label);
                continue;
            }
        }
        calls.push_back(job.job.onDone);
        m_kvBlocksUsed -= job.job.kvBlocks;
        --m_batch;
        m_jobs.erase(label);
    }
    schedule();
    for (const auto &call : calls) {
        call();
    }
}

void decode_engine::cancel(const attempt_label &label)
{
    const auto found = m_jobs.find(label);
    if (found == m_jobs.end()) {
        return;
    }
    advance();
    m_kvBlocksUsed -= found->second.job.kvBlocks;
    if (!found->second.importing) {
        --m_batch;
        std::erase_if(m_marks, [&](const auto &mark) { return mark.second == label; });
    }
    m_jobs.erase(found);
    schedule();
}

void decode_engine::fail()
{
    advance();
    m_alive = false;
    auto jobs = std::exchange(m_jobs, {});
    m_marks.clear();
    m_batch = 0;
    m_kvBlocksUsed = 0;
    schedule();
    for (const auto &[label, entry] : jobs) {
        const double generated = entry.importing ? 0 : m_tokenClock - (entry.finishAt - entry.job.tokens);
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
