// Stand-in for the platform's append-only log, with offsets and retention.
// It can simulate outages, slow requests, lost responses and late appends.
#include <deque>

#include "standin_main.hpp"

namespace {

using namespace plantainpoint::standin;
using clock_type = std::chrono::steady_clock;

struct stored_entry {
    std::string payload;
    clock_type::time_point writtenAt;
};

struct log_faults {
    clock_type::time_point downUntil{};
    milliseconds requestDelay{0};
    int responsesToLose = 0;
    milliseconds lateAppendDelay{0}; // If not 0, the next append gets no response, so its result is unknown, and it takes effect after this time.
};

class log_service
{
public:
    log_service(asio::io_context &context, milliseconds retention, int appendsPerSecond)
        : m_context(context)
        , m_retention(retention)
        , m_appendInterval(std::chrono::microseconds(1'000'000 / std::max(appendsPerSecond, 1)))
        , m_entryArrival(context, clock_type::time_point::max())
    {
    }

    void addRoutes(http_service &service)
    {
        service.route("POST", "/v1/append", [this](exchange &call) { return append(call); });
        service.route("GET", "/v1/read", [this](exchange &call) { return read(call); });
        service.route("POST", "/v1/fault", [this](exchange &call) { return fault(call); });
        service.route("GET", "/v1/counters", [this](exchange &call) { return counters(call); });
    }

private:
    bool isDown() const { return clock_type::now() < m_faults.downUntil; }

    void write(std::string payload)
    {
        m_entries.push_back({std::move(payload), clock_type::now()});
        // Wakes all waiting readers.
        m_entryArrival.cancel();
    }

    asio::awaitable<void> throttle()
    {
        const auto now = clock_type::now();
        m_nextAppend = std::max(m_nextAppend + m_appendInterval, now);
        asio::steady_timer timer(m_context, m_nextAppend);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::awaitable<void> writeDelayed(std::string payload, milliseconds delay)
    {
        co_await sleepFor(delay);
        write(std::move(payload));
    }

    asio::awaitable<void> append(exchange &call)
    {
        if (isDown()) {
            co_await call.replyError(503, "unavailable");
            co_return;
        }
        co_await throttle();
        co_await sleepFor(m_faults.requestDelay);
        ++m_appends;
        if (m_faults.lateAppendDelay > milliseconds{0}) {
            asio::co_spawn(m_context, writeDelayed(call.request().body(), std::exchange(m_faults.lateAppendDelay, milliseconds{0})), asio::detached);
            call.dropConnection();
            co_return;
        }
        const auto offset = m_firstOffset + m_entries.size();
        write(call.request().body());
        if (m_faults.responsesToLose > 0) {
            --m_faults.responsesToLose;
            call.dropConnection();
            co_return;
        }
        const nlohmann::json body{{"offset", offset}};
        co_await call.reply(200, body);
    }

    void dropExpired()
    {
        const auto oldestKept = clock_type::now() - m_retention;
        while (!m_entries.empty() && m_entries.front().writtenAt < oldestKept) {
            m_entries.pop_front();
            ++m_firstOffset;
        }
    }

    asio::awaitable<void> waitForEntry(std::uint64_t fromOffset, milliseconds wait)
    {
        const auto deadline = clock_type::now() + wait;
        while (fromOffset >= m_firstOffset + m_entries.size() && clock_type::now() < deadline && !isDown()) {
            asio::steady_timer timer(m_context, deadline);
            timer.async_wait([this](const boost::system::error_code &error) {
                if (!error) {
                    m_entryArrival.cancel();
                }
            });
            boost::system::error_code ignored;
            co_await m_entryArrival.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

    asio::awaitable<void> read(exchange &call)
    {
        const auto fromOffset = static_cast<std::uint64_t>(std::max<std::int64_t>(call.queryNumber("from", 0), 0));
        const auto maxEntries = static_cast<std::uint64_t>(std::clamp<std::int64_t>(call.queryNumber("max", 1000), 1, 10'000));
        co_await sleepFor(m_faults.requestDelay);
        co_await waitForEntry(fromOffset, milliseconds(std::clamp<std::int64_t>(call.queryNumber("wait_ms", 0), 0, 30'000)));
        if (isDown()) {
            co_await call.replyError(503, "unavailable");
            co_return;
        }
        dropExpired();
        ++m_reads;
        if (fromOffset < m_firstOffset) {
            const nlohmann::json body{{"error", "expired"}, {"first", m_firstOffset}};
            co_await call.reply(410, body);
            co_return;
        }
        nlohmann::json response{{"first", m_firstOffset}, {"head", m_firstOffset + m_entries.size()}, {"entries", nlohmann::json::array()}};
        for (auto offset = fromOffset; offset < m_firstOffset + m_entries.size() && offset < fromOffset + maxEntries; ++offset) {
            const auto &payload = m_entries[offset - m_firstOffset].payload;
            response["entries"].push_back({offset, nlohmann::json::binary({payload.begin(), payload.end()})});
        }
        std::string body;
        nlohmann::json::to_cbor(response, body);
        std::string contentType = "application/cbor";
        co_await call.reply(200, std::move(body), std::move(contentType));
    }

    asio::awaitable<void> fault(exchange &call)
    {
        const auto request = call.jsonBody();
        if (request.contains("down_ms")) {
            m_faults.downUntil = clock_type::now() + milliseconds(request.value("down_ms", 0));
            m_entryArrival.cancel();
        }
        m_faults.requestDelay = milliseconds(request.value("slow_ms", static_cast<int>(m_faults.requestDelay.count())));
        m_faults.responsesToLose = request.value("lose_answers", m_faults.responsesToLose);
        m_faults.lateAppendDelay = milliseconds(request.value("late_append_ms", 0));
        co_await call.reply(200, nlohmann::json::object());
    }

    asio::awaitable<void> counters(exchange &call)
    {
        const nlohmann::json body{{"appends", m_appends}, {"reads", m_reads}, {"head", m_firstOffset + m_entries.size()}, {"first", m_firstOffset}};
        co_await call.reply(200, body);
    }

    asio::io_context &m_context;
    milliseconds m_retention;
    std::chrono::microseconds m_appendInterval;
    asio::steady_timer m_entryArrival; // Cancelled when an entry is appended, to wake waiting readers.
    std::deque<stored_entry> m_entries;
    std::uint64_t m_firstOffset = 0;
    clock_type::time_point m_nextAppend{};
    log_faults m_faults;
    std::uint64_t m_appends = 0;
    std::uint64_t m_reads = 0;
};

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Stand-in for the platform's append-only log", ' ', std::string(plantainpoint::version()));
    TCLAP::ValueArg<int> retention("", "retention", "time for which entries are kept", false, 86'400'000, "MS", commandLine);
    TCLAP::ValueArg<int> rate("", "appends-per-second", "maximum rate of appends", false, 300, "N", commandLine);
    std::unique_ptr<log_service> log;
    return runStandin(commandLine, argc, argv, [&](asio::io_context &context, http_service &service) {
        log = std::make_unique<log_service>(context, milliseconds(retention.getValue()), rate.getValue());
        log->addRoutes(service);
    });
}
