// Reasons for which a caller's connection ends.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace plantainpoint {

enum class close_reason : std::uint8_t {
    CallerClosed, // The caller has closed or reset the connection, or bytes to it could not be written.
    HandshakeFailed,
    Idle, // No request for the idle time.
    SlowReader, // The caller has taken no bytes for the idle time, or too many wait for it.
    AnswerBroken, // The answer cannot be completed, and only a close shows this.
    LastAnswer, // The caller has not closed for a while after the last answer.
    InputDiscarded, // Too many bytes arrived after the last answer.
    VmStopping,
    NoMemory, // The bytes that wait for the caller, or that it sends slowly, are needed for others.
    NoDescriptor, // A resting connection, or one whose request arrives slowly, made room for a new one.
};

inline constexpr std::array<std::string_view, 10> closeReasonNames{
    "caller_closed", "handshake_failed", "idle", "slow_reader", "answer_broken", "last_answer", "input_discarded", "vm_stopping", "no_memory", "no_descriptor"};

constexpr std::string_view nameOf(close_reason reason)
{
    return closeReasonNames[static_cast<std::size_t>(reason)];
}

} // namespace plantainpoint
