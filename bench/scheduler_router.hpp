// Router that runs the real scheduler behind network delays and sends it the messages of the VMs.
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

    void place(const placement_attempt &value) override;
    std::optional<std::int32_t> decodeFor(std::size_t, std::int32_t) override { return std::nullopt; }
    void prefillDone(const placement_attempt &value) override;
    void decodeStarted(const placement_attempt &value) override;
    void done(const placement_attempt &value, std::int32_t outputTokens, const std::string &failed) override;
    void report(const load_report &value) override;
    void cacheChanged(const cache_events &value) override;
    void vmLost(std::int32_t vm) override;
    void decisionReceived(std::size_t request, std::uint32_t attempt) override;
    std::vector<double> decisionSeconds() override;
    std::vector<double> messageSeconds() override;

private:
    void startScheduler();
    duration networkDelay() const;
    // Sends a message to the scheduler after the network delay. needsDecision is set if the message requests a placement decision.
    void send(std::function<void(scheduler &)> message, bool needsDecision = false);
    void deliver(const std::function<void(scheduler &)> &message, bool needsDecision = false);
    void scheduleRun();
    void forwardDecision(const placement_decision &decision);
    void startSuccessor();

    router_host &m_host;
    std::unique_ptr<scheduler> m_scheduler;
    std::optional<time_point> m_nextRun;
    std::map<std::pair<std::size_t, std::uint32_t>, std::pair<placement_attempt, time_point>> m_pendingRequests;
    std::vector<double> m_decisionSeconds;
    std::vector<double> m_messageSeconds;
    std::int32_t m_schedulerVm = 0;
    bool m_alive = true;
};

} // namespace plantainpoint::bench
