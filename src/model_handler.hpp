// carries a completion from its placement to its last token
#pragma once

#include "core_components.hpp"
#include "request_finalizer.hpp"

namespace plantainpoint {

class model_handler
{
public:
    model_handler(core_components &components, request_finalizer &finalizer);

    // the request has been admitted and its model fields are set
    void start(request &entry);
    // ends the present attempt: cancels it at both workers and releases its place
    void giveUp(request &entry);

    void onPlacement(const placement &message);
    void onRefusal(const placement_refusal &message);
    void onPrefillDone(prefill_done &&message);
    // constant time; moves the text
    void onToken(decoded_token &&message);
    void onDecodeDone(decode_done &&message);
    // the attempt belongs to the request
    void onFailed(request &entry, const attempt_failed &message);
    void onDeadline(request &entry);
    void onPlacementRetry(request &entry, std::uint32_t attempt);

    // attempts under a dropped incarnation are cancelled by the watchers: queued requests get labels of the new one
    void onNewIncarnation();
    // the scheduler of the pool has changed: it learns the open attempts, and is asked again for the queued ones
    void onSchedulerChanged(const pool_id &pool);

private:
    request *findAttempt(const request_label &label, std::uint32_t attempt, request_stage stage);
    void place(request &entry);
    void sendPlaceRequest(request &entry);
    // failed: the endpoint at fault, if any
    void placeAgain(request &entry, std::optional<endpoint_name> failed, std::string detail);
    bool mayPlaceAgain(const request &entry);
    void renew(request &entry);
    void release(request &entry, std::optional<endpoint_name> failed);
    void cancelWorkers(const request &entry);
    void dispatchPrefill(request &entry, const endpoint &worker);
    void dispatchDecode(request &entry, const endpoint &source, const endpoint &worker, std::string kvId);
    void reportProgress(const request &entry, placement_stage stage);
    void startDecode(request &entry);
    void deliver(request &entry, std::string &&text);
    void deliverEarly(request &entry);
    // answers when every token up to the end has been delivered
    void finishIfWhole(request &entry);

    core_components &m_components;
    request_finalizer &m_finalizer;
};

} // namespace plantainpoint
