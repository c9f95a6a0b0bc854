#include "scheduler_router.hpp"

#include <algorithm>
#include <ctime>

namespace plantainpoint::bench {

namespace {

const pool_id benchPool{model_name{"model"}, region_name{"region"}};

incarnation_id vmId(std::int32_t vm)
{
    return {vm_name{"vm-" + std::to_string(vm)}, 1};
}

std::int32_t workerIndex(const endpoint_name &name)
{
    return std::stoi(name.value.substr(name.value.find('-') + 1));
}

std::vector<endpoint> endpointConfigs(const scenario &setting)
{
    std::vector<endpoint> out;
    const auto add = [&](const std::string &name, endpoint_role role) {
        endpoint config;
        config.name = endpoint_name{name};
        config.role = role;
        config.model = benchPool.model;
        config.slots = setting.engine.slots;
        config.kvBlocks = setting.engine.kvBlocks;
        config.prefillTokensPerSecond = setting.engine.prefillTokensPerSecond;
        config.linkBytesPerSecond = setting.engine.linkBytesPerSecond;
        config.kvBytesPerToken = setting.engine.kvBytesPerToken;
        out.push_back(config);
    };
    for (std::int32_t i = 0; i < setting.sizes.prefillWorkers; ++i) {
        add(prefillName(i), endpoint_role::Prefill);
    }
    for (std::int32_t i = 0; i < setting.sizes.decodeWorkers; ++i) {
        add(decodeName(i), endpoint_role::Decode);
    }
    return out;
}

// Returns the CPU time of this thread, so that other processes on the machine do not distort the decision times.
double cpuSeconds()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

std::string accountName(std::int32_t account)
{
    return "account-" + std::to_string(account);
}

} // namespace

scheduler_router::scheduler_router(router_host &host)
    : m_host(host)
{
    startScheduler();
}

void scheduler_router::startScheduler()
{
    const auto &setting = m_host.setting();
    m_scheduler = std::make_unique<scheduler>(m_host.loop().clock());
    pool_settings settings{.pool = benchPool, .fairness = setting.sizes.fairness};
    for (std::size_t i = 0; i < setting.workload.accountShares.size(); ++i) {
        settings.accountWeights[account_name{accountName(static_cast<std::int32_t>(i))}] = setting.workload.accountShares[i];
    }
    m_scheduler->setPool(settings, endpointConfigs(setting));
}

duration scheduler_router::networkDelay() const
{
    return fromMillis(m_host.setting().sizes.networkMs);
}

void scheduler_router::send(std::function<void(scheduler &)> message, bool needsDecision)
{
    m_host.loop().after(networkDelay(), [this, message = std::move(message), needsDecision] { deliver(message, needsDecision); });
}

void scheduler_router::deliver(const std::function<void(scheduler &)> &message, bool needsDecision)
{
    if (!m_alive) {
        return;
    }
    const double start = cpuSeconds();
    message(*m_scheduler);
    const auto decisions = m_scheduler->run();
    const double elapsed = cpuSeconds() - start;
    if (needsDecision || !decisions.empty()) {
        m_decisionSeconds.push_back(elapsed / static_cast<double>(std::max<std::size_t>(1, decisions.size())));
    } else {
        m_messageSeconds.push_back(elapsed);
    }
    for (const auto &decision : decisions) {
        m_host.loop().after(networkDelay(), [this, decision] { forwardDecision(decision); });
    }
    scheduleRun();
}

void scheduler_router::scheduleRun()
{
    const auto next = std::max(m_scheduler->nextRun(), m_host.loop().now());
    if (m_nextRun && *m_nextRun <= next) {
        return;
    }
    if (next == time_point::max()) {
        return;
    }
    m_nextRun = next;
    m_host.loop().at(next, [this, next] {
        if (m_nextRun == next) {
            m_nextRun.reset();
            deliver([](scheduler &) {});
        }
    });
}

void scheduler_router::forwardDecision(const placement_decision &decision)
{
    if (const auto *placed = std::get_if<placement>(&decision.body)) {
        m_host.decide({placed->label.sequence, placed->attempt, workerIndex(placed->prefill), workerIndex(placed->decode)});
        return;
    }
    const auto &refused = std::get<placement_refusal>(decision.body);
    m_host.decide({refused.label.sequence, refused.attempt, std::nullopt, std::nullopt});
}

void scheduler_router::place(const placement_attempt &value)
{
    const auto &request = m_host.requestAt(value.request);
    place_request message{.label = labelOf(request, value.request), .attempt = value.attempt};
    message.account = account_name{accountName(request.account)};
    message.pool = benchPool;
    message.promptTokens = request.promptTokens;
    message.maxOutputTokens = request.maxOutputTokens;
    message.resumeFrom = value.resumeFrom;
    message.kind = request.kind;
    message.waited = fromSeconds(value.waited) + networkDelay();
    message.timeToDeadline = fromSeconds(value.timeToDeadline);
    message.prefix = request.prefix;
    for (const auto &name : value.avoid) {
        message.avoid.push_back(endpoint_name{name});
    }
    m_pendingRequests[{value.request, value.attempt}] = {value, m_host.loop().now()};
    send([sender = vmId(value.vm), message](scheduler &target) { target.enqueue(sender, message); }, true);
}

void scheduler_router::prefillDone(const placement_attempt &value)
{
    const auto label = labelOf(m_host.requestAt(value.request), value.request);
    send([label, value](scheduler &target) { target.onProgress({label, value.attempt, benchPool, placement_stage::PrefillDone}); });
}

void scheduler_router::decodeStarted(const placement_attempt &value)
{
    const auto label = labelOf(m_host.requestAt(value.request), value.request);
    send([label, value](scheduler &target) { target.onProgress({label, value.attempt, benchPool, placement_stage::DecodeStarted}); });
}

void scheduler_router::done(const placement_attempt &value, std::int32_t outputTokens, const std::string &failed)
{
    m_pendingRequests.erase({value.request, value.attempt});
    placement_done message{labelOf(m_host.requestAt(value.request), value.request), value.attempt, benchPool, outputTokens, std::nullopt};
    if (!failed.empty()) {
        message.failed = endpoint_name{failed};
    }
    send([message](scheduler &target) { target.onDone(message); });
}

void scheduler_router::report(const load_report &value)
{
    deliver([&value](scheduler &target) { target.onLoad(value); });
}

void scheduler_router::cacheChanged(const cache_events &value)
{
    deliver([&value](scheduler &target) { target.onCacheEvents(value); });
}

void scheduler_router::decisionReceived(std::size_t request, std::uint32_t attempt)
{
    m_pendingRequests.erase({request, attempt});
}

// VM 0 runs the scheduler. Its loss is detected by missing heartbeats, and the next VM takes over.
void scheduler_router::vmLost(std::int32_t vm)
{
    const auto &faults = m_host.setting().faults;
    const bool logDown = std::any_of(faults.begin(), faults.end(), [](const fault &entry) { return entry.kind == fault_kind::LogDown; });
    const auto detectionDelay = std::chrono::milliseconds(1'700); // A VM counts as lost after 1.5 s of silence if the platform's list lacks it.
    const auto removalDelay = logDown ? std::chrono::seconds(6) : std::chrono::seconds(4);
    if (vm == m_schedulerVm) {
        m_alive = false;
        m_host.loop().after(detectionDelay, [this] { startSuccessor(); });
    }
    m_host.loop().after(removalDelay, [this, vm] { deliver([vm](scheduler &target) { target.onVmRemoved(vmId(vm)); }); });
}

void scheduler_router::startSuccessor()
{
    m_alive = true;
    m_nextRun.reset();
    startScheduler();
    std::vector<incarnation_id> members;
    const auto vms = m_host.setting().sizes.vms;
    for (std::int32_t vm = 0; vm < vms; ++vm) {
        if (m_host.vmAlive(vm)) {
            members.push_back(vmId(vm));
        }
    }
    m_scheduler->takeOver(benchPool, members);
    for (std::int32_t vm = 0; vm < vms; ++vm) {
        if (m_host.vmAlive(vm)) {
            send([vm, sync = ledger_sync{benchPool, m_host.openAttempts(vm)}](scheduler &target) { target.onSync(vmId(vm), sync); });
        }
    }
    const auto pendingRequests = m_pendingRequests;
    for (const auto &[key, entry] : pendingRequests) {
        auto value = entry.first;
        const double waited = inSeconds(m_host.loop().now() - entry.second);
        value.waited += waited;
        value.timeToDeadline -= waited;
        if (m_host.vmAlive(value.vm)) {
            place(value);
            m_pendingRequests[key] = entry;
        }
    }
}

std::vector<double> scheduler_router::decisionSeconds()
{
    std::sort(m_decisionSeconds.begin(), m_decisionSeconds.end());
    return m_decisionSeconds;
}

std::vector<double> scheduler_router::messageSeconds()
{
    std::sort(m_messageSeconds.begin(), m_messageSeconds.end());
    return m_messageSeconds;
}

} // namespace plantainpoint::bench
