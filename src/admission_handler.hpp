// Decides whether a caller's request is accepted, with checks in a fixed order.
#pragma once

#include <deque>
#include <map>

#include "booking_handler.hpp"
#include "core_components.hpp"
#include "lookup_handler.hpp"
#include "model_handler.hpp"
#include "request_finalizer.hpp"

namespace plantainpoint {

class admission_handler
{
public:
    admission_handler(core_components &components, request_finalizer &finalizer, model_handler &model, lookup_handler &lookup, booking_handler &booking);

    void onRequest(caller_request &&call);
    // Retries the waiting requests of accounts whose capacity has changed.
    void onSharesChanged();
    void onShareWaitTimeout(request &entry);
    // Removes the request from the queue for capacity.
    void stopWaiting(const request &entry);
    std::size_t waiting() const;

private:
    // The checks return failure::None if the request passes.
    failure authenticate(request &entry, const route_match &match) const;
    failure checkLease(const request &entry) const;
    failure checkRoute(request &entry, const route_match &match) const;
    failure checkModel(request &entry) const;
    failure checkAll(request &entry) const;
    // Admits or refuses the request, or queues it until the account has capacity.
    void admitOrWait(request &entry);
    void start(request &entry);

    core_components &m_components;
    request_finalizer &m_finalizer;
    model_handler &m_model;
    lookup_handler &m_lookup;
    booking_handler &m_booking;
    std::map<account_name, std::deque<std::uint64_t>> m_waiting; // The sequence numbers of the waiting requests, oldest first.
};

} // namespace plantainpoint
