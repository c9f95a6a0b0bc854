// Tells the end of a stream from the end of its connection where the endpoint marks nothing else. A process that ends, or that drops its connections, closes
// them in the same way as at the end of a stream.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/ids.hpp"

namespace plantainpoint {

// Reason for which the end of a connection may not be that of the answer.
enum class end_doubt : std::uint8_t {
    None,
    EndpointEnded,
    EndpointRestarted,
    EndpointUnlisted,
    EndpointLeaving,
    EndpointUnreached, // It is not known whether the endpoint runs on.
    EndpointRefuted, // The endpoint has lately ended a stream early.
    NoEvent, // The answer to a request for the rest of a stream had no event.
    NothingProved, // No stream of the service has lately proved to be whole.
    OtherEvent, // Whole streams of the service end with another event.
    OtherSilence, // Whole streams of the service end after another pause, or the pause is not known.
    SameMoment, // Another stream of the endpoint ended in doubt at the same moment.
};

constexpr std::string_view nameOf(end_doubt value)
{
    constexpr std::array names{std::string_view{"none"},
                               std::string_view{"endpoint_ended"},
                               std::string_view{"endpoint_restarted"},
                               std::string_view{"endpoint_unlisted"},
                               std::string_view{"endpoint_leaving"},
                               std::string_view{"endpoint_unreached"},
                               std::string_view{"endpoint_refuted"},
                               std::string_view{"no_event"},
                               std::string_view{"nothing_proved"},
                               std::string_view{"other_event"},
                               std::string_view{"other_silence"},
                               std::string_view{"same_moment"}};
    return names.at(static_cast<std::size_t>(value));
}

// Returns a digest of an event that does not depend on its id.
std::uint64_t digestOfEvent(std::string_view event);

// How a stream ended.
struct stream_end {
    std::uint64_t finalEvent = 0; // Digest of its last event.
    duration silence{}; // Time between its last bytes and the end of the connection.
    duration eventInterval{}; // Mean time between two of its events.
    bool isSilenceKnown = true; // It is not if a VM that was suspended has read both at once.
};

// How whole streams of one software version of a service end. A stream is whole if another endpoint, asked for what follows its last event, has nothing,
// or if its endpoint has marked its end.
class stream_end_history
{
public:
    void onProved(const stream_end &end, time_point now);
    // Records the last event of a stream whose endpoint has marked its end. Streams without a mark that end with another one may be whole, as they may be of
    // another route.
    void onMarked(std::uint64_t finalEvent);
    // Records the end of a stream that counts as whole because nothing speaks against it.
    void onAssumed(const stream_end &end);
    // Records that a stream has gone on after an event.
    void onContinued(std::uint64_t event);
    // Records that a stream has broken off.
    void onBroken(time_point now) { m_brokenAt = now; }
    // Returns whether no stream of the service has broken off lately, as far as this VM knows.
    bool isCalm(time_point now) const { return !m_brokenAt || now - *m_brokenAt >= calmTime; }
    // Records that the end of a stream is in doubt, and that it is not any more. The number identifies the stream.
    void doubt(std::uint64_t stream, const endpoint_name &endpoint, time_point at);
    void acquit(std::uint64_t stream);
    // Returns whether another stream of the endpoint ended in doubt at the same moment.
    bool hasDoubt(std::uint64_t stream, const endpoint_name &endpoint, time_point at) const;

    // Returns whether all proved streams end with one event, after which none goes on.
    bool hasFinalEvent() const { return m_proved.isKnown(); }
    // Returns why a stream may not be whole, as far as its end itself tells.
    end_doubt compare(const stream_end &end, time_point now) const;

    // Only one end at a time is to be proved while nothing is known of the service.
    bool isBeingProved(time_point now) const { return now < m_provingUntil; }
    void onProving(time_point now) { m_provingUntil = now + provingTime; }

private:
    static constexpr duration knownTime = std::chrono::seconds{30}; // What is known of a service without a final event holds for this time.
    static constexpr duration calmTime = std::chrono::seconds{30};
    static constexpr duration provingTime = std::chrono::milliseconds{500};
    static constexpr duration sameMoment = std::chrono::milliseconds{20}; // An endpoint that drops its connections ends them within this time.
    static constexpr duration doubtTime = std::chrono::seconds{2}; // Doubts are settled within this time.
    static constexpr int neededFinalEvents = 3;
    static constexpr std::size_t maxSilences = 32;
    static constexpr std::size_t unusualPart = 10; // One part of so many silences is left out: the longest ones, as any of them would hide a broken stream.
    // Tolerance of silences. Other ends come at any moment between two events.
    static constexpr duration leastTolerance = std::chrono::microseconds{100};
    // One part of so many of the mean time between two events is tolerated for each silence that is known, up to the maximum.
    static constexpr std::int64_t intervalParts = 4;
    static constexpr std::int64_t maxIntervalParts = 64;
    // After a stream has broken off, silences count as usual within one part of so many of that time only: broken streams end at any moment of it.
    static constexpr std::int64_t strictParts = 20;

    // The event with which the last streams have ended.
    class final_event
    {
    public:
        void onEnd(std::uint64_t event);
        void onContinued(std::uint64_t event);
        bool isKnown() const { return m_ends >= neededFinalEvents; }
        bool is(std::uint64_t event) const { return isKnown() && event == m_digest; }

    private:
        std::uint64_t m_digest = 0;
        int m_ends = 0; // Whole streams in a row that ended with it.
    };

    struct doubted_end {
        std::uint64_t stream = 0;
        endpoint_name endpoint;
        time_point at{};
    };

    bool isUsualSilence(const stream_end &end, time_point now) const;

    final_event m_proved;
    final_event m_marked;
    std::array<duration, maxSilences> m_silences{}; // Before the last ends of whole streams.
    std::size_t m_silenceCount = 0;
    time_point m_provedAt{};
    std::optional<time_point> m_brokenAt;
    time_point m_provingUntil{};
    std::vector<doubted_end> m_doubted;
};

} // namespace plantainpoint
