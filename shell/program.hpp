// command line and exit codes of the programs that serve by a settings file
#pragma once

#include <exception>
#include <iostream>
#include <string>
#include <utility>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <tclap/CmdLine.h>

#include "version.hpp"

namespace plantainpoint {

inline constexpr int exitFailed = 1;
inline constexpr int exitInvalidSettings = 2;

// loads the settings and runs one VM on one thread until it has stopped; make(io, settings) returns the VM
template<class Load, class Make>
absl::Status serveVm(const std::string &file, Load load, Make make)
{
    auto settings = load(file);
    if (!settings.ok()) {
        return settings.status();
    }
    boost::asio::io_context io(1); // one thread
    auto vm = make(io, std::move(*settings));
    if (auto started = vm.start(); !started.ok()) {
        return started;
    }
    io.run();
    return absl::OkStatus();
}

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
