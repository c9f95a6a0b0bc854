// Interface of the routers, which decide where a request runs: the real scheduler and the baselines.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "events.hpp"
#include "plantainpoint/messages.hpp"
#include "plantainpoint/peer.hpp"
#include "scenario.hpp"
#include "workload.hpp"

namespace plantainpoint::bench {

// An attempt of a request for which its VM requests a placement decision.
struct placement_attempt {
    std::size_t request = 0;
    std::uint32_t attempt = 0;
    std::int32_t vm = 0;
    double waited = 0; // Seconds.
    double timeToDeadline = 0; // Seconds.
    std::int32_t resumeFrom = 0;
    std::vector<std::string> avoid;
};

// The decision of a router. Prefill and decode workers are numbered separately from 0.
struct routing_decision {
    std::size_t request = 0;
    std::uint32_t attempt = 0;
    std::optional<std::int32_t> prefill; // Empty if the request is refused.
    std::optional<std::int32_t> decode; // Empty if the decode worker is chosen after the prefill.
};

// The interface of the simulation to the routers.
class router_host
{
public:
    virtual ~router_host() = default;
    virtual event_loop &loop() = 0;
    virtual const scenario &setting() const = 0;
    virtual const request &requestAt(std::size_t index) const = 0;
    // Returns the open attempts of the VM, from which a successor of the scheduler restores its ledger.
    virtual std::vector<open_attempt> openAttempts(std::int32_t vm) const = 0;
    virtual bool vmAlive(std::int32_t vm) const = 0;
    // Delivers a decision to the VM at once. The router has already added the network delay.
    virtual void decide(const routing_decision &value) = 0;
};

class router
{
public:
    virtual ~router() = default;

    virtual void place(const placement_attempt &value) = 0;
    // Returns a decode worker for a finished prefill, or another one after a refusal by the engine. The attempt fails if the result is empty.
    virtual std::optional<std::int32_t> decodeFor(std::size_t request, std::int32_t vm) = 0;
    virtual void prefillDone(const placement_attempt &) { }
    virtual void decodeStarted(const placement_attempt &) { }
    virtual void done(const placement_attempt &, std::int32_t outputTokens, const std::string &failed) = 0;
    virtual void report(const load_report &) { }
    virtual void cacheChanged(const cache_events &) { }
    virtual void vmLost(std::int32_t) { }
    // Called when the VM has received the decision.
    virtual void decisionReceived(std::size_t, std::uint32_t) { }
    // Returns the CPU seconds per decision, sorted, or nothing if the router does not measure them.
    virtual std::vector<double> decisionSeconds() { return {}; }
    // Returns the same for messages that led to no decision, such as load reports, progress and cache events.
    virtual std::vector<double> messageSeconds() { return {}; }
};

// Returns null for an unknown name.
std::unique_ptr<router> makeRouter(const std::string &name, router_host &host, std::uint64_t seed);

// Returns the names that makeRouter accepts, the scheduler first.
std::vector<std::string> routerNames();

std::string prefillName(std::int32_t index);
std::string decodeName(std::int32_t index);
request_label labelOf(const request &r, std::size_t index);

} // namespace plantainpoint::bench
