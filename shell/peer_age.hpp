// Bounds on the age of messages from a peer, computed without comparing the clocks of two VMs.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/peer.hpp"

namespace plantainpoint {

// The newest mark that a sender has received. The receiver of the messages sends numbered marks. The sender reports with its
// messages which mark it received last and how long ago. The receiver knows when it sent that mark, so the message is not older
// than the time since then minus the time for which the sender held the mark.
struct held_mark {
    std::uint64_t number = 0;
    duration held{};
};

std::string markText(std::uint64_t number);
std::string heldMarkText(const held_mark &mark);
// Both return nothing when the text is of another kind.
std::optional<std::uint64_t> parseMark(std::string_view text);
std::optional<held_mark> parseHeldMark(std::string_view text);

// Bounds the age of the messages of one connection, on the receiver's side.
class message_age
{
public:
    // `now` is a time before which no message of the connection was sent.
    explicit message_age(time_point now);

    // Returns the number of the mark to send.
    std::uint64_t sendMark(time_point now);
    void onHeldMark(const held_mark &mark);
    // Returns the highest possible age of the newest message.
    duration bound(time_point now) const;

private:
    struct sent_mark {
        std::uint64_t number = 0;
        time_point at;
    };

    std::deque<sent_mark> m_sent;
    std::uint64_t m_last = 0;
    time_point m_origin; // The newest message was sent at or after this time.
};

// Adds the transit time to every age that the message states. Returns false when the message is too old to describe the present state.
bool addTransitTime(peer_message &message, duration transitTime);

} // namespace plantainpoint
