#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "router.hpp"
#include "scheduler_router.hpp"

namespace plantainpoint::bench {

namespace {

// load of a worker as a baseline sees it
struct worker_view {
    double reported = 0; // prefill: queued seconds; decode: part of the slots in use
    double sent = 0; // own work since then, or still open
    bool reachable = true;

    double load() const { return reported + sent; }
};

// places at once with what its VM knows; engines queue or refuse
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

    void place(const ask &value) override
    {
        const auto prefill = choosePrefill(value);
        const auto decode = decodesAfterwards() ? std::nullopt : std::optional{chooseDecode(value.request, value.vm)};
        m_host.decide({value.request, value.attempt, prefill, decode});
    }

    std::optional<std::int32_t> decodeFor(std::size_t request, std::int32_t vm) override { return chooseDecode(request, vm); }
    void done(const ask &, std::int32_t, const std::string &) override { }

    void report(const load_report &value) override
    {
        const auto index = static_cast<std::size_t>(std::stoi(value.endpoint.value.substr(value.endpoint.value.find('-') + 1)));
        const bool prefill = value.endpoint.value == prefillName(static_cast<std::int32_t>(index));
        auto &view = prefill ? m_prefills[index] : m_decodes[index];
        view.reachable = value.reachable;
        if (value.reachable) {
            view.reported = prefill ? inSeconds(value.queueTime) : value.slotsUsed / static_cast<double>(std::max(1, value.slotsTotal));
        }
        onReported(prefill, index);
    }

protected:
    virtual bool decodesAfterwards() const { return false; }
    virtual std::int32_t choosePrefill(const ask &value) = 0;
    virtual std::int32_t chooseDecode(std::size_t request, std::int32_t vm) = 0;
    virtual void onReported(bool, std::size_t) { }

    std::int32_t any(const std::vector<worker_view> &views) { return static_cast<std::int32_t>(m_random() % views.size()); }

    static std::int32_t least(const std::vector<worker_view> &views, std::size_t start)
    {
        std::size_t best = start % views.size();
        for (std::size_t i = 0; i < views.size(); ++i) {
            const auto at = (start + i) % views.size();
            const bool better = std::pair{!views[at].reachable, views[at].load()} < std::pair{!views[best].reachable, views[best].load()};
            best = better ? at : best;
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
    std::int32_t choosePrefill(const ask &) override { return any(m_prefills); }
    std::int32_t chooseDecode(std::size_t, std::int32_t) override { return any(m_decodes); }
};

class round_robin_router final : public baseline
{
public:
    using baseline::baseline;

private:
    // every VM has a turn of its own
    std::int32_t choosePrefill(const ask &value) override { return next(m_prefillTurns, value.vm, m_prefills.size()); }
    std::int32_t chooseDecode(std::size_t, std::int32_t vm) override { return next(m_decodeTurns, vm, m_decodes.size()); }

    static std::int32_t next(std::vector<std::size_t> &turns, std::int32_t vm, std::size_t count)
    {
        const auto index = static_cast<std::size_t>(vm);
        while (turns.size() <= index) {
            turns.push_back(turns.size());
        }
        return static_cast<std::int32_t>(turns[index]++ % count);
    }

    std::vector<std::size_t> m_prefillTurns;
    std::vector<std::size_t> m_decodeTurns;
};

class shortest_queue_router final : public baseline
{
public:
    using baseline::baseline;

private:
    std::int32_t choosePrefill(const ask &) override { return least(m_prefills, m_random()); }
    std::int32_t chooseDecode(std::size_t, std::int32_t) override { return least(m_decodes, m_random()); }
};

// one place that knows all open work chooses the prefill worker, and the decode worker when the prefill is done
class prefill_first_router final : public baseline
{
public:
    using baseline::baseline;

    void prefillDone(const ask &value) override { addPrefill(value, -1); }
    void done(const ask &value, std::int32_t, const std::string &) override
    {
        addPrefill(value, -1);
        const auto found = m_decodeOf.find(value.request);
        if (found != m_decodeOf.end()) {
            m_decodes[static_cast<std::size_t>(found->second)].sent -= slotShare();
            m_decodeOf.erase(found);
        }
    }

private:
    bool decodesAfterwards() const override { return true; }

    std::int32_t choosePrefill(const ask &value) override
    {
        const auto worker = least(m_prefills, m_random());
        m_prefillOf[value.request] = worker;
        addPrefill(value, 1);
        return worker;
    }

    std::int32_t chooseDecode(std::size_t request, std::int32_t) override
    {
        const auto worker = least(m_decodes, m_random());
        if (const auto before = m_decodeOf.find(request); before != m_decodeOf.end()) {
            m_decodes[static_cast<std::size_t>(before->second)].sent -= slotShare();
        }
        m_decodeOf[request] = worker;
        m_decodes[static_cast<std::size_t>(worker)].sent += slotShare();
        return worker;
    }

    void onReported(bool prefill, std::size_t index) override { (prefill ? m_prefills : m_decodes)[index].reported = 0; }
    double slotShare() const { return 1.0 / m_host.setting().engine.slots; }

    void addPrefill(const ask &value, int sign)
    {
        const auto found = m_prefillOf.find(value.request);
        if (found == m_prefillOf.end()) {
            return;
        }
        const auto &model = m_host.setting().engine;
        m_prefills[static_cast<std::size_t>(found->second)].sent +=
            sign * m_host.requestAt(value.request).promptTokens / static_cast<double>(model.prefillTokensPerSecond);
        if (sign < 0) {
            m_prefillOf.erase(found);
        }
    }

    std::map<std::size_t, std::int32_t> m_prefillOf;
    std::map<std::size_t, std::int32_t> m_decodeOf;
};

// every VM samples a few workers and corrects their reported load by its own sends since the report
class sampling_router final : public baseline
{
public:
    using baseline::baseline;

private:
    static constexpr int samples = 3;

    std::int32_t choosePrefill(const ask &value) override
    {
        const auto worker = sample(m_prefills, m_prefillSent, value.vm);
        m_prefillSent[{value.vm, worker}] += m_host.requestAt(value.request).promptTokens / static_cast<double>(m_host.setting().engine.prefillTokensPerSecond);
        return worker;
    }

    std::int32_t chooseDecode(std::size_t, std::int32_t vm) override
    {
        const auto worker = sample(m_decodes, m_decodeSent, vm);
        m_decodeSent[{vm, worker}] += 1.0 / m_host.setting().engine.slots;
        return worker;
    }

    using sent_work = std::map<std::pair<std::int32_t, std::int32_t>, double>;

    std::int32_t sample(const std::vector<worker_view> &views, const sent_work &sent, std::int32_t vm)
    {
        std::int32_t best = -1;
        double bestLoad = 0;
        for (int i = 0; i < samples; ++i) {
            const auto at = any(views);
            const auto own = sent.find({vm, at});
            const double unreachable = views[static_cast<std::size_t>(at)].reachable ? 0 : 1e6;
            const double load = views[static_cast<std::size_t>(at)].load() + (own == sent.end() ? 0 : own->second) + unreachable;
            if (best < 0 || load < bestLoad) {
                best = at;
                bestLoad = load;
            }
        }
        return best;
    }

    void onReported(bool prefill, std::size_t index) override
    {
        auto &sent = prefill ? m_prefillSent : m_decodeSent;
        std::erase_if(sent, [&](const auto &entry) { return entry.first.second == static_cast<std::int32_t>(index); });
    }

    sent_work m_prefillSent;
    sent_work m_decodeSent;
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
