// Times of the planned stop of a relay VM. Every time counts from the shutdown request.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

#include "plantainpoint/clock.hpp"
#include "stop_machine.hpp"

namespace plantainpoint {

struct stop_plan {
    // No request begins to arrive later than this. One that its caller sends within 3 s after the signal may be broken off at the end of the grace period,
    // a later one may not. The difference is for the time that the signal takes to reach the process.
    static constexpr duration lastBeginTime = std::chrono::milliseconds{2750};

    duration drainTime{}; // New connections are taken for this time.
    duration grace{}; // The process is killed after this time.

    // Requests may arrive for this time. The other half of the grace period is left for their answers.
    duration receiveTime() const { return grace / 2; }
    duration connectTime() const { return std::min({drainTime, receiveTime(), lastBeginTime}); }
    // A request that an endpoint works on may be broken off in the last sixth of the grace period only.
    duration uncutTime() const { return grace - grace / 6; }
    // Open requests are answered after this time. A sixteenth of the grace period is left to write the answers.
    duration answerTime() const { return grace - grace / 16; }
    // The process ends after this time, with time left before it is killed.
    duration endTime() const { return grace - grace / 32; }
};

class stop_sequence
{
public:
    explicit stop_sequence(const stop_plan &plan)
        : m_plan(plan)
    {
    }

    // Begins the stop. Returns false if it has begun before: a further signal does not extend it.
    bool begin(time_point now);
    // No request is being received any more. Has an effect once no connections are taken.
    void onReceptionFinished();
    // Enters at most one further stage. Returns whether the stage has changed.
    bool advance(time_point now, std::size_t openRequests);

    stop_stage stage() const { return m_machine.stage(); }
    bool takesRequests() const { return stage() < stop_stage::Finishing; }
    // Returns the time at which the next stage begins at the latest, or nothing if no time is set.
    std::optional<time_point> nextChange() const;
    // Returns the time by which the process has to end. The stop must have begun.
    time_point endsAt() const { return m_begunAt + m_plan.endTime(); }

private:
    stop_plan m_plan;
    stop_machine m_machine;
    time_point m_begunAt{};
    bool m_receptionFinished = false;
};

} // namespace plantainpoint
