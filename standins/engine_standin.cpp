// stand-in of a model engine
#include "engine.hpp"
#include "standin_main.hpp"

using namespace plantainpoint::standin;

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("stand-in of a model engine", ' ', std::string(plantainpoint::version()));
    const engine_settings defaults;
    TCLAP::ValueArg<std::string> role("", "role", "prefill or decode", false, defaults.role, "ROLE", line);
    TCLAP::ValueArg<std::string> model("", "model", "model loaded at the start", false, defaults.model, "NAME", line);
    TCLAP::ValueArg<std::string> version("", "model-version", "version loaded at the start", false, defaults.version, "VERSION", line);
    TCLAP::ValueArg<int> slots("", "slots", "requests decoded at a time", false, defaults.slots, "N", line);
    TCLAP::ValueArg<int> kvBlocks("", "pieces", "memory in pieces of 2,000 tokens", false, defaults.kvBlocks, "N", line);
    TCLAP::ValueArg<std::int64_t> speed("", "prefill-rate", "tokens prefilled in a second", false, defaults.prefillTokensPerSecond, "N", line);
    TCLAP::ValueArg<std::int64_t> kvBytes("", "kv-bytes", "KV cache of a token", false, defaults.kvBytesPerToken, "BYTES", line);
    TCLAP::ValueArg<std::int64_t> link("", "link-rate", "rate of exports", false, defaults.linkBytesPerSecond, "BYTES_PER_SECOND", line);
    TCLAP::ValueArg<int> interval("", "interval", "time between tokens of one request", false, 10'000, "US", line);
    TCLAP::ValueArg<int> slope("", "interval-slope", "time added for each further request", false, 500, "US", line);
    TCLAP::ValueArg<int> batch("", "tokens-per-write", "tokens sent in one write", false, defaults.tokensPerWrite, "N", line);
    TCLAP::ValueArg<int> evict("", "evict-after", "time until a prefill result is evicted", false, 800, "MS", line);
    TCLAP::ValueArg<int> lag("", "report-lag", "age of load reports", false, 200, "MS", line);
    TCLAP::ValueArg<int> eventLag("", "event-lag", "delay of cache events", false, 300, "MS", line);
    TCLAP::ValueArg<int> gap("", "event-gap", "one cache event in N is lost; 0: none", false, defaults.cacheGap, "N", line);
    TCLAP::ValueArg<std::int64_t> cache("", "cache-tokens", "size of the prefix cache", false, defaults.cacheTokens, "N", line);
    TCLAP::SwitchArg fencing("", "checks-fencing", "refuses orders with an old fencing number", line);
    TCLAP::ValueArg<std::string> weights("", "weight-store", "address of the weight store", false, "", "IP:PORT", line);
    std::unique_ptr<engine> modelEngine;
    return runStandin(line, argc, argv, [&](asio::io_context &context, http_service &service) {
        engine_settings settings;
        settings.role = role.getValue();
        settings.model = model.getValue();
        settings.version = version.getValue();
        settings.slots = slots.getValue();
        settings.kvBlocks = kvBlocks.getValue();
        settings.prefillTokensPerSecond = speed.getValue();
        settings.kvBytesPerToken = kvBytes.getValue();
        settings.linkBytesPerSecond = link.getValue();
        settings.tokenInterval = std::chrono::microseconds(interval.getValue());
        settings.intervalPerRequest = std::chrono::microseconds(slope.getValue());
        settings.tokensPerWrite = batch.getValue();
        settings.evictAfter = milliseconds(evict.getValue());
        settings.reportLag = milliseconds(lag.getValue());
        settings.eventLag = milliseconds(eventLag.getValue());
        settings.cacheGap = gap.getValue();
        settings.cacheTokens = cache.getValue();
        settings.checksFencing = fencing.getValue();
        settings.weightStore = weights.getValue();
        modelEngine = std::make_unique<engine>(context, settings);
        modelEngine->addRoutes(service);
        modelEngine->start();
    });
}
