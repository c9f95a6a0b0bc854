#include "simulation.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace plantainpoint::bench {

namespace {

constexpr std::uint32_t maxAttempts = 4;
constexpr duration decodeRetryDelay = std::chrono::milliseconds(100);
constexpr int maxDecodeTries = 8; // All tries fall within the time to eviction.

enum class stage : std::uint8_t {
    AwaitingDecision,
    Prefilling,
    Prefilled,
    Importing,
    Decoding,
    Ended,
};

struct live_request {
    stage current = stage::Ended;
    std::uint32_t attempt = 0;
    std::int32_t prefill = -1;
    std::int32_t decode = -1;
    std::int32_t computed = 0; // Prefill tokens of this attempt.
    std::int32_t delivered = 0; // Tokens of earlier attempts.
    int decodeTries = 0;
    time_point firstTokenAt{};
    std::vector<std::string> avoid;
};

class simulation final : public router_host
{
public:
    simulation(const scenario &setting, std::vector<request> requests, std::uint64_t seed)
        : m_setting(setting)
        , m_networkDelay(fromMillis(setting.sizes.networkMs))
        , m_requests(std::move(requests))
        , m_liveRequests(m_requests.size())
        , m_results(m_requests.size())
        , m_vmAlive(static_cast<std::size_t>(setting.sizes.vms), true)
        , m_prefillReports(static_cast<std::size_t>(setting.sizes.prefillWorkers))
        , m_decodeReports(static_cast<std::size_t>(setting.sizes.decodeWorkers))
    {
        for (std::int32_t i = 0; i < setting.sizes.prefillWorkers; ++i) {
            m_prefills.push_back(std::make_unique<prefill_engine>(m_loop, m_setting.engine, seed * 100 + static_cast<std::uint64_t>(i)));
        }
        for (std::int32_t i = 0; i < setting.sizes.decodeWorkers; ++i) {
            m_decodes.push_back(std::make_unique<decode_engine>(m_loop, m_setting.engine));
        }
    }

    event_loop &loop() override { return m_loop; }
    const scenario &setting() const override { return m_setting; }
    const request &requestAt(std::size_t index) const override { return m_requests[index]; }
    bool vmAlive(std::int32_t vm) const override { return m_vmAlive[static_cast<std::size_t>(vm)]; }
    std::vector<open_attempt> openAttempts(std::int32_t vm) const override;
    void decide(const routing_decision &value) override;

    run_result run(std::unique_ptr<router> testedRouter);

private:
    time_point timeAt(double seconds) const { return time_point{} + fromSeconds(seconds); }
    double nowSeconds() const { return inSeconds(m_loop.now().time_since_epoch()); }
    bool isCurrent(std::size_t index, std::uint32_t attempt) const
    {
        return m_liveRequests[index].current != stage::Ended && m_liveRequests[index].attempt == attempt;
    }
    attempt_label labelFor(std::size_t index) const { return {labelOf(m_requests[index], index), m_liveRequests[index].attempt}; }
    placement_attempt currentAttempt(std::size_t index) const;

    void scheduleArrival(std::size_t index);
    void arrive(std::size_t index);
    void endRequest(std::size_t index, request_outcome outcome);
    void abandon(std::size_t index, request_outcome outcome);
    void fail(std::size_t index, std::uint32_t attempt, const std::string &endpoint);
    void postPrefill(std::size_t index, std::uint32_t attempt);
    void onPrefilled(std::size_t index, std::uint32_t attempt, std::int32_t computed);
    void chooseDecode(std::size_t index, std::uint32_t attempt);
    void postDecode(std::size_t index, std::uint32_t attempt);
    void onDecodeFailed(std::size_t index, std::uint32_t attempt, const std::string &code, std::int32_t generated);
    void onFirstToken(std::size_t index, std::uint32_t attempt);
    void onFinished(std::size_t index, std::uint32_t attempt);
    void cancelAtEngines(std::size_t index);

    void scheduleReports();
    void readReport(bool prefill, std::size_t index);
    void scheduleFaults();
    void applyFault(const fault &entry, bool begins);
    void failVm(std::int32_t vm);

    const scenario m_setting;
    const duration m_networkDelay;
    event_loop m_loop;
    std::vector<request> m_requests;
    std::vector<live_request> m_liveRequests;
    std::vector<request_result> m_results;
    std::vector<bool> m_vmAlive;
    std::vector<std::unique_ptr<prefill_engine>> m_prefills;
    std::vector<std::unique_ptr<decode_engine>> m_decodes;
    std::unique_ptr<router> m_router;
    std::vector<load_report> m_prefillReports;
    std::vector<load_report> m_decodeReports;
    bool m_reportsFrozen = false;
};

placement_attempt simulation::currentAttempt(std::size_t index) const
{
    const auto &request = m_requests[index];
    const double timeToDeadline = request.kind == urgency::Batch ? m_setting.workload.batchTimeoutSeconds : m_setting.workload.interactiveTimeoutSeconds;
    const double waited = nowSeconds() - request.arrival;
    return {index,
            m_liveRequests[index].attempt,
            request.vm,
            waited,
            std::max(0.0, timeToDeadline - waited),
            m_liveRequests[index].delivered,
            m_liveRequests[index].avoid};
}

// Schedules one arrival at a time, which keeps the event queue short.
void simulation::scheduleArrival(std::size_t index)
{
    if (index >= m_requests.size()) {
        return;
    }
    m_loop.at(timeAt(m_requests[index].arrival), [this, index] {
        arrive(index);
        scheduleArrival(index + 1);
    });
}

void simulation::arrive(std::size_t index)
{
    const auto &request = m_requests[index];
    if (!vmAlive(request.vm)) {
        // The load balancer sends the request to another VM.
        m_requests[index].vm = (request.vm + 1) % m_setting.sizes.vms;
    }
    m_liveRequests[index].current = stage::AwaitingDecision;
    if (request.cancelAfter >= 0) {
        m_loop.after(fromSeconds(request.cancelAfter), [this, index] { abandon(index, request_outcome::Cancelled); });
    }
    const auto firstAttempt = currentAttempt(index);
    m_loop.after(fromSeconds(firstAttempt.timeToDeadline), [this, index] {
        if (m_results[index].firstToken < 0) {
            abandon(index, request_outcome::GivenUp);
        }
    });
    m_results[index].attempts = 1;
    m_router->place(firstAttempt);
}

void simulation::endRequest(std::size_t index, request_outcome outcome)
{
    m_liveRequests[index].current = stage::Ended;
    m_results[index].outcome = outcome;
    m_results[index].endedAt = nowSeconds();
}

void simulation::cancelAtEngines(std::size_t index)
{
    const auto &live = m_liveRequests[index];
    const auto label = labelFor(index);
    m_loop.after(m_networkDelay, [this, label, prefill = live.prefill, decode = live.decode] {
        if (prefill >= 0) {
            m_prefills[static_cast<std::size_t>(prefill)]->cancel(label);
        }
        if (decode >= 0) {
            m_decodes[static_cast<std::size_t>(decode)]->cancel(label);
        }
    });
}

void simulation::abandon(std::size_t index, request_outcome outcome)
{
    if (m_liveRequests[index].current == stage::Ended || !vmAlive(m_requests[index].vm)) {
        return;
    }
    cancelAtEngines(index);
    if (outcome != request_outcome::Cancelled && m_liveRequests[index].current != stage::Decoding) {
        m_results[index].wastedPrefill += m_liveRequests[index].computed;
    }
    m_router->done(currentAttempt(index), 0, "");
    endRequest(index, outcome);
}

void simulation::decide(const routing_decision &value)
{
    const auto index = value.request;
    if (!vmAlive(m_requests[index].vm)) {
        return;
    }
    m_router->decisionReceived(index, value.attempt);
    if (!isCurrent(index, value.attempt) || m_liveRequests[index].current != stage::AwaitingDecision) {
        return;
    }
    if (!value.prefill) {
        endRequest(index, request_outcome::Refused);
        return;
    }
    auto &live = m_liveRequests[index];
    live.current = stage::Prefilling;
    live.prefill = *value.prefill;
    live.decode = value.decode.value_or(-1);
    live.computed = 0;
    live.decodeTries = 0;
    m_loop.after(m_networkDelay, [this, index, attempt = value.attempt] { postPrefill(index, attempt); });
}

void simulation::postPrefill(std::size_t index, std::uint32_t attempt)
{
    if (!isCurrent(index, attempt)) {
        return;
    }
    const auto &request = m_requests[index];
    prefill_job job{.label = labelFor(index), .kind = request.kind, .tokens = request.promptTokens + m_liveRequests[index].delivered, .prefix = request.prefix};
    const auto name = prefillName(m_liveRequests[index].prefill);
    job.onDone = [this, index, attempt](std::int32_t computed) {
        m_loop.after(m_networkDelay, [this, index, attempt, computed] { onPrefilled(index, attempt, computed); });
    };
    job.onFailed = [this, index, attempt, name](const std::string &, std::int32_t computed) {
        m_results[index].wastedPrefill += computed;
        m_loop.after(m_networkDelay, [this, index, attempt, name] { fail(index, attempt, name); });
    };
    m_prefills[static_cast<std::size_t>(m_liveRequests[index].prefill)]->post(std::move(job));
}

void simulation::onPrefilled(std::size_t index, std::uint32_t attempt, std::int32_t computed)
{
    if (!isCurrent(index, attempt) || !vmAlive(m_requests[index].vm)) {
        return;
    }
    m_liveRequests[index].current = stage::Prefilled;
    m_liveRequests[index].computed = computed;
    m_router->prefillDone(currentAttempt(index));
    if (m_liveRequests[index].decode >= 0) {
        m_loop.after(m_networkDelay, [this, index, attempt] { postDecode(index, attempt); });
        return;
    }
    chooseDecode(index, attempt);
}

void simulation::chooseDecode(std::size_t index, std::uint32_t attempt)
{
    if (!isCurrent(index, attempt)) {
        return;
    }
    const auto failed = m_liveRequests[index].decode;
    const auto decode = m_liveRequests[index].decodeTries++ < maxDecodeTries ? m_router->decodeFor(index, m_requests[index].vm) : std::nullopt;
    if (!decode) {
        fail(index, attempt, failed >= 0 ? decodeName(failed) : "");
        return;
    }
    m_liveRequests[index].decode = *decode;
    m_loop.after(m_networkDelay, [this, index, attempt] { postDecode(index, attempt); });
}

void simulation::postDecode(std::size_t index, std::uint32_t attempt)
{
    if (!isCurrent(index, attempt)) {
        return;
    }
    auto &live = m_liveRequests[index];
    const auto &request = m_requests[index];
    live.current = stage::Importing;
    decode_job job{.label = labelFor(index)};
    job.promptTokens = request.promptTokens + live.delivered;
    job.kvBlocks = (request.promptTokens + request.maxOutputTokens + tokensPerKvBlock - 1) / tokensPerKvBlock;
    job.tokens = std::max(1, request.outputTokens - live.delivered);
    job.source = m_prefills[static_cast<std::size_t>(live.prefill)].get();
    job.onFirstToken = [this, index, attempt] { m_loop.after(m_networkDelay, [this, index, attempt] { onFirstToken(index, attempt); }); };
    job.onDone = [this, index, attempt] { m_loop.after(m_networkDelay, [this, index, attempt] { onFinished(index, attempt); }); };
    job.onFailed = [this, index, attempt](const std::string &code, std::int32_t generated) {
        m_loop.after(m_networkDelay, [this, index, attempt, code, generated] { onDecodeFailed(index, attempt, code, generated); });
    };
    m_decodes[static_cast<std::size_t>(live.decode)]->post(std::move(job));
}

void simulation::onDecodeFailed(std::size_t index, std::uint32_t attempt, const std::string &code, std::int32_t generated)
{
    if (!isCurrent(index, attempt) || !vmAlive(m_requests[index].vm)) {
        return;
    }
    auto &live = m_liveRequests[index];
    live.delivered += std::max(0, generated);
    const auto decode = decodeName(live.decode);
    if (code == "memory_full" || code == "connect") {
        const auto alternative = m_router->decodeFor(index, m_requests[index].vm);
        if (alternative) {
            m_loop.after(decodeRetryDelay, [this, index, attempt] { chooseDecode(index, attempt); });
            return;
        }
    }
    fail(index, attempt, code == "kv_evicted" ? prefillName(live.prefill) : decode);
}

void simulation::onFirstToken(std::size_t index, std::uint32_t attempt)
{
    if (!isCurrent(index, attempt) || !vmAlive(m_requests[index].vm)) {
        return;
    }
    auto &live = m_liveRequests[index];
    live.current = stage::Decoding;
    m_results[index].usedPrefill += live.computed;
    if (m_results[index].firstToken < 0) {
        m_results[index].firstToken = nowSeconds() - m_requests[index].arrival;
        live.firstTokenAt = m_loop.now();
    }
    m_router->decodeStarted(currentAttempt(index));
}

void simulation::onFinished(std::size_t index, std::uint32_t attempt)
{
    if (!isCurrent(index, attempt) || !vmAlive(m_requests[index].vm)) {
        return;
    }
    const auto &request = m_requests[index];
    const double decodeSeconds = inSeconds(m_loop.now() - m_liveRequests[index].firstTokenAt);
    m_results[index].interval = decodeSeconds / std::max(1, request.outputTokens - 1);
    m_router->done(currentAttempt(index), request.outputTokens, "");
    endRequest(index, request_outcome::Finished);
}

void simulation::fail(std::size_t index, std::uint32_t attempt, const std::string &endpoint)
{
    if (!isCurrent(index, attempt) || !vmAlive(m_requests[index].vm)) {
        return;
    }
    auto &live = m_liveRequests[index];
    if (live.current != stage::Decoding) {
        m_results[index].wastedPrefill += live.computed;
    }
    cancelAtEngines(index);
    m_router->done(currentAttempt(index), 0, endpoint);
    if (live.attempt + 1 >= maxAttempts) {
        endRequest(index, request_outcome::GivenUp);
        return;
    }
    ++live.attempt;
    ++m_results[index].attempts;
    live.current = stage::AwaitingDecision;
    live.prefill = -1;
    live.decode = -1;
    if (!endpoint.empty()) {
        live.avoid.push_back(endpoint);
    }
    m_router->place(currentAttempt(index));
}

std::vector<open_attempt> simulation::openAttempts(std::int32_t vm) const
{
    std::vector<open_attempt> out;
    for (std::size_t i = 0; i < m_liveRequests.size(); ++i) {
        const auto &live = m_liveRequests[i];
        const auto &request = m_requests[i];
        if (request.vm != vm || live.current == stage::Ended || live.current == stage::AwaitingDecision) {
            continue;
        }
        open_attempt entry{.label = labelOf(request, i), .attempt = live.attempt};
        entry.prefill = endpoint_name{prefillName(live.prefill)};
        entry.decode = endpoint_name{decodeName(live.decode)};
        entry.account = account_name{"account-" + std::to_string(request.account)};
        entry.stage = live.current == stage::Decoding ? placement_stage::DecodeStarted : placement_stage::PrefillDone;
        entry.promptTokens = request.promptTokens;
        entry.maxOutputTokens = request.maxOutputTokens;
        out.push_back(entry);
    }
    return out;
}

void simulation::scheduleReports()
{
    const auto interval = m_setting.engine.reportIntervalMs;
    const auto workers = m_prefills.size() + m_decodes.size();
    for (std::size_t i = 0; i < workers; ++i) {
        const bool prefill = i < m_prefills.size();
        const auto index = prefill ? i : i - m_prefills.size();
        m_loop.after(fromMillis(interval * static_cast<double>(i) / static_cast<double>(workers)), [this, prefill, index] { readReport(prefill, index); });
    }
}

void simulation::readReport(bool prefill, std::size_t index)
{
    m_loop.after(fromMillis(m_setting.engine.reportIntervalMs), [this, prefill, index] { readReport(prefill, index); });
    auto report = prefill ? m_prefills[index]->report() : m_decodes[index]->report();
    report.endpoint = endpoint_name{prefill ? prefillName(static_cast<std::int32_t>(index)) : decodeName(static_cast<std::int32_t>(index))};
    report.age = fromMillis(m_setting.engine.reportLagMs);
    auto &previous = (prefill ? m_prefillReports : m_decodeReports)[index];
    if (m_reportsFrozen) {
        // The content no longer changes, and nothing in the report shows that.
        report = previous;
    }
    previous = report;
    m_loop.after(report.age, [this, report] { m_router->report(report); });
    if (!prefill) {
        return;
    }
    cache_events events{.endpoint = report.endpoint, .events = m_prefills[index]->cache().takeEvents()};
    if (!events.events.empty() && !m_reportsFrozen) {
        m_loop.after(fromMillis(m_setting.engine.eventLagMs), [this, events] { m_router->cacheChanged(events); });
    }
}

void simulation::scheduleFaults()
{
    for (const auto &entry : m_setting.faults) {
        m_loop.at(timeAt(entry.atSeconds), [this, entry] { applyFault(entry, true); });
        if (entry.forSeconds < 1e8) {
            m_loop.at(timeAt(entry.atSeconds + entry.forSeconds), [this, entry] { applyFault(entry, false); });
        }
    }
}

void simulation::applyFault(const fault &entry, bool begins)
{
    const bool prefill = entry.worker.starts_with("prefill-");
    const auto worker = entry.worker.empty() ? 0 : static_cast<std::size_t>(std::stoi(entry.worker.substr(entry.worker.find('-') + 1)));
    switch (entry.kind) {
    case fault_kind::WorkerLost:
        if (begins) {
            prefill ? m_prefills[worker]->fail() : m_decodes[worker]->fail();
        }
        break;
    case fault_kind::WorkerSlow:
        prefill ? m_prefills[worker]->setSlowness(begins ? entry.factor : 1) : m_decodes[worker]->setSlowness(begins ? entry.factor : 1);
        break;
    case fault_kind::TransfersStall:
        m_decodes[worker]->setStalling(begins);
        break;
    case fault_kind::EarlyEviction:
        m_prefills[worker]->setEvictionDelay(fromMillis(m_setting.engine.evictionMs * (begins ? entry.factor : 1)));
        break;
    case fault_kind::EngineRefuses:
        prefill ? m_prefills[worker]->setRefusing(begins) : m_decodes[worker]->setRefusing(begins);
        break;
    case fault_kind::ReportsFrozen:
        m_reportsFrozen = begins;
        break;
    case fault_kind::VmLost:
        if (begins) {
            failVm(entry.index);
        }
        break;
    case fault_kind::LogDown: // Read by the router when a VM is lost.
    case fault_kind::AccountFlood: // Part of the arrivals.
        break;
    }
}

// Disconnects the callers of the VM. Their engine memory is freed when the orphans are cancelled.
void simulation::failVm(std::int32_t vm)
{
    constexpr duration orphansFreed = std::chrono::seconds(5);
    for (std::size_t i = 0; i < m_liveRequests.size(); ++i) {
        if (m_requests[i].vm != vm || m_liveRequests[i].current == stage::Ended) {
            continue;
        }
        m_loop.after(orphansFreed, [this, i] { cancelAtEngines(i); });
        endRequest(i, request_outcome::VmDied);
    }
    m_vmAlive[static_cast<std::size_t>(vm)] = false;
    m_router->vmLost(vm);
}

run_result simulation::run(std::unique_ptr<router> testedRouter)
{
    m_router = std::move(testedRouter);
    scheduleArrival(0);
    scheduleReports();
    scheduleFaults();
    m_loop.runUntil(timeAt(m_setting.warmupSeconds + m_setting.windowSeconds + m_setting.drainSeconds));
    run_result out;
    out.decisionSeconds = m_router->decisionSeconds();
    out.messageSeconds = m_router->messageSeconds();
    out.requests = std::move(m_requests);
    out.results = std::move(m_results);
    return out;
}

} // namespace

std::optional<run_result> simulate(const scenario &setting, const std::string &routerName, double load, std::uint64_t seed)
{
    simulation run(setting, drawRequests(setting, load, seed), seed);
    auto testedRouter = makeRouter(routerName, run, seed);
    if (!testedRouter) {
        return std::nullopt;
    }
    return run.run(std::move(testedRouter));
}

} // namespace plantainpoint::bench
