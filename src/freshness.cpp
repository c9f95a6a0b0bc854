#include "freshness.hpp"

#include <algorithm>
#include <array>
#include <set>

namespace plantainpoint {

namespace {

// an age measured by a peer, as the longest or the shortest time that may have passed on this VM's clock
duration scaled(duration age, double factor)
{
    return duration{static_cast<duration::rep>(static_cast<double>(age.count()) * factor)};
}

} // namespace

std::string_view nameOf(lease_basis ground)
{
    constexpr std::array<std::string_view, 4> names{"own_proof", "relayed_proof", "log_down_for_all", "none"};
    return names[static_cast<std::size_t>(ground)];
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
    if (!m_own || proof.sentAt > m_own->sentAt) {
        m_own = proof;
    }
}

void freshness::onReadFailed()
{
    m_readsFail = true;
}

void freshness::onRelayedProof(const log_head_proof & /*proof*/, log_offset applied)
{
    for (auto &[vm, from] : m_evidence) {
        if (from.proof) {
            useProof(*from.proof, applied, from);
        }
    }
}

void freshness::onEpoch(const current_epoch &epoch)
{
    m_epoch = epoch;
    m_newestEpochSeen = std::max(m_newestEpochSeen, epoch.number);
    std::erase_if(m_evidence, [&](const auto &entry) { return !epoch.contains(entry.second.id); });
}

// a heartbeat may have waited in a buffer for as long as this VM was paused. the digest returns the sending time of one of our own
// heartbeats, which was heard before this one left; only that dates it.
std::optional<time_point> freshness::earliestSending(const heartbeat &message) const
{
    for (const auto &digest : message.heard) {
        if (digest.id == m_self) {
            const auto ownSending = time_point{duration{static_cast<duration::rep>(digest.sequence)}};
            const auto sentAt = ownSending + scaled(digest.age, 1 - clockRateError);
            return std::min(sentAt, m_clock.now());
        }
    }
    return std::nullopt;
}

void freshness::useProof(const log_head_proof &proof, log_offset applied, evidence &from)
{
    if (proof.offset > applied) {
        from.proof = proof;
        return;
    }
    if (!m_relayed || proof.sentAt > m_relayed->sentAt) {
        m_relayed = proof;
    }
    from.proof.reset();
}

void freshness::onHeartbeat(const incarnation_id &from, const heartbeat &message, log_offset applied)
{
    m_newestEpochSeen = std::max(m_newestEpochSeen, message.epoch);
    const auto sentAt = earliestSending(message);
    if (!sentAt) {
        return;
    }
    auto &known = m_evidence[from.vm];
    if (from.number < known.id.number || (from == known.id && *sentAt < known.sentAt)) {
        return;
    }
    known.id = from;
    known.sentAt = *sentAt;
    known.epoch = message.epoch;
    if (message.proofAge) {
        const auto age = scaled(*message.proofAge, 1 + clockRateError) + duration{1};
        useProof(log_head_proof{*sentAt - age, message.proofOffset}, applied, known);
    }
}

bool freshness::isYoung(time_point since) const
{
    return m_clock.now() - since < admissionLeaseTime;
}

bool freshness::logDownForAll() const
{
    if (!m_readsFail || !m_epoch.contains(m_self) || m_newestEpochSeen > m_epoch.number) {
        return false;
    }
    std::size_t heard = 0;
    std::set<data_centre_name> silent;
    std::set<data_centre_name> present;
    for (const auto &member : m_epoch.members) {
        const auto known = m_evidence.find(member.id.vm);
        const bool here = member.id == m_self || (known != m_evidence.end() && known->second.id == member.id && isYoung(known->second.sentAt));
        heard += here ? 1 : 0;
        (here ? present : silent).insert(member.dataCentre);
        const bool freshElsewhere = member.id != m_self && here && known->second.proof && isYoung(known->second.proof->sentAt);
        if (freshElsewhere) {
            return false;
        }
    }
    return heard * 2 > m_epoch.members.size() && std::includes(present.begin(), present.end(), silent.begin(), silent.end());
}

lease_basis freshness::leaseBasis() const
{
    if (m_own && isYoung(m_own->sentAt)) {
        return lease_basis::OwnProof;
    }
    if (m_relayed && isYoung(m_relayed->sentAt)) {
        return lease_basis::RelayedProof;
    }
    return logDownForAll() ? lease_basis::LogDownForAll : lease_basis::None;
}

std::optional<duration> freshness::proofAge() const
{
    if (!m_own && !m_relayed) {
        return std::nullopt;
    }
    const auto own = m_own ? m_own->sentAt : time_point::min();
    const auto relayed = m_relayed ? m_relayed->sentAt : time_point::min();
    return m_clock.now() - std::max(own, relayed);
}

log_offset freshness::proofOffset() const
{
    if (!m_own && !m_relayed) {
        return 0;
    }
    const bool ownNewer = m_own && (!m_relayed || m_own->sentAt >= m_relayed->sentAt);
    return ownNewer ? m_own->offset : m_relayed->offset;
}

} // namespace plantainpoint
