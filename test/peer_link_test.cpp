// only VMs that hold the fleet key exchange messages, and old messages do not pass for new ones
#include <boost/test/unit_test.hpp>

#include "clocks.hpp"
#include "peer_age.hpp"
#include "peer_frames.hpp"
#include "peer_handshake.hpp"
#include "peer_link.hpp"
#include "shell_support.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

const std::string fleetKey = "0123456789abcdef0123456789abcdef";

struct link_fixture {
    link_fixture()
        : receiver(
            io, vm_name{"vm-2"}, fleetKey, clock, [this](input message) { inputs.push_back(std::move(message)); }, quietLogger(), metrics)
    {
        BOOST_REQUIRE(receiver.listen("127.0.0.1:0").ok());
    }

    send_peer message(const std::string &from = "vm-1") const
    {
        peer_message body{.from = {vm_name{from}, 7}, .sequence = 3, .body = log_fetch{.from = 42}};
        return {vm_name{"vm-2"}, "127.0.0.1:" + std::to_string(receiver.port()), std::move(body)};
    }
    bool arrives()
    {
        return runUntil(
            io, [&] { return !inputs.empty(); }, std::chrono::milliseconds{1000});
    }

    boost::asio::io_context io;
    boot_time_source clock;
    shell_metrics metrics;
    std::vector<input> inputs;
    peer_link receiver;
};

std::string frame(std::string_view payload)
{
    std::string out;
    appendFrame(out, payload);
    return out;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(peer_messages, link_fixture)

// guards against messages that are lost while the connection is being made, or changed on their way
BOOST_AUTO_TEST_CASE(messagesArrive)
{
    peer_link sender(
        io, vm_name{"vm-1"}, fleetKey, clock, [](input) {}, quietLogger(), metrics);
    sender.run(message());
    BOOST_REQUIRE(arrives());
    const auto &received = std::get<peer_received>(inputs[0]).message;
    BOOST_TEST(received.from.vm.value == "vm-1");
    BOOST_TEST(received.sequence == 3U);
    BOOST_TEST(std::get<log_fetch>(received.body).from == 42U);
}

// guards against a stranger who moves rate capacity or cancels work
BOOST_AUTO_TEST_CASE(wrongFleetKeyIsRefused)
{
    peer_link stranger(
        io, vm_name{"vm-1"}, "another key of the same size....", clock, [](input) {}, quietLogger(), metrics);
    stranger.run(message());
    BOOST_TEST(runUntil(io, [&] { return metrics.peerRefused == 1; }));
    BOOST_TEST(inputs.empty());
}

// guards against a peer that speaks in the name of another
BOOST_AUTO_TEST_CASE(foreignSenderIsDropped)
{
    peer_link sender(
        io, vm_name{"vm-1"}, fleetKey, clock, [](input) {}, quietLogger(), metrics);
    sender.run(message("vm-3"));
    BOOST_TEST(!arrives());
}

// guards against proofs that are sent back to their maker, and against two fields that run together
BOOST_AUTO_TEST_CASE(proofsAreBoundToSideAndNames)
{
    const peer_hello a{vm_name{"a"}, "n1"};
    const peer_hello b{vm_name{"b"}, "n2"};
    BOOST_TEST(proofOf(fleetKey, handshake_side::Dialer, a, b) != proofOf(fleetKey, handshake_side::Acceptor, a, b));
    BOOST_TEST(proofOf(fleetKey, handshake_side::Dialer, {vm_name{"ab"}, "n1"}, {vm_name{"c"}, "n2"})
               != proofOf(fleetKey, handshake_side::Dialer, {vm_name{"a"}, "n1"}, {vm_name{"bc"}, "n2"}));
}

// guards against memory that a stranger can fill with a large frame, and messages before the proof
BOOST_AUTO_TEST_CASE(oversizedAndEarlyFramesEndTheConnection)
{
    raw_connection large(io, receiver.port());
    large.send(std::string("\x00\x10\x00\x00", 4));
    BOOST_TEST(runUntil(io, [&] { return large.ended(); }));
    raw_connection early(io, receiver.port());
    early.send(frame(helloText({vm_name{"vm-1"}, makeNonce()})) + frame(R"({"jsonrpc":"2.0","method":"log_fetch","params":{}})"));
    BOOST_TEST(runUntil(io, [&] { return early.ended(); }));
    BOOST_TEST(inputs.empty());
}

// guards against frames that are lost or doubled where a read ends
BOOST_AUTO_TEST_CASE(framesSplitAcrossReadsAreWhole)
{
    const std::string stream = frame("one") + frame("") + frame("three");
    for (std::size_t at = 0; at <= stream.size(); ++at) {
        frame_reader reader;
        std::vector<std::string> frames;
        const auto keep = [&](std::string_view payload) {
            frames.emplace_back(payload);
            return true;
        };
        BOOST_REQUIRE(reader.feed(std::string_view{stream}.substr(0, at), keep));
        BOOST_REQUIRE(reader.feed(std::string_view{stream}.substr(at), keep));
        BOOST_REQUIRE((frames == std::vector<std::string>{"one", "", "three"}));
    }
}

// guards against a proof of the log's head that was delayed on its way and passes for a young one
BOOST_AUTO_TEST_CASE(timeOnTheWayIsAddedToAges)
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    message_age age(time_point{});
    const auto mark = age.sendMark(time_point{seconds{10}});
    age.onHeldMark({mark, seconds{2}});
    const auto bound = age.bound(time_point{milliseconds{12'100}});
    BOOST_TEST((bound >= milliseconds{100} && bound <= milliseconds{103}));
    peer_message heartbeatMessage{.body = heartbeat{.proofAge = milliseconds{500}, .heard = {peer_digest{.age = seconds{1}}}}};
    BOOST_TEST(addTransitTime(heartbeatMessage, milliseconds{300}));
    BOOST_TEST((std::get<heartbeat>(heartbeatMessage.body).proofAge == milliseconds{800}));
    BOOST_TEST((std::get<heartbeat>(heartbeatMessage.body).heard[0].age == milliseconds{1300}));
    BOOST_TEST(!addTransitTime(heartbeatMessage, seconds{2}));
    // a mark that was never sent proves nothing
    age.onHeldMark({99, seconds{60}});
    BOOST_TEST((age.bound(time_point{milliseconds{12'100}}) == bound));
}

BOOST_AUTO_TEST_SUITE_END()
