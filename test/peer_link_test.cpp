// Tests that only VMs with the fleet key exchange messages, and that transit time counts towards the ages in a message.
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
    bool inputArrives()
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

// Guards against messages that are lost while the connection is being set up, or altered in transit.
BOOST_AUTO_TEST_CASE(messagesArrive)
{
    peer_link sender(
        io, vm_name{"vm-1"}, fleetKey, clock, [](input) {}, quietLogger(), metrics);
    sender.run(message());
    BOOST_REQUIRE(inputArrives());
    const auto &received = std::get<peer_received>(inputs[0]).message;
    BOOST_TEST(received.from.vm.value == "vm-1");
    BOOST_TEST(received.sequence == 3U);
    BOOST_TEST(std::get<log_fetch>(received.body).from == 42U);
}

// Guards against a process without the fleet key that moves rate capacity or cancels work.
BOOST_AUTO_TEST_CASE(wrongFleetKeyIsRefused)
{
    peer_link unauthenticatedPeer(
        io, vm_name{"vm-1"}, "another key of the same size....", clock, [](input) {}, quietLogger(), metrics);
    unauthenticatedPeer.run(message());
    BOOST_TEST(runUntil(io, [&] { return metrics.peerConnectionsRefused == 1; }));
    BOOST_TEST(inputs.empty());
}

// Guards against an authenticated peer that sends a message under the name of another VM.
BOOST_AUTO_TEST_CASE(mismatchedSenderNameIsDropped)
{
    peer_link sender(
        io, vm_name{"vm-1"}, fleetKey, clock, [](input) {}, quietLogger(), metrics);
    sender.run(message("vm-3"));
    BOOST_TEST(!inputArrives());
}

// Guards against handshake proofs that are reflected to their sender, and against two pairs of names whose concatenation is the same.
BOOST_AUTO_TEST_CASE(proofsAreBoundToSideAndNames)
{
    const peer_hello a{vm_name{"a"}, "n1"};
    const peer_hello b{vm_name{"b"}, "n2"};
    BOOST_TEST(proofOf(fleetKey, handshake_side::Dialer, a, b) != proofOf(fleetKey, handshake_side::Acceptor, a, b));
    BOOST_TEST(proofOf(fleetKey, handshake_side::Dialer, {vm_name{"ab"}, "n1"}, {vm_name{"c"}, "n2"})
               != proofOf(fleetKey, handshake_side::Dialer, {vm_name{"a"}, "n1"}, {vm_name{"bc"}, "n2"}));
}

// Guards against memory exhaustion by a large frame from an unauthenticated connection, and against messages sent before the handshake proof.
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

// Guards against frames that are lost or duplicated when a read ends within them.
BOOST_AUTO_TEST_CASE(framesSplitAcrossReadsAreComplete)
{
    const std::string stream = frame("one") + frame("") + frame("three");
    for (std::size_t split = 0; split <= stream.size(); ++split) {
        frame_reader reader;
        std::vector<std::string> frames;
        const auto collect = [&](std::string_view payload) {
            frames.emplace_back(payload);
            return true;
        };
        BOOST_REQUIRE(reader.feed(std::string_view{stream}.substr(0, split), collect));
        BOOST_REQUIRE(reader.feed(std::string_view{stream}.substr(split), collect));
        BOOST_REQUIRE((frames == std::vector<std::string>{"one", "", "three"}));
    }
}

// Guards against a log head proof that was delayed in transit and counts as recent.
BOOST_AUTO_TEST_CASE(transitTimeIsAddedToAges)
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
    // A mark that was never sent is ignored.
    age.onHeldMark({99, seconds{60}});
    BOOST_TEST((age.bound(time_point{milliseconds{12'100}}) == bound));
}

BOOST_AUTO_TEST_SUITE_END()
