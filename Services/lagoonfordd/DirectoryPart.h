#pragma once

#include "StoppablePart.h"

namespace Daemon {

/// Polls the platform's list of VMs and the state of each peer.
class DirectoryPart final : public StoppablePart
{
public:
    explicit DirectoryPart(Node &node);

protected:
    boost::asio::awaitable<Core::Instant> step(Core::Instant now) override;

private:
    boost::asio::awaitable<void> readList();
    boost::asio::awaitable<void> askPeer(Core::VmId peer);

    Supervision::Wakeup m_wakeup;
    Core::Instant m_nextList;
    unsigned m_round = 0;
    bool m_isReachable = true;
};

} // namespace Daemon
