// Handles bookings, which reach a service at most once. A booking with an Idempotency-Key is dispatched only by the incarnation whose claim is
// first in the log.
#pragma once

#include <map>
#include <string>

#include "core_components.hpp"
#include "plain_dispatch.hpp"
#include "request_finalizer.hpp"

namespace plantainpoint {

class booking_handler
{
public:
    booking_handler(core_components &components, request_finalizer &finalizer, plain_dispatch &dispatch);

    void start(request &entry);
    void onSettled(const settled_append &settled);
    void onResponse(request &entry, plain_response &&message);
    void onFailed(request &entry, const attempt_failed &message);
    void onDeadline(request &entry);
    // Abandons a pending claim. A dispatched booking is left to finish.
    void onCallerDisconnected(request &entry);
    // Refuses the booking unless it has been dispatched.
    void onKeyWithdrawn(request &entry);

    std::size_t openClaims() const { return m_claims.size(); }

private:
    struct pending_claim {
        claim_key key;
        std::uint64_t request = 0; // The sequence number of the request, or 0 if the request was abandoned.
    };

    void claim(request &entry);
    void dispatch(request &entry);
    void answerFromClaim(request &entry, const claim_state &state);
    bool hasPendingClaim(const claim_key &key) const;
    void abandonClaim(const request &entry);
    void recordOutcome(const claim_key &key, outcome result, const plain_response *answer);
    void failBooking(request &entry, outcome result, failure reason, std::string detail);

    core_components &m_components;
    request_finalizer &m_finalizer;
    plain_dispatch &m_dispatch;
    std::map<record_id, pending_claim> m_claims;
};

} // namespace plantainpoint
