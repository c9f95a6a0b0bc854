#include "endpoint_warmup.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

// A cold endpoint gets at most 1.5 times its rate and 5 requests in any second from all VMs. Each VM that places keeps permits for a fifth of a second and one
// more: the hubs of five data centres then send 1.2 times the rate and 5 requests, and the rest of the bound covers requests that catch up on the way and VMs
// that change their hub. Below five a second, a permit lapses after that fifth, as dozens of VMs without a hub would otherwise keep one each for the same
// second. Below two thirds a second, more VMs share the rate than the bound has requests. Their permits fall at random times, and waves of callers bring
// some of these times together, so that they use 0.6 of their shares.
constexpr pace_terms coldPace{.savedSeconds = 0.2, .slowRate = 5, .permitLifetime = 0.2, .sparseRate = 2.0 / 3, .sparseFactor = 0.6};

constexpr duration repeatTime = std::chrono::milliseconds{700}; // A lost message delays the others only.
// Answers that count the same time down differ by the time that they were on their way.
constexpr duration newTime = std::chrono::milliseconds{300};

} // namespace

template<class Change>
void endpoint_warmup::apply(time_point now, Change change)
{
    const bool wasCold = isCold(now);
    change();
    if (!wasCold && isCold(now)) {
        m_pace = request_pace(coldPace);
        setRate(now);
    }
}

void endpoint_warmup::setRate(time_point now)
{
    if (m_terms) {
        m_pace.setRate(m_terms->perSecond * m_share, m_seed, now);
    }
}

void endpoint_warmup::setTerms(const std::optional<cold_terms> &terms, time_point now)
{
    if (terms == m_terms) {
        return;
    }
    apply(now, [&] { m_terms = terms; });
    setRate(now);
}

void endpoint_warmup::setShare(double share, std::uint64_t seed, time_point now)
{
    m_share = share;
    m_seed = seed;
    if (isCold(now)) {
        setRate(now);
    }
}

void endpoint_warmup::onRun(std::optional<duration> listedLeft, bool justAnnounced, time_point now)
{
    apply(now, [&] {
        m_listedUntil = now + listedLeft.value_or(duration{});
        m_listedAt = now;
        m_statedUntil = {};
        m_statedAt = {};
        m_doubtedSince.reset();
        m_unreadable = false;
        m_tellUntil = {};
        m_announcedAt = justAnnounced || !listedLeft ? std::optional(now) : std::nullopt;
    });
}

void endpoint_warmup::onListed(std::optional<duration> listedLeft, time_point now)
{
    apply(now, [&] {
        m_listedUntil = now + listedLeft.value_or(duration{});
        m_listedAt = now;
        m_announcedAt = listedLeft ? std::nullopt : std::optional(now);
    });
}

bool endpoint_warmup::extendStated(time_point until, time_point now)
{
    if (!m_terms || until <= std::max({m_statedUntil, m_listedUntil, unknownUntil(m_announcedAt), now}) + newTime) {
        return false;
    }
    m_tellUntil = now + repeatTime;
    return true;
}

bool endpoint_warmup::onStated(duration left, time_point sentAt, time_point now)
{
    const auto until = now + left;
    const bool extended = extendStated(until, now);
    apply(now, [&] {
        m_unreadable = false;
        // The answer was written after its request was sent, and thus after what was known by then.
        if (m_listedAt <= sentAt) {
            m_listedUntil = std::min(m_listedUntil, until);
        }
        for (auto *since : {&m_announcedAt, &m_doubtedSince}) {
            if (*since && **since <= sentAt) {
                since->reset();
            }
        }
        if (m_statedAt <= sentAt || until > m_statedUntil) {
            m_statedUntil = until;
            m_statedAt = now;
        }
    });
    return extended;
}

bool endpoint_warmup::onUnreadable(time_point now)
{
    if (!m_terms || m_unreadable) {
        return false;
    }
    onMayBeCold(now, now);
    m_unreadable = true;
    return true;
}

void endpoint_warmup::onReported(duration left, time_point now)
{
    const auto until = now + left;
    extendStated(until, now);
    apply(now, [&] {
        if (until > m_statedUntil) {
            m_statedUntil = until;
            m_statedAt = now;
        }
    });
}

void endpoint_warmup::onMayBeCold(time_point since, time_point now)
{
    apply(now, [&] { m_doubtedSince = std::max(m_doubtedSince.value_or(since), since); });
}

time_point endpoint_warmup::unknownUntil(const std::optional<time_point> &since) const
{
    return since ? *since + m_terms->time : time_point{};
}

time_point endpoint_warmup::coldUntil() const
{
    return m_terms ? std::max({m_listedUntil, m_statedUntil, unknownUntil(m_announcedAt), unknownUntil(m_doubtedSince)}) : time_point{};
}

std::optional<duration> endpoint_warmup::report(time_point now) const
{
    return now < m_tellUntil && m_statedUntil > now ? std::optional(m_statedUntil - now) : std::nullopt;
}

void endpoint_warmup::take(time_point now)
{
    if (isCold(now)) {
        m_pace.take(now);
    }
}

} // namespace plantainpoint
