#pragma once

#include "StoppablePart.h"

#include <LibPlatform/LogService.h>

#include <vector>

namespace Daemon {

/// Reads the stream of this failure domain and passes its records to the lease manager and the
/// placer.
class DomainFollower final : public StoppablePart
{
public:
    explicit DomainFollower(Node &node);

protected:
    boost::asio::awaitable<Core::Instant> step(Core::Instant now) override;

private:
    boost::asio::awaitable<void> readToEnd();
    void apply(const Platform::LogPage &page);
    /// Reads the stream again from the oldest retained record, and older state from snapshots.
    void startOver(const std::vector<Platform::LogRecord> &records, std::uint64_t firstRetained);
    void applyRecord(const Platform::LogRecord &record);

    std::string m_stream;
    std::uint64_t m_nextOffset = 0;
    bool m_hasStarted = false;
    bool m_isLogReachable = true;
};

} // namespace Daemon
