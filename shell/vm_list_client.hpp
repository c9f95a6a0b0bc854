// Client of the platform's list of VMs.
#pragma once

#include <optional>

#include "endpoint_client.hpp"
#include "http_client.hpp"
#include "plantainpoint/commands.hpp"

namespace plantainpoint {

class vm_list_client
{
public:
    // The HTTP client and the objects that the sink uses have to outlive this client. The seeds are reported until a list was received.
    vm_list_client(http_client &http, std::string address, std::vector<vm_entry> seeds, input_sink sink);

    void run(const read_vm_list &command);

private:
    void onReply(transfer_end end, int status, const std::string &body);

    http_client &m_http;
    std::string m_address;
    std::vector<vm_entry> m_seeds;
    input_sink m_sink;
    bool m_listReceived = false;
};

// Returns nothing if the body is not a reply of the protocol.
std::optional<vm_list> parseVmList(std::string_view body);

} // namespace plantainpoint
