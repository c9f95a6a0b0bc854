// Request handlers and state of the model engine stand-in.
#include "engine.hpp"

#include <algorithm>
#include <charconv>

#include "plantainpoint/config.hpp"
#include "plantainpoint/ids.hpp"

namespace plantainpoint::standin {

namespace {

constexpr milliseconds cancelRetention{60'000}; // How long a cancel is remembered, so that it also applies to a request that arrives later.
constexpr milliseconds importTimeout{2'000};
constexpr milliseconds weightTimeout{60'000};
constexpr std::size_t maxQueuedPrefills = 64;
constexpr std::size_t maxEventsKept = 4096;

int kvBlocksFor(std::int64_t tokens)
{
    return static_cast<int>((tokens + tokensPerKvBlock - 1) / tokensPerKvBlock);
}

// Appends a token event. The JSON text is built directly because a JSON value per token would make the stand-in the bottleneck of load tests.
void appendTokenEvent(std::string &events, std::string_view prompt, std::int64_t position)
{
    events.append("data: {\"position\":").append(std::to_string(position)).append(",\"text\":\"").append(completionToken(prompt, position)).append("\"}\n\n");
}

std::string finalEvent(bool cancelled, std::int64_t tokens, bool stopped)
{
    if (cancelled) {
        return "data: {\"error\":\"cancelled\"}\n\n";
    }
    const nlohmann::json body{{"done", true}, {"finish_reason", stopped ? "stop" : "length"}, {"tokens", tokens}};
    return "data: " + body.dump() + "\n\n";
}

} // namespace

std::string completionToken(std::string_view prompt, std::int64_t position)
{
    static constexpr std::string_view words[]{"stone", "step", "press", "juice", "apple", "lime", "mortar", "yield", "crate", "chisel", "pear", "gate"};
    const auto seed = stableHash(prompt.substr(0, 256), prompt.size());
    const auto word = words[stableHash(std::to_string(position), seed) % std::size(words)];
    return std::string(word) + "-" + std::to_string(position) + " ";
}

std::int64_t completionLength(std::string_view prompt, std::int64_t limit)
{
    static constexpr std::string_view marker = "#tokens=";
    const auto markerStart = prompt.find(marker);
    if (markerStart == std::string_view::npos) {
        return limit;
    }
    std::int64_t length = limit;
    const auto *const begin = prompt.data() + markerStart + marker.size();
    std::from_chars(begin, prompt.data() + prompt.size(), length);
    return std::clamp<std::int64_t>(length, 1, limit);
}

prefix_cache::prefix_cache(std::int64_t capacityTokens, milliseconds eventLag, int lossInterval)
    : m_capacityKvBlocks(capacityTokens / tokensPerKvBlock)
    , m_eventLag(eventLag)
    , m_lossInterval(lossInterval)
{
}

std::int64_t prefix_cache::matchAndStore(std::string_view prompt)
{
    const auto promptKvBlocks = prompt.size() / prefixBytesPerKvBlock;
    std::int64_t matchedTokens = 0;
    bool matching = true;
    for (std::size_t prefixKvBlocks = 1; prefixKvBlocks <= promptKvBlocks; ++prefixKvBlocks) {
        const auto prefix = stableHash(prompt.substr(0, prefixKvBlocks * prefixBytesPerKvBlock));
        matching = matching && m_index.contains(prefix);
        matchedTokens = matching ? static_cast<std::int64_t>(prefixKvBlocks) * tokensPerKvBlock : matchedTokens;
        store(prefix);
    }
    return matchedTokens;
}

void prefix_cache::store(std::uint64_t prefix)
{
    if (const auto it = m_index.find(prefix); it != m_index.end()) {
        m_recencyList.splice(m_recencyList.begin(), m_recencyList, it->second);
        return;
    }
    m_recencyList.push_front(prefix);
    m_index[prefix] = m_recencyList.begin();
    recordEvent(prefix, true);
    if (static_cast<std::int64_t>(m_recencyList.size()) > m_capacityKvBlocks) {
        const auto oldest = m_recencyList.back();
        m_recencyList.pop_back();
        m_index.erase(oldest);
        recordEvent(oldest, false);
    }
}

void prefix_cache::recordEvent(std::uint64_t prefix, bool stored)
{
    const auto sequence = m_sequence++;
    if (m_lossInterval > 0 && sequence % static_cast<std::uint64_t>(m_lossInterval) == static_cast<std::uint64_t>(m_lossInterval) - 1) {
        return;
    }
    nlohmann::json body{{"sequence", sequence}, {"prefix", prefix}, {"tokens", tokensPerKvBlock}, {"kind", stored ? "stored" : "evicted"}};
    m_events.push_back({clock_type::now() + m_eventLag, std::move(body), sequence});
    if (m_events.size() > maxEventsKept) {
        m_events.pop_front();
    }
}

nlohmann::json prefix_cache::events(std::uint64_t firstSequence) const
{
    nlohmann::json response{{"next", firstSequence}, {"events", nlohmann::json::array()}};
    const auto now = clock_type::now();
    for (const auto &entry : m_events) {
        if (entry.sequence >= firstSequence && entry.visibleAt <= now) {
            response["events"].push_back(entry.body);
            response["next"] = entry.sequence + 1;
        }
    }
    return response;
}

engine::engine(asio::io_context &context, engine_settings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_cache(m_settings.cacheTokens, m_settings.eventLag, m_settings.eventLossInterval)
    , m_prefillArrival(context, clock_type::time_point::max())
{
}

void engine::addRoutes(http_service &service)
{
    service.route("POST", "/v1/prefill", [this](exchange &call) { return prefill(call); });
    service.route("POST", "/v1/decode", [this](exchange &call) { return decode(call); });
    service.route("GET", "/v1/export", [this](exchange &call) { return exportKv(call); });
    service.route("POST", "/v1/cancel", [this](exchange &call) { return cancel(call); });
    service.route("GET", "/v1/load", [this](exchange &call) { return load(call); });
    service.route("GET", "/v1/cache_events", [this](exchange &call) { return cacheEvents(call); });
    service.route("POST", "/v1/order", [this](exchange &call) { return order(call); });
    service.route("GET", "/v1/state", [this](exchange &call) { return state(call); });
    service.route("POST", "/v1/fault", [this](exchange &call) { return fault(call); });
    service.route("GET", "/v1/counters", [this](exchange &call) { return counters(call); });
}

void engine::start()
{
    asio::co_spawn(m_context, runPrefills(), asio::detached);
    asio::co_spawn(m_context, publishReports(), asio::detached);
}

void engine::countAuthorizationHeader(const exchange &call)
{
    if (call.request().count(http::field::authorization) != 0) {
        ++m_authorizationHeaders;
    }
}

bool engine::wasCancelled(const std::string &label)
{
    const auto it = m_cancelledLabels.find(label);
    return it != m_cancelledLabels.end() && it->second > clock_type::now();
}

asio::awaitable<void> engine::prefill(exchange &call)
{
    countAuthorizationHeader(call);
    const auto request = call.jsonBody();
    auto job = std::make_shared<prefill_job>();
    job->label = request.value("label", "");
    job->prompt = request.value("prompt", "");
    job->tokens = request.value("prompt_tokens", std::int64_t{1}) + request.value("resume_from", std::int64_t{0});
    job->finished = std::make_shared<asio::steady_timer>(m_context, clock_type::time_point::max());
    if (wasCancelled(job->label)) {
        co_await call.replyError(409, "cancelled");
        co_return;
    }
    if (m_faults.startsToRefuse > 0 || m_interactiveQueue.size() + m_batchQueue.size() >= maxQueuedPrefills) {
        m_faults.startsToRefuse = std::max(m_faults.startsToRefuse - 1, 0);
        co_await call.replyError(503, "queue_full");
        co_return;
    }
    auto &queue = request.value("priority", "interactive") == "batch" ? m_batchQueue : m_interactiveQueue;
    queue.push_back(job);
    m_prefillArrival.cancel();
    boost::system::error_code ignored;
    co_await job->finished->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (job->cancelled) {
        co_await call.replyError(409, "cancelled");
        co_return;
    }
    const auto id = "kv-" + std::to_string(m_nextKvId++);
    m_heldResults[id] = {job->label, job->tokens, clock_type::now() + m_settings.evictAfter};
    const nlohmann::json body{{"kv_id", id}, {"cached_tokens", job->cachedTokens}, {"pieces", kvBlocksFor(job->tokens)}};
    co_await call.reply(200, body);
}

asio::awaitable<void> engine::runPrefills()
{
    for (;;) {
        auto &queue = m_interactiveQueue.empty() ? m_batchQueue : m_interactiveQueue;
        if (queue.empty()) {
            boost::system::error_code ignored;
            co_await m_prefillArrival.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        m_currentPrefill = queue.front();
        queue.pop_front();
        if (!m_currentPrefill->cancelled) {
            m_currentPrefill->cachedTokens = std::min(m_cache.matchAndStore(m_currentPrefill->prompt), m_currentPrefill->tokens - 1);
            const auto tokens = m_currentPrefill->tokens - m_currentPrefill->cachedTokens;
            const auto durationMicroseconds = static_cast<double>(tokens) * 1e6 / static_cast<double>(m_settings.prefillTokensPerSecond) * m_faults.slowFactor;
            asio::steady_timer timer(m_context, std::chrono::microseconds(static_cast<std::int64_t>(durationMicroseconds)));
            co_await timer.async_wait(asio::use_awaitable);
            ++m_prefills;
        }
        m_currentPrefill->done = true;
        m_currentPrefill->finished->cancel();
        m_currentPrefill.reset();
    }
}

void engine::removeExpired()
{
    const auto now = clock_type::now();
    m_evicted += std::erase_if(m_heldResults, [now](const auto &entry) { return entry.second.evictAt <= now; });
    std::erase_if(m_cancelledLabels, [now](const auto &entry) { return entry.second <= now; });
}

asio::awaitable<void> engine::exportKv(exchange &call)
{
    removeExpired();
    const auto it = m_heldResults.find(call.queryText("kv_id"));
    if (it == m_heldResults.end()) {
        co_await call.replyError(410, "kv_evicted");
        co_return;
    }
    const auto bytes = it->second.tokens * m_settings.kvBytesPerToken;
    m_heldResults.erase(it);
    const auto transferTime = std::chrono::microseconds(bytes * 1'000'000 / m_settings.linkBytesPerSecond);
    m_linkFreeAt = std::max({m_linkFreeAt, clock_type::now(), m_faults.stallUntil}) + transferTime;
    asio::steady_timer timer(m_context, m_linkFreeAt);
    co_await timer.async_wait(asio::use_awaitable);
    const nlohmann::json body{{"bytes", bytes}};
    co_await call.reply(200, body);
}

int engine::kvBlocksUsed() const
{
    int used = 0;
    for (const auto &[label, decodeStream] : m_decodeStreams) {
        used += decodeStream->kvBlocks;
    }
    return used;
}

asio::awaitable<std::string> engine::importKv(const nlohmann::json &request)
{
    const auto source = request.value("kv_source", "");
    if (source.empty()) {
        std::string refusal = "kv_evicted";
        co_return refusal;
    }
    const std::string target = "/v1/export?kv_id=" + request.value("kv_id", "");
    const std::string noBody;
    const auto response = co_await fetch(source, http::verb::get, target, noBody, importTimeout);
    std::string refusal;
    if (!response) {
        refusal = "transfer_stalled";
    } else if (response->result_int() != 200) {
        refusal = "kv_evicted";
    }
    co_return refusal;
}

asio::awaitable<void> engine::decode(exchange &call)
{
    countAuthorizationHeader(call);
    const auto request = call.jsonBody();
    const auto label = request.value("label", "");
    if (wasCancelled(label) || m_decodeStreams.contains(label)) {
        co_await call.replyError(409, "cancelled");
        co_return;
    }
    auto decodeStream = std::make_shared<decode_stream>();
    decodeStream->kvBlocks = kvBlocksFor(request.value("prompt_tokens", std::int64_t{0}) + request.value("max_tokens", std::int64_t{0}));
    const bool memoryFull = static_cast<int>(m_decodeStreams.size()) >= m_settings.slots || kvBlocksUsed() + decodeStream->kvBlocks > m_settings.kvBlocks;
    if (memoryFull || m_faults.startsToRefuse > 0) {
        m_faults.startsToRefuse = std::max(m_faults.startsToRefuse - 1, 0);
        co_await call.replyError(503, "memory_full");
        co_return;
    }
    m_decodeStreams[label] = decodeStream;
    const auto refusal = co_await importKv(request);
    if (!refusal.empty() || decodeStream->cancelled) {
        m_decodeStreams.erase(label);
        const std::string code = decodeStream->cancelled ? "cancelled" : refusal;
        co_await call.replyError(code == "cancelled" ? 409 : code == "kv_evicted" ? 410 : 504, code);
        co_return;
    }
    ++m_decodes;
    co_await streamTokens(call, request, decodeStream);
    m_decodeStreams.erase(label);
}

std::chrono::microseconds engine::currentTokenInterval() const
{
    const auto otherStreams = static_cast<std::int64_t>(m_decodeStreams.size()) - 1;
    const auto baseInterval = m_settings.tokenInterval + m_settings.intervalPerRequest * std::max<std::int64_t>(otherStreams, 0);
    return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(baseInterval.count()) * m_faults.slowFactor));
}

// Streams the tokens of a decode. A client that disconnects does not end the decode. Only a cancel frees the memory early.
asio::awaitable<void> engine::streamTokens(exchange &call, const nlohmann::json &request, std::shared_ptr<decode_stream> decodeStream)
{
    const auto prompt = request.value("prompt", "");
    const auto limit = request.value("max_tokens", std::int64_t{16});
    const auto length = completionLength(prompt, limit);
    co_await call.beginEvents();
    asio::steady_timer timer(m_context);
    timer.expires_after(currentTokenInterval());
    std::string events;
    int pendingTokens = 0;
    for (auto position = request.value("resume_from", std::int64_t{0}); position < length && !decodeStream->cancelled; ++position) {
        appendTokenEvent(events, prompt, position);
        ++m_tokens;
        if (++pendingTokens < m_settings.tokensPerWrite && position + 1 < length) {
            continue;
        }
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        timer.expires_at(timer.expiry() + currentTokenInterval() * pendingTokens);
        std::string batch;
        batch.swap(events);
        co_await call.sendEvents(std::move(batch));
        pendingTokens = 0;
    }
    std::string finalEvents = finalEvent(decodeStream->cancelled, length, length < limit);
    co_await call.sendEvents(std::move(finalEvents));
    co_await call.endEvents();
}

asio::awaitable<void> engine::cancel(exchange &call)
{
    const auto label = call.jsonBody().value("label", "");
    m_cancelledLabels[label] = clock_type::now() + cancelRetention;
    if (const auto it = m_decodeStreams.find(label); it != m_decodeStreams.end()) {
        it->second->cancelled = true;
    }
    for (auto *queue : {&m_interactiveQueue, &m_batchQueue}) {
        for (auto &job : *queue) {
            job->cancelled = job->cancelled || job->label == label;
        }
    }
    if (m_currentPrefill && m_currentPrefill->label == label) {
        m_currentPrefill->cancelled = true;
    }
    std::erase_if(m_heldResults, [&](const auto &entry) { return entry.second.label == label; });
    co_await call.reply(200, nlohmann::json::object());
}

nlohmann::json engine::makeLoadReport() const
{
    nlohmann::json running = nlohmann::json::array();
    for (const auto &[label, decodeStream] : m_decodeStreams) {
        running.push_back(label);
    }
    std::int64_t queuedTokens = 0;
    for (const auto *queue : {&m_interactiveQueue, &m_batchQueue}) {
        for (const auto &job : *queue) {
            running.push_back(job->label);
            queuedTokens += job->tokens;
        }
    }
    if (m_currentPrefill) {
        running.push_back(m_currentPrefill->label);
    }
    nlohmann::json held = nlohmann::json::array();
    for (const auto &[id, result] : m_heldResults) {
        held.push_back(result.label);
    }
    return {{"role", m_settings.role},
            {"models", nlohmann::json::array({m_settings.model})},
            {"running", running},
            {"held", held},
            {"queued", m_interactiveQueue.size() + m_batchQueue.size()},
            {"queue_ms", queuedTokens * 1000 / m_settings.prefillTokensPerSecond},
            {"pieces_total", m_settings.kvBlocks},
            {"pieces_used", kvBlocksUsed()},
            {"slots_total", m_settings.slots},
            {"slots_used", m_decodeStreams.size()},
            {"cache_sequence", m_cache.sequence()}};
}

asio::awaitable<void> engine::publishReports()
{
    for (;;) {
        removeExpired();
        if (!m_faults.reportsFrozen || m_loadReport.empty()) {
            m_loadReport = makeLoadReport();
            m_loadReportTime = clock_type::now();
        }
        co_await sleepFor(m_settings.reportLag);
    }
}

asio::awaitable<void> engine::load(exchange &call)
{
    auto response = m_loadReport;
    response["report_age_ms"] = std::chrono::duration_cast<milliseconds>(clock_type::now() - m_loadReportTime).count();
    co_await call.reply(200, response);
}

asio::awaitable<void> engine::cacheEvents(exchange &call)
{
    co_await call.reply(200, m_cache.events(static_cast<std::uint64_t>(std::max<std::int64_t>(call.queryNumber("from", 0), 0))));
}

asio::awaitable<void> engine::loadWeights(std::string model, std::string adapter, std::string version, std::string role)
{
    m_loading = true;
    if (!m_settings.weightStore.empty()) {
        const std::string target = "/v1/weights/" + model + "/" + version;
        const std::string noBody;
        co_await fetch(m_settings.weightStore, http::verb::get, target, noBody, weightTimeout);
    }
    m_settings.model = std::move(model);
    m_settings.version = std::move(version);
    m_settings.role = std::move(role);
    m_adapter = std::move(adapter);
    m_loading = false;
}

asio::awaitable<void> engine::order(exchange &call)
{
    const auto request = call.jsonBody();
    const auto fencingToken = request.value("fencing", std::uint64_t{0});
    if (m_settings.checksFencing && fencingToken < m_fencingToken) {
        co_await call.replyError(409, "stale_fencing");
        co_return;
    }
    m_fencingToken = fencingToken;
    ++m_ordersAccepted;
    asio::co_spawn(m_context,
                   loadWeights(request.value("model", m_settings.model),
                               request.value("adapter", ""),
                               request.value("version", m_settings.version),
                               request.value("role", m_settings.role)),
                   asio::detached);
    co_await call.reply(202, nlohmann::json::object());
}

asio::awaitable<void> engine::state(exchange &call)
{
    const nlohmann::json body{{"model", m_settings.model},
                              {"adapter", m_adapter},
                              {"version", m_settings.version},
                              {"role", m_settings.role},
                              {"fencing", m_fencingToken},
                              {"loading", m_loading}};
    co_await call.reply(200, body);
}

asio::awaitable<void> engine::fault(exchange &call)
{
    const auto request = call.jsonBody();
    if (request.contains("stall_ms")) {
        m_faults.stallUntil = clock_type::now() + milliseconds(request.value("stall_ms", 0));
    }
    m_faults.startsToRefuse = request.value("refuse", m_faults.startsToRefuse);
    m_faults.slowFactor = request.value("slow_factor", m_faults.slowFactor);
    m_faults.reportsFrozen = request.value("freeze_reports", m_faults.reportsFrozen);
    co_await call.reply(200, nlohmann::json::object());
}

asio::awaitable<void> engine::counters(exchange &call)
{
    const nlohmann::json body{{"prefills", m_prefills},
                              {"decodes", m_decodes},
                              {"tokens", m_tokens},
                              {"evicted", m_evicted},
                              {"running", m_decodeStreams.size()},
                              {"held", m_heldResults.size()},
                              {"pieces_used", kvBlocksUsed()},
                              {"orders", m_ordersAccepted},
                              {"authorization_seen", m_authorizationHeaders}};
    co_await call.reply(200, body);
}

} // namespace plantainpoint::standin
