// The command line and main loop that all stand-ins share.
#pragma once

#include <functional>
#include <iostream>
#include <string>

#include <tclap/CmdLine.h>

#include "http_service.hpp"
#include "version.hpp"

namespace plantainpoint::standin {

// Parses the command line, calls setUp to add the routes, and serves requests until SIGTERM or SIGINT arrives.
// Returns the exit code: 0 after a signal, 2 if an exception is thrown, for example because the address cannot be bound.
inline int runStandin(TCLAP::CmdLine &commandLine, int argc, char **argv, const std::function<void(asio::io_context &, http_service &)> &setUp)
{
    TCLAP::ValueArg<std::string> listen("l", "listen", "address to listen on", true, "", "IP:PORT", commandLine);
    commandLine.parse(argc, argv);
    try {
        asio::io_context context(1);
        http_service service(context);
        setUp(context, service);
        service.listen(listen.getValue());
        runUntilSignal(context);
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "cannot listen on " << listen.getValue() << ": " << error.what() << '\n';
        return 2;
    }
}

} // namespace plantainpoint::standin
