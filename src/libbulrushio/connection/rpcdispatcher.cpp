#include "connection/rpcdispatcher.h"

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>
#include <stdexcept>

namespace bulrush::io {

class RpcDispatcher::Server : public jsonrpc::IProcedureInvokationHandler
{
public:
    Server()
        : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this))
    { }

    void add(const std::string &method, Procedure procedure)
    {
        m_protocol->AddProcedure(
            jsonrpc::Procedure{method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr});
        m_procedures.emplace(method, std::move(procedure));
    }

    std::string dispatch(const std::string &text)
    {
        std::string answer;
        m_protocol->HandleRequest(text, answer);
        return answer;
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input,
                          Json::Value &output) override
    {
        try {
            output = m_procedures.at(procedure.GetProcedureName())(input);
        } catch (const std::invalid_argument &error) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                            error.what());
        } catch (const Json::Exception &error) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                            error.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure &procedure, const Json::Value &input) override
    {
        Json::Value ignored;
        HandleMethodCall(procedure, input, ignored);
    }

private:
    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
    std::map<std::string, Procedure> m_procedures;
};

RpcDispatcher::RpcDispatcher()
    : m_server(std::make_unique<Server>())
{ }

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::add(const std::string &method, Procedure procedure)
{
    m_server->add(method, std::move(procedure));
}

std::string RpcDispatcher::dispatch(const std::string &text)
{
    return m_server->dispatch(text);
}

} // namespace bulrush::io
