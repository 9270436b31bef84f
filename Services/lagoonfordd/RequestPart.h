#pragma once

#include "RequestService.h"
#include "StoppablePart.h"

namespace Daemon {

/// Drives the router's timers and keeps it told of servers and shares.
class RequestPart final : public StoppablePart
{
public:
    RequestPart(Node &node, RequestService &service);

protected:
    boost::asio::awaitable<Core::Instant> step(Core::Instant now) override;
    /// Refuses new requests and waits until those in progress are finished.
    boost::asio::awaitable<void> finish() override;

private:
    RequestService &m_service;
    Core::Instant m_nextRefresh;
};

} // namespace Daemon
