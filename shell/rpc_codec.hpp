// JSON-RPC 2.0 notifications as text.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace plantainpoint {

// Builds and dispatches notifications. Methods and parameters are text, so that callers need no header of the RPC library.
class rpc_codec
{
public:
    // `parameters` is a JSON object.
    using handler = std::function<void(const std::string &method, const std::string &parameters)>;

    explicit rpc_codec(const std::vector<std::string> &methods);
    ~rpc_codec();
    rpc_codec(const rpc_codec &) = delete;
    rpc_codec &operator=(const rpc_codec &) = delete;

    // Returns an empty string when the parameters are not a JSON object.
    std::string build(const std::string &method, const std::string &parameters);

    // Returns false when the message is not a notification of a known method.
    bool dispatch(const std::string &message, const handler &handle);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace plantainpoint
