// The time for which an endpoint is cold, and the pace at which this VM sends to it meanwhile.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "plantainpoint/clock.hpp"
#include "request_pace.hpp"

namespace plantainpoint {

// What the configuration says of the cold endpoints of a service.
struct cold_terms {
    duration time{}; // An endpoint is cold for this time after its start.
    double perSecond = 0; // Requests that a cold endpoint takes from all VMs together.

    bool operator==(const cold_terms &) const = default;
};

// An endpoint that ends under load is started again while its callers wait, and crashes once more if they all return at once. As long as it may be cold, it
// gets requests at the pace of the configuration only. What is not known counts as cold. Of two statements that may have been written in either order, the
// longer one holds.
class endpoint_warmup
{
public:
    // Sets the terms of the service. Without terms, the endpoint is never cold.
    void setTerms(const std::optional<cold_terms> &terms, time_point now);
    // Sets the part of the pace that this VM may use. The seed spreads the first permits of VMs with a small part over time.
    void setShare(double share, std::uint64_t seed, time_point now);

    // Records the first entry of a run, and the time that it states. A run that was listed before this VM looked is as warm as it says.
    void onRun(std::optional<duration> listedLeft, bool justAnnounced, time_point now);
    // Records that a further entry of the run states another time than the one before.
    void onListed(std::optional<duration> listedLeft, time_point now);
    // Records what an answer to a request sent at the time states. Returns whether the endpoint is cold for longer than was known.
    bool onStated(duration left, time_point sentAt, time_point now);
    // Records an answer whose statement cannot be read. Returns whether the endpoint counts as cold because of it.
    bool onUnreadable(time_point now);
    // Records what an answer to another VM stated.
    void onReported(duration left, time_point now);
    // Counts the endpoint as cold, as it may have started again or idled until the time.
    void onMayBeCold(time_point since, time_point now);

    // Returns whether the endpoint gets fewer requests while it is cold.
    bool isPaced() const { return m_terms.has_value(); }
    bool isCold(time_point now) const { return coldUntil() > now; }
    // Returns the end of the cold time. It has passed if the endpoint is warm.
    time_point coldUntil() const;
    // Returns the time that other VMs are told, or nothing if no answer has lately stated a longer one.
    std::optional<duration> report(time_point now) const;

    // Returns requests a second that this VM may send, or nothing if the endpoint is not cold.
    std::optional<double> rate(time_point now) const { return isCold(now) ? m_pace.rate() : std::nullopt; }
    bool allows(time_point now) const { return !isCold(now) || m_pace.allows(now); }
    // Uses a permit if the endpoint is cold.
    void take(time_point now);

private:
    template<class Change>
    void apply(time_point now, Change change);
    void setRate(time_point now);
    time_point unknownUntil(const std::optional<time_point> &since) const;
    bool extendStated(time_point until, time_point now);

    std::optional<cold_terms> m_terms;
    time_point m_listedUntil{}; // By the directory.
    time_point m_listedAt{};
    time_point m_statedUntil{}; // By answers.
    time_point m_statedAt{};
    std::optional<time_point> m_announcedAt; // The directory shows the run since then, and not how cold it is.
    std::optional<time_point> m_doubtedSince;
    bool m_unreadable = false; // No statement could be read since one that could not.
    time_point m_tellUntil{};
    double m_share = 0;
    std::uint64_t m_seed = 0;
    request_pace m_pace;
};

} // namespace plantainpoint
