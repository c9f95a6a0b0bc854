// This file is compiled as C++14, because the RPC library's client headers use dynamic exception specifications.
#include "rpc_codec.hpp"

#include <exception>

#include <jsoncpp/json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

namespace plantainpoint {

namespace {

// Captures the message instead of sending it.
class message_capture : public jsonrpc::IClientConnector
{
public:
    void SendRPCMessage(const std::string &message, std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        m_message = message;
        result.clear();
    }
    std::string take() { return std::move(m_message); }

private:
    std::string m_message;
};

// Passes notifications to the handler as text.
class notification_router : public jsonrpc::IProcedureInvokationHandler
{
public:
    void HandleMethodCall(jsonrpc::Procedure & /*procedure*/, const Json::Value & /*input*/, Json::Value & /*output*/) override { }
    void HandleNotificationCall(jsonrpc::Procedure &procedure, const Json::Value &input) override
    {
        m_matched = true;
        if (m_handle != nullptr) {
            (*m_handle)(procedure.GetProcedureName(), Json::FastWriter().write(input));
        }
    }

    void begin(const rpc_codec::handler *handle)
    {
        m_handle = handle;
        m_matched = false;
    }
    bool end()
    {
        m_handle = nullptr;
        return m_matched;
    }

private:
    const rpc_codec::handler *m_handle = nullptr;
    bool m_matched = false;
};

bool parseObject(const std::string &text, Json::Value &out)
{
    static const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    std::string errors;
    try {
        return reader->parse(text.data(), text.data() + text.size(), &out, &errors) && out.isObject();
    } catch (const std::exception &) {
        return false; // The JSON is nested too deeply.
    }
}

} // namespace

struct rpc_codec::state {
    state()
        : client(keeper)
        , protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, router))
    {
    }

    message_capture keeper;
    jsonrpc::Client client;
    notification_router router;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

rpc_codec::rpc_codec(const std::vector<std::string> &methods)
    : m_state(new state)
{
    for (const auto &method : methods) {
        m_state->protocol->AddProcedure(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, nullptr));
    }
}

rpc_codec::~rpc_codec() = default;

std::string rpc_codec::build(const std::string &method, const std::string &parameters)
{
    Json::Value value;
    if (!parseObject(parameters, value)) {
        return {};
    }
    m_state->client.CallNotification(method, value);
    return m_state->keeper.take();
}

bool rpc_codec::dispatch(const std::string &message, const handler &handle)
{
    std::string reply;
    m_state->router.begin(&handle);
    try {
        m_state->protocol->HandleRequest(message, reply);
    } catch (const std::exception &) {
        m_state->router.end();
        return false; // The JSON is nested too deeply.
    }
    return m_state->router.end();
}

} // namespace plantainpoint
