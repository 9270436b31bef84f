#include "StreamRecovery.h"

#include <LibCore/Json.h>
#include <LibLease/LeaseRecordCodec.h>
#include <LibLease/LeaseStateReplica.h>
#include <LibTask/TaskRecordCodec.h>

namespace Daemon {

StreamRecovery StreamRecovery::create(const std::vector<Platform::LogRecord> &records,
                                      std::uint64_t firstRetained)
{
    StreamRecovery recovery;
    recovery.m_firstRetained = firstRetained;
    for (const Platform::LogRecord &record : records) {
        const Json::Value value = Core::Json::parse(record.body, "stream of the failure domain");
        if (auto leaseRecord = Lease::LeaseRecordCodec::decode(value))
            recovery.m_leaseRecords.emplace_back(record.offset, std::move(*leaseRecord));
        else if (auto taskRecord = Task::decode(value))
            recovery.m_taskRecords.emplace_back(record.offset, std::move(*taskRecord));
    }
    recovery.findEpochs();
    recovery.chooseSnapshot();
    return recovery;
}

void StreamRecovery::findEpochs()
{
    Lease::LeaseStateReplica lease;
    lease.start(m_firstRetained);
    std::uint64_t knownFrom = m_firstRetained;
    if (m_firstRetained > 0) {
        // Of the snapshots that cover everything up to a retained offset, the oldest one leaves the
        // most records from which lease claims are known.
        const Lease::LeaseSnapshotRecord *oldest = nullptr;
        std::uint64_t oldestOffset = 0;
        for (const auto &[offset, record] : m_leaseRecords) {
            const auto *snapshot = std::get_if<Lease::LeaseSnapshotRecord>(&record);
            const bool isUsable = snapshot != nullptr && snapshot->end >= m_firstRetained;
            if (isUsable && (oldest == nullptr || snapshot->end < oldest->end)) {
                oldest = snapshot;
                oldestOffset = offset;
            }
        }
        if (oldest == nullptr)
            return;
        lease.apply(oldestOffset, *oldest);
        knownFrom = oldest->end;
    }
    m_epochsKnownFrom = knownFrom;
    m_isComplete = true;
    for (const auto &[offset, record] : m_leaseRecords) {
        const std::uint64_t epochBefore = lease.state().epoch;
        if (offset >= knownFrom)
            lease.apply(offset, record);
        if (lease.state().epoch > epochBefore)
            m_epochs.emplace_back(offset, lease.state().epoch);
    }
}

void StreamRecovery::chooseSnapshot()
{
    if (m_firstRetained == 0)
        return;
    Task::SnapshotAssembler scan;
    for (const auto &[offset, record] : m_taskRecords)
        scan.onRecord(record);
    m_snapshot = scan.newest(m_firstRetained);
    if (!m_snapshot || m_snapshot->coversUntil < m_epochsKnownFrom)
        m_isComplete = false;
}

void StreamRecovery::applyTo(Lease::LeaseManager &lease, Task::DomainPlacer &placer,
                             Core::Instant now) const
{
    lease.onStreamStart(m_firstRetained, now);
    for (const auto &[offset, record] : m_leaseRecords)
        lease.onRecord(offset, record, now);
    const std::uint64_t begin = m_snapshot ? m_snapshot->coversUntil : m_firstRetained;
    if (m_snapshot)
        placer.restore(*m_snapshot);
    auto epoch = m_epochs.begin();
    for (const auto &[offset, record] : m_taskRecords) {
        for (; epoch != m_epochs.end() && epoch->first < offset; ++epoch) {
            if (epoch->first >= begin)
                placer.onLeaseClaim(epoch->first, epoch->second);
        }
        if (offset >= begin)
            placer.onRecord(offset, record, now);
    }
    for (; epoch != m_epochs.end(); ++epoch) {
        if (epoch->first >= begin)
            placer.onLeaseClaim(epoch->first, epoch->second);
    }
}

} // namespace Daemon
