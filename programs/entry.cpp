// Main program of an entry VM.
#include <boost/asio/io_context.hpp>

#include "entry_vm.hpp"
#include "program.hpp"
#include "settings.hpp"

using namespace plantainpoint;

namespace {

absl::Status serve(const std::string &file)
{
    return serveVm(file, loadEntrySettings, [](boost::asio::io_context &io, entry_settings &&settings) { return entry_vm(io, std::move(settings)); });
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram("plantainpoint-entry", "entry VM of the plantainpoint router", argc, argv, serve);
}
