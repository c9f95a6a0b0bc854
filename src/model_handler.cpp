#include "model_handler.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

// A request that failed on this many placements is assumed to cause the failures itself.
constexpr std::uint32_t maxPlacements = 4;
// Messages between VMs are lost only when a connection breaks, so retries may be slow.
constexpr duration initialPlacementRetryDelay = std::chrono::milliseconds(250);
constexpr std::uint32_t maxRetryDelayDoublings = 4;
// The time in which a stream that has started must continue on another worker.
constexpr duration resumeTimeout = std::chrono::seconds(10);
// A prefill that takes this many times its computed duration is considered stalled.
constexpr std::int64_t prefillTimeoutFactor = 5;
constexpr duration minPrefillTimeout = std::chrono::seconds(2);
// The maximum time between tokens of a stream, in token intervals. It includes the transfer of the KV cache before the first token.
constexpr std::int64_t streamTimeoutIntervals = 60;
constexpr duration minStreamTimeout = std::chrono::seconds(2);
// The maximum number of buffered out-of-order tokens. An engine streams over one connection and has no reason to exceed it.
constexpr std::size_t maxBufferedTokens = 256;
constexpr duration retryAfterOverload = std::chrono::seconds(1);

// Returns false for the codes with which an endpoint rejects an attempt without being at fault itself.
bool isEndpointFault(const std::string &code)
{
    return code != "queue_full" && code != "memory_full" && code != "cancelled" && code != "kv_evicted";
}

} // namespace

model_handler::model_handler(core_components &components, request_finalizer &finalizer)
    : m_components(components)
    , m_finalizer(finalizer)
{
}

void model_handler::start(request &entry)
{
    if (entry.machine.apply(request_event::placement_requested{})) {
        place(entry);
    }
}

void model_handler::place(request &entry)
{
    auto &model = *entry.model;
    model.attempt = entry.nextAttempt++;
    ++model.placements;
    model.placementRetries = 0;
    model.prefill = {};
    model.decode = {};
    model.decodeStarted = false;
    model.bufferedTokens.clear();
    model.decodeEnd.reset();
    sendPlaceRequest(entry);
}

void model_handler::sendPlaceRequest(request &entry)
{
    auto &model = *entry.model;
    const auto now = m_components.clock.now();
    place_request message{entry.label, model.attempt, entry.account, model.pool, model.promptTokens, model.maxTokens, model.nextPosition, model.kind};
    message.waited = now - entry.arrivedAt;
    message.timeToDeadline = entry.deadline - now;
    message.prefix = model.prefix;
    message.avoid = model.avoid;
    m_components.sendToScheduler(model.pool, message);
    const auto delay = initialPlacementRetryDelay * (1U << std::min(model.placementRetries++, maxRetryDelayDoublings));
    m_components.timers.schedule(timer{now + delay, timer_kind::PlacementRetry, entry.label.sequence, model.attempt});
}

void model_handler::onPlacementRetry(request &entry, std::uint32_t attempt)
{
    if (entry.machine.stage() == request_stage::Queued && entry.model->attempt == attempt) {
        sendPlaceRequest(entry);
    }
}

request *model_handler::findAttempt(const request_label &label, std::uint32_t attempt, request_stage stage)
{
    auto *const entry = m_components.requests.find(label);
    if (entry == nullptr || !entry->model || entry->model->attempt != attempt || entry->machine.stage() != stage) {
        m_components.metrics.droppedMessage();
        return nullptr;
    }
    return entry;
}

void model_handler::onPlacement(const placement &message)
{
    auto *const entry = m_components.requests.find(message.label);
    const bool isCurrent = entry != nullptr && entry->model && entry->model->attempt == message.attempt;
    if (!isCurrent) {
        // The caller disconnected while the placement was in transit. The pool is looked up by the endpoint.
        if (const auto *const worker = m_components.log.config().findEndpoint(message.decode)) {
            const pool_id pool{worker->model, worker->region};
            m_components.sendToScheduler(pool, placement_done{message.label, message.attempt, pool, 0, std::nullopt});
        }
        return;
    }
    if (entry->machine.stage() != request_stage::Queued) {
        return;
    }
    auto &model = *entry->model;
    model.prefill = message.prefill;
    model.decode = message.decode;
    const auto *const worker = m_components.log.config().findEndpoint(message.prefill);
    const auto *const target = m_components.log.config().findEndpoint(message.decode);
    if (worker == nullptr || target == nullptr) {
        // The configuration of the scheduler is older or newer than the one of this VM.
        releasePlacement(*entry, std::nullopt);
        if (mayRetryPlacement(*entry)) {
            place(*entry);
        } else {
            m_finalizer.refuse(*entry, failure::NoEndpoint, "the placement names an endpoint that is not configured", retryAfterOverload);
        }
        return;
    }
    model.prefillAddress = worker->address;
    model.decodeAddress = target->address;
    entry->machine.apply(request_event::placed{});
    m_components.decisions.record(entry->label, "placed on " + message.prefill.value + " and " + message.decode.value);
    dispatchPrefill(*entry, *worker);
}

void model_handler::onRefusal(const placement_refusal &message)
{
    auto *const entry = findAttempt(message.label, message.attempt, request_stage::Queued);
    if (entry == nullptr) {
        return;
    }
    if (entry->model->nextPosition > 0) {
        m_finalizer.fail(*entry, failure::StreamBroken, outcome::Unknown, "no worker has capacity to continue the stream");
        return;
    }
    m_finalizer.refuse(*entry, message.reason, "the scheduler refused the placement", message.retryAfter);
}

void model_handler::dispatchPrefill(request &entry, const endpoint &worker)
{
    const auto &model = *entry.model;
    const std::int64_t tokens = model.promptTokens + model.nextPosition;
    const auto expected = std::chrono::milliseconds(tokens * 1000 / std::max<std::int64_t>(worker.prefillTokensPerSecond, 1));
    dispatch_prefill command{{entry.label, model.attempt}, worker.name, worker.address, model.pool.model, entry.call.completion->prompt};
    command.promptTokens = model.promptTokens;
    command.resumeFrom = model.nextPosition;
    command.kind = model.kind;
    command.timeout = std::max<duration>(minPrefillTimeout, expected * prefillTimeoutFactor);
    ++entry.dispatches;
    m_components.out.push(std::move(command));
}

void model_handler::onPrefillDone(prefill_done &&message)
{
    auto *const entry = findAttempt(message.attempt.request, message.attempt.attempt, request_stage::Prefilling);
    if (entry == nullptr) {
        return;
    }
    const auto &model = *entry->model;
    m_components.metrics.prefillDone(model.promptTokens);
    reportProgress(*entry, placement_stage::PrefillDone);
    const auto *const source = m_components.log.config().findEndpoint(model.prefill);
    const auto *const worker = m_components.log.config().findEndpoint(model.decode);
    if (source == nullptr || worker == nullptr) {
        retryPlacement(*entry, std::nullopt, "a worker of the attempt was removed from the configuration");
        return;
    }
    entry->machine.apply(request_event::prefilled{});
    dispatchDecode(*entry, *source, *worker, std::move(message.kvId));
}

void model_handler::dispatchDecode(request &entry, const endpoint &source, const endpoint &worker, std::string kvId)
{
    const auto &model = *entry.model;
    dispatch_decode command{{entry.label, model.attempt}, worker.name, worker.address, source.address, std::move(kvId)};
    command.model = model.pool.model;
    command.prompt = entry.call.completion->prompt;
    command.promptTokens = model.promptTokens;
    command.maxTokens = model.maxTokens;
    command.resumeFrom = model.nextPosition;
    command.kind = model.kind;
    command.timeout = std::max<duration>(minStreamTimeout, model.tokenIntervalTarget * streamTimeoutIntervals);
    ++entry.dispatches;
    m_components.out.push(std::move(command));
}

void model_handler::reportProgress(const request &entry, placement_stage stage)
{
    const auto &model = *entry.model;
    m_components.sendToScheduler(model.pool, placement_progress{entry.label, model.attempt, model.pool, stage});
}

void model_handler::onToken(decoded_token &&message)
{
    auto *const entry = findAttempt(message.attempt.request, message.attempt.attempt, request_stage::Decoding);
    if (entry == nullptr) {
        return;
    }
    auto &model = *entry->model;
    if (!model.decodeStarted) {
        startDecode(*entry);
    }
    if (message.position == model.nextPosition) {
        deliver(*entry, std::move(message.text));
    } else if (message.position > model.nextPosition && model.bufferedTokens.size() < maxBufferedTokens) {
        model.bufferedTokens.emplace(message.position, std::move(message.text));
    }
    if (!model.bufferedTokens.empty()) {
        deliverBuffered(*entry);
    }
    if (model.decodeEnd) {
        finishIfComplete(*entry);
    }
}

void model_handler::startDecode(request &entry)
{
    auto &model = *entry.model;
    model.decodeStarted = true;
    if (model.nextPosition == 0) {
        model.firstTokenAt = m_components.clock.now();
    }
    reportProgress(entry, placement_stage::DecodeStarted);
}

void model_handler::deliver(request &entry, std::string &&text)
{
    m_components.metrics.token();
    m_components.out.push(answer_token{entry.call.caller, entry.model->nextPosition++, std::move(text)});
}

void model_handler::deliverBuffered(request &entry)
{
    auto &model = *entry.model;
    for (auto it = model.bufferedTokens.begin(); it != model.bufferedTokens.end() && it->first <= model.nextPosition; it = model.bufferedTokens.erase(it)) {
        if (it->first == model.nextPosition) {
            deliver(entry, std::move(it->second));
        }
    }
}

void model_handler::onDecodeDone(decode_done &&message)
{
    auto *const entry = findAttempt(message.attempt.request, message.attempt.attempt, request_stage::Decoding);
    if (entry == nullptr) {
        return;
    }
    entry->model->decodeEnd = std::move(message);
    finishIfComplete(*entry);
}

void model_handler::finishIfComplete(request &entry)
{
    auto &model = *entry.model;
    if (model.nextPosition < model.decodeEnd->tokens) {
        // The shell passes tokens and the end on in stream order, so a missing token cannot arrive any more.
        retryPlacement(entry, std::nullopt, "the stream ended before its last token");
        return;
    }
    if (model.firstTokenAt == time_point{}) {
        model.firstTokenAt = m_components.clock.now();
    }
    auto reason = std::move(model.decodeEnd->finishReason);
    m_components.sendToScheduler(model.pool, placement_done{entry.label, model.attempt, model.pool, model.nextPosition, std::nullopt});
    m_finalizer.complete(entry, std::move(reason), model.nextPosition);
}

void model_handler::onFailed(request &entry, const attempt_failed &message)
{
    auto &model = *entry.model;
    const auto stage = entry.machine.stage();
    const bool current = model.attempt == message.attempt.attempt && (stage == request_stage::Prefilling || stage == request_stage::Decoding);
    if (!current) {
        return;
    }
    const auto worker = stage == request_stage::Prefilling ? model.prefill : model.decode;
    m_components.decisions.record(entry.label, worker.value + " failed the attempt: " + message.code);
    if (!isEndpointFault(message.code)) {
        retryPlacement(entry, std::nullopt, message.code);
        return;
    }
    model.avoid.push_back(worker);
    retryPlacement(entry, worker, message.code);
}

bool model_handler::mayRetryPlacement(const request &entry)
{
    const auto &model = *entry.model;
    if (model.placements >= maxPlacements) {
        return false;
    }
    // A stream that has started is resumed regardless of its deadline and the retry budget, since aborting it would waste all of its tokens.
    return model.nextPosition > 0 || (m_components.clock.now() < entry.deadline && m_components.retries.spend());
}

void model_handler::retryPlacement(request &entry, std::optional<endpoint_name> failed, std::string detail)
{
    auto &model = *entry.model;
    const bool streamStarted = model.nextPosition > 0;
    cancelWorkers(entry);
    releasePlacement(entry, std::move(failed));
    if (streamStarted && model.nextPosition >= model.maxTokens) {
        m_finalizer.complete(entry, "length", model.nextPosition);
        return;
    }
    if (!mayRetryPlacement(entry)) {
        m_finalizer.refuse(entry, streamStarted ? failure::StreamBroken : failure::EndpointFailed, std::move(detail), retryAfterOverload);
        return;
    }
    if (streamStarted) {
        m_components.metrics.resumed();
        entry.deadline = m_components.clock.now() + resumeTimeout;
        m_components.timers.schedule(timer{entry.deadline, timer_kind::RequestDeadline, entry.label.sequence});
    } else {
        m_components.metrics.retried();
    }
    entry.machine.apply(request_event::placement_requested{});
    m_components.decisions.record(entry.label, "requesting another placement from position " + std::to_string(model.nextPosition));
    ensureCurrentLabel(entry);
    place(entry);
}

void model_handler::ensureCurrentLabel(request &entry)
{
    if (entry.label.origin == m_components.self()) {
        return;
    }
    const auto previousLabel = entry.label;
    m_components.requests.relabel(entry, m_components.self());
    m_components.out.push(request_relabelled{entry.call.caller, previousLabel, entry.label});
    m_components.decisions.record(previousLabel, "continued as " + toString(entry.label));
    m_components.decisions.record(entry.label, "continues " + toString(previousLabel));
    m_components.timers.schedule(timer{entry.deadline, timer_kind::RequestDeadline, entry.label.sequence});
}

void model_handler::onNewIncarnation()
{
    for (const auto sequence : m_components.requests.sequences()) {
        auto *const entry = m_components.requests.find(sequence);
        if (entry->machine.stage() == request_stage::Queued) {
            releasePlacement(*entry, std::nullopt);
            ensureCurrentLabel(*entry);
            place(*entry);
        }
    }
}

void model_handler::releasePlacement(request &entry, std::optional<endpoint_name> failed)
{
    const auto &model = *entry.model;
    m_components.sendToScheduler(model.pool, placement_done{entry.label, model.attempt, model.pool, model.nextPosition, std::move(failed)});
}

void model_handler::cancelWorkers(const request &entry)
{
    const auto &model = *entry.model;
    const attempt_label attempt{entry.label, model.attempt};
    m_components.cancels.add(attempt, model.prefill, model.prefillAddress);
    m_components.cancels.add(attempt, model.decode, model.decodeAddress);
    m_components.out.push(close_attempt{attempt});
    if (!model.decodeStarted) {
        m_components.metrics.prefillWasted(model.promptTokens);
    }
}

void model_handler::giveUp(request &entry)
{
    const auto stage = entry.machine.stage();
    if (stage == request_stage::Prefilling || stage == request_stage::Decoding) {
        cancelWorkers(entry);
        releasePlacement(entry, std::nullopt);
    } else if (stage == request_stage::Queued) {
        releasePlacement(entry, std::nullopt);
    }
}

void model_handler::onDeadline(request &entry)
{
    const auto &model = *entry.model;
    const bool streamStarted = model.nextPosition > 0;
    // The deadline limits the wait for the first token of an attempt. A running stream is limited by the time between its tokens instead.
    if (streamStarted && entry.machine.stage() == request_stage::Decoding && model.decodeStarted) {
        return;
    }
    giveUp(entry);
    m_finalizer.refuse(entry, streamStarted ? failure::StreamBroken : failure::DeadlineExceeded, "the request deadline has passed", retryAfterOverload);
}

void model_handler::onSchedulerChanged(const pool_id &pool)
{
    ledger_sync sync{pool, {}};
    std::vector<request *> queued;
    for (const auto sequence : m_components.requests.sequences()) {
        auto *const entry = m_components.requests.find(sequence);
        if (!entry->model || entry->model->pool != pool) {
            continue;
        }
        const auto &model = *entry->model;
        const auto stage = entry->machine.stage();
        if (stage == request_stage::Queued) {
            queued.push_back(entry);
        } else if (stage == request_stage::Prefilling || stage == request_stage::Decoding) {
            open_attempt attempt{entry->label, model.attempt, entry->account, model.prefill, model.decode};
            attempt.stage = model.decodeStarted ? placement_stage::DecodeStarted : placement_stage::PrefillDone;
            attempt.promptTokens = model.promptTokens;
            attempt.maxOutputTokens = model.maxTokens;
            sync.attempts.push_back(std::move(attempt));
        }
    }
    m_components.sendToScheduler(pool, sync);
    for (auto *const entry : queued) {
        sendPlaceRequest(*entry);
    }
}

} // namespace plantainpoint
