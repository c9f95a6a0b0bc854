// Load generator that simulates callers and measures the latency, memory and CPU time of their requests.
#include <fstream>
#include <iostream>

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tclap/CmdLine.h>

#include "address.hpp"
#include "load_calls.hpp"
#include "version.hpp"

using namespace plantainpoint;
using namespace plantainpoint::load;

namespace {

constexpr int exitInvalid = 2;
constexpr auto drainTime = std::chrono::seconds{30}; // Time to wait for answers after the last request.
constexpr double maxDuration = 3600; // Seconds.
constexpr std::size_t maxStreams = 20'000;

struct load_options {
    std::vector<std::string> addresses;
    request_spec spec;
    std::string compare; // Address of a prefill or plain endpoint that is also called directly.
    std::string compareDecode;
    double rate = 0; // Requests per second.
    double duration = 0; // Seconds.
    std::size_t streams = 0;
    int pid = 0;
};

// Returns the resident memory of a process in bytes, or 0 if it cannot be read.
std::size_t residentBytes(int pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

// Returns the user and system time of a process in seconds, or 0 if it cannot be read.
double cpuSeconds(int pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string text{std::istreambuf_iterator<char>{in}, {}};
    const auto afterName = text.rfind(')');
    if (afterName == std::string::npos) {
        return 0;
    }
    std::istringstream fields(text.substr(afterName + 1));
    std::string skippedField;
    constexpr int fieldsBeforeUserTime = 11;
    for (int i = 0; i < fieldsBeforeUserTime; ++i) {
        fields >> skippedField;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

// Sends requests at a steady rate to the router, and each also directly to the endpoint if an address to compare with is given.
class rate_run
{
public:
    rate_run(boost::asio::io_context &io, const load_options &options)
        : m_io(io)
        , m_options(options)
        , m_client(io)
        , m_timer(io)
        , m_requestCount(static_cast<std::size_t>(options.rate * options.duration))
    {
    }

    void run()
    {
        m_startedAt = steady::now();
        sendNext();
        m_io.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(m_options.duration)) + drainTime);
        printResults("router", m_routed);
        if (!m_options.compare.empty()) {
            printResults("direct", m_direct);
            printDifference("first answer", m_routed.firstToken, m_direct.firstToken);
            printDifference("token interval", m_routed.tokenInterval, m_direct.tokenInterval);
        }
    }

private:
    void sendNext()
    {
        if (m_sent == m_requestCount) {
            return;
        }
        const auto sendTime =
            m_startedAt + std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(static_cast<double>(m_sent) / m_options.rate));
        m_timer.expires_at(sendTime);
        m_timer.async_wait([this](const boost::system::error_code &) {
            sendRequest();
            sendNext();
        });
    }

    void sendRequest()
    {
        const auto number = m_sent++;
        // The direct call follows after half an interval, so that the two calls do not compete in the queue of the endpoint.
        callRouter(m_client, m_options.addresses[number % m_options.addresses.size()], m_options.spec, number, m_routed);
        if (m_options.compare.empty()) {
            return;
        }
        auto directCallTimer = std::make_shared<boost::asio::steady_timer>(
            m_io, std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(0.5 / m_options.rate)));
        directCallTimer->async_wait([this, directCallTimer, number](const boost::system::error_code &) {
            callDirect(m_client, m_options.compare, m_options.compareDecode, m_options.spec, number, m_direct);
        });
    }

    static void printDifference(const char *metric, samples &routed, samples &direct)
    {
        for (const auto fraction : {0.5, 0.99}) {
            const auto directValue = direct.quantile(fraction);
            std::printf("added %s at %.2f: %.3f ms, ratio %.3f\n",
                        metric,
                        fraction,
                        routed.quantile(fraction) - directValue,
                        directValue > 0 ? routed.quantile(fraction) / directValue : 0);
        }
    }

    boost::asio::io_context &m_io;
    const load_options &m_options;
    http_client m_client;
    boost::asio::steady_timer m_timer;
    steady::time_point m_startedAt;
    std::size_t m_requestCount;
    std::size_t m_sent = 0;
    results m_routed;
    results m_direct;
};

// Runs the event loop for some time. The loop is restarted, since it stops when it runs out of work.
void runEventLoop(boost::asio::io_context &io, std::chrono::milliseconds time)
{
    io.restart();
    io.run_for(time);
}

// Opens streams and keeps them open. Prints the memory of the process per open stream.
void runStreams(boost::asio::io_context &io, const load_options &options)
{
    results out;
    http_client client(io);
    const auto before = residentBytes(options.pid);
    std::size_t ended = 0;
    for (std::size_t i = 0; i < options.streams; ++i) {
        callRouter(client, options.addresses[i % options.addresses.size()], options.spec, i, out, [&ended] { ++ended; });
        runEventLoop(io, std::chrono::milliseconds{2});
    }
    const auto end = steady::now() + std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(options.duration));
    while (out.firstToken.count() + ended < options.streams && steady::now() < end) {
        runEventLoop(io, std::chrono::milliseconds{20});
    }
    const auto open = out.firstToken.count() > ended ? out.firstToken.count() - ended : 0;
    const auto after = residentBytes(options.pid);
    std::printf("streams: requested %zu, open %zu, ended %zu\n", options.streams, open, ended);
    std::printf("memory: before %zu KB, after %zu KB", before / 1024, after / 1024);
    std::printf(", per open stream %.1f KB\n", open > 0 ? (static_cast<double>(after) - static_cast<double>(before)) / 1024 / static_cast<double>(open) : 0);
    for (const auto &[type, count] : out.failures) {
        std::printf("failures: %s %zu\n", type.c_str(), count);
    }
    client.close();
}

// Keeps a number of streams running. Prints the tokens per second of CPU time of the process.
void runSaturation(boost::asio::io_context &io, const load_options &options)
{
    results out;
    http_client client(io);
    const auto end = steady::now() + std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(options.duration));
    std::size_t number = 0;
    std::function<void()> startNext = [&] {
        // Limits the run if calls fail at once, as the end of every call starts the next one.
        constexpr std::size_t maxStarted = 1'000'000;
        if (steady::now() < end && number < maxStarted) {
            callRouter(client, options.addresses[number % options.addresses.size()], options.spec, number, out, startNext);
            ++number;
        }
    };
    for (std::size_t i = 0; i < options.streams; ++i) {
        startNext();
    }
    // All streams are opened during the first second, which is not measured.
    runEventLoop(io, std::chrono::seconds{1});
    const auto cpuBefore = cpuSeconds(options.pid);
    const auto tokensBefore = out.tokens;
    const auto begin = steady::now();
    runEventLoop(io, std::chrono::duration_cast<std::chrono::milliseconds>(end - begin));
    const double seconds = std::chrono::duration<double>(steady::now() - begin).count();
    const double cpu = cpuSeconds(options.pid) - cpuBefore;
    const auto tokens = static_cast<double>(out.tokens - tokensBefore);
    std::printf("tokens: %.0f in %.1f s (%.0f per second)\n", tokens, seconds, tokens / seconds);
    std::printf("cpu: %.2f s (%.0f%% of a core), %.0f tokens per CPU second\n", cpu, 100 * cpu / seconds, cpu > 0 ? tokens / cpu : 0);
    printResults("router", out);
    startNext = {};
    client.close();
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("simulates callers of the plantainpoint router", ' ', std::string(version()));
    std::vector<std::string> modes{"rate", "streams", "saturate"};
    std::vector<std::string> kinds{"completion", "lookup", "booking"};
    TCLAP::ValuesConstraint<std::string> knownModes(modes);
    TCLAP::ValuesConstraint<std::string> knownKinds(kinds);
    TCLAP::ValueArg<std::string> mode(
        "", "mode", "rate: steady rate; streams: memory of open streams; saturate: tokens per CPU second", false, "rate", &knownModes, commandLine);
    TCLAP::MultiArg<std::string> addresses("a", "address", "address of a router VM; may be repeated", true, "IP:PORT", commandLine);
    TCLAP::ValueArg<std::string> kind("", "kind", "kind of request", false, "completion", &knownKinds, commandLine);
    TCLAP::ValueArg<std::string> key("", "key", "key of the client account", false, "", "KEY", commandLine);
    TCLAP::ValueArg<std::string> model("", "model", "model of completions", false, "", "NAME", commandLine);
    TCLAP::ValueArg<std::string> path("", "path", "path of lookups and bookings", false, "/", "PATH", commandLine);
    TCLAP::ValueArg<int> promptTokens("", "prompt-tokens", "length of prompts in tokens", false, 100, "N", commandLine);
    TCLAP::ValueArg<int> maxTokens("", "max-tokens", "maximum length of answers in tokens", false, 64, "N", commandLine);
    TCLAP::ValueArg<double> rate("", "rate", "requests per second", false, 20, "N", commandLine);
    TCLAP::ValueArg<double> duration(
        "", "duration", "duration of the run in seconds; in mode streams the maximum time to wait", false, 10, "SECONDS", commandLine);
    TCLAP::ValueArg<std::size_t> streams("", "streams", "number of open streams", false, 100, "N", commandLine);
    TCLAP::ValueArg<int> pid("", "pid", "process whose memory or CPU time is read", false, 0, "PID", commandLine);
    TCLAP::ValueArg<std::string> compare("", "compare", "prefill or plain endpoint that is also called directly", false, "", "IP:PORT", commandLine);
    TCLAP::ValueArg<std::string> compareDecode("", "compare-decode", "decode endpoint for the direct calls", false, "", "IP:PORT", commandLine);
    commandLine.parse(argc, argv);
    const load_options options{addresses.getValue(),
                               {kind.getValue(), key.getValue(), model.getValue(), path.getValue(), promptTokens.getValue(), maxTokens.getValue()},
                               compare.getValue(),
                               compareDecode.getValue(),
                               rate.getValue(),
                               duration.getValue(),
                               streams.getValue(),
                               pid.getValue()};
    const bool valid = std::all_of(options.addresses.begin(), options.addresses.end(), [](const auto &address) { return parseAddress(address).has_value(); })
                       && options.rate > 0 && options.duration > 0 && options.duration <= maxDuration && options.streams > 0 && options.streams <= maxStreams;
    if (!valid) {
        std::cerr << "plantainpoint-load: invalid option: addresses must be IP:PORT, the rate and the duration above 0, the duration at most 3600 s, streams 1 "
                     "to 20000\n";
        return exitInvalid;
    }
    boost::asio::io_context io(1);
    if (mode.getValue() == "streams") {
        runStreams(io, options);
    } else if (mode.getValue() == "saturate") {
        runSaturation(io, options);
    } else {
        rate_run(io, options).run();
    }
    return 0;
}
