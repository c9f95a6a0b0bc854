#include "relay_metrics.hpp"

#include <nlohmann/json.hpp>

namespace plantainpoint {

nlohmann::json relay_metrics::toJson() const
{
    nlohmann::json byFailure = nlohmann::json::object();
    for (const auto &[reason, count] : failures) {
        byFailure[std::string(nameOf(reason))] = count;
    }
    return {{"requests_received", received},
            {"results", results},
            {"failures", std::move(byFailure)},
            {"dispatches", dispatches},
            {"prefills", prefills},
            {"retries", retries},
            {"resumes", resumes},
            {"retries_denied", retriesDenied},
            {"asks", asks},
            {"asks_unanswered", asksUnanswered},
            {"asks_answered", asksAnswered},
            {"record_asks", recordAsks},
            {"record_asks_answered", recordAsksAnswered},
            {"origin_asks", originAsks},
            {"endpoint_crashes", endpointCrashes},
            {"endpoint_refusals", notRun},
            {"unmarked_answers", unmarkedAnswers},
            {"unmarked_ends_refuted", unmarkedEndsRefuted},
            {"unmarked_ends_proved", unmarkedEndsProved},
            {"unmarked_ends_unproved", unmarkedEndsUnproved},
            {"home_refusals", homeRefusals},
            {"endpoint_pauses", pauses},
            {"limit_waits", limitWaits},
            {"evacuations_ignored", evacuationsIgnored},
            {"choices", choices},
            {"unreadable_load_reports", unreadableLoadReports},
            {"endpoint_cold_statements", coldStatements},
            {"endpoint_cold_unknown", coldUnknown},
            {"endpoint_cold_unreadable", coldUnreadable},
            {"proxied_dispatches", proxiedDispatches},
            {"beats_sent", heartbeatsSent},
            {"beats_received", heartbeatsReceived},
            {"plain_answer_seconds", plainAnswer.toJson()},
            {"first_event_seconds", firstEvent.toJson()},
            {"wait_seconds", placementWait.toJson()}};
}

} // namespace plantainpoint
