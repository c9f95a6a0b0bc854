#include "stop_sequence.hpp"

namespace plantainpoint {

bool stop_sequence::begin(time_point now)
{
    if (!m_machine.apply(stop_event::requested{})) {
        return false;
    }
    m_begunAt = now;
    return true;
}

void stop_sequence::onReceptionFinished()
{
    m_receptionFinished = m_receptionFinished || stage() == stop_stage::Receiving;
}

std::optional<time_point> stop_sequence::nextChange() const
{
    switch (stage()) {
    case stop_stage::Draining:
        return m_begunAt + m_plan.connectTime();
    case stop_stage::Receiving:
        return m_begunAt + m_plan.receiveTime();
    case stop_stage::Finishing:
        return m_begunAt + m_plan.uncutTime();
    case stop_stage::Closing:
        return m_begunAt + m_plan.answerTime();
    default:
        return std::nullopt;
    }
}

bool stop_sequence::advance(time_point now, std::size_t openRequests)
{
    // Only the stages in which no request can arrive have a transition for this event.
    if (openRequests == 0 && m_machine.apply(stop_event::answered{})) {
        return true;
    }
    if (m_receptionFinished && m_machine.apply(stop_event::received{})) {
        return true;
    }
    const auto change = nextChange();
    if (!change || now < *change) {
        return false;
    }
    return m_machine.apply(stop_event::drained{}) || m_machine.apply(stop_event::received{}) || m_machine.apply(stop_event::last_part_begun{})
           || m_machine.apply(stop_event::time_expired{});
}

} // namespace plantainpoint
