#include "model_handler.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

// a request that has failed on this many placements is taken to be the cause itself
constexpr std::uint32_t maxPlacements = 4;
// messages between VMs are lost only when a connection breaks, so repeats may be slow
constexpr duration firstPlaceRepeat = std::chrono::milliseconds(250);
constexpr std::uint32_t maxRepeatDoublings = 4;
// how long a caller whose stream has begun waits for another worker
constexpr duration resumeTimeout = std::chrono::seconds(10);
// a prefill that takes this many times its computed length has stalled
constexpr std::int64_t prefillSlack = 5;
constexpr duration shortestPrefillTimeout = std::chrono::seconds(2);
// longest silence of a stream, in token intervals; includes the transfer of the KV cache before the first token
constexpr std::int64_t silentIntervals = 60;
constexpr duration shortestSilence = std::chrono::seconds(2);
// tokens out of order are held back up to this number; an engine streams over one connection and has no cause for more
constexpr std::size_t maxEarlyTokens = 256;
constexpr duration retryAfterOverload = std::chrono::seconds(1);

// codes by which an endpoint refuses a request without being at fault itself
bool isOwnFault(const std::string &code)
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
    if (entry.machine.apply(request_event::placement_wanted{})) {
        place(entry);
    }
}

void model_handler::place(request &entry)
{
    auto &model = *entry.model;
    model.attempt = entry.nextAttempt++;
    ++model.placements;
    model.repeats = 0;
    model.prefill = {};
    model.decode = {};
    model.decodeStarted = false;
    model.early.clear();
    model.end.reset();
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
    const auto wait = firstPlaceRepeat * (1U << std::min(model.repeats++, maxRepeatDoublings));
    m_components.timers.schedule(timer{now + wait, timer_kind::PlacementRetry, entry.label.sequence, model.attempt});
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
    const bool known = entry != nullptr && entry->model && entry->model->attempt == message.attempt;
    if (!known) {
        // the caller went while the placement was on its way; the pool is found by the endpoint
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
        // the configuration of the scheduler is older or newer than the one here
        release(*entry, std::nullopt);
        if (mayPlaceAgain(*entry)) {
            place(*entry);
        } else {
            m_finalizer.refuse(*entry, failure::NoEndpoint, "the placed worker is not configured", retryAfterOverload);
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
        m_finalizer.fail(*entry, failure::StreamBroken, outcome::Unknown, "no worker is free to continue the stream");
        return;
    }
    m_finalizer.refuse(*entry, message.reason, "refused by the placer", message.retryAfter);
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
    command.timeout = std::max<duration>(shortestPrefillTimeout, expected * prefillSlack);
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
        placeAgain(*entry, std::nullopt, "the worker was removed");
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
    command.timeout = std::max<duration>(shortestSilence, model.tokenIntervalTarget * silentIntervals);
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
    } else if (message.position > model.nextPosition && model.early.size() < maxEarlyTokens) {
        model.early.emplace(message.position, std::move(message.text));
    }
    if (!model.early.empty()) {
        deliverEarly(*entry);
    }
    if (model.end) {
        finishIfWhole(*entry);
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

void model_handler::deliverEarly(request &entry)
{
    auto &model = *entry.model;
    for (auto first = model.early.begin(); first != model.early.end() && first->first <= model.nextPosition; first = model.early.erase(first)) {
        if (first->first == model.nextPosition) {
            deliver(entry, std::move(first->second));
        }
    }
}

void model_handler::onDecodeDone(decode_done &&message)
{
    auto *const entry = findAttempt(message.attempt.request, message.attempt.attempt, request_stage::Decoding);
    if (entry == nullptr) {
        return;
    }
    entry->model->end = std::move(message);
    finishIfWhole(*entry);
}

void model_handler::finishIfWhole(request &entry)
{
    auto &model = *entry.model;
    if (model.nextPosition < model.end->tokens) {
        // the shell hands tokens and the end over in the order of the stream, so a missing token will not come any more
        placeAgain(entry, std::nullopt, "the stream ended before its last token");
        return;
    }
    if (model.firstTokenAt == time_point{}) {
        model.firstTokenAt = m_components.clock.now();
    }
    auto reason = std::move(model.end->finishReason);
    m_components.sendToScheduler(model.pool, placement_done{entry.label, model.attempt, model.pool, model.nextPosition, std::nullopt});
    m_finalizer.done(entry, std::move(reason), model.nextPosition);
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
    if (!isOwnFault(message.code)) {
        placeAgain(entry, std::nullopt, message.code);
        return;
    }
    model.avoid.push_back(worker);
    placeAgain(entry, worker, message.code);
}

bool model_handler::mayPlaceAgain(const request &entry)
{
    const auto &model = *entry.model;
    if (model.placements >= maxPlacements) {
        return false;
    }
    // a stream that has begun is always resumed: giving it up would waste all of its tokens
    return model.nextPosition > 0 || (m_components.clock.now() < entry.deadline && m_components.retries.spend());
}

void model_handler::placeAgain(request &entry, std::optional<endpoint_name> failed, std::string detail)
{
    auto &model = *entry.model;
    const bool begun = model.nextPosition > 0;
    cancelWorkers(entry);
    release(entry, std::move(failed));
    if (begun && model.nextPosition >= model.maxTokens) {
        m_finalizer.done(entry, "length", model.nextPosition);
        return;
    }
    if (!mayPlaceAgain(entry)) {
        m_finalizer.refuse(entry, begun ? failure::StreamBroken : failure::EndpointFailed, std::move(detail), retryAfterOverload);
        return;
    }
    if (begun) {
        m_components.metrics.resumed();
        entry.deadline = m_components.clock.now() + resumeTimeout;
        m_components.timers.schedule(timer{entry.deadline, timer_kind::RequestDeadline, entry.label.sequence});
    } else {
        m_components.metrics.retried();
    }
    entry.machine.apply(request_event::placement_wanted{});
    m_components.decisions.record(entry.label, "placed again from position " + std::to_string(model.nextPosition));
    renew(entry);
    place(entry);
}

void model_handler::renew(request &entry)
{
    if (entry.label.origin == m_components.self()) {
        return;
    }
    const auto before = entry.label;
    m_components.requests.relabel(entry, m_components.self());
    m_components.out.push(request_relabelled{entry.call.caller, before, entry.label});
    m_components.decisions.record(before, "continued as " + toString(entry.label));
    m_components.decisions.record(entry.label, "continues " + toString(before));
    m_components.timers.schedule(timer{entry.deadline, timer_kind::RequestDeadline, entry.label.sequence});
}

void model_handler::onNewIncarnation()
{
    for (const auto sequence : m_components.requests.sequences()) {
        auto *const entry = m_components.requests.find(sequence);
        if (entry->machine.stage() == request_stage::Queued) {
            release(*entry, std::nullopt);
            renew(*entry);
            place(*entry);
        }
    }
}

void model_handler::release(request &entry, std::optional<endpoint_name> failed)
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
        release(entry, std::nullopt);
    } else if (stage == request_stage::Queued) {
        release(entry, std::nullopt);
    }
}

void model_handler::onDeadline(request &entry)
{
    const auto &model = *entry.model;
    const bool begun = model.nextPosition > 0;
    // the deadline bounds the wait for a token; a running stream is bounded by the silence between its tokens
    if (begun && entry.machine.stage() == request_stage::Decoding && model.decodeStarted) {
        return;
    }
    giveUp(entry);
    m_finalizer.refuse(entry, begun ? failure::StreamBroken : failure::DeadlineExceeded, "the deadline has passed", retryAfterOverload);
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
            open_attempt open{entry->label, model.attempt, entry->account, model.prefill, model.decode};
            open.stage = model.decodeStarted ? placement_stage::DecodeStarted : placement_stage::PrefillDone;
            open.promptTokens = model.promptTokens;
            open.maxOutputTokens = model.maxTokens;
            sync.attempts.push_back(std::move(open));
        }
    }
    m_components.sendToScheduler(pool, sync);
    for (auto *const entry : queued) {
        sendPlaceRequest(*entry);
    }
}

} // namespace plantainpoint
