#include "directory_follower.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

constexpr auto retryPause = milliseconds{200}; // Pause after a failed read of a VM that knows nothing yet, or that reads for the fleet.
constexpr auto lostAnswerTimeout = milliseconds{2500}; // A read without a result by then is asked for again, in case its result was lost.
constexpr auto firstReadDelay = milliseconds{600}; // A hub tells a VM that has started of its existence within this time.
constexpr int outageThreshold = 2; // Failed reads in a row. A single read may fail by chance.
constexpr auto outageTime = milliseconds{2000}; // Entries of live endpoints lapse in longer outages only.
// Parts of the bound after which a VM reads by itself. The rest covers the read and the way of the change through the hubs.
constexpr std::int64_t standByPercent = 35;
constexpr std::int64_t followerPercent = 45;
constexpr std::int64_t jitterPercent = 15;
constexpr std::int64_t followerPausePercent = 10; // Pause of a follower whose reads fail. Two reads that get no answer fit into the bound.
constexpr std::int64_t percent = 100;

} // namespace

directory_follower::directory_follower(duration interval, duration bound, std::uint64_t seed)
    : m_interval(interval)
    , m_bound(bound)
    , m_jitter(bound * jitterPercent / percent * static_cast<std::int64_t>(seed % percent) / percent)
{
}

duration directory_follower::maxProofAge(directory_role role) const
{
    switch (role) {
    case directory_role::Reader:
        return {};
    case directory_role::StandBy:
        return m_bound * standByPercent / percent;
    case directory_role::Follower:
        break;
    }
    return m_bound * followerPercent / percent + m_jitter;
}

duration directory_follower::pause(directory_role role) const
{
    if (!m_provedAt || (role == directory_role::Reader && m_failures > 0)) {
        return retryPause;
    }
    return role == directory_role::Follower ? m_bound * followerPausePercent / percent + m_jitter : m_interval;
}

bool directory_follower::startRead(directory_role role, time_point now)
{
    if (m_readStartedAt) {
        if (now - m_readAskedAt < lostAnswerTimeout) {
            return false;
        }
        // The reader may still be at it. The result proves what was in the directory at the start of that read, and not later.
        m_readAskedAt = now;
        return true;
    }
    const bool stale = !m_provedAt || now - *m_provedAt >= maxProofAge(role);
    const bool paused = m_lastReadAt && now - *m_lastReadAt < pause(role);
    if (!m_expedited && (!stale || paused)) {
        return false;
    }
    // A VM that has just started may get everything from a hub.
    m_startedAt = m_startedAt.value_or(now);
    if (role == directory_role::Follower && !m_provedAt && now - *m_startedAt < firstReadDelay + m_jitter / 2) {
        return false;
    }
    m_expedited = false;
    m_readStartedAt = now;
    m_readAskedAt = now;
    return true;
}

void directory_follower::onReadFinished(bool succeeded, time_point now)
{
    if (!m_readStartedAt) {
        return;
    }
    if (succeeded) {
        prove(*m_readStartedAt, now);
    }
    m_failures = succeeded ? 0 : m_failures + 1;
    m_failedReadStartedAt = succeeded ? m_failedReadStartedAt : *m_readStartedAt;
    m_lastReadAt = now;
    m_readStartedAt.reset();
}

void directory_follower::prove(time_point provedAt, time_point now)
{
    if (!m_provedAt || provedAt - *m_provedAt > outageTime) {
        m_gapEndedAt = now;
    }
    m_provedAt = std::max(m_provedAt.value_or(provedAt), provedAt);
}

bool directory_follower::isUnproved(time_point now) const
{
    return !m_provedAt || now - *m_provedAt > outageTime;
}

bool directory_follower::hasGap(time_point now) const
{
    return isUnproved(now) || (m_gapEndedAt && now - *m_gapEndedAt < outageTime);
}

bool directory_follower::onProof(time_point provedAt, time_point now)
{
    prove(provedAt, now);
    if (provedAt <= m_failedReadStartedAt) {
        return false;
    }
    m_failures = 0;
    return true;
}

bool directory_follower::reachable(time_point now) const
{
    return m_failures == 0 || (m_failures < outageThreshold && !isUnproved(now));
}

std::optional<duration> directory_follower::proofAge(time_point now) const
{
    return m_provedAt ? std::optional(now - *m_provedAt) : std::nullopt;
}

} // namespace plantainpoint
