#include "plantainpoint/failure.hpp"

#include <algorithm>

#include <absl/strings/cord.h>

namespace plantainpoint {

namespace {

constexpr std::string_view payloadUrl = "plantainpoint/failure";

constexpr bool isTableOrdered()
{
    for (std::size_t i = 0; i < failureTable.size(); ++i) {
        if (static_cast<std::size_t>(failureTable[i].kind) != i) {
            return false;
        }
    }
    return true;
}

static_assert(isTableOrdered());

absl::StatusCode statusCodeOf(failure kind)
{
    switch (entryOf(kind).httpStatus) {
    case 200:
        return absl::StatusCode::kOk;
    case 400:
    case 413:
    case 422:
    case 431:
        return absl::StatusCode::kInvalidArgument;
    case 401:
        return absl::StatusCode::kUnauthenticated;
    case 403:
        return absl::StatusCode::kPermissionDenied;
    case 404:
        return absl::StatusCode::kNotFound;
    case 409:
        return absl::StatusCode::kAborted;
    case 429:
        return absl::StatusCode::kResourceExhausted;
    case 499:
        return absl::StatusCode::kCancelled;
    case 503:
        return absl::StatusCode::kUnavailable;
    case 504:
        return absl::StatusCode::kDeadlineExceeded;
    default:
        return absl::StatusCode::kInternal;
    }
}

} // namespace

absl::Status makeStatus(failure kind, std::string_view detail)
{
    if (kind == failure::None) {
        return absl::OkStatus();
    }
    absl::Status status(statusCodeOf(kind), absl::string_view(detail.data(), detail.size()));
    const auto name = nameOf(kind);
    status.SetPayload(absl::string_view(payloadUrl.data(), payloadUrl.size()), absl::Cord(absl::string_view(name.data(), name.size())));
    return status;
}

failure failureOf(const absl::Status &status)
{
    if (status.ok()) {
        return failure::None;
    }
    const auto payload = status.GetPayload(absl::string_view(payloadUrl.data(), payloadUrl.size()));
    if (!payload) {
        return failure::Internal;
    }
    const std::string name(*payload);
    const auto *const row = std::find_if(failureTable.begin(), failureTable.end(), [&](const failure_entry &entry) { return entry.name == name; });
    return row == failureTable.end() ? failure::Internal : row->kind;
}

} // namespace plantainpoint
