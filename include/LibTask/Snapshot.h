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

/// The most bytes that the encoded entries of one part may take.
inline constexpr std::size_t maximumSnapshotPartBytes = 150 * 1024;

/// A whole snapshot, as a reader that fell behind retention begins with it.
struct Snapshot
{
    std::uint64_t coversUntil = 0;
    std::uint64_t epoch = 0;
    std::vector<TaskEntry> entries;

    bool operator==(const Snapshot &) const = default;
};

/// Cuts \p table into parts of bounded size. At least one part, also of an empty table.
/// \p writer tells apart the snapshots that several entry VMs make of the same offset.
std::vector<SnapshotPart> makeSnapshot(const TaskTable &table, const std::string &writer,
                                       std::size_t maximumPartBytes = maximumSnapshotPartBytes);

/// What is known of a stream's snapshots and retention.
struct SnapshotProgress
{
    /// `coversUntil` of the newest complete snapshot that was read.
    std::uint64_t coversUntil = 0;
    /// When its last part was read; empty if it was already there when the reader began.
    std::optional<Core::Instant> readAt;
    std::uint64_t firstRetained = 0;
    std::uint64_t end = 0;

    bool operator==(const SnapshotProgress &) const = default;
};

/// True if the next snapshot must be written, well before the newest passes retention.
bool shouldSnapshot(const SnapshotProgress &progress, Core::Duration interval,
                    std::uint64_t everyRecords, Core::Instant now);

/// Finds the newest complete snapshot of a stream. Feed it every record from the oldest retained
/// one on, in order; a snapshot of which a part is missing counts for nothing.
class SnapshotScan
{
public:
    void onRecord(const TaskRecord &record);

    /// The newest complete snapshot from which a reader can go on: records from `coversUntil` on
    /// are still retained. Empty if there is none.
    std::optional<Snapshot> newest(std::uint64_t firstRetained) const;

private:
    struct Parts
    {
        std::uint32_t count = 0;
        std::map<std::uint32_t, SnapshotPart> received;
    };

    std::map<std::string, Parts> m_open;
    std::optional<Snapshot> m_newest;
};

} // namespace Task
