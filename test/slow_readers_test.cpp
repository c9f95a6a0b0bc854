// Tests that a caller which reads its answer slowly, but steadily, gets the whole of it.
#include <boost/test/unit_test.hpp>

#include "http_server.hpp"
#include "shell_support.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(slow_readers)

// Guards against an answer that is cut because a configuration lowered the idle time while its caller was reading it.
BOOST_AUTO_TEST_CASE(loweredIdleTimeDoesNotCutAnAnswerThatIsBeingRead)
{
    boost::asio::io_context io;
    shell_metrics metrics;
    std::vector<caller_request> requests;
    server_limits limits;
    limits.idleTime = 5000ms;
    http_server server(
        io,
        http_server_settings{limits, {}, request_handling::Opaque},
        [&](input message) {
            if (auto *request = std::get_if<caller_request>(&message)) {
                requests.push_back(std::move(*request));
            }
        },
        quietLogger(),
        metrics);
    BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
    tcp::socket caller(io);
    caller.connect({boost::asio::ip::address_v4::loopback(), server.port()});
    boost::asio::write(caller, boost::asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")));
    BOOST_REQUIRE(runUntil(io, [&] { return !requests.empty(); }));
    const std::size_t size = 16 * 1024 * 1024;
    server.run(answer_plain{requests[0].caller, {}, 200, {}, std::string(size, 'x')});
    server.setBounds({.headerSize = 16384, .bodySize = 1 << 20, .idleTime = 1000ms});
    std::size_t received = 0;
    std::vector<char> block(128 * 1024);
    boost::system::error_code error;
    caller.non_blocking(true);
    const auto begin = std::chrono::steady_clock::now();
    // About 3 MB a second.
    while (received < size && std::chrono::steady_clock::now() - begin < 20s) {
        received += caller.read_some(boost::asio::buffer(block), error);
        if (error && error != boost::asio::error::would_block) {
            break;
        }
        io.run_for(40ms);
    }
    BOOST_TEST(received >= size);
    BOOST_TEST(metrics.slowCallers == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
