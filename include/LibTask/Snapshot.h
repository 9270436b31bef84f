#pragma once

#include <LibCore/Time.h>
#include <LibTask/TaskEntry.h>
#include <LibTask/TaskRecord.h>
#include <LibTask/TaskTable.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Task {

/// The maximum size of the encoded entries of one part, in bytes. A larger single entry still makes
/// a part of its own.
inline constexpr std::size_t maximumSnapshotPartBytes = 150 * 1024;

/// A complete snapshot of a task table. A reader whose position is no longer retained by the log
/// starts from one.
struct Snapshot
{
    /// The snapshot covers all records below this offset.
    std::uint64_t coversUntil = 0;
    /// The epoch of the newest lease claim below `coversUntil`.
    std::uint64_t epoch = 0;
    std::vector<TaskEntry> entries;

    bool operator==(const Snapshot &) const = default;
};

/// Splits \p table into parts of bounded size. Returns at least one part, even for an empty table.
/// \p writer becomes part of the snapshot's id, so that snapshots that several entry VMs take at
/// the same offset have different ids.
std::vector<SnapshotPart> makeSnapshot(const TaskTable &table, const std::string &writer,
                                       std::size_t maximumPartBytes = maximumSnapshotPartBytes);

/// The newest snapshot and the retained range of a stream, as far as this reader knows them.
struct SnapshotProgress
{
    /// `coversUntil` of the newest complete snapshot that was read; 0 if there is none.
    std::uint64_t coversUntil = 0;
    /// When the last part of that snapshot was read. Empty if there is none yet, or if it was
    /// already in the log when the reader started, because its age is unknown then.
    std::optional<Core::Instant> readAt;
    /// The oldest offset that the log still retains.
    std::uint64_t firstRetained = 0;
    /// The offset after the last record.
    std::uint64_t end = 0;

    bool operator==(const SnapshotProgress &) const = default;
};

/// True if a new snapshot must be written, which is well before the log drops the records that
/// follow the newest one. Also true if the age of the newest one is unknown. \p interval and
/// \p intervalRecords limit the time and the number of records between two snapshots.
bool isSnapshotDue(const SnapshotProgress &progress, Core::Duration interval,
                   std::uint64_t intervalRecords, Core::Instant now);

/// Finds the newest complete snapshot of a stream. Pass it every record in order, beginning with
/// the oldest retained one. Snapshots with missing parts are ignored.
class SnapshotAssembler
{
public:
    void onRecord(const TaskRecord &record);

    /// The newest complete snapshot that a reader can start from. Empty if there is none, or if the
    /// log no longer retains all records from its `coversUntil` on.
    std::optional<Snapshot> newest(std::uint64_t firstRetained) const;

private:
    struct PartialSnapshot
    {
        std::uint32_t partCount = 0;
        std::map<std::uint32_t, SnapshotPart> received;
    };

    std::map<std::string, PartialSnapshot> m_partial;
    std::optional<Snapshot> m_newest;
};

} // namespace Task
