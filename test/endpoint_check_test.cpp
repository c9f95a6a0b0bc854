// Tests whether the process of an endpoint that broke off an answer is recognised as ended, from its sockets.
#include <optional>

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include "endpoint_check.hpp"
#include "shell_support.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;
using std::chrono::milliseconds;

namespace {

struct check_fixture {
    check_fixture()
        : listener(io, {boost::asio::ip::address_v4::loopback(), 0})
        , timer(io)
        , address("127.0.0.1:" + std::to_string(listener.local_endpoint().port()))
    {
    }

    void closeListenerAfter(milliseconds delay)
    {
        timer.expires_after(delay);
        timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                listener.close();
                accepted.clear();
            }
        });
    }
    // Accepts connections until the listener is closed, and closes each of them at once if it is asked to.
    void acceptAll(bool closeAtOnce)
    {
        listener.async_accept([this, closeAtOnce](const boost::system::error_code &error, tcp::socket socket) {
            if (error) {
                return;
            }
            ++connections;
            if (!closeAtOnce) {
                accepted.push_back(std::move(socket));
            }
            acceptAll(closeAtOnce);
        });
    }
    std::optional<bool> check(const endpoint_check_times &times = {})
    {
        std::optional<bool> refused;
        checkEndpoint(
            io,
            {{"dec-1"}, address},
            [&](const endpoint_checked &checked) {
                BOOST_TEST(!refused.has_value());
                BOOST_TEST(checked.endpoint.value == "dec-1");
                refused = checked.refused;
            },
            times);
        BOOST_TEST(!refused.has_value());
        BOOST_REQUIRE(runUntil(io, [&] { return refused.has_value(); }));
        return refused;
    }

    boost::asio::io_context io;
    tcp::acceptor listener;
    boost::asio::steady_timer timer;
    std::string address;
    std::vector<tcp::socket> accepted;
    int connections = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(endpoint_check, check_fixture)

// Guards against an endpoint that is not recognised as ended although nothing listens at its address any more.
BOOST_AUTO_TEST_CASE(anAddressWithoutAListenerIsRefused)
{
    listener.close();
    BOOST_TEST(*check());
}

// Guards against a crash that is overlooked because the listener outlives the connections: the system closes it later on a busy machine, or while another
// thread of the process still waits for connections.
BOOST_AUTO_TEST_CASE(aListenerThatIsClosedLateIsRefused)
{
    for (const auto delay : {milliseconds{60}, milliseconds{120}, milliseconds{400}, milliseconds{900}}) {
        BOOST_TEST_CONTEXT("closed after " << delay.count() << " ms")
        {
            listener = tcp::acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
            address = "127.0.0.1:" + std::to_string(listener.local_endpoint().port());
            closeListenerAfter(delay);
            BOOST_TEST(*check());
        }
    }
}

// Guards against the same when the process still accepted the connection of the check.
BOOST_AUTO_TEST_CASE(aProcessThatEndsAfterItAcceptedTheCheckIsRefused)
{
    acceptAll(false);
    closeListenerAfter(milliseconds{300});
    BOOST_TEST(*check());
}

// Guards against a crash that is overlooked because the endpoint's queue of connections was full: the system leaves the connection of the check unanswered.
BOOST_AUTO_TEST_CASE(aProcessThatEndsWithAFullQueueIsRefused)
{
    const auto target = listener.local_endpoint();
    listener.listen(0);
    std::vector<tcp::socket> queued;
    for (int i = 0; i < 4; ++i) {
        queued.emplace_back(io).async_connect(target, [](const boost::system::error_code &) {});
    }
    runUntil(
        io, [] { return false; }, milliseconds{20});
    closeListenerAfter(milliseconds{10});
    const endpoint_check_times shortTimes{.delay = {}, .watch = milliseconds{400}, .connect = milliseconds{50}, .retry = milliseconds{10}};
    BOOST_TEST(*check(shortTimes));
}

// Guards against the same when the listener is closed between the connection of the check and its completion.
BOOST_AUTO_TEST_CASE(aListenerThatIsClosedDuringTheCheckIsRefused)
{
    const endpoint_check_times shortTimes{.delay = {}, .watch = milliseconds{40}, .connect = milliseconds{10}, .retry = milliseconds{5}};
    for (int i = 0; i < 50; ++i) {
        listener = tcp::acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
        address = "127.0.0.1:" + std::to_string(listener.local_endpoint().port());
        std::optional<bool> refused;
        checkEndpoint(
            io, {{"dec-1"}, address}, [&](const endpoint_checked &checked) { refused = checked.refused; }, shortTimes);
        io.restart();
        io.poll_one(); // Begins to connect.
        listener.close();
        BOOST_REQUIRE(runUntil(io, [&] { return refused.has_value(); }));
        BOOST_TEST(*refused);
    }
}

// Guards against an endpoint that runs on and counts as ended, and against more than one connection to it.
BOOST_AUTO_TEST_CASE(aRunningEndpointIsNotRefused)
{
    acceptAll(false);
    BOOST_TEST(!*check());
    BOOST_TEST(connections == 1);
}

// Guards against many connections to an endpoint that resets those beyond its limit.
BOOST_AUTO_TEST_CASE(anEndpointThatClosesTheConnectionIsTriedAFewTimes)
{
    acceptAll(true);
    BOOST_TEST(!*check());
    BOOST_TEST(connections >= 2);
    BOOST_TEST(connections <= 8);
}

// Guards against an address that cannot be parsed and counts as an ended endpoint.
BOOST_AUTO_TEST_CASE(anAddressThatCannotBeParsedTellsNothing)
{
    address = "nowhere";
    BOOST_TEST(!*check());
}

BOOST_AUTO_TEST_SUITE_END()
