// how old the newest proof of the log's head is, and whether this VM may admit keyed requests
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "log_follower.hpp"
#include "log_state.hpp"
#include "plantainpoint/clock.hpp"
#include "plantainpoint/peer.hpp"

namespace plantainpoint {

inline constexpr duration admissionLeaseTime = std::chrono::seconds(3);
// largest difference of two VMs' clock rates, as a fraction
inline constexpr double clockRateError = 0.001;

enum class lease_basis : std::uint8_t {
    OwnProof,
    RelayedProof,
    LogDownForAll,
    None, // keyed routes are refused
};

class freshness
{
public:
    freshness(incarnation_id self, data_centre_name dataCentre, const clock_source &clock);

    void onOwnProof(const log_head_proof &proof);
    void onReadFailed();
    void onHeartbeat(const incarnation_id &from, const heartbeat &message, log_offset applied);
    // a proof that came with relayed log entries; gives no admission lease, because the time that the relay spent on its way is unknown
    void onRelayedProof(const log_head_proof &proof, log_offset applied);
    void onEpoch(const current_epoch &epoch);
    void setSelf(incarnation_id self);

    lease_basis leaseBasis() const;
    bool holdsLease() const { return leaseBasis() != lease_basis::None; }
    // age of the newest proof, own or relayed
    std::optional<duration> proofAge() const;
    log_offset proofOffset() const;

private:
    // what the newest dated heartbeat of a VM proves
    struct evidence {
        incarnation_id id;
        time_point sentAt{}; // the heartbeat did not leave before
        std::uint64_t epoch = 0;
        std::optional<log_head_proof> proof; // of a state that this VM has not applied yet
    };

    std::optional<time_point> earliestSending(const heartbeat &message) const;
    void useProof(const log_head_proof &proof, log_offset applied, evidence &from);
    bool logDownForAll() const;
    bool isYoung(time_point since) const;

    incarnation_id m_self;
    data_centre_name m_dataCentre;
    const clock_source &m_clock;
    current_epoch m_epoch;
    std::optional<log_head_proof> m_own;
    std::optional<log_head_proof> m_relayed;
    bool m_readsFail = false;
    std::uint64_t m_newestEpochSeen = 0;
    std::map<vm_name, evidence> m_evidence;
};

std::string_view nameOf(lease_basis ground);

} // namespace plantainpoint
