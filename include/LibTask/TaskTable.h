#pragma once

#include <LibTask/TaskEntry.h>
#include <LibTask/TaskRecord.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace Task {

/// How many ended tasks the table keeps for look-ups and to recognize duplicate records. This value
/// is part of the format: all readers of a stream must drop the same tasks.
inline constexpr std::size_t maximumEndedTasks = 8192;

/// Safety checks of the table. All are enabled in production. Tests disable single ones to show
/// which failure each of them prevents.
struct TableGuards
{
    /// Records of a placer whose epoch is outdated are ignored.
    bool isEpochChecked = true;
    /// A duplicate Submitted record doesn't replace the task.
    bool isDuplicateIgnored = true;

    bool operator==(const TableGuards &) const = default;
};

/// The state of all tasks of one stream, built by applying the records in the order of their
/// offsets. It is a pure function of the records: every reader gets the same table, whichever
/// snapshot it started from.
///
/// Duplicate records are recognized without a list of record ids: each record names the attempt or
/// the transfer number that it follows, and a record that doesn't follow the current state changes
/// nothing. Memory is bounded by the live tasks and `maximumEndedTasks`. A duplicate submission
/// that arrives after that many later ends would be taken for a new task.
class TaskTable
{
public:
    explicit TaskTable(std::size_t maximumEnded = maximumEndedTasks, TableGuards guards = {});

    /// Handles the winning lease claim at \p offset of the stream, which began \p epoch.
    void onLeaseClaim(std::uint64_t offset, std::uint64_t epoch);
    /// Returns whether the record changed the table. A record below `nextOffset` is ignored.
    bool apply(std::uint64_t offset, const TaskRecord &record);
    /// Replaces the whole table by the contents of a snapshot.
    void restore(std::uint64_t coversUntil, std::uint64_t epoch, std::vector<TaskEntry> entries);

    /// Null if the task is unknown or was dropped after its end. The pointer is valid until the
    /// next change of the table.
    const TaskEntry *find(const Core::TaskId &task) const;
    const std::map<Core::TaskId, TaskEntry> &entries() const { return m_entries; }
    /// The epoch of the newest lease claim.
    std::uint64_t epoch() const { return m_epoch; }
    /// The offset after the last one that was applied.
    std::uint64_t nextOffset() const { return m_nextOffset; }

    bool operator==(const TaskTable &) const = default;

private:
    bool applyBody(std::uint64_t offset, std::uint64_t epoch, const TaskRecordBody &body);
    bool apply(const Submitted &body);
    bool apply(const AttemptPlanned &body, std::uint64_t epoch);
    bool apply(const AttemptAbandoned &body);
    bool apply(const AttemptEnded &body, std::uint64_t offset);
    bool apply(const CancelRequested &body);
    bool apply(const Cancelled &body, std::uint64_t offset);
    bool apply(const Held &body, std::uint64_t offset);
    bool apply(const Refused &body, std::uint64_t offset);
    bool apply(const TransferOut &body);
    bool apply(const TransferDone &body, std::uint64_t offset);

    TaskEntry *findLive(const Core::TaskId &task);
    TaskEntry *findWithOpenAttempt(const AttemptId &attempt);
    void endTask(TaskEntry &entry, TaskState state, std::uint64_t offset);
    void dropOldestEnded();

    std::size_t m_maximumEnded;
    TableGuards m_guards;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_nextOffset = 0;
    std::map<Core::TaskId, TaskEntry> m_entries;
    /// Ended tasks with the offsets of their ends, oldest first.
    std::set<std::pair<std::uint64_t, Core::TaskId>> m_ended;
};

} // namespace Task
