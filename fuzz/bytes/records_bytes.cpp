// Fuzz target for bytes from the log. The decoder must not throw, and an accepted batch must survive encoding and decoding.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "log_state.hpp"

using namespace plantainpoint;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto records = decodeBatch(bytes);
    if (records.ok()) {
        const auto decodedAgain = decodeBatch(encodeBatch(*records));
        if (!decodedAgain.ok() || *decodedAgain != *records) {
            std::abort();
        }
    }
    log_state state;
    (void)state.applyEntry({0, std::string(bytes)});
    const auto snapshot = state.snapshot();
    log_state restored;
    if (!restored.install(snapshot).ok() || restored.snapshot() != snapshot) {
        std::abort();
    }
    log_state fromBytes;
    (void)fromBytes.install(bytes);
    return 0;
}
