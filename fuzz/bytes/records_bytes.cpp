// bytes from the log: no exception, and what is accepted survives another round
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
        const auto again = decodeBatch(encodeBatch(*records));
        if (!again.ok() || *again != *records) {
            std::abort();
        }
    }
    log_state state;
    (void)state.applyEntry({0, std::string(bytes)});
    const auto snapshot = state.snapshot();
    log_state other;
    if (!other.install(snapshot).ok() || other.snapshot() != snapshot) {
        std::abort();
    }
    log_state third;
    (void)third.install(bytes);
    return 0;
}
