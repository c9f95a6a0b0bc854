#include "freshness.hpp"

#include <algorithm>
#include <array>
#include <set>

namespace plantainpoint {

namespace {

// Converts an age measured by a peer to the longest or the shortest time that may have passed on this VM's clock.
duration scaleAge(duration age, double factor)
{
    return duration{static_cast<duration::rep>(static_cast<double>(age.count()) * factor)};
}

} // namespace

std::string_view nameOf(lease_basis basis)
{
    constexpr std::array<std::string_view, 4> basisNames{"own_proof", "relayed_proof", "log_down_for_all", "none"};
    return basisNames[static_cast<std::size_t>(basis)];
}

freshness::freshness(incarnation_id self, data_centre_name dataCentre, const clock_source &clock)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_clock(clock)
{
}

void freshness::setSelf(incarnation_id self)
{
    m_self = std::move(self);
    m_evidence.clear();
}

void freshness::onOwnProof(const log_head_proof &proof)
{
    m_readsFail = false;
    if (!m_ownProof || proof.sentAt > m_ownProof->sentAt) {
        m_ownProof = proof;
    }
}

void freshness::onReadFailed()
{
    m_readsFail = true;
}

void freshness::onRelayedProof(const log_head_proof & /*proof*/, log_offset applied)
{
    for (auto &[vm, source] : m_evidence) {
        if (source.proof) {
            acceptProof(*source.proof, applied, source);
        }
    }
}

void freshness::onEpoch(const current_epoch &epoch)
{
    m_epoch = epoch;
    m_newestEpochSeen = std::max(m_newestEpochSeen, epoch.number);
    std::erase_if(m_evidence, [&](const auto &entry) { return !epoch.contains(entry.second.id); });
}

// Returns the earliest time at which the heartbeat can have been sent. Its arrival does not show that, as it may have waited in a buffer
// while this VM was paused. Only the digest does: it returns the send time of one of this VM's own heartbeats, which the sender received
// before it sent this one.
std::optional<time_point> freshness::earliestSendTime(const heartbeat &message) const
{
    for (const auto &digest : message.heard) {
        if (digest.id == m_self) {
            const auto ownSendTime = time_point{duration{static_cast<duration::rep>(digest.sequence)}};
            const auto sentAt = ownSendTime + scaleAge(digest.age, 1 - clockRateError);
            return std::min(sentAt, m_clock.now());
        }
    }
    return std::nullopt;
}

void freshness::acceptProof(const log_head_proof &proof, log_offset applied, evidence &source)
{
    if (proof.offset > applied) {
        source.proof = proof;
        return;
    }
    if (!m_relayedProof || proof.sentAt > m_relayedProof->sentAt) {
        m_relayedProof = proof;
    }
    source.proof.reset();
}

void freshness::onHeartbeat(const incarnation_id &from, const heartbeat &message, log_offset applied)
{
    m_newestEpochSeen = std::max(m_newestEpochSeen, message.epoch);
    const auto sentAt = earliestSendTime(message);
    if (!sentAt) {
        return;
    }
    auto &newest = m_evidence[from.vm];
    if (from.number < newest.id.number || (from == newest.id && *sentAt < newest.sentAt)) {
        return;
    }
    newest.id = from;
    newest.sentAt = *sentAt;
    newest.epoch = message.epoch;
    if (message.proofAge) {
        const auto age = scaleAge(*message.proofAge, 1 + clockRateError) + duration{1};
        acceptProof(log_head_proof{*sentAt - age, message.proofOffset}, applied, newest);
    }
}

bool freshness::isRecent(time_point sentAt) const
{
    return m_clock.now() - sentAt < admissionLeaseTime;
}

bool freshness::logDownForAll() const
{
    if (!m_readsFail || !m_epoch.contains(m_self) || m_newestEpochSeen > m_epoch.number) {
        return false;
    }
    std::size_t heard = 0;
    std::set<data_centre_name> silentDataCentres;
    std::set<data_centre_name> presentDataCentres;
    for (const auto &member : m_epoch.members) {
        const auto it = m_evidence.find(member.id.vm);
        const bool isPresent = member.id == m_self || (it != m_evidence.end() && it->second.id == member.id && isRecent(it->second.sentAt));
        heard += isPresent ? 1 : 0;
        (isPresent ? presentDataCentres : silentDataCentres).insert(member.dataCentre);
        const bool hasRecentProof = member.id != m_self && isPresent && it->second.proof && isRecent(it->second.proof->sentAt);
        if (hasRecentProof) {
            return false;
        }
    }
    return heard * 2 > m_epoch.members.size()
           && std::includes(presentDataCentres.begin(), presentDataCentres.end(), silentDataCentres.begin(), silentDataCentres.end());
}

lease_basis freshness::leaseBasis() const
{
    if (m_ownProof && isRecent(m_ownProof->sentAt)) {
        return lease_basis::OwnProof;
    }
    if (m_relayedProof && isRecent(m_relayedProof->sentAt)) {
        return lease_basis::RelayedProof;
    }
    return logDownForAll() ? lease_basis::LogDownForAll : lease_basis::None;
}

std::optional<duration> freshness::proofAge() const
{
    if (!m_ownProof && !m_relayedProof) {
        return std::nullopt;
    }
    const auto ownSentAt = m_ownProof ? m_ownProof->sentAt : time_point::min();
    const auto relayedSentAt = m_relayedProof ? m_relayedProof->sentAt : time_point::min();
    return m_clock.now() - std::max(ownSentAt, relayedSentAt);
}

log_offset freshness::proofOffset() const
{
    if (!m_ownProof && !m_relayedProof) {
        return 0;
    }
    const bool ownIsNewer = m_ownProof && (!m_relayedProof || m_ownProof->sentAt >= m_relayedProof->sentAt);
    return ownIsNewer ? m_ownProof->offset : m_relayedProof->offset;
}

} // namespace plantainpoint
