#include "PeerDispatcher.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace Peer {

PeerDispatcher::PeerDispatcher()
    : m_protocol(
        jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
{
}

PeerDispatcher::~PeerDispatcher() = default;

void PeerDispatcher::addMethod(const std::string &name, PeerServer::Method method)
{
    // No parameters are declared, because the methods check their parameters themselves.
    m_protocol->AddProcedure(
        jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
    m_methods[name] = std::move(method);
}

std::string PeerDispatcher::handle(const std::string &frame)
{
    // The library's own parser is lenient and allows deep nesting, so the message is checked by our
    // parser first.
    if (!Core::Json::parse(frame, "peer").isObject())
        throw Core::FormatError("read request", "peer", "the message isn't an object");
    std::string response;
    m_protocol->HandleRequest(frame, response);
    while (!response.empty() && response.back() == '\n')
        response.pop_back();
    return response;
}

void PeerDispatcher::HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input,
                                      Json::Value &output)
{
    try {
        output = m_methods.at(procedure.GetProcedureName())(input);
    } catch (const std::exception &exception) {
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
                                        exception.what());
    }
}

void PeerDispatcher::HandleNotificationCall(jsonrpc::Procedure & /*procedure*/,
                                            const Json::Value & /*input*/)
{
    // Never called, because all procedures are registered as methods.
}

} // namespace Peer
