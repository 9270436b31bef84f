#pragma once

#include "RequestService.h"
#include "StoppablePart.h"

namespace Daemon {

/// Runs the router's timers, and passes changes of servers and slot shares to it.
class RequestPart final : public StoppablePart
{
public:
    RequestPart(Node &node, RequestService &service);

protected:
    boost::asio::awaitable<Core::Instant> step(Core::Instant now) override;
    /// Makes the router refuse new requests, and waits until those in progress are finished.
    boost::asio::awaitable<void> finish() override;

private:
    RequestService &m_service;
    Core::Instant m_nextRefresh;
};

} // namespace Daemon
