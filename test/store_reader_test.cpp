// reads of the platform's store that cross what another VM tells
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include "platform_bytes.hpp"
#include "shell_support.hpp"
#include "store_codec.hpp"
#include "store_reader.hpp"

using namespace plantainpoint;
using namespace plantainpoint::platform;
using namespace plantainpoint::test;

namespace {

std::string worker(const std::string &address)
{
    return R"({"service":"desk","addr":")" + address + R"(","zone":"z-a","slots":2,"state":"ready","seq":4,"born":1767225600000})";
}

// state of another VM that has read the workers' topic up to an offset
std::string stateOf(const std::map<std::string, std::string> &workers, std::uint64_t next)
{
    const nlohmann::json state{{"config", std::map<std::string, std::string>{}}, {"config_next", 0}, {"workers", workers}, {"workers_next", next}};
    std::string bytes;
    nlohmann::json::to_cbor(state, bytes);
    return bytes;
}

// a store that answers when the test says so
struct store_fixture {
    store_fixture()
        : acceptor(io, {boost::asio::ip::address_v4::loopback(), 0})
        , http(io, {.connectTimeout = std::chrono::milliseconds{500}, .maxIdlePerAddress = 4})
        , logger(severity::Error, log_format::Text)
    {
        options.core.self = {{"vm-1"}, 1};
        options.directoryAddress = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        options.directoryInterval = std::chrono::milliseconds{10};
        accept();
    }

    void accept()
    {
        acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (!error) {
                connections.emplace_back(std::move(socket));
                accept();
            }
        });
    }

    // the connection whose open request has this target
    raw_connection *requestFor(const std::string &target)
    {
        raw_connection *found = nullptr;
        const bool came = runUntil(io, [&] {
            for (auto &connection : connections) {
                const auto at = connection.received().rfind(target);
                if (at != std::string::npos && connection.received().find("\r\n\r\n", at) != std::string::npos && answered[&connection] <= at) {
                    found = &connection;
                }
            }
            return found != nullptr;
        });
        return came ? found : nullptr;
    }

    void answer(raw_connection &connection, const std::string &body)
    {
        answered[&connection] = connection.received().size();
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    // waits for the request and answers it
    void serve(const std::string &target, const std::string &body)
    {
        auto *const connection = requestFor(target);
        BOOST_REQUIRE(connection != nullptr);
        answer(*connection, body);
    }

    void take(relay_input message)
    {
        const auto *const read = std::get_if<directory_read>(&message);
        if (read == nullptr) {
            return;
        }
        if (read->whole) {
            addresses.clear();
        }
        for (const auto &[name, endpoint] : read->changed) {
            addresses[name.value] = endpoint ? endpoint->address : "";
        }
        positions.push_back(read->position);
    }

    static std::string newest(std::uint64_t end, const std::string &name, const std::string &value)
    {
        return nlohmann::json{{"end", end}, {"has_more", false}, {"items", {{{"key", name}, {"value", absl::Base64Escape(value)}}}}}.dump();
    }

    static constexpr const char *newestWorkers = "/api/log-newest?topic=keyed.servers";
    static constexpr const char *readWorkers = "/api/log-read?topic=keyed.servers";

    boost::asio::io_context io;
    tcp::acceptor acceptor;
    std::deque<raw_connection> connections;
    std::map<const raw_connection *, std::size_t> answered; // bytes of requests that have their answers
    http_client http;
    relay_options options;
    line_logger logger;
    store_reader reader{io, http, options, [this](relay_input message) { take(std::move(message)); }, logger};
    std::map<std::string, std::string> addresses; // of the workers, as the core knows them
    std::vector<std::uint64_t> positions;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_reading, store_fixture)

// guards against an answer that was on its way when newer state arrived: its records would count twice
BOOST_AUTO_TEST_CASE(answerThatStateHasOvertakenIsDropped)
{
    reader.start();
    serve(newestWorkers, newest(1, "w-1", worker("10.0.0.1:1")));
    auto *const late = requestFor(std::string(readWorkers) + "&part=0&from=1");
    BOOST_REQUIRE(late != nullptr);
    reader.importState(stateOf({{"w-1", worker("10.0.0.3:1")}}, 3));
    answer(*late, logPage(2, 0, encodeKeyedRecord("w-1", worker("10.0.0.2:1"))));
    BOOST_TEST(requestFor(std::string(readWorkers) + "&part=0&from=3") != nullptr);
    BOOST_TEST(addresses["w-1"] == "10.0.0.3:1");
}

// guards against pages of the newest records that set newer state back
BOOST_AUTO_TEST_CASE(pagesOlderThanImportedStateAreDropped)
{
    reader.start();
    auto *const late = requestFor(newestWorkers);
    BOOST_REQUIRE(late != nullptr);
    reader.importState(stateOf({{"w-1", worker("10.0.0.3:1")}, {"w-2", worker("10.0.0.4:1")}}, 3));
    answer(*late, newest(1, "w-1", worker("10.0.0.1:1")));
    BOOST_TEST(requestFor(std::string(readWorkers) + "&part=0&from=3") != nullptr);
    BOOST_TEST(addresses["w-1"] == "10.0.0.3:1");
    BOOST_TEST(addresses["w-2"] == "10.0.0.4:1");
    BOOST_TEST((std::is_sorted(positions.begin(), positions.end())));
}

// guards against malformed state of another VM that takes what is known away
BOOST_AUTO_TEST_CASE(malformedStateChangesNothing)
{
    reader.start();
    serve(newestWorkers, newest(1, "w-1", worker("10.0.0.1:1")));
    BOOST_REQUIRE(requestFor(std::string(readWorkers) + "&part=0&from=1") != nullptr);
    reader.importState("no state");
    reader.importState(stateOf({{"w-1", worker("10.0.0.3:1")}}, 3).substr(0, 20));
    BOOST_TEST(addresses["w-1"] == "10.0.0.1:1");
}

BOOST_AUTO_TEST_SUITE_END()
