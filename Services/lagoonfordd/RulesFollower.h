#pragma once

#include "StoppablePart.h"

#include <LibPlatform/LogService.h>

namespace Daemon {

/// Reads the stream `rules` into the rule replica, asks peers while the log isn't reachable, and
/// writes a new snapshot before the last one expires.
class RulesFollower final : public StoppablePart
{
public:
    explicit RulesFollower(Node &node);

protected:
    boost::asio::awaitable<Core::Instant> step(Core::Instant now) override;

private:
    /// Reads up to the end of the stream. Returns false if the log can't be read.
    boost::asio::awaitable<bool> readToEnd();
    void apply(const Platform::LogPage &page);
    boost::asio::awaitable<void> askPeers();
    boost::asio::awaitable<void> writeSnapshotIfDue(Core::Instant now);
    void announce();

    std::uint64_t m_firstRetained = 0;
    std::uint64_t m_announced = 0;
    bool m_isLogReachable = true;
    /// No snapshot is written before this time, which is random so that most VMs find one that
    /// another VM has written.
    Core::Instant m_snapshotNotBefore;
};

} // namespace Daemon
