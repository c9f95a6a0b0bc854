#include "request_finalizer.hpp"

namespace plantainpoint {

namespace {

bool wasAdmitted(const request &entry)
{
    const auto stage = entry.machine.stage();
    return stage != request_stage::Received && stage != request_stage::Authorising && stage != request_stage::AwaitingShare;
}

} // namespace

request_finalizer::request_finalizer(core_components &components)
    : m_components(components)
{
}

void request_finalizer::refuse(request &entry, failure reason, std::string detail, std::optional<duration> retryAfter)
{
    fail(entry, reason, entry.outcomeIfAbandoned(), std::move(detail), retryAfter);
}

void request_finalizer::fail(request &entry, failure reason, outcome result, std::string detail, std::optional<duration> retryAfter)
{
    const bool admitted = wasAdmitted(entry);
    if (!entry.machine.apply(request_event::failed{})) {
        return;
    }
    if (entry.callerWaits) {
        m_components.metrics.failed(entry, reason, result, admitted);
        sendFailure(entry, reason, result, std::move(detail), retryAfter);
    }
    m_components.requests.remove(entry.label.sequence);
}

void request_finalizer::sendFailure(request &entry, failure reason, outcome result, std::string detail, std::optional<duration> retryAfter)
{
    std::string decision = "failed: ";
    decision += nameOf(reason);
    decision += ", ";
    decision += nameOf(result);
    if (!detail.empty()) {
        decision += ", " + detail;
    }
    m_components.decisions.record(entry.label, std::move(decision));
    m_components.out.push(answer_failure{entry.call.caller, entry.label, reason, result, std::move(detail), retryAfter});
}

void request_finalizer::respond(request &entry, int status, std::vector<header> headers, std::string body)
{
    if (!entry.machine.apply(request_event::finished{})) {
        return;
    }
    m_components.decisions.record(entry.label, "answered with status " + std::to_string(status));
    if (entry.callerWaits) {
        m_components.metrics.answered(entry, m_components.clock.now(), 0);
        m_components.out.push(answer_plain{entry.call.caller, entry.label, status, std::move(headers), std::move(body)});
    }
    m_components.requests.remove(entry.label.sequence);
}

void request_finalizer::complete(request &entry, std::string finishReason, std::int32_t outputTokens)
{
    if (!entry.machine.apply(request_event::finished{})) {
        return;
    }
    m_components.decisions.record(entry.label, "answered with " + std::to_string(outputTokens) + " tokens");
    if (entry.callerWaits) {
        m_components.metrics.answered(entry, m_components.clock.now(), outputTokens);
        m_components.out.push(answer_done{entry.call.caller, entry.label, std::move(finishReason), entry.model->promptTokens, outputTokens});
    }
    m_components.requests.remove(entry.label.sequence);
}

void request_finalizer::forget(request &entry, std::string_view why)
{
    m_components.decisions.record(entry.label, std::string(why));
    entry.machine.apply(request_event::failed{});
    m_components.requests.remove(entry.label.sequence);
}

void request_finalizer::detach(request &entry, failure reason, std::string detail)
{
    if (!entry.callerWaits) {
        return;
    }
    m_components.metrics.failed(entry, reason, outcome::Unknown, true);
    sendFailure(entry, reason, outcome::Unknown, std::move(detail), std::nullopt);
    m_components.requests.detachCaller(entry);
}

} // namespace plantainpoint
