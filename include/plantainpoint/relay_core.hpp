// decision core of a relay VM: forwards opaque requests to the endpoints of a directory
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

struct relay_settings {
    incarnation_id self;
    data_centre_name dataCentre;
    std::string peerAddress; // IP:PORT for heartbeats and state transfer
    double retryRatio = 0.2; // retries of the whole fleet per request of a service
    double retrySlack = 50; // further retries of the whole fleet within the window that the operator watches
    double limitTolerance = 0; // units beyond its burst that an operator lets an account have; admitted in full by no VM alone
    double prefillTokensPerMs = 55; // of a prefill endpoint
    double decodePrefillTokensPerMs = 27; // of a decode endpoint that reads a prompt itself
    double memoryFill = 0.95; // of the engine memory that placement uses
    double outputHeld = 0.6; // of the expected output that counts as held while a request runs
    duration directPrefillLimit = std::chrono::milliseconds{350}; // expected first event up to which a decode endpoint reads the prompt itself
    double prefillShare = 0; // of the endpoints of a model service; 0: roles are left as they are
    duration orderLease = std::chrono::seconds{3}; // two VMs that order an endpoint within it contradict each other
    // requests are still taken for so long after a shutdown request: until the balancer has noticed, and so early that a stream can end
    duration drainTime = std::chrono::milliseconds{2500};
};

// decides for one VM. not thread-safe; performs no I/O.
class relay_core
{
public:
    relay_core(relay_settings settings, const clock_source &clock);
    ~relay_core();
    relay_core(const relay_core &) = delete;
    relay_core &operator=(const relay_core &) = delete;

    void handle(relay_input message);

    // runs what is due
    void tick();

    // commands since the last call, in order
    std::vector<relay_command> take();

    // tick() has to run by then
    time_point nextTick() const;

    // configuration and endpoints are known, and no shutdown was requested
    bool ready() const;

    std::uint64_t configVersion() const;
    // bounds of what callers may send, from the configuration
    caller_bounds bounds() const;

    nlohmann::json status() const;
    nlohmann::json metrics() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace plantainpoint
