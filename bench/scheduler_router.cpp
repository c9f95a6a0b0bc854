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

std::int32_t indexOf(const endpoint_name &name)
{
    return std::stoi(name.value.substr(name.value.find('-') + 1));
}

std::vector<endpoint> endpointsOf(const scenario &from)
{
    std::vector<endpoint> out;
    const auto add = [&](const std::string &name, endpoint_role role) {
        endpoint config;
        config.name = endpoint_name{name};
        config.role = role;
        config.model = benchPool.model;
        config.slots = from.engine.slots;
        config.kvBlocks = from.engine.kvBlocks;
        config.prefillTokensPerSecond = from.engine.prefillTokensPerSecond;
        config.linkBytesPerSecond = from.engine.linkBytesPerSecond;
        config.kvBytesPerToken = from.engine.kvBytesPerToken;
        out.push_back(config);
    };
    for (std::int32_t i = 0; i < from.sizes.prefillWorkers; ++i) {
        add(prefillName(i), endpoint_role::Prefill);
    }
    for (std::int32_t i = 0; i < from.sizes.decodeWorkers; ++i) {
        add(decodeName(i), endpoint_role::Decode);
    }
    return out;
}

// CPU time of this thread: other processes on the machine do not count
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
    const auto &from = m_host.setting();
    m_scheduler = std::make_unique<scheduler>(m_host.loop().clock());
    pool_settings settings{.pool = benchPool, .fairness = from.sizes.fairness};
    for (std::size_t i = 0; i < from.workload.accountShares.size(); ++i) {
        settings.accountWeights[account_name{accountName(static_cast<std::int32_t>(i))}] = from.workload.accountShares[i];
    }
    m_scheduler->setPool(settings, endpointsOf(from));
}

duration scheduler_router::network() const
{
    return fromMillis(m_host.setting().sizes.networkMs);
}

void scheduler_router::send(std::function<void(scheduler &)> message, bool asks)
{
    m_host.loop().after(network(), [this, message = std::move(message), asks] { deliver(message, asks); });
}

void scheduler_router::deliver(const std::function<void(scheduler &)> &message, bool asks)
{
    if (!m_alive) {
        return;
    }
    const double before = cpuSeconds();
    message(*m_scheduler);
    const auto answers = m_scheduler->run();
    const double took = cpuSeconds() - before;
    if (asks || !answers.empty()) {
        m_seconds.push_back(took / static_cast<double>(std::max<std::size_t>(1, answers.size())));
    } else {
        m_messageSeconds.push_back(took);
    }
    for (const auto &answer : answers) {
        m_host.loop().after(network(), [this, answer] { pass(answer); });
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

void scheduler_router::pass(const placement_decision &answer)
{
    if (const auto *placed = std::get_if<placement>(&answer.body)) {
        m_host.decide({placed->label.sequence, placed->attempt, indexOf(placed->prefill), indexOf(placed->decode)});
        return;
    }
    const auto &refused = std::get<placement_refusal>(answer.body);
    m_host.decide({refused.label.sequence, refused.attempt, std::nullopt, std::nullopt});
}

void scheduler_router::place(const ask &value)
{
    const auto &request = m_host.requestAt(value.request);
    place_request message{.label = labelOf(request, value.request), .attempt = value.attempt};
    message.account = account_name{accountName(request.account)};
    message.pool = benchPool;
    message.promptTokens = request.promptTokens;
    message.maxOutputTokens = request.maxOutputTokens;
    message.resumeFrom = value.resumeFrom;
    message.kind = request.kind;
    message.waited = fromSeconds(value.waited) + network();
    message.timeToDeadline = fromSeconds(value.timeToDeadline);
    message.prefix = request.prefix;
    for (const auto &name : value.avoid) {
        message.avoid.push_back(endpoint_name{name});
    }
    m_unanswered[{value.request, value.attempt}] = {value, m_host.loop().now()};
    send([from = vmId(value.vm), message](scheduler &to) { to.enqueue(from, message); }, true);
}

void scheduler_router::prefillDone(const ask &value)
{
    const auto label = labelOf(m_host.requestAt(value.request), value.request);
    send([label, value](scheduler &to) { to.onProgress({label, value.attempt, benchPool, placement_stage::PrefillDone}); });
}

void scheduler_router::decodeStarted(const ask &value)
{
    const auto label = labelOf(m_host.requestAt(value.request), value.request);
    send([label, value](scheduler &to) { to.onProgress({label, value.attempt, benchPool, placement_stage::DecodeStarted}); });
}

void scheduler_router::done(const ask &value, std::int32_t outputTokens, const std::string &failed)
{
    m_unanswered.erase({value.request, value.attempt});
    placement_done message{labelOf(m_host.requestAt(value.request), value.request), value.attempt, benchPool, outputTokens, std::nullopt};
    if (!failed.empty()) {
        message.failed = endpoint_name{failed};
    }
    send([message](scheduler &to) { to.onDone(message); });
}

void scheduler_router::report(const load_report &value)
{
    deliver([&value](scheduler &to) { to.onLoad(value); });
}

void scheduler_router::cacheChanged(const cache_events &value)
{
    deliver([&value](scheduler &to) { to.onCacheEvents(value); });
}

void scheduler_router::answered(std::size_t request, std::uint32_t attempt)
{
    m_unanswered.erase({request, attempt});
}

// VM 0 runs the scheduler; its loss is noticed by silence, and the next VM takes over
void scheduler_router::vmLost(std::int32_t vm)
{
    const auto &faults = m_host.setting().faults;
    const bool logDown = std::any_of(faults.begin(), faults.end(), [](const fault &entry) { return entry.kind == fault_kind::LogDown; });
    const auto noticed = std::chrono::milliseconds(1'700); // 1.5 s of silence when the platform's list says it is gone
    const auto dropped = logDown ? std::chrono::seconds(6) : std::chrono::seconds(4);
    if (vm == m_schedulerVm) {
        m_alive = false;
        m_host.loop().after(noticed, [this] { succeed(); });
    }
    m_host.loop().after(dropped, [this, vm] { deliver([vm](scheduler &to) { to.onVmRemoved(vmId(vm)); }); });
}

void scheduler_router::succeed()
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
            send([vm, sync = ledger_sync{benchPool, m_host.openAttempts(vm)}](scheduler &to) { to.onSync(vmId(vm), sync); });
        }
    }
    const auto again = m_unanswered;
    for (const auto &[key, entry] : again) {
        auto value = entry.first;
        const double waited = inSeconds(m_host.loop().now() - entry.second);
        value.waited += waited;
        value.timeToDeadline -= waited;
        if (m_host.vmAlive(value.vm)) {
            place(value);
            m_unanswered[key] = entry;
        }
    }
}

std::vector<double> scheduler_router::decisionSeconds()
{
    std::sort(m_seconds.begin(), m_seconds.end());
    return m_seconds;
}

std::vector<double> scheduler_router::messageSeconds()
{
    std::sort(m_messageSeconds.begin(), m_messageSeconds.end());
    return m_messageSeconds;
}

} // namespace plantainpoint::bench
