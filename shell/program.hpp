// command line and exit codes of the programs that serve by a settings file
#pragma once

#include <exception>
#include <iostream>
#include <string>

#include <absl/status/status.h>
#include <tclap/CmdLine.h>

#include "version.hpp"

namespace plantainpoint {

inline constexpr int exitFailed = 1;
inline constexpr int exitInvalidSettings = 2;

// serve(file) runs until the program has stopped; an error is one of the settings
template<class Serve>
int runProgram(const std::string &name, const std::string &description, int argc, char **argv, Serve serve)
{
    try {
        TCLAP::CmdLine line(description, ' ', std::string(version()));
        const TCLAP::ValueArg<std::string> settings("", "settings", "YAML settings", true, "", "FILE", line);
        line.parse(argc, argv);
        const absl::Status served = serve(settings.getValue());
        if (!served.ok()) {
            std::cerr << name << ": " << served.message() << '\n';
            return exitInvalidSettings;
        }
        return 0;
    } catch (const std::exception &error) {
        std::cerr << name << ": " << error.what() << '\n';
        return exitFailed;
    }
}

} // namespace plantainpoint
