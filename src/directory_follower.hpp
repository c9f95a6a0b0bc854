// Decides when this VM reads the directory itself. One VM of the fleet reads at a fixed pace and the hubs pass on what it has read. Any other
// VM reads as soon as the proof that it gets of such a read is too old, so that the cost of reading does not grow with the fleet.
#pragma once

#include <optional>
#include <string_view>

#include "plantainpoint/clock.hpp"

namespace plantainpoint {

enum class directory_role : std::uint8_t {
    Reader, // Reads for the fleet.
    StandBy, // A hub.
    Follower,
};

constexpr std::string_view nameOf(directory_role value)
{
    constexpr std::string_view names[]{"reader", "stand_by", "follower"};
    return names[static_cast<std::size_t>(value)];
}

class directory_follower
{
public:
    // The bound is the time within which a change has to be known to this VM. Followers with different seeds do not read at the same time.
    directory_follower(duration interval, duration bound, std::uint64_t seed);

    // Returns whether a read has to start now, and records its start. Returns true again for a read that has had no result for long.
    bool startRead(directory_role role, time_point now);
    void onReadFinished(bool succeeded, time_point now);
    // Records that this VM knows all that was in the directory at this time, as another VM has proved. Returns whether the directory has
    // answered that VM after it last failed to answer this one.
    bool onProof(time_point provedAt, time_point now);
    // Makes the next read due at once.
    void expedite() { m_expedited = true; }

    // Returns the age of the newest proof, or nothing if there is none.
    std::optional<duration> proofAge(time_point now) const;
    // Returns whether there is no proof for so long that entries of live endpoints may have lapsed meanwhile, or was none until lately. A VM whose own reads
    // fail gets the proofs of others: the directory was then in no outage.
    bool hasGap(time_point now) const;
    // Returns whether the directory answers this VM or another one that proves what it has read.
    bool reachable(time_point now) const;

private:
    void prove(time_point provedAt, time_point now);
    bool isUnproved(time_point now) const;
    duration maxProofAge(directory_role role) const;
    duration pause(directory_role role) const;

    duration m_interval;
    duration m_bound;
    duration m_jitter;
    std::optional<time_point> m_provedAt;
    std::optional<time_point> m_gapEndedAt; // Arrival of the first proof after a gap.
    std::optional<time_point> m_readStartedAt; // Set while a read is open.
    time_point m_readAskedAt{}; // Time at which the open read was last asked for.
    std::optional<time_point> m_lastReadAt;
    std::optional<time_point> m_startedAt; // Time of the first decision.
    time_point m_failedReadStartedAt{};
    int m_failures = 0;
    bool m_expedited = false;
};

} // namespace plantainpoint
