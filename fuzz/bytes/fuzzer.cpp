// Program of libFuzzer for the target that the option --target=NAME names.
#include <cstdint>
#include <cstdlib>
#include <iostream>

#include "targets.hpp"

using namespace plantainpoint;

namespace {

const bytes::target *selected = nullptr;

} // namespace

extern "C" int LLVMFuzzerInitialize(int *argc, char ***argv)
{
    constexpr std::string_view option = "--target=";
    for (int i = 1; i < *argc; ++i) {
        const std::string_view argument = (*argv)[i];
        for (const auto &target : bytes::targets()) {
            if (argument.starts_with(option) && argument.substr(option.size()) == target.name) {
                selected = &target;
            }
        }
    }
    if (selected == nullptr) {
        std::cerr << "expected --target=NAME with the name of a target\n";
        std::exit(2);
    }
    return 0;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto problem = selected->check({reinterpret_cast<const char *>(data), size});
    if (!problem.empty()) {
        std::cerr << problem << '\n';
        std::abort();
    }
    return 0;
}
