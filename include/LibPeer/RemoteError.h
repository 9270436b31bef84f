#pragma once

#include <LibCore/Error.h>

#include <string>

namespace Peer {

/// The peer received the call and returned a JSON-RPC error.
class RemoteError : public Core::Error
{
public:
    /// \p code is a JSON-RPC error code.
    RemoteError(std::string method, std::string peer, const std::string &message, int code)
        : Core::Error(std::move(method), std::move(peer), message)
        , m_code(code)
    {
    }

    int code() const { return m_code; }

private:
    int m_code;
};

} // namespace Peer
