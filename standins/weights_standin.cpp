// Stand-in for the weight store. All loads share one limited transfer rate.
#include "standin_main.hpp"

namespace {

using namespace plantainpoint::standin;
using clock_type = std::chrono::steady_clock;

class weight_service
{
public:
    weight_service(asio::io_context &context, std::int64_t weightBytes, std::int64_t bytesPerSecond)
        : m_context(context)
        , m_weightBytes(weightBytes)
        , m_bytesPerSecond(std::max<std::int64_t>(bytesPerSecond, 1))
    {
    }

    void addRoutes(http_service &service)
    {
        service.route("GET", "/v1/weights/", [this](exchange &call) { return load(call); });
        service.route("GET", "/v1/counters", [this](exchange &call) { return counters(call); });
    }

private:
    asio::awaitable<void> load(exchange &call)
    {
        const auto transferTime = std::chrono::microseconds(m_weightBytes * 1'000'000 / m_bytesPerSecond);
        m_linkFreeAt = std::max(m_linkFreeAt, clock_type::now()) + transferTime;
        ++m_loads;
        asio::steady_timer timer(m_context, m_linkFreeAt);
        co_await timer.async_wait(asio::use_awaitable);
        std::string weights(static_cast<std::size_t>(m_weightBytes), 'w');
        std::string contentType = "application/octet-stream";
        co_await call.reply(200, std::move(weights), std::move(contentType));
    }

    asio::awaitable<void> counters(exchange &call)
    {
        const nlohmann::json body{{"loads", m_loads}};
        co_await call.reply(200, body);
    }

    asio::io_context &m_context;
    std::int64_t m_weightBytes;
    std::int64_t m_bytesPerSecond;
    clock_type::time_point m_linkFreeAt{};
    std::uint64_t m_loads = 0;
};

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Stand-in for the weight store", ' ', std::string(plantainpoint::version()));
    TCLAP::ValueArg<int> size("", "bytes", "size of every model's weights", false, 65'536, "BYTES", commandLine);
    TCLAP::ValueArg<int> rate("", "bytes-per-second", "transfer rate that all loads share", false, 262'144, "BYTES", commandLine);
    std::unique_ptr<weight_service> weights;
    return runStandin(commandLine, argc, argv, [&](asio::io_context &context, http_service &service) {
        weights = std::make_unique<weight_service>(context, size.getValue(), rate.getValue());
        weights->addRoutes(service);
    });
}
