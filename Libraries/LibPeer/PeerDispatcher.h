#pragma once

#include <LibPeer/PeerServer.h>

#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>

#include <map>
#include <memory>
#include <string>

namespace Peer {

/// Passes messages to the protocol handler of libjsonrpccpp, which validates them, looks up the
/// method and encodes the response.
class PeerDispatcher final : public jsonrpc::IProcedureInvokationHandler
{
public:
    PeerDispatcher();
    ~PeerDispatcher() override;

    void addMethod(const std::string &name, PeerServer::Method method);

    /// Executes the request \p frame and returns the response, which is empty for a notification.
    /// \throws Core::FormatError if the frame isn't a JSON object.
    std::string handle(const std::string &frame);

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input,
                          Json::Value &output) override;
    void HandleNotificationCall(jsonrpc::Procedure &procedure, const Json::Value &input) override;

private:
    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
    std::map<std::string, PeerServer::Method> m_methods;
};

} // namespace Peer
