// decides in a fixed order whether a caller's request is accepted
#pragma once

#include <deque>
#include <map>

#include "booking_path.hpp"
#include "core_components.hpp"
#include "lookup_path.hpp"
#include "model_path.hpp"
#include "request_ending.hpp"

namespace plantainpoint {

class admission_path
{
public:
    admission_path(core_components &components, request_ending &ending, model_path &model, lookup_path &lookup, booking_path &booking);

    void onRequest(caller_request &&call);
    // tries the waiting requests of accounts whose capacity has changed
    void onShares();
    void onShareWait(request &entry);
    // the request leaves the wait for capacity
    void stopWaiting(const request &entry);
    std::size_t waiting() const;

private:
    // None when the request passes
    failure authenticate(request &entry, const route_match &match) const;
    failure checkLease(const request &entry) const;
    failure checkRoute(request &entry, const route_match &match) const;
    failure checkModel(request &entry) const;
    failure checkAll(request &entry) const;
    void takeShare(request &entry);
    void start(request &entry);

    core_components &m_components;
    request_ending &m_ending;
    model_path &m_model;
    lookup_path &m_lookup;
    booking_path &m_booking;
    std::map<account_name, std::deque<std::uint64_t>> m_waiting; // sequence numbers, oldest first
};

} // namespace plantainpoint
