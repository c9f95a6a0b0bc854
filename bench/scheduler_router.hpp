// the real scheduler behind network delays, with the messages that VMs send it
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "router.hpp"
#include "scheduler.hpp"

namespace plantainpoint::bench {

class scheduler_router final : public router
{
public:
    explicit scheduler_router(router_host &host);

    void place(const ask &value) override;
    std::optional<std::int32_t> decodeFor(std::size_t, std::int32_t) override { return std::nullopt; }
    void prefillDone(const ask &value) override;
    void decodeStarted(const ask &value) override;
    void done(const ask &value, std::int32_t outputTokens, const std::string &failed) override;
    void report(const load_report &value) override;
    void cacheChanged(const cache_events &value) override;
    void vmLost(std::int32_t vm) override;
    void answered(std::size_t request, std::uint32_t attempt) override;
    std::vector<double> decisionSeconds() override;
    std::vector<double> messageSeconds() override;

private:
    void startScheduler();
    duration network() const;
    // asks: the message asks for a decision
    void send(std::function<void(scheduler &)> message, bool asks = false);
    void deliver(const std::function<void(scheduler &)> &message, bool asks = false);
    void scheduleRun();
    void pass(const placement_decision &answer);
    void succeed();

    router_host &m_host;
    std::unique_ptr<scheduler> m_scheduler;
    std::optional<time_point> m_nextRun;
    std::map<std::pair<std::size_t, std::uint32_t>, std::pair<ask, time_point>> m_unanswered;
    std::vector<double> m_seconds;
    std::vector<double> m_messageSeconds;
    std::int32_t m_schedulerVm = 0;
    bool m_alive = true;
};

} // namespace plantainpoint::bench
