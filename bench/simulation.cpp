#include "simulation.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace plantainpoint::bench {

namespace {

constexpr std::uint32_t mostAttempts = 4;
constexpr duration decodeRetryDelay = std::chrono::milliseconds(100);
constexpr int decodeTries = 8; // within the time to eviction

enum class stage : std::uint8_t {
    Asked,
    Prefilling,
    Prefilled,
    Importing,
    Decoding,
    Ended,
};

struct live_request {
    stage at = stage::Ended;
    std::uint32_t attempt = 0;
    std::int32_t prefill = -1;
    std::int32_t decode = -1;
    std::int32_t computed = 0; // prefill tokens of this attempt
    std::int32_t delivered = 0; // tokens of earlier attempts
    int decodeTries = 0;
    time_point firstTokenAt{};
    std::vector<std::string> avoid;
};

class simulation final : public router_host
{
public:
    simulation(const scenario &setting, std::vector<request> requests, std::uint64_t seed)
        : m_setting(setting)
        , m_network(fromMillis(setting.sizes.networkMs))
        , m_requests(std::move(requests))
        , m_live(m_requests.size())
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
    void decide(const verdict &value) override;

    run_result run(std::unique_ptr<router> chosen);

private:
    time_point at(double seconds) const { return time_point{} + fromSeconds(seconds); }
    double nowSeconds() const { return inSeconds(m_loop.now().time_since_epoch()); }
    bool current(std::size_t index, std::uint32_t attempt) const { return m_live[index].at != stage::Ended && m_live[index].attempt == attempt; }
    attempt_label labelFor(std::size_t index) const { return {labelOf(m_requests[index], index), m_live[index].attempt}; }
    ask askOf(std::size_t index) const;

    void scheduleArrivals(std::size_t index);
    void arrive(std::size_t index);
    void end(std::size_t index, request_end how);
    void leave(std::size_t index, request_end how);
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
    void loseVm(std::int32_t vm);

    const scenario m_setting;
    const duration m_network;
    event_loop m_loop;
    std::vector<request> m_requests;
    std::vector<live_request> m_live;
    std::vector<request_result> m_results;
    std::vector<bool> m_vmAlive;
    std::vector<std::unique_ptr<prefill_engine>> m_prefills;
    std::vector<std::unique_ptr<decode_engine>> m_decodes;
    std::unique_ptr<router> m_router;
    std::vector<load_report> m_prefillReports;
    std::vector<load_report> m_decodeReports;
    bool m_frozen = false;
};

ask simulation::askOf(std::size_t index) const
{
    const auto &from = m_requests[index];
    const double timeToDeadline = from.kind == urgency::Batch ? m_setting.workload.batchTimeoutSeconds : m_setting.workload.interactiveTimeoutSeconds;
    const double waited = nowSeconds() - from.arrival;
    return {index, m_live[index].attempt, from.vm, waited, std::max(0.0, timeToDeadline - waited), m_live[index].delivered, m_live[index].avoid};
}

// one pending arrival at a time keeps the event queue short
void simulation::scheduleArrivals(std::size_t index)
{
    if (index >= m_requests.size()) {
        return;
    }
    m_loop.at(at(m_requests[index].arrival), [this, index] {
        arrive(index);
        scheduleArrivals(index + 1);
    });
}

void simulation::arrive(std::size_t index)
{
    const auto &from = m_requests[index];
    if (!vmAlive(from.vm)) {
        // the load balancer sends to another VM
        m_requests[index].vm = (from.vm + 1) % m_setting.sizes.vms;
    }
    m_live[index].at = stage::Asked;
    if (from.cancelAfter >= 0) {
        m_loop.after(fromSeconds(from.cancelAfter), [this, index] { leave(index, request_end::Cancelled); });
    }
    const auto first = askOf(index);
    m_loop.after(fromSeconds(first.timeToDeadline), [this, index] {
        if (m_results[index].firstToken < 0) {
            leave(index, request_end::GivenUp);
        }
    });
    m_results[index].attempts = 1;
    m_router->place(first);
}

void simulation::end(std::size_t index, request_end how)
{
    m_live[index].at = stage::Ended;
    m_results[index].end = how;
    m_results[index].endedAt = nowSeconds();
}

void simulation::cancelAtEngines(std::size_t index)
{
    const auto &live = m_live[index];
    const auto label = labelFor(index);
    m_loop.after(m_network, [this, label, prefill = live.prefill, decode = live.decode] {
        if (prefill >= 0) {
            m_prefills[static_cast<std::size_t>(prefill)]->cancel(label);
        }
        if (decode >= 0) {
            m_decodes[static_cast<std::size_t>(decode)]->cancel(label);
        }
    });
}

void simulation::leave(std::size_t index, request_end how)
{
    if (m_live[index].at == stage::Ended || !vmAlive(m_requests[index].vm)) {
        return;
    }
    cancelAtEngines(index);
    if (how != request_end::Cancelled && m_live[index].at != stage::Decoding) {
        m_results[index].wastedPrefill += m_live[index].computed;
    }
    m_router->done(askOf(index), 0, "");
    end(index, how);
}

void simulation::decide(const verdict &value)
{
    const auto index = value.request;
    if (!vmAlive(m_requests[index].vm)) {
        return;
    }
    m_router->answered(index, value.attempt);
    if (!current(index, value.attempt) || m_live[index].at != stage::Asked) {
        return;
    }
    if (!value.prefill) {
        end(index, request_end::Refused);
        return;
    }
    auto &live = m_live[index];
    live.at = stage::Prefilling;
    live.prefill = *value.prefill;
    live.decode = value.decode.value_or(-1);
    live.computed = 0;
    live.decodeTries = 0;
    m_loop.after(m_network, [this, index, attempt = value.attempt] { postPrefill(index, attempt); });
}

void simulation::postPrefill(std::size_t index, std::uint32_t attempt)
{
    if (!current(index, attempt)) {
        return;
    }
    const auto &from = m_requests[index];
    prefill_job job{.label = labelFor(index), .kind = from.kind, .tokens = from.promptTokens + m_live[index].delivered, .prefix = from.prefix};
    const auto name = prefillName(m_live[index].prefill);
    job.onDone = [this, index, attempt](std::int32_t computed) {
        m_loop.after(m_network, [this, index, attempt, computed] { onPrefilled(index, attempt, computed); });
    };
    job.onFailed = [this, index, attempt, name](const std::string &, std::int32_t computed) {
        m_results[index].wastedPrefill += computed;
        m_loop.after(m_network, [this, index, attempt, name] { fail(index, attempt, name); });
    };
    m_prefills[static_cast<std::size_t>(m_live[index].prefill)]->post(std::move(job));
}

void simulation::onPrefilled(std::size_t index, std::uint32_t attempt, std::int32_t computed)
{
    if (!current(index, attempt) || !vmAlive(m_requests[index].vm)) {
        return;
    }
    m_live[index].at = stage::Prefilled;
    m_live[index].computed = computed;
    m_router->prefillDone(askOf(index));
    if (m_live[index].decode >= 0) {
        m_loop.after(m_network, [this, index, attempt] { postDecode(index, attempt); });
        return;
    }
    chooseDecode(index, attempt);
}

void simulation::chooseDecode(std::size_t index, std::uint32_t attempt)
{
    if (!current(index, attempt)) {
        return;
    }
    const auto failed = m_live[index].decode;
    const auto decode = m_live[index].decodeTries++ < decodeTries ? m_router->decodeFor(index, m_requests[index].vm) : std::nullopt;
    if (!decode) {
        fail(index, attempt, failed >= 0 ? decodeName(failed) : "");
        return;
    }
    m_live[index].decode = *decode;
    m_loop.after(m_network, [this, index, attempt] { postDecode(index, attempt); });
}

void simulation::postDecode(std::size_t index, std::uint32_t attempt)
{
    if (!current(index, attempt)) {
        return;
    }
    auto &live = m_live[index];
    const auto &from = m_requests[index];
    live.at = stage::Importing;
    decode_job job{.label = labelFor(index)};
    job.promptTokens = from.promptTokens + live.delivered;
    job.kvBlocks = (from.promptTokens + from.maxOutputTokens + tokensPerKvBlock - 1) / tokensPerKvBlock;
    job.tokens = std::max(1, from.outputTokens - live.delivered);
    job.source = m_prefills[static_cast<std::size_t>(live.prefill)].get();
    job.onFirstToken = [this, index, attempt] { m_loop.after(m_network, [this, index, attempt] { onFirstToken(index, attempt); }); };
    job.onDone = [this, index, attempt] { m_loop.after(m_network, [this, index, attempt] { onFinished(index, attempt); }); };
    job.onFailed = [this, index, attempt](const std::string &code, std::int32_t generated) {
        m_loop.after(m_network, [this, index, attempt, code, generated] { onDecodeFailed(index, attempt, code, generated); });
    };
    m_decodes[static_cast<std::size_t>(live.decode)]->post(std::move(job));
}

void simulation::onDecodeFailed(std::size_t index, std::uint32_t attempt, const std::string &code, std::int32_t generated)
{
    if (!current(index, attempt) || !vmAlive(m_requests[index].vm)) {
        return;
    }
    auto &live = m_live[index];
    live.delivered += std::max(0, generated);
    const auto decode = decodeName(live.decode);
    if (code == "memory_full" || code == "connect") {
        const auto other = m_router->decodeFor(index, m_requests[index].vm);
        if (other) {
            m_loop.after(decodeRetryDelay, [this, index, attempt] { chooseDecode(index, attempt); });
            return;
        }
    }
    fail(index, attempt, code == "kv_evicted" ? prefillName(live.prefill) : decode);
}

void simulation::onFirstToken(std::size_t index, std::uint32_t attempt)
{
    if (!current(index, attempt) || !vmAlive(m_requests[index].vm)) {
        return;
    }
    auto &live = m_live[index];
    live.at = stage::Decoding;
    m_results[index].usedPrefill += live.computed;
    if (m_results[index].firstToken < 0) {
        m_results[index].firstToken = nowSeconds() - m_requests[index].arrival;
        live.firstTokenAt = m_loop.now();
    }
    m_router->decodeStarted(askOf(index));
}

void simulation::onFinished(std::size_t index, std::uint32_t attempt)
{
    if (!current(index, attempt) || !vmAlive(m_requests[index].vm)) {
        return;
    }
    const auto &from = m_requests[index];
    const double lasted = inSeconds(m_loop.now() - m_live[index].firstTokenAt);
    m_results[index].interval = lasted / std::max(1, from.outputTokens - 1);
    m_router->done(askOf(index), from.outputTokens, "");
    end(index, request_end::Finished);
}

void simulation::fail(std::size_t index, std::uint32_t attempt, const std::string &endpoint)
{
    if (!current(index, attempt) || !vmAlive(m_requests[index].vm)) {
        return;
    }
    auto &live = m_live[index];
    if (live.at != stage::Decoding) {
        m_results[index].wastedPrefill += live.computed;
    }
    cancelAtEngines(index);
    m_router->done(askOf(index), 0, endpoint);
    if (live.attempt + 1 >= mostAttempts) {
        end(index, request_end::GivenUp);
        return;
    }
    ++live.attempt;
    ++m_results[index].attempts;
    live.at = stage::Asked;
    live.prefill = -1;
    live.decode = -1;
    if (!endpoint.empty()) {
        live.avoid.push_back(endpoint);
    }
    m_router->place(askOf(index));
}

std::vector<open_attempt> simulation::openAttempts(std::int32_t vm) const
{
    std::vector<open_attempt> out;
    for (std::size_t i = 0; i < m_live.size(); ++i) {
        const auto &live = m_live[i];
        const auto &from = m_requests[i];
        if (from.vm != vm || live.at == stage::Ended || live.at == stage::Asked) {
            continue;
        }
        open_attempt entry{.label = labelOf(from, i), .attempt = live.attempt};
        entry.prefill = endpoint_name{prefillName(live.prefill)};
        entry.decode = endpoint_name{decodeName(live.decode)};
        entry.account = account_name{"account-" + std::to_string(from.account)};
        entry.stage = live.at == stage::Decoding ? placement_stage::DecodeStarted : placement_stage::PrefillDone;
        entry.promptTokens = from.promptTokens;
        entry.maxOutputTokens = from.maxOutputTokens;
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
    auto &last = (prefill ? m_prefillReports : m_decodeReports)[index];
    if (m_frozen) {
        // the content no longer changes, and the report does not say so
        report = last;
    }
    last = report;
    m_loop.after(report.age, [this, report] { m_router->report(report); });
    if (!prefill) {
        return;
    }
    cache_events events{.endpoint = report.endpoint, .events = m_prefills[index]->cache().takeEvents()};
    if (!events.events.empty() && !m_frozen) {
        m_loop.after(fromMillis(m_setting.engine.eventLagMs), [this, events] { m_router->cacheChanged(events); });
    }
}

void simulation::scheduleFaults()
{
    for (const auto &entry : m_setting.faults) {
        m_loop.at(at(entry.atSeconds), [this, entry] { applyFault(entry, true); });
        if (entry.forSeconds < 1e8) {
            m_loop.at(at(entry.atSeconds + entry.forSeconds), [this, entry] { applyFault(entry, false); });
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
        m_prefills[worker]->setEviction(fromMillis(m_setting.engine.evictionMs * (begins ? entry.factor : 1)));
        break;
    case fault_kind::EngineRefuses:
        prefill ? m_prefills[worker]->setRefusing(begins) : m_decodes[worker]->setRefusing(begins);
        break;
    case fault_kind::ReportsFrozen:
        m_frozen = begins;
        break;
    case fault_kind::VmLost:
        if (begins) {
            loseVm(entry.index);
        }
        break;
    case fault_kind::LogDown: // read by the router when a VM is lost
    case fault_kind::AccountFlood: // part of the arrivals
        break;
    }
}

// callers of the VM are gone; their engine memory is freed when the orphans are cancelled
void simulation::loseVm(std::int32_t vm)
{
    constexpr duration orphansFreed = std::chrono::seconds(5);
    for (std::size_t i = 0; i < m_live.size(); ++i) {
        if (m_requests[i].vm != vm || m_live[i].at == stage::Ended) {
            continue;
        }
        m_loop.after(orphansFreed, [this, i] { cancelAtEngines(i); });
        end(i, request_end::VmDied);
    }
    m_vmAlive[static_cast<std::size_t>(vm)] = false;
    m_router->vmLost(vm);
}

run_result simulation::run(std::unique_ptr<router> chosen)
{
    m_router = std::move(chosen);
    scheduleArrivals(0);
    scheduleReports();
    scheduleFaults();
    m_loop.runUntil(at(m_setting.warmupSeconds + m_setting.windowSeconds + m_setting.drainSeconds));
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
    auto chosen = makeRouter(routerName, run, seed);
    if (!chosen) {
        return std::nullopt;
    }
    return run.run(std::move(chosen));
}

} // namespace plantainpoint::bench
