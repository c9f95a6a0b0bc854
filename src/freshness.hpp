// Tracks the age of the newest log head proof, which decides whether this VM holds an admission lease for keyed requests.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "log_follower.hpp"
#include "log_state.hpp"
#include "plantainpoint/clock.hpp"
#include "plantainpoint/peer.hpp"

namespace plantainpoint {

// The time for which a proof or a heartbeat counts as recent.
inline constexpr duration admissionLeaseTime = std::chrono::seconds(3);
// The largest difference between the clock rates of two VMs, as a fraction.
inline constexpr double clockRateError = 0.001;

enum class lease_basis : std::uint8_t {
    OwnProof,
    RelayedProof,
    LogDownForAll,
    None, // Requests to keyed routes are refused.
};

class freshness
{
public:
    freshness(incarnation_id self, data_centre_name dataCentre, const clock_source &clock);

    void onOwnProof(const log_head_proof &proof);
    void onReadFailed();
    void onHeartbeat(const incarnation_id &from, const heartbeat &message, log_offset applied);
    // Handles a proof that arrived with relayed log entries. It gives no admission lease, because the time that the relay message spent in
    // transit is unknown.
    void onRelayedProof(const log_head_proof &proof, log_offset applied);
    void onEpoch(const current_epoch &epoch);
    void setSelf(incarnation_id self);

    lease_basis leaseBasis() const;
    bool holdsLease() const { return leaseBasis() != lease_basis::None; }
    // Returns the age of the newest proof, own or relayed.
    std::optional<duration> proofAge() const;
    log_offset proofOffset() const;

private:
    // The evidence of the newest heartbeat of a VM whose send time is known.
    struct evidence {
        incarnation_id id;
        time_point sentAt{}; // The heartbeat was not sent before this time.
        std::uint64_t epoch = 0;
        std::optional<log_head_proof> proof; // The proof of a state that this VM has not applied yet.
    };

    std::optional<time_point> earliestSendTime(const heartbeat &message) const;
    void acceptProof(const log_head_proof &proof, log_offset applied, evidence &source);
    bool logDownForAll() const;
    bool isRecent(time_point sentAt) const;

    incarnation_id m_self;
    data_centre_name m_dataCentre;
    const clock_source &m_clock;
    current_epoch m_epoch;
    std::optional<log_head_proof> m_ownProof;
    std::optional<log_head_proof> m_relayedProof;
    bool m_readsFail = false;
    std::uint64_t m_newestEpochSeen = 0;
    std::map<vm_name, evidence> m_evidence;
};

std::string_view nameOf(lease_basis basis);

} // namespace plantainpoint
