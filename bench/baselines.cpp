// Baseline routers that the scheduler is compared with.
#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "router.hpp"
#include "scheduler_router.hpp"

namespace plantainpoint::bench {

namespace {

// The load of a worker as known to a baseline.
struct worker_view {
    double reportedLoad = 0; // Queued seconds of a prefill worker, fraction of used slots of a decode worker.
    double sent = 0; // Load of the open requests that the router sent to this worker, in the unit of reportedLoad.
    bool reachable = true;

    double load() const { return reportedLoad + sent; }
};

// Places each request at once with the load known to its VM. The engines queue or refuse the request.
class baseline : public router
{
public:
    baseline(router_host &host, std::uint64_t seed)
        : m_host(host)
        , m_random(seed)
        , m_prefills(static_cast<std::size_t>(host.setting().sizes.prefillWorkers))
        , m_decodes(static_cast<std::size_t>(host.setting().sizes.decodeWorkers))
    {
    }

    void place(const placement_attempt &value) override
    {
        const auto prefill = choosePrefill(value);
        const auto decode = choosesDecodeLater() ? std::nullopt : std::optional{chooseDecode(value.request, value.vm)};
        m_host.decide({value.request, value.attempt, prefill, decode});
    }

    std::optional<std::int32_t> decodeFor(std::size_t request, std::int32_t vm) override { return chooseDecode(request, vm); }
    void done(const placement_attempt &, std::int32_t, const std::string &) override { }

    void report(const load_report &value) override
    {
        const auto index = static_cast<std::size_t>(std::stoi(value.endpoint.value.substr(value.endpoint.value.find('-') + 1)));
        const bool prefill = value.endpoint.value == prefillName(static_cast<std::int32_t>(index));
        auto &view = prefill ? m_prefills[index] : m_decodes[index];
        view.reachable = value.reachable;
        if (value.reachable) {
            view.reportedLoad = prefill ? inSeconds(value.queueTime) : value.slotsUsed / static_cast<double>(std::max(1, value.slotsTotal));
        }
        onReported(prefill, index);
    }

protected:
    virtual bool choosesDecodeLater() const { return false; }
    virtual std::int32_t choosePrefill(const placement_attempt &value) = 0;
    virtual std::int32_t chooseDecode(std::size_t request, std::int32_t vm) = 0;
    virtual void onReported(bool, std::size_t) { }

    std::int32_t randomWorker(const std::vector<worker_view> &views) { return static_cast<std::int32_t>(m_random() % views.size()); }

    static std::int32_t leastLoaded(const std::vector<worker_view> &views, std::size_t start)
    {
        std::size_t best = start % views.size();
        for (std::size_t i = 0; i < views.size(); ++i) {
            const auto index = (start + i) % views.size();
            const bool better = std::pair{!views[index].reachable, views[index].load()} < std::pair{!views[best].reachable, views[best].load()};
            best = better ? index : best;
        }
        return static_cast<std::int32_t>(best);
    }

    router_host &m_host;
    std::mt19937_64 m_random;
    std::vector<worker_view> m_prefills;
    std::vector<worker_view> m_decodes;
};

class random_router final : public baseline
{
public:
    using baseline::baseline;

private:
    std::int32_t choosePrefill(const placement_attempt &) override { return randomWorker(m_prefills); }
    std::int32_t chooseDecode(std::size_t, std::int32_t) override { return randomWorker(m_decodes); }
};

class round_robin_router final : public baseline
{
public:
    using baseline::baseline;

private:
    // Every VM has its own counter.
    std::int32_t choosePrefill(const placement_attempt &value) override { return next(m_prefillCounters, value.vm, m_prefills.size()); }
    std::int32_t chooseDecode(std::size_t, std::int32_t vm) override { return next(m_decodeCounters, vm, m_decodes.size()); }

    static std::int32_t next(std::vector<std::size_t> &counters, std::int32_t vm, std::size_t count)
    {
        const auto index = static_cast<std::size_t>(vm);
        while (counters.size() <= index) {
            counters.push_back(counters.size());
        }
        return static_cast<std::int32_t>(counters[index]++ % count);
    }

    std::vector<std::size_t> m_prefillCounters;
    std::vector<std::size_t> m_decodeCounters;
};

class shortest_queue_router final : public baseline
{
public:
    using baseline::baseline;

private:
    std::int32_t choosePrefill(const placement_attempt &) override { return leastLoaded(m_prefills, m_random()); }
    std::int32_t chooseDecode(std::size_t, std::int32_t) override { return leastLoaded(m_decodes, m_random()); }
};

// A central instance that knows all open work chooses the prefill worker at once and the decode worker after the prefill.
class prefill_first_router final : public baseline
{
public:
    using baseline::baseline;

    void prefillDone(const placement_attempt &value) override { addPrefillLoad(value, -1); }
    void done(const placement_attempt &value, std::int32_t, const std::string &) override
    {
        addPrefillLoad(value, -1);
        const auto found = m_decodeWorkers.find(value.request);
        if (found != m_decodeWorkers.end()) {
            m_decodes[static_cast<std::size_t>(found->second)].sent -= loadPerSlot();
            m_decodeWorkers.erase(found);
        }
    }

private:
    bool choosesDecodeLater() const override { return true; }

    std::int32_t choosePrefill(const placement_attempt &value) override
    {
        const auto worker = leastLoaded(m_prefills, m_random());
        m_prefillWorkers[value.request] = worker;
        addPrefillLoad(value, 1);
        return worker;
    }

    std::int32_t chooseDecode(std::size_t request, std::int32_t) override
    {
        const auto worker = leastLoaded(m_decodes, m_random());
        if (const auto previous = m_decodeWorkers.find(request); previous != m_decodeWorkers.end()) {
            m_decodes[static_cast<std::size_t>(previous->second)].sent -= loadPerSlot();
        }
        m_decodeWorkers[request] = worker;
        m_decodes[static_cast<std::size_t>(worker)].sent += loadPerSlot();
        return worker;
    }

    void onReported(bool prefill, std::size_t index) override { (prefill ? m_prefills : m_decodes)[index].reportedLoad = 0; }
    double loadPerSlot() const { return 1.0 / m_host.setting().engine.slots; }

    void addPrefillLoad(const placement_attempt &value, int sign)
    {
        const auto found = m_prefillWorkers.find(value.request);
        if (found == m_prefillWorkers.end()) {
            return;
        }
        const auto &model = m_host.setting().engine;
        m_prefills[static_cast<std::size_t>(found->second)].sent +=
            sign * m_host.requestAt(value.request).promptTokens / static_cast<double>(model.prefillTokensPerSecond);
        if (sign < 0) {
            m_prefillWorkers.erase(found);
        }
    }

    std::map<std::size_t, std::int32_t> m_prefillWorkers;
    std::map<std::size_t, std::int32_t> m_decodeWorkers;
};

// Every VM samples a few workers and adds the work that it sent since the report to their reported load.
class sampling_router final : public baseline
{
public:
    using baseline::baseline;

private:
    static constexpr int sampleCount = 3;

    std::int32_t choosePrefill(const placement_attempt &value) override
    {
        const auto worker = sampleWorkers(m_prefills, m_sentPrefill, value.vm);
        m_sentPrefill[{value.vm, worker}] += m_host.requestAt(value.request).promptTokens / static_cast<double>(m_host.setting().engine.prefillTokensPerSecond);
        return worker;
    }

    std::int32_t chooseDecode(std::size_t, std::int32_t vm) override
    {
        const auto worker = sampleWorkers(m_decodes, m_sentDecode, vm);
        m_sentDecode[{vm, worker}] += 1.0 / m_host.setting().engine.slots;
        return worker;
    }

    using sent_load = std::map<std::pair<std::int32_t, std::int32_t>, double>;

    std::int32_t sampleWorkers(const std::vector<worker_view> &views, const sent_load &sent, std::int32_t vm)
    {
        std::int32_t best = -1;
        double bestLoad = 0;
        for (int i = 0; i < sampleCount; ++i) {
            const auto index = randomWorker(views);
            const auto ownLoad = sent.find({vm, index});
            const double unreachable = views[static_cast<std::size_t>(index)].reachable ? 0 : 1e6;
            const double load = views[static_cast<std::size_t>(index)].load() + (ownLoad == sent.end() ? 0 : ownLoad->second) + unreachable;
            if (best < 0 || load < bestLoad) {
                best = index;
                bestLoad = load;
            }
        }
        return best;
    }

    void onReported(bool prefill, std::size_t index) override
    {
        auto &sent = prefill ? m_sentPrefill : m_sentDecode;
        std::erase_if(sent, [&](const auto &entry) { return entry.first.second == static_cast<std::int32_t>(index); });
    }

    sent_load m_sentPrefill;
    sent_load m_sentDecode;
};

} // namespace

std::vector<std::string> routerNames()
{
    return {"placer", "random", "round_robin", "shortest_queue", "prefill_first", "sampling"};
}

std::unique_ptr<router> makeRouter(const std::string &name, router_host &host, std::uint64_t seed)
{
    if (name == "placer") {
        return std::make_unique<scheduler_router>(host);
    }
    if (name == "random") {
        return std::make_unique<random_router>(host, seed);
    }
    if (name == "round_robin") {
        return std::make_unique<round_robin_router>(host, seed);
    }
    if (name == "shortest_queue") {
        return std::make_unique<shortest_queue_router>(host, seed);
    }
    if (name == "prefill_first") {
        return std::make_unique<prefill_first_router>(host, seed);
    }
    if (name == "sampling") {
        return std::make_unique<sampling_router>(host, seed);
    }
    return nullptr;
}

std::string prefillName(std::int32_t index)
{
    return "prefill-" + std::to_string(index);
}

std::string decodeName(std::int32_t index)
{
    return "decode-" + std::to_string(index);
}

request_label labelOf(const request &r, std::size_t index)
{
    return {{vm_name{"vm-" + std::to_string(r.vm)}, 1}, index};
}

} // namespace plantainpoint::bench
