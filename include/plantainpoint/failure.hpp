// Ways in which a request, a publication or a message can fail.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <absl/status/status.h>

namespace plantainpoint {

enum class failure : std::uint8_t {
    None,
    MalformedRequest,
    BodyTooLarge,
    HeaderTooLarge,
    MissingKey,
    UnknownKey,
    KeyWithdrawn,
    AccountNotAllowed,
    UnknownRoute,
    UnknownModel,
    MethodNotAllowed,
    PromptTooLong,
    RateExceeded,
    TooManyConnections,
    StaleConfiguration,
    Overloaded,
    DeadlineExceeded,
    NoEndpoint,
    EndpointFailed,
    StreamBroken,
    OutcomeUnknown,
    BookingInProgress,
    BookingKeyReused,
    LogUnavailable,
    ShuttingDown,
    Cancelled,
    Conflict,
    MalformedRecord,
    MalformedMessage,
    InvalidSettings,
    InvalidConfiguration,
    SnapshotInvalid,
    StaleFencing,
    NotFound,
    Internal,
    Quarantined,
    StreamVersionGone, // No endpoint has the software version that began the stream.
    StreamVersionUnknown, // The version that began the stream cannot be told.
};

// What is known about the execution of a refused or failed request.
enum class outcome : std::uint8_t {
    NotRun, // The request was not dispatched and never will be.
    Unknown, // The request may have run or may still run.
    Ran,
};

struct failure_entry {
    failure kind;
    std::string_view name; // Part of the problem type that callers receive, so it must not change.
    int httpStatus;
};

// One row per failure, in the order of the enumeration.
inline constexpr std::array failureTable{
    failure_entry{failure::None, "none", 200},
    failure_entry{failure::MalformedRequest, "malformed_request", 400},
    failure_entry{failure::BodyTooLarge, "body_too_large", 413},
    failure_entry{failure::HeaderTooLarge, "header_too_large", 431},
    failure_entry{failure::MissingKey, "missing_key", 401},
    failure_entry{failure::UnknownKey, "unknown_key", 401},
    failure_entry{failure::KeyWithdrawn, "key_withdrawn", 401},
    failure_entry{failure::AccountNotAllowed, "account_not_allowed", 403},
    failure_entry{failure::UnknownRoute, "unknown_route", 404},
    failure_entry{failure::UnknownModel, "unknown_model", 404},
    failure_entry{failure::MethodNotAllowed, "method_not_allowed", 405},
    failure_entry{failure::PromptTooLong, "prompt_too_long", 400},
    failure_entry{failure::RateExceeded, "rate_exceeded", 429},
    failure_entry{failure::TooManyConnections, "too_many_connections", 429},
    failure_entry{failure::StaleConfiguration, "stale_configuration", 503},
    failure_entry{failure::Overloaded, "overloaded", 503},
    failure_entry{failure::DeadlineExceeded, "deadline_exceeded", 504},
    failure_entry{failure::NoEndpoint, "no_endpoint", 503},
    failure_entry{failure::EndpointFailed, "endpoint_failed", 502},
    failure_entry{failure::StreamBroken, "stream_broken", 502},
    failure_entry{failure::OutcomeUnknown, "outcome_unknown", 504},
    failure_entry{failure::BookingInProgress, "booking_in_progress", 409},
    failure_entry{failure::BookingKeyReused, "booking_key_reused", 422},
    failure_entry{failure::LogUnavailable, "log_unavailable", 503},
    failure_entry{failure::ShuttingDown, "shutting_down", 503},
    failure_entry{failure::Cancelled, "cancelled", 499},
    failure_entry{failure::Conflict, "conflict", 409},
    failure_entry{failure::MalformedRecord, "malformed_record", 500},
    failure_entry{failure::MalformedMessage, "malformed_message", 400},
    failure_entry{failure::InvalidSettings, "invalid_settings", 500},
    failure_entry{failure::InvalidConfiguration, "invalid_configuration", 400},
    failure_entry{failure::SnapshotInvalid, "snapshot_invalid", 500},
    failure_entry{failure::StaleFencing, "stale_fencing", 409},
    failure_entry{failure::NotFound, "not_found", 404},
    failure_entry{failure::Internal, "internal", 500},
    failure_entry{failure::Quarantined, "quarantined", 503},
    failure_entry{failure::StreamVersionGone, "stream_version_gone", 503},
    failure_entry{failure::StreamVersionUnknown, "stream_version_unknown", 503},
};

constexpr const failure_entry &entryOf(failure kind)
{
    return failureTable[static_cast<std::size_t>(kind)];
}

constexpr std::string_view nameOf(failure kind)
{
    return entryOf(kind).name;
}

constexpr std::string_view nameOf(outcome value)
{
    constexpr std::array<std::string_view, 3> names{"not_run", "unknown", "ran"};
    return names[static_cast<std::size_t>(value)];
}

// Returns a status that carries the failure as a payload, or an OK status for None.
absl::Status makeStatus(failure kind, std::string_view detail);

// Returns the failure that a status carries, Internal for an error without one, and None for OK.
failure failureOf(const absl::Status &status);

} // namespace plantainpoint
