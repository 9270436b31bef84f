#pragma once

#include "StoppablePart.h"

namespace Daemon {

/// Reads the platform's list of VMs again and again, and asks the peers how they are.
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
