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
    // No parameter is declared: the methods check theirs themselves.
    m_protocol->AddProcedure(
        jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
    m_methods[name] = std::move(method);
}

std::string PeerDispatcher::handle(const std::string &frame)
{
    // The library's own reader is lenient and nests deeply; ours comes first.
    if (!Core::Json::parse(frame, "peer").isObject())
        throw Core::FormatError("read request", "peer", "the message is no object");
    std::string answer;
    m_protocol->HandleRequest(frame, answer);
    while (!answer.empty() && answer.back() == '\n')
        answer.pop_back();
    return answer;
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
    // All procedures are methods, so the library never gets here.
}

} // namespace Peer
