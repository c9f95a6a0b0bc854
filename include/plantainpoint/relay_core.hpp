// Decision core of a relay VM, which forwards opaque requests to the endpoints of a directory.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

struct relay_settings {
    incarnation_id self;
    data_centre_name dataCentre;
    std::map<data_centre_name, region_name> regions; // Region of each data centre. A data centre without an entry is in no region.
    std::string peerAddress; // IP:PORT for heartbeats, summaries and state transfer.
    std::int64_t capacity = 0; // Thousandths of a processor core. VMs with more take the roles of the fleet first.
    duration directoryInterval = std::chrono::milliseconds{400}; // Pause between two reads of the directory by the VM that reads for the fleet.
    // Changes of the directory have to be known to every VM within this time.
    duration directoryBound = std::chrono::seconds{2};
    duration evacuationBound = std::chrono::seconds{5}; // No request may reach an endpoint so long after the evacuation of its data centre.
    // The operator may evacuate data centres. A VM that was suspended then sends no request until it knows what it has missed.
    bool evacuationsExpected = false;
    double retryRatio = 0.2; // Retries of the whole fleet per request of a service.
    // Further retries of the whole fleet within the window that the operator watches.
    double retrySlack = 50;
    // Units beyond its burst that an operator allows an account. No VM alone admits all of them.
    double limitTolerance = 0;
    double prefillTokensPerMs = 55; // Reading speed of a prefill endpoint.
    double decodePrefillTokensPerMs = 27; // Reading speed of a decode endpoint that reads a prompt itself.
    double memoryFill = 0.95; // Fraction of the engine memory that placement uses.
    // Fraction of the expected output that counts as held while a request runs.
    double heldOutputFraction = 0.6;
    // A decode endpoint reads the prompt itself when its first event is expected within this time.
    duration directPrefillLimit = std::chrono::milliseconds{350};
    // Fraction of a model service's endpoints that get the prefill role. Zero leaves the roles as they are.
    double prefillShare = 0;
    duration orderLease = std::chrono::seconds{3}; // Orders of two VMs to one endpoint within this time contradict each other.
    // Requests are still accepted for this time after a shutdown request. It is long enough for the balancer to notice,
    // and short enough that streams can end.
    duration drainTime = std::chrono::milliseconds{2500};
    duration grace = std::chrono::seconds{8}; // The process is killed so long after a shutdown request.
};

// Answer to another VM that asks for a connection to an endpoint.
struct proxy_admission {
    std::string refusal; // Reason, or empty if the VM may be connected.
    std::string address; // IP:PORT of the endpoint.
    std::vector<std::string> otherAddresses; // Endpoints that tell whether this VM is cut off itself.
    std::vector<std::string> otherProxies; // VMs that may be asked as well.
};

// Decides for one VM. It is not thread-safe and performs no I/O.
class relay_core
{
public:
    relay_core(relay_settings settings, const clock_source &clock);
    ~relay_core();
    relay_core(const relay_core &) = delete;
    relay_core &operator=(const relay_core &) = delete;

    void handle(relay_input message);

    // Runs the actions that are due.
    void tick();

    // Returns the commands since the last call, in order.
    std::vector<relay_command> take();

    // Returns the time by which tick() has to run.
    time_point nextTick() const;

    // Returns true when the configuration and the endpoints are known and no shutdown was requested.
    bool ready() const;

    // Returns the time by which the process has to end, or nothing if no shutdown was requested.
    std::optional<time_point> endsAt() const;

    // Returns whether a dispatched attempt is still to be sent: the endpoint may have left, or started again, while its connection was being established.
    bool maySend(attempt_number attempt) const;

    // Decides whether another VM may be connected with the run of an endpoint.
    proxy_admission admitProxied(const endpoint_name &endpoint, std::int64_t startedAt) const;

    // Returns the number of requests without a final answer.
    std::size_t openRequests() const;

    std::uint64_t configVersion() const;
    // Returns the bounds of what callers may send, from the configuration.
    caller_bounds bounds() const;

    nlohmann::json status() const;
    nlohmann::json metrics() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace plantainpoint
