#include "connection/rpcclientcodec.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>

namespace bulrush {
namespace io {

namespace {

/**
 * Stores the text of a call instead of sending it, and answers the call with a given text.
 */
class TextConnector : public jsonrpc::IClientConnector
{
public:
    explicit TextConnector(const std::string &answer)
        : m_answer(answer)
    { }

    // The library requires this exception specification.
    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        m_message = message;
        result = m_answer;
    }

    const std::string &message() const
    {
        return m_message;
    }

private:
    std::string m_answer;
    std::string m_message;
};

const char *const emptyAnswer = R"({"jsonrpc":"2.0","id":1,"result":null})";

bool isProtocolError(int code)
{
    return code == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR
        || code == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
}

} // namespace

std::string RpcClientCodec::encodeCall(const std::string &method, const Json::Value &parameters)
{
    TextConnector connector{emptyAnswer};
    jsonrpc::Client client{connector, jsonrpc::JSONRPC_CLIENT_V2};
    client.CallMethod(method, parameters);
    return connector.message();
}

RpcClientCodec::Reply RpcClientCodec::decodeReply(const std::string &text)
{
    TextConnector connector{text};
    jsonrpc::Client client{connector, jsonrpc::JSONRPC_CLIENT_V2};
    try {
        return {Kind::Result, {}, client.CallMethod("reply", Json::Value{Json::objectValue})};
    } catch (const jsonrpc::JsonRpcException &exception) {
        const Kind kind = isProtocolError(exception.GetCode()) ? Kind::Malformed : Kind::Error;
        return {kind, exception.GetMessage(), {}};
    }
}

} // namespace io
} // namespace bulrush
