// Stand-in for a plain HTTP service. GET is an idempotent lookup, and any other method runs a booking and counts it.
#include <map>

#include "standin_main.hpp"

namespace {

using namespace plantainpoint::standin;

struct booking_faults {
    int responsesToLose = 0; // Number of bookings that run without a response.
    int lookupsToFail = 0; // Number of lookups that get no response.
};

class booking_service
{
public:
    explicit booking_service(milliseconds delay)
        : m_delay(delay)
    {
    }

    void addRoutes(http_service &service)
    {
        service.route("GET", "/v1/counters", [this](exchange &call) { return counters(call); });
        service.route("POST", "/v1/fault", [this](exchange &call) { return fault(call); });
        service.route("GET", "/", [this](exchange &call) { return lookup(call); });
        service.route("*", "/", [this](exchange &call) { return book(call); });
    }

private:
    void countAuthorizationHeader(const exchange &call)
    {
        if (call.request().count(http::field::authorization) != 0) {
            ++m_authorizationHeaders;
        }
    }

    asio::awaitable<void> lookup(exchange &call)
    {
        countAuthorizationHeader(call);
        co_await sleepFor(m_delay);
        if (m_faults.lookupsToFail > 0) {
            --m_faults.lookupsToFail;
            call.dropConnection();
            co_return;
        }
        ++m_lookups;
        const nlohmann::json body{{"path", call.path()}, {"free", true}};
        co_await call.reply(200, body);
    }

    asio::awaitable<void> book(exchange &call)
    {
        countAuthorizationHeader(call);
        const auto bookingId = call.jsonBody().value("booking", std::string("unnamed"));
        const auto runCount = ++m_bookings[bookingId];
        co_await sleepFor(m_delay);
        if (m_faults.responsesToLose > 0) {
            --m_faults.responsesToLose;
            call.dropConnection();
            co_return;
        }
        const nlohmann::json body{{"booking", bookingId}, {"run", runCount}};
        co_await call.reply(201, body);
    }

    asio::awaitable<void> counters(exchange &call)
    {
        const nlohmann::json body{{"bookings", m_bookings}, {"lookups", m_lookups}, {"authorization_seen", m_authorizationHeaders}};
        co_await call.reply(200, body);
    }

    asio::awaitable<void> fault(exchange &call)
    {
        const auto request = call.jsonBody();
        m_faults.responsesToLose = request.value("lose_answers", m_faults.responsesToLose);
        m_faults.lookupsToFail = request.value("fail_lookups", m_faults.lookupsToFail);
        m_delay = milliseconds(request.value("delay_ms", static_cast<int>(m_delay.count())));
        co_await call.reply(200, nlohmann::json::object());
    }

    milliseconds m_delay;
    booking_faults m_faults;
    std::map<std::string, int> m_bookings;
    int m_lookups = 0;
    int m_authorizationHeaders = 0;
};

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Stand-in for a plain booking service", ' ', std::string(plantainpoint::version()));
    TCLAP::ValueArg<int> delay("", "delay", "delay of every response", false, 5, "MS", commandLine);
    std::unique_ptr<booking_service> bookings;
    return runStandin(commandLine, argc, argv, [&](asio::io_context &, http_service &service) {
        bookings = std::make_unique<booking_service>(milliseconds(delay.getValue()));
        bookings->addRoutes(service);
    });
}
