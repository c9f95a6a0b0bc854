// Reads the files that operators keep beside the code of each service: service.yaml, accounts.yaml and keys.yaml.
#pragma once

#include <string>
#include <vector>

#include "plantainpoint/config.hpp"

namespace plantainpoint {

struct file_problem {
    std::string file;
    int line = 0; // Counts from 1. 0 stands for the whole file.
    std::string key; // For example "routes[0].path".
    std::string text;
};

// Formats the problem as FILE:LINE: KEY: TEXT.
std::string toString(const file_problem &problem);

struct service_files {
    std::vector<service_config> services; // In the order of the folders. Incomplete if there are problems.
    std::vector<file_problem> problems; // Every problem, not only the first one.
};

// Loads and checks one folder per service. Keys are replaced by their digests, and no key appears in a problem.
service_files loadServiceFiles(const std::vector<std::string> &folders);

} // namespace plantainpoint
