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

/// How many ended tasks the table remembers, for look-ups and against repeated records. It is part
/// of the format: all readers of a stream must forget the same tasks.
inline constexpr std::size_t rememberedEndedTasks = 8192;

/// Switches that tests turn off to show what each rule is for. All are on in the product.
struct TableGuards
{
    /// A record of a deposed placer is void.
    bool isEpochChecked = true;
    /// A repeated Submitted record doesn't revive a task.
    bool isRepetitionIgnored = true;

    bool operator==(const TableGuards &) const = default;
};

/// What the records of one stream say, applied in the order of their offsets. A pure function of
/// the records: every reader gets the same table, whichever snapshot it began with.
///
/// Repeated records need no list of record ids: each record names the attempt or the transfer
/// number that it follows, and one that doesn't follow the present state changes nothing. Memory is
/// bounded by the live tasks and `rememberedEndedTasks`; a repetition that comes after so many
/// later ends would be taken for new.
class TaskTable
{
public:
    explicit TaskTable(std::size_t rememberedEnded = rememberedEndedTasks, TableGuards guards = {});

    /// A lease claim of the same stream won at \p offset.
    void onEpoch(std::uint64_t offset, std::uint64_t epoch);
    /// Returns whether the record changed anything. An offset below `nextOffset` is ignored.
    bool apply(std::uint64_t offset, const TaskRecord &record);
    /// Replaces everything by a snapshot.
    void restore(std::uint64_t coversUntil, std::uint64_t epoch, std::vector<TaskEntry> entries);

    /// Null if the task is unknown or forgotten.
    const TaskEntry *find(const Core::TaskId &task) const;
    const std::map<Core::TaskId, TaskEntry> &entries() const { return m_entries; }
    /// The epoch of the newest lease claim.
    std::uint64_t epoch() const { return m_epoch; }
    /// One above the newest offset that was applied.
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

    TaskEntry *live(const Core::TaskId &task);
    TaskEntry *withOpenAttempt(const AttemptId &attempt);
    void end(TaskEntry &entry, TaskState state, std::uint64_t offset);
    void forgetOldest();

    std::size_t m_rememberedEnded;
    TableGuards m_guards;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_nextOffset = 0;
    std::map<Core::TaskId, TaskEntry> m_entries;
    /// Ended tasks, the first ended first.
    std::set<std::pair<std::uint64_t, Core::TaskId>> m_ended;
};

} // namespace Task
