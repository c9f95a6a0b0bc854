// Main program of the model engine stand-in.
#include "engine.hpp"
#include "standin_main.hpp"

using namespace plantainpoint::standin;

int main(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Stand-in for a model engine", ' ', std::string(plantainpoint::version()));
    const engine_settings defaults;
    TCLAP::ValueArg<std::string> role("", "role", "prefill or decode", false, defaults.role, "ROLE", commandLine);
    TCLAP::ValueArg<std::string> model("", "model", "model that is loaded at the start", false, defaults.model, "NAME", commandLine);
    TCLAP::ValueArg<std::string> version(
        "", "model-version", "version of the model that is loaded at the start", false, defaults.version, "VERSION", commandLine);
    TCLAP::ValueArg<int> slots("", "slots", "maximum number of concurrent decodes", false, defaults.slots, "N", commandLine);
    TCLAP::ValueArg<int> kvBlocks("", "pieces", "KV cache memory, in pieces of 2,000 tokens", false, defaults.kvBlocks, "N", commandLine);
    TCLAP::ValueArg<std::int64_t> prefillRate("", "prefill-rate", "tokens prefilled per second", false, defaults.prefillTokensPerSecond, "N", commandLine);
    TCLAP::ValueArg<std::int64_t> kvBytes("", "kv-bytes", "size of the KV cache per token", false, defaults.kvBytesPerToken, "BYTES", commandLine);
    TCLAP::ValueArg<std::int64_t> linkRate(
        "", "link-rate", "total rate of KV cache exports", false, defaults.linkBytesPerSecond, "BYTES_PER_SECOND", commandLine);
    TCLAP::ValueArg<int> tokenInterval("", "interval", "time between tokens while one request runs", false, 10'000, "US", commandLine);
    TCLAP::ValueArg<int> intervalSlope("", "interval-slope", "time added to the interval for each further request", false, 500, "US", commandLine);
    TCLAP::ValueArg<int> tokensPerWrite("", "tokens-per-write", "tokens sent per write", false, defaults.tokensPerWrite, "N", commandLine);
    TCLAP::ValueArg<int> evictAfter("", "evict-after", "time until a prefill result is evicted", false, 800, "MS", commandLine);
    TCLAP::ValueArg<int> reportLag("", "report-lag", "time between updates of the load report", false, 200, "MS", commandLine);
    TCLAP::ValueArg<int> eventLag("", "event-lag", "delay until a cache event is visible", false, 300, "MS", commandLine);
    TCLAP::ValueArg<int> lossInterval("", "event-gap", "one cache event in N is lost (0 loses none)", false, defaults.eventLossInterval, "N", commandLine);
    TCLAP::ValueArg<std::int64_t> cacheTokens("", "cache-tokens", "capacity of the prefix cache, in tokens", false, defaults.cacheTokens, "N", commandLine);
    TCLAP::SwitchArg checksFencing("", "checks-fencing", "refuse orders with a fencing number older than the last accepted one", commandLine);
    TCLAP::ValueArg<std::string> weightStore("", "weight-store", "address of the weight store (empty loads at once)", false, "", "IP:PORT", commandLine);
    std::unique_ptr<engine> modelEngine;
    return runStandin(commandLine, argc, argv, [&](asio::io_context &context, http_service &service) {
        engine_settings settings;
        settings.role = role.getValue();
        settings.model = model.getValue();
        settings.version = version.getValue();
        settings.slots = slots.getValue();
        settings.kvBlocks = kvBlocks.getValue();
        settings.prefillTokensPerSecond = prefillRate.getValue();
        settings.kvBytesPerToken = kvBytes.getValue();
        settings.linkBytesPerSecond = linkRate.getValue();
        settings.tokenInterval = std::chrono::microseconds(tokenInterval.getValue());
        settings.intervalPerRequest = std::chrono::microseconds(intervalSlope.getValue());
        settings.tokensPerWrite = tokensPerWrite.getValue();
        settings.evictAfter = milliseconds(evictAfter.getValue());
        settings.reportLag = milliseconds(reportLag.getValue());
        settings.eventLag = milliseconds(eventLag.getValue());
        settings.eventLossInterval = lossInterval.getValue();
        settings.cacheTokens = cacheTokens.getValue();
        settings.checksFencing = checksFencing.getValue();
        settings.weightStore = weightStore.getValue();
        modelEngine = std::make_unique<engine>(context, settings);
        modelEngine->addRoutes(service);
        modelEngine->start();
    });
}
