#pragma once

#include "StoppablePart.h"

#include <LibPlatform/LogService.h>

namespace Daemon {

/// Reads the stream `rules`, keeps the rule book current, asks peers while the log is out of reach,
/// and writes a snapshot again before retention takes the last one.
class RulesFollower final : public StoppablePart
{
public:
    explicit RulesFollower(Node &node);

protected:
    boost::asio::awaitable<Core::Instant> step(Core::Instant now) override;

private:
    /// Reads up to the end of the stream; false if the log can't be read.
    boost::asio::awaitable<bool> readToEnd();
    void apply(const Platform::LogPage &page);
    boost::asio::awaitable<void> askPeers();
    boost::asio::awaitable<void> writeSnapshotIfDue(Core::Instant now);
    void announce();

    std::uint64_t m_firstRetained = 0;
    std::uint64_t m_announced = 0;
    bool m_isLogReachable = true;
    /// Spreads the snapshots of several VMs, so that most find one already written.
    Core::Instant m_snapshotNotBefore;
};

} // namespace Daemon
