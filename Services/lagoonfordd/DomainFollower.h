#pragma once

#include "StoppablePart.h"

#include <LibPlatform/LogService.h>

#include <vector>

namespace Daemon {

/// Reads the stream of the own failure domain and feeds the lease and the tasks with it.
class DomainFollower final : public StoppablePart
{
public:
    explicit DomainFollower(Node &node);

protected:
    boost::asio::awaitable<Core::Instant> step(Core::Instant now) override;

private:
    boost::asio::awaitable<void> readToEnd();
    void apply(const Platform::LogPage &page);
    /// Starts over at the oldest retained record, from snapshots if there are older ones.
    void startOver(const std::vector<Platform::LogRecord> &records, std::uint64_t firstRetained);
    void applyRecord(const Platform::LogRecord &record);

    std::string m_stream;
    std::uint64_t m_nextOffset = 0;
    bool m_hasStarted = false;
    bool m_isLogReachable = true;
};

} // namespace Daemon
