// who decides where a request runs: the real scheduler or a baseline
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

// an attempt of a request, as its VM sees it
struct ask {
    std::size_t request = 0;
    std::uint32_t attempt = 0;
    std::int32_t vm = 0;
    double waited = 0; // seconds
    double timeToDeadline = 0;
    std::int32_t resumeFrom = 0;
    std::vector<std::string> avoid;
};

// what a router decides; the worker indices count from 0 in their kind
struct verdict {
    std::size_t request = 0;
    std::uint32_t attempt = 0;
    std::optional<std::int32_t> prefill; // empty: refused
    std::optional<std::int32_t> decode; // empty: chosen after the prefill
};

// the part of the simulation that routers see
class router_host
{
public:
    virtual ~router_host() = default;
    virtual event_loop &loop() = 0;
    virtual const scenario &setting() const = 0;
    virtual const request &requestAt(std::size_t index) const = 0;
    // attempts that the VM has open, for a successor of the scheduler
    virtual std::vector<open_attempt> openAttempts(std::int32_t vm) const = 0;
    virtual bool vmAlive(std::int32_t vm) const = 0;
    // delivers a decision to the VM; the router has waited for the network
    virtual void decide(const verdict &value) = 0;
};

class router
{
public:
    virtual ~router() = default;

    virtual void place(const ask &value) = 0;
    // decode worker for a finished prefill, or after a refusal by the engine; empty: the attempt fails
    virtual std::optional<std::int32_t> decodeFor(std::size_t request, std::int32_t vm) = 0;
    virtual void prefillDone(const ask &) { }
    virtual void decodeStarted(const ask &) { }
    virtual void done(const ask &, std::int32_t outputTokens, const std::string &failed) = 0;
    virtual void report(const load_report &) { }
    virtual void cacheChanged(const cache_events &) { }
    virtual void vmLost(std::int32_t) { }
    // the VM has received the decision
    virtual void answered(std::size_t, std::uint32_t) { }
    // seconds of CPU per decision, sorted; empty when not measured
    virtual std::vector<double> decisionSeconds() { return {}; }
    // the same for messages that led to no decision: load reports, progress, cache events
    virtual std::vector<double> messageSeconds() { return {}; }
};

// empty for an unknown name
std::unique_ptr<router> makeRouter(const std::string &name, router_host &host, std::uint64_t seed);

// names that makeRouter knows, the scheduler first
std::vector<std::string> routerNames();

std::string prefillName(std::int32_t index);
std::string decodeName(std::int32_t index);
request_label labelOf(const request &r, std::size_t index);

} // namespace plantainpoint::bench
