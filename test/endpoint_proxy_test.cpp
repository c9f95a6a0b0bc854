// Tests connections to endpoints through another VM, over real connections.
#include <boost/test/unit_test.hpp>

#include "admin_server.hpp"
#include "endpoint_probe.hpp"
#include "endpoint_proxy.hpp"
#include "http_client.hpp"
#include "shell_support.hpp"

using namespace plantainpoint;
using namespace plantainpoint::test;

namespace {

const std::string head = "HTTP/1.1 200 OK\r\n";

struct proxy_fixture {
    proxy_fixture()
        : acceptor(io, {boost::asio::ip::address_v4::loopback(), 0})
        , proxy(
              io, [this](const endpoint_name &endpoint, std::int64_t startedAt) { return admit(endpoint, startedAt); }, quietLogger())
        , server(io, views())
        , client(io, {.connectTimeout = std::chrono::milliseconds{500}, .proxyConnectTimeout = std::chrono::milliseconds{700}})
    {
        BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
    }

    admin_views views()
    {
        admin_views result;
        result.connect = [this](tcp::socket socket, endpoint_proxy::request_type request) { return proxy.serve(std::move(socket), std::move(request)); };
        return result;
    }
    proxy_admission admit(const endpoint_name &endpoint, std::int64_t startedAt) const
    {
        proxy_admission result{.address = address(acceptor.local_endpoint().port()), .otherAddresses = others, .otherProxies = {"127.0.0.1:1", "127.0.0.1:2"}};
        if (endpoint.value != "i-1" || startedAt != 7) {
            result.refusal = "unknown";
        }
        return result;
    }
    static std::string address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

    struct result {
        std::optional<transfer_end> end;
        bool maybeSent = false;
        int status = 0;
        std::string body;
    };
    // Sends a request through the proxy.
    std::shared_ptr<result> request(const std::string &endpoint = "i-1")
    {
        auto out = std::make_shared<result>();
        http_call call{.request = makeRequest(boost::beast::http::verb::get, "/x"), .timeout = std::chrono::seconds{4}};
        call.proxy = proxy_route{address(server.port()), endpoint, 7, [this](std::vector<std::string> addresses) { named = std::move(addresses); }};
        client.start(address(acceptor.local_endpoint().port()),
                     std::move(call),
                     collectResponse([out](transfer_end end, bool maybeSent, int status, const http_fields &, std::string body) {
                         *out = {end, maybeSent, status, std::move(body)};
                     }));
        return out;
    }
    raw_connection accept()
    {
        tcp::socket socket(io);
        bool accepted = false;
        acceptor.async_accept(socket, [&](const boost::system::error_code &error) { accepted = !error; });
        BOOST_REQUIRE(runUntil(io, [&] { return accepted; }));
        return raw_connection(std::move(socket));
    }
    probe_result probe(const std::string &proxyAddress)
    {
        std::optional<probe_result> out;
        probeEndpoint(
            io,
            {{"i-1"}, 7, address(acceptor.local_endpoint().port()), proxyAddress},
            [](std::vector<std::string>) {},
            [&](endpoint_probed probed) { out = probed.result; });
        BOOST_REQUIRE(runUntil(io, [&] { return out.has_value(); }));
        return *out;
    }

    boost::asio::io_context io;
    tcp::acceptor acceptor;
    std::vector<std::string> others;
    std::vector<std::string> named;
    endpoint_proxy proxy;
    admin_server server;
    http_client client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(endpoint_proxies, proxy_fixture)

// Guards against requests that are changed on the way, and against a new connection for each of them.
BOOST_AUTO_TEST_CASE(answersPassThroughOneConnection)
{
    auto first = request();
    auto endpoint = accept();
    for (int i = 0; i < 3; ++i) {
        BOOST_REQUIRE(runUntil(io, [&] { return endpoint.has("GET /x HTTP/1.1\r\n"); }));
        endpoint.clear();
        endpoint.send(head + "Content-Length: 4\r\n\r\nmine");
        BOOST_REQUIRE(runUntil(io, [&] { return first->end.has_value(); }));
        BOOST_TEST(static_cast<int>(*first->end) == static_cast<int>(transfer_end::Complete));
        BOOST_TEST(first->body == "mine");
        if (i < 2) {
            first = request();
        }
    }
    BOOST_TEST(proxy.servedTunnels() == 1U);
    BOOST_TEST(named.size() == 2U);
}

// Guards against an answer without a length that is reset, or whose proxy goes, and that looks whole.
BOOST_AUTO_TEST_CASE(onlyARegularEndCompletesAnAnswerWithoutALength)
{
    const auto play = [&](auto end) {
        auto call = request();
        auto endpoint = accept();
        BOOST_REQUIRE(runUntil(io, [&] { return endpoint.has("\r\n\r\n"); }));
        endpoint.send(head + "\r\nhalf");
        runUntil(
            io, [] { return false; }, std::chrono::milliseconds{50});
        end(endpoint);
        BOOST_REQUIRE(runUntil(io, [&] { return call->end.has_value(); }));
        return *call->end;
    };
    BOOST_TEST(static_cast<int>(play([](auto &endpoint) { endpoint.close(); })) == static_cast<int>(transfer_end::Complete));
    BOOST_TEST(static_cast<int>(play([](auto &endpoint) { endpoint.reset(); })) == static_cast<int>(transfer_end::Closed));
    BOOST_TEST(static_cast<int>(play([&](auto &) {
                   runUntil(
                       io, [] { return false; }, std::chrono::milliseconds{1100});
                   proxy.closeQuiet();
               }))
               == static_cast<int>(transfer_end::Closed));
}

// Guards against an endpoint that counts as down, or as reached, because of the proxy.
BOOST_AUTO_TEST_CASE(failuresOfEndpointAndProxyAreToldApart)
{
    const auto endOf = [&](const std::shared_ptr<result> &call) {
        BOOST_REQUIRE(runUntil(io, [&] { return call->end.has_value(); }));
        BOOST_TEST(!call->maybeSent);
        return static_cast<int>(*call->end);
    };
    BOOST_TEST(endOf(request("i-2")) == static_cast<int>(transfer_end::ProxyFailed));
    BOOST_TEST((probe(address(server.port())) == probe_result::Reached));
    tcp::acceptor other(io, {boost::asio::ip::address_v4::loopback(), 0});
    const auto endpointAddress = acceptor.local_endpoint();
    acceptor.close();
    // Nothing else is reached either: the proxy may be cut off itself.
    acceptor = tcp::acceptor(io);
    acceptor.open(tcp::v4());
    acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    BOOST_TEST(endOf(request()) == static_cast<int>(transfer_end::ProxyFailed));
    others = {address(other.local_endpoint().port())};
    BOOST_TEST(endOf(request()) == static_cast<int>(transfer_end::ConnectFailed));
    BOOST_TEST((probe(address(server.port())) == probe_result::Unreachable));
    BOOST_TEST((probe(address(endpointAddress.port())) == probe_result::ProxyFailed));
}

// Guards against a proxy whose answer does not end or is none.
BOOST_AUTO_TEST_CASE(answersOfAProxyThatAreNoneFail)
{
    for (const std::string &answer : {std::string("HTTP/1.1 200 OK\r\n") + std::string(100'000, 'x'),
                                      std::string("no http\r\n\r\n"),
                                      std::string("HTTP/1.1 200 OK\r\n\r\nunasked"),
                                      std::string("HTTP/1.1 407 No\r\n\r\n")}) {
        tcp::acceptor fake(io, {boost::asio::ip::address_v4::loopback(), 0});
        std::optional<transfer_end> end;
        http_call call{.request = makeRequest(boost::beast::http::verb::get, "/x"), .timeout = std::chrono::seconds{4}};
        call.proxy = proxy_route{address(fake.local_endpoint().port()), "i-1", 7, {}};
        client.start("127.0.0.1:9", std::move(call), collectResponse([&](transfer_end result, auto &&...) { end = result; }));
        tcp::socket socket(io);
        fake.async_accept(socket, [&](const boost::system::error_code &) {});
        BOOST_REQUIRE(runUntil(io, [&] { return socket.is_open(); }));
        raw_connection connection(std::move(socket));
        BOOST_REQUIRE(runUntil(io, [&] { return connection.has("\r\n\r\n"); }));
        BOOST_TEST(connection.has("CONNECT 127.0.0.1:9 HTTP/1.1"));
        connection.sendSome(answer);
        BOOST_REQUIRE(runUntil(io, [&] { return end.has_value(); }));
        BOOST_TEST(static_cast<int>(*end) == static_cast<int>(transfer_end::ProxyFailed));
    }
    BOOST_TEST(parseProxies("127.0.0.1:1,x,,10.0.0.1:99999,10.0.0.1:7500").size() == 2U);
}

// Guards against a side that does not read and makes the proxy keep what the other one sends.
BOOST_AUTO_TEST_CASE(aSideThatDoesNotReadStopsTheOther)
{
    raw_connection caller(io, server.port());
    caller.send("CONNECT x HTTP/1.1\r\nHost: x\r\nEndpoint: i-1\r\nEndpoint-Started: 7\r\n\r\n");
    auto endpoint = accept();
    BOOST_REQUIRE(runUntil(io, [&] { return caller.has("200 OK"); }));
    constexpr std::size_t socketBytes = 32 * 1024 * 1024; // What the four sockets may hold.
    const std::string block(64 * 1024, 'x');
    std::size_t sent = 0;
    for (int idle = 0; idle < 20 && sent <= 2 * socketBytes;) {
        const auto size = endpoint.sendSome(block);
        sent += size;
        idle = size == 0 ? idle + 1 : 0;
        runUntil(
            io, [] { return false; }, std::chrono::milliseconds{2});
    }
    BOOST_TEST(sent <= socketBytes);
}

BOOST_AUTO_TEST_SUITE_END()
