// Holds the open requests of this VM's callers and their attempts.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/config.hpp"
#include "plantainpoint/messages.hpp"
#include "plantainpoint/records.hpp"
#include "request_machine.hpp"

namespace plantainpoint {

// A single dispatch to a plain service.
struct plain_attempt {
    std::uint32_t number = 0;
    endpoint_name endpoint;
    time_point startedAt{};
};

// The state of a request that only the model handler uses.
struct model_progress {
    pool_id pool;
    std::int32_t promptTokens = 0;
    std::int32_t maxTokens = 0;
    urgency kind = urgency::Interactive;
    std::chrono::milliseconds firstTokenTarget{};
    std::chrono::milliseconds tokenIntervalTarget{};
    std::uint32_t attempt = 0; // The number of the current placement, whose prefill and decode share the label.
    std::uint32_t placements = 0;
    std::uint32_t placementRetries = 0; // How often the current place_request was repeated.
    endpoint_name prefill; // Empty while the request is queued.
    endpoint_name decode;
    std::string prefillAddress; // Kept for cancels after the endpoint was removed from the configuration.
    std::string decodeAddress;
    bool decodeStarted = false; // Whether a token of the current attempt has arrived.
    std::int32_t nextPosition = 0; // Every token before this position was sent to the caller.
    std::map<std::int32_t, std::string> bufferedTokens; // Tokens that arrived before their predecessors, by position.
    std::optional<decode_done> decodeEnd; // Set when the end of the stream has arrived.
    time_point firstTokenAt{};
    std::vector<endpoint_name> avoid;
    std::vector<std::uint64_t> prefix;
};

struct request {
    request_label label;
    caller_request call;
    bool callerWaits = true;
    time_point arrivedAt{};
    time_point deadline{};
    route_kind kind = route_kind::Lookup;
    route_access access = route_access::Keyed;
    service_name service;
    account_name account; // Empty on open routes if the caller sent no key.
    request_machine machine;
    std::uint32_t nextAttempt = 0; // The scheduler treats number 0 as a first attempt.
    std::int32_t dispatches = 0;
    std::vector<plain_attempt> attempts; // The attempts that are still open.
    std::vector<endpoint_name> tried;
    std::optional<model_progress> model;
    std::optional<claim_key> claim;

    // Returns the outcome that is certain if the request is not dispatched again.
    outcome outcomeIfAbandoned() const { return dispatches == 0 ? outcome::NotRun : outcome::Unknown; }
};

class request_table
{
public:
    // Adds a request under a new label of this incarnation.
    request &add(const incarnation_id &self, caller_request call, time_point now);
    // Gives the request a new label, since endpoint monitors cancel attempts under a label of a dropped incarnation.
    void relabel(request &entry, const incarnation_id &self);
    // Removes the request, which invalidates references to it.
    void remove(std::uint64_t sequence);

    request *find(std::uint64_t sequence);
    const request *find(std::uint64_t sequence) const;
    // Returns null unless the full label matches.
    request *find(const request_label &label);
    const request *find(const request_label &label) const;
    request *findCaller(caller_id caller);
    // Ends the link of the request to its caller, to whom nothing more is sent.
    void detachCaller(request &entry);

    std::size_t size() const { return m_requests.size(); }
    // Returns the sequence numbers of all open requests, oldest first.
    std::vector<std::uint64_t> sequences() const;

private:
    std::unordered_map<std::uint64_t, std::unique_ptr<request>> m_requests;
    std::unordered_map<caller_id, std::uint64_t> m_callers;
    std::uint64_t m_lastSequence = 0;
};

} // namespace plantainpoint
