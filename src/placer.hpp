// Places requests at endpoints, and keeps those that have to wait in one order. A hub places the requests of its data centre, and a VM that
// hears no hub places its own.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "endpoint_directory.hpp"
#include "fleet_view.hpp"
#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"
#include "relay_placement.hpp"

namespace plantainpoint {

// The request that a placement is for, at this VM or at another one.
struct place_owner {
    vm_name vm; // Empty for a request of this VM.
    std::uint64_t incarnation = 0;
    std::string address;
    std::uint64_t number = 0; // The caller, or the number that the other VM has given to its ask.
    std::uint64_t heartbeat = 0; // The other VM's last heartbeat before the ask.

    bool isLocal() const { return vm.empty(); }
    bool operator==(const place_owner &other) const { return vm == other.vm && incarnation == other.incarnation && number == other.number; }
};

struct placement_request {
    place_owner owner;
    service_name service;
    std::optional<engine_profile> engine; // Set for a model request.
    std::optional<token_count> tokens;
    bool mayPrefill = false; // A separate prefill is allowed.
    bool begun = false; // The caller has a part of its answer.
    std::int32_t priority = 5; // Zero is the most urgent priority.
    time_point arrivedAt{};
    duration objective{};
    time_point latest{}; // The caller leaves at this time.
    duration maxEventGap{};
    duration holdTime{}; // Time for which a request holds its place, as its VM has seen it.
    std::set<endpoint_name> excluded;
    bool bound = false; // The excluded endpoints are outside the homes of the request.
    std::optional<software_version> version; // Version that the serving endpoint has to have.
    std::uint64_t seed = 0;
};

// Why a request cannot wait for a place.
struct wait_refusal {
    duration expected{}; // Expected wait.
    duration longest{}; // Longest wait that leaves time for the answer.
    std::int64_t places = 0; // Places of the service's endpoints that serve requests.
    std::int64_t taken = 0;
    std::int64_t waiting = 0; // Requests that wait for them, here and elsewhere.

    // Returns the figures for a log line.
    std::string text() const;
};

class placer
{
public:
    // The arguments passed by reference have to outlive the placer.
    placer(endpoint_directory &endpoints, const fleet_view &fleet, const engine_speeds &speeds, const data_centre_name &dataCentre);

    // Returns the endpoints for a request, or nothing if none has room.
    std::optional<model_placement> choose(const placement_request &request, time_point now) const;

    // Returns whether requests wait for permits of the service's endpoints. They come before a new one.
    bool waitsForPermits(const service_name &service, time_point now) const;

    // Returns why if the wait for a place is too long for the request, and queues the request otherwise.
    std::optional<wait_refusal> enqueueOrRefuse(placement_request request, time_point now);
    void remove(const place_owner &owner);

    // Takes a place for a request and records the work at the endpoints. Returns false if the request has to wait on.
    using place_sink = std::function<bool(const placement_request &, const model_placement &)>;
    void placeWaiting(time_point now, const place_sink &apply);

    // Records how long a request took from its place to its first event, without the time to read the prompt.
    void recordStartDelay(duration delay);

    std::size_t waiting() const;
    std::size_t waitingLocally() const;
    // Returns the waiting requests of this VM.
    std::vector<waiting_count> waitingByService() const;

private:
    std::optional<model_placement> chooseAmong(const placement_request &request, bool evacuatedToo, time_point now) const;
    bool missesObjective(const placement_request &request, time_point now) const;
    // Returns plain endpoints, and decode endpoints for model requests without a token count.
    std::vector<endpoint_entry *> plainCandidates(const service_name &service, time_point now) const;
    duration expectedWait(const placement_request &request, time_point now) const;
    wait_refusal refusalOf(const placement_request &request, duration expected, duration longest, time_point now) const;
    std::int64_t waitingFor(const service_name &service) const;

    endpoint_directory &m_endpoints;
    const fleet_view &m_fleet;
    const engine_speeds &m_speeds;
    const data_centre_name &m_dataCentre;
    std::map<service_name, std::deque<placement_request>> m_waiting;
    duration m_meanStartDelay = std::chrono::milliseconds{120};
};

} // namespace plantainpoint
