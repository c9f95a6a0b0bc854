// Client of endpoints: prefill, decode, plain services, cancels, load reports, cache events, orders and states.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include "http_client.hpp"
#include "plantainpoint/commands.hpp"
#include "plantainpoint/messages.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

// Receives the inputs of the core that the shell produces.
using input_sink = std::function<void(input)>;

class attempt_receiver;

class endpoint_client
{
public:
    // The I/O context, the HTTP client and the objects that the sink uses have to outlive this client.
    endpoint_client(boost::asio::io_context &io, http_client &http, input_sink sink);
    ~endpoint_client();
    endpoint_client(const endpoint_client &) = delete;
    endpoint_client &operator=(const endpoint_client &) = delete;

    void run(dispatch_prefill command);
    void run(dispatch_decode command);
    void run(dispatch_plain command);
    void run(const cancel_attempt &command);
    void run(const close_attempt &command);
    void run(const read_load &command);
    void run(const read_cache_events &command);
    void run(const send_order &command);
    void run(const read_endpoint_state &command);

    std::size_t openAttempts() const { return m_openAttempts.size(); }

private:
    friend class attempt_receiver;

    struct open_call {
        running_call call;
        std::weak_ptr<attempt_receiver> receiver;
    };

    void startAttempt(const std::string &address, http_call call, const attempt_label &attempt, const std::shared_ptr<attempt_receiver> &receiver);
    void checkAnswerEnd(const check_endpoint &endpoint, std::function<void(endpoint_checked)> handler);
    void emit(input message) { m_sink(std::move(message)); }
    void removeAttempt(const attempt_label &attempt);

    boost::asio::io_context &m_io;
    http_client &m_http;
    input_sink m_sink;
    std::unordered_map<attempt_label, open_call> m_openAttempts;
};

} // namespace plantainpoint
