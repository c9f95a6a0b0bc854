// Writes the seeds of each fuzz target, which are valid inputs, to FOLDER/TARGET.
#include <filesystem>
#include <fstream>
#include <iostream>

#include "targets.hpp"

using namespace plantainpoint;

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: seeds FOLDER\n";
        return 2;
    }
    for (const auto &target : bytes::targets()) {
        const auto folder = std::filesystem::path(argv[1]) / target.name;
        std::filesystem::create_directories(folder);
        const auto seeds = target.seeds();
        for (std::size_t i = 0; i < seeds.size(); ++i) {
            std::ofstream(folder / std::to_string(i), std::ios::binary) << seeds[i];
        }
    }
    return 0;
}
