// Tests that pages of the log which take long to arrive are read.
#include <boost/test/unit_test.hpp>

#include <optional>

#include <nlohmann/json.hpp>

#include "clocks.hpp"
#include "log_client.hpp"
#include "shell_support.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(slow_log_pages)

// Guards against a read with a time limit on the whole page: over a slow link, each one is cut off and starts anew at the same offset.
BOOST_AUTO_TEST_CASE(slowPageIsReadToItsEnd)
{
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
    std::optional<raw_connection> connection;
    acceptor.async_accept([&](const boost::system::error_code &error, tcp::socket socket) {
        if (!error) {
            connection.emplace(std::move(socket));
        }
    });
    http_client http(io);
    const boot_time_source clock;
    std::optional<input> result;
    log_client client(http, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), clock, [&](input message) { result = std::move(message); });
    client.run(read_log{.from = 3, .maxEntries = 10, .wait = {}});
    BOOST_REQUIRE(runUntil(io, [&] { return connection && connection->has("\r\n\r\n"); }));
    std::string page;
    nlohmann::json::to_cbor({{"first", 0}, {"head", 4}, {"entries", {{3, std::string(50'000, 'x')}}}}, page);
    const auto bytes = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(page.size()) + "\r\n\r\n" + page;
    constexpr std::size_t parts = 20;
    const auto partSize = bytes.size() / parts + 1;
    for (std::size_t sent = 0; sent < bytes.size(); sent += partSize) {
        connection->send(std::string_view(bytes).substr(sent, partSize));
        const auto until = std::chrono::steady_clock::now() + milliseconds{100};
        runUntil(io, [&] { return std::chrono::steady_clock::now() >= until; });
    }
    BOOST_REQUIRE(runUntil(io, [&] { return result.has_value(); }));
    const auto *const read = std::get_if<log_read>(&*result);
    BOOST_REQUIRE(read != nullptr);
    BOOST_REQUIRE_EQUAL(read->entries.size(), 1);
    BOOST_TEST(read->entries[0].payload.size() == 50'000);
}

BOOST_AUTO_TEST_SUITE_END()
