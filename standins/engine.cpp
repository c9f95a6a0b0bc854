#include "engine.hpp"

#include <algorithm>
#include <charconv>

#include "plantainpoint/config.hpp"
#include "plantainpoint/ids.hpp"

namespace plantainpoint::standin {

namespace {

constexpr milliseconds cancelMemory{60'000}; // how long a cancel of an unknown label is remembered
constexpr milliseconds importTimeout{2'000};
constexpr milliseconds weightTimeout{60'000};
constexpr std::size_t maxQueuedPrefills = 64;
constexpr std::size_t maxEventsKept = 4096;

int kvBlocksFor(std::int64_t tokens)
{
    return static_cast<int>((tokens + tokensPerKvBlock - 1) / tokensPerKvBlock);
}

// events are written by hand: building a JSON value per token would make the stand-in the bottleneck of load tests
void appendTokenEvent(std::string &events, std::string_view prompt, std::int64_t position)
{
    events.append("data: {\"position\":").append(std::to_string(position)).append(",\"text\":\"").append(tokenAt(prompt, position)).append("\"}\n\n");
}

std::string lastEvent(bool cancelled, std::int64_t tokens, bool stopped)
{
    if (cancelled) {
        return "data: {\"error\":\"cancelled\"}\n\n";
    }
    const nlohmann::json body{{"done", true}, {"finish_reason", stopped ? "stop" : "length"}, {"tokens", tokens}};
    return "data: " + body.dump() + "\n\n";
}

} // namespace

std::string tokenAt(std::string_view prompt, std::int64_t position)
{
    static constexpr std::string_view words[]{"stone", "step", "press", "juice", "apple", "lime", "mortar", "yield", "crate", "chisel", "pear", "gate"};
    const auto seed = stableHash(prompt.substr(0, 256), prompt.size());
    const auto word = words[stableHash(std::to_string(position), seed) % std::size(words)];
    return std::string(word) + "-" + std::to_string(position) + " ";
}

std::int64_t answerLength(std::string_view prompt, std::int64_t limit)
{
    static constexpr std::string_view marker = "#tokens=";
    const auto at = prompt.find(marker);
    if (at == std::string_view::npos) {
        return limit;
    }
    std::int64_t wanted = limit;
    const auto *const begin = prompt.data() + at + marker.size();
    std::from_chars(begin, prompt.data() + prompt.size(), wanted);
    return std::clamp<std::int64_t>(wanted, 1, limit);
}

prefix_cache::prefix_cache(std::int64_t capacityTokens, milliseconds eventLag, int gap)
    : m_capacityKvBlocks(capacityTokens / tokensPerKvBlock)
    , m_eventLag(eventLag)
    , m_gap(gap)
{
}

std::int64_t prefix_cache::use(std::string_view prompt)
{
    const auto count = prompt.size() / prefixBytesPerKvBlock;
    std::int64_t hit = 0;
    bool matching = true;
    for (std::size_t k = 1; k <= count; ++k) {
        const auto prefix = stableHash(prompt.substr(0, k * prefixBytesPerKvBlock));
        matching = matching && m_index.contains(prefix);
        hit = matching ? static_cast<std::int64_t>(k) * tokensPerKvBlock : hit;
        store(prefix);
    }
    return hit;
}

void prefix_cache::store(std::uint64_t prefix)
{
    if (const auto found = m_index.find(prefix); found != m_index.end()) {
        m_order.splice(m_order.begin(), m_order, found->second);
        return;
    }
    m_order.push_front(prefix);
    m_index[prefix] = m_order.begin();
    record(prefix, true);
    if (static_cast<std::int64_t>(m_order.size()) > m_capacityKvBlocks) {
        const auto oldest = m_order.back();
        m_order.pop_back();
        m_index.erase(oldest);
        record(oldest, false);
    }
}

void prefix_cache::record(std::uint64_t prefix, bool stored)
{
    const auto sequence = m_sequence++;
    if (m_gap > 0 && sequence % static_cast<std::uint64_t>(m_gap) == static_cast<std::uint64_t>(m_gap) - 1) {
        return;
    }
    nlohmann::json body{{"sequence", sequence}, {"prefix", prefix}, {"tokens", tokensPerKvBlock}, {"kind", stored ? "stored" : "evicted"}};
    m_events.push_back({clock_type::now() + m_eventLag, std::move(body), sequence});
    if (m_events.size() > maxEventsKept) {
        m_events.pop_front();
    }
}

nlohmann::json prefix_cache::events(std::uint64_t from) const
{
    nlohmann::json answer{{"next", from}, {"events", nlohmann::json::array()}};
    const auto now = clock_type::now();
    for (const auto &entry : m_events) {
        if (entry.sequence >= from && entry.visibleAt <= now) {
            answer["events"].push_back(entry.body);
            answer["next"] = entry.sequence + 1;
        }
    }
    return answer;
}

engine::engine(asio::io_context &context, engine_settings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_cache(m_settings.cacheTokens, m_settings.eventLag, m_settings.cacheGap)
    , m_work(context, clock_type::time_point::max())
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

void engine::noteHeaders(const exchange &call)
{
    if (call.request().count(http::field::authorization) != 0) {
        ++m_authorizationSeen;
    }
}

bool engine::wasCancelled(const std::string &label)
{
    const auto found = m_cancelled.find(label);
    return found != m_cancelled.end() && found->second > clock_type::now();
}

asio::awaitable<void> engine::prefill(exchange &call)
{
    noteHeaders(call);
    const auto request = call.json();
    auto job = std::make_shared<prefill_job>();
    job->label = request.value("label", "");
    job->prompt = request.value("prompt", "");
    job->tokens = request.value("prompt_tokens", std::int64_t{1}) + request.value("resume_from", std::int64_t{0});
    job->finished = std::make_shared<asio::steady_timer>(m_context, clock_type::time_point::max());
    if (wasCancelled(job->label)) {
        co_await call.replyError(409, "cancelled");
        co_return;
    }
    if (m_faults.refuse > 0 || m_interactive.size() + m_batch.size() >= maxQueuedPrefills) {
        m_faults.refuse = std::max(m_faults.refuse - 1, 0);
        co_await call.replyError(503, "queue_full");
        co_return;
    }
    auto &queue = request.value("priority", "interactive") == "batch" ? m_batch : m_interactive;
    queue.push_back(job);
    m_work.cancel();
    boost::system::error_code ignored;
    co_await job->finished->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (job->cancelled) {
        co_await call.replyError(409, "cancelled");
        co_return;
    }
    const auto id = "kv-" + std::to_string(m_nextKv++);
    m_held[id] = {job->label, job->tokens, clock_type::now() + m_settings.evictAfter};
    const nlohmann::json body{{"kv_id", id}, {"cached_tokens", job->cached}, {"pieces", kvBlocksFor(job->tokens)}};
    co_await call.reply(200, body);
}

asio::awaitable<void> engine::runPrefills()
{
    for (;;) {
        auto &queue = m_interactive.empty() ? m_batch : m_interactive;
        if (queue.empty()) {
            boost::system::error_code ignored;
            co_await m_work.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        m_current = queue.front();
        queue.pop_front();
        if (!m_current->cancelled) {
            m_current->cached = std::min(m_cache.use(m_current->prompt), m_current->tokens - 1);
            const auto tokens = m_current->tokens - m_current->cached;
            const auto micros = static_cast<double>(tokens) * 1e6 / static_cast<double>(m_settings.prefillTokensPerSecond) * m_faults.slowFactor;
            asio::steady_timer timer(m_context, std::chrono::microseconds(static_cast<std::int64_t>(micros)));
            co_await timer.async_wait(asio::use_awaitable);
            ++m_prefills;
        }
        m_current->done = true;
        m_current->finished->cancel();
        m_current.reset();
    }
}

void engine::dropEvicted()
{
    const auto now = clock_type::now();
    m_evicted += std::erase_if(m_held, [now](const auto &entry) { return entry.second.evictAt <= now; });
    std::erase_if(m_cancelled, [now](const auto &entry) { return entry.second <= now; });
}

asio::awaitable<void> engine::exportKv(exchange &call)
{
    dropEvicted();
    const auto found = m_held.find(call.text("kv_id"));
    if (found == m_held.end()) {
        co_await call.replyError(410, "kv_evicted");
        co_return;
    }
    const auto bytes = found->second.tokens * m_settings.kvBytesPerToken;
    m_held.erase(found);
    const auto time = std::chrono::microseconds(bytes * 1'000'000 / m_settings.linkBytesPerSecond);
    m_linkFreeAt = std::max({m_linkFreeAt, clock_type::now(), m_faults.stallUntil}) + time;
    asio::steady_timer timer(m_context, m_linkFreeAt);
    co_await timer.async_wait(asio::use_awaitable);
    const nlohmann::json body{{"bytes", bytes}};
    co_await call.reply(200, body);
}

int engine::kvBlocksUsed() const
{
    int used = 0;
    for (const auto &[label, run] : m_running) {
        used += run->kvBlocks;
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
    const auto answer = co_await fetch(source, http::verb::get, target, noBody, importTimeout);
    std::string refusal;
    if (!answer) {
        refusal = "transfer_stalled";
    } else if (answer->result_int() != 200) {
        refusal = "kv_evicted";
    }
    co_return refusal;
}

asio::awaitable<void> engine::decode(exchange &call)
{
    noteHeaders(call);
    const auto request = call.json();
    const auto label = request.value("label", "");
    if (wasCancelled(label) || m_running.contains(label)) {
        co_await call.replyError(409, "cancelled");
        co_return;
    }
    auto run = std::make_shared<running_stream>();
    run->kvBlocks = kvBlocksFor(request.value("prompt_tokens", std::int64_t{0}) + request.value("max_tokens", std::int64_t{0}));
    const bool full = static_cast<int>(m_running.size()) >= m_settings.slots || kvBlocksUsed() + run->kvBlocks > m_settings.kvBlocks;
    if (full || m_faults.refuse > 0) {
        m_faults.refuse = std::max(m_faults.refuse - 1, 0);
        co_await call.replyError(503, "memory_full");
        co_return;
    }
    m_running[label] = run;
    const auto refusal = co_await importKv(request);
    if (!refusal.empty() || run->cancelled) {
        m_running.erase(label);
        const std::string code = run->cancelled ? "cancelled" : refusal;
        co_await call.replyError(code == "cancelled" ? 409 : code == "kv_evicted" ? 410 : 504, code);
        co_return;
    }
    ++m_decodes;
    co_await stream(call, request, run);
    m_running.erase(label);
}

std::chrono::microseconds engine::interval() const
{
    const auto others = static_cast<std::int64_t>(m_running.size()) - 1;
    const auto base = m_settings.tokenInterval + m_settings.intervalPerRequest * std::max<std::int64_t>(others, 0);
    return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(base.count()) * m_faults.slowFactor));
}

// a reader that is gone does not end the work: only a cancel frees the memory early
asio::awaitable<void> engine::stream(exchange &call, const nlohmann::json &request, std::shared_ptr<running_stream> run)
{
    const auto prompt = request.value("prompt", "");
    const auto limit = request.value("max_tokens", std::int64_t{16});
    const auto length = answerLength(prompt, limit);
    co_await call.beginEvents();
    asio::steady_timer timer(m_context);
    timer.expires_after(interval());
    std::string events;
    int pending = 0;
    for (auto position = request.value("resume_from", std::int64_t{0}); position < length && !run->cancelled; ++position) {
        appendTokenEvent(events, prompt, position);
        ++m_tokens;
        if (++pending < m_settings.tokensPerWrite && position + 1 < length) {
            continue;
        }
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        timer.expires_at(timer.expiry() + interval() * pending);
        std::string written;
        written.swap(events);
        co_await call.sendEvents(std::move(written));
        pending = 0;
    }
    std::string last = lastEvent(run->cancelled, length, length < limit);
    co_await call.sendEvents(std::move(last));
    co_await call.endEvents();
}

asio::awaitable<void> engine::cancel(exchange &call)
{
    const auto label = call.json().value("label", "");
    m_cancelled[label] = clock_type::now() + cancelMemory;
    if (const auto found = m_running.find(label); found != m_running.end()) {
        found->second->cancelled = true;
    }
    for (auto *queue : {&m_interactive, &m_batch}) {
        for (auto &job : *queue) {
            job->cancelled = job->cancelled || job->label == label;
        }
    }
    if (m_current && m_current->label == label) {
        m_current->cancelled = true;
    }
    std::erase_if(m_held, [&](const auto &entry) { return entry.second.label == label; });
    co_await call.reply(200, nlohmann::json::object());
}

nlohmann::json engine::report() const
{
    nlohmann::json running = nlohmann::json::array();
    for (const auto &[label, run] : m_running) {
        running.push_back(label);
    }
    std::int64_t queuedTokens = 0;
    for (const auto *queue : {&m_interactive, &m_batch}) {
        for (const auto &job : *queue) {
            running.push_back(job->label);
            queuedTokens += job->tokens;
        }
    }
    if (m_current) {
        running.push_back(m_current->label);
    }
    nlohmann::json held = nlohmann::json::array();
    for (const auto &[id, result] : m_held) {
        held.push_back(result.label);
    }
    return {{"role", m_settings.role},
            {"models", nlohmann::json::array({m_settings.model})},
            {"running", running},
            {"held", held},
            {"queued", m_interactive.size() + m_batch.size()},
            {"queue_ms", queuedTokens * 1000 / m_settings.prefillTokensPerSecond},
            {"pieces_total", m_settings.kvBlocks},
            {"pieces_used", kvBlocksUsed()},
            {"slots_total", m_settings.slots},
            {"slots_used", m_running.size()},
            {"cache_sequence", m_cache.sequence()}};
}

asio::awaitable<void> engine::publishReports()
{
    for (;;) {
        dropEvicted();
        if (!m_faults.reportsFrozen || m_report.empty()) {
            m_report = report();
            m_reportAt = clock_type::now();
        }
        co_await pause(m_settings.reportLag);
    }
}

asio::awaitable<void> engine::load(exchange &call)
{
    auto answer = m_report;
    answer["report_age_ms"] = std::chrono::duration_cast<milliseconds>(clock_type::now() - m_reportAt).count();
    co_await call.reply(200, answer);
}

asio::awaitable<void> engine::cacheEvents(exchange &call)
{
    co_await call.reply(200, m_cache.events(static_cast<std::uint64_t>(std::max<std::int64_t>(call.number("from", 0), 0))));
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
    const auto request = call.json();
    const auto fencing = request.value("fencing", std::uint64_t{0});
    if (m_settings.checksFencing && fencing < m_fencing) {
        co_await call.replyError(409, "stale_fencing");
        co_return;
    }
    m_fencing = fencing;
    ++m_ordersTaken;
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
                              {"fencing", m_fencing},
                              {"loading", m_loading}};
    co_await call.reply(200, body);
}

asio::awaitable<void> engine::fault(exchange &call)
{
    const auto wanted = call.json();
    if (wanted.contains("stall_ms")) {
        m_faults.stallUntil = clock_type::now() + milliseconds(wanted.value("stall_ms", 0));
    }
    m_faults.refuse = wanted.value("refuse", m_faults.refuse);
    m_faults.slowFactor = wanted.value("slow_factor", m_faults.slowFactor);
    m_faults.reportsFrozen = wanted.value("freeze_reports", m_faults.reportsFrozen);
    co_await call.reply(200, nlohmann::json::object());
}

asio::awaitable<void> engine::counters(exchange &call)
{
    const nlohmann::json body{{"prefills", m_prefills},
                              {"decodes", m_decodes},
                              {"tokens", m_tokens},
                              {"evicted", m_evicted},
                              {"running", m_running.size()},
                              {"held", m_held.size()},
                              {"pieces_used", kvBlocksUsed()},
                              {"orders", m_ordersTaken},
                              {"authorization_seen", m_authorizationSeen}};
    co_await call.reply(200, body);
}

} // namespace plantainpoint::standin
