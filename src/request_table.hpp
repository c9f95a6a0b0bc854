// requests of this VM's callers with their attempts
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

// one dispatch to a plain service
struct plain_attempt {
    std::uint32_t number = 0;
    endpoint_name endpoint;
    time_point startedAt{};
};

// the part of a request that only the model path uses
struct model_progress {
    pool_id pool;
    std::int32_t promptTokens = 0;
    std::int32_t maxTokens = 0;
    urgency kind = urgency::Interactive;
    std::chrono::milliseconds firstTokenTarget{};
    std::chrono::milliseconds tokenIntervalTarget{};
    std::uint32_t attempt = 0; // number of the present placement; its prefill and decode share the label
    std::uint32_t placements = 0;
    std::uint32_t repeats = 0; // of the present place_request
    endpoint_name prefill; // empty while queued
    endpoint_name decode;
    std::string prefillAddress; // kept for cancels after the endpoint has left the configuration
    std::string decodeAddress;
    bool decodeStarted = false; // a token of the present attempt has arrived
    std::int32_t nextPosition = 0; // every position below has been answered
    std::map<std::int32_t, std::string> early; // tokens that arrived before their predecessors
    std::optional<decode_done> end; // arrived before the last token
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
    account_name account; // empty on open routes without a key
    request_machine machine;
    std::uint32_t nextAttempt = 0; // the scheduler takes number 0 for a first attempt
    std::int32_t dispatches = 0;
    std::vector<plain_attempt> attempts; // open ones
    std::vector<endpoint_name> tried;
    std::optional<model_progress> model;
    std::optional<claim_key> claim;

    // what may truthfully be said of the work of this request once it is not dispatched again
    outcome workDone() const { return dispatches == 0 ? outcome::NotRun : outcome::Unknown; }
};

class request_table
{
public:
    // adds a request under a new label of this incarnation
    request &add(const incarnation_id &self, caller_request call, time_point now);
    // gives the request a new label, since attempts under the label of a dropped incarnation are cancelled by the watchers
    void relabel(request &entry, const incarnation_id &self);
    // forgets the request; references to it end
    void remove(std::uint64_t sequence);

    request *find(std::uint64_t sequence);
    const request *find(std::uint64_t sequence) const;
    // empty unless the whole label matches
    request *find(const request_label &label);
    const request *find(const request_label &label) const;
    request *findCaller(caller_id caller);
    void forgetCaller(request &entry);

    std::size_t size() const { return m_requests.size(); }
    // sequence numbers of all open requests, oldest first
    std::vector<std::uint64_t> sequences() const;

private:
    std::unordered_map<std::uint64_t, std::unique_ptr<request>> m_requests;
    std::unordered_map<caller_id, std::uint64_t> m_callers;
    std::uint64_t m_lastSequence = 0;
};

} // namespace plantainpoint
