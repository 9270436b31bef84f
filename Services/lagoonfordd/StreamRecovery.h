#pragma once

#include <LibCore/Time.h>
#include <LibLease/LeaseManager.h>
#include <LibLease/LeaseRecords.h>
#include <LibPlatform/LogService.h>
#include <LibTask/DomainPlacer.h>
#include <LibTask/Snapshot.h>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace Daemon {

/// Determines from all retained records of a failure domain's stream where to begin: the newest
/// snapshot of the tasks, and the offsets of the winning lease claims after it. A record of a
/// replaced placer is void only after the claim that replaced it, so every reader must know these
/// offsets exactly.
class StreamRecovery
{
public:
    /// \throws Core::FormatError if a record is of a newer format.
    static StreamRecovery create(const std::vector<Platform::LogRecord> &records,
                                 std::uint64_t firstRetained);

    /// False if no snapshot covers the records that have expired.
    bool isComplete() const { return m_isComplete; }

    void applyTo(Lease::LeaseManager &lease, Task::DomainPlacer &placer, Core::Instant now) const;

private:
    void findEpochs();
    void chooseSnapshot();

    std::uint64_t m_firstRetained = 0;
    std::vector<std::pair<std::uint64_t, Lease::LeaseRecord>> m_leaseRecords;
    std::vector<std::pair<std::uint64_t, Task::TaskRecord>> m_taskRecords;
    std::optional<Task::Snapshot> m_snapshot;
    /// Offsets of winning claims and their epochs, from `m_epochsKnownFrom` on.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> m_epochs;
    std::uint64_t m_epochsKnownFrom = 0;
    bool m_isComplete = false;
};

} // namespace Daemon
