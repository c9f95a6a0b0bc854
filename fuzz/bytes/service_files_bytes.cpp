// Fuzz target for service files. Loading must not throw, and files without problems must give a valid service.
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string_view>

#include <unistd.h>

#include "service_files.hpp"

using namespace plantainpoint;

namespace {

const std::filesystem::path &folder()
{
    static const auto path = std::filesystem::temp_directory_path() / ("plantainpoint-bytes-" + std::to_string(getpid()));
    std::filesystem::create_directories(path);
    return path;
}

} // namespace

// The input holds three files, separated by zero bytes.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::string_view remaining(reinterpret_cast<const char *>(data), size);
    for (const auto *name : {"service.yaml", "accounts.yaml", "keys.yaml"}) {
        const auto content = remaining.substr(0, remaining.find('\0'));
        std::ofstream(folder() / name, std::ios::binary) << content;
        remaining.remove_prefix(std::min(content.size() + 1, remaining.size()));
    }
    const auto files = loadServiceFiles({folder().string()});
    if (files.problems.empty() && !validate(files.services.at(0)).ok()) {
        std::abort();
    }
    return 0;
}
