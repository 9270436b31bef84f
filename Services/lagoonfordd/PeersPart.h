#pragma once

#include "JobService.h"
#include "KeyService.h"
#include "StoppablePart.h"

#include <LibPeer/PeerServer.h>

#include <memory>

namespace Daemon {

/// Serves the calls of the other entry VMs.
class PeersPart final : public StoppablePart
{
public:
    PeersPart(Node &node, KeyService &keys, JobService &jobs);

protected:
    boost::asio::awaitable<void> begin() override;
    boost::asio::awaitable<Core::Instant> step(Core::Instant now) override;
    boost::asio::awaitable<void> finish() override;

private:
    void addMethods();

    Supervision::Wakeup m_wakeup;
    KeyService &m_keys;
    JobService &m_jobs;
    std::unique_ptr<Peer::PeerServer> m_server;
};

} // namespace Daemon
