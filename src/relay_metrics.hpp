// Counters and latencies of a relay VM.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "core_metrics.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

struct relay_metrics {
    std::uint64_t received = 0;
    std::map<std::string, std::uint64_t, std::less<>> results; // Counts by outcome.
    std::map<failure, std::uint64_t> failures; // Failures that this VM itself answered.
    std::uint64_t dispatches = 0;
    std::uint64_t prefills = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumes = 0;
    std::uint64_t retriesDenied = 0; // Retries that the used-up budget denied.
    std::uint64_t notRun = 0; // Refusals by endpoints.
    std::uint64_t heartbeatsSent = 0;
    std::uint64_t heartbeatsReceived = 0;
    std::uint64_t asks = 0; // Asks for a place that were sent to the hub.
    std::uint64_t asksUnanswered = 0; // Those that the hub did not answer in time.
    std::uint64_t asksAnswered = 0; // Asks of other VMs.
    std::uint64_t recordAsks = 0; // Asks to other VMs to keep records of streams.
    std::uint64_t recordAsksAnswered = 0; // Those of other VMs.
    std::uint64_t originAsks = 0; // Asks to other VMs where a stream began.
    std::uint64_t endpointCrashes = 0; // Endpoints that ended while they were answering, as seen by this VM.
    std::uint64_t unmarkedAnswers = 0; // Answers whose end nothing but the end of their connection marked.
    std::uint64_t unmarkedEndsRefuted = 0; // Those of which a part was missing: the endpoint had ended, or another one had the rest.
    std::uint64_t unmarkedEndsProved = 0; // Streams to which another endpoint had nothing to add.
    std::uint64_t unmarkedEndsUnproved = 0; // Streams that were broken off because no other endpoint could tell.
    std::uint64_t proxiedDispatches = 0; // Dispatches through another VM.
    std::map<std::string, std::uint64_t, std::less<>> choices; // Places that this VM chose, by what it knew of the load.
    std::uint64_t unreadableLoadReports = 0; // Answers whose figures of the endpoint's load made no sense.
    std::uint64_t pauses = 0; // Pauses that endpoints asked this VM for.
    std::uint64_t limitWaits = 0; // Waits of requests for the limits of their accounts.
    std::uint64_t evacuationsIgnored = 0; // Records of evacuations that were ignored because too many data centres have one.
    std::uint64_t homeRefusals = 0; // Requests whose service has no endpoint in their homes.
    std::uint64_t coldStatements = 0; // Answers that stated a longer cold time than was known.
    std::uint64_t coldUnknown = 0; // Announcements of endpoints that did not state, or not readably, how long they stay cold.
    std::uint64_t coldUnreadable = 0; // Endpoints that counted as cold as the statement in an answer could not be read.
    latency_summary plainAnswer;
    latency_summary firstEvent;
    latency_summary placementWait; // Time that requests wait for a place.

    nlohmann::json toJson() const;
};

} // namespace plantainpoint
