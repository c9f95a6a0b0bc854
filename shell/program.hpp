// Command line and exit codes of the programs that are configured by a settings file.
#pragma once

#include <csignal>
#include <exception>
#include <iostream>
#include <string>
#include <utility>

#include <malloc.h>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <tclap/CmdLine.h>

#include "version.hpp"

namespace plantainpoint {

inline constexpr int exitFailed = 1;
inline constexpr int exitInvalidSettings = 2;

// Keeps signals that arrive behind the end of the event loop from ending the process by their default action.
inline void blockSignals()
{
    sigset_t signals{};
    ::sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        ::sigaddset(&signals, signal);
    }
    ::sigprocmask(SIG_BLOCK, &signals, nullptr);
}

// Lets large blocks of memory go back to the system when they are freed. By default the bound rises with the first freed bodies of requests, and what is held
// later is spread over a heap that does not shrink.
inline void returnLargeBlocks()
{
    constexpr int largeBlock = 128 * 1024; // Bytes. With 1 MB, bodies that grow leave gaps into which no other one fits.
    ::mallopt(M_MMAP_THRESHOLD, largeBlock);
}

// Loads the settings and runs one VM on one thread until it has stopped. makeVm(io, settings) returns the VM.
template<class LoadSettings, class MakeVm>
absl::Status serveVm(const std::string &file, LoadSettings loadSettings, MakeVm makeVm)
{
    returnLargeBlocks();
    auto settings = loadSettings(file);
    if (!settings.ok()) {
        return settings.status();
    }
    boost::asio::io_context io(1); // One thread.
    auto vm = makeVm(io, std::move(*settings));
    if (auto started = vm.start(); !started.ok()) {
        return started;
    }
    io.run();
    blockSignals();
    return absl::OkStatus();
}

// Parses the command line and calls serve(file), which runs until the program has stopped. An error that serve returns is one of the
// settings. Returns the exit code.
template<class Serve>
int runProgram(const std::string &name, const std::string &description, int argc, char **argv, Serve serve)
{
    try {
        TCLAP::CmdLine line(description, ' ', std::string(version()));
        const TCLAP::ValueArg<std::string> settingsFile("", "settings", "YAML settings", true, "", "FILE", line);
        line.parse(argc, argv);
        const absl::Status status = serve(settingsFile.getValue());
        if (!status.ok()) {
            std::cerr << name << ": " << status.message() << '\n';
            return exitInvalidSettings;
        }
        return 0;
    } catch (const std::exception &error) {
        std::cerr << name << ": " << error.what() << '\n';
        return exitFailed;
    }
}

} // namespace plantainpoint
