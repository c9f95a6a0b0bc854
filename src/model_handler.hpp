// Handles completions from placement to the last token.
#pragma once

#include "core_components.hpp"
#include "request_finalizer.hpp"

namespace plantainpoint {

class model_handler
{
public:
    model_handler(core_components &components, request_finalizer &finalizer);

    // Requests a placement. The request must be admitted, with its model fields set.
    void start(request &entry);
    // Ends the current attempt: cancels it at both workers and releases its placement.
    void giveUp(request &entry);

    void onPlacement(const placement &message);
    void onRefusal(const placement_refusal &message);
    void onPrefillDone(prefill_done &&message);
    // Runs in constant time and moves the text.
    void onToken(decoded_token &&message);
    void onDecodeDone(decode_done &&message);
    // The failed attempt must belong to the request.
    void onFailed(request &entry, const attempt_failed &message);
    void onDeadline(request &entry);
    void onPlacementRetry(request &entry, std::uint32_t attempt);

    // Places queued requests again under labels of the new incarnation, since endpoint monitors cancel the attempts of a dropped incarnation.
    void onNewIncarnation();
    // Reports the open attempts to the new scheduler of the pool and repeats the placement requests of the queued ones.
    void onSchedulerChanged(const pool_id &pool);

private:
    request *findAttempt(const request_label &label, std::uint32_t attempt, request_stage stage);
    void place(request &entry);
    void sendPlaceRequest(request &entry);
    // Requests another placement, or fails the request. The endpoint at fault is passed in failed, if there is one.
    void retryPlacement(request &entry, std::optional<endpoint_name> failed, std::string detail);
    bool mayRetryPlacement(const request &entry);
    // Gives the request a label of the current incarnation if it has an older one.
    void ensureCurrentLabel(request &entry);
    void releasePlacement(request &entry, std::optional<endpoint_name> failed);
    void cancelWorkers(const request &entry);
    void dispatchPrefill(request &entry, const endpoint &worker);
    void dispatchDecode(request &entry, const endpoint &source, const endpoint &worker, std::string kvId);
    void reportProgress(const request &entry, placement_stage stage);
    void startDecode(request &entry);
    void deliver(request &entry, std::string &&text);
    void deliverBuffered(request &entry);
    // Answers the request once every token up to the end has been delivered.
    void finishIfComplete(request &entry);

    core_components &m_components;
    request_finalizer &m_finalizer;
};

} // namespace plantainpoint
