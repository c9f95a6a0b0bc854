// runs an entry VM
#include <boost/asio/io_context.hpp>

#include "entry_vm.hpp"
#include "program.hpp"
#include "settings.hpp"

using namespace plantainpoint;

namespace {

absl::Status serve(const std::string &file)
{
    auto settings = loadEntrySettings(file);
    if (!settings.ok()) {
        return settings.status();
    }
    boost::asio::io_context io(1); // one thread
    entry_vm vm(io, std::move(*settings));
    if (auto started = vm.start(); !started.ok()) {
        return started;
    }
    io.run();
    return absl::OkStatus();
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram("plantainpoint-entry", "entry VM of the plantainpoint router", argc, argv, serve);
}
